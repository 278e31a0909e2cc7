//! Follows the list of endpoints: one call after the other, each waiting for what is newer.

use crate::http::{Connection, ask, request};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{info, warn};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest that discovery lets a call wait.
const WAIT: Duration = Duration::from_millis(60_000);
/// Beyond that, an answer that has not come will not come.
const SLACK: Duration = Duration::from_millis(2_000);
const LIST_MOST: usize = 8 << 20;
/// A call that failed at once is not repeated sooner.
const PAUSE: Duration = Duration::from_millis(100);

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
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Ready,
    Draining,
    Gone,
}

/// The list or its changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    pub revision: u64,
    pub whole: bool,
    pub members: Vec<Member>,
}

/// Reads a list; entries that can't be read are left out with a log line.
pub fn members(json: &Value) -> Option<Members> {
    let mut members = Vec::new();
    for entry in json["members"].as_array()? {
        match member(entry) {
            Some(member) => members.push(member),
            None => warn!("discovery: an entry can't be read: {entry}"),
        }
    }
    Some(Members { revision: json["revision"].as_u64()?, whole: json["complete"].as_bool()?, members })
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
    })
}

/// Runs for good. After a failed call the next one starts by itself, or once asked for where the decisions
/// ask for the list. Tells every list, or none for a call that failed.
pub async fn follow(
    at: SocketAddr,
    mut revision: Option<u64>,
    asked: Option<Receiver<()>>,
    tell: impl Fn(Option<Members>),
) {
    let (mut connection, mut failures) = (None, 0);
    let mut start = asked.is_some();
    loop {
        if std::mem::take(&mut start) || failures > 0 {
            match &asked {
                Some(asked) => drop(asked.recv().await),
                None => drop(Timer::after(PAUSE).await),
            }
        }
        let late = async {
            Timer::after(WAIT + SLACK).await;
            Err("no answer in time".to_string())
        };
        let told = call(at, revision, &mut connection).or(late).await;
        match told {
            Ok(list) => {
                info!("list {}: {} entries, whole: {}", list.revision, list.members.len(), list.whole);
                revision = Some(list.revision);
                failures = 0;
                tell(Some(list));
            }
            Err(what) => {
                // Told once, or an outage would fill the log.
                if failures == 0 {
                    warn!("discovery: {what}");
                }
                (connection, failures) = (None, failures + 1);
                tell(None);
            }
        }
    }
}

async fn call(
    at: SocketAddr,
    revision: Option<u64>,
    connection: &mut Option<Connection>,
) -> Result<Members, String> {
    let path = match revision {
        Some(n) => format!("/catalog/members?index={n}&wait={}", WAIT.as_millis()),
        None => "/catalog/members".to_string(),
    };
    let bytes = request("GET", &path, &at.to_string(), &[], &[]);
    let answer = ask(connection, at, "discovery", &bytes, LIST_MOST).await?;
    if answer.status != 200 {
        return Err(format!("status {}", answer.status));
    }
    let json: Value = serde_json::from_slice(&answer.body).map_err(|e| e.to_string())?;
    members(&json).ok_or_else(|| "the list can't be read".to_string())
}
