//! Ids of messages that ended lately. Every message has a new id, so who hands one in again under such an id repeats the
//! message, which must not be sent a second time, or has not chosen the id alone.

use crate::clients::MessageContent;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Ids that are remembered: enough for a client that submits again late, and bounded.
const MAX_IDS: usize = 4_096;

/// What is known of an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdUse {
    Unused,
    /// By this very message.
    SameMessage,
    /// By another message.
    OtherMessage,
}

/// An id and what was handed in under it, by their hashes.
struct EndedId {
    id: u64,
    content: u64,
}

/// The ids of messages that ended lately.
#[derive(Default)]
pub(super) struct EndedIds(VecDeque<EndedId>);

impl EndedIds {
    pub(super) fn insert(&mut self, id: &[u8], content: &MessageContent<'_>) {
        self.0.push_back(EndedId { id: hash(id), content: hash_content(content) });
        if self.0.len() > MAX_IDS {
            self.0.pop_front();
        }
    }

    pub(super) fn find(&self, id: &[u8], content: &MessageContent<'_>) -> IdUse {
        let id = hash(id);
        let mut uses = self.0.iter().filter(|ended| ended.id == id).peekable();
        if uses.peek().is_none() {
            return IdUse::Unused;
        }
        let content = hash_content(content);
        if uses.any(|ended| ended.content == content) { IdUse::SameMessage } else { IdUse::OtherMessage }
    }
}

/// The time that is left is no part of it: it may be counted anew when the message comes again.
fn hash_content(content: &MessageContent<'_>) -> u64 {
    let MessageContent { key, metadata, body } = content;
    hash(&(key, &metadata.class, &metadata.tenant, metadata.destination, &metadata.idempotency_key, body))
}

fn hash(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
#[path = "ended_ids_tests.rs"]
mod tests;
