//! The instances of the decisions and what they share, from frame to frame.

use crate::decode::{decode_attempt_end, decode_list_change, decode_submission, decode_withdrawal};
use crate::error::AdapterError;
use crate::reply::Reply;
use crate::wire::{Cursor, EndpointList, LIST_ENTRY_BYTES, LIST_SLOTS, RecordCode, WireTime};
use mountshift::interface::{Input, RelayId};
use mountshift::policy::DeliveryPolicy;
use mountshift_settings::FlatSettings;
use std::collections::BTreeMap;
use std::rc::Rc;

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

/// All that outlives a frame: the running instances and the endpoint lists by slot.
#[derive(Default)]
pub(crate) struct Session {
    instances: BTreeMap<u32, Instance>,
    lists: [Option<EndpointList>; LIST_SLOTS],
}

impl Session {
    /// Sorts a frame's records by instance and plays one step of each.
    pub(crate) fn play_frame(&mut self, frame: &[u8], reply: &mut Reply) -> Result<(), AdapterError> {
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
