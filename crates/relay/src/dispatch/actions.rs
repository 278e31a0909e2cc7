//! Receives the actions that the policy decides in a step. Those that need the spool first are collected and executed
//! at the end of the step.

use super::event::Event;
use super::state::{DispatcherState, PendingAttempt, PendingSends};
use crate::clients::{SubmissionError, SubmissionReply};
use crate::upstream::{CallResult, CallStage};
use log::{debug, info};
use mountshift::interface::*;
use mountshift_handover::RouteRecord;
use mountshift_spool::FinalOutcome;
use std::time::Duration;

impl Actions for DispatcherState {
    fn send(&mut self, message: MessageId, endpoint: EndpointId, timeout: Duration) {
        let attempt = PendingAttempt { message, timeout, needs_record: true };
        match self.pending_sends.iter_mut().find(|sends| sends.endpoint == endpoint) {
            Some(sends) => sends.attempts.push(attempt),
            None => self.pending_sends.push(PendingSends { endpoint, attempts: vec![attempt] }),
        }
    }

    fn reject(&mut self, message: MessageId, retry_after: Duration) -> bool {
        let retry_after_ms = retry_after.as_millis() as u64;
        let outcome = FinalOutcome::Rejected(retry_after_ms);
        self.end_undelivered(message, SubmissionReply::Rejected { retry_after_ms }, outcome)
    }

    fn fail(&mut self, message: MessageId) -> bool {
        self.end_undelivered(
            message,
            SubmissionReply::Failed(SubmissionError::Undeliverable),
            FinalOutcome::Failed,
        )
    }

    /// Cancels the call once all its messages are cancelled: a single message can't be removed from a call, as it would
    /// still be in flight on the open connection.
    fn cancel(&mut self, message: MessageId, _attempt: AttemptNumber) {
        let mut calls = self.calls_in_flight.iter_mut();
        let Some((number, call)) = calls.find(|(_, call)| call.messages.contains(&message)) else { return };
        call.cancelled.insert(message);
        if !call.cancelled.is_superset(&call.messages) {
            return;
        }
        // A call that was not written to its last byte can't have run.
        let (outcome, end) = if call.stage.get() == CallStage::Written {
            (Outcome::Cancelled, CallEnd::Interrupted)
        } else {
            (Outcome::NotSent, CallEnd::NotWritten)
        };
        let results = CallResult::uniform(call.messages.iter().copied(), outcome, end, false);
        let _ = self.events.try_send(Event::AttemptsEnded { call: *number, results });
        call.task = None;
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.idle_connections.close_endpoint(endpoint);
    }

    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.idle_connections.close_endpoint(endpoint);
        let name = self.endpoints.get(endpoint).map(|known| known.name.clone());
        let in_maintenance = name.is_some_and(|name| self.maintenance.borrow().is_in_maintenance(&name));
        if let Some(forgotten) = self.endpoints.forget(endpoint, in_maintenance) {
            let suffix = if in_maintenance { " while in maintenance" } else { "" };
            info!("endpoint {} is forgotten{suffix}", forgotten.name);
        }
    }

    fn wake_after(&mut self, delay: Duration) {
        let wake = self.now + delay;
        self.next_wake = Some(self.next_wake.map_or(wake, |earlier| earlier.min(wake)));
    }

    fn poll_endpoints(&mut self) {
        let _ = self.poll_requests.try_send(());
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }

    fn persist_routes(&mut self, routes: &[RouteSnapshot]) {
        let now_ms = self.clock.unix_ms(self.now);
        let routes: Vec<RouteRecord> = routes.iter().map(|route| self.route_record(route)).collect();
        debug!("storing route snapshot at {now_ms} ms Unix time: {routes:?}");
        self.files.write_snapshot(now_ms, routes);
    }
}

impl DispatcherState {
    /// Converts a route for the snapshot: with endpoint names and Unix times, which the next process can interpret.
    fn route_record(&self, route: &RouteSnapshot) -> RouteRecord {
        // Zero means "none" or "due now", so any other time is at least 1.
        let unix_ms = |at: Duration| if at.is_zero() { 0 } else { self.clock.unix_ms(at).max(1) };
        let endpoint = route.endpoint.and_then(|id| self.endpoints.get(id));
        RouteRecord {
            destination: route.destination.0,
            endpoint: endpoint.map(|known| known.name.to_string()),
            retry_after_until_ms: unix_ms(route.retry_after_until),
            open_until_ms: route.open_until.map(unix_ms),
            slow_start_since_ms: route.slow_start_since.map(unix_ms),
        }
    }
}
