//! The one place where the six rules are enforced.

use super::timeouts::PATIENCE;
use super::{DeliveryPolicy, ms};
use crate::interface::*;
use crate::state::Breaker;
use std::time::Duration;

pub(super) const MARGIN: Duration = ms(40); // before a deadline

impl DeliveryPolicy {
    /// The one place that every send passes: the six rules are enforced here.
    pub(super) fn send(
        &mut self,
        id: MessageId,
        to: EndpointId,
        call: u64,
        out: &mut dyn Actions,
    ) -> Option<Duration> {
        let now = self.now;
        let msg = self.msgs.get(&id)?;
        let ep = self.endpoints.get(&to)?;
        let route = self.routes.get(&self.route_of(to))?;
        let row = *self.row(msg);
        let zonal =
            matches!(row.idempotency, Idempotency::WithKey { scope: DeduplicationScope::SameZone, .. });
        let same_group = !zonal || msg.may_have_run.is_none_or(|(_, zone)| zone == ep.zone);
        let one = !msg.ended && msg.deadline > now + MARGIN && msg.destination == ep.dst; // rule 1
        let two = msg.out.is_none() && self.may_go_again(msg) && same_group; // rule 2
        let four =
            route.slow_start_since.is_none() || route.cold.left > 0.0 || route.breaker != Breaker::Closed;
        let five = self.in_turn(id, msg); // rule 5
        if !(one && two && four && five && self.may_send_to(to, now)) {
            return None;
        }
        let (zone, span, left) = (ep.zone, self.timeout(to, &row, msg.late), msg.deadline - now);
        // A slow host keeps answering: an overdue leg counts at once, is cut later. Harm: late after silence.
        let patient = left.mul_f64(PATIENCE).max(span).min(left);
        let limit = if row.idempotency == Idempotency::NotIdempotent { left } else { patient };
        // Guards against a repeat behind the memory: its connection came up late, or it was held up.
        let limit = self.known(msg).map_or(limit, |left| limit.min(left.saturating_sub(MARGIN)));
        let msg = self.msgs.get_mut(&id)?;
        (msg.out, msg.legs, msg.ran) = (Some(call), msg.legs + 1, msg.ran + 1);
        msg.may_have_run = msg.may_have_run.or(Some((now, zone)));
        out.send(id, to, limit);
        Some(span)
    }

    /// Rules 3 and 6. A host asks again where a call begins late: both may have changed. The grace is not
    /// used, as discovery may have told long before its list was heard (it was down, or this process was).
    pub fn may_send_to(&self, to: EndpointId, now: Duration) -> bool {
        let Some(ep) = self.endpoints.get(&to) else { return false };
        ep.off_since.is_none() && now >= self.routes[&self.route_of(to)].retry_after_until
    }
}
