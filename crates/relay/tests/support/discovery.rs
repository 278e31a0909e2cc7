//! Stand-in platform: serves the endpoint list and receives the notifications of ends.

use super::process::free_address;
use super::server::{Server, respond};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Server of the endpoint list at `/catalog` and of notifications at `/status`; a test can change the list.
pub(crate) struct Platform {
    pub server: Server,
    /// Revision and members.
    list: Arc<Mutex<(u64, Vec<Value>)>>,
}

impl Platform {
    /// Starts the server; it responds with 500 to the first `rejected` calls with notifications.
    pub(crate) fn start(rejected: usize) -> Platform {
        let list: Arc<Mutex<(u64, Vec<Value>)>> = Arc::new(Mutex::new((1, Vec::new())));
        let (served_list, to_reject) = (list.clone(), Mutex::new(rejected));
        let server = Server::start(move |request| {
            if request.path == "/status" {
                let mut to_reject = to_reject.lock().expect("lock the count");
                let status = if *to_reject > 0 { 500 } else { 204 };
                *to_reject = to_reject.saturating_sub(1);
                return respond(status, "", "");
            }
            let parameter = |name: &str| -> Option<u64> {
                request.path.split(name).nth(1).and_then(|t| t.split('&').next()?.parse().ok())
            };
            let (index, deadline) = (
                parameter("index="),
                Instant::now() + Duration::from_millis(parameter("wait=").unwrap_or(0)),
            );
            loop {
                let (revision, members) = served_list.lock().expect("lock the list").clone();
                if index.is_none_or(|index| index < revision) {
                    let list = json!({"revision": revision, "complete": true, "members": members});
                    return respond(200, "", &list.to_string());
                }
                if Instant::now() >= deadline {
                    return respond(
                        200,
                        "",
                        &json!({"revision": index, "complete": false, "members": []}).to_string(),
                    );
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        Platform { server, list }
    }

    /// Replaces the list, increments its revision and returns it.
    pub(crate) fn set_members(&self, members: Vec<Value>) -> u64 {
        let mut list = self.list.lock().expect("lock the list");
        *list = (list.0 + 1, members);
        list.0
    }

    /// Returns the notifications received, one text each, including those of rejected calls.
    pub(crate) fn notifications(&self) -> Vec<String> {
        let requests = self.server.requests();
        let bodies =
            requests.iter().filter(|r| r.path == "/status").map(|r| String::from_utf8_lossy(&r.body));
        bodies.flat_map(|b| b.lines().map(str::to_string).collect::<Vec<_>>()).collect()
    }
}

/// Returns the list entry of a ready endpoint.
pub(crate) fn member(id: &str, address: SocketAddr, destination: u32, kind: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "north", "flavor": kind, "cell": destination,
        "phase": "Ready", "size": 1000.0, "up_since_ms": 0})
}

/// Returns the list entry of an endpoint of destination 8 that refuses connections.
pub(crate) fn unreachable_endpoint() -> Value {
    member("e0", free_address(), 8, "single")
}
