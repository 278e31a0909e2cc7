//! The load tool: submits messages to a relay and measures its answers.
//!
//! Messages are due according to a [`Schedule`] that does not depend on answers. Each message is sent on the next free
//! connection. Its latency is measured from its due time, so that waiting for a slow relay counts (no coordinated
//! omission). The tool uses one thread and the number of connections in the [`Plan`], and connects only to loopback
//! addresses.
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

/// Maximum length of an answer in bytes. The protocol has no longer lines, and reading on would fill memory.
const MAX_ANSWER_BYTES: usize = 4_096;
/// Pause after a failed connection attempt, so that the tool does not reconnect in a busy loop while a relay is down.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Number of bisection steps after a search has found a rate that is too high. They leave an uncertainty of a few per
/// cent of the rate.
const BISECTIONS: usize = 5;
/// Factor between successive rates of a search, up to the first that is too high.
const RATE_STEP: f64 = 1.6;
/// Highest latency that the histograms record, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Number of significant digits of the latencies in the histograms.
const LATENCY_DIGITS: u8 = 3;

/// The reason why a plan can't be run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LoadError {
    /// The relay's address is not a loopback address.
    #[error("{address} is not a loopback address; the load tool connects only to loopback addresses")]
    NotLoopback {
        /// Address in the plan.
        address: SocketAddr,
    },
    /// A rate or the length of the schedule is not above 0.
    #[error("the rates and the length of the schedule must be above 0")]
    NoLoad,
    /// The plan has no connection or no destination.
    #[error("at least one connection and one destination are needed")]
    NoTarget,
}

impl From<LoadError> for String {
    /// Returns the message, for callers that report errors as text.
    fn from(error: LoadError) -> String {
        error.to_string()
    }
}

/// Messages to send, with their target and rate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Address of the relay.
    pub relay: SocketAddr,
    /// Due times of the messages.
    pub schedule: Schedule,
    /// Number of connections to use.
    pub connections: usize,
    /// Name of the message class.
    pub class: String,
    /// Destinations, used in turn.
    pub destinations: Vec<u32>,
    /// Number of ordering keys to use; 0 for messages without a key.
    pub keys: u64,
    /// Size of a message's body in bytes.
    pub body_bytes: usize,
    /// Deadline of each message, measured from its submission.
    pub deadline: Duration,
    /// Time without an answer after which a connection is closed.
    pub answer_timeout: Duration,
    /// Part of the message ids, so that those of different runs differ.
    pub seed: u64,
}

/// Results of a run. Latencies are measured from the due time of a message to its answer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of messages that became due.
    pub due: u64,
    /// Number of messages that the relay accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Number of messages that the relay rejected with Retry-After.
    #[serde(rename = "pushed_back")]
    pub rejected: u64,
    /// Number of messages that the relay answered with an error.
    pub failed: u64,
    /// Number of messages without an answer: it came too late, or the connection failed.
    pub unanswered: u64,
    /// Number of failed connection attempts.
    pub not_connected: u64,
    /// Duration of the run in seconds.
    pub seconds: f64,
    /// Messages accepted per second.
    pub rate: f64,
    /// Median latency.
    pub p50_ms: f64,
    /// 90th percentile of the latencies.
    pub p90_ms: f64,
    /// 99th percentile of the latencies.
    pub p99_ms: f64,
    /// 99.9th percentile of the latencies.
    pub p999_ms: f64,
    /// Maximum latency.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
    /// 99th percentile of the tool's own delay in handling due messages.
    #[serde(rename = "own_p99_ms")]
    pub scheduling_delay_p99_ms: f64,
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "due {}, accepted {}, rejected {}, failed {}, unanswered {}, not connected {}\n\
             {:.1} s, {:.0} accepted per second; ms from due time: 50% {:.2}, 90% {:.2}, 99% {:.2}, 99.9% {:.2}, max {:.2}\n\
             scheduling delay of the load tool, 99%: {:.2} ms",
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

/// A message that is due.
struct DueMessage {
    number: u64,
    due_at: Instant,
}

