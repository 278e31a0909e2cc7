//! The events of a day and the queue that orders them by time.

use super::Day;
use crate::Time;
use crate::host::AttemptEnd;
use crate::host::RelayEvent;
use mountshift::interface::EndpointStatus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Something that happens at a time of its own.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A client submits a request, for the first time or again.
    Submission { request: u32 },
    /// The last byte of a call arrives at its endpoint.
    CallArrives { call: u64 },
    /// An endpoint has worked a call off, unless its connections broke since `epoch`.
    WorkFinished { call: u64, epoch: u32 },
    /// The outcome of a call arrives at its relay; each end is a message, its outcome and whether it is closed.
    CallEnds { call: u64, ends: Vec<AttemptEnd> },
    /// The time limit that a relay set for a call has passed.
    CallTimeout { call: u64 },
    /// An endpoint that stood still goes on.
    EndpointResumes { endpoint: u32 },
    /// A trouble of the script begins.
    FaultBegins { fault: usize },
    /// A trouble of the script ends.
    FaultEnds { fault: usize },
    /// An update of one endpoint arrives at a relay.
    ListUpdate { relay: u32, endpoint: u32, status: EndpointStatus },
    /// A relay's poll for the endpoint list is answered.
    PollAnswered { relay: u32 },
    /// A relay's poll for the endpoint list gets no answer.
    PollFailed { relay: u32 },
    /// The platform acknowledges a notification.
    NotificationAcknowledged { message: u64 },
    /// A client that still waits to hear that its message was accepted gives up.
    ClientTimeout { message: u64 },
    /// Another second of the day begins.
    Second,
}

/// Where an event lies in the queue's storage.
type Slot = usize;

/// Events by time; those of one time leave in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Time, u64, Slot)>>,
    slots: Vec<Option<Event>>,
    free: Vec<Slot>,
    sequence: u64,
}

impl EventQueue {
    /// When the next event is due.
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
    /// Schedules an event, at once if its time has passed.
    pub(super) fn schedule(&mut self, at: Time, event: Event) {
        self.events.push(at.max(self.now), event);
    }

    /// Advances the clock to the next event and handles it.
    pub(super) fn handle_next_event(&mut self) {
        let Some((at, event)) = self.events.pop() else { return };
        self.now = at;
        match event {
            Event::Submission { request } => self.submit(request),
            Event::CallArrives { call } => self.call_arrives(call),
            Event::WorkFinished { call, epoch } => self.work_finished(call, epoch),
            Event::CallEnds { call, ends } => self.call_ends(call, ends),
            Event::CallTimeout { call } => self.call_timeout(call),
            Event::EndpointResumes { endpoint } => self.start_queued_calls(endpoint),
            Event::FaultBegins { fault } => self.change_fault(fault, true),
            Event::FaultEnds { fault } => self.change_fault(fault, false),
            Event::ListUpdate { relay, endpoint, status } => self.list_update(relay, endpoint, status),
            Event::PollAnswered { relay } => self.poll_answered(relay),
            Event::PollFailed { relay } => self.relays[relay as usize].inbox.push(RelayEvent::PollFailed),
            Event::NotificationAcknowledged { message } => self.notification_acknowledged(message),
            Event::ClientTimeout { message } => self.client_timeout(message),
            Event::Second => self.sample_second(),
        }
    }
}
