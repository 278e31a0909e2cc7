//! The state set by operators' calls (endpoints in maintenance, standby), and whether the process serves.

use crate::call::{AdminRequest, AdminResponse, response};
use std::collections::BTreeSet;
use std::time::Duration;

/// Time for which an idle client connection is kept open in standby.
pub const STANDBY_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after the start of standby at which every client connection is closed, once its pending requests are
/// answered.
pub const STANDBY_CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A change made by a call, which the host has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    None,
    /// This endpoint is now in maintenance. The host changes the maintenance file and updates the delivery
    /// policy.
    EndpointOut(String),
    /// The maintenance of this endpoint has ended. The host changes the maintenance file and updates the
    /// delivery policy.
    EndpointBack(String),
    /// Standby has started: the host closes client connections.
    Standby,
    /// Standby has ended: clients are served again.
    Active,
}

impl Change {
    /// Returns the text of the maintenance file after this change of a file with `text`.
    pub fn apply_to(&self, text: &str) -> String {
        let mut stored = MaintenanceState::from_text(text);
        match self {
            Change::EndpointOut(id) => drop(stored.in_maintenance.insert(id.clone())),
            Change::EndpointBack(id) => drop(stored.in_maintenance.remove(id)),
            Change::None | Change::Standby | Change::Active => {}
        }
        stored.to_text()
    }
}

/// The state set by the operators' calls.
#[derive(Debug, Default)]
pub struct MaintenanceState {
    /// Endpoints in maintenance, by id as listed.
    in_maintenance: BTreeSet<String>,
    /// Ids of all endpoints that were listed since the start of this process or were already in maintenance
    /// then.
    known_endpoints: BTreeSet<String>,
    /// Start of standby, if the relay is in standby.
    standby_since: Option<Duration>,
    is_serving: bool,
    is_stopping: bool,
}

impl MaintenanceState {
    /// Restores the endpoints in maintenance from the text written by [`MaintenanceState::to_text`].
    pub fn from_text(text: &str) -> MaintenanceState {
        let lines = text.lines().map(str::trim).filter(|line| !line.is_empty());
        let in_maintenance: BTreeSet<String> = lines.map(String::from).collect();
        MaintenanceState {
            known_endpoints: in_maintenance.clone(),
            in_maintenance,
            ..MaintenanceState::default()
        }
    }

    /// Returns the text of the maintenance file: the ids of the endpoints in maintenance, one per line.
    pub fn to_text(&self) -> String {
        self.in_maintenance.iter().map(|id| format!("{id}\n")).collect()
    }

    /// Replaces the endpoints in maintenance by those in the file, which another process of the relay may have
    /// changed during an upgrade. Returns the changes, which the host has to carry out.
    pub fn follow(&mut self, text: &str) -> Vec<Change> {
        let written = MaintenanceState::from_text(text);
        self.known_endpoints.extend(written.known_endpoints);
        let before = std::mem::replace(&mut self.in_maintenance, written.in_maintenance);
        let taken_out = self.in_maintenance.difference(&before).cloned().map(Change::EndpointOut);
        let put_back = before.difference(&self.in_maintenance).cloned().map(Change::EndpointBack);
        taken_out.chain(put_back).collect()
    }

    /// Starts or ends standby as another process of the relay has stored it. Returns the change, which the host has to
    /// carry out.
    pub fn follow_standby(&mut self, is_in_standby: bool, now: Duration) -> Change {
        if is_in_standby { self.start_standby(now) } else { self.end_standby() }
    }

    /// Records that a list contained the endpoint, so that calls may name it.
    pub fn record_listed_endpoint(&mut self, id: &str) {
        if !self.known_endpoints.contains(id) {
            self.known_endpoints.insert(id.to_string());
        }
    }

    /// Records that the process can serve.
    pub fn set_serving(&mut self) {
        self.is_serving = true;
    }

    /// Records that the process was requested to stop.
    pub fn set_stopping(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether the endpoint is in maintenance.
    pub fn is_in_maintenance(&self, id: &str) -> bool {
        self.in_maintenance.contains(id)
    }

    /// Returns whether a client's `PING` gets a positive answer.
    pub fn should_answer_ping(&self) -> bool {
        self.standby_since.is_none() && !self.is_stopping
    }

    /// Returns the time at which a client connection that has been idle since `since` is closed, or `None` if
    /// it stays open.
    pub fn idle_close_at(&self, since: Duration) -> Option<Duration> {
        let standby_since = self.standby_since?;
        let idle_close_at = since.max(standby_since) + STANDBY_IDLE_TIMEOUT;
        Some(idle_close_at.min(standby_since + STANDBY_CLOSE_TIMEOUT))
    }

    /// Returns whether a client connection is closed once its pending requests are answered.
    pub fn should_close_connections(&self, now: Duration) -> bool {
        self.standby_since.is_some_and(|since| now >= since + STANDBY_CLOSE_TIMEOUT)
    }

    /// Handles a call received at `now`. Returns the answer and the change that the host has to carry out.
    pub fn handle(&mut self, call: AdminRequest, now: Duration) -> (AdminResponse, Change) {
        match call {
            AdminRequest::Status => (self.status(), Change::None),
            AdminRequest::Enter(id) => self.enter(id),
            AdminRequest::Exit(id) => self.exit(id),
            AdminRequest::Standby => (response(200, "standby"), self.start_standby(now)),
            AdminRequest::Active => (response(200, "active"), self.end_standby()),
        }
    }

    fn status(&self) -> AdminResponse {
        if self.is_stopping {
            response(503, "stopping")
        } else if self.is_serving {
            response(200, "serving")
        } else {
            response(503, "starting")
        }
    }

    fn enter(&mut self, id: String) -> (AdminResponse, Change) {
        if !self.known_endpoints.contains(&id) {
            return (NEVER_LISTED, Change::None);
        }
        if !self.in_maintenance.insert(id.clone()) {
            return (response(200, "out already"), Change::None);
        }
        (response(200, "out"), Change::EndpointOut(id))
    }

    fn exit(&mut self, id: String) -> (AdminResponse, Change) {
        if !self.known_endpoints.contains(&id) {
            return (NEVER_LISTED, Change::None);
        }
        if !self.in_maintenance.remove(&id) {
            return (response(200, "was not out"), Change::None);
        }
        (response(200, "back"), Change::EndpointBack(id))
    }

    /// Starts standby. A repeated call has no effect and keeps the time of the first one.
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

/// Answer to a call that names an endpoint that was never listed. Guards against misspelt ids.
const NEVER_LISTED: AdminResponse = response(404, "no endpoint of that id was listed");
