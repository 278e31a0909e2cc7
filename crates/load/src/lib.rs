//! The load tool: submits messages to a relay and measures how it answers.
//!
//! Messages are due by a [`Schedule`] that knows nothing of answers. Each goes out on the next free connection, and
//! its latency runs from the moment it was due, so that waiting for a slow relay counts (no coordinated omission).
//! The tool uses one thread and as many connections as the [`Plan`] says. It loads loopback addresses only.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
use std::time::{Duration, Instant};
use thiserror::Error;

/// An answer longer than this is no line of the protocol; reading it further would fill memory.
const MAX_ANSWER_BYTES: usize = 4_096;
/// How long a connection waits after a failed dial, so that a relay that is down isn't dialled in a busy loop.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Halvings of the range once a search found a rate that is too high: a few per cent of the rate remain.
const BISECTIONS: usize = 5;
/// The factor from one rate of a search to the next, up to the first that is too high.
const RATE_STEP: f64 = 1.6;
/// The longest latency that histograms tell apart, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of the latencies in histograms.
const LATENCY_DIGITS: u8 = 3;

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

/// What is sent, and to whom.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The relay's address.
    pub relay: SocketAddr,
    /// When messages are due.
    pub schedule: Schedule,
    /// Connections in use.
    pub connections: usize,
    /// The message class's name.
    pub class: String,
    /// Destinations, in turns.
    pub destinations: Vec<u32>,
    /// Keys in use; 0 for none.
    pub keys: u64,
    /// The size of a message's body.
    pub body_bytes: usize,
    /// The deadline of each message, from its submission.
    pub deadline: Duration,
    /// A connection without an answer for so long is given up.
    pub answer_timeout: Duration,
    /// Tells the message ids of one run from those of another.
    pub seed: u64,
}

/// What came of a plan. Latencies run from the moment a message was due to its answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Messages that fell due.
    pub due: u64,
    /// Messages that the relay accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages that the relay rejected with Retry-After.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Messages that the relay answered with an error.
    pub failed: u64,
    /// No answer in time, or the connection broke.
    pub unanswered: u64,
    /// Connections that could not be made.
    pub not_connected: u64,
    /// How long the run took.
    pub seconds: f64,
    /// Messages accepted a second.
    pub rate: f64,
    /// The median latency.
    pub p50_ms: f64,
    /// The latency that 90% of the answers keep.
    pub p90_ms: f64,
    /// The latency that 99% of the answers keep.
    pub p99_ms: f64,
    /// The latency that 99.9% of the answers keep.
    pub p999_ms: f64,
    /// The longest latency.
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

/// A message that fell due.
struct DueMessage {
    number: u64,
    due_at: Instant,
}

/// What the relay answered to a submission.
enum Answer {
    Accepted,
    Rejected,
    Failed,
}

/// What is measured while a plan is played.
struct Measurements {
    /// Its counts; the other figures are filled in at the end.
    report: Report,
    /// From due to answered. None only if a histogram of these bounds can't be made.
    latency: Option<Histogram<u64>>,
    /// From due to noticed by the tool.
    scheduling_delay: Option<Histogram<u64>>,
}

impl Measurements {
    fn new() -> Measurements {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).ok();
        Measurements { report: Report::default(), latency: histogram(), scheduling_delay: histogram() }
    }

    fn record_answer(&mut self, answer: &Answer, due_at: Instant) {
        record(&mut self.latency, due_at);
        match answer {
            Answer::Accepted => self.report.accepted += 1,
            Answer::Rejected => self.report.rejected += 1,
            Answer::Failed => self.report.failed += 1,
        }
    }

    fn into_report(self, seconds: f64) -> Report {
        Report {
            seconds,
            rate: self.report.accepted as f64 / seconds,
            p50_ms: quantile_ms(&self.latency, 0.5),
            p90_ms: quantile_ms(&self.latency, 0.9),
            p99_ms: quantile_ms(&self.latency, 0.99),
            p999_ms: quantile_ms(&self.latency, 0.999),
            max_ms: quantile_ms(&self.latency, 1.0),
            scheduling_delay_p99_ms: quantile_ms(&self.scheduling_delay, 0.99),
            ..self.report
        }
    }
}

fn record(histogram: &mut Option<Histogram<u64>>, since: Instant) {
    if let Some(histogram) = histogram {
        histogram.saturating_record(since.elapsed().as_micros().max(1) as u64);
    }
}

fn quantile_ms(histogram: &Option<Histogram<u64>>, quantile: f64) -> f64 {
    histogram.as_ref().map_or(0.0, |histogram| histogram.value_at_quantile(quantile) as f64 / 1e3)
}

/// Plays a plan; it takes as long as its schedule and the last answers.
///
/// # Errors
/// If the plan can't be played.
pub fn run(plan: &Plan) -> Result<Report, LoadError> {
    check(plan)?;
    let measurements = RefCell::new(Measurements::new());
    let start = Instant::now();
    {
        let executor = LocalExecutor::new();
        async_io::block_on(executor.run(play(&executor, plan, start, &measurements)));
    }
    Ok(measurements.into_inner().into_report(start.elapsed().as_secs_f64()))
}

