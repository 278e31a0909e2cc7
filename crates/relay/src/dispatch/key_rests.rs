//! Measures the order of keys apart from the decisions: the span from the end of an attempt that may still be running to
//! the first byte of the next message of its key.

use mountshift::interface::{MessageId, OrderingKey};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Rests remembered at most; the one that began first goes.
const MAX_RESTS: usize = 1_024;

/// The end of an attempt that may still be running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KeyRest {
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
pub(super) struct KeyRests(RefCell<BTreeMap<OrderingKey, KeyRest>>);

impl KeyRests {
    /// Notes that a key rests from now on.
    pub(super) fn begin(&self, key: OrderingKey, rest: KeyRest) {
        let mut rests = self.0.borrow_mut();
        rests.insert(key, rest);
        if rests.len() > MAX_RESTS {
            let first = rests.iter().min_by_key(|(_, rest)| rest.since).map(|(key, _)| *key);
            first.and_then(|key| rests.remove(&key));
        }
    }

    /// The rest that ends with the first byte of this message; none if there is none, or it is the message's own.
    pub(super) fn end(&self, key: OrderingKey, message: MessageId) -> Option<KeyRest> {
        let mut rests = self.0.borrow_mut();
        if rests.get(&key)?.message == message {
            return None;
        }
        rests.remove(&key)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rest(message: u64, since: u64) -> KeyRest {
        let since = Duration::from_millis(since);
        KeyRest { message: MessageId(message), id: b"m".to_vec(), call: 1, since }
    }

    #[test]
    fn a_rest_ends_with_the_next_message_of_its_key() {
        let rests = KeyRests::default();
        rests.begin(OrderingKey(5), rest(1, 10));
        assert_eq!(rests.end(OrderingKey(6), MessageId(2)), None, "another key");
        assert_eq!(rests.end(OrderingKey(5), MessageId(1)), None, "a repeat");
        assert_eq!(rests.end(OrderingKey(5), MessageId(2)), Some(rest(1, 10)));
        assert_eq!(rests.end(OrderingKey(5), MessageId(3)), None);
    }

    #[test]
    fn rests_are_bounded() {
        let rests = KeyRests::default();
        for number in 0..=MAX_RESTS as u64 {
            rests.begin(OrderingKey(number), rest(1, number));
        }
        assert_eq!(rests.end(OrderingKey(0), MessageId(2)), None, "the first one is gone");
        assert!(rests.end(OrderingKey(1), MessageId(2)).is_some());
    }
}
