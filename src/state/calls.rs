//! Calls in flight. A call carries one attempt of each of one or more messages.

use super::RouteId;
use crate::interface::{DestinationId, EndpointId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A call's number; never reused.
pub(crate) type CallNumber = u64;

/// A call in flight.
#[derive(Default)]
pub(crate) struct Call {
    pub(crate) route: RouteId,
    pub(crate) endpoint: EndpointId,
    pub(crate) attempts_in_flight: u32,
    pub(crate) sent_at: Duration,
    /// The timeout, after which the call is overdue.
    pub(crate) overdue_after: Duration,
    /// Whether its result has been counted for its route.
    pub(crate) result_counted: bool,
    pub(crate) cancelled: bool,
    /// Whether it carries as many messages as the route allowed.
    pub(crate) filled: bool,
    pub(crate) on_idle_connection: bool,
}

/// The state of a call when one of its attempts ends, or when it is overdue.
pub(crate) struct CallResult {
    pub(crate) number: CallNumber,
    pub(crate) route: RouteId,
    pub(crate) endpoint: EndpointId,
    /// Whether no result of the call was counted before this one.
    pub(crate) is_first_result: bool,
    pub(crate) is_over: bool,
    pub(crate) filled: bool,
    pub(crate) on_idle_connection: bool,
}

impl Call {
    pub(crate) fn is_overdue(&self, now: Duration) -> bool {
        now >= self.sent_at + self.overdue_after
    }

    /// Marks the call's result as counted and returns it.
    fn result(&mut self, number: CallNumber, endpoint: EndpointId) -> CallResult {
        let is_first_result = !self.result_counted;
        self.result_counted = true;
        CallResult {
            number,
            route: self.route,
            endpoint,
            is_first_result,
            is_over: self.attempts_in_flight == 0,
            filled: is_first_result && self.filled,
            on_idle_connection: is_first_result && self.on_idle_connection,
        }
    }
}

/// A call that is being filled with messages.
pub(crate) struct CallDraft {
    pub(crate) number: CallNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) messages_allowed: usize,
    pub(crate) messages: usize,
    /// Total size of the messages.
    bytes: usize,
    overdue_after: Duration,
    shortest_time_left: Duration,
    longest_time_left: Duration,
}

impl CallDraft {
    pub(crate) fn new(number: CallNumber, endpoint: EndpointId, messages_allowed: usize) -> CallDraft {
        CallDraft {
            number,
            endpoint,
            messages_allowed,
            messages: 0,
            bytes: 0,
            overdue_after: Duration::ZERO,
            shortest_time_left: Duration::MAX,
            longest_time_left: Duration::ZERO,
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.messages >= self.messages_allowed
    }

    /// Returns the size of the call with another message of this size.
    pub(crate) fn bytes_with(&self, bytes: usize) -> usize {
        self.bytes + bytes
    }

    /// Returns the shortest time to a deadline in the call, with another message that has `left`.
    pub(crate) fn shortest_time_with(&self, left: Duration) -> Duration {
        self.shortest_time_left.min(left)
    }

    /// Returns the longest time to a deadline in the call, with another message that has `left`.
    pub(crate) fn longest_time_with(&self, left: Duration) -> Duration {
        self.longest_time_left.max(left)
    }

    pub(crate) fn add(&mut self, left: Duration, timeout: Duration, bytes: usize) {
        self.messages += 1;
        self.bytes = self.bytes_with(bytes);
        self.overdue_after = self.overdue_after.max(timeout);
        self.shortest_time_left = self.shortest_time_with(left);
        self.longest_time_left = self.longest_time_with(left);
    }

    pub(crate) fn call(&self, route: RouteId, now: Duration, on_idle_connection: bool) -> Call {
        Call {
            route,
            endpoint: self.endpoint,
            attempts_in_flight: self.messages as u32,
            sent_at: now,
            overdue_after: self.overdue_after,
            filled: self.is_full(),
            on_idle_connection,
            ..Call::default()
        }
    }
}

/// All calls in flight by number, the oldest first.
#[derive(Default)]
pub(crate) struct Calls {
    by_number: BTreeMap<CallNumber, Call>,
}

impl Calls {
    pub(crate) fn len(&self) -> usize {
        self.by_number.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (CallNumber, &Call)> {
        self.by_number.iter().map(|(number, call)| (*number, call))
    }

    pub(crate) fn insert(&mut self, number: CallNumber, call: Call) {
        self.by_number.insert(number, call);
    }

    pub(crate) fn in_flight_to(&self, destination: DestinationId) -> usize {
        self.by_number.values().filter(|call| call.route.destination == destination).count()
    }

    /// Returns whether the result of a call of the route has not been counted yet.
    pub(crate) fn has_pending_result(&self, route: RouteId) -> bool {
        self.by_number.values().any(|call| call.route == route && !call.result_counted)
    }

    /// Counts the results of overdue calls and returns them, the oldest first.
    pub(crate) fn count_overdue(&mut self, now: Duration) -> Vec<CallResult> {
        let overdue =
            self.by_number.iter_mut().filter(|(_, call)| !call.result_counted && call.is_overdue(now));
        overdue.map(|(number, call)| call.result(*number, call.endpoint)).collect()
    }

    /// Records the end of an attempt of the call at `endpoint`; the call is over with its last attempt.
    pub(crate) fn end_attempt(&mut self, number: CallNumber, endpoint: EndpointId) -> Option<CallResult> {
        let call = self.by_number.get_mut(&number)?;
        call.attempts_in_flight -= 1;
        let result = call.result(number, endpoint);
        if result.is_over {
            self.by_number.remove(&number);
        }
        Some(result)
    }

    pub(crate) fn uncancelled(&self) -> usize {
        self.by_number.values().filter(|call| !call.cancelled).count()
    }

    pub(crate) fn mark_cancelled(&mut self, number: CallNumber) {
        if let Some(call) = self.by_number.get_mut(&number) {
            call.cancelled = true;
        }
    }
}
