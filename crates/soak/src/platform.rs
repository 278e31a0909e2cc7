//! Stand-in for discovery and for the receiver of notifications. It runs a separate server, the agent, for each relay.

use crate::endpoint::Endpoints;
use crate::http::{Request, RequestReader, response};
use crate::installation::Installation;
use crate::malformed_response::{INTERIM_RESPONSE, write_endlessly};
use crate::recorder::{Recorder, lock, parse_message_id};
use mountshift_invariants::{Fact, FinalAnswer, ListedStatus};
use serde_json::{Value, json};
use smol::Timer;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Path of calls with notifications.
const NOTIFICATIONS_PATH: &str = "/status";
/// Poll interval for changes of the list.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of addresses of each agent. A reload (SIGHUP) moves a relay from one to the other.
pub(crate) const AGENT_ADDRESSES: usize = 2;

/// List of the endpoints and their statuses, by endpoint.
#[derive(Clone)]
struct EndpointList {
    revision: u64,
    statuses: Vec<ListedStatus>,
}

/// Behaviour of the agent of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AgentBehaviour {
    Normal,
    /// Does not respond with lists.
    Silent,
    /// Responds to requests for the list, and to every second call with notifications, with interim responses without end.
    Endless,
}

/// Stand-in for discovery and for the receiver of notifications of all relays.
pub(crate) struct Platform {
    installation: Installation,
    endpoints: Arc<Endpoints>,
    recorder: Arc<Recorder>,
    list: Mutex<EndpointList>,
    /// Behaviour of each relay's agent.
    behaviours: Vec<Mutex<AgentBehaviour>>,
    /// Number of calls with notifications.
    notification_calls: AtomicU64,
    addresses: Mutex<Vec<[SocketAddr; AGENT_ADDRESSES]>>,
    /// Messages whose final answer has been recorded.
    messages_with_final_answer: Mutex<BTreeSet<u64>>,
}

