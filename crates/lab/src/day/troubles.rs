//! The script of troubles: what begins and ends, and what that does to endpoints, relays and the list.

use super::Day;
use super::events::Event;
use crate::Time;
use crate::host::RelayEvent;
use crate::world::ScheduledTrouble;
use mountshift::interface::EndpointStatus;
use mountshift_invariants::Fact;
use mountshift_scenario::TroubleKind;

impl Day<'_> {
    /// A trouble of the script begins or ends.
    pub(super) fn change_trouble(&mut self, trouble_id: usize, begins: bool) {
        let trouble = self.world.troubles[trouble_id].clone();
        match trouble.kind {
            TroubleKind::Kill | TroubleKind::Waves => self.change_kill(trouble_id, &trouble, begins),
            TroubleKind::Stall if begins => self.begin_stall(&trouble),
            TroubleKind::Stall => {}
            TroubleKind::Cut => self.change_partition(trouble_id, begins),
            TroubleKind::ClockStep => self.change_clock_step(&trouble, begins),
            TroubleKind::WatchLost | TroubleKind::ListLate => {
                self.change_discovery_trouble(&trouble, begins);
            }
            TroubleKind::ListWrong => self.change_wrong_list(&trouble, begins),
            TroubleKind::Drain | TroubleKind::Replace | TroubleKind::Readdress => {
                if begins {
                    self.begin_replacements(trouble_id, &trouble);
                } else {
                    self.end_replacements(trouble_id, trouble.kind);
                }
            }
            TroubleKind::ThrottleCount
            | TroubleKind::ThrottleRate
            | TroubleKind::ThrottleLies
            | TroubleKind::ThrottleSpends => self.change_throttle(trouble_id, &trouble, begins),
            _ => {
                for endpoint in trouble.endpoints {
                    self.change_endpoint_trouble(endpoint, trouble_id, begins);
                }
            }
        }
    }

    fn change_kill(&mut self, trouble_id: usize, trouble: &ScheduledTrouble, begins: bool) {
        for relay in trouble.relays.iter().copied() {
            if begins {
                self.kill_relay(relay, trouble_id);
            } else if !self.relays[relay as usize].up {
                self.start_relay(relay);
            }
        }
    }

    fn begin_stall(&mut self, trouble: &ScheduledTrouble) {
        for relay in trouble.relays.iter().copied() {
            self.record(Fact::RelayStalled { relay, until: trouble.ends });
            self.stall_relay(relay, trouble.ends);
        }
    }

    /// A relay stands still; clients whose messages it has not read yet wait no longer than their patience.
    fn stall_relay(&mut self, relay: u32, until: Time) {
        let host = &mut self.relays[relay as usize];
        host.stalled_until = host.stalled_until.max(until);
        let unread = host.inbox.iter().filter_map(|came| match came {
            RelayEvent::Submitted { message, .. } => Some(*message),
            _ => None,
        });
        let unread: Vec<u64> = unread.collect();
        let timeout = self.now + self.world.scenario.clients.submit_timeout.us();
        for message in unread {
            self.schedule(timeout, Event::ClientTimeout { message });
        }
    }

    fn change_partition(&mut self, trouble_id: usize, begins: bool) {
        self.partitions.retain(|active| *active != trouble_id);
        if begins {
            self.partitions.push(trouble_id);
        }
    }

    fn change_clock_step(&mut self, trouble: &ScheduledTrouble, begins: bool) {
        let step = (trouble.level * 1e6) as i64;
        for relay in &trouble.relays {
            self.relays[*relay as usize].step_clock(if begins { step } else { -step });
        }
    }

    fn change_discovery_trouble(&mut self, trouble: &ScheduledTrouble, begins: bool) {
        if !begins {
            self.discovery_troubles -= 1;
            return;
        }
        self.discovery_troubles += 1;
        if trouble.kind == TroubleKind::WatchLost && self.world.scenario.relays.watch {
            for relay in &trouble.relays {
                self.relays[*relay as usize].inbox.push(RelayEvent::PollFailed);
            }
        }
    }

    fn change_wrong_list(&mut self, trouble: &ScheduledTrouble, begins: bool) {
        let status = if begins { EndpointStatus::Removed } else { EndpointStatus::Ready };
        for endpoint in trouble.endpoints.iter().copied() {
            self.publish(endpoint, status);
        }
    }

    fn change_throttle(&mut self, trouble_id: usize, trouble: &ScheduledTrouble, begins: bool) {
        let routes = trouble.endpoints.iter().map(|endpoint| self.servers[*endpoint as usize].setup.route);
        let mut routes: Vec<u32> = routes.collect();
        routes.dedup();
        for route_id in routes {
            let route = &mut self.routes[route_id as usize];
            let group = self.servers[route.endpoints[0] as usize].setup.group;
            let rate = self.world.scenario.groups[group].rate.0;
            route.change_trouble_limit(trouble_id, trouble, rate, begins, self.now);
        }
    }
}
