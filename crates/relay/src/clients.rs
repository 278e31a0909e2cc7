//! Clients hand messages in over RESP2: arrays of bulk strings in, one short reply each.

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWrite, AsyncWriteExt, FutureExt};
use log::{debug, info, warn};
use mountshift::interface::MessageId;
use mountshift_maintenance::MaintenanceState;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub const BODY_MOST: usize = 64 * 1024;
/// Bytes of an id.
const ID_MOST: usize = 128;
/// Bytes of a request; more than one may be in the buffer, but no more is read before it is parsed.
const REQUEST_MOST: usize = BODY_MOST + 4 * 1024;
const WORDS_MOST: usize = 16;
/// A length or a count is a line of so many bytes at most.
const LINE_MOST: usize = 32;
/// A request that has begun must be whole by then, an answer taken; a new connection's first one is due.
const SLOW: Duration = Duration::from_millis(2_500);
/// While stopping a new connection is let go if its first request has not begun by then: who opens one means to ask.
const FIRST: Duration = Duration::from_millis(400);
/// A client that has nothing to ask for so long is let go.
const IDLE: Duration = Duration::from_secs(10);
/// Requests of one connection that are taken in before the others get their turn.
const AT_ONCE: usize = 32;
/// After requests that can't be used, for each in a row, before the next is read; at most so many times.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
const ERROR_PAUSES: u32 = 20;
/// What still comes after the last answer is read for so long, and so much of it, at this pace.
const LINGER: Duration = Duration::from_millis(2_500);
const LINGER_MOST: usize = 80_000_000;
const LINGER_PAUSE: Duration = Duration::from_millis(1);
/// After a failed accept, as when descriptors have run out.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a client hears once its message is taken on.
const TAKEN: &str = "+OK\r\n";
/// Refused, and harmless to hand in again.
const NO_ROOM: &str = "-BUSY\r\n";

/// A message as a client handed it in.
pub struct HandedIn {
    pub id: Vec<u8>,
    pub key: u64,
    /// The names and values that came with it, as they came.
    pub list: String,
    pub told: Told,
    pub at: Instant,
    pub body: Vec<u8>,
}

/// What the list of names and values says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    pub lane: String,
    pub tenant: Option<String>,
    pub dst: u32,
    /// How long the message may still be delivered.
    pub left: Duration,
    /// By this the other side knows a repeat.
    pub idempotency_key: Option<String>,
}

/// What a client hears.
pub enum Answer {
    Taken(MessageId),
    /// It came before under this id and is held.
    Held,
    /// With the pause in milliseconds, or zero.
    PushedBack(u64),
    Failed(&'static str),
}

/// What every connection needs.
pub struct Front {
    /// Takes a message in; the answer comes over the channel.
    pub hand_in: Box<dyn Fn(HandedIn, Sender<Answer>)>,
    /// A client did not hear that its message was taken on.
    pub gone: Box<dyn Fn(MessageId)>,
    /// Closed when clients are to go.
    pub leaving: Receiver<()>,
    /// Closed shortly before the process ends: what was taken in is answered, nothing more is read.
    pub ending: Receiver<()>,
    pub most: usize,
    /// Bytes of requests that are not whole, over all connections, at most.
    pub bytes_most: usize,
    /// Connections open now.
    pub open: Rc<Cell<usize>>,
    pub waiting: RefCell<BTreeMap<u64, Waiting>>,
    /// Whether clients are sent away, and when their connections go; from `start` on.
    pub maintenance: Rc<RefCell<MaintenanceState>>,
    pub start: Instant,
    /// Closed, and made anew, when standby begins or ends: wakes the connections that wait.
    pub moved: RefCell<(Sender<()>, Receiver<()>)>,
}

/// A connection that waits for its client, and may be let go for others by closing `leave`.
pub struct Waiting {
    since: Instant,
    /// What has come of a request that is not whole.
    bytes: usize,
    leave: Sender<()>,
}

impl Front {
    /// Standby began or ended.
    pub fn standby_moved(&self) {
        let old = std::mem::replace(&mut *self.moved.borrow_mut(), async_channel::bounded(1));
        old.0.close();
    }

    /// Why a connection that waits for its next request is let go in standby, once it is.
    async fn sent_away(&self, since: Instant) -> &'static str {
        loop {
            let moved = self.moved.borrow().1.clone();
            let at = self.maintenance.borrow().idle_close_at(since.saturating_duration_since(self.start));
            let changed = async {
                let _ = moved.recv().await;
                false
            };
            let due = match at {
                Some(at) => {
                    async {
                        Timer::at(self.start + at).await;
                        true
                    }
                    .or(changed)
                    .await
                }
                None => changed.await,
            };
            if due {
                return "standby";
            }
        }
    }

