//! Hosts the decisions on the simulator's wire: frames on standard input, replies on standard output.
#![forbid(unsafe_code)]

mod wire;

use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use mountshift_settings::FlatSettings;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use wire::{Cursor, Reply};

const HEADER: usize = 12;

type List = Rc<Vec<u8>>;
/// An event that came for an instance: its code, its fields, and the list that it names.
type Event<'a> = (u16, &'a [u8], Option<List>);
/// The instances: the decisions of each, and its start on the wire's clock.
type Relays = BTreeMap<u32, (DeliveryPolicy, u64, Option<usize>)>;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("mountshift-simhost: {what}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut relays = Relays::new();
    let mut lists: Vec<Option<List>> = vec![None; 16];
    loop {
        let Some(frame) = read_frame(input)? else { return Ok(()) };
        let mut reply = Reply::new();
        play(&frame, &mut relays, &mut lists, &mut reply)?;
        let sent = output.write_all(reply.finish()).and_then(|()| output.flush());
        sent.map_err(|e| format!("writing a reply: {e}"))?;
    }
}

/// Reads a frame's content; none at a clean end of input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut bytes = Vec::new();
    let mut take = |n: u64, bytes: &mut Vec<u8>| {
        bytes.clear();
        input.by_ref().take(n).read_to_end(bytes).map_err(|e| format!("reading a frame: {e}"))
    };
    match take(4, &mut bytes)? {
        0 => return Ok(None),
        4 => {}
        n => return Err(format!("frame: input ends after {n} of 4 bytes of its length")),
    }
    let length = Cursor::new(&bytes, "frame").u32("length")?;
    let got = take(u64::from(length), &mut bytes)?;
    if got < length as usize {
        return Err(format!("frame: input ends after {got} of {length} bytes"));
    }
    if got < HEADER {
        return Err(format!("frame: {got} bytes, too short for its header"));
    }
    Ok(Some(bytes))
}

/// Sorts a batch's records by instance and plays the round of each.
fn play(
    frame: &[u8],
    relays: &mut Relays,
    lists: &mut [Option<List>],
    reply: &mut Reply,
) -> Result<(), String> {
    let mut header = Cursor::new(frame, "frame");
    let clock = header.u64("clock")?;
    let records = header.u32("number of records")?;
    let mut came: BTreeMap<u32, Vec<Event>> = BTreeMap::new();
    for _ in 0..records {
        let code = header.u16("record code")?;
        let length = header.u32("record length")? as usize;
        let body = header.bytes(length, "record")?;
        let mut fields = Cursor::new(body, wire::event_name(code));
        match code {
            wire::LIST => {
                let slot = fields.u8("slot")?;
                let n = fields.u32("items")? as usize;
                let items = fields.bytes(n.saturating_mul(wire::ENTRY), "items")?;
                let place = lists.get_mut(slot as usize);
                *place.ok_or_else(|| format!("ROSTER: slot {slot} is over 15"))? =
                    Some(Rc::new(items.to_vec()));
            }
            wire::START => {
                let id = fields.u32("relayId")?;
                let seed = fields.u64("prng")?;
                let n = fields.u32("options")? as usize;
                let options = std::str::from_utf8(fields.bytes(n, "options")?);
                let options = FlatSettings::from_text(options.map_err(|_| "HELLO: options are not UTF-8")?);
                let settings = mountshift_settings::policy_settings(&options, RelayId(id), seed);
                let settings = settings.map_err(|e| format!("HELLO: {e}"))?;
                let limit =
                    mountshift_settings::rate_limit_field(&options).map_err(|e| format!("HELLO: {e}"))?;
                relays.insert(id, (DeliveryPolicy::new(settings), clock, limit.map(|l| l.0)));
                came.remove(&id);
            }
            wire::STOP => {
                let id = fields.u32("relayId")?;
                relays.remove(&id);
                came.remove(&id);
            }
            wire::CHANGE => {
                let id = fields.u32("relayId")?;
                let slot = fields.u8("slot")?;
                let list = lists.get(slot as usize).cloned().flatten();
                came.entry(id).or_default().push((code, body, list));
            }
            wire::MESSAGE | wire::OUTCOME | wire::WITHDRAWN | wire::ALARM | wire::PROBED => {
                came.entry(fields.u32("relayId")?).or_default().push((code, body, None));
            }
            _ => {}
        }
    }
    for (id, events) in came {
        // What names an instance that does not run is ignored.
        let Some((policy, start, limit)) = relays.get_mut(&id) else { continue };
        let now = Duration::from_micros(clock.saturating_sub(*start));
        let mut inputs = Vec::new();
        for (code, body, list) in &events {
            decode(&mut inputs, *start, *limit, *code, body, list)?;
        }
        reply.relay = id;
        policy.step(now, inputs, reply);
    }
    Ok(())
}

