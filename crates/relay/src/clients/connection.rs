//! One client's connection, from the first byte to its end.
//!
//! Owns the socket, what was read and not yet carried out, and the order of the replies. A connection is always in one
//! of three states ([`Expecting`]); each round waits for input, carries out the requests that have arrived whole and
//! writes their replies. Never takes back a message whose reply left whole, and never reads without a bound.

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

/// Bytes of a request at most, with room for its words beside the body. More than one request may be in the buffer,
/// but no more is read before it is parsed.
const MAX_REQUEST_BYTES: usize = MAX_BODY_BYTES + 4 * 1024;
/// Bytes that one read takes.
pub(super) const READ_CHUNK_BYTES: usize = 16 * 1024;
/// The first request must begin by then, a request that has begun must be whole and a reply taken: far more than a
/// client that is well needs, and within what others may be kept waiting for a place.
const SLOW_CLIENT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// While stopping a new connection is closed if its first request has not begun by then: who opens one means to ask.
const FIRST_REQUEST_WHILE_STOPPING: Duration = Duration::from_millis(400);
/// A client that asks for nothing for so long is disconnected, so that its place is free.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Requests of one connection carried out in one turn, so that a client that sends many doesn't go before all others.
pub(super) const MAX_REQUESTS_PER_TURN: usize = 32;
/// The pause before the next read, for each error reply in a row: slows down a client that repeats its error.
const PAUSE_PER_ERROR: Duration = Duration::from_millis(50);
/// The pause grows no longer than this many errors make it: one second.
const MAX_PAUSED_ERRORS: u32 = 20;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expecting {
    /// The beginning of its first request.
    FirstRequest,
    /// The rest of a request that has begun.
    Remainder,
    /// The beginning of another request.
    NextRequest,
}

/// What ended a wait for input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wakeup {
    Input,
    /// The time for what is expected is over, or the place is needed for another connection.
    TimeOver,
    Stopping,
    Standby,
}

/// The reply to a request.
pub(super) enum Reply {
    /// Known already.
    Line(String),
    /// To come from the dispatcher.
    Pending(Receiver<SubmissionReply>),
}

/// What a turn did with the buffered requests.
struct Turn {
    replies: Vec<Reply>,
    end: TurnEnd,
}

/// Why a turn ended.
enum TurnEnd {
    /// No whole request is left in the buffer.
    BufferDrained,
    /// Whole requests may be left, but it is the turn of others.
    MaxRequestsReached,
    /// The client said that it was done.
    Quit,
    /// What is left is no request.
    Invalid(ProtocolError),
}

/// Replies as bytes, with the place of each that tells of a newly accepted message.
#[derive(Default)]
struct ReplyBytes {
    bytes: Vec<u8>,
    accepted: Vec<AcceptedReply>,
    /// Requests that these replies answer; some replies are to no request.
    answered: u64,
    /// The dispatcher is gone: what it had not answered stays unanswered.
    dispatcher_gone: bool,
}

/// A reply that tells a client that its message was accepted.
pub(super) struct AcceptedReply {
    pub(super) message: MessageId,
    /// Where its line ends among the bytes of all replies.
    pub(super) end: usize,
}

/// A client's connection.
pub(super) struct ClientConnection {
    pub(super) stream: Async<TcpStream>,
    /// Its number among all connections so far.
    pub(super) number: u64,
    /// Closed when it is to make room for another connection.
    pub(super) evict: Sender<()>,
    pub(super) evicted: Receiver<()>,
    /// When it was accepted, its last request was answered or the one it is sending began.
    pub(super) waiting_since: Instant,
    pub(super) buffer: Vec<u8>,
    /// Requests in a row that were answered with an error.
    consecutive_errors: u32,
    /// Requests read so far.
    pub(super) requests: u64,
    /// Requests whose replies have left whole.
    pub(super) answered_requests: u64,
}

impl ClientConnection {
    /// A connection just accepted.
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

    /// Requests that were read and have no answer, those still in the buffer included.
    pub(super) fn unanswered_requests(&self) -> u64 {
        let mut buffered = 0;
        let mut rest = &self.buffer[..];
        while let Ok(Some(request)) = protocol::parse_request(rest) {
            rest = &rest[request.wire_bytes..];
            buffered += 1;
        }
        self.requests.saturating_sub(self.answered_requests) + buffered
    }

    /// Serves the client until the connection ends; says why it did.
    pub(super) async fn run(&mut self, service: &ClientService) -> CloseReason {
        let mut has_buffered_requests = false;
        loop {
            // A connection may only be closed while it has nothing to say: a request that has arrived is answered.
            if !has_buffered_requests
                && !self.has_input()
                && let Err(reason) = self.wait_for_input(service).await
            {
                return reason;
            }
            if service.config.ending.is_closed() {
                return self.reject_at_the_end(service).await;
            }
            match self.read_available() {
                Ok(Input::Open) => {}
                Ok(Input::Unreadable) => transient::pause().await,
                // A client that is gone hears no reply: what it asked last is not accepted.
                Ok(Input::Ended) => return self.reject_after_end_of_input(),
                Err(_) => return CloseReason::Broken,
            }
            match self.take_turn(service).await {
                Ok(has_more) => has_buffered_requests = has_more,
                Err(reason) => return reason,
            }
        }
    }

