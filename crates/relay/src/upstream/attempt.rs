//! One call to an endpoint, from its connection to its response: it carries an attempt of each of its messages.
//!
//! A call goes through the stages of [`CallStage`], so that whoever drops it knows whether its messages may have run.
//! Makes each call once; whether and when there is another one, the decisions say.

use super::connection_pool::ConnectionPool;
use super::endpoint_table::Endpoint;
use super::http1::{HttpConnection, ResponseError, encode_request};
use super::response::Response;
use crate::transitions::Transition;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{debug, error, info};
use mountshift::interface::{CallEnd, EndpointId, MessageId, Outcome, RunState};
use rustix::io::Errno;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes of a response's body at most: a line for each message of the largest batch is far less.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// A call whose first byte goes out longer after the decision asks first whether it still may.
const DELAYED_SEND_THRESHOLD: Duration = Duration::from_millis(50);
/// The longest `Retry-After` that is taken as told, in seconds; a longer one is cut to it.
const MAX_RETRY_AFTER_SECONDS: f64 = 1e6;

/// Bytes of an entry of a batch beside its id, key and body: separators and the length's digits, rounded up.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 32;

/// Errors of a connection that is made which tell of this machine alone: no port, no route, no descriptor, no memory, no watch.
const LOCAL_CONNECT_ERRORS: [Errno; 13] = [
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::NOBUFS,
    Errno::NOMEM,
    // No more sockets can be waited for (epoll_ctl).
    Errno::NOSPC,
    Errno::NFILE,
    Errno::MFILE,
    Errno::AGAIN,
    Errno::INTR,
    Errno::PERM,
    Errno::ACCESS,
];

/// A message in a call.
pub(crate) struct CallMessage {
    pub(crate) message: MessageId,
    /// The id that its client gave it.
    pub(crate) id: Vec<u8>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// How the attempt of one message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptResult {
    pub(crate) message: MessageId,
    pub(crate) outcome: Outcome,
    pub(crate) run: RunState,
    /// Nothing more is sent for the message.
    pub(crate) closed: bool,
}

/// How a call ended.
pub(crate) struct CallResult {
    pub(crate) attempts: Vec<AttemptResult>,
    /// A `Retry-After` that came beside the results of several messages.
    pub(crate) retry_after: Option<Duration>,
    /// The load report that came with the response.
    pub(crate) load_report: Option<String>,
}

impl CallResult {
    /// The same end for all messages of a call.
    pub(crate) fn uniform(
        messages: impl IntoIterator<Item = MessageId>,
        outcome: Outcome,
        end: CallEnd,
        closed: bool,
    ) -> CallResult {
        let run = RunState::from_call(outcome, end);
        let result = |message| AttemptResult { message, outcome, run, closed };
        CallResult {
            attempts: messages.into_iter().map(result).collect(),
            retry_after: None,
            load_report: None,
        }
    }
}

/// The value of a name in a load report.
pub(crate) fn load_report_value(report: &str, name: &str) -> Option<f64> {
    let pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(pair_name, _)| pair_name.trim() == name)
        .find_map(|(_, value)| value.trim().parse().ok())
        .filter(|value: &f64| value.is_finite())
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// Queued or connecting: the spool holds nothing of it, no byte has left.
    #[default]
    Connecting,
    /// Recorded in the spool, its first byte may have left.
    Recorded,
    /// Its last byte was written: only now may it run.
    Written,
}

/// A call to an endpoint.
pub(crate) struct Call {
    /// Its number, for log lines.
    pub(crate) number: u64,
    pub(crate) endpoint_id: EndpointId,
    pub(crate) endpoint: Endpoint,
    pub(crate) messages: Vec<CallMessage>,
    /// From the decision on; then it ends as timed out.
    pub(crate) time_limit: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) decided_at: Instant,
    /// Asks if the endpoint may still be called.
    pub(crate) request_send_permission: Box<dyn Fn() -> Receiver<bool>>,
    /// Records the attempts in the spool, right before the first byte; how they end if they must not go out.
    pub(crate) record_attempts: Box<dyn Fn() -> Result<(), Outcome>>,
    pub(crate) stage: Rc<Cell<CallStage>>,
}

