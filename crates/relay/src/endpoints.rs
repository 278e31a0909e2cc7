//! Calls to endpoints, and the connections kept to them.

use crate::discovery::EndpointEntry;
use crate::http::{Answer, Broken, Connection, request};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{debug, error, info};
use mountshift::interface::*;
use mountshift_discovery::Phase;
use mountshift_settings::SocketSettings;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const ANSWER_MOST: usize = 256 * 1024;
/// A call whose first byte goes out longer after the decision asks first.
const LATE: Duration = Duration::from_millis(50);
/// An idle connection is not used for the last part of its time, a tenth or so much, but half of it at most: the
/// request has a way to go, and the other side's clock began as much earlier.
const IDLE_SPARE: u32 = 10;
const IDLE_SPARE_LEAST: Duration = Duration::from_millis(250);

/// What is known of an endpoint.
#[derive(Clone)]
pub struct Endpoint {
    pub address: SocketAddr,
    pub name: Rc<str>,
    pub zone: ZoneId,
    pub kind: DestinationKindId,
    pub dst: DestinationId,
    /// What the list said last, and its rate.
    pub listed: EndpointStatus,
    pub rate: f64,
}

/// The endpoints by id; ids are given out in the order in which names come up, none of them twice.
#[derive(Default)]
pub struct Endpoints {
    count: u64,
    ids: BTreeMap<Rc<str>, EndpointId>,
    known: BTreeMap<EndpointId, Endpoint>,
    /// Forgotten while out by hand, as last listed: guards against an endpoint put back that nobody knows.
    resting: BTreeMap<Rc<str>, Endpoint>,
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Endpoints {
    pub fn new(settings: &SocketSettings) -> Endpoints {
        Endpoints {
            zones: settings.zones.clone(),
            kinds: settings.destination_kinds.clone(),
            ..Endpoints::default()
        }
    }

    /// Takes an entry of the list in; gives its id, what the list says, and if it has moved or gone.
    pub fn learn(&mut self, member: &EndpointEntry) -> (EndpointId, EndpointStatus, bool) {
        let name: Rc<str> = Rc::from(member.id.as_str());
        let id = *self.ids.entry(name.clone()).or_insert_with(|| {
            self.count += 1;
            EndpointId(self.count)
        });
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let zone = self.zone(&member.zone);
        let kind = DestinationKindId(place(&self.kinds, &member.kind).map_or(u16::MAX, |k| k as u16));
        let (address, dst) = (member.address, DestinationId(member.dst));
        let listed = match member.phase {
            Phase::Ready => EndpointStatus::Ready,
            Phase::Draining => EndpointStatus::Draining,
            Phase::Gone => EndpointStatus::Removed,
        };
        let rate = member.size;
        self.resting.remove(&name);
        let old = self.known.insert(id, Endpoint { address, name, zone, kind, dst, listed, rate });
        let moved = old.is_some_and(|old| old.address != address) || member.phase == Phase::Gone;
        (id, listed, moved)
    }

    /// True if the list has held an endpoint of the destination lately, or holds one that is out by hand.
    pub fn lists(&self, dst: DestinationId) -> bool {
        self.known.values().chain(self.resting.values()).any(|e| e.dst == dst)
    }

    /// Guards against tables that grow with every endpoint that ever was. One that is out by hand is kept
    /// aside (`resting`) as it was last listed, until it is put back or listed again.
    pub fn forget(&mut self, id: EndpointId, resting: bool) -> Option<Endpoint> {
        let gone = self.known.remove(&id)?;
        self.ids.remove(&gone.name);
        resting.then(|| self.resting.insert(gone.name.clone(), gone.clone()));
        Some(gone)
    }

    /// An endpoint put back after it was forgotten while out: known again, under a new id, as last listed.
    pub fn revive(&mut self, name: &str) -> Option<EndpointId> {
        let endpoint = self.resting.remove(name)?;
        self.count += 1;
        let id = EndpointId(self.count);
        self.ids.insert(endpoint.name.clone(), id);
        self.known.insert(id, endpoint);
        Some(id)
    }

    pub fn id_of(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.known.get(&id)
    }

    /// A place by name; a name that the settings don't hold is a place of its own. Guards against two such places
    /// taken for one: a repeat that one of them knows would go to the other (rule 2).
    pub fn zone(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|z| z == name);
        ZoneId(known.unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        }) as u16)
    }

    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(zone.0 as usize).map_or("", String::as_str)
    }
}

