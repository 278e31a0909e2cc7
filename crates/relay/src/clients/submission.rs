//! Types passed between client connections and the dispatcher: a submitted message and the reply to it.

use super::protocol::BulkStrings;
use log::debug;
use mountshift::interface::MessageId;
use mountshift_spool::AcceptedMessage;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum size of a message body in bytes, as guaranteed to clients.
pub(super) const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum difference between the remaining times to the deadline of a message and of its resent copy. Clients resend
/// after 0.4 s without a reply.
const RESEND_DEADLINE_TOLERANCE: Duration = Duration::from_millis(1_000);
/// Maximum size in bytes of a message id or an idempotency key, both of which are sent in a header to the endpoint.
const MAX_ID_BYTES: usize = 128;

/// A message as a client submitted it.
pub(crate) struct ClientSubmission {
    /// Id assigned by the client.
    pub(crate) id: Vec<u8>,
    /// Ordering key; 0 for none.
    pub(crate) key: u64,
    /// Metadata list as received, which is also the form stored in the spool.
    pub(crate) metadata_text: String,
    /// Parsed metadata.
    pub(crate) metadata: SubmissionMetadata,
    /// Time at which the request was parsed.
    pub(crate) received_at: Instant,
    /// Body sent to the endpoint.
    pub(crate) body: Vec<u8>,
}

/// Parsed metadata of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SubmissionMetadata {
    /// Name of the message class.
    pub(crate) class: String,
    /// Name of the tenant, if given.
    pub(crate) tenant: Option<String>,
    /// Number of the destination.
    pub(crate) destination: u32,
    /// Time from submission to the deadline for delivery.
    pub(crate) time_to_deadline: Duration,
    /// Key by which the endpoint recognises a repeated message.
    pub(crate) idempotency_key: Option<String>,
}

/// Reasons for which a submission is refused and need not be repeated. The texts are part of the client protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum SubmissionError {
    #[error("five words wanted")]
    WrongArgumentCount,
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
    /// The message failed by a decision of the policy before it was accepted.
    #[error("failed")]
    Undeliverable,
}

/// Reply to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmissionReply {
    /// Accepted: the relay is now responsible for the message.
    Accepted(MessageId),
    /// Not accepted, and safe to submit again after the given milliseconds; 0 if no delay is given.
    Rejected { retry_after_ms: u64 },
    /// Not accepted, and not to be submitted again.
    Failed(SubmissionError),
}

impl ClientSubmission {
    /// Returns the content that identifies the message in addition to its id.
    pub(crate) fn content(&self) -> MessageContent<'_> {
        MessageContent { key: self.key, metadata: &self.metadata, body: &self.body }
    }

    /// Returns whether this submission repeats the accepted message of the same id, by key and content.
    pub(crate) fn is_same_as(&self, accepted: &AcceptedMessage) -> bool {
        is_accepted_content(accepted, &self.content())
    }

    /// Parses the bulk strings of an `OUT.ADD` request.
    pub(super) fn parse(bulk_strings: BulkStrings) -> Result<ClientSubmission, SubmissionError> {
        let Ok([_, key, id, metadata, body]) = <[Vec<u8>; 5]>::try_from(bulk_strings) else {
            return Err(SubmissionError::WrongArgumentCount);
        };
        // The id is copied into a header without escaping.
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

/// Content that identifies a repeated message. The id alone is not sufficient, because another client may have used
/// the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MessageContent<'a> {
    pub(crate) key: u64,
    pub(crate) metadata: &'a SubmissionMetadata,
    pub(crate) body: &'a [u8],
}

impl MessageContent<'_> {
    /// Returns whether both are the same message. The times to the deadline may differ slightly, because a client that
    /// resends a request may compute the remaining time anew.
    pub(crate) fn is_same(&self, other: &MessageContent<'_>) -> bool {
        let (own, others) = (self.metadata, other.metadata);
        self.key == other.key
            && self.body == other.body
            && own.class == others.class
            && own.tenant == others.tenant
            && own.destination == others.destination
            && own.idempotency_key == others.idempotency_key
            && own.time_to_deadline.abs_diff(others.time_to_deadline) <= RESEND_DEADLINE_TOLERANCE
    }
}

/// Returns whether two accepted messages with the same id are the same message.
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
    /// Parses the metadata list of a submission, for example `c=any,d=8000,dest=7`; unknown names are ignored.
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

/// Returns the first value of a name in a list such as `c=any,d=8000`.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split(',').filter_map(|pair| pair.split_once('=')).find(|pair| pair.0 == name).map(|pair| pair.1)
}

fn number_field(text: &str, name: &str) -> Option<u32> {
    field(text, name)?.parse().ok()
}

/// Returns whether a value can be sent in a header without escaping.
fn fits_header(value: &str) -> bool {
    value.len() <= MAX_ID_BYTES && value.bytes().all(|byte| byte.is_ascii_graphic())
}
