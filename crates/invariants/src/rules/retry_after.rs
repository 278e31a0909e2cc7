//! Rule 6: a relay that received a Retry-After sends nothing over that route until it expires.

use crate::Time;
use crate::checker::InvariantChecker;
use crate::fact::seconds;
use crate::state::relay::RetryAfter;
use crate::verdict::{Finding, Rule};

/// Checks the start of an attempt against the active Retry-After of its relay and route. Attempts that start
/// within `grace` after its receipt were decided before it arrived.
pub(crate) fn check_attempt(active: Option<&RetryAfter>, now: Time, grace: Time) -> Option<Finding> {
    let active = active?;
    if now <= active.received_at + grace || now >= active.until {
        return None;
    }
    let early = seconds(active.until - now);
    Some(Finding::new(Rule::RetryAfter, format!("sent {early:.3} s before the Retry-After expires")))
}

impl InvariantChecker {
    /// Records a Retry-After that a relay received from an endpoint; it applies to the endpoint's whole route.
    pub(crate) fn record_retry_after(&mut self, relay: u32, endpoint: u32, retry_after: Time) {
        let now = self.now;
        let Some(route) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route) else { return };
        if retry_after == 0 {
            return;
        }
        let by_route = &mut self.relays.entry(relay).or_default().retry_after;
        let mut active = RetryAfter { received_at: now, until: now + retry_after };
        // Of two that overlap the later end applies; the grace counts from the first.
        if let Some(earlier) = by_route.get(&route)
            && earlier.until > now
        {
            active.received_at = earlier.received_at;
            active.until = active.until.max(earlier.until);
        }
        by_route.insert(route, active);
    }
}
