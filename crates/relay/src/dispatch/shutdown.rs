//! The end of the process.

use super::{Dispatcher, STOP_CHECK_INTERVAL};
use crate::endpoints::Stage;
use async_io::Timer;
use log::info;
use std::time::{Duration, Instant};

/// At the end, for what clients are owed.
const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(80);

impl Dispatcher {
    /// The last words: what has come by now is taken in, and clients hear of what was taken on for them. Guards
    /// against a delivery that is known to the process and not to the spool, whose message would be sent again, and
    /// against a message in the spool whose client never heard, and hands it in again.
    pub(super) async fn finish(mut self) {
        self.clients_end.close();
        let by = Instant::now() + FINAL_ANSWERS_TIME;
        loop {
            // Everything that can go on has its turn meanwhile.
            Timer::after(STOP_CHECK_INTERVAL / 4).await;
            let mut inputs = Vec::new();
            while let Ok(event) = self.events.try_recv() {
                self.state.handle(event, &mut inputs);
            }
            self.state.execute_step();
            self.state.reachability_questions.clear();
            if Instant::now() >= by || (self.client_connections.get() == 0 && inputs.is_empty()) {
                break;
            }
        }
        // What was being written can't become whole any more.
        for out in self.state.calls_in_flight.values_mut().filter(|out| out.stage.get() == Stage::Noted) {
            out.task = None;
            out.messages.iter().for_each(|message| self.state.spool.borrow_mut().record_not_run(message.0));
        }
        self.state.execute_step();
        let kept = self.state.spool.borrow().messages().len();
        info!("stopped with {} calls out, {kept} messages kept", self.state.calls_in_flight.len());
    }
}
