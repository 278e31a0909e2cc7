//! The events of a day and the queue that orders them by time.

use super::Day;
use crate::Time;
use crate::host::AttemptEnd;
use crate::host::RelayEvent;
use mountshift::interface::EndpointStatus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event that occurs at a scheduled time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A client submits a request, for the first time or again.
    Submission { request: u32 },
    /// The last byte of a call arrives at its endpoint.
    CallArrives { call: u64 },
    /// An endpoint has finished the work on a call, unless its connections broke since `epoch`.
    WorkFinished { call: u64, epoch: u32 },
    /// The outcome of a call arrives at its relay, with one end for each message.
    CallEnds { call: u64, ends: Vec<AttemptEnd> },
    /// The timeout that a relay set for a call has expired.
    CallTimeout { call: u64 },
    /// A frozen endpoint resumes its work.
    EndpointResumes { endpoint: u32 },
    /// A scripted fault begins.
    FaultBegins { fault: usize },
    /// A scripted fault ends.
    FaultEnds { fault: usize },
    /// An update of one entry of the endpoint list arrives at a relay.
    ListUpdate { relay: u32, endpoint: u32, status: EndpointStatus },
    /// The response to a relay's poll for the endpoint list arrives.
    PollAnswered { relay: u32 },
    /// A relay's poll for the endpoint list fails.
    PollFailed { relay: u32 },
    /// The recipient acknowledges a notification.
    NotificationAcknowledged { message: u64 },
    /// A client stops waiting for its message to be accepted.
    ClientTimeout { message: u64 },
    /// The next sample of the timeline is due.
    Sample,
}

/// Position of an event in the queue's storage.
type Slot = usize;

/// A queue of events, ordered by time; events of the same time are taken in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Time, u64, Slot)>>,
    slots: Vec<Option<Event>>,
    free: Vec<Slot>,
    sequence: u64,
}

impl EventQueue {
    /// Returns the time of the next event.
    pub(super) fn next_time(&self) -> Option<Time> {
        self.heap.peek().map(|entry| entry.0.0)
    }

    fn push(&mut self, at: Time, event: Event) {
        let slot = self.store(event);
        self.sequence += 1;
        self.heap.push(Reverse((at, self.sequence, slot)));
    }

    fn store(&mut self, event: Event) -> Slot {
        if let Some(slot) = self.free.pop() {
            self.slots[slot] = Some(event);
            return slot;
        }
        self.slots.push(Some(event));
        self.slots.len() - 1
    }

    fn pop(&mut self) -> Option<(Time, Event)> {
        let Reverse((at, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        self.slots[slot].take().map(|event| (at, event))
    }
}

impl Day<'_> {
    /// Schedules an event; a time in the past counts as now.
    pub(super) fn schedule(&mut self, at: Time, event: Event) {
        self.events.push(at.max(self.now), event);
    }

    /// Advances the clock to the next event and handles it.
    pub(super) fn handle_next_event(&mut self) {
        let Some((at, event)) = self.events.pop() else { return };
        self.now = at;
        match event {
            Event::Submission { request } => self.submit(request),
            Event::CallArrives { call } => self.handle_call_arrival(call),
            Event::WorkFinished { call, epoch } => self.finish_work(call, epoch),
            Event::CallEnds { call, ends } => self.handle_call_end(call, ends),
            Event::CallTimeout { call } => self.handle_call_timeout(call),
            Event::EndpointResumes { endpoint } => self.start_queued_calls(endpoint),
            Event::FaultBegins { fault } => self.update_fault(fault, true),
            Event::FaultEnds { fault } => self.update_fault(fault, false),
            Event::ListUpdate { relay, endpoint, status } => self.apply_list_update(relay, endpoint, status),
            Event::PollAnswered { relay } => self.handle_poll_answer(relay),
            Event::PollFailed { relay } => self.relays[relay as usize].inbox.push(RelayEvent::PollFailed),
            Event::NotificationAcknowledged { message } => self.acknowledge_notification(message),
            Event::ClientTimeout { message } => self.handle_client_timeout(message),
            Event::Sample => self.record_sample(),
        }
    }
}
