//! A relay as seen from outside: what the endpoint list told it, what it must wait for, and its per-key queues.

use crate::{ListedStatus, Time};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, VecDeque};

/// What the endpoint list last told of an endpoint.
pub(crate) struct Listing {
    pub(crate) status: ListedStatus,
    /// Since when it has been ready, or not ready in one way or another.
    pub(crate) since: Time,
}

/// A Retry-After for a route.
#[derive(Clone, Copy)]
pub(crate) struct RetryAfter {
    pub(crate) received_at: Time,
    pub(crate) until: Time,
}

/// The messages of one key at one relay, oldest first.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) messages: VecDeque<u64>,
    /// Until then only `held_by` may be sent: an attempt of it may still be running.
    pub(crate) hold_off_until: Time,
    pub(crate) held_by: u64,
}

impl KeyQueue {
    /// Lets only this message be sent until then.
    pub(crate) fn hold_off(&mut self, message: u64, until: Time) {
        self.hold_off_until = until;
        self.held_by = message;
    }
}

/// A relay.
#[derive(Default)]
pub(crate) struct Relay {
    pub(crate) down: bool,
    /// When it last started again or goes on after a stall; 0 if it never stopped.
    pub(crate) up_since: Time,
    /// Its messages that are not settled.
    pub(crate) messages: BTreeSet<u64>,
    /// By endpoint.
    pub(crate) listings: FxHashMap<u32, Listing>,
    /// By route.
    pub(crate) retry_after: FxHashMap<u32, RetryAfter>,
    /// By key.
    pub(crate) key_queues: FxHashMap<u64, KeyQueue>,
}

impl Relay {
    /// Notes what the list told of an endpoint. The time of the first word that it is not ready counts.
    pub(crate) fn endpoint_listed(&mut self, endpoint: u32, status: ListedStatus, now: Time) {
        let previous = self.listings.get(&endpoint);
        let not_ready_since =
            previous.filter(|listing| listing.status != ListedStatus::Ready).map(|listing| listing.since);
        let since = not_ready_since.unwrap_or(now);
        self.listings.insert(endpoint, Listing { status, since });
    }

    /// The process ended: what it had learnt is gone.
    pub(crate) fn stopped(&mut self) {
        self.down = true;
        self.listings.clear();
        self.retry_after.clear();
    }
}
