//! The load tool. Messages are due by a [`Schedule`] that knows nothing of answers; each goes out on the next free
//! connection, and its time runs from the moment it was due, so that waiting for a slow relay counts (no
//! coordinated omission). One thread, as many connections as told. Loopback addresses only.
#![forbid(unsafe_code)]

mod schedule;

pub use schedule::Schedule;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// An answer's line is no longer than this.
const LINE_MOST: usize = 4_096;
/// A connection that was not made is tried again after this span.
const AGAIN: Duration = Duration::from_millis(20);
/// Steps of a search once a rate was found that is too high.
const BISECTIONS: usize = 5;
const STEP: f64 = 1.6;

/// Why a plan can't be played.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoadError {
    /// The relay is on another machine.
    #[error("{address} is no loopback address: this tool loads nothing else")]
    NotLoopback {
        /// The address that the plan names.
        address: SocketAddr,
    },
    /// A rate or the schedule's length is not above 0.
    #[error("a rate above 0 and a span above 0 are needed")]
    NoLoad,
    /// There is no connection or no destination to use.
    #[error("a connection and a destination are needed")]
    NoTarget,
}

impl From<LoadError> for String {
    /// For callers that report one plain line.
    fn from(error: LoadError) -> String {
        error.to_string()
    }
}

/// What is sent, to whom.
#[derive(Clone, Debug)]
pub struct Plan {
    pub relay: SocketAddr,
    pub schedule: Schedule,
    pub connections: usize,
    /// The lane's name.
    pub class: String,
    /// Destinations, in turns.
    pub destinations: Vec<u32>,
    /// Keys in use; 0 for none.
    pub keys: u64,
    /// Bytes of a message.
    pub body_bytes: usize,
    pub deadline: Duration,
    /// A connection without an answer for so long is given up.
    pub answer_timeout: Duration,
    /// Tells the ids of one run from those of another.
    pub seed: u64,
}

/// What came of it; times in milliseconds from the moment a message was due to its answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    pub due: u64,
    #[serde(rename = "taken")]
    pub accepted: u64,
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    pub failed: u64,
    /// No answer in time, or the connection broke.
    pub unanswered: u64,
    /// Connections that could not be made.
    pub not_connected: u64,
    pub seconds: f64,
    /// Messages taken a second.
    pub rate: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
    /// How late the tool itself was to notice that a message was due, 99%.
    #[serde(rename = "own_p99_ms")]
    pub scheduling_delay_p99_ms: f64,
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "due {}, taken {}, pushed back {}, failed {}, unanswered {}, not connected {}\n\
             {:.1} s, {:.0} taken a second; ms from when due: 50% {:.2}, 90% {:.2}, 99% {:.2}, 99.9% {:.2}, most {:.2}\n\
             the tool's own lateness, 99%: {:.2} ms",
            self.due,
            self.accepted,
            self.rejected,
            self.failed,
            self.unanswered,
            self.not_connected,
            self.seconds,
            self.rate,
            self.p50_ms,
            self.p90_ms,
            self.p99_ms,
            self.p999_ms,
            self.max_ms,
            self.scheduling_delay_p99_ms
        )
    }
}

struct Due {
    n: u64,
    at: Instant,
}

enum Said {
    Taken,
    PushedBack,
    Failed,
}

#[derive(Default)]
struct Counts {
    report: Report,
    times: Option<Histogram<u64>>,
    own: Option<Histogram<u64>>,
}

impl Counts {
    fn new() -> Counts {
        // Microseconds to ten minutes, three digits.
        let times = || Histogram::new_with_bounds(1, 600_000_000, 3).ok();
        Counts { report: Report::default(), times: times(), own: times() }
    }
}

fn note(times: &mut Option<Histogram<u64>>, since: Instant) {
    times.iter_mut().for_each(|t| t.saturating_record(since.elapsed().as_micros().max(1) as u64));
}

/// Plays a plan; it takes as long as its schedule and the last answers.
///
/// # Errors
/// If the plan can't be played.
pub fn run(plan: &Plan) -> Result<Report, LoadError> {
    check(plan)?;
    let executor = LocalExecutor::new();
    let counts = Rc::new(RefCell::new(Counts::new()));
    let start = Instant::now();
    async_io::block_on(executor.run(async {
        let (tell, due) = async_channel::unbounded();
        let plan = Rc::new(plan.clone());
        let connections = (0..plan.connections).map(|_| {
            let (plan, due, counts) = (plan.clone(), due.clone(), counts.clone());
            executor.spawn(async move { connection(&plan, &due, &counts).await })
        });
        let connections: Vec<_> = connections.collect();
        drop(due);
        keep_time(&plan.schedule, start, tell, &counts).await;
        for connection in connections {
            connection.await;
        }
    }));
    let mut counts = counts.borrow_mut();
    let seconds = start.elapsed().as_secs_f64();
    let at = |times: &Option<Histogram<u64>>, q: f64| {
        times.as_ref().map_or(0.0, |t| t.value_at_quantile(q) as f64 / 1e3)
    };
    let (times, own) = (counts.times.take(), counts.own.take());
    Ok(Report {
        seconds,
        rate: counts.report.accepted as f64 / seconds,
        p50_ms: at(&times, 0.5),
        p90_ms: at(&times, 0.9),
        p99_ms: at(&times, 0.99),
        p999_ms: at(&times, 0.999),
        max_ms: at(&times, 1.0),
        scheduling_delay_p99_ms: at(&own, 0.99),
        ..counts.report.clone()
    })
}

