//! Begins and ends the faults of a schedule.

use crate::bad_clients::{exhaust_descriptors, misbehave};
use crate::client::Clients;
use crate::endpoint::{Behaviour, Endpoints};
use crate::fault_kind::FaultKind;
use crate::platform::{AgentBehaviour, Platform};
use crate::recorder::{Observation, Recorder};
use crate::relay_process::RelayProcess;
use crate::schedule::{Schedule, ScheduledFault};
use crate::system_call_faults::{disk_faults, socket_faults};
use crate::upgrade::UpgradePlan;
use mountshift_faults::SystemCallFault;
use mountshift_invariants::ListedStatus;
use rustix::process::Signal;
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between a reload and the stop that follows it.
const RELOAD_TO_STOP: Duration = Duration::from_millis(50);
/// Time after which a removed endpoint is listed again.
const REMOVED_FOR: Duration = Duration::from_millis(1_500);
/// The same where the relays poll for the list. It is longer than the time after which a change counts as known to a relay
/// that has not received it.
const REMOVED_FOR_WHERE_POLLED: Duration = Duration::from_millis(13_000);
/// Delay of a write to a socket, or of the reading thread after a read of a clock.
const INJECTED_DELAY: Duration = Duration::from_millis(150);
/// Number of delayed writes to sockets per 1,000.
const SOCKET_WRITE_DELAY_RATE: u64 = 50;
/// Number of delayed reads of a clock per 1,000.
const CLOCK_READ_DELAY_RATE: u64 = 2;
/// Number of signals in a series.
const SIGNALS_IN_SERIES: usize = 4;

/// Parts of the run that faults affect.
pub(crate) struct FaultTargets {
    pub(crate) relays: Vec<Arc<RelayProcess>>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) clients: Arc<Clients>,
    pub(crate) recorder: Arc<Recorder>,
    pub(crate) seed: u64,
    /// Whether the relays have to poll for the endpoint list.
    pub(crate) is_polling: bool,
}

/// Injects all faults of a schedule, each at its time, and waits until all of them are over.
pub(crate) async fn inject(schedule: &Schedule, targets: Arc<FaultTargets>) {
    let start = Instant::now();
    let mut tasks = Vec::new();
    for fault in schedule.faults.clone() {
        let targets = targets.clone();
        tasks.push(smol::spawn(async move {
            Timer::at(start + Duration::from_millis(fault.at_ms)).await;
            targets
                .recorder
                .record_fault(format!("{} begins: {:?}, {}", fault.kind, fault.targets, fault.amount));
            targets.run_fault(&fault).await;
            targets.recorder.record_fault(format!("{} ends: {:?}", fault.kind, fault.targets));
        }));
    }
    for task in tasks {
        task.await;
    }
}

impl FaultTargets {
    async fn run_fault(&self, fault: &ScheduledFault) {
        let span = Duration::from_millis(fault.for_ms);
        match fault.kind {
            FaultKind::Kill
            | FaultKind::Stop
            | FaultKind::Upgrade
            | FaultKind::Reload
            | FaultKind::Signals
            | FaultKind::ReloadAndStop => self.signal_processes(fault).await,
            FaultKind::Clock => {
                for relay in self.targeted_relays(fault) {
                    let _ = relay.faults.set_wall_clock_offset_ms(fault.amount);
                }
            }
            FaultKind::Disk | FaultKind::DiskAtStart | FaultKind::TornKill => {
                self.inject_disk_faults(fault, span).await;
            }
            FaultKind::Sockets => self.inject_socket_faults(fault, span).await,
            FaultKind::Hold => self.delay_socket_writes(fault, span).await,
            FaultKind::Drain => self.drain(fault, span).await,
            FaultKind::Discovery if self.is_polling && fault.amount % 2 == 0 => {
                fault.targets.iter().for_each(|relay| self.platform.silence_watches(*relay));
            }
            FaultKind::Discovery => self.change_agents(fault, span, AgentBehaviour::Silent).await,
            FaultKind::EndlessAnswers => self.change_agents(fault, span, AgentBehaviour::Endless).await,
            FaultKind::BadClients => self.run_bad_clients(fault, span).await,
            FaultKind::CopiedIds => {
                fault.targets.iter().for_each(|relay| self.clients.set_ids_copied(*relay, true));
                Timer::after(span).await;
                fault.targets.iter().for_each(|relay| self.clients.set_ids_copied(*relay, false));
            }
            FaultKind::Crowd => self.exhaust_descriptors(fault, span).await,
            FaultKind::UpgradeDisk => self.upgrade_with_disk_faults(fault, span).await,
            FaultKind::ClockHold => self.delay_clock_reads(fault, span).await,
            FaultKind::Maintenance => self.maintain_endpoint(fault, span).await,
            FaultKind::CommandsInUpgrade => self.upgrade_with_commands(fault, span).await,
            _ => self.change_endpoints(fault, span).await,
        }
    }

