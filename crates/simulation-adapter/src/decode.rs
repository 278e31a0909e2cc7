//! Decodes the records for an instance into the inputs of its policy, and translates the wire protocol's terms
//! into those of the policy.

use crate::error::AdapterError;
use crate::wire::{Cursor, EndpointList, LIST_ENTRY_BYTES, WireTime};
use mountshift::interface::*;
use std::time::Duration;

pub(crate) fn decode_submission(mut fields: Cursor<'_>, started_at: WireTime) -> Result<Input, AdapterError> {
    let message = MessageId(fields.u64("id")?);
    let class = ClassId(fields.u16("type")?);
    fields.u8("bitmap")?;
    fields.u32("predicted")?;
    let tenant = TenantId(fields.u32("account")?);
    let destination = DestinationId(fields.f32("dest")? as u32);
    let deadline = WireTime(fields.u64("deadline")?).since(started_at);
    // On the wire a key of zero means that the message has no key.
    let key = match fields.u64("affinity")? {
        0 => None,
        key => Some(OrderingKey(key)),
    };
    let submission =
        Submission { class, tenant, destination, key, deadline, batch_entry_bytes: 0, restored: false };
    Ok(Input::Submitted { message, submission })
}

pub(crate) fn decode_withdrawal(mut fields: Cursor<'_>) -> Result<Input, AdapterError> {
    Ok(Input::Closed(MessageId(fields.u64("id")?)))
}

pub(crate) fn decode_attempt_end(
    mut fields: Cursor<'_>,
    rate_limit_field: Option<usize>,
    inputs: &mut Vec<Input>,
) -> Result<(), AdapterError> {
    let message = MessageId(fields.u64("id")?);
    let retry_after = Duration::from_millis(u64::from(fields.u32("holdMs")?));
    fields.u8("go")?;
    let elapsed = Duration::from_micros(u64::from(fields.u32("waitTime")?));
    let endpoint = fields.endpoint("endpoint")?;
    let closed = fields.u8("over")? != 0;
    let outcome = decode_outcome(fields.u8("code")?, retry_after)?;
    // The count of reported values is absent if there is no report.
    let reported_values = fields.u8("report").unwrap_or(0);
    for index in 0..usize::from(reported_values) {
        let value = fields.f32("report")?;
        if rate_limit_field == Some(index) {
            inputs.push(Input::RateLimitReported { endpoint, rate: value.into() });
        }
    }
    let run = RunState::from_outcome(outcome);
    inputs.push(Input::AttemptEnded { message, endpoint, elapsed, outcome, run, closed });
    Ok(())
}

fn decode_outcome(code: u8, retry_after: Duration) -> Result<Outcome, AdapterError> {
    match code {
        0 => Ok(Outcome::Error),
        1 => Ok(Outcome::Delivered),
        2 => Ok(Outcome::Rejected { retry_after }),
        3 => Ok(Outcome::TimedOut),
        4 => Ok(Outcome::ConnectFailed),
        5 => Ok(Outcome::Reset),
        6 => Ok(Outcome::Cancelled),
        7 => Ok(Outcome::NotSent),
        _ => Err(AdapterError::UnknownOutcome { code }),
    }
}

/// Value of a list change's `how` field if the poll failed.
const LIST_FAILED: u8 = 1;
/// Value of a list change's `how` field if the list holds only changes.
const LIST_DELTA: u8 = 2;

pub(crate) fn decode_list_change(
    mut fields: Cursor<'_>,
    list: Option<EndpointList>,
    inputs: &mut Vec<Input>,
) -> Result<(), AdapterError> {
    fields.u64("generation")?;
    let change_type = fields.u8("how")?;
    if change_type == LIST_FAILED {
        inputs.push(Input::PollFailed(PollFailure::UNEXPLAINED));
        return Ok(());
    }
    inputs.push(Input::ListReceived);
    let list = list.ok_or(AdapterError::MissingList)?;
    if change_type != LIST_DELTA {
        inputs.push(Input::FullListBegins);
    }
    for entry in list.chunks_exact(LIST_ENTRY_BYTES) {
        inputs.push(Input::EndpointListed(decode_list_entry(entry)?));
    }
    Ok(())
}

fn decode_list_entry(entry: &[u8]) -> Result<ListedEndpoint, AdapterError> {
    let mut fields = Cursor::new(entry, "ROSTER entry");
    let destination = DestinationId(u32::from(fields.u16("cell")?));
    let zone = ZoneId(u16::from(fields.u8("dc")?));
    fields.u64("upSince")?;
    let status = match fields.u8("mode")? {
        0 => EndpointStatus::Removed,
        1 => EndpointStatus::Ready,
        _ => EndpointStatus::Draining,
    };
    let kind = DestinationKindId(fields.u16("model")?);
    let endpoint = fields.endpoint("endpoint")?;
    let rate = f64::from(fields.f32("capacityHint")?);
    Ok(ListedEndpoint { endpoint, destination, zone, kind, status, rate })
}
