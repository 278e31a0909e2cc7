//! Client of discovery's endpoint list: consecutive polls, each of which waits for a revision newer than the one held.

use crate::upstream::{HttpConnection, encode_request, exchange};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{Level, log, warn};
use mountshift_discovery::{Jitter, Phase, PollFailure, PollSchedule, PollTimeouts};
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const STATUS_OK: u16 = 200;
/// Upper bound of a `Retry-After` in seconds, so that it fits into a `Duration`. The poll schedule applies a lower one.
const MAX_RETRY_AFTER_SECONDS: f64 = 1e6;

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointEntry {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) kind: String,
    /// Number of the destination.
    pub(crate) destination: u32,
    pub(crate) phase: Phase,
    /// Listed rate of the route, in calls per second of all relays together; 0 if none is listed.
    pub(crate) rate: f64,
    /// Time of the last start in Unix milliseconds; 0 if it was long ago.
    pub(crate) up_since_ms: u64,
}

/// The endpoint list, or an update to it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct EndpointList {
    /// Address of the discovery instance that numbers the revisions.
    pub(crate) source: SocketAddr,
    pub(crate) revision: u64,
    /// Whether this is a full list and not an update.
    pub(crate) is_full: bool,
    pub(crate) entries: Vec<EndpointEntry>,
}

/// Parses a list. Invalid entries are skipped with a log line. Returns `None` if the value is not a list.
pub(crate) fn parse_list(json: &Value, source: SocketAddr) -> Option<EndpointList> {
    let mut entries = Vec::new();
    for member in json["members"].as_array()? {
        match parse_entry(member) {
            Some(entry) => entries.push(entry),
            None => warn!("discovery: skipped an invalid entry of the list: {member}"),
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
        destination: u32::try_from(json["cell"].as_u64()?).ok()?,
        phase,
        rate: json["size"].as_f64().unwrap_or(0.0),
        up_since_ms: json["up_since_ms"].as_u64().unwrap_or(0),
    })
}

/// Error of a poll.
#[derive(Debug, thiserror::Error)]
enum PollError {
    #[error("{0}")]
    NoAnswer(String),
    #[error("response with status {status}")]
    Status { status: u16, retry_after: Option<Duration> },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("the response is not an endpoint list")]
    NotAList,
}

impl PollError {
    /// Returns the failure of a poll that took `duration` and was a watch or not, for the poll schedule.
    fn failure(&self, is_watch: bool, duration: Duration, request_timeout: Duration) -> PollFailure {
        let elapsed = if is_watch { Duration::ZERO } else { duration };
        match self {
            PollError::NoAnswer(_) if is_watch && duration >= request_timeout => PollFailure::SilentWatch,
            PollError::NoAnswer(_) => PollFailure::NoResponse { elapsed },
            PollError::Status { retry_after, .. } => {
                PollFailure::Rejected { elapsed, retry_after: *retry_after }
            }
            PollError::Json(_) | PollError::NotAList => PollFailure::Rejected { elapsed, retry_after: None },
        }
    }
}

/// Event that ended a poll.
enum PollEnd {
    Answered(Result<EndpointList, PollFailure>),
    /// The address of discovery has changed.
    Moved(SocketAddr),
}

/// Waits for a new address of discovery. Never returns once the channel is closed, so that the caller keeps using its
/// current address: the relay may still send, and must follow the updates of discovery (rule 3).
pub(crate) async fn next_address(moves: &Receiver<SocketAddr>) -> SocketAddr {
    match moves.recv().await {
        Ok(address) => address,
        Err(_) => std::future::pending().await,
    }
}

/// Configuration of the client.
pub(crate) struct DiscoveryOptions {
    pub(crate) address: SocketAddr,
    /// Channel of new addresses of discovery.
    pub(crate) moves: Receiver<SocketAddr>,
    /// Revision of the list held.
    pub(crate) revision: Option<u64>,
    /// Poll requests of the policy, if it determines when to poll.
    pub(crate) poll_requests: Option<Receiver<()>>,
    /// In a successor: whether it has taken over. It has no policy before that, and polls by the schedule.
    pub(crate) has_taken_over: Option<Rc<Cell<bool>>>,
    pub(crate) max_list_bytes: usize,
    /// Jitter of the pauses after failed polls.
    pub(crate) jitter: Jitter,
    /// Timeouts of polls and pauses between them.
    pub(crate) schedule: PollSchedule,
}

/// Polls discovery.
pub(crate) struct DiscoveryClient {
    options: DiscoveryOptions,
    connection: Option<HttpConnection>,
    consecutive_failures: u32,
    /// The last of the consecutive failures.
    last_failure: Option<PollFailure>,
    /// Whether the last poll at the current address returned a list.
    has_responded: bool,
    /// Whether the next poll is the first one, which waits for a poll request if the policy makes any.
    is_first: bool,
}

