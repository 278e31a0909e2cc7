//! Makes the faults of a schedule begin and end.

use crate::bad_clients::{crowd, misbehave};
use crate::client::Clients;
use crate::endpoint::{Behaviour, Endpoints};
use crate::platform::Platform;
use crate::recorder::{Observation, Recorder};
use crate::relay_process::{RelayProcess, UpgradeEnd};
use crate::schedule::{FaultKind, Schedule, ScheduledFault};
use mountshift_faults::{FULL_RATE, SystemCall, SystemCallFault};
use mountshift_invariants::ListedStatus;
use rustix::process::Signal;
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Between a reload and a stop that follows it.
const RELOAD_TO_STOP: Duration = Duration::from_millis(50);
/// An endpoint is away for so long before it is listed again.
const AWAY: Duration = Duration::from_millis(1_500);
/// A write to a socket is held up for so long, ...
const HOLD: Duration = Duration::from_millis(150);
/// ... in so many of 1,000 writes.
const HOLD_RATE: u64 = 50;
/// So many of 1,000 reads of a clock are held up.
const CLOCK_HOLD_RATE: u64 = 2;
/// Signals that a relay gets one behind the other.
const SIGNALS_IN_SERIES: usize = 4;
/// Of 1,000 calls that fail at all.
const SHORTAGE_RATE: u64 = 500;
const INTERRUPTION_RATE: u64 = 200;

/// What faults strike.
pub(crate) struct Targets {
    pub(crate) relays: Vec<Arc<RelayProcess>>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) clients: Arc<Clients>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) seed: u64,
}

/// Plays all faults of a schedule, each at its time; over once all of them are.
pub(crate) async fn inject(schedule: &Schedule, targets: Arc<Targets>) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for fault in schedule.faults.clone() {
        let targets = targets.clone();
        tasks.push(smol::spawn(async move {
            Timer::at(start + Duration::from_millis(fault.at_ms)).await;
            targets.recorder.fault(format!("{} begins: {:?}, {}", fault.kind, fault.targets, fault.amount));
            targets.play(&fault).await;
            targets.recorder.fault(format!("{} ends: {:?}", fault.kind, fault.targets));
        }));
    }
    for task in tasks {
        task.await;
    }
}

impl Targets {
    async fn play(&self, fault: &ScheduledFault) {
        let span = Duration::from_millis(fault.for_ms);
        match fault.kind {
            FaultKind::Kill
            | FaultKind::Stop
            | FaultKind::Upgrade
            | FaultKind::Reload
            | FaultKind::Signals
            | FaultKind::ReloadAndStop => self.end_processes(fault).await,
            FaultKind::Clock => {
                for relay in self.targeted_relays(fault) {
                    let _ = relay.faults.set_wall_clock_offset_ms(fault.amount);
                }
            }
            FaultKind::Disk | FaultKind::DiskAtStart | FaultKind::TornKill => {
                self.break_disk(fault, span).await;
            }
            FaultKind::Sockets => self.break_sockets(fault, span).await,
            FaultKind::Hold => self.hold(fault, span).await,
            FaultKind::Drain => self.drain(fault, span).await,
            FaultKind::Discovery => {
                self.set_discovery_silent(fault, true);
                Timer::after(span).await;
                self.set_discovery_silent(fault, false);
            }
            FaultKind::BadClients => self.misbehave(fault, span).await,
            FaultKind::CopiedIds => {
                fault.targets.iter().for_each(|relay| self.clients.set_copied(*relay, true));
                Timer::after(span).await;
                fault.targets.iter().for_each(|relay| self.clients.set_copied(*relay, false));
            }
            FaultKind::Crowd => self.gather_crowds(fault, span).await,
            FaultKind::UpgradeDisk => self.upgrade_on_bad_folder(fault, span).await,
            FaultKind::ClockHold => self.hold_clocks(fault, span).await,
            _ => self.change_endpoints(fault, span).await,
        }
    }

