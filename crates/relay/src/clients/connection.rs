//! A client connection.
//!
//! Owns the socket, the buffered input and the order of the replies. A connection is always in one of three states
//! ([`ExpectedInput`]); each turn waits for input, executes the complete requests in the buffer and writes their
//! replies. A message whose reply was written completely is never withdrawn, and the input buffer is bounded.

use super::ClientService;
use super::close_reason::CloseReason;
use super::protocol::{self, Command, CommandError, ProtocolError};
use super::submission::{MAX_BODY_BYTES, SubmissionReply};
use crate::transient::{self, is_transient};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncWrite, FutureExt};
use log::debug;
use mountshift::interface::MessageId;
use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum size of a request in bytes: the body and room for the other arguments. The buffer may hold several requests;
/// once it exceeds this size, nothing more is read until it is parsed.
const MAX_REQUEST_BYTES: usize = MAX_BODY_BYTES + 4 * 1024;
/// Maximum number of bytes per read.
pub(super) const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Time limit for the start of the first request, for the completion of a request and for writing replies. A healthy
/// client needs far less, and other clients can wait this long for a free connection.
const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for the start of the first request while the relay stops. A client that opens a connection is about to
/// send a request, so the connection is not closed at once.
const FIRST_REQUEST_STOPPING_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a request after which an idle connection is closed to make room for others.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same for a successor that leaves clients to the active process: the next connection goes there again.
const SUCCESSOR_IDLE_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum number of requests of a connection executed per turn, so that a pipelining client does not delay others.
pub(super) const MAX_REQUESTS_PER_TURN: usize = 32;
/// Delay before the next read per consecutive error reply, to slow down a client that repeats an invalid request.
const ERROR_REPLY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of consecutive errors that extend the delay, which limits it to one second.
const MAX_ERROR_REPLY_DELAYS: u32 = 20;

/// Input that a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpectedInput {
    /// Start of the first request.
    FirstRequest,
    /// Rest of an incomplete request.
    Remainder,
    /// Start of a further request.
    NextRequest,
}

/// Event that ended a wait for input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wakeup {
    Input,
    /// The time limit has expired, or the connection was evicted to make room for another one.
    TimedOutOrEvicted,
    Stopping,
    Standby,
}

/// Reply to a request.
pub(super) enum Reply {
    /// Complete reply line.
    Line(String),
    /// Channel on which the dispatcher sends the reply.
    Pending(Receiver<SubmissionReply>),
}

/// Result of executing the buffered requests.
struct Turn {
    replies: Vec<Reply>,
    end: TurnEnd,
}

/// Reason for the end of a turn.
enum TurnEnd {
    /// The buffer has no further complete request.
    BufferDrained,
    /// The limit per turn is reached; the buffer may have further complete requests.
    MaxRequestsReached,
    /// The client sent `QUIT`.
    Quit,
    /// The rest of the buffer is not a valid request.
    Invalid(ProtocolError),
}

/// Encoded replies, with the position of each "accepted" reply.
#[derive(Default)]
struct ReplyBytes {
    bytes: Vec<u8>,
    accepted: Vec<AcceptedReply>,
    /// Number of replies. A reply to invalid input counts too.
    answered: u64,
    /// Whether the dispatcher has stopped, so that the remaining requests get no reply.
    is_dispatcher_closed: bool,
}

/// An "accepted" reply among the encoded replies.
pub(super) struct AcceptedReply {
    pub(super) message: MessageId,
    /// Position of the byte after its line.
    pub(super) end: usize,
}

/// A client connection.
pub(super) struct ClientConnection {
    pub(super) stream: Async<TcpStream>,
    /// Sequence number of the connection.
    pub(super) number: u64,
    /// Channel that is closed to evict the connection in favor of another one.
    pub(super) evict: Sender<()>,
    pub(super) evicted: Receiver<()>,
    /// Time of the last of: accept, reply to the last request, start of the current request.
    pub(super) waiting_since: Instant,
    pub(super) buffer: Vec<u8>,
    /// Number of consecutive requests answered with an error.
    consecutive_errors: u32,
    /// Number of requests read.
    pub(super) requests: u64,
    /// Number of requests whose replies were written completely.
    pub(super) answered_requests: u64,
}

impl ClientConnection {
    /// Returns the state of a newly accepted connection.
    pub(super) fn new(stream: Async<TcpStream>, number: u64) -> ClientConnection {
        let _ = stream.get_ref().set_nodelay(true);
        let (evict, evicted) = async_channel::bounded(1);
        ClientConnection {
            stream,
            number,
            evict,
            evicted,
            waiting_since: Instant::now(),
            buffer: Vec::new(),
            consecutive_errors: 0,
            requests: 0,
            answered_requests: 0,
        }
    }

