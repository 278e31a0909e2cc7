//! Clients: what they hand in, hear and hand in again.

use super::Day;
use super::events::Event;
use crate::Time;
use crate::chance::What;
use crate::host::Came;
use crate::tally::Tally;
use mountshift_invariants::{End, Fact};

/// A client that finds a dead relay tries the next one after this span.
const REFUSED: Time = 50_000;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Client {
    Waits,
    Heard,
    GaveUp,
}

pub(super) struct Msg {
    pub(super) request: u32,
    pub(super) relay: u32,
    pub(super) client: Client,
    /// It took effect under this id.
    pub(super) ran: bool,
    /// Its end is owed or taken, or nobody waits for one: its late effects are counted, nothing else.
    pub(super) past: bool,
}

#[derive(Clone, Copy, Default)]
pub(super) struct Wish {
    pub(super) delivered: bool,
    /// Ids under which it took effect.
    pub(super) effects: u32,
    pub(super) tries: u32,
}

impl Day<'_> {
    pub(super) fn hand_in(&mut self, n: u32) {
        let r = self.requests[n as usize];
        let deadline = r.at + self.world.scenario.lanes[usize::from(r.lane)].deadline.as_ref().us();
        if self.now >= deadline || self.wishes[n as usize].delivered {
            return;
        }
        let tries = self.wishes[n as usize].tries;
        self.wishes[n as usize].tries += 1;
        // Messages of a key come to one relay while it runs; others to any.
        let who = if r.key != 0 { r.key } else { u64::from(n) << 20 | u64::from(tries) };
        let all = self.relays.len();
        let first = self.world.chance.of(What::Front, all, who, 0);
        let Some(relay) = (0..all).map(|i| (first + i) % all).find(|i| self.relays[*i].up) else {
            self.at(self.now + REFUSED, Event::Submission(n));
            return;
        };
        let (msg, relay) = (self.next_msg, relay as u32);
        self.next_msg += 1;
        self.msgs.insert(msg, Msg { request: n, relay, client: Client::Waits, ran: false, past: false });
        self.live += 1;
        Tally::count(&mut self.tally.messages, self.now, 1.0);
        let (lane, tenant, dst, key) = (r.lane, r.tenant, r.dst, r.key);
        self.fact(Fact::HandedIn { msg, request: u64::from(n), relay, lane, dst, key, deadline });
        let host = &mut self.relays[relay as usize];
        host.inbox.push(Came::Message { msg, lane, tenant, dst, key, deadline });
        if host.stalled_until > self.now {
            self.at(self.now + self.world.scenario.clients.patience.us(), Event::Patience(msg));
        }
    }

    /// A client that has heard nothing hands its message in elsewhere.
    pub(super) fn patience(&mut self, msg: u64) {
        let Some(m) = self.msgs.get_mut(&msg).filter(|m| m.client == Client::Waits) else { return };
        m.client = Client::GaveUp;
        let request = m.request;
        self.fact(Fact::Disowned { msg });
        self.pass(msg);
        self.at(self.now + REFUSED, Event::Submission(request));
    }

    /// Nothing more is owed under this id.
    pub(super) fn pass(&mut self, msg: u64) {
        if let Some(m) = self.msgs.get_mut(&msg).filter(|m| !m.past) {
            m.past = true;
            self.live -= 1;
        }
    }

    /// The client heard what became of its message.
    pub(super) fn heard(&mut self, msg: u64, end: Option<End>) {
        let Some(m) = self.msgs.get_mut(&msg) else { return };
        if m.client == Client::GaveUp {
            if end.is_none() {
                let relay = m.relay;
                self.relays[relay as usize].inbox.push(Came::Gone(msg));
            }
            return;
        }
        m.client = Client::Heard;
        match end {
            None => self.fact(Fact::Taken { msg }),
            Some(end) => {
                self.fact(Fact::EndTaken { msg });
                self.ended(msg, end);
            }
        }
    }

    /// A message ended undelivered: its client may come again.
    pub(super) fn ended(&mut self, msg: u64, end: End) {
        let Some(request) = self.msgs.get(&msg).filter(|m| !m.past).map(|m| m.request) else { return };
        self.pass(msg);
        let clients = &self.world.scenario.clients;
        match end {
            End::Failed => self.tally.failed += 1,
            End::PushedBack(pause) => {
                self.tally.pushed_back += 1;
                let comes = self.world.chance.part(What::Again, u64::from(request), msg) < clients.again.0;
                let pause = if pause > 0 { pause } else { clients.pause.us() };
                let pause = pause.min(self.world.scenario.rules.max_pause.us()).max(1_000);
                if comes {
                    self.at(self.now + pause, Event::Submission(request));
                }
            }
        }
    }

    pub(super) fn noticed(&mut self, msg: u64) {
        let Some(m) = self.msgs.get(&msg) else { return };
        let relay = m.relay as usize;
        self.fact(Fact::EndTaken { msg });
        self.relays[relay].inbox.push(Came::Noticed(msg));
    }
}