    /// Signals, and what starts in the place of what they end.
    async fn end_processes(&self, fault: &ScheduledFault) {
        // A part of the stops is cut short by SIGKILL.
        let kill_after = (fault.amount % 3 == 0).then(|| Duration::from_millis(fault.amount as u64));
        let upgrade = upgrade_end(fault);
        let kind = fault.kind;
        let series = signal_series(fault.amount as u64);
        self.on_each_relay(fault, move |relay| async move {
            match kind {
                FaultKind::Signals => relay.signal_series(series).await,
                FaultKind::Kill => relay.kill_and_restart().await,
                FaultKind::Stop => relay.stop_and_restart(kill_after).await,
                FaultKind::Upgrade => relay.upgrade(upgrade).await,
                FaultKind::Reload => relay.reload().await,
                _ => {
                    relay.reload().await;
                    Timer::after(RELOAD_TO_STOP).await;
                    relay.stop_and_restart(None).await;
                }
            }
        })
        .await;
    }

    async fn hold(&self, fault: &ScheduledFault, span: Duration) {
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_socket_write_delay(HOLD, HOLD_RATE);
        }
        Timer::after(span).await;
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_socket_write_delay(Duration::ZERO, 0);
        }
    }

    async fn gather_crowds(&self, fault: &ScheduledFault, span: Duration) {
        let until = Instant::now() + span;
        let gather_at = |relay| smol::spawn(crowd(self.clients.clone(), relay, until));
        let tasks: Vec<_> = fault.targets.iter().map(|relay| gather_at(*relay)).collect();
        for task in tasks {
            task.await;
        }
    }

    async fn upgrade_on_bad_folder(&self, fault: &ScheduledFault, span: Duration) {
        let relays = self.targeted_relays(fault);
        for relay in &relays {
            for (call, how) in disk_faults(fault) {
                let _ = relay.faults.set_system_call_fault(call, how);
            }
        }
        let end = upgrade_end(fault);
        let upgrades = self.on_each_relay(fault, move |relay| async move { relay.upgrade(end).await });
        let mended = async {
            Timer::after(span).await;
            mend_disk(&relays, fault);
        };
        smol::future::zip(upgrades, mended).await;
    }

    async fn hold_clocks(&self, fault: &ScheduledFault, span: Duration) {
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_clock_read_delay(HOLD, CLOCK_HOLD_RATE);
        }
        Timer::after(span).await;
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_clock_read_delay(Duration::ZERO, 0);
        }
    }

    async fn misbehave(&self, fault: &ScheduledFault, span: Duration) {
        let until = Instant::now() + span;
        let misbehave_at = |relay| smol::spawn(misbehave(self.clients.clone(), relay, until, self.seed));
        let tasks: Vec<_> = fault.targets.iter().map(|relay| misbehave_at(*relay)).collect();
        for task in tasks {
            task.await;
        }
    }

    fn targeted_relays(&self, fault: &ScheduledFault) -> Vec<Arc<RelayProcess>> {
        fault.targets.iter().map(|number| self.relays[*number].clone()).collect()
    }

    async fn on_each_relay<F>(&self, fault: &ScheduledFault, act: impl Fn(Arc<RelayProcess>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let tasks: Vec<_> =
            self.targeted_relays(fault).into_iter().map(|relay| smol::spawn(act(relay))).collect();
        for task in tasks {
            task.await;
        }
    }

    async fn break_disk(&self, fault: &ScheduledFault, span: Duration) {
        let relays = self.targeted_relays(fault);
        for relay in &relays {
            if fault.kind == FaultKind::TornKill {
                relay.begin_self_kills();
            }
            for (call, how) in disk_faults(fault) {
                let _ = relay.faults.set_system_call_fault(call, how);
            }
        }
        if fault.kind == FaultKind::DiskAtStart {
            let restarts = self.on_each_relay(fault, |relay| async move { relay.kill_and_restart().await });
            let mended = async {
                Timer::after(RESTART_PART + span).await;
                mend_disk(&relays, fault);
            };
            smol::future::zip(restarts, mended).await;
        } else {
            Timer::after(span).await;
            mend_disk(&relays, fault);
        }
        if fault.kind == FaultKind::TornKill {
            // The watcher starts again what killed itself.
            Timer::after(RESTART_PART * 2).await;
            for relay in &relays {
                relay.end_self_kills();
            }
        }
    }

    async fn break_sockets(&self, fault: &ScheduledFault, span: Duration) {
        let shortages = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
        let shortage = shortages[fault.amount as usize % shortages.len()];
        let locals = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS, libc::EAGAIN];
        let local = locals[fault.amount as usize / 4 % locals.len()];
        let fails = |errno, fail_rate| SystemCallFault { errno, fail_rate, ..SystemCallFault::default() };
        let watch = libc::ENOMEM;
        let passing = [libc::EINTR, libc::ENOBUFS, libc::ENOMEM];
        let passing = passing[fault.amount as usize % passing.len()];
        let sends =
            SystemCallFault { partial_write_rate: INTERRUPTION_RATE, ..fails(passing, INTERRUPTION_RATE) };
        let how = [
            (SystemCall::Accept, fails(shortage, SHORTAGE_RATE)),
            (SystemCall::Socket, fails(shortage, SHORTAGE_RATE)),
            (SystemCall::Connect, fails(local, SHORTAGE_RATE)),
            (SystemCall::Receive, fails(passing, INTERRUPTION_RATE)),
            (SystemCall::Wait, fails(libc::EINTR, INTERRUPTION_RATE)),
            (SystemCall::WaitControl, fails(watch, INTERRUPTION_RATE)),
            (SystemCall::Send, sends),
        ];
        for relay in self.targeted_relays(fault) {
            for (call, how) in how {
                let _ = relay.faults.set_system_call_fault(call, how);
            }
        }
        Timer::after(span).await;
        for relay in self.targeted_relays(fault) {
            for (call, _) in how {
                let _ = relay.faults.set_system_call_fault(call, SystemCallFault::default());
            }
        }
    }

    async fn drain(&self, fault: &ScheduledFault, span: Duration) {
        for endpoint in &fault.targets {
            self.record_endpoint_fault(*endpoint, false);
            self.platform.set_phase(*endpoint, ListedStatus::Draining);
        }
        Timer::after(span).await;
        for endpoint in &fault.targets {
            self.platform.set_phase(*endpoint, ListedStatus::Removed);
        }
        Timer::after(AWAY).await;
        for endpoint in &fault.targets {
            self.platform.set_phase(*endpoint, ListedStatus::Ready);
            self.record_endpoint_fault(*endpoint, true);
        }
    }

    fn record_endpoint_fault(&self, endpoint: usize, is_over: bool) {
        self.recorder.note(Observation::EndpointFault { endpoint, is_over });
    }

    fn set_discovery_silent(&self, fault: &ScheduledFault, is_silent: bool) {
        for relay in &fault.targets {
            self.platform.set_silent(*relay, is_silent);
        }
    }

    async fn change_endpoints(&self, fault: &ScheduledFault, span: Duration) {
        let behaviour = match fault.kind {
            FaultKind::Hang => Behaviour::Hang,
            FaultKind::Busy => Behaviour::Busy,
            FaultKind::RetryAfter => Behaviour::RetryAfter(fault.amount as u64),
            FaultKind::Errors => Behaviour::Errors,
            FaultKind::Slow => Behaviour::Slow(fault.amount as u64),
            FaultKind::Reset => Behaviour::Reset,
            FaultKind::HalfAnswer => Behaviour::HalfAnswer,
            FaultKind::SpoiltAnswers => Behaviour::MalformedResponses,
            FaultKind::LateConnects => Behaviour::LateConnects,
            _ => Behaviour::CloseIdle,
        };
        for endpoint in &fault.targets {
            self.record_endpoint_fault(*endpoint, false);
            self.endpoints.set_behaviour(*endpoint, behaviour);
        }
        Timer::after(span).await;
        for endpoint in &fault.targets {
            self.endpoints.set_behaviour(*endpoint, Behaviour::Normal);
            self.record_endpoint_fault(*endpoint, true);
        }
    }
}

