//! Hosts the decisions on the simulator's wire: frames on standard input, replies on standard output.
#![forbid(unsafe_code)]

#[cfg(test)]
mod tests;
mod wire;

use mountshift::interface::*;
use mountshift::rules::DeliveryPolicy;
use mountshift_settings::FlatSettings;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use wire::{AdapterError, Cursor, LENGTH_BYTES, LIST_ENTRY_BYTES, LIST_SLOTS, RecordCode, Reply};

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mountshift-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each frame with a reply until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut session = Session::default();
    while let Some(frame) = read_frame(input)? {
        let mut reply = Reply::new();
        session.play_frame(&frame, &mut reply)?;
        output.write_all(reply.finish()).map_err(AdapterError::WriteReply)?;
        output.flush().map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}

/// Bytes of a frame's header: the clock and the number of records.
const HEADER_BYTES: usize = size_of::<u64>() + size_of::<u32>();

/// Reads a frame's content; none at a clean end of input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let length = read_up_to(input, LENGTH_BYTES as u64)?;
    if length.is_empty() {
        return Ok(None);
    }
    if length.len() < LENGTH_BYTES {
        return Err(AdapterError::TruncatedLength { received: length.len() });
    }
    let length = Cursor::new(&length, "frame").u32("length")?;
    let frame = read_up_to(input, u64::from(length))?;
    if frame.len() < length as usize {
        return Err(AdapterError::TruncatedFrame { received: frame.len(), length });
    }
    if frame.len() < HEADER_BYTES {
        return Err(AdapterError::FrameWithoutHeader { length: frame.len() });
    }
    Ok(Some(frame))
}

/// Reads this many bytes, or fewer where the input ends.
fn read_up_to(input: &mut impl Read, count: u64) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input.take(count).read_to_end(&mut bytes).map_err(AdapterError::ReadFrame)?;
    Ok(bytes)
}

/// The entries of an endpoint list as they came.
type EndpointList = Rc<[u8]>;

/// A record for an instance, read up to the fields that say whose it is.
struct PendingRecord<'a> {
    code: RecordCode,
    fields: Cursor<'a>,
    /// The list that the record names by its slot.
    list: Option<EndpointList>,
}

/// Records by the instance that they are for, each in the order in which they came.
type PendingRecords<'a> = BTreeMap<u32, Vec<PendingRecord<'a>>>;

/// An instance of the decisions.
struct Instance {
    policy: DeliveryPolicy,
    /// Its start on the wire's clock.
    started_at: WireTime,
    /// Which value of an answer's report tells the rate limit, if any does.
    rate_limit_field: Option<usize>,
}

/// A time of the wire's clock, in microseconds.
#[derive(Clone, Copy)]
struct WireTime(u64);

impl WireTime {
    fn since(self, start: WireTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(start.0))
    }
}

/// All that outlives a frame: the running instances and the endpoint lists by slot.
#[derive(Default)]
struct Session {
    instances: BTreeMap<u32, Instance>,
    lists: [Option<EndpointList>; LIST_SLOTS],
}

impl Session {
    /// Sorts a frame's records by instance and plays one step of each.
    fn play_frame(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), AdapterError> {
        let mut header = Cursor::new(frame, "frame");
        let clock = WireTime(header.u64("clock")?);
        let records = header.u32("number of records")?;
        let mut pending = PendingRecords::new();
        for _ in 0..records {
            let code = header.u16("record code")?;
            let length = header.u32("record length")?;
            let body = header.bytes(length as usize, "record")?;
            if let Some(code) = RecordCode::from_wire(code) {
                self.take_record(clock, code, Cursor::new(body, code.wire_name()), &mut pending)?;
            }
        }
        for (id, records) in pending {
            // What names an instance that does not run is ignored.
            if let Some(instance) = self.instances.get_mut(&id) {
                reply.begin_instance(id);
                instance.step(clock, records, reply)?;
            }
        }
        Ok(())
    }

