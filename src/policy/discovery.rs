//! Endpoint discovery: applies list updates, schedules polls and removes endpoints that are no longer needed.

use super::{concurrency::CONCURRENCY_LIMIT_INITIAL, pacing};
use crate::interface::*;
use crate::state::{Endpoint, State};
use mountshift_discovery::{PollFailure, PollSchedule};
use std::time::Duration;

/// Maximum wait for discovery before a possibly stale list is used; discovery responds sooner or is down.
const LIST_REFRESH_TIMEOUT: Duration = Duration::from_millis(500);

pub(super) fn update_endpoint(state: &mut State, listed: ListedEndpoint) {
    let new = Endpoint::new(&listed, state.route_id(&listed), CONCURRENCY_LIMIT_INITIAL);
    state.endpoints.update(listed.endpoint, new, listed.status, state.now);
    let rate = if listed.rate.is_finite() { listed.rate.max(0.0) } else { 0.0 };
    let is_rate_listed = rate > 0.0 && state.settings.listed_rate != ListedRate::Unknown;
    let new_route = pacing::new_route(state, rate, listed.kind);
    let route = state.routes.get_or_insert(state.endpoints[listed.endpoint].route, new_route);
    if is_rate_listed {
        route.rate_limit = rate;
    }
}

/// Rule 3: the list held at a start may be stale, as discovery may have reported a drain while no process
/// ran. Nothing is sent until discovery responds, which delays a start while discovery is down.
pub(super) fn await_list_refresh(state: &mut State) {
    state.list_awaited_until = Some(state.now + LIST_REFRESH_TIMEOUT);
}

pub(super) fn schedule_first_poll(state: &mut State) {
    let delay = poll_schedule(state).initial_delay(state.jitter.draw(0));
    state.poll_at = state.settings.requires_polling.then_some(delay);
}

pub(super) fn record_poll_failure(state: &mut State, failure: PollFailure) {
    state.poll_failures += 1;
    let jitter = state.jitter.draw(0);
    let delay = poll_schedule(state).retry_delay(state.poll_failures, failure, jitter);
    state.poll_at = state.settings.requires_polling.then_some(state.now + delay);
}

pub(super) fn poll_if_due(state: &mut State, out: &mut dyn Actions) {
    if state.poll_at.is_some_and(|at| at <= state.now) {
        state.poll_at = None;
        out.poll_endpoints();
    }
}

fn poll_schedule(state: &State) -> PollSchedule {
    PollSchedule { relay_count: state.settings.relay_count, poll_interval: state.settings.poll_interval }
}

/// Forgets unavailable endpoints that no rule needs any more; otherwise the tables would grow without limit.
pub(super) fn forget_unused_endpoints(state: &mut State, out: &mut dyn Actions) {
    for id in state.endpoints.unused(state.now, state.settings.drain_grace) {
        let route_id = state.endpoints[id].route;
        let route = state.routes.get(route_id).filter(|_| state.endpoints.is_last_of_route(route_id));
        if !route.is_some_and(|route| route.must_be_kept(state.now, state.settings.slow_start_duration)) {
            state.forget(id);
            out.forget_endpoint(id);
        }
    }
}
