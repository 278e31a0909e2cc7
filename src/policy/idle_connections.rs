//! Idle connections: when they are closed rather than used again.

use super::{DeliveryPolicy, ms};
use crate::interface::*;
use std::time::Duration;

pub(super) const IDLE: Duration = ms(1_000); // an endpoint not used for so long has idle connections
const STALE_ENDS: f64 = 2.0; // calls on idle connections reset or unanswered, in half a minute, ...
const STALE_SHARE: f64 = 0.15; // ... and their share, from which idle connections are not trusted
const CROWD_TABLE: u32 = 16; // ... and from which their idle connections alone fill an endpoint's table, ...
const ROOM_SHOWN: u32 = 50; // ... unless so many calls in a row found room at endpoints of the kind

impl DeliveryPolicy {
    pub(super) fn look_at_idle(&mut self) {
        self.ended_at.extend(self.endpoints.iter().filter(|(_, e)| e.used_at > Duration::ZERO).map(|e| e.0));
    }

    /// Guards against tables full of kept connections, and ones that died idle. Costs handshakes.
    pub(super) fn leave_idle(&mut self, out: &mut dyn Actions) {
        let (all, bad, _) = self.idle_ends.totals(self.now, 30);
        let stale = bad >= STALE_ENDS && bad >= STALE_SHARE * all;
        for id in std::mem::take(&mut self.ended_at) {
            let ep = &self.endpoints[&id];
            // Known too late if a crowd waits for a refusal: those who keep theirs are the ones not refused.
            let tight = self.found_room.get(&ep.kind).is_none_or(|n| *n < ROOM_SHOWN);
            if ep.used_at > Duration::ZERO && (stale || (self.settings.relay_count > CROWD_TABLE && tight)) {
                self.endpoints.entry(id).and_modify(|ep| ep.used_at = Duration::ZERO);
                out.close_idle_connections(id);
            }
        }
    }
}