impl Call {
    /// Makes the call, once, and reports how its messages ended when it is over. None is reported while the call goes
    /// on for others: the next message of its key must wait for that.
    pub(crate) async fn run(self, pool: &ConnectionPool, report: impl Fn(CallResult)) {
        // From the decision on: a task that waits for the core has no more time for that.
        let deadline = self.decided_at + self.time_limit;
        let late = async {
            Timer::at(deadline).await;
            // Nothing left the relay whole, so it can't have run.
            Err(Outcome::ConnectFailed)
        };
        let result = match self.send(pool, deadline).or(late).await {
            Ok(connection) => self.receive(connection, deadline, pool).await,
            Err(outcome) => self.uniform_result(outcome, CallEnd::NotWritten, false),
        };
        self.log_end(&result);
        report(result);
    }

    /// Logs how each attempt ended, and in which stage.
    fn log_end(&self, result: &CallResult) {
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let from = match self.stage.get() {
            CallStage::Connecting => "connecting",
            CallStage::Recorded => "recorded",
            CallStage::Written => "written",
        };
        for attempt in &result.attempts {
            let message = self.messages.iter().find(|message| message.message == attempt.message);
            let transition = Transition {
                message: message.map(|message| &message.id[..]),
                call: Some(self.number),
                endpoint: Some(&self.endpoint.name),
                from,
                to: "ended",
                reason: &format!("{:?},{}", attempt.outcome, attempt.run.name()),
                ..Transition::default()
            };
            debug!("{transition}");
        }
    }

    fn uniform_result(&self, outcome: Outcome, end: CallEnd, closed: bool) -> CallResult {
        CallResult::uniform(self.messages.iter().map(|message| message.message), outcome, end, closed)
    }

    /// No whole answer came. Whatever the outcome, the endpoint may still be at work: the relay gave the call up, or its
    /// connection ended.
    fn interrupted_result(&self, outcome: Outcome) -> CallResult {
        self.uniform_result(outcome, CallEnd::Interrupted, false)
    }

    fn answered_result(&self, outcome: Outcome, closed: bool) -> CallResult {
        self.uniform_result(outcome, CallEnd::Answered, closed)
    }

