//! The end of the process.

use super::{Host, STOP_LOOK};
use crate::upstream::Stage;
use async_io::Timer;
use log::info;
use std::time::{Duration, Instant};

/// At the end, for what clients are owed.
const LAST_WORDS: Duration = Duration::from_millis(80);

impl Host {
    /// The last words: what has come by now is taken in, and clients hear of what was taken on for them. Guards
    /// against a delivery that is known to the process and not to the spool, whose message would be sent again, and
    /// against a message in the spool whose client never heard, and hands it in again.
    pub(super) async fn finish(mut self) {
        self.end.close();
        let by = Instant::now() + LAST_WORDS;
        loop {
            // Everything that can go on has its turn meanwhile.
            Timer::after(STOP_LOOK / 4).await;
            let mut inputs = Vec::new();
            while let Ok(event) = self.came.try_recv() {
                self.desk.take(event, &mut inputs);
            }
            self.desk.carry_out();
            self.desk.late.clear();
            if Instant::now() >= by || (self.clients.get() == 0 && inputs.is_empty()) {
                break;
            }
        }
        // What was being written can't become whole any more.
        for out in self.desk.calls.values_mut().filter(|out| out.stage.get() == Stage::Noted) {
            out.task = None;
            out.legs.iter().for_each(|msg| self.desk.spool.borrow_mut().record_not_run(msg.0));
        }
        self.desk.carry_out();
        let kept = self.desk.spool.borrow().messages().len();
        info!("stopped with {} calls out, {kept} messages kept", self.desk.calls.len());
    }
}
