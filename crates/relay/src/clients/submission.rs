//! What a request hands to the dispatcher: a message as its client submitted it, and the reply that comes back.

use super::protocol::Words;
use log::debug;
use mountshift::interface::MessageId;
use mountshift_spool::AcceptedMessage;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Bytes of a message's body at most, as clients are promised.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;
/// A client sends a request once more within so long: it waits 0.4 s for an answer.
const RESEND_WITHIN: Duration = Duration::from_millis(1_000);
/// Bytes of a message id or an idempotency key at most: both go into a header of the call to the endpoint.
const MAX_ID_BYTES: usize = 128;

/// A message as a client submitted it.
pub(crate) struct ClientSubmission {
    /// The id that the client gave it.
    pub(crate) id: Vec<u8>,
    /// Its ordering key; 0 for none.
    pub(crate) key: u64,
    /// The names and values that came with it, as they came: the spool keeps them like this.
    pub(crate) metadata_text: String,
    /// What they say.
    pub(crate) metadata: SubmissionMetadata,
    /// When it was read.
    pub(crate) received_at: Instant,
    /// What the endpoint gets.
    pub(crate) body: Vec<u8>,
}

/// What the names and values of a submission say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SubmissionMetadata {
    /// The name of its message class.
    pub(crate) class: String,
    /// Whose message it is, where that was told.
    pub(crate) tenant: Option<String>,
    /// The number of its destination.
    pub(crate) destination: u32,
    /// How long it may still be delivered.
    pub(crate) time_to_deadline: Duration,
    /// By this the endpoint recognises a repeat.
    pub(crate) idempotency_key: Option<String>,
}

/// Why a submission is not accepted and need not come again. The texts are part of the protocol with clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum SubmissionError {
    #[error("five words wanted")]
    WrongWordCount,
    #[error("the id can't be read")]
    UnreadableId,
    #[error("the body is too large")]
    BodyTooLarge,
    #[error("the key can't be read")]
    UnreadableKey,
    #[error("the list can't be read")]
    UnreadableMetadata,
    #[error("c is missing")]
    MissingClass,
    #[error("dest is missing or can't be read")]
    MissingDestination,
    #[error("d is missing or can't be read")]
    MissingDeadline,
    #[error("c names no class")]
    UnknownClass,
    #[error("dest is not on the list")]
    UnknownDestination,
    #[error("the id was used before")]
    IdAlreadyUsed,
    /// The decisions ended the message as failed before it was accepted.
    #[error("failed")]
    Undeliverable,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionReply {
    /// The relay is responsible for it from now on.
    Accepted(MessageId),
    /// Not accepted, and safe to submit again after this many milliseconds; 0 where no wait is told.
    Rejected { retry_after_ms: u64 },
    /// Not accepted.
    Failed(SubmissionError),
}

impl ClientSubmission {
    /// What was handed in under its id.
    pub(crate) fn content(&self) -> MessageContent<'_> {
        MessageContent { key: self.key, metadata: &self.metadata, body: &self.body }
    }

    /// True if this is the message that was accepted under its id, as far as its key and content tell.
    pub(crate) fn is_same_as(&self, accepted: &AcceptedMessage) -> bool {
        is_accepted_content(accepted, &self.content())
    }

    /// Reads the words of an `OUT.ADD` request.
    pub(super) fn parse(words: Words) -> Result<ClientSubmission, SubmissionError> {
        let Ok([_, key, id, metadata, body]) = <[Vec<u8>; 5]>::try_from(words) else {
            return Err(SubmissionError::WrongWordCount);
        };
        // An id goes into a header as it is.
        if id.is_empty() || id.len() > MAX_ID_BYTES || !id.iter().all(u8::is_ascii_graphic) {
            return Err(SubmissionError::UnreadableId);
        }
        if body.len() > MAX_BODY_BYTES {
            return Err(SubmissionError::BodyTooLarge);
        }
        let key_text = std::str::from_utf8(&key).map_err(|_| SubmissionError::UnreadableKey)?;
        let key = u64::from_str_radix(key_text, 16).map_err(|_| SubmissionError::UnreadableKey)?;
        let metadata_text = String::from_utf8(metadata).map_err(|_| SubmissionError::UnreadableMetadata)?;
        debug!(
            "submitted: {} key {key:016x} {metadata_text}, {} bytes",
            String::from_utf8_lossy(&id),
            body.len()
        );
        let metadata = SubmissionMetadata::parse(&metadata_text)?;
        Ok(ClientSubmission { id, key, metadata_text, metadata, received_at: Instant::now(), body })
    }
}

/// What makes a message the same one when it comes again; its id alone does not, as another client may have used that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageContent<'a> {
    pub(crate) key: u64,
    pub(crate) metadata: &'a SubmissionMetadata,
    pub(crate) body: &'a [u8],
}

impl MessageContent<'_> {
    /// True for the same message. Each says how long it may still be delivered from now on: a request that comes once more
    /// may have counted that again from its own beginning.
    pub(crate) fn is_same(&self, other: &MessageContent<'_>) -> bool {
        let (own, others) = (self.metadata, other.metadata);
        self.key == other.key
            && self.body == other.body
            && own.class == others.class
            && own.tenant == others.tenant
            && own.destination == others.destination
            && own.idempotency_key == others.idempotency_key
            && own.time_to_deadline.abs_diff(others.time_to_deadline) <= RESEND_WITHIN
    }
}

/// True if two accepted messages of one id are the same message.
pub(crate) fn is_same_message(one: &AcceptedMessage, other: &AcceptedMessage) -> bool {
    SubmissionMetadata::parse(&other.metadata).is_ok_and(|metadata| {
        let content = MessageContent { key: other.key, metadata: &metadata, body: &other.body };
        is_accepted_content(one, &content)
    })
}

fn is_accepted_content(accepted: &AcceptedMessage, content: &MessageContent<'_>) -> bool {
    SubmissionMetadata::parse(&accepted.metadata).is_ok_and(|metadata| {
        let held = MessageContent { key: accepted.key, metadata: &metadata, body: &accepted.body };
        held.is_same(content)
    })
}

impl SubmissionMetadata {
    /// Reads the list of names and values of a submission; unknown names are ignored.
    pub(crate) fn parse(text: &str) -> Result<SubmissionMetadata, SubmissionError> {
        let class = field(text, "c").ok_or(SubmissionError::MissingClass)?;
        let destination = number_field(text, "dest").ok_or(SubmissionError::MissingDestination)?;
        let deadline_ms = number_field(text, "d").ok_or(SubmissionError::MissingDeadline)?;
        Ok(SubmissionMetadata {
            class: mountshift_settings::normalize_name(class),
            tenant: field(text, "t").map(mountshift_settings::normalize_name),
            destination,
            time_to_deadline: Duration::from_millis(deadline_ms.into()),
            idempotency_key: field(text, "k").filter(|key| fits_header(key)).map(str::to_string),
        })
    }
}

/// The first value of a name in a list like `c=any,d=8000`.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|pair| pair.1)
}

fn number_field(text: &str, name: &str) -> Option<u32> {
    field(text, name)?.parse().ok()
}

/// True for a value that can go into a header as it is.
fn fits_header(value: &str) -> bool {
    value.len() <= MAX_ID_BYTES && value.bytes().all(|byte| byte.is_ascii_graphic())
}
