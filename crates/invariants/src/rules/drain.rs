//! Rule 3: nothing is sent to an endpoint that has been draining, removed or out of service for longer than the drain
//! grace, to one that was never listed, or to one of another destination.

use crate::fact::seconds;
use crate::state::endpoint::Endpoint;
use crate::state::relay::Listing;
use crate::verdict::{Finding, Rule};
use crate::{ListedStatus, Time};

/// Checks the endpoint of an attempt. `endpoint` and `listing` belong to endpoint number `number`.
pub(crate) fn check_attempt(
    number: u32,
    endpoint: Option<&Endpoint>,
    listing: Option<&Listing>,
    destination: u32,
    now: Time,
    drain_grace: Time,
) -> Option<Finding> {
    let (Some(endpoint), Some(listing)) = (endpoint, listing) else {
        let reason = format!("sent to endpoint {number}, which was never listed");
        return Some(Finding::new(Rule::Drain, reason));
    };
    if endpoint.destination != destination {
        let reason = format!("sent to endpoint {number} of destination {}", endpoint.destination);
        return Some(Finding::new(Rule::Drain, reason));
    }
    if listing.status != ListedStatus::Ready && now > listing.since + drain_grace {
        let (status, since) = (listing.status, seconds(now - listing.since));
        let reason = format!("sent to endpoint {number}, listed as {status} for {since:.3} s");
        return Some(Finding::new(Rule::Drain, reason));
    }
    None
}

/// Checks an attempt at an endpoint that an operator took out of service at `taken_out_at`.
pub(crate) fn check_out_of_service(
    number: u32,
    taken_out_at: Time,
    now: Time,
    drain_grace: Time,
) -> Option<Finding> {
    if now <= taken_out_at + drain_grace {
        return None;
    }
    let since = seconds(now - taken_out_at);
    Some(Finding::new(Rule::Drain, format!("sent to endpoint {number}, out of service for {since:.3} s")))
}