    /// Guards against clients that keep out others by saying nothing or never ending: of those that wait,
    /// or hold part of a request, the one that does so for longest goes.
    fn make_room(&self, holding: bool) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let may_go = waiting.iter().filter(|(_, w)| !holding || w.bytes > 0);
        let oldest = may_go.min_by_key(|(_, w)| w.since).map(|(number, _)| *number);
        oldest.and_then(|number| waiting.remove(&number)).is_some_and(|w| w.leave.close())
    }

    fn wait(&self, client: &Client) {
        let bytes = client.buffer.len();
        let entry = Waiting { since: client.since, bytes, leave: client.leave.0.clone() };
        self.waiting.borrow_mut().insert(client.number, entry);
        let held = || self.waiting.borrow().values().map(|w| w.bytes).sum::<usize>();
        while bytes > 0 && held() > self.bytes_most && self.make_room(true) {}
    }
}

/// Accepts until clients are to go.
pub async fn serve(listener: Async<TcpListener>, front: Rc<Front>, executor: Rc<LocalExecutor<'static>>) {
    let (open, mut count) = (&front.open, 0);
    loop {
        let leaving = async {
            let _ = front.leaving.recv().await;
            None
        };
        // Accepting is asked first: guards against a listener closed over connections that came in time, which would be
        // reset without an answer.
        let Some(accepted) = async { Some(listener.accept().await) }.or(leaving).await else { return };
        match accepted {
            Err(e) => {
                warn!("accept: {e}");
                Timer::after(ACCEPT_PAUSE).await;
            }
            Ok((stream, peer)) if open.get() >= front.most && !front.make_room(false) => {
                say_no(&stream);
                info!("connection from {peer} ended: too-many after 0 requests");
            }
            Ok((stream, peer)) => {
                open.set(open.get() + 1);
                count += 1;
                let (front, number, leave) = (front.clone(), count, async_channel::bounded(1));
                let (since, bytes) = (Instant::now(), 0);
                front.waiting.borrow_mut().insert(number, Waiting { since, bytes, leave: leave.0.clone() });
                let task = async move {
                    let _ = stream.get_ref().set_nodelay(true);
                    let (buffer, errors, requests) = (Vec::new(), 0, 0);
                    let mut client = Client { stream, number, leave, since, buffer, errors, requests };
                    let reason = client.run(&front).await;
                    info!("connection from {peer} ended: {reason} after {} requests", client.requests);
                    front.waiting.borrow_mut().remove(&number);
                    front.open.set(front.open.get() - 1);
                };
                executor.spawn(task).detach();
            }
        }
    }
}

/// Turns a new connection away. Guards against an answer that its client never sees: it must not be held back, and a
/// close over a request that was not read resets the connection, so what has come is read and dropped.
fn say_no(stream: &Async<TcpStream>) {
    let mut stream = stream.get_ref();
    let _ = stream.set_nodelay(true);
    let _ = stream.write(NO_ROOM.as_bytes());
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read(&mut [0; 16 * 1024]);
}

struct Client {
    stream: Async<TcpStream>,
    number: u64,
    /// Closed when it is to make room for another.
    leave: (Sender<()>, Receiver<()>),
    /// When it came, its last request was answered or the one it is sending began.
    since: Instant,
    buffer: Vec<u8>,
    /// Requests in a row that could not be used.
    errors: u32,
    requests: u64,
}

/// A request: a command and what belongs to it.
type Words = Vec<Vec<u8>>;

/// The reply to a request, or who will tell it.
enum Reply {
    Now(String),
    Later(Receiver<Answer>),
}

impl Client {
    /// Serves until the connection ends; says why it did.
    async fn run(&mut self, front: &Front) -> &'static str {
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
async fn write_out<W: AsyncWrite + Unpin>(to: &mut W, bytes: &[u8]) -> (usize, io::Result<()>) {
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
fn unheard(taken: &[(usize, MessageId)], out: usize) -> impl Iterator<Item = MessageId> {
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

fn handed_in(words: Words) -> Result<HandedIn, &'static str> {
    let Ok([_, key, id, list, body]) = <[Vec<u8>; 5]>::try_from(words) else {
        return Err("five words wanted");
    };
    // An id goes into a header as it is.
    if id.is_empty() || id.len() > ID_MOST || !id.iter().all(u8::is_ascii_graphic) {
        return Err("the id can't be read");
    }
    if body.len() > BODY_MOST {
        return Err("the body is too large");
    }
    let key = std::str::from_utf8(&key).ok().and_then(|k| u64::from_str_radix(k, 16).ok());
    let key = key.ok_or("the key can't be read")?;
    let list = String::from_utf8(list).map_err(|_| "the list can't be read")?;
    debug!("handed in: {} key {key:016x} {list}, {} bytes", String::from_utf8_lossy(&id), body.len());
    Ok(HandedIn { id, key, told: told(&list)?, list, at: Instant::now(), body })
}

/// Reads a message's list of names and values; names that are not known are left alone.
pub fn told(list: &str) -> Result<Told, &'static str> {
    let field =
        |name: &str| list.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name).map(|f| f.1);
    let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
    let header = |text: &&str| text.len() <= ID_MOST && text.bytes().all(|b| b.is_ascii_graphic());
    Ok(Told {
        lane: mountshift_settings::plain(field("c").ok_or("c is missing")?),
        tenant: field("t").map(mountshift_settings::plain),
        dst: number("dest").and_then(|n| u32::try_from(n).ok()).ok_or("dest is missing or can't be read")?,
        left: number("d")
            .and_then(|n| u32::try_from(n).ok())
            .map(|n| Duration::from_millis(n.into()))
            .ok_or("d is missing or can't be read")?,
        idempotency_key: field("k").filter(header).map(str::to_string),
    })
}

