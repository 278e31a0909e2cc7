//! The events of a day, on a heap by their times.

use super::Day;
use crate::Time;
use crate::host::Came;
use mountshift::interface::{EndpointStatus, Outcome};
use std::cmp::Reverse;

#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A request is handed in, for the first time or again.
    Submission(u32),
    Reach(u64),
    Finish(u64, u32),
    Answer(u64, Vec<(u64, Outcome, bool)>, Time),
    Limit(u64),
    Thaw(u32),
    StrikeOn(usize),
    StrikeOff(usize),
    Tell(u32, u32, EndpointStatus),
    Whole(u32),
    NoList(u32),
    Noticed(u64),
    Patience(u64),
    Second,
}

pub(super) type Slot = usize;

impl Day<'_> {
    pub(super) fn at(&mut self, at: Time, event: Event) {
        let slot = match self.free.pop() {
            Some(slot) => {
                self.events[slot] = Some(event);
                slot
            }
            None => {
                self.events.push(Some(event));
                self.events.len() - 1
            }
        };
        self.sequence += 1;
        self.heap.push(Reverse((at.max(self.now), self.sequence, slot)));
    }

    pub(super) fn pop(&mut self) {
        let Some(Reverse((at, _, slot))) = self.heap.pop() else { return };
        self.now = at;
        self.free.push(slot);
        let Some(event) = self.events[slot].take() else { return };
        match event {
            Event::Submission(request) => self.hand_in(request),
            Event::Reach(call) => self.reach(call),
            Event::Finish(call, epoch) => self.finish(call, epoch),
            Event::Answer(call, ends, wait) => self.answer(call, ends, wait),
            Event::Limit(call) => self.limit(call),
            Event::Thaw(endpoint) => self.start_queued(endpoint),
            Event::StrikeOn(n) => self.strike(n, true),
            Event::StrikeOff(n) => self.strike(n, false),
            Event::Tell(relay, endpoint, says) => self.tell(relay, endpoint, says),
            Event::Whole(relay) => self.whole(relay),
            Event::NoList(relay) => self.relays[relay as usize].inbox.push(Came::WatchFailed),
            Event::Noticed(msg) => self.noticed(msg),
            Event::Patience(msg) => self.patience(msg),
            Event::Second => self.second(),
        }
    }
}
