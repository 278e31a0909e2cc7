//! One call to an endpoint, from its connection to its response. A call carries one attempt of each of its messages.
//!
//! A call goes through the stages of [`CallStage`], so that code that drops it can determine whether its messages may
//! have run. A call is made once; the policy decides whether and when to retry.

use super::batch::{BatchResponse, BatchResult, encode_batch};
use super::connection_pool::ConnectionPool;
use super::endpoint_table::Endpoint;
use super::http1::{CloseReason, EarlierResponses, HttpConnection, ResponseError, encode_request};
use super::response::Response;
use crate::transitions::Transition;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{debug, error, info};
use mountshift::interface::{CallEnd, EndpointId, MessageId, Outcome, RunState};
use rustix::io::Errno;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum size of a response body: one line for each message of the largest batch is far less.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;
/// Status code of a response that reports a delivery, or the results of a batch.
const STATUS_OK: u16 = 200;
/// Maximum number of late copies of earlier responses that a call skips.
const MAX_SKIPPED_RESPONSES: usize = 16;
/// Delay, after the decision or while the attempts are recorded, from which a call needs permission again before its
/// first byte is sent.
const DELAYED_SEND_THRESHOLD: Duration = Duration::from_millis(50);
/// Maximum `Retry-After` in seconds; a longer one is reduced to this.
const MAX_RETRY_AFTER_SECONDS: f64 = 1e6;

/// Connect errors that are caused by this machine, not by the endpoint: for example no free port, route, descriptor,
/// memory or epoll watch.
const LOCAL_CONNECT_ERRORS: [Errno; 13] = [
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::NOBUFS,
    Errno::NOMEM,
    // epoll_ctl: the limit of watches is reached.
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
    /// Client-supplied id.
    pub(crate) id: Vec<u8>,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) body: Vec<u8>,
}

/// Result of the attempt of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AttemptResult {
    pub(crate) message: MessageId,
    pub(crate) outcome: Outcome,
    pub(crate) run: RunState,
    /// Whether the message is closed: no further attempt of it is made.
    pub(crate) closed: bool,
}

/// Result of a call.
pub(crate) struct CallResult {
    pub(crate) attempts: Vec<AttemptResult>,
    /// `Retry-After` of a response with separate results for several messages.
    pub(crate) retry_after: Option<Duration>,
    /// Load report of the response.
    pub(crate) load_report: Option<String>,
}

impl CallResult {
    /// Creates a result that is the same for all messages of a call.
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

/// Returns the value of a name in a load report.
pub(crate) fn load_report_value(report: &str, name: &str) -> Option<f64> {
    let pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(pair_name, _)| pair_name.trim() == name)
        .find_map(|(_, value)| value.trim().parse().ok())
        .filter(|value: &f64| value.is_finite())
}

/// Progress of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CallStage {
    /// Queued or connecting: not recorded in the spool, no byte sent.
    #[default]
    Connecting,
    /// Recorded in the spool; its first bytes may have been sent.
    Recorded,
    /// Written to its last byte: only from here on can the endpoint run it.
    Written,
}

/// Position of the response to a call among the responses on its connection. It decides how a late copy of an earlier
/// response is told from the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponsePosition {
    /// There are no earlier responses.
    First,
    /// The earlier responses named messages that this call does not send.
    Named,
    /// The request asks for the end of the connection, which only the response to it announces.
    Last,
}

/// A call to an endpoint.
pub(crate) struct Call {
    /// Number of the call, for log lines.
    pub(crate) number: u64,
    pub(crate) endpoint_id: EndpointId,
    pub(crate) endpoint: Endpoint,
    pub(crate) messages: Vec<CallMessage>,
    /// Whether the destination accepts batch calls, whose responses name their messages. Such a call is made for a single
    /// message too, so that its connection can be reused.
    pub(crate) is_batch: bool,
    /// Timeout of the call, counted from `decided_at`.
    pub(crate) timeout: Duration,
    pub(crate) connect_timeout: Duration,
    pub(crate) decided_at: Instant,
    /// Requests permission to call the endpoint; the receiver gets the reply.
    pub(crate) request_send_permission: Box<dyn Fn() -> Receiver<bool>>,
    /// Records the attempts in the spool, right before the first byte. Returns their outcome as the error if they must
    /// not be sent.
    pub(crate) record_attempts: Box<dyn Fn() -> Result<(), Outcome>>,
    pub(crate) stage: Rc<Cell<CallStage>>,
}