    /// Returns the number of requests read but not answered, including those in the buffer.
    pub(super) fn unanswered_requests(&self) -> u64 {
        let mut buffered = 0;
        let mut rest = &self.buffer[..];
        while let Ok(Some(request)) = protocol::parse_request(rest) {
            rest = &rest[request.wire_bytes..];
            buffered += 1;
        }
        self.requests.saturating_sub(self.answered_requests) + buffered
    }

    /// Serves the client until the connection ends, and returns the reason.
    pub(super) async fn run(&mut self, service: &ClientService) -> CloseReason {
        let mut has_buffered_requests = false;
        loop {
            // A connection is only closed while no input is pending: every request that has arrived gets a reply.
            if !has_buffered_requests
                && !self.has_input()
                && let Err(reason) = self.wait_for_input(service).await
            {
                return reason;
            }
            if service.config.ending.is_closed() {
                return self.reject_on_exit(service).await;
            }
            match self.read_available() {
                Ok(Input::Open) => {}
                Ok(Input::TemporarilyUnreadable) => transient::pause().await,
                // The client may have closed the connection entirely, so its last requests are not accepted.
                Ok(Input::Ended) => return self.reject_after_end_of_input(),
                Err(_) => return CloseReason::Broken,
            }
            match self.take_turn(service).await {
                Ok(has_more) => has_buffered_requests = has_more,
                Err(reason) => return reason,
            }
        }
    }

    fn expecting(&self) -> ExpectedInput {
        if !self.buffer.is_empty() {
            ExpectedInput::Remainder
        } else if self.requests == 0 {
            ExpectedInput::FirstRequest
        } else {
            ExpectedInput::NextRequest
        }
    }

    /// Waits for input; returns the close reason if the wait ends without input.
    async fn wait_for_input(&mut self, service: &ClientService) -> Result<(), CloseReason> {
        let expecting = self.expecting();
        service.start_waiting(self);
        let wakeup = self.next_wakeup(service, expecting).await;
        let has_input = self.has_input();
        service.stop_waiting(self.number);
        if has_input || wakeup == Wakeup::Input {
            if expecting == ExpectedInput::NextRequest {
                self.waiting_since = Instant::now();
            }
            return Ok(());
        }
        Err(match (wakeup, expecting) {
            // Only the exit of the process ends the wait for the rest of a request.
            (Wakeup::Stopping, ExpectedInput::Remainder) => self.reject_on_exit(service).await,
            (Wakeup::Stopping, _) => CloseReason::Stopping,
            (Wakeup::Standby, _) => CloseReason::Standby,
            (_, ExpectedInput::Remainder) if self.evicted.is_closed() => {
                // The request was not submitted, so the client may safely repeat it.
                self.send_and_close(vec![busy_reply()], CloseReason::Evicted, service).await
            }
            (_, ExpectedInput::Remainder) => {
                let late = Reply::Line(protocol::error_line("the request did not come in time"));
                self.send_and_close(vec![late], CloseReason::Slow, service).await
            }
            (_, ExpectedInput::FirstRequest) => CloseReason::Silent,
            (_, ExpectedInput::NextRequest) if service.leaves_clients_to_active_process() => {
                CloseReason::Successor
            }
            (_, ExpectedInput::NextRequest) => CloseReason::Idle,
        })
    }

    /// Waits for the first event that ends a wait. The order in the last line decides between simultaneous events.
    async fn next_wakeup(&self, service: &ClientService, expecting: ExpectedInput) -> Wakeup {
        let timeout = match expecting {
            ExpectedInput::FirstRequest | ExpectedInput::Remainder => SLOW_CLIENT_TIMEOUT,
            ExpectedInput::NextRequest if service.leaves_clients_to_active_process() => {
                SUCCESSOR_IDLE_TIMEOUT
            }
            ExpectedInput::NextRequest => IDLE_TIMEOUT,
        };
        let stopping = async {
            let _ = service.config.stopping.recv().await;
            match expecting {
                ExpectedInput::FirstRequest => {
                    Timer::at(self.waiting_since + FIRST_REQUEST_STOPPING_TIMEOUT).await;
                }
                // The rest of a request may still arrive until the process exits.
                ExpectedInput::Remainder => std::future::pending().await,
                ExpectedInput::NextRequest => {}
            }
            Wakeup::Stopping
        };
        let standby = async {
            if expecting == ExpectedInput::Remainder {
                std::future::pending::<()>().await;
            }
            service.wait_for_standby_close(self.waiting_since).await;
            Wakeup::Standby
        };
        let ending = async {
            let _ = service.config.ending.recv().await;
            Wakeup::Stopping
        };
        let timeout_or_eviction = self.timeout_or_eviction(self.waiting_since + timeout);
        self.readable().or(timeout_or_eviction).or(stopping).or(standby).or(ending).await
    }

