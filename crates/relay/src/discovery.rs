//! Follows discovery's endpoint list: one poll after the other, each waiting for what is newer than the list held.

use crate::upstream::{HttpConnection, encode_request, exchange};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{Level, log, warn};
use mountshift_discovery::{Jitter, Phase, PollSchedule, PollTimeouts};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const STATUS_OK: u16 = 200;
/// A `Retry-After` beyond this would not fit a span; it is cut to what the schedule allows anyway.
const MAX_RETRY_AFTER_SECONDS: f64 = 1e6;

/// An endpoint as the list describes it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointEntry {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) kind: String,
    pub(crate) dst: u32,
    pub(crate) phase: Phase,
    pub(crate) size: f64,
    /// When it last started, Unix milliseconds; 0 for long ago.
    pub(crate) up_since_ms: u64,
}

/// The endpoint list, or an update to it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointList {
    /// Who counts the revisions.
    pub(crate) source: SocketAddr,
    pub(crate) revision: u64,
    /// True for a full list, false for an update.
    pub(crate) is_full: bool,
    pub(crate) entries: Vec<EndpointEntry>,
}

/// Reads a list; entries that can't be read are left out with a log line. None if it is no list.
pub(crate) fn parse_list(json: &Value, source: SocketAddr) -> Option<EndpointList> {
    let mut entries = Vec::new();
    for member in json["members"].as_array()? {
        match parse_entry(member) {
            Some(entry) => entries.push(entry),
            None => warn!("discovery: an entry can't be read: {member}"),
        }
    }
    let revision = json["revision"].as_u64()?;
    let is_full = json["complete"].as_bool()?;
    Some(EndpointList { source, revision, is_full, entries })
}

fn parse_entry(json: &Value) -> Option<EndpointEntry> {
    let text = |field: &str| json[field].as_str();
    let phase = match text("phase")? {
        "Ready" => Phase::Ready,
        "Gone" => Phase::Gone,
        _ => Phase::Draining,
    };
    Some(EndpointEntry {
        id: text("id")?.to_string(),
        address: text("host_port")?.parse().ok()?,
        zone: mountshift_settings::normalize_name(text("locality")?),
        kind: mountshift_settings::normalize_name(text("flavor")?),
        dst: u32::try_from(json["cell"].as_u64()?).ok()?,
        phase,
        size: json["size"].as_f64().unwrap_or(0.0),
        up_since_ms: json["up_since_ms"].as_u64().unwrap_or(0),
    })
}

/// Why a poll brought no list.
#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("{0}")]
    NoAnswer(String),
    #[error("status {status}")]
    Status { status: u16, retry_after: Option<Duration> },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("the list can't be read")]
    NotAList,
}

impl PollError {
    /// The `Retry-After` that discovery told.
    fn retry_after(&self) -> Option<Duration> {
        if let PollError::Status { retry_after, .. } = self { *retry_after } else { None }
    }
}

/// What a poll waited for.
enum PollEnd {
    Answered(Result<EndpointList, PollError>),
    /// Discovery is at another address from now on.
    Moved(SocketAddr),
}

/// Discovery's next address. Once nobody can tell it any more this never ends, so that who waits goes on at the
/// address it has: the relay still sends then, and what discovery tells binds as before (rule 3).
pub(crate) async fn next_address(moves: &Receiver<SocketAddr>) -> SocketAddr {
    match moves.recv().await {
        Ok(address) => address,
        Err(_) => std::future::pending().await,
    }
}

/// What the client is configured with.
pub(crate) struct DiscoveryOptions {
    pub(crate) address: SocketAddr,
    /// Tells of another address to poll from now on.
    pub(crate) moves: Receiver<SocketAddr>,
    /// The revision of the list held at the start.
    pub(crate) revision: Option<u64>,
    /// Where the decisions say when to poll: their requests.
    pub(crate) poll_requests: Option<Receiver<()>>,
    pub(crate) max_list_bytes: usize,
    /// Spreads the pauses after failed polls.
    pub(crate) jitter: Jitter,
    /// How long a poll may wait, and when it is given up.
    pub(crate) schedule: PollSchedule,
}

/// Polls discovery.
pub(crate) struct DiscoveryClient {
    options: DiscoveryOptions,
    connection: Option<HttpConnection>,
    consecutive_failures: u32,
    retry_after: Option<Duration>,
    /// Discovery has answered the last poll at this address.
    has_answered: bool,
    /// The first poll waits for a request, where the decisions make any.
    is_first: bool,
}