/// A connection that is new, turned away with no wait and closed: the endpoint's table is full. Guards against
/// taking that for a limit, which kept connections do not fill: on sockets a full table has no other sign.
fn turned_away_at_the_door(answer: &Answer, fresh: bool, keep: bool) -> bool {
    answer.status == 503 && fresh && !keep && !answer.slots_taken && answer.retry_after.is_none()
}

/// Connections that carry no call now, those used last at the end.
pub struct Idle {
    waiting: RefCell<BTreeMap<EndpointId, VecDeque<Connection>>>,
    lasts: Duration,
    most: usize,
}

impl Idle {
    pub fn new(lasts: Duration, most: usize) -> Idle {
        let spare = (lasts / IDLE_SPARE).max(IDLE_SPARE_LEAST).min(lasts / 2);
        Idle { waiting: RefCell::default(), lasts: lasts - spare, most }
    }

    /// Guards against one that was out when its endpoint moved: what is at the old address may be another.
    fn take(&self, to: EndpointId, at: SocketAddr) -> Option<Connection> {
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting.get_mut(&to)?;
        queue.retain_mut(|connection| self.lasting(connection) && connection.to == at);
        queue.pop_back()
    }

    fn keep(&self, to: EndpointId, connection: Connection) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.values().map(VecDeque::len).sum::<usize>() >= self.most {
            // Guards against running out of descriptors: the one that waited longest goes.
            let oldest = waiting.iter().filter_map(|(id, q)| q.front().map(|c| (c.used, *id))).min();
            let gone = oldest.and_then(|(_, id)| waiting.get_mut(&id)).and_then(VecDeque::pop_front);
            gone.into_iter().for_each(|mut c| c.reason = "too-many");
        }
        waiting.entry(to).or_default().push_back(connection);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, to: EndpointId) {
        let gone = self.waiting.borrow_mut().remove(&to);
        gone.into_iter().flatten().for_each(|mut c| c.reason = "told-to-close");
    }

    /// Lets go of what the other side closed, and of what it is about to close.
    pub fn close_old(&self) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.values_mut().for_each(|queue| queue.retain_mut(|connection| self.lasting(connection)));
        waiting.retain(|_, queue| !queue.is_empty());
    }

    /// True if an idle connection can still be used. Guards against one that was taken out for a call that was not
    /// made: it was not used, so its time runs on.
    fn lasting(&self, connection: &mut Connection) -> bool {
        if connection.used.elapsed() >= self.lasts {
            connection.reason = "idle";
        } else if !connection.is_quiet() {
            connection.reason = "closed-while-idle";
        } else {
            return true;
        }
        false
    }
}

/// A message in a call.
pub struct Part {
    pub msg: MessageId,
    pub id: Vec<u8>,
    pub idempotency_key: Option<String>,
    pub body: Vec<u8>,
}

/// How a message of a call ended, and if it is over.
pub type End = (MessageId, Outcome, bool);

/// What is known of a call: ends of its messages, and a wait told beside them.
pub struct Ends {
    pub ends: Vec<End>,
    pub wait: Option<Duration>,
    /// The report that came with the answer.
    pub report: Option<String>,
}

impl From<Vec<End>> for Ends {
    fn from(ends: Vec<End>) -> Ends {
        Ends { ends, wait: None, report: None }
    }
}

/// The value of a name in a report.
pub fn told(report: &str, name: &str) -> Option<f64> {
    let pairs = report.split(',').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(n, _)| n.trim() == name)
        .find_map(|(_, value)| value.trim().parse().ok())
        .filter(|n: &f64| n.is_finite())
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Queued or connecting: nothing of it is noted, no byte has left.
    #[default]
    Begun,
    /// Noted in the spool, its first byte may have left.
    Noted,
    /// Its last byte was written: only now may it run.
    Written,
}

pub struct Call {
    pub to: EndpointId,
    pub endpoint: Endpoint,
    pub parts: Vec<Part>,
    pub limit: Duration,
    pub connect: Duration,
    pub decided: Instant,
    /// Asks if the endpoint may still be reached.
    pub may_reach: Box<dyn Fn() -> Receiver<bool>>,
    /// Notes the legs, right before the first byte; false if they must not go out.
    pub note: Box<dyn Fn() -> bool>,
    pub stage: Rc<Cell<Stage>>,
}

