//! The maintenance in force.

use crate::call::{Answer, Call, answer};
use std::collections::BTreeSet;
use std::time::Duration;

/// In standby, a client connection that waits so long for its next request is closed ...
pub const IDLE_CLOSE: Duration = Duration::from_millis(300);

/// ... and every one is, after the answers it owes, so long after the call.
pub const ALL_CLOSE: Duration = Duration::from_millis(1_500);

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