/// Answer of the relay to a submission.
enum Answer {
    Accepted,
    Rejected,
    Failed,
}

/// Measurements during a run.
struct Measurements {
    /// The counts are kept up to date; the other fields are computed at the end.
    report: Report,
    /// Time from due to answered. `None` only if a histogram with these bounds can't be created.
    latency: Option<Histogram<u64>>,
    /// Time from due until the tool handles the message.
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

/// Runs a plan until its schedule is over and the last message is answered.
///
/// # Errors
/// If the plan can't be run.
pub fn run(plan: &Plan) -> Result<Report, LoadError> {
    validate(plan)?;
    let measurements = RefCell::new(Measurements::new());
    let start = Instant::now();
    {
        let executor = LocalExecutor::new();
        async_io::block_on(executor.run(run_plan(&executor, plan, start, &measurements)));
    }
    Ok(measurements.into_inner().into_report(start.elapsed().as_secs_f64()))
}

/// Runs the schedule and the connections until the last answer.
async fn run_plan<'a>(
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

/// Checks that a plan can be run.
fn validate(plan: &Plan) -> Result<(), LoadError> {
    if !plan.relay.ip().is_loopback() {
        return Err(LoadError::NotLoopback { address: plan.relay });
    }
    let rates = [plan.schedule.start_rate, plan.schedule.end_rate];
    if rates.iter().any(|rate| !rate.is_finite() || *rate <= 0.0) || plan.schedule.length.is_zero() {
        return Err(LoadError::NoLoad);
    }
    if plan.connections == 0 || plan.destinations.is_empty() {
        return Err(LoadError::NoTarget);
    }
    Ok(())
}

/// Passes messages to the connections at their due times, independently of the answers to earlier ones.
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

/// Sends due messages one after another until the schedule is over.
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
            // The connection is dropped, so that a late answer is not mistaken for the answer to the next message.
            measurements.borrow_mut().report.unanswered += 1;
            continue;
        };
        measurements.borrow_mut().record_answer(&answer, due_at);
        kept = Some(stream);
    }
}

/// Returns the kept connection or a new one, or `None` if connecting fails.
async fn connect_if_needed(plan: &Plan, kept: Option<Async<TcpStream>>) -> Option<Async<TcpStream>> {
    if kept.is_some() {
        return kept;
    }
    let stream = Async::<TcpStream>::connect(plan.relay).await.ok()?;
    // Without this option the latencies would include the kernel's delay. A failure affects only the latencies.
    let _ = stream.get_ref().set_nodelay(true);
    Some(stream)
}

/// Returns the submission of a message in the relay's protocol (an array of RESP bulk strings).
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
    // Only one command is in flight, so the answer is one line.
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

/// A rate of a search, and whether the relay sustained it.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// Messages due per second.
    #[serde(rename = "asked")]
    pub requested_rate: f64,
    /// Whether every message was accepted and 99% of the answers came in time.
    #[serde(rename = "borne")]
    pub sustained: bool,
    /// Results of the run.
    pub report: Report,
}

/// Runs a plan at one rate of a search. `number` makes its message ids differ from those of the other runs.
fn try_rate(plan: &Plan, rate: f64, number: u64, p99: Duration) -> Result<Trial, LoadError> {
    let schedule = Schedule::steady(rate, plan.schedule.length);
    let report = run(&Plan { schedule, seed: plan.seed + number, ..plan.clone() })?;
    let all_accepted = report.accepted == report.due;
    let sustained = all_accepted && report.p99_ms <= p99.as_secs_f64() * 1e3;
    Ok(Trial { requested_rate: rate, sustained, report })
}

/// Searches for the highest rate at which every message is accepted and 99% of the answers come within `p99`.
/// Increases the plan's rate in steps up to the first that is too high, then bisects. Calls `on_trial` after each run.
/// Returns `None` if the plan's rate is too high.
///
/// # Errors
/// Same as for [`run`].
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
    let mut too_high = plan.schedule.start_rate;
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
