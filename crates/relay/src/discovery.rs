//! Follows the list of endpoints: one call after the other, each waiting for what is newer.

use crate::http::{Connection, ask, request};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{Level, log, warn};
use mountshift_discovery::{Jitter, Phase, PollSchedule, PollTimeouts};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// An entry of the list, as told.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub dst: u32,
    pub phase: Phase,
    pub size: f64,
    /// When it last started, Unix milliseconds; 0 for long ago.
    pub up_since_ms: u64,
}

/// The list or its changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// Who counts the revisions.
    pub source: SocketAddr,
    pub revision: u64,
    pub whole: bool,
    pub members: Vec<Member>,
}

/// Reads a list; entries that can't be read are left out with a log line.
pub fn members(json: &Value, source: SocketAddr) -> Option<Members> {
    let mut members = Vec::new();
    for entry in json["members"].as_array()? {
        match member(entry) {
            Some(member) => members.push(member),
            None => warn!("discovery: an entry can't be read: {entry}"),
        }
    }
    let (revision, whole) = (json["revision"].as_u64()?, json["complete"].as_bool()?);
    Some(Members { source, revision, whole, members })
}

fn member(json: &Value) -> Option<Member> {
    let text = |field: &str| json[field].as_str();
    let phase = match text("phase")? {
        "Ready" => Phase::Ready,
        "Gone" => Phase::Gone,
        _ => Phase::Draining,
    };
    Some(Member {
        id: text("id")?.to_string(),
        address: text("host_port")?.parse().ok()?,
        zone: mountshift_settings::plain(text("locality")?),
        kind: mountshift_settings::plain(text("flavor")?),
        dst: u32::try_from(json["cell"].as_u64()?).ok()?,
        phase,
        size: json["size"].as_f64().unwrap_or(0.0),
        up_since_ms: json["up_since_ms"].as_u64().unwrap_or(0),
    })
}

/// How lists are asked for.
pub struct Follow {
    pub at: SocketAddr,
    /// Tells of another address to ask at from now on.
    pub moved: Receiver<SocketAddr>,
    pub revision: Option<u64>,
    /// Tells when to ask, where the decisions do that.
    pub asked: Option<Receiver<()>>,
    /// Bytes of a list at most.
    pub most: usize,
    /// Spreads the pauses after failed calls.
    pub chance: Jitter,
    /// How long a call may wait, and when it is given up.
    pub terms: PollSchedule,
    /// Discovery has answered since the start, or since it moved.
    pub heard: bool,
}

impl Follow {
    /// Runs for good. After a failed call the next one starts by itself, or once asked for where the
    /// decisions ask for the list. Tells every list, or the wait told, if any, for a call that failed.
    pub async fn run(mut self, tell: impl Fn(Result<Members, Option<Duration>>)) {
        let (mut connection, mut failures, mut start) = (None, 0, self.asked.is_some());
        let mut told_wait = None;
        loop {
            // Guards against an end of the watch while the relay still sends: nobody moves it any more once the
            // relay is told to stop, and what is told from then on binds as before (rule 3).
            let moved = async {
                let Ok(to) = self.moved.recv().await else { return std::future::pending().await };
                to
            };
            // Guards against a fleet that fails at one moment and keeps the agent full by asking together.
            let pause = self.terms.retry_pause(failures, told_wait, self.chance.draw());
            let next = async {
                if start || failures > 0 {
                    match &self.asked {
                        Some(asked) => drop(asked.recv().await),
                        None => drop(Timer::after(pause).await),
                    }
                }
                self.call(&mut connection).await
            };
            // Guards against a watch that waits at an address that is no longer told anything. What is told
            // at the new one is asked for at once, and whole: its revisions may be counted anew.
            let told = match async { Err(moved.await) }.or(async { Ok(next.await) }).await {
                Err(at) => {
                    (self.at, self.revision, self.heard) = (at, None, false);
                    (connection, failures, start) = (None, 0, false);
                    continue;
                }
                Ok(told) => told,
            };
            start = false;
            match told {
                Ok(list) => {
                    let level =
                        if list.whole || !list.members.is_empty() { Level::Info } else { Level::Debug };
                    log!(
                        level,
                        "list {}: {} entries, whole: {}",
                        list.revision,
                        list.members.len(),
                        list.whole
                    );
                    (self.revision, failures, self.heard) = (Some(list.revision), 0, true);
                    tell(Ok(list));
                }
                Err((what, wait)) => {
                    // Told once, or an outage would fill the log.
                    if failures == 0 {
                        warn!("discovery: {what}");
                    }
                    // What changed meanwhile is asked for at once: guards against a wait added to one that was silent.
                    (connection, failures, told_wait, self.heard) = (None, failures + 1, wait, false);
                    tell(Err(wait));
                }
            }
        }
    }

    /// The list or its changes; else why not, with a wait that discovery told.
    async fn call(&self, connection: &mut Option<Connection>) -> Result<Members, (String, Option<Duration>)> {
        // The list held at first, or before a failed call, may be old: what changed since is asked for at once.
        let PollTimeouts { wait, give_up_after: within } =
            self.terms.poll_timeouts(self.heard && self.revision.is_some());
        let path = match self.revision {
            Some(n) => format!("/catalog/members?index={n}&wait={}", wait.as_millis().max(1)),
            None => "/catalog/members".to_string(),
        };
        let bytes = request("GET", &path, &self.at.to_string(), &[], &[]);
        let asked = ask(connection, self.at, "discovery", &bytes, self.most, within).await;
        let answer = asked.map_err(|e| (e, None))?;
        if answer.status != 200 {
            let wait = answer.retry_after.map(|s| Duration::from_secs_f64(s.min(1e6)));
            return Err((format!("status {}", answer.status), wait));
        }
        let json: Value = serde_json::from_slice(&answer.body).map_err(|e| (e.to_string(), None))?;
        members(&json, self.at).ok_or_else(|| ("the list can't be read".to_string(), None))
    }
}
