//! The relays of a run: processes on loopback, each with a folder that lasts and a control file for its faults.

use crate::SoakError;
use crate::installation::{Installation, RELAY_MEMORY_MB};
use crate::platform::Platform;
use crate::recorder::{Observation, Recorder, lock};
use mountshift_faults::{CONTROL_VARIABLE, FaultControl};
use mountshift_invariants::{Fact, Time};
use rustix::process::{Pid, Signal, kill_process};
use smol::Timer;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::lock::Mutex;
use smol::net::TcpStream;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// A relay is ready within this time of its start.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Between two tries to reach it.
const READY_INTERVAL: Duration = Duration::from_millis(20);
/// SIGKILL comes so long after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// A relay starts again so long after its end.
const RESTART_AFTER: Duration = Duration::from_millis(600);
/// A successor answers clients so long after its start at the latest.
const SUCCESSOR_START: Duration = Duration::from_millis(400);
/// Between two signals of a series.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(40);
/// Between two looks at a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// What was on its way when a process ended counts as struck by that for so long, in microseconds.
const DISTURBANCE: Time = 100_000;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// The programs that a soak runs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// `mountshift-relay`.
    pub relay: PathBuf,
    /// The library that makes system calls fail, preloaded into it; without one those faults do nothing.
    pub shim: Option<PathBuf>,
}

impl Programs {
    /// # Errors
    /// If one of them is not there.
    pub(crate) fn check(&self) -> Result<(), SoakError> {
        for path in [Some(&self.relay), self.shim.as_ref()].into_iter().flatten() {
            if !path.exists() {
                return Err(SoakError::NoProgram { path: path.clone() });
            }
        }
        Ok(())
    }
}

/// How an upgrade ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpgradeEnd {
    /// The first process is told to stop, the second takes over.
    TakenOver,
    /// The first process is killed, the second takes over.
    FirstKilled,
    /// The upgrade is given up: the second process is killed, ...
    SecondKilled,
    /// ... or told to stop.
    SecondStopped,
}

/// A relay of the run.
pub(crate) struct RelayProcess {
    pub(crate) number: usize,
    pub(crate) listen: SocketAddr,
    pub(crate) faults: FaultControl,
    dir: PathBuf,
    programs: Programs,
    recorder: Arc<Recorder>,
    platform: Arc<Platform>,
    installation: Installation,
    /// The clients' socket, where the platform holds it: kept open for as long as the run, and inherited.
    inherited: Option<TcpListener>,
    child: Mutex<Option<Child>>,
    /// Which address of its agent the configuration names.
    agent_address: AtomicUsize,
    /// Until then a request without an answer is put down to the process's end or start.
    disturbed_until: AtomicU64,
    /// All processes started so far.
    started: std::sync::Mutex<Vec<Pid>>,
    /// How many faults may make the process end itself.
    self_kill_faults: AtomicUsize,
}