impl Call {
    fn request(&self) -> Vec<u8> {
        let host = self.endpoint.address.to_string();
        let limit = self.limit.as_millis().max(1).to_string();
        if let [part] = &self.parts[..] {
            let mut headers = vec![("X-Request-ID", &part.id[..]), ("X-Timeout-Ms", limit.as_bytes())];
            headers.extend(part.idempotency_key.iter().map(|key| ("Idempotency-Key", key.as_bytes())));
            return request("POST", "/receive", &host, &headers, &part.body);
        }
        let mut body = Vec::new();
        for part in &self.parts {
            body.extend(&part.id);
            let key = part.idempotency_key.as_deref().unwrap_or("-");
            body.extend(format!(" {key} {}\r\n", part.body.len()).as_bytes());
            body.extend(&part.body);
            body.extend(b"\r\n");
        }
        request("POST", "/receive-many", &host, &[("X-Timeout-Ms", limit.as_bytes())], &body)
    }

    /// Makes the call, once; tells how its messages ended once it is over. Guards against a message that is
    /// told as ended while the call goes on for others: the next of its key must wait for that.
    pub async fn run(self, idle: &Idle, tell: impl Fn(Ends)) {
        // From the decision on: a task that waits for the core has no more time for that.
        let by = self.decided + self.limit;
        let late = async {
            Timer::at(by).await;
            // Nothing left the relay whole, so it can't have run.
            Err(Outcome::ConnectFailed)
        };
        let ends = match self.begin(idle, by).or(late).await {
            Ok(connection) => self.finish(connection, by, idle).await,
            Err(outcome) => self.all(outcome, false),
        };
        tell(ends);
    }

    fn all(&self, outcome: Outcome, over: bool) -> Ends {
        self.parts.iter().map(|p| (p.msg, outcome, over)).collect::<Vec<End>>().into()
    }