impl Call {
    /// Makes the call, once, and reports the results of all its messages when it is over. No result is reported
    /// earlier, as the next message of a key must wait until the call has ended.
    pub(crate) async fn run(self, pool: &ConnectionPool, report: impl Fn(CallResult)) {
        // Counted from the decision on, so that a task that waits for the CPU gets no extra time.
        let deadline = self.decided_at + self.timeout;
        let timed_out = async {
            Timer::at(deadline).await;
            // The request was not sent completely, so it can't have run.
            Err(Outcome::ConnectFailed)
        };
        let result = match self.send(pool, deadline).or(timed_out).await {
            Ok(connection) => self.receive(connection, deadline, pool).await,
            Err(outcome) => self.uniform_result(outcome, CallEnd::NotWritten, false),
        };
        self.log_end(&result);
        report(result);
    }

    /// Logs the outcome of each attempt and the stage in which the call ended.
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

    /// Returns the position that the response to this call has, or would have, among the responses on the connection.
    fn response_position(&self, connection: &HttpConnection) -> ResponsePosition {
        match connection.earlier_responses {
            EarlierResponses::None => ResponsePosition::First,
            EarlierResponses::Named if self.is_batch => ResponsePosition::Named,
            EarlierResponses::Named | EarlierResponses::Unnamed => ResponsePosition::Last,
        }
    }

    fn uniform_result(&self, outcome: Outcome, end: CallEnd, closed: bool) -> CallResult {
        CallResult::uniform(self.messages.iter().map(|message| message.message), outcome, end, closed)
    }

    /// Returns the result of a call without a complete response: the relay abandoned it or its connection was closed,
    /// so whatever the outcome, the endpoint may still be running it.
    fn interrupted_result(&self, outcome: Outcome) -> CallResult {
        self.uniform_result(outcome, CallEnd::Interrupted, false)
    }

    fn answered_result(&self, outcome: Outcome, closed: bool) -> CallResult {
        self.uniform_result(outcome, CallEnd::Answered, closed)
    }

