//! Ids of messages that ended recently. Clients give every message a new id, so a submission under one of these ids is
//! either a repeat of the ended message, which must not be sent a second time, or an id conflict between clients.

use crate::clients::{MessageContent, SubmissionError, SubmissionMetadata, SubmissionReply};
use mountshift_spool::{AcceptedMessage, EndedId, EndedIds};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Use of an id by messages other than the one that is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdUse {
    Unused,
    /// Used by a message with the same content that has ended.
    SameMessage,
    /// Used only by messages with different content.
    OtherMessage,
    /// Not known at present.
    Unknown,
}

impl IdUse {
    /// Returns the reply to a submission under an id with this use, if it must not be accepted.
    pub(crate) fn refusal(self) -> Option<SubmissionReply> {
        match self {
            IdUse::Unused => None,
            IdUse::SameMessage => Some(SubmissionReply::Failed(SubmissionError::IdAlreadyUsed)),
            IdUse::OtherMessage | IdUse::Unknown => Some(SubmissionReply::Rejected { retry_after_ms: 0 }),
        }
    }
}

/// Returns the hash of a message's content, without the time to the deadline, which may differ when the client repeats
/// the submission.
pub(crate) fn content_hash(content: &MessageContent<'_>) -> u64 {
    let MessageContent { key, metadata, body } = content;
    hash(&(key, &metadata.class, &metadata.tenant, metadata.destination, &metadata.idempotency_key, body))
}

/// Returns the hashes of an accepted message's id and content.
pub(crate) fn ended_id(accepted: &AcceptedMessage) -> EndedId {
    let content = match SubmissionMetadata::parse(&accepted.metadata) {
        Ok(metadata) => {
            content_hash(&MessageContent { key: accepted.key, metadata: &metadata, body: &accepted.body })
        }
        // Stored by a version with another format of the metadata: like no message that is submitted now.
        Err(_) => hash(&(accepted.key, &accepted.metadata, &accepted.body)),
    };
    EndedId { id: hash(&accepted.id[..]), content }
}

/// Returns the use of a submission's id by messages that have ended.
pub(crate) fn find(ended: &EndedIds, id: &[u8], content: &MessageContent<'_>) -> IdUse {
    find_id(ended, hash(id), || content_hash(content))
}

/// Returns the use of an accepted message's id by messages that have ended.
pub(crate) fn find_accepted(ended: &EndedIds, accepted: &AcceptedMessage) -> IdUse {
    let EndedId { id, content } = ended_id(accepted);
    find_id(ended, id, || content)
}

fn find_id(ended: &EndedIds, id: u64, content: impl Fn() -> u64) -> IdUse {
    let mut uses = ended.iter().filter(|ended| ended.id == id).peekable();
    if uses.peek().is_none() {
        return IdUse::Unused;
    }
    let content = content();
    if uses.any(|ended| ended.content == content) { IdUse::SameMessage } else { IdUse::OtherMessage }
}

fn hash(value: &(impl Hash + ?Sized)) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

#[cfg(test)]
#[path = "ended_ids_tests.rs"]
mod tests;
