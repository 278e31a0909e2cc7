//! Measures hold-offs of ordering keys independently of the policy: the time from the end of an attempt that may still
//! be running to the first byte of the next message of its key.

use mountshift::interface::{MessageId, OrderingKey};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of hold-offs kept; the one that began first is dropped.
const MAX_HOLD_OFFS: usize = 1_024;

/// The hold-off of a key after an attempt that may still be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyHoldOff {
    pub(super) message: MessageId,
    /// Client-supplied id of the message.
    pub(super) id: Vec<u8>,
    /// Number of the call that ended.
    pub(super) call: u64,
    /// Time at which the relay recorded the end of the attempt.
    pub(super) since: Duration,
}

/// The latest hold-off of each key after which no other message of the key has been sent.
#[derive(Debug, Default)]
pub(super) struct KeyHoldOffs(RefCell<BTreeMap<OrderingKey, KeyHoldOff>>);

impl KeyHoldOffs {
    /// Records that the hold-off of a key begins.
    pub(super) fn begin(&self, key: OrderingKey, hold_off: KeyHoldOff) {
        let mut hold_offs = self.0.borrow_mut();
        hold_offs.insert(key, hold_off);
        if hold_offs.len() > MAX_HOLD_OFFS {
            let first = hold_offs.iter().min_by_key(|(_, hold_off)| hold_off.since).map(|(key, _)| *key);
            first.and_then(|key| hold_offs.remove(&key));
        }
    }

    /// Removes and returns the hold-off of the key, as this message is about to be sent; returns none if there is no
    /// hold-off, or if the message itself caused it.
    pub(super) fn end(&self, key: OrderingKey, message: MessageId) -> Option<KeyHoldOff> {
        let mut hold_offs = self.0.borrow_mut();
        if hold_offs.get(&key)?.message == message {
            return None;
        }
        hold_offs.remove(&key)
    }
}

#[cfg(test)]
#[path = "key_hold_offs_tests.rs"]
mod tests;