    /// Waits until the socket may be readable. The read that follows detects errors of the connection.
    pub(super) async fn readable(&self) -> Wakeup {
        transient::readable(&self.stream).await;
        Wakeup::Input
    }

    /// Waits until `due`, or until the connection is evicted.
    pub(super) async fn timeout_or_eviction(&self, due: Instant) -> Wakeup {
        let late = async {
            Timer::at(due).await;
        };
        let evicted = async {
            let _ = self.evicted.recv().await;
        };
        late.or(evicted).await;
        Wakeup::TimedOutOrEvicted
    }

    /// Executes up to [`MAX_REQUESTS_PER_TURN`] complete requests and writes their replies. Returns whether further
    /// complete requests may be buffered, or the close reason.
    async fn take_turn(&mut self, service: &ClientService) -> Result<bool, CloseReason> {
        let requests_before = self.requests;
        let Turn { mut replies, end } = self.run_buffered_requests(service);
        let has_more = match end {
            TurnEnd::BufferDrained => false,
            TurnEnd::MaxRequestsReached => true,
            TurnEnd::Quit => {
                replies.push(Reply::Line(protocol::OK.to_string()));
                return Err(self.send_and_close(replies, CloseReason::Quit, service).await);
            }
            TurnEnd::Invalid(error) => {
                replies.push(Reply::Line(protocol::error_line(format!("Protocol error: {error}"))));
                return Err(self.send_and_close(replies, CloseReason::ProtocolError, service).await);
            }
        };
        self.send_replies(replies, service).await?;
        let answered = self.requests > requests_before;
        if answered {
            self.waiting_since = Instant::now();
        }
        // In standby a connection is closed as soon as no reply is pending, to move clients away promptly.
        let standby =
            service.config.maintenance.borrow().should_close_connections(service.config.start.elapsed());
        if standby && self.buffer.is_empty() && !has_more && !self.has_input() {
            return Err(CloseReason::Standby);
        }
        if has_more {
            futures_lite::future::yield_now().await;
            return Ok(true);
        }
        if self.buffer.is_empty() {
            // Releases the memory of a large request.
            self.buffer = Vec::new();
        }
        // A client may repeat an invalid request as soon as it gets the error reply.
        if self.consecutive_errors > 0 && answered {
            Timer::after(ERROR_REPLY_DELAY * self.consecutive_errors.min(MAX_ERROR_REPLY_DELAYS)).await;
        }
        Ok(false)
    }

    /// Executes buffered requests in order, up to the limit per turn.
    fn run_buffered_requests(&mut self, service: &ClientService) -> Turn {
        let mut replies = Vec::new();
        while replies.len() < MAX_REQUESTS_PER_TURN {
            let request = match protocol::parse_request(&self.buffer) {
                Ok(Some(request)) => request,
                // The request exceeds the limit; its rest is not read.
                Ok(None) if self.buffer.len() > MAX_REQUEST_BYTES => {
                    return Turn { replies, end: TurnEnd::Invalid(ProtocolError::RequestTooLarge) };
                }
                Ok(None) => return Turn { replies, end: TurnEnd::BufferDrained },
                Err(error) => return Turn { replies, end: TurnEnd::Invalid(error) },
            };
            self.buffer.drain(..request.wire_bytes);
            self.requests += 1;
            match Command::parse(request.bulk_strings) {
                Ok(Command::Quit) => return Turn { replies, end: TurnEnd::Quit },
                command => replies.push(run_command(command, service)),
            }
        }
        Turn { replies, end: TurnEnd::MaxRequestsReached }
    }

    /// Returns whether input, or the end of the stream, can be read.
    fn has_input(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        !peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads the available input, up to the limit of the buffer.
    pub(super) fn read_available(&mut self) -> io::Result<Input> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.buffer.len() <= MAX_REQUEST_BYTES {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => return Ok(Input::Ended),
                Ok(read) => self.buffer.extend(&chunk[..read]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if is_transient(&e) => return Ok(Input::TemporarilyUnreadable),
                Err(e) => return Err(e),
            }
        }
        Ok(Input::Open)
    }

