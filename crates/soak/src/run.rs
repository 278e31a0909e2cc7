//! Plays a schedule: starts all, lets traffic and faults run, waits until all is due, stops all, judges.

use crate::SoakError;
use crate::client::Clients;
use crate::endpoint::Endpoints;
use crate::injection::{Targets, inject};
use crate::installation::Installation;
use crate::oracle::{SoakBreach, all_lines, judge, timeline};
use crate::platform::Platform;
use crate::recorder::{Observation, Recorder, lock};
use crate::relay_process::{Programs, RelayProcess};
use crate::schedule::Schedule;
use async_signal::{Signal, Signals};
use mountshift_invariants::{Fact, Time};
use smol::Timer;
use smol::future::FutureExt;
use smol::stream::StreamExt;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Between two looks at processes that may have ended.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Between two looks at whether the stand-ins run late, and what counts as late.
const TICK: Duration = Duration::from_millis(5);
/// After the last message is due: its final answer may come a little later.
const SETTLE: Duration = Duration::from_millis(2_500);
/// Lines in a relay's log that tell of a fault of its own.
const BAD_LOG_LINES: [&str; 2] = ["panicked at", " violation "];
/// The folder of a run in `--out`.
const TIMELINE_FILE: &str = "timeline.txt";
const SCHEDULE_FILE: &str = "schedule.json";
const OBSERVATIONS_FILE: &str = "observations.txt";

/// What a run came to.
#[derive(Debug)]
pub struct SoakReport {
    /// What was played.
    pub schedule: Schedule,
    /// What broke.
    pub breaches: Vec<SoakBreach>,
    /// The timeline of the first breach.
    pub timeline: String,
    /// Messages that clients submitted, ...
    pub submitted: usize,
    /// ... of which so many were accepted, ...
    pub accepted: usize,
    /// ... and so many delivered.
    pub delivered: usize,
    /// Ends of relay processes.
    pub process_exits: usize,
    /// System calls that the shim made fail.
    pub injected_faults: u64,
    /// The longest time for which the stand-ins' own tasks were held up: on a machine that is too busy they see late what the
    /// relays did in time, and a breach may be theirs.
    pub longest_stall: Duration,
}

