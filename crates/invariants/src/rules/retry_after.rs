//! Rule 6: a relay that received a Retry-After sends nothing over that route until it is over.

use crate::Time;
use crate::checker::InvariantChecker;
use crate::fact::seconds;
use crate::state::relay::RetryAfter;
use crate::verdict::{Finding, Rule};

/// Checks when an attempt starts against the Retry-After that binds its relay on its route. Attempts that start
/// within `grace` of receiving it were decided before.
pub(crate) fn check_attempt(binding: Option<&RetryAfter>, now: Time, grace: Time) -> Option<Finding> {
    let binding = binding?;
    if now <= binding.received_at + grace || now >= binding.until {
        return None;
    }
    let early = seconds(binding.until - now);
    Some(Finding::new(Rule::RetryAfter, format!("sent {early:.3} s before the wait there is over")))
}

impl InvariantChecker {
    /// A relay received a Retry-After from an endpoint; it binds on the endpoint's whole route.
    pub(crate) fn retry_after_received(&mut self, relay: u32, endpoint: u32, retry_after: Time) {
        let now = self.now;
        let Some(route) = self.endpoints.get(&endpoint).map(|endpoint| endpoint.route) else { return };
        if retry_after == 0 {
            return;
        }
        let bindings = &mut self.relays.entry(relay).or_default().retry_after;
        let mut binding = RetryAfter { received_at: now, until: now + retry_after };
        // Of two that overlap the one that ends later binds; what it excuses began with the first.
        if let Some(earlier) = bindings.get(&route)
            && earlier.until > now
        {
            binding.received_at = earlier.received_at;
            binding.until = binding.until.max(earlier.until);
        }
        bindings.insert(route, binding);
    }
}