    /// An idle connection that can be used, or a new one.
    async fn connect(&self, pool: &ConnectionPool) -> Result<HttpConnection, Outcome> {
        if let Some(connection) = pool.take(self.endpoint_id, self.endpoint.address) {
            return Ok(connection);
        }
        let late = async {
            Timer::after(self.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let server_name = format!("endpoint {}", self.endpoint.name);
        let opened = HttpConnection::open(self.endpoint.address, server_name).or(late).await;
        opened.map_err(|e| {
            info!("connection to endpoint {} not made: {}", self.endpoint.name, e.kind());
            if is_local_error(&e) { Outcome::LocalFailure } else { Outcome::ConnectFailed }
        })
    }

    /// Writes the call, on an idle connection or a new one. Up to the first byte the connection stays of use for other
    /// calls, whatever becomes of this one.
    async fn send(&self, pool: &ConnectionPool, deadline: Instant) -> Result<HttpConnection, Outcome> {
        let mut connection = self.connect(pool).await?;
        if !self.is_still_allowed().await {
            info!("call to endpoint {} not made: no longer allowed", self.endpoint.name);
            pool.put_back(self.endpoint_id, connection);
            return Err(Outcome::NotSent);
        }
        // The answer to that may have taken long, and the time of a kept connection may have run out since.
        if connection.requests > 0 && !pool.is_usable(&mut connection) {
            connection = self.connect(pool).await?;
        }
        // Where the connection and the end of its time are here at once, no byte may go out behind the limit.
        if Instant::now() >= deadline {
            pool.put_back(self.endpoint_id, connection);
            return Err(Outcome::ConnectFailed);
        }
        let request = self.request();
        // Recorded only now: where the process ends while a connection comes up, the message surely has not run.
        let recording_since = Instant::now();
        if let Err(outcome) = (self.record_attempts)() {
            pool.put_back(self.endpoint_id, connection);
            return Err(outcome);
        }
        self.stage.set(CallStage::Recorded);
        if let Err(outcome) = self.check_after_record(recording_since, deadline).await {
            pool.put_back(self.endpoint_id, connection);
            return Err(outcome);
        }
        debug!("call to endpoint {}: {}", self.endpoint.name, String::from_utf8_lossy(&request));
        connection.write(&request).await.map_err(|_| Outcome::ConnectFailed)?;
        self.stage.set(CallStage::Written);
        Ok(connection)
    }

    /// A call decided long ago could cross a `Retry-After` or a drain told since, as its connection came up slowly or
    /// its task waited for the core. On a kept connection too.
    async fn is_still_allowed(&self) -> bool {
        if self.decided_at.elapsed() <= DELAYED_SEND_THRESHOLD {
            return true;
        }
        (self.request_send_permission)().recv().await.unwrap_or(false)
    }

    /// A write to the state folder that took long may cross the same, and the limit.
    async fn check_after_record(&self, recording_since: Instant, deadline: Instant) -> Result<(), Outcome> {
        if recording_since.elapsed() <= DELAYED_SEND_THRESHOLD {
            return Ok(());
        }
        let is_allowed = (self.request_send_permission)().recv().await.unwrap_or(false);
        if !is_allowed {
            info!("call to endpoint {} not made: no longer allowed", self.endpoint.name);
            return Err(Outcome::NotSent);
        }
        if Instant::now() >= deadline { Err(Outcome::ConnectFailed) } else { Ok(()) }
    }

    fn request(&self) -> Vec<u8> {
        let host = self.endpoint.address.to_string();
        let time_limit = self.time_limit.as_millis().max(1).to_string();
        let timeout_header = ("X-Timeout-Ms", time_limit.as_bytes());
        if let [message] = &self.messages[..] {
            let mut headers = vec![("X-Request-ID", &message.id[..]), timeout_header];
            if let Some(key) = &message.idempotency_key {
                headers.push(("Idempotency-Key", key.as_bytes()));
            }
            return encode_request("POST", "/receive", &host, &headers, &message.body);
        }
        let body = encode_batch(&self.messages);
        encode_request("POST", "/receive-many", &host, &[timeout_header], &body)
    }

    /// Reads the response: how each message ended.
    async fn receive(
        &self,
        mut connection: HttpConnection,
        deadline: Instant,
        pool: &ConnectionPool,
    ) -> CallResult {
        let (response, reusable) = match connection.read_response(MAX_RESPONSE_BYTES, deadline).await {
            Ok(response) => response,
            Err(ResponseError::TimedOut) => return self.interrupted_result(Outcome::TimedOut),
            Err(ResponseError::ConnectionClosed) => return self.interrupted_result(Outcome::Reset),
            // Also where an unreadable response says that the message was rejected: it may have run all the same.
            Err(ResponseError::Unreadable) => return self.interrupted_result(Outcome::Error),
        };
        let is_first = connection.requests == 1;
        if reusable {
            pool.put_back(self.endpoint_id, connection);
        }
        if is_connection_limit(&response, is_first, reusable) {
            debug!("endpoint {} had no room for another connection", self.endpoint.name);
            return self.answered_result(Outcome::ConnectionLimit, false);
        }
        let mut result = self.interpret(&response);
        result.load_report = response.load_report;
        result
    }

    /// How each message ended, as the response tells.
    fn interpret(&self, response: &Response) -> CallResult {
        let seconds = response.retry_after.unwrap_or(0.0).min(MAX_RETRY_AFTER_SECONDS);
        let retry_after = Duration::from_secs_f64(seconds);
        if !retry_after.is_zero() {
            let (name, status) = (&self.endpoint.name, response.status);
            debug!("endpoint {name} answered {status} with a wait of {retry_after:?}");
        }
        match response.status {
            // The first line is all that counts. The endpoint may go on with the rest of it all the same.
            200 if self.messages.len() == 1 && !response.complete => {
                self.uniform_result(Outcome::Delivered, CallEnd::Interrupted, true)
            }
            200 if self.messages.len() == 1 => self.answered_result(Outcome::Delivered, true),
            200 if !response.complete => self.interrupted_result(Outcome::Error),
            200 => self.interpret_batch(&response.body, retry_after),
            429 => self.answered_result(Outcome::Rejected { retry_after }, false),
            503 if response.slots_taken => self.answered_result(Outcome::NotSent, false),
            503 => self.answered_result(Outcome::Rejected { retry_after }, false),
            504 => self.answered_result(Outcome::NotSent, false),
            410 => self.answered_result(Outcome::NotSent, true),
            // By the protocol nothing of a call of several messages has run that can't be read or is too large.
            400 | 413 if self.messages.len() > 1 => {
                error!("endpoint {} answered {} to a batch", self.endpoint.name, response.status);
                self.answered_result(Outcome::Rejected { retry_after: Duration::ZERO }, false)
            }
            400 | 404 | 413 => {
                error!("endpoint {} answered {}", self.endpoint.name, response.status);
                self.answered_result(Outcome::Error, false)
            }
            _ => self.answered_result(Outcome::Error, false),
        }
    }

    /// How each message of a batch ended: the body has a line with an id and a word for each.
    fn interpret_batch(&self, body: &[u8], retry_after: Duration) -> CallResult {
        let mut words_by_id = BTreeMap::new();
        for line in body.split(|byte| *byte == b'\n') {
            let mut words = line.split(u8::is_ascii_whitespace).filter(|word| !word.is_empty());
            if let (Some(id), Some(word)) = (words.next(), words.next()) {
                words_by_id.insert(id, word);
            }
        }
        let result = |message: &CallMessage| {
            let word = words_by_id.get(&message.id[..]).copied();
            let (outcome, closed) = batch_outcome(word, retry_after);
            let run = RunState::from_call(outcome, CallEnd::Answered);
            AttemptResult { message: message.message, outcome, run, closed }
        };
        CallResult {
            attempts: self.messages.iter().map(result).collect(),
            // It binds whether or not a message was rejected.
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
            load_report: None,
        }
    }
}

/// True if a connection was not made for a shortage of this machine: that tells nothing of the endpoint.
pub(super) fn is_local_error(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    errno.is_some_and(|errno| LOCAL_CONNECT_ERRORS.contains(&errno))
}

/// How a message of a batch ended, and whether it is closed, by the word that the response has for it.
fn batch_outcome(word: Option<&[u8]>, retry_after: Duration) -> (Outcome, bool) {
    match word {
        Some(b"delivered") => (Outcome::Delivered, true),
        Some(b"refused") => (Outcome::Rejected { retry_after }, false),
        Some(b"over") => (Outcome::NotSent, true),
        Some(b"spent") => (Outcome::NotSent, false),
        // Told as failed, or not told: it may have run.
        _ => (Outcome::Error, false),
    }
}

/// Bytes that a message takes at most in the body of a call with several ones; its idempotency key stands in the metadata.
pub(crate) fn max_batch_entry_bytes(id: &[u8], metadata: &str, body: &[u8]) -> usize {
    id.len() + metadata.len() + body.len() + MAX_ENTRY_OVERHEAD_BYTES
}

/// The body of a call with several messages: for each a line with its id, key and length, then its bytes.
fn encode_batch(messages: &[CallMessage]) -> Vec<u8> {
    let mut body = Vec::new();
    for message in messages {
        let key = message.idempotency_key.as_deref().unwrap_or("-");
        body.extend(&message.id);
        body.extend(format!(" {key} {}\r\n", message.body.len()).as_bytes());
        body.extend(&message.body);
        body.extend(b"\r\n");
    }
    body
}

/// True for a new connection that is rejected with no `Retry-After` and closed: the endpoint's table of connections is
/// full, which has no other sign on sockets. Not a rate limit: connections that are kept already still work.
fn is_connection_limit(response: &Response, is_first_request: bool, reusable: bool) -> bool {
    response.status == 503
        && is_first_request
        && !reusable
        && !response.slots_taken
        && response.retry_after.is_none()
}
