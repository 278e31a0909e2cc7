//! Tells the decisions what earlier processes of the relay left.

use super::state::DispatcherState;
use crate::clients::told;
use log::{debug, info};
use mountshift::interface::*;
use mountshift_handover::Snapshot;
use mountshift_spool::FinalOutcome;
use std::time::Duration;

impl DispatcherState {
    /// Tells what an earlier process of the relay left (rules 4 and 6 run on over an upgrade).
    pub(super) fn restore_routes(&mut self, snapshot: Snapshot, inputs: &mut Vec<Input>) {
        let snapshot = snapshot.binding(self.clock.unix_ms(self.now));
        debug!("carried at {}: {}", self.clock.unix_ms(self.now), snapshot.written());
        let at = |ms: u64| {
            if ms == 0 { Duration::ZERO } else { self.clock.at_unix_ms(ms).max(Duration::from_millis(1)) }
        };
        let mut carried = Vec::new();
        for route in snapshot.routes {
            let endpoint = match &route.endpoint {
                None => None,
                Some(name) => match self.endpoints.id_of(name) {
                    Some(id) => Some(id),
                    None => continue,
                },
            };
            carried.push(RouteSnapshot {
                destination: DestinationId(route.destination),
                endpoint,
                retry_after_until: at(route.retry_after_until_ms),
                open_until: route.open_until_ms.map(at),
                slow_start_since: route.slow_start_since_ms.map(at),
            });
        }
        info!("carries {} routes over from the process before", carried.len());
        inputs.push(Input::RoutesRestored(carried));
    }

    /// Tells of everything that the spool holds from before.
    pub(super) fn restore_spool(&mut self, inputs: &mut Vec<Input>) {
        let kept: Vec<_> =
            self.spool.borrow().messages().iter().map(|(n, k)| (MessageId(*n), k.clone())).collect();
        for (message, kept) in kept {
            self.message_by_id.insert(kept.accepted.id.clone(), message);
            let deadline = self.clock.at_unix_ms(kept.accepted.deadline);
            let told = told(&kept.accepted.metadata).ok();
            let submission = told.and_then(|told| self.submission(&told, kept.accepted.key, deadline));
            // A class that the settings no longer hold: nobody could decide on it.
            let owed =
                kept.pending_outcome.or(if submission.is_none() { Some(FinalOutcome::Failed) } else { None });
            owed.into_iter().for_each(|end| self.notify(message, end));
            let Some(submission) = submission.map(|h| Submission { restored: true, ..h }) else { continue };
            inputs.push(Input::Submitted { message, submission });
            if owed.is_some() {
                // Its end is not taken yet: it still holds back the rest of its key.
                inputs.push(Input::FinalAnswerPending(message));
            }
            for leg in kept.attempts {
                let (zone, at) = (self.endpoints.zone(&leg.zone), self.clock.at_unix_ms(leg.at));
                inputs.push(Input::EarlierAttempt { message, zone, at, may_have_run: leg.may_have_run });
            }
        }
    }
}