    /// Writes the replies in order; returns the close reason if the connection ends. A message whose reply was written
    /// incompletely is withdrawn. A message whose reply was written completely stays accepted, even if a later write
    /// fails, because the client may have read the reply.
    pub(super) async fn send_replies(
        &mut self,
        replies: Vec<Reply>,
        service: &ClientService,
    ) -> Result<(), CloseReason> {
        let ReplyBytes { bytes, accepted, answered, is_dispatcher_closed } =
            self.collect_replies(replies).await;
        let result_if_written = if is_dispatcher_closed { Err(CloseReason::Stopping) } else { Ok(()) };
        if bytes.is_empty() {
            return result_if_written;
        }
        let has_closed_sending = matches!(self.stream.get_ref().peek(&mut [0]), Ok(0));
        let (unwritten, result) = write_in_time(&mut self.stream, &bytes).await;
        // A client that closed only its sending direction reads the replies; one that closed the socket responds with a
        // reset, immediately if both are on the same machine. A later reset does not show that the replies were unread,
        // so the messages then stay accepted.
        let has_reset = has_closed_sending && self.is_reset();
        let reason = match result {
            Ok(()) if !has_reset => {
                self.answered_requests += answered;
                return result_if_written;
            }
            Err(e) if e.kind() == io::ErrorKind::TimedOut => CloseReason::Slow,
            _ => CloseReason::ClosedBeforeReply,
        };
        let delivered_bytes = if has_reset { 0 } else { bytes.len() - unwritten };
        for message in messages_with_incomplete_reply(&accepted, delivered_bytes) {
            (service.config.withdraw)(message);
        }
        Err(reason)
    }

    /// Returns whether the client has reset the connection.
    fn is_reset(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        peeked.is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock && !is_transient(&e))
    }

    /// Waits for the pending replies and concatenates all lines.
    async fn collect_replies(&mut self, replies: Vec<Reply>) -> ReplyBytes {
        let mut collected = ReplyBytes::default();
        for reply in replies {
            let line = match reply {
                Reply::Line(line) => line,
                Reply::Pending(pending) => {
                    let Ok(reply) = pending.recv().await else {
                        collected.is_dispatcher_closed = true;
                        break;
                    };
                    let line = protocol::submission_reply_line(&reply);
                    if let SubmissionReply::Accepted(message) = reply {
                        let end = collected.bytes.len() + line.len();
                        collected.accepted.push(AcceptedReply { message, end });
                    }
                    line
                }
            };
            if line.starts_with('-') {
                debug!("reply to a client: {}", line.trim_end());
            }
            if line.starts_with("-ERR") {
                self.consecutive_errors += 1;
            } else {
                self.consecutive_errors = 0;
            }
            collected.bytes.extend(line.as_bytes());
            collected.answered += 1;
        }
        collected
    }
}

/// State of the receiving direction after a read.
pub(super) enum Input {
    Open,
    /// The read failed with a transient error.
    TemporarilyUnreadable,
    Ended,
}

/// Returns the rejection of a request that was not submitted.
pub(super) fn busy_reply() -> Reply {
    Reply::Line(protocol::BUSY.to_string())
}

/// Executes a command; `QUIT` is handled by the caller because it ends the turn.
fn run_command(command: Result<Command, CommandError>, service: &ClientService) -> Reply {
    match command {
        Ok(Command::Submit(submission)) => {
            let (sender, pending) = async_channel::bounded(1);
            (service.config.submit)(submission, sender);
            Reply::Pending(pending)
        }
        Ok(Command::Ping) if !service.config.maintenance.borrow().should_answer_ping() => {
            Reply::Line(protocol::error_line("standby"))
        }
        Ok(Command::Ping) => Reply::Line("+PONG\r\n".to_string()),
        Ok(Command::Quit) => Reply::Line(protocol::OK.to_string()),
        Err(error) => Reply::Line(protocol::error_line(error)),
    }
}

/// Writes the bytes within [`SLOW_CLIENT_TIMEOUT`]; returns the number of unwritten bytes and the result.
pub(super) async fn write_in_time<W: AsyncWrite + Unpin>(
    writer: &mut W,
    bytes: &[u8],
) -> (usize, io::Result<()>) {
    let mut unwritten = bytes;
    let late = async {
        Timer::after(SLOW_CLIENT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let write = transient::write_all(writer, &mut unwritten);
    let result = write.or(late).await;
    (unwritten.len(), result)
}

/// Returns the accepted messages whose replies are not completely within the first `written` bytes.
pub(super) fn messages_with_incomplete_reply(
    accepted: &[AcceptedReply],
    written: usize,
) -> impl Iterator<Item = MessageId> {
    accepted.iter().filter(move |reply| reply.end > written).map(|reply| reply.message)
}