/// The first request in what came and its size; none while it is not whole.
fn request(bytes: &[u8]) -> Result<Option<(Words, usize)>, &'static str> {
    let Some((count, mut at)) = number(bytes, 0, b'*')? else { return Ok(None) };
    if count == 0 || count > WORDS_MOST {
        return Err("invalid multibulk length");
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((length, from)) = number(bytes, at, b'$')? else { return Ok(None) };
        if length > BODY_MOST {
            return Err("invalid bulk length");
        }
        let Some(end) = bytes.get(from + length..from + length + 2) else { return Ok(None) };
        if end != b"\r\n" {
            return Err("a bulk string does not end where it should");
        }
        words.push(bytes[from..from + length].to_vec());
        at = from + length + 2;
    }
    Ok(Some((words, at)))
}

/// A line that holds a number after its mark, and where the next one begins.
fn number(bytes: &[u8], at: usize, mark: u8) -> Result<Option<(usize, usize)>, &'static str> {
    let line = &bytes[at..];
    if line.first().is_some_and(|b| *b != mark) {
        return Err("an array of bulk strings is expected");
    }
    let Some(end) = line.iter().take(LINE_MOST).position(|b| *b == b'\n') else {
        return if line.len() >= LINE_MOST { Err("a length is too long") } else { Ok(None) };
    };
    let digits = line[1..end].strip_suffix(b"\r").ok_or("a length can't be read")?;
    let text = std::str::from_utf8(digits).ok().filter(|t| t.bytes().all(|b| b.is_ascii_digit()));
    let n = text.and_then(|t| t.parse().ok()).ok_or("a length can't be read")?;
    Ok(Some((n, at + end + 1)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::future::block_on;
    use std::pin::Pin;
    use std::task::{Context, Poll};

    const ADD: &str =
        "*5\r\n$7\r\nOUT.ADD\r\n$1\r\n0\r\n$2\r\nm1\r\n$19\r\nc=any,d=9000,dest=7\r\n$1\r\nx\r\n";

    /// A front whose host is the test: what was handed in waits there for its answer.
    struct Scene {
        front: Rc<Front>,
        handed: Receiver<Sender<Answer>>,
        ending: Sender<()>,
        _leaving: Sender<()>,
        gone: Rc<RefCell<Vec<MessageId>>>,
    }

    fn scene() -> Scene {
        let (hand, handed) = async_channel::unbounded();
        let ((leave, leaving), (ending, ended)) = (async_channel::bounded(1), async_channel::bounded(1));
        let gone = Rc::new(RefCell::new(Vec::new()));
        let told = gone.clone();
        let front = Front {
            hand_in: Box::new(move |_, answer| drop(hand.try_send(answer))),
            gone: Box::new(move |msg| told.borrow_mut().push(msg)),
            leaving,
            ending: ended,
            most: 8,
            bytes_most: 1 << 20,
            open: Rc::default(),
            waiting: RefCell::default(),
            maintenance: Rc::new(RefCell::new(MaintenanceState::from_text(""))),
            start: Instant::now(),
            moved: RefCell::new(async_channel::bounded(1)),
        };
        Scene { front: Rc::new(front), handed, ending, _leaving: leave, gone }
    }

    /// Plays a scene, ten seconds at most.
    fn play(executor: &LocalExecutor<'_>, scene: impl Future<Output = ()>) {
        let late = async {
            Timer::after(Duration::from_secs(10)).await;
            panic!("not over in time");
        };
        async_io::block_on(executor.run(scene.or(late)));
    }

    /// Both ends of a connection that the front serves; the far one has said `said` by then.
    async fn connected(scene: &Scene, said: &str, executor: &Rc<LocalExecutor<'static>>) -> Async<TcpStream> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
        let at = listener.get_ref().local_addr().expect("an address");
        let far = Async::<TcpStream>::connect(at).await.expect("a connection");
        far.get_ref().write_all(said.as_bytes()).expect("written");
        executor.spawn(serve(listener, scene.front.clone(), executor.clone())).detach();
        far
    }

    async fn heard(far: &mut Async<TcpStream>) -> String {
        let mut text = String::new();
        let _ = futures_lite::AsyncReadExt::read_to_string(far, &mut text).await;
        text
    }

    // Guards against requests that were read and get no answer, as the process ends while the ones before them wait for
    // theirs: whoever wrote them whole takes them for lost.
    #[test]
    fn what_was_read_and_not_handed_in_when_the_process_ends_is_turned_away() {
        let (scene, executor) = (scene(), Rc::new(LocalExecutor::new()));
        play(&executor, async {
            let mut far = connected(&scene, &ADD.repeat(AT_ONCE + 8), &executor).await;
            let mut waiting = Vec::new();
            for _ in 0..AT_ONCE {
                waiting.push(scene.handed.recv().await.expect("a message"));
            }
            // The rest is read by now; the process ends before the first ones have their answers.
            scene.ending.close();
            waiting
                .iter()
                .for_each(|answer| answer.try_send(Answer::Taken(MessageId(1))).expect("waited for"));
            assert_eq!(heard(&mut far).await, "+OK\r\n".repeat(AT_ONCE) + &"-BUSY\r\n".repeat(8));
            assert!(scene.handed.is_empty(), "nothing more is handed in");
            assert!(scene.gone.borrow().is_empty(), "what was heard is not taken back");
        });
    }

    // A client may end its sending behind its request: it hears that it is to come again, and nothing is taken on, as
    // one that has gone altogether looks the same.
    #[test]
    fn a_client_that_ends_its_sending_is_turned_away_and_not_left_without_an_answer() {
        let (scene, executor) = (scene(), Rc::new(LocalExecutor::new()));
        play(&executor, async {
            let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
            let far = TcpStream::connect(listener.local_addr().expect("an address")).expect("a connection");
            (&far).write_all(ADD.as_bytes()).expect("written");
            far.shutdown(Shutdown::Write).expect("half closed");
            let listener = Async::new(listener).expect("a listener");
            executor.spawn(serve(listener, scene.front.clone(), executor.clone())).detach();
            let mut far = Async::new(far).expect("a stream");
            assert_eq!(heard(&mut far).await, "-BUSY\r\n");
            assert!(scene.handed.is_empty(), "nothing is handed in");
        });
    }

    // One that is turned away as there is no room hears so, though its request was not read: a close over unread bytes
    // resets the connection.
    #[test]
    fn one_connection_too_many_hears_that_it_is_turned_away() {
        let (scene, executor) = (scene(), Rc::new(LocalExecutor::new()));
        scene.front.open.set(scene.front.most);
        play(&executor, async {
            let mut far = connected(&scene, ADD, &executor).await;
            let mut text = Vec::new();
            let read = futures_lite::AsyncReadExt::read_to_end(&mut far, &mut text).await;
            assert!(read.is_ok(), "not reset: {read:?}");
            assert_eq!(text, b"-BUSY\r\n");
        });
    }

    /// Takes so many bytes, then breaks.
    struct Breaks(usize);

    impl futures_lite::AsyncWrite for Breaks {
        fn poll_write(
            mut self: Pin<&mut Self>,
            _: &mut Context<'_>,
            bytes: &[u8],
        ) -> Poll<io::Result<usize>> {
            let n = bytes.len().min(self.0).min(3);
            self.0 -= n;
            Poll::Ready(if n == 0 { Err(io::ErrorKind::ConnectionReset.into()) } else { Ok(n) })
        }

        fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }

        fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
            Poll::Ready(Ok(()))
        }
    }

    // An answer that left whole stands, whatever comes after it; the others are taken back. A socket takes so few bytes
    // whole or not at all, so the writer here is one that does not.
    #[test]
    fn only_answers_that_did_not_leave_whole_are_taken_back() {
        let taken = [(5, MessageId(1)), (10, MessageId(2)), (15, MessageId(3))];
        for (takes, back) in [(0, 3), (4, 3), (5, 2), (9, 2), (10, 1), (14, 1), (15, 0)] {
            let (left, written) = block_on(write_out(&mut Breaks(takes), &[b'+'; 15]));
            assert_eq!((15 - left, written.is_err()), (takes, takes < 15));
            assert_eq!(unheard(&taken, 15 - left).collect::<Vec<_>>().len(), back, "{takes} bytes left");
        }
    }
}