    /// Returns an idle connection from the pool, or opens a new one.
    async fn connect(&self, pool: &ConnectionPool) -> Result<HttpConnection, Outcome> {
        if let Some(connection) = pool.take(self.endpoint_id, self.endpoint.address) {
            if self.response_position(&connection) != ResponsePosition::Last
                || pool.announces_close(self.endpoint_id) == Some(true)
            {
                return Ok(connection);
            }
            pool.put_back(self.endpoint_id, connection);
        }
        let timed_out = async {
            Timer::after(self.connect_timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let server_name = format!("endpoint {}", self.endpoint.name);
        let opened = HttpConnection::open(self.endpoint.address, server_name).or(timed_out).await;
        opened.map_err(|e| {
            info!("connection to endpoint {} not made: {}", self.endpoint.name, e.kind());
            if is_local_error(&e) { Outcome::LocalFailure } else { Outcome::ConnectFailed }
        })
    }

    /// Writes the request on an idle connection or a new one. If the call ends before its first byte, the connection
    /// goes back to the pool for other calls.
    async fn send(&self, pool: &ConnectionPool, deadline: Instant) -> Result<HttpConnection, Outcome> {
        let mut connection = self.connect(pool).await?;
        if !self.is_still_allowed().await {
            info!(
                "call to endpoint {} not made: no longer allowed (unavailable, moved, Retry-After or relay stopping)",
                self.endpoint.name
            );
            pool.put_back(self.endpoint_id, connection);
            return Err(Outcome::NotSent);
        }
        // The permission may have taken long, and the idle timeout of a reused connection may have expired meanwhile.
        if connection.requests > 0 && !pool.is_usable(&mut connection) {
            connection = self.connect(pool).await?;
        }
        let position = self.response_position(&connection);
        // If the connection is established and the deadline expires at the same time, no byte may be sent after the
        // deadline.
        if Instant::now() >= deadline {
            pool.put_back(self.endpoint_id, connection);
            return Err(Outcome::ConnectFailed);
        }
        let request = self.request(self.asks_to_close(position, pool));
        // Recorded only now, so that a process that exits while connecting leaves no attempt that may have run.
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

    /// Returns whether the call may still be sent. If it is delayed, as its connection was slow to establish or its
    /// task waited for the CPU, a `Retry-After` or a drain may have been received since the decision. This applies to
    /// reused connections too.
    async fn is_still_allowed(&self) -> bool {
        if self.decided_at.elapsed() <= DELAYED_SEND_THRESHOLD {
            return true;
        }
        (self.request_send_permission)().recv().await.unwrap_or(false)
    }

    /// Checks permission and deadline again after a slow write to the state folder.
    async fn check_after_record(&self, recording_since: Instant, deadline: Instant) -> Result<(), Outcome> {
        if recording_since.elapsed() <= DELAYED_SEND_THRESHOLD {
            return Ok(());
        }
        let is_allowed = (self.request_send_permission)().recv().await.unwrap_or(false);
        if !is_allowed {
            info!(
                "call to endpoint {} not made: no longer allowed after a slow write to the state folder",
                self.endpoint.name
            );
            return Err(Outcome::NotSent);
        }
        if Instant::now() >= deadline { Err(Outcome::ConnectFailed) } else { Ok(()) }
    }

    /// Returns whether the request asks the endpoint to close the connection behind the response: the last one on a
    /// connection does, and those that show whether the endpoint's responses announce it.
    fn asks_to_close(&self, position: ResponsePosition, pool: &ConnectionPool) -> bool {
        let is_trial = !self.is_batch && pool.announces_close(self.endpoint_id) != Some(true);
        position == ResponsePosition::Last || is_trial
    }

    fn request(&self, asks_to_close: bool) -> Vec<u8> {
        let host = self.endpoint.address.to_string();
        let timeout_ms = self.timeout.as_millis().max(1).to_string();
        let mut headers = vec![("X-Timeout-Ms", timeout_ms.as_bytes())];
        if asks_to_close {
            headers.push(("Connection", b"close"));
        }
        if !self.is_batch
            && let [message] = &self.messages[..]
        {
            headers.push(("X-Request-ID", &message.id[..]));
            if let Some(key) = &message.idempotency_key {
                headers.push(("Idempotency-Key", key.as_bytes()));
            }
            return encode_request("POST", "/receive", &host, &headers, &message.body);
        }
        let body = encode_batch(&self.messages);
        encode_request("POST", "/receive-many", &host, &headers, &body)
    }

    /// Reads the response and returns the result of the call.
    async fn receive(
        &self,
        mut connection: HttpConnection,
        deadline: Instant,
        pool: &ConnectionPool,
    ) -> CallResult {
        let position = self.response_position(&connection);
        let (response, is_kept) = match self.read_response(&mut connection, position, deadline, pool).await {
            Ok(response) => response,
            Err(ResponseError::TimedOut) => return self.interrupted_result(Outcome::TimedOut),
            Err(ResponseError::ConnectionClosed) => return self.interrupted_result(Outcome::Reset),
            // Also if the readable part has a status that rejects the message: it may have run nevertheless.
            Err(ResponseError::Unreadable) => return self.interrupted_result(Outcome::Error),
        };
        // Other responses may announce the end for reasons of the endpoint's own.
        let is_trial = !self.is_batch && pool.announces_close(self.endpoint_id).is_none();
        if is_trial && response.status == STATUS_OK && response.is_complete {
            pool.record_announces_close(self.endpoint_id, response.announces_close());
        }
        if is_kept {
            self.keep(connection, &response, pool);
        }
        if position == ResponsePosition::First && is_connection_limit(&response, is_kept) {
            debug!(
                "endpoint {} rejected a new connection: its connection limit is reached",
                self.endpoint.name
            );
            return self.answered_result(Outcome::ConnectionLimit, false);
        }
        let mut result = self.interpret(&response);
        result.load_report = response.load_report;
        result
    }

    /// Puts the connection back if the responses to later calls on it can be told from late copies of the earlier ones.
    fn keep(&self, mut connection: HttpConnection, response: &Response, pool: &ConnectionPool) {
        if !self.has_final_results(response) {
            connection.earlier_responses = EarlierResponses::Unnamed;
        } else if connection.earlier_responses == EarlierResponses::None {
            connection.earlier_responses = EarlierResponses::Named;
        }
        let is_reusable = connection.earlier_responses == EarlierResponses::Named
            || pool.announces_close(self.endpoint_id) == Some(true);
        if is_reusable {
            pool.put_back(self.endpoint_id, connection);
        } else {
            connection.close(CloseReason::UnidentifiableResponse);
        }
    }

    /// Reads the response to this call, and returns it with whether the endpoint keeps the connection open. Skips late
    /// copies of the responses to earlier calls on the connection.
    async fn read_response(
        &self,
        connection: &mut HttpConnection,
        position: ResponsePosition,
        deadline: Instant,
        pool: &ConnectionPool,
    ) -> Result<(Response, bool), ResponseError> {
        for skipped in 0..=MAX_SKIPPED_RESPONSES {
            let read = connection.read_response(MAX_RESPONSE_BYTES, deadline).await;
            if position == ResponsePosition::Last && skipped > 0 && read.is_err() {
                // The response to this call may be one of those that were skipped.
                pool.record_announces_close(self.endpoint_id, false);
            }
            let (response, is_kept) = read?;
            if position != ResponsePosition::First && !response.is_complete {
                return Err(ResponseError::Unreadable);
            }
            if !self.is_late_copy(&response, position) {
                return Ok((response, is_kept));
            }
            info!("endpoint {} sent a copy of an earlier response; skipped", self.endpoint.name);
        }
        Err(ResponseError::Unreadable)
    }

    /// Returns whether a response is a copy of an earlier one on the connection. An endpoint may send a copy at any time.
    fn is_late_copy(&self, response: &Response, position: ResponsePosition) -> bool {
        match position {
            ResponsePosition::First => false,
            ResponsePosition::Named => {
                response.status == STATUS_OK && self.results(response).all(|result| result.is_none())
            }
            ResponsePosition::Last => !response.announces_close(),
        }
    }

    /// Returns the results that a batch response names, by message.
    fn results<'a>(&'a self, response: &'a Response) -> impl Iterator<Item = Option<BatchResult>> + 'a {
        let batch = BatchResponse::parse(if self.is_batch { &response.body } else { &[] });
        self.messages.iter().map(move |message| batch.result(&message.id))
    }

    /// Returns whether the response names every message of the call, and closes it, so that no later call sends it.
    fn has_final_results(&self, response: &Response) -> bool {
        response.status == STATUS_OK
            && response.is_complete
            && self.results(response).all(|result| result.is_some_and(BatchResult::is_final))
    }

    /// Returns the result that the response has for each message.
    fn interpret(&self, response: &Response) -> CallResult {
        let seconds = response.retry_after.unwrap_or(0.0).min(MAX_RETRY_AFTER_SECONDS);
        let retry_after = Duration::from_secs_f64(seconds);
        if !retry_after.is_zero() {
            let (name, status) = (&self.endpoint.name, response.status);
            debug!("endpoint {name} responded with status {status} and Retry-After {retry_after:?}");
        }
        match response.status {
            // The status line alone confirms the delivery. But the endpoint may still be running the call.
            STATUS_OK if !self.is_batch && !response.is_complete => {
                self.uniform_result(Outcome::Delivered, CallEnd::Interrupted, true)
            }
            STATUS_OK if !self.is_batch => self.answered_result(Outcome::Delivered, true),
            STATUS_OK if !response.is_complete => self.interrupted_result(Outcome::Error),
            STATUS_OK => self.interpret_batch(response, retry_after),
            429 => self.answered_result(Outcome::Rejected { retry_after }, false),
            503 if response.slots_taken => self.answered_result(Outcome::NotSent, false),
            503 => self.answered_result(Outcome::Rejected { retry_after }, false),
            504 => self.answered_result(Outcome::NotSent, false),
            410 => self.answered_result(Outcome::NotSent, true),
            // By the protocol, no message of a batch has run if the batch could not be read or was too large.
            400 | 413 if self.is_batch => {
                error!(
                    "endpoint {} responded to a batch call with status {}: no message of it has run",
                    self.endpoint.name, response.status
                );
                self.answered_result(Outcome::Rejected { retry_after: Duration::ZERO }, false)
            }
            400 | 404 | 413 => {
                error!(
                    "endpoint {} responded to a call with status {}: the attempt failed",
                    self.endpoint.name, response.status
                );
                self.answered_result(Outcome::Error, false)
            }
            _ => self.answered_result(Outcome::Error, false),
        }
    }

    /// Returns the result of each message of a batch.
    fn interpret_batch(&self, response: &Response, retry_after: Duration) -> CallResult {
        let result = |(message, result): (&CallMessage, Option<BatchResult>)| {
            // A message that is not named may have run.
            let result = result.unwrap_or(BatchResult::Failed);
            let outcome = result.outcome(retry_after);
            let run = RunState::from_call(outcome, CallEnd::Answered);
            AttemptResult { message: message.message, outcome, run, closed: result.is_final() }
        };
        CallResult {
            attempts: self.messages.iter().zip(self.results(response)).map(result).collect(),
            // It applies whether or not a message was rejected.
            retry_after: (!retry_after.is_zero()).then_some(retry_after),
            load_report: None,
        }
    }
}

/// Returns whether a connect error is caused by this machine and so says nothing about the endpoint.
pub(super) fn is_local_error(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    errno.is_some_and(|errno| LOCAL_CONNECT_ERRORS.contains(&errno))
}

/// Returns whether the first response on a connection means that the endpoint's connection limit is reached: a 503
/// without `Retry-After`, behind which the connection is closed. There is no other sign of it. It is no rate limit:
/// established connections still work.
fn is_connection_limit(response: &Response, is_kept: bool) -> bool {
    response.status == 503 && !is_kept && !response.slots_taken && response.retry_after.is_none()
}