    fn expecting(&self) -> Expecting {
        if !self.buffer.is_empty() {
            Expecting::Remainder
        } else if self.requests == 0 {
            Expecting::FirstRequest
        } else {
            Expecting::NextRequest
        }
    }

    /// Waits until there is something to read; else says why the connection ends.
    async fn wait_for_input(&mut self, service: &ClientService) -> Result<(), CloseReason> {
        let expecting = self.expecting();
        service.start_waiting(self);
        let wakeup = self.next_wakeup(service, expecting).await;
        let has_input = self.has_input();
        service.stop_waiting(self.number);
        if has_input || wakeup == Wakeup::Input {
            if expecting == Expecting::NextRequest {
                self.waiting_since = Instant::now();
            }
            return Ok(());
        }
        Err(match (wakeup, expecting) {
            // While stopping the rest of a request is waited for, up to the end of the process.
            (Wakeup::Stopping, Expecting::Remainder) => self.reject_at_the_end(service).await,
            (Wakeup::Stopping, _) => CloseReason::Stopping,
            (Wakeup::Standby, _) => CloseReason::Standby,
            (_, Expecting::Remainder) if self.evicted.is_closed() => {
                // Nobody took the request on: it may come again.
                self.close_after(vec![busy()], CloseReason::Evicted, service).await
            }
            (_, Expecting::Remainder) => {
                let late = Reply::Line(protocol::error_line("the request did not come in time"));
                self.close_after(vec![late], CloseReason::Slow, service).await
            }
            (_, Expecting::FirstRequest) => CloseReason::Silent,
            (_, Expecting::NextRequest) => CloseReason::Idle,
        })
    }

    /// The first event that ends a wait; of several at one moment the one named first.
    async fn next_wakeup(&self, service: &ClientService, expecting: Expecting) -> Wakeup {
        let timeout = match expecting {
            Expecting::FirstRequest | Expecting::Remainder => SLOW_CLIENT_TIMEOUT,
            Expecting::NextRequest => IDLE_TIMEOUT,
        };
        let stopping = async {
            let _ = service.config.stopping.recv().await;
            match expecting {
                Expecting::FirstRequest => {
                    Timer::at(self.waiting_since + FIRST_REQUEST_WHILE_STOPPING).await;
                }
                // A request that has begun is waited for.
                Expecting::Remainder => std::future::pending().await,
                Expecting::NextRequest => {}
            }
            Wakeup::Stopping
        };
        let standby = async {
            if expecting == Expecting::Remainder {
                std::future::pending::<()>().await;
            }
            service.standby_closes_idle(self.waiting_since).await;
            Wakeup::Standby
        };
        let ending = async {
            let _ = service.config.ending.recv().await;
            Wakeup::Stopping
        };
        let time_over = self.time_over(self.waiting_since + timeout);
        self.readable().or(time_over).or(stopping).or(standby).or(ending).await
    }

    /// Waits until there may be something to read. A wait that fails tells nothing of the connection; the read behind it
    /// does.
    pub(super) async fn readable(&self) -> Wakeup {
        transient::readable(&self.stream).await;
        Wakeup::Input
    }

    /// Waits until `due`, or until the place is needed for another connection.
    pub(super) async fn time_over(&self, due: Instant) -> Wakeup {
        let late = async {
            Timer::at(due).await;
        };
        let evicted = async {
            let _ = self.evicted.recv().await;
        };
        late.or(evicted).await;
        Wakeup::TimeOver
    }