impl Platform {
    pub(crate) async fn start(
        installation: &Installation,
        endpoints: &Arc<Endpoints>,
        recorder: &Arc<Recorder>,
    ) -> io::Result<Arc<Platform>> {
        let statuses = vec![ListedStatus::Ready; installation.endpoints.len()];
        let platform = Arc::new(Platform {
            installation: installation.clone(),
            endpoints: endpoints.clone(),
            recorder: recorder.clone(),
            list: Mutex::new(EndpointList { revision: 1, statuses }),
            behaviours: (0..installation.relays).map(|_| Mutex::new(AgentBehaviour::Normal)).collect(),
            notification_calls: AtomicU64::new(0),
            addresses: Mutex::default(),
            messages_with_final_answer: Mutex::default(),
        });
        for relay in 0..installation.relays {
            let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); AGENT_ADDRESSES];
            for address in &mut addresses {
                let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
                *address = listener.local_addr()?;
                smol::spawn(accept(listener, relay, platform.clone())).detach();
            }
            lock(&platform.addresses).push(addresses);
        }
        Ok(platform)
    }

    /// Returns an address of a relay's agent.
    pub(crate) fn address(&self, relay: usize, index: usize) -> SocketAddr {
        lock(&self.addresses)[relay][index % AGENT_ADDRESSES]
    }

    pub(crate) fn set_behaviour(&self, relay: usize, behaviour: AgentBehaviour) {
        *lock(&self.behaviours[relay]) = behaviour;
    }

    fn behaviour(&self, relay: usize) -> AgentBehaviour {
        *lock(&self.behaviours[relay])
    }

    /// Returns whether the response to a request never ends.
    fn responds_endlessly(&self, relay: usize, request: &Request) -> bool {
        if self.behaviour(relay) != AgentBehaviour::Endless {
            return false;
        }
        // The relay must be able to deliver each notification in time.
        request.path != NOTIFICATIONS_PATH
            || self.notification_calls.fetch_add(1, Ordering::SeqCst).is_multiple_of(2)
    }

    /// Changes the listed status of an endpoint.
    pub(crate) fn set_status(&self, endpoint: usize, status: ListedStatus) {
        let mut list = lock(&self.list);
        list.revision += 1;
        list.statuses[endpoint] = status;
    }

    /// Returns the list for a relay's configuration: the initial one, even after later changes.
    pub(crate) fn initial_list(&self) -> Value {
        self.to_json(&EndpointList {
            revision: 1,
            statuses: vec![ListedStatus::Ready; self.installation.endpoints.len()],
        })
    }

    /// Records the list that a relay starting now has from the beginning: the current one, or the one of its
    /// configuration if its agent sends none.
    pub(crate) fn record_initial_list(&self, relay: usize) {
        let list = if self.behaviour(relay) != AgentBehaviour::Normal {
            EndpointList {
                revision: 1,
                statuses: vec![ListedStatus::Ready; self.installation.endpoints.len()],
            }
        } else {
            lock(&self.list).clone()
        };
        self.record_list(relay, &list);
    }

    fn record_list(&self, relay: usize, list: &EndpointList) {
        for (endpoint, status) in list.statuses.iter().enumerate() {
            self.recorder.record_fact(Fact::EndpointListed {
                relay: relay as u32,
                endpoint: endpoint as u32,
                status: *status,
            });
        }
    }

    fn to_json(&self, list: &EndpointList) -> Value {
        let mut members = Vec::new();
        for (endpoint, status) in list.statuses.iter().enumerate() {
            let phase = match status {
                ListedStatus::Ready => "Ready",
                ListedStatus::Draining => "Terminating",
                ListedStatus::Removed => continue,
            };
            members.push(self.installation.list_entry(endpoint, self.endpoints.address(endpoint), phase));
        }
        json!({"revision": list.revision, "complete": true, "members": members})
    }

    /// Responds to a request for the list, after a change or at the end of the requested wait. A silent agent waits.
    async fn list_response(&self, relay: usize, request: &Request) -> String {
        let parameter = |name: &str| -> Option<u64> {
            let text = request.path.split(name).nth(1)?;
            text.split('&').next()?.parse().ok()
        };
        let index = parameter("index=");
        let until = Instant::now() + Duration::from_millis(parameter("wait=").unwrap_or(0));
        loop {
            let is_silent = self.behaviour(relay) != AgentBehaviour::Normal;
            let list = lock(&self.list).clone();
            if !is_silent && index.is_none_or(|index| index < list.revision) {
                self.record_list(relay, &list);
                return response(200, "", &self.to_json(&list).to_string());
            }
            if !is_silent && Instant::now() >= until {
                let empty = json!({"revision": index, "complete": false, "members": []});
                return response(200, "", &empty.to_string());
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    fn record_notifications(&self, relay: usize, body: &[u8]) {
        for line in String::from_utf8_lossy(body).lines() {
            let Ok(notification) = serde_json::from_str::<Value>(line) else { continue };
            let Some(message) = notification["id"].as_str().and_then(parse_message_id) else { continue };
            // Notifications may be repeated; only the first one is recorded.
            if !lock(&self.messages_with_final_answer).insert(message) {
                continue;
            }
            let answer = if notification["state"] == "failed" {
                FinalAnswer::Failed
            } else {
                FinalAnswer::Rejected { retry_after: notification["after_ms"].as_u64().unwrap_or(0) * 1_000 }
            };
            self.recorder.record_fact(Fact::FinalAnswerGiven { message, relay: relay as u32, answer });
            self.recorder.record_fact(Fact::FinalAnswerReceived { message });
        }
    }
}

async fn accept(listener: TcpListener, relay: usize, platform: Arc<Platform>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            smol::spawn(serve(stream, relay, platform.clone())).detach();
        }
    }
}

async fn serve(mut stream: TcpStream, relay: usize, platform: Arc<Platform>) {
    let _ = stream.set_nodelay(true);
    let mut reader = RequestReader::default();
    while let Ok(Some(request)) = reader.next(&mut stream).await {
        if platform.responds_endlessly(relay, &request) {
            return write_endlessly(&mut stream, INTERIM_RESPONSE).await;
        }
        let text = if request.path == NOTIFICATIONS_PATH {
            platform.record_notifications(relay, &request.body);
            response(204, "", "")
        } else {
            platform.list_response(relay, &request).await
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
