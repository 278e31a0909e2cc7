//! The running policy instances and the state that they share, kept from frame to frame.

use crate::decode::{decode_attempt_end, decode_list_change, decode_submission, decode_withdrawal};
use crate::error::AdapterError;
use crate::reply::Reply;
use crate::wire::{Cursor, EndpointList, LIST_ENTRY_BYTES, LIST_SLOTS, RecordCode, WireTime};
use mountshift::interface::{Input, RelayId};
use mountshift::policy::DeliveryPolicy;
use mountshift_settings::FlatSettings;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A record for an instance, read up to and including the fields that identify the instance and the list.
struct PendingRecord<'a> {
    code: RecordCode,
    fields: Cursor<'a>,
    /// The list that the record refers to by its slot.
    list: Option<EndpointList>,
}

/// Records by instance, in the order in which they arrived.
type PendingRecords<'a> = BTreeMap<u32, Vec<PendingRecord<'a>>>;

/// A running instance of the delivery policy.
struct Instance {
    policy: DeliveryPolicy,
    /// Time of its start on the wire's clock.
    started_at: WireTime,
    /// Index of the rate limit in an answer's report, if the report has one.
    rate_limit_field: Option<usize>,
}

/// State kept between frames: the running instances, and the endpoint lists by slot.
#[derive(Default)]
pub(crate) struct Session {
    instances: BTreeMap<u32, Instance>,
    lists: [Option<EndpointList>; LIST_SLOTS],
}

impl Session {
    /// Groups a frame's records by instance and runs one step of each instance.
    pub(crate) fn process_frame(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), AdapterError> {
        let mut header = Cursor::new(frame, "frame");
        let clock = WireTime(header.u64("clock")?);
        let records = header.u32("number of records")?;
        let mut pending = PendingRecords::new();
        for _ in 0..records {
            let code = header.u16("record code")?;
            let length = header.u32("record length")?;
            let body = header.bytes(length as usize, "record")?;
            if let Some(code) = RecordCode::from_wire(code) {
                self.handle_record(clock, code, Cursor::new(body, code.wire_name()), &mut pending)?;
            }
        }
        for (id, records) in pending {
            // Records for an instance that is not running are ignored.
            if let Some(instance) = self.instances.get_mut(&id) {
                reply.begin_instance(id);
                instance.step(clock, records, reply)?;
            }
        }
        Ok(())
    }

    /// Handles a record for the session immediately; stores a record for an instance until the instance's
    /// step.
    fn handle_record<'a>(
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
                // A later record may replace the list in the slot; this change refers to the current one.
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
        let Some(slot_list) = self.lists.get_mut(usize::from(slot)) else {
            return Err(AdapterError::UnknownSlot { slot });
        };
        *slot_list = Some(Rc::from(entries));
        Ok(())
    }

    /// Starts an instance. It replaces an earlier one with the same id.
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
            rate_limit_field: rate_limit_field.map(|field| field.index),
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

    /// Decodes a record into policy inputs.
    fn decode(&self, record: PendingRecord<'_>, inputs: &mut Vec<Input>) -> Result<(), AdapterError> {
        let fields = record.fields;
        match record.code {
            RecordCode::Submitted => inputs.push(decode_submission(fields, self.started_at)?),
            RecordCode::AttemptEnded => decode_attempt_end(fields, self.rate_limit_field, inputs)?,
            RecordCode::Withdrawn => inputs.push(decode_withdrawal(fields)?),
            RecordCode::ListChanged => decode_list_change(fields, record.list, inputs)?,
            // A timer only triggers a step, and the policy uses no samples. The other records are for the
            // session.
            RecordCode::Timer
            | RecordCode::Sample
            | RecordCode::Start
            | RecordCode::Stop
            | RecordCode::EndpointList => {}
        }
        Ok(())
    }
}