    /// Sends the fault's signals to processes and starts the processes that replace them.
    async fn signal_processes(&self, fault: &ScheduledFault) {
        // A third of the stops is cut short by SIGKILL.
        let kill_after = (fault.amount % 3 == 0).then(|| Duration::from_millis(fault.amount as u64));
        let upgrade = UpgradePlan::of(fault);
        let kind = fault.kind;
        let drawn = fault.amount as u64;
        let series = signal_series(drawn);
        self.for_each_relay(fault, move |relay| async move {
            match kind {
                FaultKind::Signals => relay.signal_and_restart(series).await,
                FaultKind::Kill => relay.kill_and_restart().await,
                FaultKind::Stop => relay.stop_and_restart(kill_after).await,
                FaultKind::Upgrade => relay.upgrade(upgrade).await,
                FaultKind::Reload => relay.reload(drawn).await,
                _ => {
                    relay.reload(drawn).await;
                    Timer::after(RELOAD_TO_STOP).await;
                    relay.stop_and_restart(None).await;
                }
            }
        })
        .await;
        if kind == FaultKind::Upgrade && self.is_polling {
            self.drain_after_upgrade(fault).await;
        }
    }

    /// Drains and removes an endpoint right after an upgrade: where relays have to poll for the list, only a successor that
    /// has polled receives that change at once.
    async fn drain_after_upgrade(&self, fault: &ScheduledFault) {
        let endpoint = fault.amount as usize % self.platform.endpoint_count();
        let drain = ScheduledFault { kind: FaultKind::Drain, targets: vec![endpoint], ..fault.clone() };
        self.drain(&drain, Duration::ZERO).await;
    }