impl DiscoveryClient {
    pub(crate) fn new(options: DiscoveryOptions) -> DiscoveryClient {
        DiscoveryClient {
            is_first: options.poll_requests.is_some(),
            options,
            connection: None,
            consecutive_failures: 0,
            last_failure: None,
            has_responded: false,
        }
    }

    /// Polls until the process exits. After a failed poll, the next one starts after a pause, or at a poll request if
    /// the policy determines when to poll. `on_result` is called with the result of every poll.
    pub(crate) async fn run(mut self, on_result: impl Fn(Result<EndpointList, PollFailure>)) {
        loop {
            match self.poll_or_move().await {
                PollEnd::Moved(address) => self.on_address_change(address),
                PollEnd::Answered(Ok(list)) => {
                    self.on_list(&list);
                    on_result(Ok(list));
                }
                PollEnd::Answered(Err(failure)) => {
                    self.on_failure(failure);
                    on_result(Err(failure));
                }
            }
        }
    }

    /// Polls discovery; abandons the poll if the address changes meanwhile.
    async fn poll_or_move(&mut self) -> PollEnd {
        let moves = self.options.moves.clone();
        let moved = async { PollEnd::Moved(next_address(&moves).await) };
        let pause = self.next_pause();
        let polled = async {
            self.wait_for_turn(pause).await;
            PollEnd::Answered(self.poll().await)
        };
        moved.or(polled).await
    }

    /// Returns the pause before the first poll of a successor, or after a failed poll. Without jitter, relays whose polls
    /// failed simultaneously would keep overloading discovery together.
    fn next_pause(&mut self) -> Duration {
        let jitter = self.options.jitter.sample();
        match self.last_failure {
            Some(failure) => self.options.schedule.retry_delay(self.consecutive_failures, failure, jitter),
            None => self.options.schedule.successor_delay(jitter),
        }
    }

    /// Returns whether this process is a successor that has not taken over yet.
    fn awaits_takeover(&self) -> bool {
        self.options.has_taken_over.as_ref().is_some_and(|has_taken_over| !has_taken_over.get())
    }

    async fn wait_for_turn(&self, pause: Duration) {
        if !self.is_first && self.consecutive_failures == 0 {
            return;
        }
        let scheduled = async {
            Timer::after(pause).await;
        };
        let Some(requests) = &self.options.poll_requests else { return scheduled.await };
        if !self.is_first {
            // A request from before the failed poll, which was made while the client polled by itself.
            let _ = requests.try_recv();
        }
        let requested = async {
            let _ = requests.recv().await;
        };
        if self.awaits_takeover() { requested.or(scheduled).await } else { requested.await }
    }

    async fn poll(&mut self) -> Result<EndpointList, PollFailure> {
        // A list from the configuration or from before a failed poll may be outdated, so the poll must not wait.
        let is_watch = self.has_responded && self.options.revision.is_some();
        let timeouts = self.options.schedule.poll_timeouts(is_watch, self.options.jitter.sample());
        let started = Instant::now();
        let result = self.request_list(timeouts).await;
        result.map_err(|error| {
            // Logged once per series of failures, to bound the log during an outage.
            if self.consecutive_failures == 0 {
                warn!("discovery: poll failed: {error}");
            }
            error.failure(is_watch, started.elapsed(), timeouts.request_timeout)
        })
    }

    async fn request_list(&mut self, timeouts: PollTimeouts) -> Result<EndpointList, PollError> {
        let PollTimeouts { wait, request_timeout: timeout } = timeouts;
        let address = self.options.address;
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

    /// Polls the new address at once and requests the full list, because its revision numbers may differ.
    fn on_address_change(&mut self, address: SocketAddr) {
        self.options.address = address;
        self.options.revision = None;
        self.has_responded = false;
        self.connection = None;
        self.consecutive_failures = 0;
        self.last_failure = None;
        self.is_first = false;
    }

    fn on_list(&mut self, list: &EndpointList) {
        let is_change = list.is_full || !list.entries.is_empty();
        let level = if is_change { Level::Info } else { Level::Debug };
        log!(
            level,
            "endpoint list {}: {} entries, whole: {}",
            list.revision,
            list.entries.len(),
            list.is_full
        );
        self.options.revision = Some(list.revision);
        self.consecutive_failures = 0;
        self.last_failure = None;
        self.has_responded = true;
        self.is_first = false;
    }

    fn on_failure(&mut self, failure: PollFailure) {
        self.connection = None;
        self.consecutive_failures += 1;
        self.last_failure = Some(failure);
        // The next poll must not wait for a change, or its wait would extend the time without updates.
        self.has_responded = false;
        self.is_first = false;
    }
}
