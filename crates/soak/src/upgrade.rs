//! Upgrades of a relay: a successor starts beside the active process, which is stopped once the successor has reported
//! that it serves. Both processes together are one relay and obey the same rules.

use crate::admin::reports_ready;
use crate::os_process::{is_running, wait_for_exit};
use crate::recorder::{Observation, lock};
use crate::relay_process::{KILL_AFTER, READY_INTERVAL, RelayProcess};
use crate::schedule::ScheduledFault;
use mountshift_invariants::{Fact, Time};
use rustix::process::{Pid, Signal, kill_process};
use smol::Timer;
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

/// Time from its start within which a successor must report that it serves.
const SUCCESSOR_READY_WITHIN: Duration = Duration::from_millis(6_000);
/// Exclusive upper bound of the time from the start of a successor to the platform's first call to it.
const MAX_READY_CALL_DELAY_MS: i64 = 6_000;
/// Number of ends of an upgrade that a drawn number selects from.
const UPGRADE_ENDS: i64 = 8;
/// Exclusive upper bound of the drawn number of an upgrade, which selects its end and its delay.
pub(crate) const MAX_UPGRADE_AMOUNT: i64 = UPGRADE_ENDS * MAX_READY_CALL_DELAY_MS;
/// Number of selections of the processes that get a SIGHUP.
const RELOAD_TARGETS: u64 = 3;
/// Time from the start of a process to the first signal that the platform may send to it.
const FIRST_SIGNAL_AFTER: Duration = Duration::from_millis(1_000);
/// Time after a kill, in microseconds, during which requests may go unanswered because of the previous process's end.
const KILL_AFTEREFFECT: Time = 100_000;

/// End of an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpgradeEnd {
    /// The active process is stopped by SIGTERM and the successor takes over.
    TakenOver,
    /// The active process is killed and the successor takes over.
    ActiveKilled,
    /// The upgrade is aborted: the successor is killed.
    SuccessorKilled,
    /// The upgrade is aborted: the successor is stopped by SIGTERM.
    SuccessorStopped,
}

/// An upgrade of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpgradePlan {
    pub(crate) end: UpgradeEnd,
    /// Time from the start of the successor to the platform's first call to it.
    pub(crate) ready_call_delay: Duration,
}

impl UpgradePlan {
    /// Returns the upgrade that the fault's drawn number selects: in a quarter of them the active process is killed, and
    /// a quarter is aborted.
    pub(crate) fn of(fault: &ScheduledFault) -> UpgradePlan {
        let end = match fault.amount % UPGRADE_ENDS {
            0 | 4 => UpgradeEnd::ActiveKilled,
            1 => UpgradeEnd::SuccessorKilled,
            5 => UpgradeEnd::SuccessorStopped,
            _ => UpgradeEnd::TakenOver,
        };
        let delay_ms = fault.amount / UPGRADE_ENDS % MAX_READY_CALL_DELAY_MS;
        UpgradePlan { end, ready_call_delay: Duration::from_millis(delay_ms as u64) }
    }
}

/// The processes of an upgrade that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpgradeUnderWay {
    active: Option<Pid>,
    successor: Pid,
    successor_started: Instant,
    /// Whether the successor has reported that it serves.
    is_successor_ready: bool,
}

impl UpgradeUnderWay {
    /// Returns whether the successor has reported that it serves.
    pub(crate) fn is_successor_ready(&self) -> bool {
        self.is_successor_ready
    }

    /// Returns the process that gets an operator's command: the active one until the successor has reported that it
    /// serves.
    pub(crate) fn command_target(&self) -> Option<Pid> {
        if self.is_successor_ready { Some(self.successor) } else { self.active }
    }

    /// Returns the processes that get the SIGHUP of a new configuration, as a drawn number selects: the active process,
    /// the successor or both. A successor gets none before it is ready, nor in its first second.
    pub(crate) fn reload_targets(&self, drawn: u64) -> Vec<Pid> {
        let may_signal_successor =
            self.is_successor_ready && self.successor_started.elapsed() >= FIRST_SIGNAL_AFTER;
        let active = self.active.filter(|active| is_running(*active));
        let successor = Some(self.successor).filter(|_| may_signal_successor);
        match (active, successor, drawn % RELOAD_TARGETS) {
            (None, _, _) => vec![self.successor],
            (Some(_), Some(successor), 0) => vec![successor],
            (Some(active), Some(successor), 1) => vec![active, successor],
            (Some(active), _, _) => vec![active],
        }
    }
}

/// Result of waiting for a successor.
enum SuccessorStart {
    /// It has reported that it serves.
    Ready,
    /// It has exited, or was killed as it was not ready in time, so that there is no upgrade.
    SuccessorExited,
    /// The active process has exited by itself, so that the successor takes over.
    ActiveExited,
}