impl DiscoveryClient {
    pub(crate) fn new(options: DiscoveryOptions) -> DiscoveryClient {
        DiscoveryClient {
            is_first: options.poll_requests.is_some(),
            options,
            connection: None,
            consecutive_failures: 0,
            retry_after: None,
            has_answered: false,
        }
    }

    /// Runs to the end of the process. After a failed poll the next one starts by itself, or once asked for where
    /// the decisions say when to poll. `on_result` hears of every list, and of the `Retry-After`, if any, of every
    /// failed poll.
    pub(crate) async fn run(mut self, on_result: impl Fn(Result<EndpointList, Option<Duration>>)) {
        loop {
            match self.poll_unless_moved().await {
                PollEnd::Moved(address) => self.on_moved(address),
                PollEnd::Answered(Ok(list)) => {
                    self.on_list(&list);
                    on_result(Ok(list));
                }
                PollEnd::Answered(Err(e)) => {
                    self.on_failure(&e);
                    on_result(Err(e.retry_after()));
                }
            }
        }
    }

    /// A poll that waits at an address where nothing is told any more is given up.
    async fn poll_unless_moved(&mut self) -> PollEnd {
        let moves = self.options.moves.clone();
        let moved = async { PollEnd::Moved(next_address(&moves).await) };
        // With jitter, or a fleet that failed at one moment would keep discovery full by polling together.
        let jitter = self.options.jitter.sample();
        let pause = self.options.schedule.retry_delay(self.consecutive_failures, self.retry_after, jitter);
        let polled = async {
            self.wait_for_turn(pause).await;
            PollEnd::Answered(self.poll().await)
        };
        moved.or(polled).await
    }

    async fn wait_for_turn(&self, pause: Duration) {
        if !self.is_first && self.consecutive_failures == 0 {
            return;
        }
        match &self.options.poll_requests {
            Some(requests) => {
                let _ = requests.recv().await;
            }
            None => {
                Timer::after(pause).await;
            }
        }
    }

    async fn poll(&mut self) -> Result<EndpointList, PollError> {
        let address = self.options.address;
        // The list held at first, or before a failed poll, may be old: what changed since is asked for at once.
        let may_wait = self.has_answered && self.options.revision.is_some();
        let PollTimeouts { wait, request_timeout: timeout } = self.options.schedule.poll_timeouts(may_wait);
        let path = match self.options.revision {
            Some(revision) => {
                format!("/catalog/members?index={revision}&wait={}", wait.as_millis().max(1))
            }
            None => "/catalog/members".to_string(),
        };
        let bytes = encode_request("GET", &path, &address.to_string(), &[], &[]);
        let max_bytes = self.options.max_list_bytes;
        let answer = exchange(&mut self.connection, address, "discovery", &bytes, max_bytes, timeout)
            .await
            .map_err(|e| PollError::NoAnswer(e.to_string()))?;
        if answer.status != STATUS_OK {
            let retry_after =
                answer.retry_after.map(|s| Duration::from_secs_f64(s.min(MAX_RETRY_AFTER_SECONDS)));
            return Err(PollError::Status { status: answer.status, retry_after });
        }
        let json: Value = serde_json::from_slice(&answer.body)?;
        parse_list(&json, address).ok_or(PollError::NotAList)
    }

    /// The new address is polled at once, and for the full list: its revisions may be counted anew.
    fn on_moved(&mut self, address: SocketAddr) {
        self.options.address = address;
        self.options.revision = None;
        self.has_answered = false;
        self.connection = None;
        self.consecutive_failures = 0;
        self.is_first = false;
    }

    fn on_list(&mut self, list: &EndpointList) {
        let brings_news = list.is_full || !list.entries.is_empty();
        let level = if brings_news { Level::Info } else { Level::Debug };
        log!(level, "list {}: {} entries, whole: {}", list.revision, list.entries.len(), list.is_full);
        self.options.revision = Some(list.revision);
        self.consecutive_failures = 0;
        self.has_answered = true;
        self.is_first = false;
    }

    fn on_failure(&mut self, error: &PollError) {
        // Logged once, or an outage would fill the log.
        if self.consecutive_failures == 0 {
            warn!("discovery: {error}");
        }
        self.connection = None;
        self.consecutive_failures += 1;
        self.retry_after = error.retry_after();
        // What changed meanwhile is asked for at once: else the next wait would add to the time without news.
        self.has_answered = false;
        self.is_first = false;
    }
}
