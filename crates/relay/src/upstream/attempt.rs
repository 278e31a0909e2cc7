//! Calls to endpoints.

use super::connection_pool::Idle;
use super::endpoint_table::Endpoint;
use super::http1::{Answer, Broken, Connection, request};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use log::{debug, error, info};
use mountshift::interface::*;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

const ANSWER_MOST: usize = 256 * 1024;
/// A call whose first byte goes out longer after the decision asks first.
const LATE: Duration = Duration::from_millis(50);

/// A connection that is new, turned away with no wait and closed: the endpoint's table is full. Guards against
/// taking that for a limit, which kept connections do not fill: on sockets a full table has no other sign.
fn turned_away_at_the_door(answer: &Answer, fresh: bool, keep: bool) -> bool {
    answer.status == 503 && fresh && !keep && !answer.slots_taken && answer.retry_after.is_none()
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