    /// Carries out the requests that have arrived whole, as many as one turn allows, and writes their replies; says if
    /// whole requests may be left, or why the connection ends.
    async fn take_turn(&mut self, service: &ClientService) -> Result<bool, CloseReason> {
        let requests_before = self.requests;
        let Turn { mut replies, end } = self.run_buffered_requests(service);
        let has_more = match end {
            TurnEnd::BufferDrained => false,
            TurnEnd::MaxRequestsReached => true,
            TurnEnd::Quit => {
                replies.push(Reply::Line(protocol::OK.to_string()));
                return Err(self.close_after(replies, CloseReason::Quit, service).await);
            }
            TurnEnd::Invalid(error) => {
                replies.push(Reply::Line(protocol::error_line(format!("Protocol error: {error}"))));
                return Err(self.close_after(replies, CloseReason::ProtocolError, service).await);
            }
        };
        self.send_replies(replies, service).await?;
        let answered = self.requests > requests_before;
        if answered {
            self.waiting_since = Instant::now();
        }
        // In standby a connection ends once it is owed nothing, and none is held long after the operators' call.
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
            // Gives back the memory of a large request.
            self.buffer = Vec::new();
        }
        // A client may submit the same again the moment it gets an error.
        if self.consecutive_errors > 0 && answered {
            Timer::after(PAUSE_PER_ERROR * self.consecutive_errors.min(MAX_PAUSED_ERRORS)).await;
        }
        Ok(false)
    }

    /// Carries out buffered requests in order; what is left of the buffer waits for the next turn.
    fn run_buffered_requests(&mut self, service: &ClientService) -> Turn {
        let mut replies = Vec::new();
        while replies.len() < MAX_REQUESTS_PER_TURN {
            let request = match protocol::parse_request(&self.buffer) {
                Ok(Some(request)) => request,
                // The rest of a request this large will not be read.
                Ok(None) if self.buffer.len() > MAX_REQUEST_BYTES => {
                    return Turn { replies, end: TurnEnd::Invalid(ProtocolError::RequestTooLarge) };
                }
                Ok(None) => return Turn { replies, end: TurnEnd::BufferDrained },
                Err(error) => return Turn { replies, end: TurnEnd::Invalid(error) },
            };
            self.buffer.drain(..request.wire_bytes);
            self.requests += 1;
            match Command::parse(request.words) {
                Ok(Command::Quit) => return Turn { replies, end: TurnEnd::Quit },
                command => replies.push(run_command(command, service)),
            }
        }
        Turn { replies, end: TurnEnd::MaxRequestsReached }
    }

    /// True if there is something to read, the end of the connection included.
    fn has_input(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        !peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads what has come, as far as the buffer goes.
    pub(super) fn read_available(&mut self) -> io::Result<Input> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        while self.buffer.len() <= MAX_REQUEST_BYTES {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => return Ok(Input::Ended),
                Ok(read) => self.buffer.extend(&chunk[..read]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if is_transient(&e) => return Ok(Input::Unreadable),
                Err(e) => return Err(e),
            }
        }
        Ok(Input::Open)
    }

    /// Writes the replies in order; says why the connection ends if it does. A message whose reply did not leave whole
    /// is withdrawn; one whose reply did stands, whatever comes after it, as its client may have read it.
    pub(super) async fn send_replies(
        &mut self,
        replies: Vec<Reply>,
        service: &ClientService,
    ) -> Result<(), CloseReason> {
        let ReplyBytes { bytes, accepted, answered, dispatcher_gone } = self.collect_replies(replies).await;
        let when_written = if dispatcher_gone { Err(CloseReason::Stopping) } else { Ok(()) };
        if bytes.is_empty() {
            return when_written;
        }
        let has_ended_sending = matches!(self.stream.get_ref().peek(&mut [0]), Ok(0));
        let (unwritten, result) = write_in_time(&mut self.stream, &bytes).await;
        // A client that has only ended its sending reads the replies; one that is gone answers them with a reset. It
        // comes at once where both are on one machine. Later the client may have read them: then they stand.
        let is_gone = has_ended_sending && self.is_reset();
        let reason = match result {
            Ok(()) if !is_gone => {
                self.answered_requests += answered;
                return when_written;
            }
            Err(e) if e.kind() == io::ErrorKind::TimedOut => CloseReason::Slow,
            _ => CloseReason::ClosedBeforeReply,
        };
        let heard = if is_gone { 0 } else { bytes.len() - unwritten };
        for message in unheard_messages(&accepted, heard) {
            (service.config.withdraw)(message);
        }
        Err(reason)
    }

    /// True if the client has answered what was written with a reset.
    fn is_reset(&self) -> bool {
        let peeked = self.stream.get_ref().peek(&mut [0]);
        peeked.is_err_and(|e| e.kind() != io::ErrorKind::WouldBlock && !is_transient(&e))
    }

    /// Waits for the replies and puts their lines together.
    async fn collect_replies(&mut self, replies: Vec<Reply>) -> ReplyBytes {
        let mut collected = ReplyBytes::default();
        for reply in replies {
            let line = match reply {
                Reply::Line(line) => line,
                Reply::Pending(pending) => {
                    let Ok(reply) = pending.recv().await else {
                        collected.dispatcher_gone = true;
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
                debug!("answered: {}", line.trim_end());
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

/// Whether a client may still send.
pub(super) enum Input {
    Open,
    /// It can't be told at this moment.
    Unreadable,
    Ended,
}

/// The reply to a request that nobody takes on.
pub(super) fn busy() -> Reply {
    Reply::Line(protocol::BUSY.to_string())
}

/// Carries out a command other than `QUIT`, which ends its turn.
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

/// Writes the bytes within the time that a client has to take them; says how many are left if that fails.
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

/// The accepted messages whose replies did not leave whole, when so many bytes were written.
pub(super) fn unheard_messages(
    accepted: &[AcceptedReply],
    written: usize,
) -> impl Iterator<Item = MessageId> {
    accepted.iter().filter(move |reply| reply.end > written).map(|reply| reply.message)
}