    /// Carries out what concerns the session; keeps what is for an instance until its step.
    fn take_record<'a>(
        &mut self,
        clock: WireTime,
        code: RecordCode,
        mut fields: Cursor<'a>,
        pending: &mut PendingRecords<'a>,
    ) -> Result<(), AdapterError> {
        match code {
            RecordCode::EndpointList => self.store_list(fields)?,
            RecordCode::Start => {
                let id = self.start_instance(clock, fields)?;
                pending.remove(&id);
            }
            RecordCode::Stop => {
                let id = fields.u32("relayId")?;
                self.instances.remove(&id);
                pending.remove(&id);
            }
            RecordCode::ListChanged => {
                let id = fields.u32("relayId")?;
                let slot = fields.u8("slot")?;
                // A later list may come into the same slot: this change means the one that is there now.
                let list = self.lists.get(usize::from(slot)).cloned().flatten();
                pending.entry(id).or_default().push(PendingRecord { code, fields, list });
            }
            RecordCode::Submitted
            | RecordCode::AttemptEnded
            | RecordCode::Withdrawn
            | RecordCode::Timer
            | RecordCode::Sample => {
                let id = fields.u32("relayId")?;
                pending.entry(id).or_default().push(PendingRecord { code, fields, list: None });
            }
        }
        Ok(())
    }

    fn store_list(&mut self, mut fields: Cursor<'_>) -> Result<(), AdapterError> {
        let slot = fields.u8("slot")?;
        let entries = fields.u32("items")? as usize;
        let entries = fields.bytes(entries.saturating_mul(LIST_ENTRY_BYTES), "items")?;
        let Some(place) = self.lists.get_mut(usize::from(slot)) else {
            return Err(AdapterError::UnknownSlot { slot });
        };
        *place = Some(Rc::from(entries));
        Ok(())
    }

    /// Starts an instance in place of an earlier one with the same id.
    fn start_instance(&mut self, clock: WireTime, mut fields: Cursor<'_>) -> Result<u32, AdapterError> {
        let id = fields.u32("relayId")?;
        let seed = fields.u64("prng")?;
        let length = fields.u32("options")?;
        let options = fields.bytes(length as usize, "options")?;
        let options = std::str::from_utf8(options).map_err(|_| AdapterError::OptionsNotText)?;
        let options = FlatSettings::from_text(options);
        let settings = mountshift_settings::policy_settings(&options, RelayId(id), seed)
            .map_err(|error| AdapterError::Settings(error.into()))?;
        let rate_limit_field = mountshift_settings::rate_limit_field(&options)
            .map_err(|error| AdapterError::Settings(error.into()))?;
        let instance = Instance {
            policy: DeliveryPolicy::new(settings),
            started_at: clock,
            rate_limit_field: rate_limit_field.map(|(position, _)| position),
        };
        self.instances.insert(id, instance);
        Ok(id)
    }
}

impl Instance {
    fn step(
        &mut self,
        clock: WireTime,
        records: Vec<PendingRecord<'_>>,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let mut inputs = Vec::new();
        for record in records {
            self.decode(record, &mut inputs)?;
        }
        self.policy.step(clock.since(self.started_at), inputs, reply);
        Ok(())
    }

    /// Decodes a record into the inputs that it stands for.
    fn decode(&self, record: PendingRecord<'_>, inputs: &mut Vec<Input>) -> Result<(), AdapterError> {
        let fields = record.fields;
        match record.code {
            RecordCode::Submitted => inputs.push(decode_submission(fields, self.started_at)?),
            RecordCode::AttemptEnded => decode_attempt_end(fields, self.rate_limit_field, inputs)?,
            RecordCode::Withdrawn => inputs.push(decode_withdrawal(fields)?),
            RecordCode::ListChanged => decode_list_change(fields, record.list, inputs)?,
            // A timer only calls for a step; the rest is no instance's.
            RecordCode::Timer
            | RecordCode::Sample
            | RecordCode::Start
            | RecordCode::Stop
            | RecordCode::EndpointList => {}
        }
        Ok(())
    }
}

fn decode_submission(mut fields: Cursor<'_>, started_at: WireTime) -> Result<Input, AdapterError> {
    let message = MessageId(fields.u64("id")?);
    let class = ClassId(fields.u16("type")?);
    fields.u8("bitmap")?;
    fields.u32("predicted")?;
    let tenant = TenantId(fields.u32("account")?);
    let destination = DestinationId(fields.f32("dest")? as u32);
    let deadline = WireTime(fields.u64("deadline")?).since(started_at);
    // On the wire a key of zero means none.
    let key = match fields.u64("affinity")? {
        0 => None,
        key => Some(OrderingKey(key)),
    };
    let submission = Submission { class, tenant, destination, key, deadline, restored: false };
    Ok(Input::Submitted { message, submission })
}

fn decode_withdrawal(mut fields: Cursor<'_>) -> Result<Input, AdapterError> {
    Ok(Input::Closed(MessageId(fields.u64("id")?)))
}

fn decode_attempt_end(
    mut fields: Cursor<'_>,
    rate_limit_field: Option<usize>,
    inputs: &mut Vec<Input>,
) -> Result<(), AdapterError> {
    let message = MessageId(fields.u64("id")?);
    let retry_after = Duration::from_millis(u64::from(fields.u32("holdMs")?));
    fields.u8("go")?;
    let waited = Duration::from_micros(u64::from(fields.u32("waitTime")?));
    let endpoint = fields.endpoint("endpoint")?;
    let closed = fields.u8("over")? != 0;
    let outcome = decode_outcome(fields.u8("code")?, retry_after)?;
    // The report is left out where there is none.
    let reported_values = fields.u8("report").unwrap_or(0);
    for position in 0..usize::from(reported_values) {
        let value = fields.f32("report")?;
        if rate_limit_field == Some(position) {
            inputs.push(Input::RateLimitReported { endpoint, rate: value.into() });
        }
    }
    inputs.push(Input::AttemptEnded { message, endpoint, waited, outcome, closed });
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

/// How a list change tells that the poll failed.
const LIST_FAILED: u8 = 1;
/// How it tells that the list holds only what changed.
const LIST_DELTA: u8 = 2;

fn decode_list_change(
    mut fields: Cursor<'_>,
    list: Option<EndpointList>,
    inputs: &mut Vec<Input>,
) -> Result<(), AdapterError> {
    fields.u64("generation")?;
    let how = fields.u8("how")?;
    if how == LIST_FAILED {
        inputs.push(Input::PollFailed { retry_after: None });
        return Ok(());
    }
    inputs.push(Input::ListReceived);
    let list = list.ok_or(AdapterError::MissingList)?;
    if how != LIST_DELTA {
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
