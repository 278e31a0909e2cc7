//! Idle connections: when they are closed rather than used again.

use crate::interface::Actions;
use crate::state::State;
use std::time::Duration;

/// An endpoint not used for so long has idle connections: calls in one burst share theirs.
pub(super) const IDLE_AFTER: Duration = Duration::from_secs(1);
/// Seconds over which the results of calls on idle connections count: few calls go on them.
pub(crate) const IDLE_RESULT_SECONDS: usize = 30;
/// So many of them reset or unanswered: one alone may be the host's restart, ...
const STALE_RESULTS: f64 = 2.0;
/// ... and this share of all, from which on idle connections are not trusted.
const STALE_SHARE: f64 = 0.15;
/// More relays than this: their idle connections alone fill an endpoint's connection table, ...
const FLEET_FILLS_TABLE: u32 = 16;
/// ... unless so many calls in a row found a connection at endpoints of the kind.
const CONNECTED_CALLS: u32 = 50;

/// Closes connections that may have died idle, and in a large fleet those that fill connection tables. Costs
/// handshakes.
pub(super) fn close_idle_connections(state: &mut State, out: &mut dyn Actions) {
    let results = state.idle_results.totals(state.now);
    let are_stale = results.sum >= STALE_RESULTS && results.sum >= STALE_SHARE * results.count;
    let may_fill_table = state.settings.relay_count > FLEET_FILLS_TABLE;
    for id in std::mem::take(&mut state.review_idle) {
        let Some(endpoint) = state.endpoints.get_mut(id) else { continue };
        // A rejection tells too late in a large fleet: those who keep their connections are not rejected.
        let connected = state.connected_in_a_row.get(&endpoint.kind).copied().unwrap_or(0);
        let fills_table = may_fill_table && connected < CONNECTED_CALLS;
        if endpoint.keeps_connections() && (are_stale || fills_table) {
            endpoint.last_used_at = Duration::ZERO;
            out.close_idle_connections(id);
        }
    }
}
