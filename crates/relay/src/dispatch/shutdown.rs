//! The end of the process: when it comes, and what is done last.

use super::Dispatcher;
use super::state::DispatcherState;
use crate::shutdown_rounds::ShutdownRounds;
use crate::upstream::CallStage;
use async_io::Timer;
use log::{error, info};
use mountshift_handover::StopPlan;
use std::time::{Duration, Instant};

/// Between two looks at whether everything has ended, while stopping.
pub(super) const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// At the end: the time for writes that failed to be done after all. SIGKILL comes 0.2 s after the end at the earliest.
const LAST_WRITES_TIME: Duration = Duration::from_millis(60);
/// Between two tries within that time.
const LAST_WRITES_INTERVAL: Duration = Duration::from_millis(5);

/// The process was told to stop.
#[derive(Clone, Copy)]
pub(super) struct Stopping {
    pub(super) since: Instant,
    pub(super) plan: StopPlan,
}

impl Stopping {
    /// How far the stop has come.
    pub(super) fn progress(self) -> StopProgress {
        StopProgress { elapsed: self.since.elapsed(), plan: self.plan }
    }
}

/// How far a stop has come.
#[derive(Clone, Copy)]
pub(super) struct StopProgress {
    elapsed: Duration,
    plan: StopPlan,
}

impl StopProgress {
    /// True while the decisions go on. In a handover they do to the end, sending nothing: final answers that fall due
    /// are still given.
    pub(super) fn decides(self) -> bool {
        self.elapsed < self.plan.send_duration || self.plan.is_handover
    }

    /// True once messages may be left in the spool for the next process.
    fn may_leave_messages(self) -> bool {
        self.plan.is_handover || self.elapsed >= self.plan.send_duration
    }
}

impl Dispatcher {
    /// True once the process can end, or has to.
    pub(super) fn is_done(&self, stop: StopProgress) -> bool {
        if stop.elapsed >= stop.plan.exit_timeout {
            return true;
        }
        let clients_gone = self.clients_leave.is_closed() && self.client_connections.get() == 0;
        let nothing_in_flight = self.state.calls_in_flight.is_empty();
        clients_gone && nothing_in_flight && (stop.may_leave_messages() || !self.state.holds_messages())
    }

    /// Takes in what has come by now, and lets clients hear which messages were accepted. Without that a delivery
    /// that the spool does not know would be sent again, and so would a message in the spool whose client never heard
    /// and submits it again.
    pub(super) async fn finish(mut self) {
        self.clients_end.close();
        let mut rounds = ShutdownRounds::start();
        loop {
            rounds.wait_for_next().await;
            let mut inputs = Vec::new();
            while let Ok(event) = self.events.try_recv() {
                self.state.handle(event, &mut inputs);
            }
            self.state.execute_without_deciding();
            if rounds.is_complete(self.client_connections.get() == 0 && inputs.is_empty()) {
                break;
            }
        }
        self.state.abandon_unwritten_calls();
        self.state.execute_step();
        self.write_what_is_left().await;
        let calls = self.state.calls_in_flight.len();
        let stored = self.state.spool.borrow().messages().len();
        let violations = self.state.violations.total();
        info!("stopped with {calls} calls out, {stored} messages kept, {violations} violations");
    }
}

impl Dispatcher {
    /// The last chance: what can't be written now, the next process does not know.
    async fn write_what_is_left(&mut self) {
        let end = Instant::now() + LAST_WRITES_TIME;
        while self.state.has_unwritten() && Instant::now() < end {
            Timer::after(LAST_WRITES_INTERVAL).await;
            self.state.now = self.state.clock.now();
            self.state.retry_writes();
        }
        if self.state.has_unwritten() {
            error!("state folder: not all could be written before the end");
        }
    }
}

impl DispatcherState {
    /// Carries out a step in which nothing is decided: outcomes are recorded, messages wait in the spool for the next
    /// process. Late calls hear nothing, and are not sent.
    pub(super) fn execute_without_deciding(&mut self) {
        self.execute_step();
        self.reachability_questions.clear();
    }

    /// Calls whose last byte is not written can't run any more.
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
