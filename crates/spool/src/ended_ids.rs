//! Ids of messages that ended recently. A compaction keeps them, so that a later process knows them too.

use std::collections::VecDeque;

/// Maximum number of ids that are kept: bounds the memory, and suffices for a client that repeats a submission late.
pub const MAX_ENDED_IDS: usize = 4_096;

/// An id and the content of the message that ended under it, as hashes that the caller computes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedId {
    /// Hash of the id.
    pub id: u64,
    /// Hash of the message's content.
    pub content: u64,
}

/// The ids of messages that ended recently, oldest first.
#[derive(Clone, Debug)]
pub struct EndedIds {
    ids: VecDeque<EndedId>,
    max_ids: usize,
}

impl Default for EndedIds {
    fn default() -> EndedIds {
        EndedIds::with_limit(MAX_ENDED_IDS)
    }
}

impl EndedIds {
    /// Creates a list of at most `max_ids` ids.
    pub(crate) fn with_limit(max_ids: usize) -> EndedIds {
        EndedIds { ids: VecDeque::new(), max_ids }
    }

    /// Adds an id; drops the oldest ones beyond the limit.
    pub fn push(&mut self, ended: EndedId) {
        self.ids.push_back(ended);
        let surplus = self.ids.len().saturating_sub(self.max_ids);
        self.ids.drain(..surplus);
    }

    /// Returns the ids, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = EndedId> + '_ {
        self.ids.iter().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }
}
