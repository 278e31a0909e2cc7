//! State of a relay as observed from outside: its endpoint list, active Retry-After times and key queues.

use crate::{ListedStatus, Time};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};

/// Latest entry of an endpoint in the list that a relay received.
pub(crate) struct Listing {
    pub(crate) status: ListedStatus,
    /// Start of the current period as ready or as not ready; a change from draining to removed keeps it.
    pub(crate) since: Time,
}

/// Retry-After of a route.
#[derive(Clone, Copy)]
pub(crate) struct RetryAfter {
    pub(crate) received_at: Time,
    pub(crate) until: Time,
}

/// Messages of one key at one relay, oldest first.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) messages: VecDeque<u64>,
    /// End of the hold-off, during which only `hold_off_message` may be sent.
    pub(crate) hold_off_until: Time,
    /// Message with an attempt that may still be running.
    pub(crate) hold_off_message: u64,
}

impl KeyQueue {
    /// Starts a hold-off, during which no other message of the key may be sent.
    pub(crate) fn start_hold_off(&mut self, message: u64, until: Time) {
        self.hold_off_until = until;
        self.hold_off_message = message;
    }
}

/// State of a relay.
#[derive(Default)]
pub(crate) struct Relay {
    pub(crate) down: bool,
    /// Time of the latest restart or end of a stall; 0 if there was none.
    pub(crate) up_since: Time,
    /// Messages that are not settled.
    pub(crate) messages: BTreeSet<u64>,
    /// Listings by endpoint.
    pub(crate) listings: FxHashMap<u32, Listing>,
    /// Times at which endpoints were taken out of service. They outlast the process.
    pub(crate) taken_out_at: FxHashMap<u32, Time>,
    /// Active Retry-After by route.
    pub(crate) retry_after: FxHashMap<u32, RetryAfter>,
    /// Queues by ordering key.
    pub(crate) key_queues: FxHashMap<u64, KeyQueue>,
}

impl Relay {
    /// Records the listed status of an endpoint. Consecutive statuses other than ready keep the time of the first.
    pub(crate) fn record_listing(&mut self, endpoint: u32, status: ListedStatus, now: Time) {
        let previous = self.listings.get(&endpoint);
        let not_ready_since =
            previous.filter(|listing| listing.status != ListedStatus::Ready).map(|listing| listing.since);
        let since = not_ready_since.unwrap_or(now);
        self.listings.insert(endpoint, Listing { status, since });
    }

    /// Records the exit of the process, which loses its endpoint list and Retry-After times.
    pub(crate) fn record_exit(&mut self) {
        self.down = true;
        self.listings.clear();
        self.retry_after.clear();
    }
}
