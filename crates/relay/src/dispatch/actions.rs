//! Takes the decisions of a step.

use super::event::Event;
use super::state::DispatcherState;
use crate::clients::Answer;
use crate::endpoints::{End, Stage};
use log::{debug, info};
use mountshift::interface::*;
use mountshift_handover::{RouteRecord, Snapshot};
use mountshift_spool::FinalOutcome;
use std::time::Duration;

impl Actions for DispatcherState {
    fn send(&mut self, message: MessageId, to: EndpointId, limit: Duration) {
        match self.pending_sends.iter_mut().find(|s| s.0 == to) {
            Some(send) => send.1.push((message, limit)),
            None => self.pending_sends.push((to, vec![(message, limit)])),
        }
    }

    fn reject(&mut self, message: MessageId, pause: Duration) -> bool {
        let ms = pause.as_millis() as u64;
        self.end_undelivered(message, Answer::PushedBack(ms), FinalOutcome::Rejected(ms))
    }

    fn fail(&mut self, message: MessageId) -> bool {
        self.end_undelivered(message, Answer::Failed("failed"), FinalOutcome::Failed)
    }

    fn cancel(&mut self, message: MessageId, _leg: AttemptNumber) {
        let Some((n, call)) = self.calls_in_flight.iter_mut().find(|(_, c)| c.messages.contains(&message))
        else {
            return;
        };
        call.cancelled.insert(message);
        // One message can't be taken out of a call: it would still be out on an open connection.
        if call.cancelled.is_superset(&call.messages) {
            // Guards against a call told as one that may have run, though its last byte never left.
            let ran = call.stage.get() == Stage::Written;
            let outcome = if ran { Outcome::Cancelled } else { Outcome::NotSent };
            let ends: Vec<End> = call.messages.iter().map(|message| (*message, outcome, false)).collect();
            let _ = self.events.try_send(Event::AttemptsEnded(*n, ends.into()));
            call.task = None;
        }
    }

    fn close_idle_connections(&mut self, to: EndpointId) {
        self.idle_connections.close(to);
    }

    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.idle_connections.close(endpoint);
        let name = self.endpoints.get(endpoint).map(|e| e.name.clone());
        let out = name.is_some_and(|name| self.maintenance.borrow().is_out(&name));
        if let Some(gone) = self.endpoints.forget(endpoint, out) {
            info!("endpoint {} is forgotten{}", gone.name, if out { " while out by hand" } else { "" });
        }
    }

    fn wake_after(&mut self, after: Duration) {
        let at = self.now + after;
        self.next_wake = Some(self.next_wake.map_or(at, |w| w.min(at)));
    }

    fn poll_endpoints(&mut self) {
        let _ = self.poll_requests.try_send(());
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
    }

    fn persist_routes(&mut self, routes: &[RouteSnapshot]) {
        let ms = |at: Duration| if at.is_zero() { 0 } else { self.clock.unix_ms(at).max(1) };
        let route = |c: &RouteSnapshot| RouteRecord {
            destination: c.destination.0,
            endpoint: c.endpoint.and_then(|id| Some(self.endpoints.get(id)?.name.to_string())),
            retry_after_until_ms: ms(c.retry_after_until),
            open_until_ms: c.open_until.map(ms),
            slow_start_since_ms: c.slow_start_since.map(ms),
        };
        let routes = routes.iter().map(route).collect();
        debug!("carry at {}: {routes:?}", self.clock.unix_ms(self.now));
        let now = self.clock.unix_ms(self.now);
        let snapshot = Snapshot { format: mountshift_handover::FORMAT, written_ms: now, routes };
        self.files.write_snapshot(&snapshot);
    }
}
