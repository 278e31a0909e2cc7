//! Ids of messages that ended recently. Clients give every message a new id, so a submission under one of these ids is
//! either a repeat of the ended message, which must not be sent a second time, or an id conflict between clients.

use crate::clients::MessageContent;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of ids kept: bounds the memory, and suffices for a client that repeats a submission late.
const MAX_IDS: usize = 4_096;

/// Use of an id by a message that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdUse {
    Unused,
    /// Used by a message with the same content.
    SameMessage,
    /// Used only by messages with different content.
    OtherMessage,
}

/// Hashes of an id and of the content that was submitted under it.
struct EndedId {
    id: u64,
    content: u64,
}

/// The ids of messages that ended recently, oldest first.
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

/// Hashes the content without the time to the deadline, which may differ when the client repeats the submission.
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
