//! Discovery and the platform's notifications, an agent of its own for each relay.

use crate::endpoint::Endpoints;
use crate::http::{Request, RequestReader, answer};
use crate::installation::Installation;
use crate::recorder::{Recorder, lock, number_of_id};
use mountshift_invariants::{Fact, FinalAnswer, ListedStatus};
use serde_json::{Value, json};
use smol::Timer;
use smol::io::AsyncWriteExt;
use smol::net::{TcpListener, TcpStream};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Between two looks at a list that may have changed.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Addresses of each agent: SIGHUP moves a relay from one to the other.
pub(crate) const AGENT_ADDRESSES: usize = 2;

/// What discovery knows.
#[derive(Clone)]
struct List {
    revision: u64,
    phases: Vec<ListedStatus>,
}

/// Discovery and notifications for all relays.
pub(crate) struct Platform {
    installation: Installation,
    endpoints: Arc<Endpoints>,
    recorder: Arc<Recorder>,
    list: Mutex<List>,
    /// By relay: its agent says nothing.
    silent: Vec<AtomicBool>,
    addresses: Mutex<Vec<[SocketAddr; AGENT_ADDRESSES]>>,
    /// Messages whose final answer has been noted.
    noted: Mutex<BTreeSet<u64>>,
}

impl Platform {
    pub(crate) async fn start(
        installation: &Installation,
        endpoints: &Arc<Endpoints>,
        recorder: &Arc<Recorder>,
    ) -> io::Result<Arc<Platform>> {
        let phases = vec![ListedStatus::Ready; installation.endpoints.len()];
        let platform = Arc::new(Platform {
            installation: installation.clone(),
            endpoints: endpoints.clone(),
            recorder: recorder.clone(),
            list: Mutex::new(List { revision: 1, phases }),
            silent: (0..installation.relays).map(|_| AtomicBool::new(false)).collect(),
            addresses: Mutex::default(),
            noted: Mutex::default(),
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

    /// An address of a relay's agent.
    pub(crate) fn address(&self, relay: usize, which: usize) -> SocketAddr {
        lock(&self.addresses)[relay][which % AGENT_ADDRESSES]
    }

    pub(crate) fn set_silent(&self, relay: usize, is_silent: bool) {
        self.silent[relay].store(is_silent, Ordering::SeqCst);
    }

    /// Changes what is listed of an endpoint.
    pub(crate) fn set_phase(&self, endpoint: usize, phase: ListedStatus) {
        let mut list = lock(&self.list);
        list.revision += 1;
        list.phases[endpoint] = phase;
    }

    /// The list that a configuration holds: the first one, whatever was told since.
    pub(crate) fn first_list(&self) -> Value {
        self.to_json(&List {
            revision: 1,
            phases: vec![ListedStatus::Ready; self.installation.endpoints.len()],
        })
    }

    /// Notes what a relay that starts now is told from its first moment.
    pub(crate) fn note_told_at_start(&self, relay: usize) {
        let list = if self.silent[relay].load(Ordering::SeqCst) {
            List { revision: 1, phases: vec![ListedStatus::Ready; self.installation.endpoints.len()] }
        } else {
            lock(&self.list).clone()
        };
        self.note_told(relay, &list);
    }

    fn note_told(&self, relay: usize, list: &List) {
        for (endpoint, status) in list.phases.iter().enumerate() {
            self.recorder.fact(Fact::EndpointListed {
                relay: relay as u32,
                endpoint: endpoint as u32,
                status: *status,
            });
        }
    }

    fn to_json(&self, list: &List) -> Value {
        let mut members = Vec::new();
        for (endpoint, phase) in list.phases.iter().enumerate() {
            let phase = match phase {
                ListedStatus::Ready => "Ready",
                ListedStatus::Draining => "Terminating",
                ListedStatus::Removed => continue,
            };
            members.push(self.installation.member(endpoint, self.endpoints.address(endpoint), phase));
        }
        json!({"revision": list.revision, "complete": true, "members": members})
    }

    async fn answer_list(&self, relay: usize, request: &Request) -> String {
        let parameter = |name: &str| -> Option<u64> {
            let text = request.path.split(name).nth(1)?;
            text.split('&').next()?.parse().ok()
        };
        let index = parameter("index=");
        let until = Instant::now() + Duration::from_millis(parameter("wait=").unwrap_or(0));
        loop {
            let is_silent = self.silent[relay].load(Ordering::SeqCst);
            let list = lock(&self.list).clone();
            if !is_silent && index.is_none_or(|index| index < list.revision) {
                self.note_told(relay, &list);
                return answer(200, "", &self.to_json(&list).to_string());
            }
            if !is_silent && Instant::now() >= until {
                let empty = json!({"revision": index, "complete": false, "members": []});
                return answer(200, "", &empty.to_string());
            }
            Timer::after(LOOK_INTERVAL).await;
        }
    }

    fn take_notifications(&self, relay: usize, body: &[u8]) {
        for line in String::from_utf8_lossy(body).lines() {
            let Ok(notification) = serde_json::from_str::<Value>(line) else { continue };
            let Some(message) = notification["id"].as_str().and_then(number_of_id) else { continue };
            // Notifications may come again; the first one counts.
            if !lock(&self.noted).insert(message) {
                continue;
            }
            let answer = if notification["state"] == "failed" {
                FinalAnswer::Failed
            } else {
                FinalAnswer::Rejected { retry_after: notification["after_ms"].as_u64().unwrap_or(0) * 1_000 }
            };
            self.recorder.fact(Fact::FinalAnswerGiven { message, relay: relay as u32, answer });
            self.recorder.fact(Fact::FinalAnswerReceived { message });
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
        let text = if request.path == "/status" {
            platform.take_notifications(relay, &request.body);
            answer(204, "", "")
        } else {
            platform.answer_list(relay, &request).await
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}