impl RelayProcess {
    /// Starts a successor while the process is active, and ends the upgrade as planned. No answer may be late unless one
    /// of the processes is killed.
    pub(crate) async fn upgrade(&self, plan: UpgradePlan) {
        let mut slot = self.child.lock().await;
        let (mut successor, admin_address) = match self.spawn() {
            Ok(started) => started,
            Err(e) => return self.record_process_event(format!("could not start a successor: {e}")),
        };
        *lock(&self.upgrade) = Some(UpgradeUnderWay {
            active: slot.as_ref().map(Pid::from_child),
            successor: Pid::from_child(&successor),
            successor_started: Instant::now(),
            is_successor_ready: false,
        });
        let start = self
            .wait_for_successor(slot.as_mut(), &mut successor, admin_address, plan.ready_call_delay)
            .await;
        match start {
            SuccessorStart::Ready => self.end_upgrade(&mut slot, successor, plan.end).await,
            SuccessorStart::SuccessorExited => {}
            SuccessorStart::ActiveExited => self.replace_exited(&mut slot, successor),
        }
        *lock(&self.upgrade) = None;
    }

    /// Waits until the successor reports that it serves; it is called from `delay` after its start on.
    async fn wait_for_successor(
        &self,
        mut active: Option<&mut Child>,
        successor: &mut Child,
        admin_address: SocketAddr,
        delay: Duration,
    ) -> SuccessorStart {
        let started = Instant::now();
        loop {
            if let Ok(Some(status)) = successor.try_wait() {
                if !self.may_kill_itself() {
                    self.record_process_event(format!("its successor exited during startup: {status}"));
                }
                return SuccessorStart::SuccessorExited;
            }
            let active_status = active.as_mut().and_then(|active| active.try_wait().ok().flatten());
            if let Some(status) = active_status {
                if !self.may_kill_itself() {
                    self.record_process_event(format!("exited beside its successor: {status}"));
                }
                return SuccessorStart::ActiveExited;
            }
            if started.elapsed() >= delay && reports_ready(admin_address).await {
                if let Some(upgrade) = lock(&self.upgrade).as_mut() {
                    upgrade.is_successor_ready = true;
                }
                return SuccessorStart::Ready;
            }
            if started.elapsed() > SUCCESSOR_READY_WITHIN.max(delay) {
                self.record_process_event(format!(
                    "its successor was not ready within {SUCCESSOR_READY_WITHIN:?}"
                ));
                let _ = successor.kill();
                let _ = successor.wait();
                return SuccessorStart::SuccessorExited;
            }
            Timer::after(READY_INTERVAL).await;
        }
    }

    async fn end_upgrade(&self, slot: &mut Option<Child>, mut successor: Child, end: UpgradeEnd) {
        match end {
            UpgradeEnd::TakenOver => {
                self.recorder.record(Observation::SuccessorReported { relay: self.number });
                if let Some(active) = slot.as_mut() {
                    let _ = kill_process(Pid::from_child(active), Signal::TERM);
                    let status = wait_for_exit(active, KILL_AFTER).await;
                    self.check_exit_status(status, None);
                }
                *slot = Some(successor);
            }
            UpgradeEnd::ActiveKilled => {
                self.tolerate_missing_answers_until(Time::MAX);
                if let Some(active) = slot.as_mut() {
                    let _ = active.kill();
                    let _ = active.wait();
                }
                self.replace_exited(slot, successor);
            }
            UpgradeEnd::SuccessorKilled => {
                self.tolerate_missing_answers_until(Time::MAX);
                let _ = successor.kill();
                let _ = successor.wait();
                self.record_change_of_owner();
                self.tolerate_missing_answers_until(self.recorder.now() + KILL_AFTEREFFECT);
            }
            UpgradeEnd::SuccessorStopped => {
                let _ = kill_process(Pid::from_child(&successor), Signal::TERM);
                let status = wait_for_exit(&mut successor, KILL_AFTER).await;
                self.check_exit_status(status, None);
                self.record_change_of_owner();
            }
        }
    }

    /// Records that the successor replaces an active process that has exited without a handover.
    fn replace_exited(&self, slot: &mut Option<Child>, successor: Child) {
        *slot = Some(successor);
        self.record_change_of_owner();
        self.tolerate_missing_answers_until(self.recorder.now() + KILL_AFTEREFFECT);
    }

    /// Records that the remaining process first has to find the messages that the other one had accepted.
    fn record_change_of_owner(&self) {
        self.recorder
            .record_fact(Fact::RelayStalled { relay: self.number as u32, until: self.recorder.now() });
    }
}
