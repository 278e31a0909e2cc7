//! Runs a schedule: starts everything, runs the traffic and the faults, waits until every deadline has passed, stops
//! everything and checks the observations.

use crate::SoakError;
use crate::client::Clients;
use crate::endpoint::Endpoints;
use crate::injection::{FaultTargets, inject};
use crate::installation::Installation;
use crate::oracle::{SoakBreach, find_breaches, observations_text, timeline};
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

/// Interval between two checks whether processes have ended.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the stand-ins' own delay is measured. Longer delays are recorded.
const DELAY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time to wait after the last deadline, because final answers may come a little later.
const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(2_500);
/// Texts in a relay's log that show a defect of the relay.
const DEFECT_LOG_TEXTS: [&str; 2] = ["panicked at", " violation "];
/// Names of the files in the folder of a run below `--out`.
const TIMELINE_FILE: &str = "timeline.txt";
const SCHEDULE_FILE: &str = "schedule.json";
const OBSERVATIONS_FILE: &str = "observations.txt";

/// Results of a run.
#[derive(Debug)]
pub struct SoakReport {
    /// The schedule of the run.
    pub schedule: Schedule,
    /// The breaches found.
    pub breaches: Vec<SoakBreach>,
    /// Timeline of the first breach; empty without one.
    pub timeline: String,
    /// Number of messages that clients submitted.
    pub submitted: usize,
    /// Number of messages that relays accepted.
    pub accepted: usize,
    /// Number of messages that endpoints answered as delivered.
    pub delivered: usize,
    /// Number of times that a relay's process ended.
    pub process_exits: usize,
    /// Number of system call faults that the shim injected.
    pub injected_faults: u64,
    /// Longest delay of the stand-ins' own tasks. On a busy machine they observe timely events of the relays late,
    /// which can cause false breaches.
    pub longest_stand_in_delay: Duration,
}

impl SoakReport {
    /// Returns whether there are no breaches.
    pub fn has_no_breaches(&self) -> bool {
        self.breaches.is_empty()
    }
}

/// Runs a schedule. If there are breaches and `out` is given, writes the schedule, timeline, observations and logs
/// there.
///
/// # Errors
/// If a program does not exist, or a file, folder or socket can't be used.
pub fn run_schedule(
    schedule: &Schedule,
    programs: &Programs,
    out: Option<&Path>,
) -> Result<SoakReport, SoakError> {
    programs.check()?;
    let dir = tempfile::tempdir().map_err(SoakError::io("temporary folder of the run"))?;
    let relays: Mutex<Vec<Arc<RelayProcess>>> = Mutex::default();
    let result = smol::block_on(async {
        let interrupted = async {
            wait_for_interrupt().await;
            Err(SoakError::Interrupted)
        };
        run_in_folder(schedule, programs, dir.path(), out, &relays).or(interrupted).await
    });
    // A run that ended early has not stopped its processes.
    for relay in lock(&relays).iter() {
        relay.kill_all();
    }
    result
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_interrupt() {
    let signals = Signals::new([Signal::Int, Signal::Term]);
    match signals {
        Ok(mut signals) => drop(signals.next().await),
        Err(_) => std::future::pending().await,
    }
}

async fn run_in_folder(
    schedule: &Schedule,
    programs: &Programs,
    dir: &Path,
    out: Option<&Path>,
    started: &Mutex<Vec<Arc<RelayProcess>>>,
) -> Result<SoakReport, SoakError> {
    let installation = Installation::draw(schedule);
    let recorder = Arc::new(Recorder::new());
    let endpoints =
        Endpoints::start(&installation, &recorder).await.map_err(SoakError::io("port for an endpoint"))?;
    let platform = Platform::start(&installation, &endpoints, &recorder)
        .await
        .map_err(SoakError::io("port for discovery"))?;
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
    let targets = Arc::new(FaultTargets {
        relays: relays.clone(),
        endpoints,
        platform,
        clients: clients.clone(),
        recorder: recorder.clone(),
        seed: schedule.seed,
        is_polling: schedule.polling.is_some(),
    });
    let watcher = smol::spawn(restart_exited(relays.clone()));
    let delay_recorder = smol::spawn(record_stand_in_delays(recorder.clone()));
    let traffic_ends = Instant::now() + Duration::from_secs(schedule.seconds);
    let traffic = clients.start(schedule.seed);
    inject(schedule, targets).await;
    Timer::at(traffic_ends).await;
    clients.is_over.store(true, Ordering::SeqCst);
    for task in traffic {
        task.await;
    }
    let longest_deadline_ms = installation.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0);
    Timer::after(Duration::from_millis(longest_deadline_ms) + FINAL_ANSWER_GRACE).await;
    watcher.cancel().await;
    delay_recorder.cancel().await;
    let end = recorder.now();
    let stops: Vec<_> =
        relays.iter().cloned().map(|relay| smol::spawn(async move { relay.stop().await })).collect();
    for stop in stops {
        stop.await;
    }
    Ok(report(schedule, &installation, &recorder, &relays, end, out))
}