impl RelayProcess {
    pub(crate) fn new(
        number: usize,
        run_dir: &Path,
        programs: &Programs,
        recorder: &Arc<Recorder>,
        platform: &Arc<Platform>,
        installation: &Installation,
        inherits_socket: bool,
    ) -> Result<RelayProcess, SoakError> {
        let dir = run_dir.join(format!("r{number}"));
        std::fs::create_dir_all(dir.join("state")).map_err(SoakError::io(dir.display().to_string()))?;
        let faults = FaultControl::create(&dir.join("faults")).map_err(SoakError::io("control file"))?;
        let listener = free_listener(number).map_err(SoakError::io("a port for a relay"))?;
        let listen = listener.local_addr().map_err(SoakError::io("a port for a relay"))?;
        if inherits_socket {
            rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty())
                .map_err(|e| SoakError::io("an inherited socket")(e.into()))?;
        }
        Ok(RelayProcess {
            number,
            listen,
            inherited: inherits_socket.then_some(listener),
            faults,
            dir,
            programs: programs.clone(),
            recorder: recorder.clone(),
            platform: platform.clone(),
            installation: installation.clone(),
            child: Mutex::new(None),
            agent_address: AtomicUsize::new(0),
            disturbed_until: AtomicU64::new(0),
            started: std::sync::Mutex::default(),
            self_kill_faults: AtomicUsize::new(0),
        })
    }

    /// Starts the process and waits until it is ready.
    pub(crate) async fn start(&self) {
        let mut child = self.child.lock().await;
        self.start_locked(&mut child).await;
    }

    /// SIGKILL, and a new process on the same folder.
    pub(crate) async fn kill_and_restart(&self) {
        let mut child = self.child.lock().await;
        self.disturb(Time::MAX);
        if let Some(child) = child.as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.recorder.fact(Fact::RelayDown { relay: self.number as u32 });
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut child).await;
    }

    /// SIGTERM, SIGKILL if it is still there after `kill_after`, and a new process on the same folder.
    pub(crate) async fn stop_and_restart(&self, kill_after: Option<Duration>) {
        let mut child = self.child.lock().await;
        self.stop_locked(&mut child, kill_after).await;
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut child).await;
    }

    /// A second process starts beside the first. The two are one relay: whatever binds the first binds the second, and
    /// nothing excuses a late answer, unless one of them is killed.
    pub(crate) async fn upgrade(&self, end: UpgradeEnd) {
        let mut slot = self.child.lock().await;
        let Ok(mut second) = self.spawn() else { return self.note_process("no successor started".into()) };
        Timer::after(SUCCESSOR_START).await;
        match end {
            UpgradeEnd::TakenOver => {
                if let Some(first) = slot.as_mut() {
                    let _ = kill_process(Pid::from_child(first), Signal::TERM);
                    let status = wait_for_end(first, KILL_AFTER).await;
                    self.check_end(status, None);
                }
                *slot = Some(second);
            }
            UpgradeEnd::FirstKilled => {
                self.disturb(Time::MAX);
                if let Some(first) = slot.as_mut() {
                    let _ = first.kill();
                    let _ = first.wait();
                }
                *slot = Some(second);
            }
            UpgradeEnd::SecondKilled => {
                self.disturb(Time::MAX);
                let _ = second.kill();
                let _ = second.wait();
            }
            UpgradeEnd::SecondStopped => {
                let _ = kill_process(Pid::from_child(&second), Signal::TERM);
                let status = wait_for_end(&mut second, KILL_AFTER).await;
                self.check_end(status, None);
            }
        }
        if end != UpgradeEnd::TakenOver {
            // What the one that ended had accepted has to be found first.
            self.recorder.fact(Fact::RelayStalled { relay: self.number as u32, until: self.recorder.now() });
        }
        if matches!(end, UpgradeEnd::FirstKilled | UpgradeEnd::SecondKilled) {
            self.disturb(self.recorder.now() + DISTURBANCE);
        }
    }

    /// Signals one behind the other, one of them SIGTERM, and a new process on the same folder. SIGKILL comes no sooner than after
    /// the first SIGTERM.
    pub(crate) async fn signal_series(&self, series: impl IntoIterator<Item = Signal>) {
        let mut slot = self.child.lock().await;
        self.agent_address.fetch_add(1, Ordering::SeqCst);
        self.write_config();
        let Some(child) = slot.as_mut() else { return };
        self.disturb(Time::MAX);
        let mut stopped_at = None;
        for signal in series {
            if signal == Signal::TERM && stopped_at.is_none() {
                stopped_at = Some(Instant::now());
                let until = self.recorder.now() + KILL_AFTER.as_micros() as Time;
                self.recorder.fact(Fact::RelayStalled { relay: self.number as u32, until });
            }
            let _ = kill_process(Pid::from_child(child), signal);
            Timer::after(BETWEEN_SIGNALS).await;
        }
        let elapsed = stopped_at.map_or(Duration::ZERO, |at| at.elapsed());
        let status = wait_for_end(child, KILL_AFTER.saturating_sub(elapsed)).await;
        self.recorder.fact(Fact::RelayDown { relay: self.number as u32 });
        self.check_end(status, None);
        *slot = None;
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut slot).await;
    }

    /// SIGTERM, for good.
    pub(crate) async fn stop(&self) {
        let mut child = self.child.lock().await;
        self.check_resources(child.as_ref());
        self.stop_locked(&mut child, None).await;
    }

    /// The configuration names the other address of its agent; the process is told.
    pub(crate) async fn reload(&self) {
        let child = self.child.lock().await;
        self.agent_address.fetch_add(1, Ordering::SeqCst);
        self.write_config();
        if let Some(child) = child.as_ref() {
            let _ = kill_process(Pid::from_child(child), Signal::HUP);
        }
    }

    /// Starts the process again if it has ended by itself, and notes that unless a fault makes it do so.
    pub(crate) async fn look(&self) {
        let Some(mut child) = self.child.try_lock() else { return };
        let Some(status) = child.as_mut().and_then(|child| child.try_wait().ok().flatten()) else { return };
        self.disturb(Time::MAX);
        self.recorder.fact(Fact::RelayDown { relay: self.number as u32 });
        if !self.may_kill_itself() {
            self.note_process(format!("ended by itself: {status}"));
        }
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut child).await;
    }

    /// A fault begins that may make the process end itself, ...
    pub(crate) fn begin_self_kills(&self) {
        self.self_kill_faults.fetch_add(1, Ordering::SeqCst);
    }

    /// ... and is over.
    pub(crate) fn end_self_kills(&self) {
        self.self_kill_faults.fetch_sub(1, Ordering::SeqCst);
    }

    fn may_kill_itself(&self) -> bool {
        self.self_kill_faults.load(Ordering::SeqCst) > 0
    }

    /// True if an end or start of the process may have taken an answer away that was due at `since` or later.
    pub(crate) fn is_disturbed_since(&self, since: Time) -> bool {
        since <= self.disturbed_until.load(Ordering::SeqCst)
    }

    /// Ends every process that was started, whatever the tasks of the run do.
    pub(crate) fn kill_all(&self) {
        for process in lock(&self.started).drain(..) {
            if is_own_child(process) {
                let _ = kill_process(process, Signal::KILL);
            }
        }
    }

    pub(crate) fn note_process(&self, what: String) {
        self.recorder.note(Observation::Process { relay: self.number, what });
    }

    /// The log of all processes so far.
    pub(crate) fn log(&self) -> String {
        String::from_utf8_lossy(&std::fs::read(self.dir.join("log")).unwrap_or_default()).into_owned()
    }

    fn disturb(&self, until: Time) {
        self.disturbed_until.store(until, Ordering::SeqCst);
    }

    async fn stop_locked(&self, slot: &mut Option<Child>, kill_after: Option<Duration>) {
        let Some(child) = slot.as_mut() else { return };
        self.disturb(Time::MAX);
        let until = self.recorder.now() + KILL_AFTER.as_micros() as Time;
        // No final answer is overdue from here until the next process is ready.
        self.recorder.fact(Fact::RelayStalled { relay: self.number as u32, until });
        let _ = kill_process(Pid::from_child(child), Signal::TERM);
        let status = wait_for_end(child, kill_after.unwrap_or(KILL_AFTER)).await;
        self.recorder.fact(Fact::RelayDown { relay: self.number as u32 });
        self.check_end(status, kill_after);
        *slot = None;
    }

    fn check_end(&self, status: Option<ExitStatus>, kill_after: Option<Duration>) {
        match status {
            Some(status) if status.success() || self.may_kill_itself() => {}
            Some(status) => self.note_process(format!("ended after SIGTERM with {status}")),
            None if kill_after.is_some() => {}
            None => self.note_process(format!("had not ended {KILL_AFTER:?} after SIGTERM")),
        }
    }

    async fn start_locked(&self, slot: &mut Option<Child>) {
        self.write_config();
        // What its agent has counts as told from the first moment of a process.
        self.platform.note_told_at_start(self.number);
        self.note_starting();
        let started = Instant::now();
        match self.spawn() {
            Ok(child) => *slot = Some(child),
            Err(e) => return self.note_process(format!("not started: {e}")),
        }
        while !self.is_ready().await {
            let ended = slot.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                if !self.may_kill_itself() {
                    self.note_process(format!("ended while it started: {status}"));
                }
                self.recorder.fact(Fact::RelayDown { relay: self.number as u32 });
                Timer::after(RESTART_AFTER).await;
                self.platform.note_told_at_start(self.number);
                self.note_starting();
                match self.spawn() {
                    Ok(child) => *slot = Some(child),
                    Err(e) => return self.note_process(format!("not started: {e}")),
                }
            }
            if started.elapsed() > READY_WITHIN {
                return self.note_process(format!("not ready within {READY_WITHIN:?}"));
            }
            Timer::after(READY_INTERVAL).await;
        }
        self.recorder.fact(Fact::RelayUp { relay: self.number as u32 });
        self.disturb(self.recorder.now() + DISTURBANCE);
    }

    /// Until the process is seen to be ready, no final answer of it is overdue.
    fn note_starting(&self) {
        let until = self.recorder.now() + READY_WITHIN.as_micros() as Time;
        self.recorder.fact(Fact::RelayStalled { relay: self.number as u32, until });
    }

    fn spawn(&self) -> std::io::Result<Child> {
        let log = std::fs::File::options().create(true).append(true).open(self.dir.join("log"))?;
        let mut command = Command::new(&self.programs.relay);
        command
            .env_clear()
            .env("NODE_CONFIG", self.dir.join("config.json"))
            .env("NODE_STATE", self.dir.join("state"))
            .env("RUST_LOG", "info,mountshift_relay=debug");
        if let Some(listener) = &self.inherited {
            let descriptor = listener.as_raw_fd().to_string();
            command.env("NODE_ACCEPT_FD", &descriptor);
            command.env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", &descriptor);
        }
        if let Some(shim) = &self.programs.shim {
            command.env("LD_PRELOAD", shim).env(CONTROL_VARIABLE, self.faults.path());
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        lock(&self.started).push(Pid::from_child(&child));
        Ok(child)
    }

    async fn is_ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.listen).await?;
            stream.write_all(PING).await?;
            let mut answer = [0; 5];
            stream.read_exact(&mut answer).await?;
            std::io::Result::Ok(answer == *b"+PONG")
        };
        let late = async {
            Timer::after(Duration::from_millis(500)).await;
            Ok(false)
        };
        smol::future::or(asked, late).await.unwrap_or(false)
    }

    fn write_config(&self) {
        let discovery = self.platform.address(self.number, self.agent_address.load(Ordering::SeqCst));
        let known = self.platform.first_list();
        let config = self.installation.config(self.number, self.listen, discovery, &known);
        if let Err(e) = std::fs::write(self.dir.join("config.json"), config.to_string()) {
            self.note_process(format!("its configuration can't be written: {e}"));
        }
    }

    /// Memory and descriptors stay within the limits.
    fn check_resources(&self, child: Option<&Child>) {
        let Some(id) = child.map(Child::id) else { return };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let peak_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb: u64 = peak_kb.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        if peak_kb > RELAY_MEMORY_MB * 1_000 {
            self.note_process(format!("took {peak_kb} kB of memory, {RELAY_MEMORY_MB} MB are allowed"));
        }
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count) as u64;
        let allowed = self.installation.descriptors;
        if descriptors > allowed {
            self.note_process(format!("held {descriptors} descriptors, {allowed} are allowed"));
        }
    }
}