impl SoakReport {
    /// True if every invariant held.
    pub fn has_no_breaches(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// Plays a schedule. With `out`, what it has shown is written there if something broke.
///
/// # Errors
/// If a program is not there, or a file, folder or socket can't be used.
pub fn play(schedule: &Schedule, programs: &Programs, out: Option<&Path>) -> Result<SoakReport, SoakError> {
    programs.check()?;
    let dir = tempfile::tempdir().map_err(SoakError::io("a folder for the run"))?;
    let relays: Mutex<Vec<Arc<RelayProcess>>> = Mutex::default();
    let played = smol::block_on(async {
        let interrupted = async {
            wait_for_interrupt().await;
            Err(SoakError::Interrupted)
        };
        play_in(schedule, programs, dir.path(), out, &relays).or(interrupted).await
    });
    // Also where the run ended early.
    for relay in lock(&relays).iter() {
        relay.kill_all();
    }
    played
}

/// Waits for a signal that tells the soak to end.
async fn wait_for_interrupt() {
    let signals = Signals::new([Signal::Int, Signal::Term]);
    match signals {
        Ok(mut signals) => drop(signals.next().await),
        Err(_) => std::future::pending().await,
    }
}

async fn play_in(
    schedule: &Schedule,
    programs: &Programs,
    dir: &Path,
    out: Option<&Path>,
    started: &Mutex<Vec<Arc<RelayProcess>>>,
) -> Result<SoakReport, SoakError> {
    let installation = Installation::draw(schedule);
    let recorder = Arc::new(Recorder::new());
    let endpoints =
        Endpoints::start(&installation, &recorder).await.map_err(SoakError::io("a port for an endpoint"))?;
    let platform = Platform::start(&installation, &endpoints, &recorder)
        .await
        .map_err(SoakError::io("a port for discovery"))?;
    let mut relays = Vec::new();
    for number in 0..schedule.relays {
        let inherits = schedule.inherited_sockets;
        let relay = RelayProcess::new(number, dir, programs, &recorder, &platform, &installation, inherits)?;
        let relay = Arc::new(relay);
        lock(started).push(relay.clone());
        relays.push(relay);
    }
    let starts: Vec<_> =
        relays.iter().cloned().map(|relay| smol::spawn(async move { relay.start().await })).collect();
    for start in starts {
        start.await;
    }
    let clients = Arc::new(Clients::new(&installation, &endpoints, &recorder, &relays));
    let targets = Arc::new(Targets {
        relays: relays.clone(),
        endpoints,
        platform,
        clients: clients.clone(),
        recorder: recorder.clone(),
        seed: schedule.seed,
    });
    let watcher = smol::spawn(watch(relays.clone()));
    let ticker = smol::spawn(note_held_up(recorder.clone()));
    let traffic_ends = Instant::now() + Duration::from_secs(schedule.seconds);
    let traffic = clients.start(schedule.seed);
    inject(schedule, targets).await;
    Timer::at(traffic_ends).await;
    clients.is_over.store(true, Ordering::SeqCst);
    for task in traffic {
        task.await;
    }
    let longest = installation.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0);
    Timer::after(Duration::from_millis(longest) + SETTLE).await;
    watcher.cancel().await;
    ticker.cancel().await;
    let end = recorder.now();
    let stops: Vec<_> =
        relays.iter().cloned().map(|relay| smol::spawn(async move { relay.stop().await })).collect();
    for stop in stops {
        stop.await;
    }
    Ok(report(schedule, &installation, &recorder, &relays, end, out))
}

async fn watch(relays: Vec<Arc<RelayProcess>>) {
    loop {
        Timer::after(WATCH_INTERVAL).await;
        for relay in &relays {
            let relay = relay.clone();
            smol::spawn(async move { relay.look().await }).detach();
        }
    }
}

/// Notes when the stand-ins' tasks run late: what they see then is older than it seems.
async fn note_held_up(recorder: Arc<Recorder>) {
    loop {
        let due = Instant::now() + TICK;
        Timer::at(due).await;
        let span = due.elapsed();
        if span > TICK {
            recorder.note(Observation::HeldUp { span: span.as_micros() as Time });
        }
    }
}

fn report(
    schedule: &Schedule,
    installation: &Installation,
    recorder: &Recorder,
    relays: &[Arc<RelayProcess>],
    end: u64,
    out: Option<&Path>,
) -> SoakReport {
    for relay in relays {
        for line in relay.log().lines().filter(|line| BAD_LOG_LINES.iter().any(|bad| line.contains(bad))) {
            relay.note_process(format!("logged: {line}"));
        }
    }
    let observations = recorder.observations();
    let breaches = judge(installation, &observations, end);
    let first = breaches.first().cloned();
    let text = first.map_or_else(String::new, |breach| {
        let log = breach.relay.map_or_else(String::new, |number| relays[number].log());
        format!("{}\n{}", breach.description, timeline(&breach, &observations, &log))
    });
    if let Some(out) = out.filter(|_| !breaches.is_empty()) {
        write_out(out, schedule, &text, &all_lines(&observations), relays);
    }
    let count = |is_counted: fn(&Fact) -> bool| {
        let facts = observations.iter().filter_map(|(_, observation)| match observation {
            Observation::Fact(fact) => Some(fact),
            _ => None,
        });
        facts.filter(|fact| is_counted(fact)).count()
    };
    let held_up = observations.iter().filter_map(|(_, observation)| match observation {
        Observation::HeldUp { span } => Some(*span),
        _ => None,
    });
    SoakReport {
        longest_stall: Duration::from_micros(held_up.max().unwrap_or(0)),
        submitted: count(|fact| matches!(fact, Fact::Submitted { .. })),
        accepted: count(|fact| matches!(fact, Fact::Accepted { .. })),
        delivered: count(|fact| matches!(fact, Fact::DeliveryAnswered { .. })),
        process_exits: count(|fact| matches!(fact, Fact::RelayDown { .. })),
        injected_faults: injected_faults(relays),
        schedule: schedule.clone(),
        breaches,
        timeline: text,
    }
}

fn injected_faults(relays: &[Arc<RelayProcess>]) -> u64 {
    let calls = mountshift_faults::SystemCall::ALL;
    let counts = relays.iter().flat_map(|relay| calls.iter().map(|call| relay.faults.injected_count(*call)));
    counts.map(|count| count.unwrap_or(0)).sum()
}

/// Keeps what a run has shown: the schedule, the timeline and the logs.
fn write_out(
    out: &Path,
    schedule: &Schedule,
    timeline: &str,
    observations: &str,
    relays: &[Arc<RelayProcess>],
) {
    let folder = out.join(format!("seed-{}", schedule.seed));
    if std::fs::create_dir_all(&folder).is_err() {
        return;
    }
    let _ = std::fs::write(folder.join(SCHEDULE_FILE), schedule.to_json());
    let _ = std::fs::write(folder.join(TIMELINE_FILE), timeline);
    let _ = std::fs::write(folder.join(OBSERVATIONS_FILE), observations);
    for relay in relays {
        let _ = std::fs::write(folder.join(format!("r{}.log", relay.number)), relay.log());
    }
}

/// The fewest faults of a schedule that still break something: leaves out one after the other.
///
/// # Errors
/// As [`play`].
pub fn shrink(schedule: &Schedule, programs: &Programs) -> Result<Schedule, SoakError> {
    let mut smallest = schedule.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut candidate = smallest.clone();
        candidate.faults.remove(index);
        if play(&candidate, programs, None)?.has_no_breaches() {
            index += 1;
        } else {
            smallest = candidate;
        }
    }
    Ok(smallest)
}