/// Restarts relays whose process has ended by itself.
async fn restart_exited(relays: Vec<Arc<RelayProcess>>) {
    loop {
        Timer::after(WATCH_INTERVAL).await;
        for relay in &relays {
            let relay = relay.clone();
            smol::spawn(async move { relay.restart_if_exited().await }).detach();
        }
    }
}

/// Records delays of the stand-ins' own tasks, because observations made meanwhile are older than their time.
async fn record_stand_in_delays(recorder: Arc<Recorder>) {
    loop {
        let due = Instant::now() + DELAY_CHECK_INTERVAL;
        Timer::at(due).await;
        let delay = due.elapsed();
        if delay > DELAY_CHECK_INTERVAL {
            recorder.record(Observation::StandInsDelayed { delay: delay.as_micros() as Time });
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
        for line in relay.log().lines().filter(|line| DEFECT_LOG_TEXTS.iter().any(|text| line.contains(text)))
        {
            relay.record_process_event(format!("logged: {line}"));
        }
    }
    let observations = recorder.observations();
    let breaches = find_breaches(installation, &observations, end);
    let first = breaches.first().cloned();
    let text = first.map_or_else(String::new, |breach| {
        let log = breach.relay.map_or_else(String::new, |number| relays[number].log());
        format!("{}\n{}", breach.description, timeline(&breach, &observations, &log))
    });
    if let Some(out) = out.filter(|_| !breaches.is_empty()) {
        write_out(out, schedule, &text, &observations_text(&observations), relays);
    }
    let count = |is_counted: fn(&Fact) -> bool| {
        let facts = observations.iter().filter_map(|(_, observation)| match observation {
            Observation::Fact(fact) => Some(fact),
            _ => None,
        });
        facts.filter(|fact| is_counted(fact)).count()
    };
    let delays = observations.iter().filter_map(|(_, observation)| match observation {
        Observation::StandInsDelayed { delay } => Some(*delay),
        _ => None,
    });
    SoakReport {
        longest_stand_in_delay: Duration::from_micros(delays.max().unwrap_or(0)),
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

/// Writes the schedule, the timeline, the observations and the logs of a run.
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

/// Removes faults one after another as long as the schedule still causes a breach, and returns the reduced schedule.
///
/// # Errors
/// Same as for [`run_schedule`].
pub fn shrink(schedule: &Schedule, programs: &Programs) -> Result<Schedule, SoakError> {
    let mut smallest = schedule.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut candidate = smallest.clone();
        candidate.faults.remove(index);
        if run_schedule(&candidate, programs, None)?.has_no_breaches() {
            index += 1;
        } else {
            smallest = candidate;
        }
    }
    Ok(smallest)
}