/// Runs the schedule and the connections until the last answer.
async fn play<'a>(
    executor: &LocalExecutor<'a>,
    plan: &'a Plan,
    start: Instant,
    measurements: &'a RefCell<Measurements>,
) {
    let (due_sender, due_receiver) = async_channel::unbounded();
    let connections: Vec<_> = (0..plan.connections)
        .map(|_| executor.spawn(run_connection(plan, due_receiver.clone(), measurements)))
        .collect();
    drop(due_receiver);
    run_schedule(&plan.schedule, start, due_sender, measurements).await;
    for connection in connections {
        connection.await;
    }
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
async fn run_schedule(
    schedule: &Schedule,
    start: Instant,
    due_sender: Sender<DueMessage>,
    measurements: &RefCell<Measurements>,
) {
    for number in 0..schedule.count() {
        let due_at = start + schedule.due(number);
        if due_at > Instant::now() {
            Timer::at(due_at).await;
        }
        record(&mut measurements.borrow_mut().scheduling_delay, due_at);
        measurements.borrow_mut().report.due += 1;
        if due_sender.try_send(DueMessage { number, due_at }).is_err() {
            return;
        }
    }
}

/// Sends what is due, one message after another, until nothing more is.
async fn run_connection(plan: &Plan, due: Receiver<DueMessage>, measurements: &RefCell<Measurements>) {
    let mut kept: Option<Async<TcpStream>> = None;
    while let Ok(DueMessage { number, due_at }) = due.recv().await {
        let Some(mut stream) = connect_if_needed(plan, kept.take()).await else {
            measurements.borrow_mut().report.not_connected += 1;
            measurements.borrow_mut().report.unanswered += 1;
            Timer::after(RECONNECT_DELAY).await;
            continue;
        };
        let timeout = async {
            Timer::after(plan.answer_timeout).await;
            None
        };
        let answer = async { exchange(&mut stream, &command(plan, number)).await.ok() }.or(timeout).await;
        let Some(answer) = answer else {
            // A late answer must not be taken for that of the next message, so the connection is not kept.
            measurements.borrow_mut().report.unanswered += 1;
            continue;
        };
        measurements.borrow_mut().record_answer(&answer, due_at);
        kept = Some(stream);
    }
}

/// The connection that was kept, or a new one; none if it can't be made.
async fn connect_if_needed(plan: &Plan, kept: Option<Async<TcpStream>>) -> Option<Async<TcpStream>> {
    if kept.is_some() {
        return kept;
    }
    let stream = Async::<TcpStream>::connect(plan.relay).await.ok()?;
    // Without this option the latencies would hold the kernel's delay; a failure shows in them and in nothing else.
    let _ = stream.get_ref().set_nodelay(true);
    Some(stream)
}

/// The submission of a message, as the relay's protocol has it (an array of RESP bulk strings).
fn command(plan: &Plan, number: u64) -> Vec<u8> {
    let key = if plan.keys > 0 { number % plan.keys + 1 } else { 0 };
    let destination = plan.destinations[number as usize % plan.destinations.len()];
    let options = format!("c={},d={},dest={destination}", plan.class, plan.deadline.as_millis());
    let key = format!("{key:016x}");
    let id = format!("{:08x}{number:08x}", plan.seed as u32);
    let body = vec![b'x'; plan.body_bytes];
    let words = [&b"OUT.ADD"[..], key.as_bytes(), id.as_bytes(), options.as_bytes(), &body];
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend(word);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// Sends a command and reads its answer.
async fn exchange(stream: &mut Async<TcpStream>, command: &[u8]) -> std::io::Result<Answer> {
    stream.write_all(command).await?;
    let mut answer = Vec::new();
    let mut chunk = [0; 256];
    // One command is in flight, so one line is the answer.
    while !answer.ends_with(b"\n") {
        let length = stream.read(&mut chunk).await?;
        if length == 0 || answer.len() > MAX_ANSWER_BYTES {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        answer.extend(&chunk[..length]);
    }
    Ok(match answer.first() {
        Some(b'+' | b'$') => Answer::Accepted,
        _ if answer.starts_with(b"-BUSY") => Answer::Rejected,
        _ => Answer::Failed,
    })
}

/// One rate of a search, and whether the relay sustained it.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// Messages a second that were sent.
    #[serde(rename = "asked")]
    pub requested_rate: f64,
    /// True where every message was accepted and 99% of the answers came in time.
    #[serde(rename = "borne")]
    pub sustained: bool,
    /// What came of the run.
    pub report: Report,
}

/// Runs a plan at one rate of a search; `number` tells its message ids from those of the other runs.
fn try_rate(plan: &Plan, rate: f64, number: u64, p99: Duration) -> Result<Trial, LoadError> {
    let schedule = Schedule::steady(rate, plan.schedule.length);
    let report = run(&Plan { schedule, seed: plan.seed + number, ..plan.clone() })?;
    let all_accepted = report.accepted == report.due;
    let sustained = all_accepted && report.p99_ms <= p99.as_secs_f64() * 1e3;
    Ok(Trial { requested_rate: rate, sustained, report })
}

/// Looks for the highest rate that keeps 99% of the answers within `p99` and loses none: from the plan's rate up in
/// steps to the first that is too high, then by halving. `on_trial` hears of each run.
///
/// # Errors
/// As [`run`].
pub fn search(
    plan: &Plan,
    p99: Duration,
    mut on_trial: impl FnMut(&Trial),
) -> Result<Option<f64>, LoadError> {
    let mut trials = 0;
    let mut is_sustained = |rate: f64| -> Result<bool, LoadError> {
        trials += 1;
        let trial = try_rate(plan, rate, trials, p99)?;
        on_trial(&trial);
        Ok(trial.sustained)
    };
    let mut best = None;
    let mut too_high = plan.schedule.from;
    while is_sustained(too_high)? {
        best = Some(too_high);
        too_high *= RATE_STEP;
    }
    let Some(mut best) = best else { return Ok(None) };
    for _ in 0..BISECTIONS {
        let middle = (best + too_high) / 2.0;
        if is_sustained(middle)? {
            best = middle;
        } else {
            too_high = middle;
        }
    }
    Ok(Some(best))
}