/// Decodes one event into the inputs that it stands for.
fn decode(
    inputs: &mut Vec<Input>,
    start: u64,
    limit: Option<usize>,
    code: u16,
    body: &[u8],
    list: &Option<List>,
) -> Result<(), String> {
    let mut f = Cursor::new(body, wire::event_name(code));
    f.u32("relayId")?;
    match code {
        wire::MESSAGE => {
            let (id, class) = (MessageId(f.u64("id")?), ClassId(f.u16("type")?));
            f.u8("bitmap")?;
            f.u32("predicted")?;
            let (tenant, destination) = (TenantId(f.u32("account")?), DestinationId(f.f32("dest")? as u32));
            let deadline = Duration::from_micros(f.u64("deadline")?.saturating_sub(start));
            let key = f.u64("affinity")?;
            let key = (key != 0).then_some(OrderingKey(key));
            inputs.push(Input::Submitted {
                message: id,
                submission: Submission { class, tenant, destination, key, deadline, restored: false },
            });
        }
        wire::OUTCOME => {
            let id = MessageId(f.u64("id")?);
            let wait = Duration::from_millis(u64::from(f.u32("holdMs")?));
            f.u8("go")?;
            let waited = Duration::from_micros(u64::from(f.u32("waitTime")?));
            let to = f.endpoint("endpoint")?;
            let over = f.u8("over")? != 0;
            let code = f.u8("code")?;
            let outcome = match code {
                0 => Outcome::Error,
                1 => Outcome::Delivered,
                2 => Outcome::Rejected { retry_after: wait },
                3 => Outcome::TimedOut,
                4 => Outcome::ConnectFailed,
                5 => Outcome::Reset,
                6 => Outcome::Cancelled,
                7 => Outcome::NotSent,
                _ => return Err(format!("OUTCOME: code {code} is not known")),
            };
            // A report is left out where there is none.
            for i in 0..f.u8("report").unwrap_or(0) as usize {
                let told = f.f32("report")?;
                if limit == Some(i) {
                    inputs.push(Input::RateLimitReported { endpoint: to, rate: told.into() });
                }
            }
            inputs.push(Input::AttemptEnded { message: id, endpoint: to, waited, outcome, closed: over });
        }
        wire::WITHDRAWN => inputs.push(Input::Closed(MessageId(f.u64("id")?))),
        wire::CHANGE => {
            f.u8("slot")?;
            f.u64("generation")?;
            let how = f.u8("how")?;
            if how == wire::LIST_FAILED {
                inputs.push(Input::PollFailed { retry_after: None });
                return Ok(());
            }
            inputs.push(Input::ListReceived);
            let list = list.as_ref().ok_or("ROSTER_CHANGE: names a list that has not come")?;
            if how != wire::LIST_DELTA {
                inputs.push(Input::FullListBegins);
            }
            for entry in list.chunks_exact(wire::ENTRY) {
                let mut f = Cursor::new(entry, "ROSTER entry");
                let (destination, zone) =
                    (DestinationId(u32::from(f.u16("cell")?)), ZoneId(f.u8("dc")?.into()));
                f.u64("upSince")?;
                let status = match f.u8("mode")? {
                    0 => EndpointStatus::Removed,
                    1 => EndpointStatus::Ready,
                    _ => EndpointStatus::Draining,
                };
                let kind = DestinationKindId(f.u16("model")?);
                let endpoint = f.endpoint("endpoint")?;
                let rate = f64::from(f.f32("capacityHint")?);
                inputs.push(Input::EndpointListed(ListedEndpoint {
                    endpoint,
                    destination,
                    zone,
                    kind,
                    status,
                    rate,
                }));
            }
        }
        _ => {}
    }
    Ok(())
}
