//! Operators' calls as they come over HTTP.

use std::time::Duration;

/// A call whose head is not whole by then gets `408`.
pub const HEAD_DUE: Duration = Duration::from_millis(800);

/// Connections to the second address at once; a further one gets `503`.
pub const CALLERS_MOST: usize = 32;

/// An answer that the caller does not take by then is dropped.
pub const WRITE_DUE: Duration = Duration::from_millis(150);

/// Bytes of a call's head.
pub const HEAD_MOST: usize = 4 * 1024;

/// Bytes of an endpoint's id in a call.
const ID_MOST: usize = 256;

/// A call, as the second address takes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Status,
    Enter(String),
    Exit(String),
    Standby,
    Active,
}

/// An answer: status code and a line of text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    pub code: u16,
    pub text: &'static str,
}

pub(crate) const fn answer(code: u16, text: &'static str) -> Answer {
    Answer { code, text }
}

/// No whole head in time, or sent away for another caller.
pub const LATE: Answer = answer(408, "the call did not come in time");
pub const NOT_HTTP: Answer = answer(400, "not an HTTP call");
pub const TOO_LARGE: Answer = answer(431, "the head is too large");
pub const CUT_SHORT: Answer = answer(400, "closed before the call was whole");

/// What the call is, from its method and target; a 4xx answer if none.
pub fn call(method: &str, target: &str) -> Result<Call, Answer> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let id = || {
        let id = query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == "target").map(|p| p.1);
        let id = id.filter(|id| !id.is_empty()).ok_or(answer(400, "target is missing"))?;
        let plain = id.len() <= ID_MOST && id.bytes().all(|b| b.is_ascii_graphic());
        if plain { Ok(id.to_string()) } else { Err(answer(400, "target can't be read")) }
    };
    let wanted = match path {
        "/status" => "GET",
        "/maintenance/enter" | "/maintenance/exit" | "/standby" | "/active" => "POST",
        _ => return Err(answer(404, "no such call")),
    };
    if method != wanted {
        return Err(answer(405, "method not allowed"));
    }
    Ok(match path {
        "/status" => Call::Status,
        "/maintenance/enter" => Call::Enter(id()?),
        "/maintenance/exit" => Call::Exit(id()?),
        "/standby" => Call::Standby,
        _ => Call::Active,
    })
}