/// Up to here a killed relay is not started again yet.
const RESTART_PART: Duration = Duration::from_millis(600);

/// A part of the upgrades begins with a SIGKILL, and a part is given up.
fn upgrade_end(fault: &ScheduledFault) -> UpgradeEnd {
    match fault.amount % 8 {
        0 | 4 => UpgradeEnd::FirstKilled,
        1 => UpgradeEnd::SecondKilled,
        5 => UpgradeEnd::SecondStopped,
        _ => UpgradeEnd::TakenOver,
    }
}

/// Signals of a series, drawn by the bits of a number; one of them at least is SIGTERM.
fn signal_series(bits: u64) -> [Signal; SIGNALS_IN_SERIES] {
    let mut series = [Signal::TERM; SIGNALS_IN_SERIES];
    for (position, signal) in series.iter_mut().enumerate().take(SIGNALS_IN_SERIES - 1) {
        if bits >> position & 1 == 1 {
            *signal = Signal::HUP;
        }
    }
    series.rotate_right(bits as usize % SIGNALS_IN_SERIES);
    series
}

/// How the state folder fails.
fn disk_faults(fault: &ScheduledFault) -> Vec<(SystemCall, SystemCallFault)> {
    let errno = if fault.amount % 2 == 0 { libc::ENOSPC } else { libc::EIO };
    let half_cut = SystemCallFault {
        errno,
        fail_rate: FULL_RATE,
        partial_write_rate: FULL_RATE / 2,
        partial_write_kill_rate: 0,
    };
    let fails = SystemCallFault::always(errno);
    let at_times = SystemCallFault { errno, fail_rate: SHORTAGE_RATE, ..SystemCallFault::default() };
    match fault.kind {
        FaultKind::TornKill => {
            let torn = SystemCallFault {
                errno,
                fail_rate: 0,
                partial_write_rate: 0,
                partial_write_kill_rate: FULL_RATE / 5,
            };
            vec![(SystemCall::FileWrite, torn)]
        }
        FaultKind::UpgradeDisk => vec![
            (SystemCall::FileOpen, at_times),
            (SystemCall::FileLock, at_times),
            (SystemCall::FileRead, at_times),
            (SystemCall::FileRename, at_times),
            (SystemCall::FileUnlink, fails),
        ],
        FaultKind::DiskAtStart => vec![
            (SystemCall::FileWrite, half_cut),
            (SystemCall::FileOpen, if fault.is_long_at_start() { fails } else { at_times }),
            (SystemCall::FileLock, at_times),
            (SystemCall::FileRead, at_times),
            (SystemCall::FileRename, fails),
            (SystemCall::FileTruncate, fails),
            (SystemCall::FileUnlink, at_times),
            (SystemCall::Bind, SystemCallFault { errno: libc::EADDRINUSE, ..at_times }),
        ],
        _ => vec![
            (SystemCall::FileWrite, half_cut),
            (
                SystemCall::FileTruncate,
                if fault.amount % 3 == 0 { fails } else { SystemCallFault::default() },
            ),
            (SystemCall::FileRename, if fault.amount % 5 == 0 { fails } else { SystemCallFault::default() }),
        ],
    }
}

fn mend_disk(relays: &[Arc<RelayProcess>], fault: &ScheduledFault) {
    for relay in relays {
        for (call, _) in disk_faults(fault) {
            let _ = relay.faults.set_system_call_fault(call, SystemCallFault::default());
        }
    }
}
