//! Stand-in for discovery and for the receiver of notifications. It runs a separate server, the agent, for each relay.

use crate::agent::Agent;
use crate::endpoint::Endpoints;
use crate::http::{Request, RequestReader, response};
use crate::installation::Installation;
use crate::malformed_response::{INTERIM_RESPONSE, write_endlessly};
use crate::recorder::{Observation, Recorder, lock, parse_message_id};
use mountshift_invariants::{Fact, FinalAnswer, ListedStatus, Time};
use serde_json::{Value, json};
use smol::Timer;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
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
/// Revision of the list in the relays' configuration.
const INITIAL_REVISION: u64 = 1;

/// List of the endpoints and their statuses, by endpoint.
#[derive(Clone)]
struct EndpointList {
    revision: u64,
    statuses: Vec<ListedStatus>,
}

/// State of a relay's agent.
struct AgentState {
    behaviour: AgentBehaviour,
    /// Number of times that its open watches have fallen silent.
    silences: u64,
    /// Last list that it has sent to the relay.
    last_sent: EndpointList,
    /// Server at its current address.
    server: Option<Agent>,
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
    /// The agents, by relay.
    agents: Vec<Mutex<AgentState>>,
    /// Number of calls with notifications.
    notification_calls: AtomicU64,
    /// Messages whose final answer has been recorded.
    messages_with_final_answer: Mutex<BTreeSet<u64>>,
}

impl Platform {
    pub(crate) async fn start(
        installation: &Installation,
        endpoints: &Arc<Endpoints>,
        recorder: &Arc<Recorder>,
    ) -> io::Result<Arc<Platform>> {
        let initial = initial_list(installation);
        let agent = |_| AgentState {
            behaviour: AgentBehaviour::Normal,
            silences: 0,
            last_sent: initial.clone(),
            server: None,
        };
        let platform = Arc::new(Platform {
            installation: installation.clone(),
            endpoints: endpoints.clone(),
            recorder: recorder.clone(),
            list: Mutex::new(initial.clone()),
            agents: (0..installation.relays).map(agent).map(Mutex::new).collect(),
            notification_calls: AtomicU64::new(0),
            messages_with_final_answer: Mutex::default(),
        });
        for relay in 0..installation.relays {
            platform.move_agent(relay).await?;
        }
        Ok(platform)
    }

    /// Returns the address of a relay's agent.
    pub(crate) fn address(&self, relay: usize) -> SocketAddr {
        let agent = lock(&self.agents[relay]);
        agent.server.as_ref().map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |server| server.address)
    }

    /// Moves a relay's agent to a new address. The previous one is closed.
    pub(crate) async fn move_agent(self: &Arc<Platform>, relay: usize) -> io::Result<()> {
        let server = Agent::start(relay, self.clone()).await?;
        let previous = lock(&self.agents[relay]).server.replace(server);
        if let Some(previous) = previous {
            self.recorder.record(Observation::AgentReachable { relay, is_reachable: false });
            self.recorder.record(Observation::AgentReachable { relay, is_reachable: true });
            previous.retire().await;
        }
        Ok(())
    }

    pub(crate) fn set_behaviour(&self, relay: usize, behaviour: AgentBehaviour) {
        lock(&self.agents[relay]).behaviour = behaviour;
        let is_reachable = behaviour == AgentBehaviour::Normal;
        self.recorder.record(Observation::AgentReachable { relay, is_reachable });
    }

    fn behaviour(&self, relay: usize) -> AgentBehaviour {
        lock(&self.agents[relay]).behaviour
    }

    /// Makes the open watches of a relay fall silent: they never get a response. Later polls do.
    pub(crate) fn silence_watches(&self, relay: usize) {
        lock(&self.agents[relay]).silences += 1;
    }

    fn silences(&self, relay: usize) -> u64 {
        lock(&self.agents[relay]).silences
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

    pub(crate) fn endpoint_count(&self) -> usize {
        self.installation.endpoints.len()
    }

    /// Returns the id of an endpoint in the list.
    pub(crate) fn endpoint_name(&self, endpoint: usize) -> &str {
        &self.installation.endpoints[endpoint].name
    }

    /// Changes the listed status of an endpoint.
    pub(crate) fn set_status(&self, endpoint: usize, status: ListedStatus) {
        let mut list = lock(&self.list);
        list.revision += 1;
        list.statuses[endpoint] = status;
        let EndpointList { revision, statuses } = list.clone();
        self.recorder.record(Observation::ListChanged { revision, statuses });
    }

    /// Returns the list for a relay's configuration: the initial one, even after later changes.
    pub(crate) fn initial_list(&self) -> Value {
        self.to_json(&initial_list(&self.installation))
    }

    /// Records the list that a relay starting now has from the beginning: the last one sent to it if it has to
    /// poll; otherwise the current one, or the one of its configuration if its agent sends none.
    pub(crate) fn record_initial_list(&self, relay: usize) {
        let list = if self.installation.polling.is_some() {
            lock(&self.agents[relay]).last_sent.clone()
        } else if self.behaviour(relay) != AgentBehaviour::Normal {
            initial_list(&self.installation)
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
    /// Returns `None` if the caller has closed the connection meanwhile.
    async fn list_response(&self, relay: usize, request: &Request, caller: &TcpStream) -> Option<String> {
        let parameter = |name: &str| -> Option<u64> {
            let text = request.path.split(name).nth(1)?;
            text.split('&').next()?.parse().ok()
        };
        let index = parameter("index=");
        let wait = Duration::from_millis(parameter("wait=").unwrap_or(0));
        let opened_at = self.recorder.now();
        let until = Instant::now() + wait;
        let silences = self.silences(relay);
        loop {
            if self.silences(relay) != silences && wait > POLL_INTERVAL {
                let wait = wait.as_micros() as Time;
                self.recorder.record(Observation::WatchSilenced { relay, opened_at, wait });
                return std::future::pending().await;
            }
            let is_silent = self.behaviour(relay) != AgentBehaviour::Normal;
            if is_closed(caller).await {
                return None;
            }
            let list = lock(&self.list).clone();
            if !is_silent && index.is_none_or(|index| index < list.revision) {
                self.record_list(relay, &list);
                self.recorder.record(Observation::ListSent { relay, revision: list.revision });
                lock(&self.agents[relay]).last_sent = list.clone();
                return Some(response(200, "", &self.to_json(&list).to_string()));
            }
            if !is_silent && Instant::now() >= until {
                let empty = json!({"revision": index, "complete": false, "members": []});
                return Some(response(200, "", &empty.to_string()));
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

/// Returns whether the caller of the request that is being answered has closed the connection.
async fn is_closed(caller: &TcpStream) -> bool {
    let mut byte = [0];
    let peeked = smol::future::poll_once(caller.peek(&mut byte)).await;
    matches!(peeked, Some(Ok(0) | Err(_)))
}

/// Returns the list in the relays' configuration.
fn initial_list(installation: &Installation) -> EndpointList {
    let statuses = vec![ListedStatus::Ready; installation.endpoints.len()];
    EndpointList { revision: INITIAL_REVISION, statuses }
}

/// Serves a connection to a relay's agent.
pub(crate) async fn serve(mut stream: TcpStream, relay: usize, platform: Arc<Platform>) {
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
            let Some(text) = platform.list_response(relay, &request, &stream).await else { return };
            text
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
