//! Measures the order of keys apart from the decisions: the span from the end of an attempt that may still be running to
//! the first byte of the next message of its key.

use mountshift::interface::{MessageId, OrderingKey};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rests remembered at most; the one that began first goes.
const MAX_HOLD_OFFS: usize = 1_024;

/// The end of an attempt that may still be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyHoldOff {
    pub(super) message: MessageId,
    /// The client's id of the message.
    pub(super) id: Vec<u8>,
    /// The number of the call that ended.
    pub(super) call: u64,
    /// When the relay knew that it had ended.
    pub(super) since: Duration,
}

/// The latest rest of each key behind which no other message has gone out.
#[derive(Debug, Default)]
pub(super) struct KeyHoldOffs(RefCell<BTreeMap<OrderingKey, KeyHoldOff>>);

impl KeyHoldOffs {
    /// Notes that a key rests from now on.
    pub(super) fn begin(&self, key: OrderingKey, rest: KeyHoldOff) {
        let mut rests = self.0.borrow_mut();
        rests.insert(key, rest);
        if rests.len() > MAX_HOLD_OFFS {
            let first = rests.iter().min_by_key(|(_, rest)| rest.since).map(|(key, _)| *key);
            first.and_then(|key| rests.remove(&key));
        }
    }

    /// The rest that ends with the first byte of this message; none if there is none, or it is the message's own.
    pub(super) fn end(&self, key: OrderingKey, message: MessageId) -> Option<KeyHoldOff> {
        let mut rests = self.0.borrow_mut();
        if rests.get(&key)?.message == message {
            return None;
        }
        rests.remove(&key)
    }
}

#[cfg(test)]
#[path = "key_hold_offs_tests.rs"]
mod tests;