    /// An idle connection that lasts, or a new one.
    async fn connection(&self, idle: &Idle) -> Result<Connection, Outcome> {
        if let Some(connection) = idle.take(self.to, self.endpoint.address) {
            return Ok(connection);
        }
        let late = async {
            Timer::after(self.connect).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let name = format!("endpoint {}", self.endpoint.name);
        Connection::open(self.endpoint.address, name).or(late).await.map_err(|e| {
            info!("connection to endpoint {} not made: {}", self.endpoint.name, e.kind());
            Outcome::ConnectFailed
        })
    }

    /// Writes the call, on an idle connection or a new one.
    async fn begin(&self, idle: &Idle, by: Instant) -> Result<Connection, Outcome> {
        let mut connection = self.connection(idle).await?;
        // Guards against a call decided long ago that crosses a wait or a drain told since: its connection came up
        // slowly, or its task waited for the core. On a kept connection too.
        if self.decided.elapsed() > LATE && !(self.may_reach)().recv().await.unwrap_or(false) {
            info!("call to endpoint {} not made: no longer allowed", self.endpoint.name);
            idle.keep(self.to, connection);
            return Err(Outcome::NotSent);
        }
        // The answer to that may have taken long: guards against writing to a kept connection whose time ran out since.
        if connection.requests > 0 && !idle.lasting(&mut connection) {
            connection = self.connection(idle).await?;
        }
        // Guards against a first byte behind the limit, when both the connection and the end of its time are here at once.
        if Instant::now() >= by {
            idle.keep(self.to, connection);
            return Err(Outcome::ConnectFailed);
        }
        let request = self.request();
        // Guards against a message that surely has not run and counts as if it may have: its process ended while the
        // connection came up.
        if !(self.note)() {
            idle.keep(self.to, connection);
            return Err(Outcome::NotSent);
        }
        self.stage.set(Stage::Noted);
        debug!("call to endpoint {}: {}", self.endpoint.name, String::from_utf8_lossy(&request));
        connection.write(&request).await.map_err(|_| Outcome::ConnectFailed)?;
        self.stage.set(Stage::Written);
        Ok(connection)
    }

    async fn finish(&self, mut connection: Connection, by: Instant, idle: &Idle) -> Ends {
        match connection.answer(ANSWER_MOST, by).await {
            Ok((answer, keep)) => {
                let fresh = connection.requests == 1;
                keep.then(|| idle.keep(self.to, connection));
                if turned_away_at_the_door(&answer, fresh, keep) {
                    debug!("endpoint {} had no room for another connection", self.endpoint.name);
                    return self.all(Outcome::ConnectionLimit, false);
                }
                Ends { report: answer.report.clone(), ..self.ends(&answer) }
            }
            Err(Broken::Silent) => self.all(Outcome::TimedOut, false),
            Err(Broken::Ended) => self.all(Outcome::Reset, false),
            // Guards against a spoilt answer that says it was turned away: it may have run all the same.
            Err(Broken::Unreadable) => self.all(Outcome::Error, false),
        }
    }

    /// Reads an answer: how each message ended.
    fn ends(&self, answer: &Answer) -> Ends {
        let wait = Duration::from_secs_f64(answer.retry_after.unwrap_or(0.0).min(1e6));
        if !wait.is_zero() {
            debug!("endpoint {} answered {} with a wait of {wait:?}", self.endpoint.name, answer.status);
        }
        let end = match answer.status {
            200 if self.parts.len() == 1 => (Outcome::Delivered, true),
            200 if !answer.whole => (Outcome::Error, false),
            200 => return self.ends_of_many(answer, wait),
            429 => (Outcome::Rejected { retry_after: wait }, false),
            503 if answer.slots_taken => (Outcome::NotSent, false),
            503 => (Outcome::Rejected { retry_after: wait }, false),
            504 => (Outcome::NotSent, false),
            410 => (Outcome::NotSent, true),
            400 | 404 | 413 => {
                error!("endpoint {} answered {}", self.endpoint.name, answer.status);
                (Outcome::Error, false)
            }
            _ => (Outcome::Error, false),
        };
        self.all(end.0, end.1)
    }

    fn ends_of_many(&self, answer: &Answer, wait: Duration) -> Ends {
        let mut told = BTreeMap::new();
        for line in answer.body.split(|b| *b == b'\n') {
            let mut words = line.split(u8::is_ascii_whitespace).filter(|w| !w.is_empty());
            if let (Some(id), Some(end)) = (words.next(), words.next()) {
                told.insert(id, end);
            }
        }
        let end = |part: &Part| match told.get(&part.id[..]).copied() {
            Some(b"delivered") => (part.msg, Outcome::Delivered, true),
            Some(b"refused") => (part.msg, Outcome::Rejected { retry_after: wait }, false),
            Some(b"over") => (part.msg, Outcome::NotSent, true),
            Some(b"spent") => (part.msg, Outcome::NotSent, false),
            // Told as failed, or not told: it may have run.
            _ => (part.msg, Outcome::Error, false),
        };
        // The wait binds whether or not a message was refused.
        Ends {
            ends: self.parts.iter().map(end).collect(),
            wait: (!wait.is_zero()).then_some(wait),
            report: None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;
    use test_case::test_case;

    // Guards against an idle time that starts anew when a connection is put back unused: the far side counts from its
    // last use, and the next request would be written to a connection that it is closing.
    #[test]
    fn a_connection_put_back_unused_is_as_old_as_before() {
        let far = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = far.local_addr().expect("an address");
        let lasts = Duration::from_secs(10);
        let idle = Idle::new(lasts, 8);
        let open = || async_io::block_on(Connection::open(at, "far".into())).expect("a connection");
        let (mut old, to) = (open(), EndpointId(1));
        old.used = Instant::now().checked_sub(lasts / 2).expect("a time");
        idle.keep(to, old);
        let mut again = idle.take(to, at).expect("it still lasts");
        again.used = again.used.checked_sub(lasts * 45 / 100).expect("a time");
        idle.keep(to, again);
        assert!(idle.take(to, at).is_none(), "older than nine tenths of the time");
        // A short time is kept to its half, whatever a tenth of it is.
        let short = Idle::new(Duration::from_millis(400), 8);
        let mut old = open();
        old.used = Instant::now().checked_sub(Duration::from_millis(210)).expect("a time");
        short.keep(to, old);
        assert!(short.take(to, at).is_none());
    }

    /// A connection whose far side reads nothing for now, with so little room between them that a call's bytes don't
    /// fit; and the far side.
    fn narrow() -> (Connection, std::net::TcpStream) {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(2_048).expect("a size");
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        socket.bind(&any.into()).and_then(|()| socket.listen(1)).expect("a port");
        let listener = TcpListener::from(socket);
        let at = listener.local_addr().expect("an address");
        let connection = async_io::block_on(Connection::open(at, "far".into())).expect("a connection");
        connection.room(4_096);
        (connection, listener.accept().expect("the far side").0)
    }

    fn call(to: SocketAddr, body: usize, limit: Duration, note: impl Fn() -> bool + 'static) -> Call {
        let (zone, kind, dst, listed) =
            (ZoneId(0), DestinationKindId(0), DestinationId(7), EndpointStatus::Ready);
        let endpoint = Endpoint { address: to, name: "far".into(), zone, kind, dst, listed, rate: 1.0 };
        let body = vec![b'x'; body];
        Call {
            to: EndpointId(1),
            endpoint,
            parts: vec![Part { msg: MessageId(1), id: b"m1".to_vec(), idempotency_key: None, body }],
            limit,
            connect: limit,
            decided: Instant::now(),
            may_reach: Box::new(|| {
                let (tell, told) = async_channel::bounded(1);
                tell.try_send(true).expect("room");
                told
            }),
            note: Box::new(note),
            stage: Rc::default(),
        }
    }

    const BODY: usize = 60_000;

    // Guards against a call told as one that may have run though its last byte never left: given up by the decisions, or
    // at its limit, in the middle of writing. The far side sees how much came.
    #[test_case(Duration::from_secs(20) => None; "recalled")]
    #[test_case(Duration::from_millis(300) => Some(Outcome::ConnectFailed); "at its limit")]
    fn a_call_that_ends_in_the_middle_of_writing_never_arrives_whole(limit: Duration) -> Option<Outcome> {
        let (connection, mut far) = narrow();
        let (idle, to) = (Idle::new(Duration::from_secs(60), 8), connection.to);
        idle.keep(EndpointId(1), connection);
        let (noted, told) = (Rc::new(Cell::new(0)), RefCell::new(None));
        let seen = noted.clone();
        let call = call(to, BODY, limit, move || {
            seen.set(seen.get() + 1);
            true
        });
        let stage = call.stage.clone();
        async_io::block_on(async {
            let run = call.run(&idle, |ends| *told.borrow_mut() = Some(ends.ends[0].1));
            // A recall drops the call once it has begun to write: what had room has left by the first look.
            let recalled = async {
                while stage.get() == Stage::Begun {
                    futures_lite::future::yield_now().await;
                }
                Timer::after(if limit > Duration::from_secs(1) { Duration::ZERO } else { limit * 10 }).await;
            };
            run.or(recalled).await;
        });
        assert_eq!((stage.get(), noted.get()), (Stage::Noted, 1), "begun, noted once, never written whole");
        let mut bytes = Vec::new();
        let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
        assert!(
            bytes.starts_with(b"POST /receive HTTP/1.1\r\n") && bytes.len() < BODY,
            "{} came",
            bytes.len()
        );
        *told.borrow()
    }

    // What has ended, or is nobody's any more, when its connection is up does not go out: not a byte, and the connection
    // serves the next call.
    #[test]
    fn a_call_whose_message_has_ended_meanwhile_sends_nothing() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = listener.local_addr().expect("an address");
        let (idle, told) = (Idle::new(Duration::from_secs(60), 8), RefCell::new(None));
        let call = call(to, 1, Duration::from_secs(5), || false);
        let stage = call.stage.clone();
        async_io::block_on(call.run(&idle, |ends| *told.borrow_mut() = Some(ends.ends[0].1)));
        assert_eq!((*told.borrow(), stage.get()), (Some(Outcome::NotSent), Stage::Begun));
        assert!(idle.take(EndpointId(1), to).is_some(), "kept");
        idle.close(EndpointId(1));
        let (mut far, mut bytes) = (listener.accept().expect("the far side").0, Vec::new());
        let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
        assert!(bytes.is_empty(), "{bytes:?}");
    }

    // A task that waited for the core until its call's time was up, with a connection at hand: nothing of it goes out.
    #[test]
    fn a_call_whose_time_is_up_before_its_first_byte_sends_nothing() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let to = listener.local_addr().expect("an address");
        let (idle, told) = (Idle::new(Duration::from_secs(60), 8), RefCell::new(None));
        idle.keep(
            EndpointId(1),
            async_io::block_on(Connection::open(to, "far".into())).expect("a connection"),
        );
        let mut call = call(to, 1, Duration::from_millis(300), || true);
        call.decided = Instant::now().checked_sub(Duration::from_millis(400)).expect("a time");
        async_io::block_on(call.run(&idle, |ends| *told.borrow_mut() = Some(ends.ends[0].1)));
        assert_eq!(*told.borrow(), Some(Outcome::ConnectFailed), "never ran");
        drop(idle);
        let (mut far, mut bytes) = (listener.accept().expect("the far side").0, Vec::new());
        let _ = std::io::Read::read_to_end(&mut far, &mut bytes);
        assert!(bytes.is_empty(), "{} bytes came", bytes.len());
    }
}
