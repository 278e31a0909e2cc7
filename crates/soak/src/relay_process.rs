//! The relays of a run: processes on loopback addresses, each with a persistent folder and a control file for its
//! faults.

use crate::SoakError;
use crate::installation::{Installation, RELAY_MEMORY_MB};
use crate::os_process::{free_listener, is_own_child, is_running, wait_for_exit};
use crate::platform::Platform;
use crate::recorder::{Observation, Recorder, lock};
use crate::upgrade::UpgradeUnderWay;
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

/// Time within which a relay must be ready after its start.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Interval between two checks whether a relay is ready.
pub(crate) const READY_INTERVAL: Duration = Duration::from_millis(20);
/// Time from SIGTERM to SIGKILL.
pub(crate) const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// Time from the end of a relay to its next start.
const RESTART_AFTER: Duration = Duration::from_millis(600);
/// Pause between two signals of a series.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(40);
/// Time after a restart, in microseconds, during which requests may go unanswered because of the previous process's
/// end.
const RESTART_AFTEREFFECT: Time = 100_000;
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";

/// The programs that a soak runs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of `mountshift-relay`.
    pub relay: PathBuf,
    /// Path of the fault shim, which is preloaded into the relay. Without it, faults of system calls have no effect.
    pub shim: Option<PathBuf>,
}

impl Programs {
    /// Checks that the programs exist.
    ///
    /// # Errors
    /// If one of them does not exist.
    pub(crate) fn check(&self) -> Result<(), SoakError> {
        for path in [Some(&self.relay), self.shim.as_ref()].into_iter().flatten() {
            if !path.exists() {
                return Err(SoakError::NoProgram { path: path.clone() });
            }
        }
        Ok(())
    }
}

/// A process of a relay.
#[derive(Clone, Copy, Debug)]
struct StartedProcess {
    id: Pid,
    admin_address: SocketAddr,
}