/// Refuses a plan that can't be played.
fn check(plan: &Plan) -> Result<(), LoadError> {
    if !plan.relay.ip().is_loopback() {
        return Err(LoadError::NotLoopback { address: plan.relay });
    }
    let rates = [plan.schedule.from, plan.schedule.to];
    if rates.iter().any(|rate| !rate.is_finite() || *rate <= 0.0) || plan.schedule.length.is_zero() {
        return Err(LoadError::NoLoad);
    }
    if plan.connections == 0 || plan.destinations.is_empty() {
        return Err(LoadError::NoTarget);
    }
    Ok(())
}

/// Hands out messages as they fall due, whatever became of the earlier ones.
async fn keep_time(schedule: &Schedule, start: Instant, tell: Sender<Due>, counts: &RefCell<Counts>) {
    for n in 0..schedule.count() {
        let at = start + schedule.due(n);
        if at > Instant::now() {
            Timer::at(at).await;
        }
        note(&mut counts.borrow_mut().own, at);
        counts.borrow_mut().report.due += 1;
        if tell.try_send(Due { n, at }).is_err() {
            return;
        }
    }
}

/// Sends what is due, one message after another, until nothing more is.
async fn connection(plan: &Plan, due: &Receiver<Due>, counts: &RefCell<Counts>) {
    let mut stream: Option<Async<TcpStream>> = None;
    while let Ok(Due { n, at }) = due.recv().await {
        let mut open = match stream.take() {
            Some(open) => open,
            None => match Async::<TcpStream>::connect(plan.relay).await {
                Ok(open) => {
                    let _ = open.get_ref().set_nodelay(true);
                    open
                }
                Err(_) => {
                    counts.borrow_mut().report.not_connected += 1;
                    counts.borrow_mut().report.unanswered += 1;
                    Timer::after(AGAIN).await;
                    continue;
                }
            },
        };
        let late = async {
            Timer::after(plan.answer_timeout).await;
            None
        };
        let said = async { ask(&mut open, &command(plan, n)).await.ok() }.or(late).await;
        let mut counts = counts.borrow_mut();
        let Some(said) = said else {
            counts.report.unanswered += 1;
            continue;
        };
        note(&mut counts.times, at);
        match said {
            Said::Taken => counts.report.accepted += 1,
            Said::PushedBack => counts.report.rejected += 1,
            Said::Failed => counts.report.failed += 1,
        }
        stream = Some(open);
    }
}

/// A message as it is handed in.
fn command(plan: &Plan, n: u64) -> Vec<u8> {
    let key = if plan.keys > 0 { n % plan.keys + 1 } else { 0 };
    let dst = plan.destinations[n as usize % plan.destinations.len()];
    let list = format!("c={},d={},dest={dst}", plan.class, plan.deadline.as_millis());
    let (key, id) = (format!("{key:016x}"), format!("{:08x}{n:08x}", plan.seed as u32));
    let body = vec![b'x'; plan.body_bytes];
    let words = [&b"OUT.ADD"[..], key.as_bytes(), id.as_bytes(), list.as_bytes(), &body];
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}

async fn ask(stream: &mut Async<TcpStream>, command: &[u8]) -> std::io::Result<Said> {
    stream.write_all(command).await?;
    let mut answer = Vec::new();
    let mut part = [0; 256];
    // One command is out, so one line is the answer.
    while !answer.ends_with(b"\n") {
        let n = stream.read(&mut part).await?;
        if n == 0 || answer.len() > LINE_MOST {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        answer.extend(&part[..n]);
    }
    Ok(match answer.first() {
        Some(b'+' | b'$') => Said::Taken,
        _ if answer.starts_with(b"-BUSY") => Said::PushedBack,
        _ => Said::Failed,
    })
}

/// One rate of a search, and if it was borne.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    #[serde(rename = "asked")]
    pub requested_rate: f64,
    #[serde(rename = "borne")]
    pub sustained: bool,
    pub report: Report,
}

/// Looks for the highest rate that keeps 99% of the answers within a span and loses none; `tell` hears of each step.
///
/// # Errors
/// As [`run`].
pub fn search(plan: &Plan, p99: Duration, mut tell: impl FnMut(&Trial)) -> Result<Option<f64>, LoadError> {
    let mut attempt = |rate: f64, n: u64| {
        let schedule = Schedule::steady(rate, plan.schedule.length);
        let report = run(&Plan { schedule, seed: plan.seed + n, ..plan.clone() })?;
        let whole = report.accepted == report.due;
        let borne = whole && report.p99_ms <= p99.as_secs_f64() * 1e3;
        tell(&Trial { requested_rate: rate, sustained: borne, report });
        Ok::<bool, LoadError>(borne)
    };
    let (mut low, mut high, mut n) = (None, plan.schedule.from, 1);
    while attempt(high, n)? {
        (low, high, n) = (Some(high), high * STEP, n + 1);
    }
    let Some(mut best) = low else { return Ok(None) };
    for _ in 0..BISECTIONS {
        let middle = (best + high) / 2.0;
        n += 1;
        if attempt(middle, n)? { best = middle } else { high = middle }
    }
    Ok(Some(best))
}
