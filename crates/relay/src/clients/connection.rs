//! One client's connection.

use super::protocol::{Words, request};
use super::submission::{Answer, BODY_MOST, handed_in};
use super::{Front, NO_ROOM};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncWrite, AsyncWriteExt, FutureExt};
use log::debug;
use mountshift::interface::MessageId;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Bytes of a request; more than one may be in the buffer, but no more is read before it is parsed.
const REQUEST_MOST: usize = BODY_MOST + 4 * 1024;

/// A request that has begun must be whole by then, an answer taken; a new connection's first one is due.
const SLOW: Duration = Duration::from_millis(2_500);
/// While stopping a new connection is let go if its first request has not begun by then: who opens one means to ask.
const FIRST: Duration = Duration::from_millis(400);
/// A client that has nothing to ask for so long is let go.
const IDLE: Duration = Duration::from_secs(10);
/// Requests of one connection that are taken in before the others get their turn.
pub(super) const AT_ONCE: usize = 32;
/// After requests that can't be used, for each in a row, before the next is read; at most so many times.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
const ERROR_PAUSES: u32 = 20;
/// What still comes after the last answer is read for so long, and so much of it, at this pace.
const LINGER: Duration = Duration::from_millis(2_500);
const LINGER_MOST: usize = 80_000_000;
const LINGER_PAUSE: Duration = Duration::from_millis(1);

/// What a client hears once its message is taken on.
const TAKEN: &str = "+OK\r\n";

pub(super) struct Client {
    pub(super) stream: Async<TcpStream>,
    pub(super) number: u64,
    /// Closed when it is to make room for another.
    pub(super) leave: (Sender<()>, Receiver<()>),
    /// When it came, its last request was answered or the one it is sending began.
    pub(super) since: Instant,
    pub(super) buffer: Vec<u8>,
    /// Requests in a row that could not be used.
    pub(super) errors: u32,
    pub(super) requests: u64,
}

/// The reply to a request, or who will tell it.
enum Reply {
    Now(String),
    Later(Receiver<Answer>),
}

