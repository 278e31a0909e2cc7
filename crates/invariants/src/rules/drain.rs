//! Rule 3: nothing is sent to an endpoint that is draining or removed once the grace is over, nor to one that the
//! list never told of or that belongs to another destination.

use crate::fact::seconds;
use crate::state::endpoint::Endpoint;
use crate::state::relay::Listing;
use crate::verdict::{Finding, Rule};
use crate::{ListedStatus, Time};

/// Checks where an attempt goes. `endpoint` and `listing` are what is known of endpoint number `number`.
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
        let reason = format!("sent to endpoint {number}, told as {status} {since:.3} s before");
        return Some(Finding::new(Rule::Drain, reason));
    }
    None
}
