//! The maintenance in force: endpoints in maintenance, standby, and whether the process serves.

use crate::call::{AdminRequest, AdminResponse, answer};
use std::collections::BTreeSet;
use std::time::Duration;

/// In standby, a client connection that waits so long for its next request is closed.
pub const STANDBY_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// In standby, every client connection is closed so long after the call, once what it waits for is answered.
pub const STANDBY_CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a call changed, for the host to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// This endpoint is in maintenance now: write the set to its file, tell the decisions.
    EndpointOut(String),
    /// This endpoint is back: likewise.
    EndpointBack(String),
    /// Clients are to be sent away.
    Standby,
    /// Clients are to be served again.
    Active,
}

/// What the operators' calls have set.
#[derive(Debug, Default)]
pub struct MaintenanceState {
    /// Endpoints in maintenance, by id as listed.
    in_maintenance: BTreeSet<String>,
    /// Every id that a list has named in this process, or that was in maintenance from before.
    listed: BTreeSet<String>,
    /// Since when clients are sent away.
    standby_since: Option<Duration>,
    serving: bool,
    stopping: bool,
}

impl MaintenanceState {
    /// With the endpoints that were in maintenance before, as [`MaintenanceState::to_text`] wrote them.
    pub fn from_text(text: &str) -> MaintenanceState {
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let in_maintenance: BTreeSet<String> = lines.map(String::from).collect();
        MaintenanceState { listed: in_maintenance.clone(), in_maintenance, ..MaintenanceState::default() }
    }

    /// The text of the maintenance file: the endpoints in maintenance, a line each.
    pub fn to_text(&self) -> String {
        self.in_maintenance.iter().map(|id| format!("{id}\n")).collect()
    }

    /// Replaces the endpoints in maintenance by those that another process of the relay wrote to the file since
    /// (an upgrade). True if that changed anything here.
    pub fn reload(&mut self, text: &str) -> bool {
        let written = MaintenanceState::from_text(text);
        self.listed.extend(written.listed);
        let before = std::mem::replace(&mut self.in_maintenance, written.in_maintenance);
        before != self.in_maintenance
    }

    /// A list named the endpoint: calls may name it from now on.
    pub fn record_listed_endpoint(&mut self, id: &str) {
        if !self.listed.contains(id) {
            self.listed.insert(id.to_string());
        }
    }

    /// The process can serve.
    pub fn set_serving(&mut self) {
        self.serving = true;
    }

    /// The process was told to stop.
    pub fn set_stopping(&mut self) {
        self.stopping = true;
    }

    /// True if the endpoint is in maintenance.
    pub fn is_in_maintenance(&self, id: &str) -> bool {
        self.in_maintenance.contains(id)
    }

    /// True if `PING` at the clients' address says yes.
    pub fn should_answer_ping(&self) -> bool {
        self.standby_since.is_none() && !self.stopping
    }

    /// When a client connection that waits since `since` for its next request is closed; none if it isn't.
    pub fn idle_close_at(&self, since: Duration) -> Option<Duration> {
        let standby_since = self.standby_since?;
        let idle_close_at = since.max(standby_since) + STANDBY_IDLE_TIMEOUT;
        Some(idle_close_at.min(standby_since + STANDBY_CLOSE_TIMEOUT))
    }

    /// True if a client connection is closed once what it waits for is answered.
    pub fn should_close_connections(&self, now: Duration) -> bool {
        self.standby_since.is_some_and(|since| now >= since + STANDBY_CLOSE_TIMEOUT)
    }

    /// Carries out a call that came at `now`: its answer, and what the host has to do.
    pub fn handle(&mut self, call: AdminRequest, now: Duration) -> (AdminResponse, Change) {
        match call {
            AdminRequest::Status => (self.status(), Change::None),
            AdminRequest::Enter(id) => self.enter(id),
            AdminRequest::Exit(id) => self.exit(id),
            AdminRequest::Standby => (answer(200, "standby"), self.start_standby(now)),
            AdminRequest::Active => (answer(200, "active"), self.end_standby()),
        }
    }

    fn status(&self) -> AdminResponse {
        if self.stopping {
            answer(503, "stopping")
        } else if self.serving {
            answer(200, "serving")
        } else {
            answer(503, "starting")
        }
    }

    fn enter(&mut self, id: String) -> (AdminResponse, Change) {
        if !self.listed.contains(&id) {
            return (NEVER_LISTED, Change::None);
        }
        if !self.in_maintenance.insert(id.clone()) {
            return (answer(200, "out already"), Change::None);
        }
        (answer(200, "out"), Change::EndpointOut(id))
    }

    fn exit(&mut self, id: String) -> (AdminResponse, Change) {
        if !self.listed.contains(&id) {
            return (NEVER_LISTED, Change::None);
        }
        if !self.in_maintenance.remove(&id) {
            return (answer(200, "was not out"), Change::None);
        }
        (answer(200, "back"), Change::EndpointBack(id))
    }

    /// A repeated call changes nothing: the first one counts.
    fn start_standby(&mut self, now: Duration) -> Change {
        if self.standby_since.is_some() {
            return Change::None;
        }
        self.standby_since = Some(now);
        Change::Standby
    }

    fn end_standby(&mut self) -> Change {
        match self.standby_since.take() {
            Some(_) => Change::Active,
            None => Change::None,
        }
    }
}

/// Guards against an endpoint taken out under a name that was misspelt.
const NEVER_LISTED: AdminResponse = answer(404, "no endpoint of that id was listed");
