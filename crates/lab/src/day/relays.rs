//! Relays: their rounds, what they do, their starts and deaths.

use super::clients::{Client, Msg};
use super::events::Event;
use super::trace::end_name;
use super::{Day, Seen};
use crate::Time;
use crate::chance::What;
use crate::host::{Act, Relay};
use crate::policy::{TrueState, Truth};
use crate::servers::Server;
use crate::tally::Tally;
use mountshift::interface::Outcome;
use mountshift_invariants::{End, Fact};
use rayon::prelude::*;

/// A notice is answered after this span.
const NOTICE: Time = 1_000;

/// Relays from which rounds are played in parallel.
const PARALLEL: usize = 8;

impl Day<'_> {
    pub(super) fn rounds(&mut self) {
        let now = self.now;
        if self.play.which.sees_all() {
            self.see_all();
            for me in 0..self.relays.len() {
                if self.relays[me].due(now) {
                    let mut truth = std::mem::take(&mut self.truth);
                    self.relays[me].round(now, Some(&mut truth));
                    self.truth = truth;
                    self.carry_out(me as u32, usize::MAX);
                }
            }
            return;
        }
        let mut due: Vec<&mut Relay> = self.relays.iter_mut().filter(|r| r.due(now)).collect();
        if due.len() >= PARALLEL {
            due.par_iter_mut().for_each(|r| r.round(now, None));
        } else {
            due.iter_mut().for_each(|r| r.round(now, None));
        }
        for me in 0..self.relays.len() {
            if self.relays[me].last_round == now {
                self.carry_out(me as u32, usize::MAX);
            }
        }
    }

    pub(super) fn see_all(&mut self) {
        let (now, world) = (self.now, &self.world);
        let routes: Vec<f64> = self.routes.iter_mut().map(|r| r.room(now, world)).collect();
        let state = |s: &Server| {
            // Who is reached is whoever has the address now.
            let mut s = s;
            while let Some(next) = s.successor {
                s = &self.servers[next as usize];
            }
            let route = &self.routes[s.route as usize];
            let well = !s.gone && !s.state.out() && !route.fallen && s.state.frozen_until <= now;
            let room = f64::from(s.workers) * route.share(now, world).max(0.05)
                - f64::from(s.busy)
                - s.queue.len() as f64;
            TrueState { well, route: s.route, room: room + 1.0, stale: s.state.stale > 0.0 }
        };
        let endpoints = self.servers.iter().map(state).collect();
        self.truth = Truth { endpoints, routes };
    }

    pub(super) fn start(&mut self, me: u32) {
        let which = self.play.which;
        if which.sees_all() {
            self.see_all();
        }
        let mut truth = std::mem::take(&mut self.truth);
        let seen = which.sees_all().then_some(&mut truth);
        self.relays[me as usize].start(&self.world, &*self.make, self.now, seen);
        self.truth = truth;
        self.carry_out(me, usize::MAX);
    }

    /// Carries out what a relay did; of its calls and answers only the first `most`, if it dies meanwhile.
    pub(super) fn carry_out(&mut self, me: u32, most: usize) {
        let mut done = 0;
        let mut seen_to_go = true;
        for act in self.relays[me as usize].acts() {
            let outward = matches!(act, Act::Call { .. } | Act::Answer { .. } | Act::Notice { .. });
            done += usize::from(outward);
            if outward && done > most {
                seen_to_go = false;
            }
            match act {
                // What was learnt was learnt; what went out counts only if it went.
                Act::Fact(fact @ (Fact::LegEnded { .. } | Fact::WaitTold { .. })) => {
                    if let Fact::LegEnded { end, .. } = fact {
                        *self.tally.ends.entry(end_name(end)).or_default() += 1;
                    }
                    self.fact(fact);
                }
                Act::Fact(Fact::Leg { msg, call, relay, to }) => {
                    if most == usize::MAX || done < most {
                        self.legs += 1;
                        Tally::count(&mut self.tally.legs, self.now, 1.0);
                        self.fact(Fact::Leg { msg, call, relay, to });
                    }
                }
                Act::Fact(fact) => {
                    if most == usize::MAX || done < most {
                        self.fact(fact);
                    }
                }
                _ if !seen_to_go => {}
                Act::Call { call, to, legs, limit } => self.call(me, call, to, legs, limit),
                Act::Answer { msg, end } => self.heard(msg, end),
                Act::Notice { msg, end } => self.notice(msg, end),
                Act::Close { call } => self.close(call, Outcome::Cancelled),
                Act::CloseIdle { endpoint } => self.close_idle(me, endpoint),
                Act::Watch => self.ask(me),
                Act::Log(line) => {
                    if let Some(watch) = self.watch.as_mut() {
                        watch(self.now, Seen::Log(me, &line));
                    }
                    self.tally.log(&self.world, me, self.now, &line);
                }
            }
        }
    }

    pub(super) fn notice(&mut self, msg: u64, end: End) {
        // The platform passes it on at once; its answer takes a while.
        self.at(self.now + NOTICE, Event::Noticed(msg));
        self.ended(msg, end);
    }

    pub(super) fn kill(&mut self, me: u32, strike: usize) {
        if !self.relays[me as usize].up {
            return;
        }
        // At what point of its work it dies: before a round, behind the spool's write, in the middle of the
        // writes to the sockets.
        let point = self.world.chance.of(What::Kill, 3, strike as u64, u64::from(me));
        if point > 0 && self.relays[me as usize].stalled_until <= self.now && !self.play.which.sees_all() {
            let now = self.now;
            self.relays[me as usize].round(now, None);
            let most = if point == 1 { 0 } else { 2 };
            self.carry_out(me, most);
        }
        self.relays[me as usize].kill();
        self.fact(Fact::RelayDown { relay: me });
        let mut mine: Vec<u64> = self.calls.iter().filter(|(_, c)| c.relay == me).map(|(n, _)| *n).collect();
        mine.sort_unstable();
        for call in mine {
            self.hang_up(call);
        }
        let mut pools: Vec<(u32, u32)> = self.idle.keys().filter(|k| k.0 == me).copied().collect();
        pools.sort_unstable();
        for (_, endpoint) in pools {
            self.close_idle(me, endpoint);
        }
        let waits = |m: &Msg| m.relay == me && m.client == Client::Waits;
        let mut waiting: Vec<u64> = self.msgs.iter().filter(|(_, m)| waits(m)).map(|(n, _)| *n).collect();
        waiting.sort_unstable();
        for msg in waiting {
            self.patience(msg);
        }
    }
}
