//! Operators' commands: endpoints are taken out of service at relays and put back, while the endpoint list changes.
//!
//! Outside upgrades a command is made while the process of a relay runs. During an upgrade the active process gets the
//! commands until the successor has reported that it serves, and the successor from then on. The maintenance itself lasts
//! over restarts and upgrades.

use crate::admin::post;
use crate::injection::FaultTargets;
use crate::recorder::lock;
use crate::relay_process::{READY_INTERVAL, RelayProcess};
use crate::schedule::ScheduledFault;
use crate::upgrade::{UpgradePlan, UpgradeUnderWay};
use mountshift_invariants::{Fact, ListedStatus};
use rustix::process::Pid;
use smol::Timer;
use smol::lock::MutexGuard;
use std::net::SocketAddr;
use std::process::Child;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between a change of the list and the operators' next commands, in which relays receive the list.
const LIST_TO_COMMAND: Duration = Duration::from_millis(300);
/// Minimum time for which an endpoint stays off the list. Messages after the drain grace show whether relays respect that.
const REMOVED_FOR_MIN: Duration = Duration::from_millis(3_000);
/// Time from the start of a successor to the first command of an upgrade.
const UPGRADE_TO_COMMAND: Duration = Duration::from_millis(300);
/// Maximum time for which an operator waits for the start of a successor, or for its report that it serves.
const MAX_SUCCESSOR_WAIT: Duration = Duration::from_millis(15_000);
/// Number of tries of a command that gets no positive answer.
const COMMAND_TRIES: usize = 5;
/// Pause between two tries of a command.
const BETWEEN_TRIES: Duration = Duration::from_millis(200);

/// Change of the list around the maintenance of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListChange {
    /// The endpoint stays on the list.
    None,
    /// It leaves the list in maintenance, and is listed again after it was put back.
    LeavesInMaintenance,
    /// It leaves the list before it is taken out, and is listed again after it was put back.
    LeavesBefore,
    /// It leaves the list in maintenance, and is listed again before it is put back.
    ReturnsInMaintenance,
}

impl ListChange {
    const ALL: [ListChange; 4] = [
        ListChange::None,
        ListChange::LeavesInMaintenance,
        ListChange::LeavesBefore,
        ListChange::ReturnsInMaintenance,
    ];
}

/// The maintenance of an endpoint, as a fault's drawn number selects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MaintenancePlan {
    pub(crate) endpoint: usize,
    pub(crate) list_change: ListChange,
    /// Whether the endpoint is taken out and put back once more.
    pub(crate) is_repeated: bool,
}

impl MaintenancePlan {
    pub(crate) fn of(fault: &ScheduledFault, endpoint_count: usize) -> MaintenancePlan {
        let drawn = fault.amount as usize;
        let (endpoint, drawn) = (drawn % endpoint_count, drawn / endpoint_count);
        let (list_change, drawn) =
            (ListChange::ALL[drawn % ListChange::ALL.len()], drawn / ListChange::ALL.len());
        MaintenancePlan { endpoint, list_change, is_repeated: !drawn.is_multiple_of(2) }
    }
}

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Command {
    TakeOut,
    PutBack,
}

impl FaultTargets {
    /// Takes an endpoint out of service at relays for a time.
    pub(crate) async fn maintain_endpoint(&self, fault: &ScheduledFault, span: Duration) {
        let plan = MaintenancePlan::of(fault, self.platform.endpoint_count());
        self.record_endpoint_fault(plan.endpoint, false);
        if plan.list_change == ListChange::LeavesBefore {
            self.change_list(plan.endpoint, ListedStatus::Removed).await;
        }
        self.command_all(fault, plan.endpoint, Command::TakeOut).await;
        Timer::after(span).await;
        let leaves =
            matches!(plan.list_change, ListChange::LeavesInMaintenance | ListChange::ReturnsInMaintenance);
        if leaves {
            self.change_list(plan.endpoint, ListedStatus::Removed).await;
        }
        if plan.list_change == ListChange::ReturnsInMaintenance {
            Timer::after(self.removed_for().max(REMOVED_FOR_MIN)).await;
            self.change_list(plan.endpoint, ListedStatus::Ready).await;
        }
        self.command_all(fault, plan.endpoint, Command::PutBack).await;
        if plan.is_repeated {
            self.command_all(fault, plan.endpoint, Command::TakeOut).await;
            self.command_all(fault, plan.endpoint, Command::PutBack).await;
        }
        if matches!(plan.list_change, ListChange::LeavesInMaintenance | ListChange::LeavesBefore) {
            Timer::after(self.removed_for().max(REMOVED_FOR_MIN)).await;
            self.change_list(plan.endpoint, ListedStatus::Ready).await;
        }
        self.record_endpoint_fault(plan.endpoint, true);
    }