/// A relay of the run.
pub(crate) struct RelayProcess {
    pub(crate) number: usize,
    pub(crate) listen: SocketAddr,
    pub(crate) faults: FaultControl,
    dir: PathBuf,
    programs: Programs,
    pub(crate) recorder: Arc<Recorder>,
    platform: Arc<Platform>,
    installation: Installation,
    /// The clients' socket if the platform owns it. It stays open during the whole run and is inherited by the
    /// processes.
    inherited_listener: Option<TcpListener>,
    pub(crate) child: Mutex<Option<Child>>,
    /// Held while an operator's command is made.
    pub(crate) command_turn: Mutex<()>,
    /// The upgrade under way, if any.
    pub(crate) upgrade: std::sync::Mutex<Option<UpgradeUnderWay>>,
    /// Time until which a missing answer is attributed to the end or start of the process.
    missing_answers_tolerated_until: AtomicU64,
    /// All processes started so far.
    started_processes: std::sync::Mutex<Vec<StartedProcess>>,
    /// Number of current faults that may make the process kill itself.
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
        let faults =
            FaultControl::create(&dir.join("faults")).map_err(SoakError::io("control file of a relay"))?;
        let listener = free_listener(number).map_err(SoakError::io("port for a relay"))?;
        let listen = listener.local_addr().map_err(SoakError::io("port for a relay"))?;
        if inherits_socket {
            rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty())
                .map_err(|e| SoakError::io("inherited socket of a relay")(e.into()))?;
        }
        Ok(RelayProcess {
            number,
            listen,
            inherited_listener: inherits_socket.then_some(listener),
            faults,
            dir,
            programs: programs.clone(),
            recorder: recorder.clone(),
            platform: platform.clone(),
            installation: installation.clone(),
            child: Mutex::new(None),
            command_turn: Mutex::new(()),
            upgrade: std::sync::Mutex::default(),
            missing_answers_tolerated_until: AtomicU64::new(0),
            started_processes: std::sync::Mutex::default(),
            self_kill_faults: AtomicUsize::new(0),
        })
    }

    /// Starts the process and waits until it is ready.
    pub(crate) async fn start(&self) {
        let mut child = self.child.lock().await;
        self.start_locked(&mut child).await;
    }

    /// Kills the process and starts a new one on the same folder.
    pub(crate) async fn kill_and_restart(&self) {
        let mut child = self.child.lock().await;
        self.tolerate_missing_answers_until(Time::MAX);
        if let Some(child) = child.as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.recorder.record_fact(Fact::RelayDown { relay: self.number as u32 });
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut child).await;
    }

    /// Stops the process by SIGTERM, or by SIGKILL after `kill_after`, and starts a new one on the same folder.
    pub(crate) async fn stop_and_restart(&self, kill_after: Option<Duration>) {
        let mut child = self.child.lock().await;
        self.stop_locked(&mut child, kill_after).await;
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut child).await;
    }

    /// Sends a series of signals with at least one SIGTERM, waits for the end of the process and starts a new one on
    /// the same folder. The time until SIGKILL counts from the first SIGTERM.
    pub(crate) async fn signal_and_restart(&self, series: impl IntoIterator<Item = Signal>) {
        let mut slot = self.child.lock().await;
        let series: Vec<Signal> = series.into_iter().collect();
        if series.contains(&Signal::HUP) {
            self.move_agent().await;
        }
        let Some(child) = slot.as_mut() else { return };
        self.tolerate_missing_answers_until(Time::MAX);
        let mut stopped_at = None;
        for signal in series {
            if signal == Signal::TERM && stopped_at.is_none() {
                stopped_at = Some(Instant::now());
                let until = self.recorder.now() + KILL_AFTER.as_micros() as Time;
                self.recorder.record_fact(Fact::RelayStalled { relay: self.number as u32, until });
            }
            let _ = kill_process(Pid::from_child(child), signal);
            Timer::after(BETWEEN_SIGNALS).await;
        }
        let elapsed = stopped_at.map_or(Duration::ZERO, |at| at.elapsed());
        let status = wait_for_exit(child, KILL_AFTER.saturating_sub(elapsed)).await;
        self.recorder.record_fact(Fact::RelayDown { relay: self.number as u32 });
        self.check_exit_status(status, None);
        *slot = None;
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut slot).await;
    }

    /// Stops the process by SIGTERM and does not start it again.
    pub(crate) async fn stop(&self) {
        let mut child = self.child.lock().await;
        self.check_resources(child.as_ref());
        self.stop_locked(&mut child, None).await;
    }

    /// Moves the agent, changes its address in the configuration and makes the process reload it by SIGHUP. During an
    /// upgrade one process or both get the signal, as the drawn number selects.
    pub(crate) async fn reload(&self, drawn: u64) {
        if lock(&self.upgrade).is_some() {
            self.move_agent().await;
            return self.signal_upgrade(drawn);
        }
        let child = self.child.lock().await;
        self.move_agent().await;
        if let Some(child) = child.as_ref() {
            let _ = kill_process(Pid::from_child(child), Signal::HUP);
        }
    }

    /// Sends SIGHUP to the processes of an upgrade that the drawn number selects.
    fn signal_upgrade(&self, drawn: u64) {
        let Some(upgrade) = *lock(&self.upgrade) else {
            // It has ended meanwhile: the remaining process is the only one.
            return self.signal_last_started();
        };
        for process in upgrade.reload_targets(drawn) {
            if is_own_child(process) {
                let _ = kill_process(process, Signal::HUP);
            }
        }
    }

    fn signal_last_started(&self) {
        let started = lock(&self.started_processes);
        let running = started.iter().rev().find(|process| is_running(process.id));
        if let Some(process) = running {
            let _ = kill_process(process.id, Signal::HUP);
        }
    }

    /// Opens a new address of the agent, and writes it to the configuration.
    async fn move_agent(&self) {
        if let Err(e) = self.platform.move_agent(self.number).await {
            return self.record_process_event(format!("its agent could not be moved: {e}"));
        }
        self.write_config();
    }

    /// Starts the process again if it has ended by itself, and records that as a breach unless a fault made it kill
    /// itself.
    pub(crate) async fn restart_if_exited(&self) {
        let Some(mut child) = self.child.try_lock() else { return };
        let Some(status) = child.as_mut().and_then(|child| child.try_wait().ok().flatten()) else { return };
        self.tolerate_missing_answers_until(Time::MAX);
        self.recorder.record_fact(Fact::RelayDown { relay: self.number as u32 });
        if !self.may_kill_itself() {
            self.record_process_event(format!("exited unexpectedly: {status}"));
        }
        Timer::after(RESTART_AFTER).await;
        self.start_locked(&mut child).await;
    }

    /// Registers the beginning of a fault that may make the process kill itself.
    pub(crate) fn begin_self_kill_fault(&self) {
        self.self_kill_faults.fetch_add(1, Ordering::SeqCst);
    }

    /// Registers the end of a fault that may make the process kill itself.
    pub(crate) fn end_self_kill_fault(&self) {
        self.self_kill_faults.fetch_sub(1, Ordering::SeqCst);
    }

    pub(crate) fn may_kill_itself(&self) -> bool {
        self.self_kill_faults.load(Ordering::SeqCst) > 0
    }

    /// Returns whether an end or start of the process may explain a missing answer to a request written at `since`.
    pub(crate) fn tolerates_missing_answer_since(&self, since: Time) -> bool {
        since <= self.missing_answers_tolerated_until.load(Ordering::SeqCst)
    }

    /// Kills every started process, independently of the tasks of the run.
    pub(crate) fn kill_all(&self) {
        for process in lock(&self.started_processes).drain(..) {
            if is_own_child(process.id) {
                let _ = kill_process(process.id, Signal::KILL);
            }
        }
    }

    pub(crate) fn record_process_event(&self, description: String) {
        self.recorder.record(Observation::ProcessEvent { relay: self.number, description });
    }

    /// Returns the log of all processes so far.
    pub(crate) fn log(&self) -> String {
        String::from_utf8_lossy(&std::fs::read(self.dir.join("log")).unwrap_or_default()).into_owned()
    }

    pub(crate) fn tolerate_missing_answers_until(&self, until: Time) {
        self.missing_answers_tolerated_until.store(until, Ordering::SeqCst);
    }

    async fn stop_locked(&self, slot: &mut Option<Child>, kill_after: Option<Duration>) {
        let Some(child) = slot.as_mut() else { return };
        self.tolerate_missing_answers_until(Time::MAX);
        let until = self.recorder.now() + KILL_AFTER.as_micros() as Time;
        // Final answers are not overdue until the next process is ready.
        self.recorder.record_fact(Fact::RelayStalled { relay: self.number as u32, until });
        let _ = kill_process(Pid::from_child(child), Signal::TERM);
        let status = wait_for_exit(child, kill_after.unwrap_or(KILL_AFTER)).await;
        self.recorder.record_fact(Fact::RelayDown { relay: self.number as u32 });
        self.check_exit_status(status, kill_after);
        *slot = None;
    }

    pub(crate) fn check_exit_status(&self, status: Option<ExitStatus>, kill_after: Option<Duration>) {
        match status {
            Some(status) if status.success() || self.may_kill_itself() => {}
            Some(status) => self.record_process_event(format!("exited after SIGTERM with {status}")),
            None if kill_after.is_some() => {}
            None => self.record_process_event(format!("was still running {KILL_AFTER:?} after SIGTERM")),
        }
    }

    async fn start_locked(&self, slot: &mut Option<Child>) {
        self.write_config();
        // The process counts as having its agent's list from its start.
        self.platform.record_initial_list(self.number);
        self.record_starting();
        let started = Instant::now();
        match self.spawn() {
            Ok((child, _)) => *slot = Some(child),
            Err(e) => return self.record_process_event(format!("could not be started: {e}")),
        }
        while !self.is_ready().await {
            let ended = slot.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                if !self.may_kill_itself() {
                    self.record_process_event(format!("exited during startup: {status}"));
                }
                self.recorder.record_fact(Fact::RelayDown { relay: self.number as u32 });
                Timer::after(RESTART_AFTER).await;
                self.platform.record_initial_list(self.number);
                self.record_starting();
                match self.spawn() {
                    Ok((child, _)) => *slot = Some(child),
                    Err(e) => return self.record_process_event(format!("could not be started: {e}")),
                }
            }
            if started.elapsed() > READY_WITHIN {
                return self.record_process_event(format!("was not ready within {READY_WITHIN:?}"));
            }
            Timer::after(READY_INTERVAL).await;
        }
        self.recorder.record_fact(Fact::RelayUp { relay: self.number as u32 });
        self.tolerate_missing_answers_until(self.recorder.now() + RESTART_AFTEREFFECT);
    }

    /// Records that the process is starting: its final answers are not overdue until it is ready.
    fn record_starting(&self) {
        let until = self.recorder.now() + READY_WITHIN.as_micros() as Time;
        self.recorder.record_fact(Fact::RelayStalled { relay: self.number as u32, until });
    }

    /// Starts a process. Returns it and its admin address.
    pub(crate) fn spawn(&self) -> std::io::Result<(Child, SocketAddr)> {
        // The port is free again once the socket is dropped; no other program uses the relay's loopback address.
        let admin_address = free_listener(self.number)?.local_addr()?;
        let log = std::fs::File::options().create(true).append(true).open(self.dir.join("log"))?;
        let mut command = Command::new(&self.programs.relay);
        command
            .env_clear()
            .env("NODE_CONFIG", self.dir.join("config.json"))
            .env("NODE_STATE", self.dir.join("state"))
            .env("NODE_MGMT", admin_address.to_string())
            .env("NODE_DISCOVERY", self.platform.address(self.number).to_string())
            .env("RUST_LOG", "info,mountshift_relay=debug");
        if let Some(listener) = &self.inherited_listener {
            let descriptor = listener.as_raw_fd().to_string();
            command.env("NODE_ACCEPT_FD", &descriptor);
            command.env("LISTEN_FDS", "1").env("LISTEN_FDS_FIRST_FD", &descriptor);
        }
        if let Some(shim) = &self.programs.shim {
            command.env("LD_PRELOAD", shim).env(CONTROL_VARIABLE, self.faults.path());
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        lock(&self.started_processes).push(StartedProcess { id: Pid::from_child(&child), admin_address });
        Ok((child, admin_address))
    }

    /// Returns the admin address of a started process.
    pub(crate) fn admin_address_of(&self, id: Pid) -> Option<SocketAddr> {
        // The system may have reused the id of an ended process.
        let started = lock(&self.started_processes).iter().rev().find(|process| process.id == id).copied();
        started.map(|process| process.admin_address)
    }

    async fn is_ready(&self) -> bool {
        let ping = async {
            let mut stream = TcpStream::connect(self.listen).await?;
            stream.write_all(PING).await?;
            let mut answer = [0; 5];
            stream.read_exact(&mut answer).await?;
            std::io::Result::Ok(answer == *b"+PONG")
        };
        let timeout = async {
            Timer::after(Duration::from_millis(500)).await;
            Ok(false)
        };
        smol::future::or(ping, timeout).await.unwrap_or(false)
    }

    fn write_config(&self) {
        let discovery = self.platform.address(self.number);
        let known_endpoints = self.platform.initial_list();
        let config = self.installation.config(self.number, self.listen, discovery, &known_endpoints);
        if let Err(e) = std::fs::write(self.dir.join("config.json"), config.to_string()) {
            self.record_process_event(format!("could not be configured: {e}"));
        }
    }

    /// Records a breach if the process uses more memory or descriptors than allowed.
    fn check_resources(&self, child: Option<&Child>) {
        let Some(id) = child.map(Child::id) else { return };
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let peak_kb = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak_kb: u64 = peak_kb.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        if peak_kb > RELAY_MEMORY_MB * 1_000 {
            self.record_process_event(format!(
                "used {peak_kb} kB of memory; the limit is {RELAY_MEMORY_MB} MB"
            ));
        }
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count) as u64;
        let limit = self.installation.max_descriptors;
        if descriptors > limit {
            self.record_process_event(format!("had {descriptors} open descriptors; the limit is {limit}"));
        }
    }
}

/// Kills the process, so that it does not outlive the run.
impl Drop for RelayProcess {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
