//! Shutdown of the dispatcher: the conditions for the exit of the process, and the final steps before it.

use super::Dispatcher;
use super::state::DispatcherState;
use crate::shutdown_rounds::ShutdownRounds;
use crate::upstream::CallStage;
use async_io::Timer;
use log::{error, info};
use mountshift_handover::StopPlan;
use std::time::{Duration, Instant};

/// Interval between checks while the process is stopping or has failed writes to retry.
pub(super) const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time for retries of failed writes before the exit. SIGKILL comes at the earliest 0.2 s after the exit timeout.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval between two retries of failed writes before the exit.
const FINAL_WRITE_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A stop that was requested.
#[derive(Clone, Copy)]
pub(super) struct Stopping {
    pub(super) since: Instant,
    pub(super) plan: StopPlan,
}

impl Stopping {
    /// Returns the current progress of the stop.
    pub(super) fn progress(self) -> StopProgress {
        StopProgress { elapsed: self.since.elapsed(), plan: self.plan }
    }
}

/// Progress of a stop.
#[derive(Clone, Copy)]
pub(super) struct StopProgress {
    elapsed: Duration,
    plan: StopPlan,
}

impl StopProgress {
    /// Returns whether the policy still runs. In a handover it runs until the exit, without sending attempts, so that
    /// final answers that become due are still given.
    pub(super) fn should_run_policy(self) -> bool {
        self.elapsed < self.plan.send_duration || self.plan.is_handover
    }

    /// Returns whether messages may be left in the spool for the next process.
    fn may_leave_messages(self) -> bool {
        self.plan.is_handover || self.elapsed >= self.plan.send_duration
    }
}

impl Dispatcher {
    /// Returns whether the process can or must exit.
    pub(super) fn is_done(&self, stop: StopProgress) -> bool {
        if stop.elapsed >= stop.plan.exit_timeout {
            return true;
        }
        let clients_gone = self.clients_stopping.is_closed() && self.client_connections.get() == 0;
        let nothing_in_flight = self.state.calls_in_flight.is_empty();
        clients_gone && nothing_in_flight && (stop.may_leave_messages() || !self.state.has_open_messages())
    }

    /// Handles the remaining events and sends clients the replies for accepted messages. Without that, the next process
    /// would send a message again whose delivery is not recorded in the spool; and a message in the spool would be sent
    /// twice if its client got no reply and submits it again.
    pub(super) async fn finish(mut self) {
        self.clients_ending.close();
        let mut rounds = ShutdownRounds::start();
        loop {
            rounds.wait_for_next().await;
            let mut inputs = Vec::new();
            while let Ok(event) = self.events.try_recv() {
                self.state.handle(event, &mut inputs);
            }
            self.state.execute_without_policy();
            if rounds.is_complete(self.client_connections.get() == 0 && inputs.is_empty()) {
                break;
            }
        }
        self.state.abandon_unwritten_calls();
        self.state.execute_step();
        self.flush_unwritten().await;
        let calls = self.state.calls_in_flight.len();
        let stored = self.state.spool.borrow().messages().len();
        let violations = self.state.violations.total();
        info!("stopped with {calls} calls in flight, {stored} messages kept, {violations} violations");
    }
}

impl Dispatcher {
    /// Retries failed writes a last time: the next process won't have what can't be written now.
    async fn flush_unwritten(&mut self) {
        let end = Instant::now() + FINAL_WRITE_TIMEOUT;
        while self.state.has_unwritten() && Instant::now() < end {
            Timer::after(FINAL_WRITE_RETRY_INTERVAL).await;
            self.state.now = self.state.clock.now();
            self.state.retry_writes();
        }
        if self.state.has_unwritten() {
            error!(
                "state folder: writes still failed at the exit; the next process lacks what was not written"
            );
        }
    }
}

impl DispatcherState {
    /// Executes a step without running the policy: records outcomes, and leaves messages in the spool for the next
    /// process. Delayed calls get no send permission and are not sent.
    pub(super) fn execute_without_policy(&mut self) {
        self.execute_step();
        self.send_permission_requests.clear();
    }

    /// Drops the calls that are recorded but not written to their last byte, and records that they were not processed:
    /// the endpoint can't run an incomplete call.
    fn abandon_unwritten_calls(&mut self) {
        for call in self.calls_in_flight.values_mut() {
            if call.stage.get() != CallStage::Recorded {
                continue;
            }
            call.task = None;
            for message in &call.messages {
                self.spool.borrow_mut().record_not_processed(message.0);
            }
        }
    }
}
