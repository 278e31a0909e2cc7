//! One call to an endpoint, from its connection to its response. A call carries one attempt of each of its messages.
//!
//! A call goes through the stages of [`CallStage`], so that code that drops it can determine whether its messages may
//! have run. A call is made once; the policy decides whether and when to retry.

use super::batch::encode_batch;
use super::call_response::ResponsePosition;
use super::connection_pool::ConnectionPool;
use super::endpoint_table::Endpoint;
use super::http1::{HttpConnection, encode_request};
use crate::transitions::Transition;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{debug, info};
use mountshift::interface::{CallEnd, EndpointId, MessageId, Outcome, RunState};
use rustix::io::Errno;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Delay, after the decision or while the attempts are recorded, from which a call needs permission again before its
/// first byte is sent.
const DELAYED_SEND_THRESHOLD: Duration = Duration::from_millis(50);

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

    pub(super) fn uniform_result(&self, outcome: Outcome, end: CallEnd, closed: bool) -> CallResult {
        CallResult::uniform(self.messages.iter().map(|message| message.message), outcome, end, closed)
    }

    /// Returns the result of a call without a complete response: the relay abandoned it or its connection was closed,
    /// so whatever the outcome, the endpoint may still be running it.
    pub(super) fn interrupted_result(&self, outcome: Outcome) -> CallResult {
        self.uniform_result(outcome, CallEnd::Interrupted, false)
    }

    pub(super) fn answered_result(&self, outcome: Outcome, closed: bool) -> CallResult {
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
}

/// Returns whether a connect error is caused by this machine and so says nothing about the endpoint.
pub(super) fn is_local_error(error: &std::io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    errno.is_some_and(|errno| LOCAL_CONNECT_ERRORS.contains(&errno))
}
