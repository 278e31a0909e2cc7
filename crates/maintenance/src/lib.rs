//! What the operators' calls at the second address mean for a relay, and what follows from them: which
//! endpoints are out by hand, whether clients are sent away, when a client connection is let go. No I/O;
//! times are spans since the relay's start.
#![forbid(unsafe_code)]

use std::collections::BTreeSet;
use std::time::Duration;

/// In standby, a client connection that waits so long for its next request is closed ...
pub const IDLE_CLOSE: Duration = Duration::from_millis(300);
/// ... and every one is, after the answers it owes, so long after the call.
pub const ALL_CLOSE: Duration = Duration::from_millis(1_500);
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

const fn answer(code: u16, text: &'static str) -> Answer {
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

/// What changed by a call, for the host to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    None,
    /// The set of endpoints out changed: write it down, tell the decisions.
    EndpointOut(String),
    EndpointBack(String),
    Standby,
    Active,
}

/// The orders in force.
#[derive(Debug, Default)]
pub struct MaintenanceState {
    /// Endpoints out by hand, by id as listed.
    out: BTreeSet<String>,
    /// Every id that a list has named in this process, or that was out from before.
    listed: BTreeSet<String>,
    /// Since when clients are sent away.
    standby: Option<Duration>,
    serving: bool,
    stopping: bool,
}

impl MaintenanceState {
    /// With the endpoints out from before, as `written` wrote them.
    pub fn from_text(text: &str) -> MaintenanceState {
        let out: BTreeSet<String> =
            text.lines().map(str::trim).filter(|l| !l.is_empty()).map(String::from).collect();
        MaintenanceState { listed: out.clone(), out, ..MaintenanceState::default() }
    }

    /// Takes the endpoints out as another process of the relay wrote them down since (an upgrade): the file
    /// holds all that are out. True if that changed anything here.
    pub fn read_out(&mut self, text: &str) -> bool {
        let told = MaintenanceState::from_text(text);
        self.listed.extend(told.listed);
        std::mem::replace(&mut self.out, told.out) != self.out
    }

    /// The endpoints out, a line each.
    pub fn written(&self) -> String {
        self.out.iter().map(|id| format!("{id}\n")).collect()
    }

    /// A list named the id.
    pub fn listed(&mut self, id: &str) {
        if !self.listed.contains(id) {
            self.listed.insert(id.to_string());
        }
    }

    /// The process can serve, or no longer: it was told to stop.
    pub fn serving(&mut self) {
        self.serving = true;
    }

    pub fn stopping(&mut self) {
        self.stopping = true;
    }

    pub fn is_out(&self, id: &str) -> bool {
        self.out.contains(id)
    }

    /// True if `PING` at the clients' address says yes.
    pub fn answers_ping(&self) -> bool {
        self.standby.is_none() && !self.stopping
    }

    /// When a client connection that waits since `since` for its next request is closed; none if it isn't.
    pub fn idle_close_at(&self, since: Duration) -> Option<Duration> {
        self.standby.map(|at| (since.max(at) + IDLE_CLOSE).min(at + ALL_CLOSE))
    }

    /// True if a client connection is closed after the answers it owes.
    pub fn closes(&self, now: Duration) -> bool {
        self.standby.is_some_and(|at| now >= at + ALL_CLOSE)
    }

    /// Takes a call at `now`: its answer, and what the host has to carry out.
    pub fn take(&mut self, call: Call, now: Duration) -> (Answer, Change) {
        match call {
            Call::Status if self.serving && !self.stopping => (answer(200, "serving"), Change::None),
            Call::Status if self.stopping => (answer(503, "stopping"), Change::None),
            Call::Status => (answer(503, "starting"), Change::None),
            Call::Enter(id) | Call::Exit(id) if !self.listed.contains(&id) => {
                (answer(404, "no endpoint of that id was listed"), Change::None)
            }
            Call::Enter(id) if self.out.insert(id.clone()) => (answer(200, "out"), Change::EndpointOut(id)),
            Call::Enter(_) => (answer(200, "out already"), Change::None),
            Call::Exit(id) if self.out.remove(&id) => (answer(200, "back"), Change::EndpointBack(id)),
            Call::Exit(_) => (answer(200, "was not out"), Change::None),
            Call::Standby => {
                let change = if self.standby.is_none() { Change::Standby } else { Change::None };
                self.standby = self.standby.or(Some(now));
                (answer(200, "standby"), change)
            }
            Call::Active => {
                let change = if self.standby.take().is_some() { Change::Active } else { Change::None };
                (answer(200, "active"), change)
            }
        }
    }
}

#[cfg(test)]
mod tests;