impl Client {
    /// Serves until the connection ends; says why it did.
    pub(super) async fn run(&mut self, front: &Front) -> &'static str {
        let mut more = false;
        loop {
            // Guards against closing on a request that has come: only one that has nothing to say may go.
            if !std::mem::take(&mut more) && !self.has_something() {
                let (begun, fresh) = (!self.buffer.is_empty(), self.requests == 0);
                // What the client owes: the rest of a request, the first one, or another in a good while.
                let due = self.since + if begun || fresh { SLOW } else { IDLE };
                front.wait(self);
                let ready = async { self.stream.readable().await.map_or(Some("broken"), |()| None) };
                let stopping = async {
                    let _ = front.leaving.recv().await;
                    if fresh {
                        Timer::at(self.since + FIRST).await;
                    }
                    if begun { std::future::pending().await } else { Some("stopping") }
                };
                let ending = async {
                    let _ = front.ending.recv().await;
                    Some("stopping")
                };
                // A request that has begun is waited for, in standby too.
                let standby = async {
                    if begun { std::future::pending().await } else { Some(front.sent_away(self.since).await) }
                };
                let reason = ready.or(self.let_go(due)).or(stopping).or(standby).or(ending).await;
                let reason = reason.filter(|_| !self.has_something());
                front.waiting.borrow_mut().remove(&self.number);
                match reason {
                    Some("broken" | "stopping" | "standby") => return reason.unwrap_or_default(),
                    Some(_) if begun => {
                        let late = Reply::Now("-ERR the request did not come in time\r\n".into());
                        return self.goodbye(vec![late], "slow", front).await;
                    }
                    Some(_) if fresh => return "silent",
                    Some(reason) => return reason,
                    None if begun || fresh => {}
                    None => self.since = Instant::now(),
                }
            }
            if front.ending.is_closed() {
                return self.turn_away("stopping");
            }
            // A client that is gone hears no answer: what it asked last is not taken on.
            match self.pull() {
                Ok(true) => {}
                Ok(false) => return self.turn_away("closed"),
                Err(_) => return "broken",
            }
            let (mut replies, mut last, before) = (Vec::new(), None, self.requests);
            loop {
                // Guards against one client's many requests coming before those of all others.
                if replies.len() == AT_ONCE {
                    more = true;
                    break;
                }
                match request(&self.buffer) {
                    // Guards against waiting for the rest of what will not be read.
                    Ok(None) if self.buffer.len() > REQUEST_MOST => {
                        last = Some("the request is too large");
                        break;
                    }
                    Ok(None) => break,
                    Ok(Some((words, size))) => {
                        self.buffer.drain(..size);
                        self.requests += 1;
                        match command(words, front) {
                            Some(reply) => replies.push(reply),
                            None => {
                                replies.push(Reply::Now("+OK\r\n".into()));
                                return self.goodbye(replies, "quit", front).await;
                            }
                        }
                    }
                    Err(what) => {
                        last = Some(what);
                        break;
                    }
                }
            }
            if let Some(what) = last {
                replies.push(Reply::Now(format!("-ERR Protocol error: {what}\r\n")));
                return self.goodbye(replies, "protocol", front).await;
            }
            if let Some(reason) = self.reply(replies, front).await {
                return reason;
            }
            if self.requests > before {
                self.since = Instant::now();
            }
            // In standby a connection goes once it owes nothing, and none is held long after the call.
            let closes = front.maintenance.borrow().closes(front.start.elapsed());
            if closes && self.buffer.is_empty() && !more && !self.has_something() {
                return "standby";
            }
            if more {
                futures_lite::future::yield_now().await;
                continue;
            }
            if self.buffer.is_empty() {
                // Guards against memory held for what a client asked once.
                self.buffer = Vec::new();
            }
            // Guards against a client that hands in the same again the moment it is turned away.
            if self.errors > 0 && self.requests > before {
                Timer::after(ERROR_PAUSE * self.errors.min(ERROR_PAUSES)).await;
            }
        }
    }

    /// Says no to every request that was read whole and is not handed in any more, as its client ended its sending or
    /// the process ends. Guards against a request without an answer, which its client takes for lost; what was not
    /// read goes again by itself. Nothing is taken on: a client that has gone altogether looks the same.
    fn turn_away(&mut self, reason: &'static str) -> &'static str {
        let mut answers = String::new();
        while let Ok(Some((_, size))) = request(&self.buffer) {
            self.buffer.drain(..size);
            self.requests += 1;
            answers.push_str(NO_ROOM);
        }
        // What the connection does not take at once goes nowhere: its client has stopped reading.
        let _ = self.stream.get_ref().write(answers.as_bytes());
        reason
    }

    /// Why the connection is let go of, once it is: for another, or since nothing came by then.
    async fn let_go(&self, due: Instant) -> Option<&'static str> {
        let late = async {
            Timer::at(due).await;
        };
        let evicted = async {
            let _ = self.leave.1.recv().await;
        };
        late.or(evicted).await;
        Some("idle")
    }

    /// Says the last words and ends. Guards against a reset over unread bytes, which would take the words
    /// away with it: what still comes is read, within bounds and at a pace that leaves others theirs.
    async fn goodbye(&mut self, last: Vec<Reply>, reason: &'static str, front: &Front) -> &'static str {
        self.buffer = Vec::new();
        if let Some(reason) = self.reply(last, front).await {
            return reason;
        }
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let (due, mut left) = (Instant::now() + LINGER, LINGER_MOST);
        front.wait(self);
        while left > 0 && Instant::now() < due && !self.leave.1.is_closed() {
            match self.skip() {
                Ok(0) => break,
                Ok(n) => {
                    left = left.saturating_sub(n);
                    Timer::after(LINGER_PAUSE).await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let ready = async { self.stream.readable().await.map_or(Some("broken"), |()| None) };
                    let _ = ready.or(self.let_go(due)).await;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => break,
            }
        }
        reason
    }

    /// Reads and drops some of what has come.
    fn skip(&self) -> io::Result<usize> {
        self.stream.get_ref().read(&mut [0; 64 * 1024])
    }

    fn has_something(&self) -> bool {
        let waiting = self.stream.get_ref().peek(&mut [0]);
        !waiting.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads what has come, as far as the buffer goes; false if the client is gone.
    fn pull(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        while self.buffer.len() <= REQUEST_MOST {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => return Ok(false),
                Ok(n) => self.buffer.extend(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }

    /// Writes the replies in order. Messages whose client is gone before are over. Guards against taking back what a
    /// client may have heard: an answer that left whole stands, whatever comes after it.
    async fn reply(&mut self, replies: Vec<Reply>, front: &Front) -> Option<&'static str> {
        let (mut bytes, mut taken, mut stopped) = (Vec::new(), Vec::new(), None);
        for reply in replies {
            let text = match reply {
                Reply::Now(text) => text,
                Reply::Later(answer) => match answer.recv().await {
                    Ok(Answer::Taken(msg)) => {
                        taken.push((bytes.len() + TAKEN.len(), msg));
                        TAKEN.into()
                    }
                    Ok(Answer::Held) => TAKEN.into(),
                    Ok(Answer::PushedBack(0)) => NO_ROOM.into(),
                    Ok(Answer::PushedBack(ms)) => format!("-BUSY {ms}\r\n"),
                    Ok(Answer::Failed(what)) => format!("-ERR {what}\r\n"),
                    Err(_) => {
                        stopped = Some("stopping");
                        break;
                    }
                },
            };
            if text.starts_with('-') {
                debug!("answered: {}", text.trim_end());
            }
            self.errors = if text.starts_with("-ERR") { self.errors + 1 } else { 0 };
            bytes.extend(text.as_bytes());
        }
        if bytes.is_empty() {
            return stopped;
        }
        let gone = matches!(self.stream.get_ref().peek(&mut [0]), Ok(0));
        let (left, written) = if gone {
            (bytes.len(), Err(io::ErrorKind::BrokenPipe.into()))
        } else {
            write_out(&mut self.stream, &bytes).await
        };
        let reason = match written {
            Ok(()) => return stopped,
            Err(e) if e.kind() == io::ErrorKind::TimedOut => "slow",
            Err(_) => "closed-before-answer",
        };
        unheard(&taken, bytes.len() - left).for_each(|msg| (front.gone)(msg));
        Some(reason)
    }
}

/// Writes the bytes within the time that a client has to take them; how many are left if that fails.
pub(super) async fn write_out<W: AsyncWrite + Unpin>(to: &mut W, bytes: &[u8]) -> (usize, io::Result<()>) {
    let mut left = bytes;
    let late = async {
        Timer::after(SLOW).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let write = async {
        while !left.is_empty() {
            match to.write(left).await? {
                0 => return Err(io::ErrorKind::WriteZero.into()),
                n => left = &left[n..],
            }
        }
        Ok(())
    };
    let written = write.or(late).await;
    (left.len(), written)
}

/// The messages whose answers, which end at these bytes, did not leave whole.
pub(super) fn unheard(taken: &[(usize, MessageId)], out: usize) -> impl Iterator<Item = MessageId> {
    taken.iter().filter(move |(end, _)| *end > out).map(|(_, msg)| *msg)
}

/// Carries a request out; none if it says that it was the last.
fn command(words: Words, front: &Front) -> Option<Reply> {
    let now = |text: &str| Some(Reply::Now(format!("{text}\r\n")));
    let name = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
    match (&name[..], words.len()) {
        (b"PING", 1) if front.maintenance.borrow().answers_ping() => now("+PONG"),
        (b"PING", 1) => now("-ERR standby"),
        (b"QUIT", 1) => None,
        (b"OUT.ADD", 5) => match handed_in(words) {
            Err(what) => now(&format!("-ERR {what}")),
            Ok(message) => {
                let (tell, answer) = async_channel::bounded(1);
                (front.hand_in)(message, tell);
                Some(Reply::Later(answer))
            }
        },
        (b"PING" | b"QUIT" | b"OUT.ADD", _) => now("-ERR wrong number of arguments"),
        _ => now("-ERR unknown command"),
    }
}