    /// Upgrades relays while operators take one endpoint out of service at the active process and the next one at the
    /// successor, and puts both back later.
    pub(crate) async fn upgrade_with_commands(&self, fault: &ScheduledFault, span: Duration) {
        let plan = UpgradePlan::of(fault);
        let count = self.platform.endpoint_count();
        let endpoints = [0, 1].map(|offset| (fault.amount as usize + offset) % count);
        for endpoint in endpoints {
            self.record_endpoint_fault(endpoint, false);
        }
        let names = endpoints.map(|endpoint| Arc::<str>::from(self.platform.endpoint_name(endpoint)));
        self.for_each_relay(fault, move |relay| {
            let names = names.clone();
            async move { relay.upgrade_with_commands(plan, endpoints, &names).await }
        })
        .await;
        Timer::after(span).await;
        for endpoint in endpoints {
            self.command_all(fault, endpoint, Command::PutBack).await;
            self.record_endpoint_fault(endpoint, true);
        }
    }

    async fn change_list(&self, endpoint: usize, status: ListedStatus) {
        self.platform.set_status(endpoint, status);
        Timer::after(LIST_TO_COMMAND).await;
    }

    /// Makes a command at all targeted relays.
    async fn command_all(&self, fault: &ScheduledFault, endpoint: usize, command: Command) {
        let name: Arc<str> = self.platform.endpoint_name(endpoint).into();
        self.for_each_relay(fault, move |relay| {
            let name = name.clone();
            async move { relay.command(endpoint, &name, command).await }
        })
        .await;
    }
}

/// The process that gets a command.
struct CommandTarget<'a> {
    address: SocketAddr,
    /// Outside upgrades, keeps the process from being ended before the answer.
    _process: Option<MutexGuard<'a, Option<Child>>>,
}

impl RelayProcess {
    /// Upgrades the relay; takes the first endpoint out of service before the successor has reported that it serves, and
    /// the second one right afterwards.
    async fn upgrade_with_commands(&self, plan: UpgradePlan, endpoints: [usize; 2], names: &[Arc<str>; 2]) {
        let commands = async {
            self.wait_for_upgrade(|upgrade| upgrade.is_some()).await;
            Timer::after(UPGRADE_TO_COMMAND).await;
            self.command(endpoints[0], &names[0], Command::TakeOut).await;
            self.wait_for_upgrade(|upgrade| upgrade.is_none_or(UpgradeUnderWay::is_successor_ready)).await;
            self.command(endpoints[1], &names[1], Command::TakeOut).await;
        };
        smol::future::zip(self.upgrade(plan), commands).await;
    }

    async fn wait_for_upgrade(&self, condition: impl Fn(Option<&UpgradeUnderWay>) -> bool) {
        let due = Instant::now() + MAX_SUCCESSOR_WAIT;
        while Instant::now() < due && !condition(lock(&self.upgrade).as_ref()) {
            Timer::after(READY_INTERVAL).await;
        }
    }

    /// Makes an operator's command at the relay, once no restart is under way.
    async fn command(&self, endpoint: usize, name: &str, command: Command) {
        // The order of the facts is that of the commands.
        let _turn = self.command_turn.lock().await;
        let (relay, endpoint) = (self.number as u32, endpoint as u32);
        let path = match command {
            Command::TakeOut => "enter",
            Command::PutBack => "exit",
        };
        // The relay may send to the endpoint again as soon as it has read the command.
        if command == Command::PutBack {
            self.recorder.record_fact(Fact::EndpointPutBack { relay, endpoint });
        }
        for _ in 0..COMMAND_TRIES {
            let Some(target) = self.command_target().await else { return };
            if post(target.address, &format!("/maintenance/{path}?target={name}")).await {
                if command == Command::TakeOut {
                    self.recorder.record_fact(Fact::EndpointTakenOut { relay, endpoint });
                }
                return;
            }
            drop(target);
            Timer::after(BETWEEN_TRIES).await;
        }
    }

    /// Returns the process that gets the next command; `None` if there is no process.
    async fn command_target(&self) -> Option<CommandTarget<'_>> {
        loop {
            let upgrade = *lock(&self.upgrade);
            if let Some(id) = upgrade.and_then(|upgrade| upgrade.command_target()) {
                return Some(CommandTarget { address: self.admin_address_of(id)?, _process: None });
            }
            if let Some(process) = self.child.try_lock() {
                let address = self.admin_address_of(Pid::from_child(process.as_ref()?))?;
                return Some(CommandTarget { address, _process: Some(process) });
            }
            Timer::after(READY_INTERVAL).await;
        }
    }
}

#[cfg(test)]
#[path = "maintenance_tests.rs"]
mod tests;