    async fn delay_socket_writes(&self, fault: &ScheduledFault, span: Duration) {
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_socket_write_delay(INJECTED_DELAY, SOCKET_WRITE_DELAY_RATE);
        }
        Timer::after(span).await;
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_socket_write_delay(Duration::ZERO, 0);
        }
    }

    async fn exhaust_descriptors(&self, fault: &ScheduledFault, span: Duration) {
        let until = Instant::now() + span;
        let exhaust_at = |relay| smol::spawn(exhaust_descriptors(self.clients.clone(), relay, until));
        let tasks: Vec<_> = fault.targets.iter().map(|relay| exhaust_at(*relay)).collect();
        for task in tasks {
            task.await;
        }
    }

    /// Upgrades relays while calls on their folders fail: as the successor starts, and again around its handover.
    async fn upgrade_with_disk_faults(&self, fault: &ScheduledFault, span: Duration) {
        let relays = self.targeted_relays(fault);
        let plan = UpgradePlan::of(fault);
        let upgrades = self.for_each_relay(fault, move |relay| async move { relay.upgrade(plan).await });
        let faults = async {
            let until_handover = plan.ready_call_delay.saturating_sub(span / 2);
            fail_disk_calls(&relays, fault, span).await;
            Timer::after(until_handover.saturating_sub(span)).await;
            fail_disk_calls(&relays, fault, span).await;
        };
        smol::future::zip(upgrades, faults).await;
    }

    async fn delay_clock_reads(&self, fault: &ScheduledFault, span: Duration) {
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_clock_read_delay(INJECTED_DELAY, CLOCK_READ_DELAY_RATE);
        }
        Timer::after(span).await;
        for relay in self.targeted_relays(fault) {
            let _ = relay.faults.set_clock_read_delay(Duration::ZERO, 0);
        }
    }

    async fn run_bad_clients(&self, fault: &ScheduledFault, span: Duration) {
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

    pub(crate) async fn for_each_relay<F>(&self, fault: &ScheduledFault, act: impl Fn(Arc<RelayProcess>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let tasks: Vec<_> =
            self.targeted_relays(fault).into_iter().map(|relay| smol::spawn(act(relay))).collect();
        for task in tasks {
            task.await;
        }
    }

    async fn inject_disk_faults(&self, fault: &ScheduledFault, span: Duration) {
        let relays = self.targeted_relays(fault);
        for relay in &relays {
            if fault.kind == FaultKind::TornKill {
                relay.begin_self_kill_fault();
            }
            for (call, call_fault) in disk_faults(fault) {
                let _ = relay.faults.set_system_call_fault(call, call_fault);
            }
        }
        if fault.kind == FaultKind::DiskAtStart {
            let restarts = self.for_each_relay(fault, |relay| async move { relay.kill_and_restart().await });
            let clear = async {
                Timer::after(RESTART_DELAY + span).await;
                clear_disk_faults(&relays, fault);
            };
            smol::future::zip(restarts, clear).await;
        } else {
            Timer::after(span).await;
            clear_disk_faults(&relays, fault);
        }
        if fault.kind == FaultKind::TornKill {
            // Processes that killed themselves are restarted meanwhile.
            Timer::after(RESTART_DELAY * 2).await;
            for relay in &relays {
                relay.end_self_kill_fault();
            }
        }
    }

    async fn inject_socket_faults(&self, fault: &ScheduledFault, span: Duration) {
        let call_faults = socket_faults(fault);
        for relay in self.targeted_relays(fault) {
            for (call, call_fault) in &call_faults {
                let _ = relay.faults.set_system_call_fault(*call, *call_fault);
            }
        }
        Timer::after(span).await;
        for relay in self.targeted_relays(fault) {
            for (call, _) in &call_faults {
                let _ = relay.faults.set_system_call_fault(*call, SystemCallFault::default());
            }
        }
    }

    async fn drain(&self, fault: &ScheduledFault, span: Duration) {
        for endpoint in &fault.targets {
            self.record_endpoint_fault(*endpoint, false);
            self.platform.set_status(*endpoint, ListedStatus::Draining);
        }
        Timer::after(span).await;
        for endpoint in &fault.targets {
            self.platform.set_status(*endpoint, ListedStatus::Removed);
        }
        Timer::after(self.removed_for()).await;
        for endpoint in &fault.targets {
            self.platform.set_status(*endpoint, ListedStatus::Ready);
            self.record_endpoint_fault(*endpoint, true);
        }
    }

    /// Returns the time after which a removed endpoint is listed again.
    pub(crate) fn removed_for(&self) -> Duration {
        if self.is_polling { REMOVED_FOR_WHERE_POLLED } else { REMOVED_FOR }
    }

    pub(crate) fn record_endpoint_fault(&self, endpoint: usize, is_over: bool) {
        self.recorder.record(Observation::EndpointFaultChanged { endpoint, is_over });
    }

    async fn change_agents(&self, fault: &ScheduledFault, span: Duration, behaviour: AgentBehaviour) {
        fault.targets.iter().for_each(|relay| self.platform.set_behaviour(*relay, behaviour));
        Timer::after(span).await;
        fault.targets.iter().for_each(|relay| self.platform.set_behaviour(*relay, AgentBehaviour::Normal));
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
            FaultKind::LateCopies => Behaviour::LateCopies,
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

/// Time after which a killed relay is started again.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// Returns a series of signals selected by the bits of a number; at least one of them is SIGTERM.
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

/// Makes calls on the folders of relays fail for a time.
async fn fail_disk_calls(relays: &[Arc<RelayProcess>], fault: &ScheduledFault, span: Duration) {
    for relay in relays {
        for (call, call_fault) in disk_faults(fault) {
            let _ = relay.faults.set_system_call_fault(call, call_fault);
        }
    }
    Timer::after(span).await;
    clear_disk_faults(relays, fault);
}

fn clear_disk_faults(relays: &[Arc<RelayProcess>], fault: &ScheduledFault) {
    for relay in relays {
        for (call, _) in disk_faults(fault) {
            let _ = relay.faults.set_system_call_fault(call, SystemCallFault::default());
        }
    }
}
