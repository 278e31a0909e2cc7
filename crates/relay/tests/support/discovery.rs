//! Discovery, with a list that can change and the notifications that it got.

use super::process::free_address;
use super::server::{Server, answer};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Discovery: a list that can change, and notifications with the status each call gets.
pub(crate) struct Platform {
    pub server: Server,
    list: Arc<Mutex<(u64, Vec<Value>)>>,
}

impl Platform {
    /// The first `refused` calls with notifications are answered 500.
    pub(crate) fn start(refused: usize) -> Platform {
        let list: Arc<Mutex<(u64, Vec<Value>)>> = Arc::new(Mutex::new((1, Vec::new())));
        let (shown, left) = (list.clone(), Mutex::new(refused));
        let server = Server::start(move |request| {
            if request.path == "/status" {
                let mut left = left.lock().expect("a count");
                let status = if *left > 0 { 500 } else { 204 };
                *left = left.saturating_sub(1);
                return answer(status, "", "");
            }
            let asked = |name: &str| -> Option<u64> {
                request.path.split(name).nth(1).and_then(|t| t.split('&').next()?.parse().ok())
            };
            let (index, by) =
                (asked("index="), Instant::now() + Duration::from_millis(asked("wait=").unwrap_or(0)));
            loop {
                let (revision, members) = shown.lock().expect("a list").clone();
                if index.is_none_or(|index| index < revision) {
                    let list = json!({"revision": revision, "complete": true, "members": members});
                    return answer(200, "", &list.to_string());
                }
                if Instant::now() >= by {
                    return answer(
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

    pub(crate) fn set(&self, members: Vec<Value>) {
        let mut list = self.list.lock().expect("a list");
        *list = (list.0 + 1, members);
    }

    /// Notices as the platform got them, one text each, those of refused calls too.
    pub(crate) fn notifications(&self) -> Vec<String> {
        let requests = self.server.requests();
        let bodies =
            requests.iter().filter(|r| r.path == "/status").map(|r| String::from_utf8_lossy(&r.body));
        bodies.flat_map(|b| b.lines().map(str::to_string).collect::<Vec<_>>()).collect()
    }
}

pub(crate) fn member(id: &str, at: SocketAddr, dst: u32, kind: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "north", "flavor": kind, "cell": dst,
        "phase": "Ready", "size": 1000.0, "up_since_ms": 0})
}

/// An endpoint of destination 8 that refuses connections.
pub(crate) fn unreachable_endpoint() -> Value {
    member("e0", free_address(), 8, "single")
}
