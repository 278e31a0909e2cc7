//! What a request hands to the dispatcher.

use super::protocol::Words;
use log::debug;
use mountshift::interface::MessageId;
use std::time::{Duration, Instant};

pub const BODY_MOST: usize = 64 * 1024;
/// Bytes of an id.
const ID_MOST: usize = 128;

/// A message as a client handed it in.
pub struct HandedIn {
    pub id: Vec<u8>,
    pub key: u64,
    /// The names and values that came with it, as they came.
    pub list: String,
    pub told: Told,
    pub at: Instant,
    pub body: Vec<u8>,
}

/// What the list of names and values says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    pub lane: String,
    pub tenant: Option<String>,
    pub dst: u32,
    /// How long the message may still be delivered.
    pub left: Duration,
    /// By this the other side knows a repeat.
    pub idempotency_key: Option<String>,
}

/// What a client hears.
pub enum Answer {
    Taken(MessageId),
    /// It came before under this id and is held.
    Held,
    /// With the pause in milliseconds, or zero.
    PushedBack(u64),
    Failed(&'static str),
}

pub(super) fn handed_in(words: Words) -> Result<HandedIn, &'static str> {
    let Ok([_, key, id, list, body]) = <[Vec<u8>; 5]>::try_from(words) else {
        return Err("five words wanted");
    };
    // An id goes into a header as it is.
    if id.is_empty() || id.len() > ID_MOST || !id.iter().all(u8::is_ascii_graphic) {
        return Err("the id can't be read");
    }
    if body.len() > BODY_MOST {
        return Err("the body is too large");
    }
    let key = std::str::from_utf8(&key).ok().and_then(|k| u64::from_str_radix(k, 16).ok());
    let key = key.ok_or("the key can't be read")?;
    let list = String::from_utf8(list).map_err(|_| "the list can't be read")?;
    debug!("handed in: {} key {key:016x} {list}, {} bytes", String::from_utf8_lossy(&id), body.len());
    Ok(HandedIn { id, key, told: told(&list)?, list, at: Instant::now(), body })
}

/// Reads a message's list of names and values; names that are not known are left alone.
pub fn told(list: &str) -> Result<Told, &'static str> {
    let field =
        |name: &str| list.split(',').filter_map(|f| f.split_once('=')).find(|f| f.0 == name).map(|f| f.1);
    let number = |name: &str| field(name).and_then(|text| text.parse::<u64>().ok());
    let header = |text: &&str| text.len() <= ID_MOST && text.bytes().all(|b| b.is_ascii_graphic());
    Ok(Told {
        lane: mountshift_settings::plain(field("c").ok_or("c is missing")?),
        tenant: field("t").map(mountshift_settings::plain),
        dst: number("dest").and_then(|n| u32::try_from(n).ok()).ok_or("dest is missing or can't be read")?,
        left: number("d")
            .and_then(|n| u32::try_from(n).ok())
            .map(|n| Duration::from_millis(n.into()))
            .ok_or("d is missing or can't be read")?,
        idempotency_key: field("k").filter(header).map(str::to_string),
    })
}
