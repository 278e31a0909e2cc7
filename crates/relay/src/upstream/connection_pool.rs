//! The connections kept to endpoints.

use super::http1::Connection;
use mountshift::interface::*;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// An idle connection is not used for the last part of its time, a tenth or so much, but half of it at most: the
/// request has a way to go, and the other side's clock began as much earlier.
const IDLE_SPARE: u32 = 10;
const IDLE_SPARE_LEAST: Duration = Duration::from_millis(250);

/// Connections that carry no call now, those used last at the end.
pub struct Idle {
    waiting: RefCell<BTreeMap<EndpointId, VecDeque<Connection>>>,
    lasts: Duration,
    most: usize,
}

impl Idle {
    pub fn new(lasts: Duration, most: usize) -> Idle {
        let spare = (lasts / IDLE_SPARE).max(IDLE_SPARE_LEAST).min(lasts / 2);
        Idle { waiting: RefCell::default(), lasts: lasts - spare, most }
    }

    /// Guards against one that was out when its endpoint moved: what is at the old address may be another.
    pub(super) fn take(&self, to: EndpointId, at: SocketAddr) -> Option<Connection> {
        let mut waiting = self.waiting.borrow_mut();
        let queue = waiting.get_mut(&to)?;
        queue.retain_mut(|connection| self.lasting(connection) && connection.to == at);
        queue.pop_back()
    }

    pub(super) fn keep(&self, to: EndpointId, connection: Connection) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.values().map(VecDeque::len).sum::<usize>() >= self.most {
            // Guards against running out of descriptors: the one that waited longest goes.
            let oldest = waiting.iter().filter_map(|(id, q)| q.front().map(|c| (c.used, *id))).min();
            let gone = oldest.and_then(|(_, id)| waiting.get_mut(&id)).and_then(VecDeque::pop_front);
            gone.into_iter().for_each(|mut c| c.reason = "too-many");
        }
        waiting.entry(to).or_default().push_back(connection);
    }

    /// Closes the idle connections to an endpoint.
    pub fn close(&self, to: EndpointId) {
        let gone = self.waiting.borrow_mut().remove(&to);
        gone.into_iter().flatten().for_each(|mut c| c.reason = "told-to-close");
    }

    /// Lets go of what the other side closed, and of what it is about to close.
    pub fn close_old(&self) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.values_mut().for_each(|queue| queue.retain_mut(|connection| self.lasting(connection)));
        waiting.retain(|_, queue| !queue.is_empty());
    }

    /// True if an idle connection can still be used. Guards against one that was taken out for a call that was not
    /// made: it was not used, so its time runs on.
    pub(super) fn lasting(&self, connection: &mut Connection) -> bool {
        if connection.used.elapsed() >= self.lasts {
            connection.reason = "idle";
        } else if !connection.is_quiet() {
            connection.reason = "closed-while-idle";
        } else {
            return true;
        }
        false
    }
}