/// True if the process is this one's child: the number of one that has ended may be another program's by now.
fn is_own_child(process: Pid) -> bool {
    let stat =
        std::fs::read_to_string(format!("/proc/{}/stat", process.as_raw_nonzero())).unwrap_or_default();
    // Behind the name in brackets: the state, then the parent.
    let parent = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
    parent.and_then(|parent| parent.parse().ok()) == Some(std::process::id())
}

/// Waits for the end of a process, which is killed after a while; how it ended by itself.
async fn wait_for_end(child: &mut Child, kill_after: Duration) -> Option<ExitStatus> {
    let due = Instant::now() + kill_after;
    loop {
        if let Ok(Some(status)) = child.try_wait() {
            return Some(status);
        }
        if Instant::now() >= due {
            let _ = child.kill();
            let _ = child.wait();
            return None;
        }
        Timer::after(LOOK_INTERVAL).await;
    }
}

/// No process outlives the run, however it ends.
impl Drop for RelayProcess {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A listener on a free address: on a loopback address of its own, so that no other connection takes the port before it is used.
fn free_listener(number: usize) -> std::io::Result<TcpListener> {
    let process = std::process::id();
    let part = |n: u32| (n % 250) as u8 + 1;
    let own = [127, part(process / 250 % 100 + 20), part(process), part(number as u32)];
    TcpListener::bind(SocketAddr::from((own, 0)))
}
