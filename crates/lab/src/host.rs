//! A relay of the model: gathers what came into rounds, is the writer of the decisions, keeps a spool in step,
//! and starts again from it, in the way of the relay on sockets.

use crate::Time;
use crate::policy::{Policy, Truth};
use crate::world::World;
use mountshift::interface::*;
use mountshift_invariants::{AttemptOutcome, Fact, FinalAnswer, ListedStatus};
use std::collections::BTreeMap;
use std::time::Duration;

/// Where Unix time stands when a day begins, in microseconds; clocks that step don't fall below zero.
const UNIX: i64 = 1_000_000_000_000;

/// What came for a relay.
#[derive(Clone, Debug)]
pub(crate) enum Came {
    Message {
        msg: u64,
        lane: u16,
        tenant: u32,
        dst: u32,
        key: u64,
        deadline: Time,
    },
    /// Its client did not hear that it was taken.
    Gone(u64),
    Ended {
        call: u64,
        ends: Vec<(u64, Outcome, bool)>,
        wait: Time,
    },
    Whole,
    Listed {
        endpoint: u32,
        says: EndpointStatus,
    },
    WatchFailed,
    Noticed(u64),
}

/// What a relay does.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    Fact(Fact),
    Call {
        call: u64,
        to: u32,
        legs: Vec<u64>,
        limit: Time,
    },
    /// To a client that waits: taken, or its end.
    Answer {
        msg: u64,
        end: Option<FinalAnswer>,
    },
    Notice {
        msg: u64,
        end: FinalAnswer,
    },
    Close {
        call: u64,
    },
    CloseIdle {
        endpoint: u32,
    },
    Watch,
    Log(String),
}

/// A message as the spool keeps it; times are Unix times.
#[derive(Clone, Debug)]
struct Kept {
    hand_in: Submission,
    deadline: i64,
    legs: Vec<(ZoneId, i64, bool)>,
    owed: Option<FinalAnswer>,
}

struct Out {
    to: u32,
    sent: Time,
    legs: Vec<u64>,
    recalled: Vec<u64>,
}

/// What the list told of an endpoint.
#[derive(Clone, Copy)]
struct Entry {
    says: EndpointStatus,
    dst: u32,
    zone: u8,
    kind: u16,
    rate: f64,
}

/// The clock of the decisions: spans since a start that lies before every leg in the spool.
#[derive(Clone, Copy, Default)]
struct Clock {
    start: Time,
    unix: i64,
    lead: i64,
}

impl Clock {
    fn at(&self, now: Time) -> Duration {
        Duration::from_micros(now.saturating_sub(self.start) + self.lead as u64)
    }

    fn at_unix(&self, unix: i64) -> Duration {
        Duration::from_micros((unix + self.lead - self.unix).max(0) as u64)
    }
}

struct Desk {
    me: u32,
    now: Time,
    clock: Clock,
    /// How far the clock has been stepped.
    step: i64,
    batches: Vec<usize>,
    held_most: usize,
    spool: BTreeMap<u64, Kept>,
    listed: BTreeMap<u32, Entry>,
    asking: Vec<u64>,
    sends: Vec<(u32, Vec<(u64, Time)>)>,
    calls: BTreeMap<u64, Out>,
    count: u64,
    wake: Option<Time>,
    acts: Vec<Act>,
    keep_log: bool,
}

pub(crate) struct Relay {
    policy: Option<Box<dyn Policy>>,
    desk: Desk,
    pub inbox: Vec<Came>,
    inputs: Vec<Input>,
    pub last_round: Time,
    pub up: bool,
    /// Its process has a watch that stands.
    pub watching: bool,
    pub stalled_until: Time,
    starts: u64,
}

impl Actions for Desk {
    fn send(&mut self, msg: MessageId, to: EndpointId, limit: Duration) {
        let (to, limit) = (to.0 as u32 - 1, limit.as_micros() as u64);
        match self.sends.iter_mut().find(|s| s.0 == to) {
            Some(send) => send.1.push((msg.0, limit)),
            None => self.sends.push((to, vec![(msg.0, limit)])),
        }
    }

    fn reject(&mut self, msg: MessageId, pause: Duration) -> bool {
        self.end(msg.0, FinalAnswer::Rejected { retry_after: pause.as_micros() as u64 })
    }

    fn fail(&mut self, msg: MessageId) -> bool {
        self.end(msg.0, FinalAnswer::Failed)
    }

    fn cancel(&mut self, msg: MessageId, _leg: AttemptNumber) {
        let Some((n, call)) = self.calls.iter_mut().find(|(_, c)| c.legs.contains(&msg.0)) else { return };
        call.recalled.push(msg.0);
        // One message can't be taken out of a call: it would still be out on an open connection.
        if call.legs.iter().all(|leg| call.recalled.contains(leg)) {
            self.acts.push(Act::Close { call: *n });
        }
    }

    fn close_idle_connections(&mut self, to: EndpointId) {
        self.acts.push(Act::CloseIdle { endpoint: to.0 as u32 - 1 });
    }

    fn forget_endpoint(&mut self, endpoint: EndpointId) {
        self.listed.remove(&(endpoint.0 as u32 - 1));
        self.acts.push(Act::CloseIdle { endpoint: endpoint.0 as u32 - 1 });
    }

    fn wake_after(&mut self, after: Duration) {
        let at = self.now + after.as_micros() as u64;
        self.wake = Some(self.wake.map_or(at, |w| w.min(at)));
    }

    fn poll_endpoints(&mut self) {
        self.acts.push(Act::Watch);
    }

    fn log(&mut self, line: &str) {
        if self.keep_log {
            self.acts.push(Act::Log(line.to_string()));
        }
    }
}

impl Desk {
    fn unix(&self, now: Time) -> i64 {
        UNIX + now as i64 + self.step
    }

    /// An end that is no delivery: the answer to a client that waits, else a notice. True if it is taken.
    fn end(&mut self, msg: u64, end: FinalAnswer) -> bool {
        self.acts.push(Act::Fact(Fact::FinalAnswerGiven { message: msg, relay: self.me, answer: end }));
        if let Some(at) = self.asking.iter().position(|m| *m == msg) {
            self.asking.remove(at);
            self.acts.push(Act::Answer { msg, end: Some(end) });
            self.spool.remove(&msg);
            return true;
        }
        self.spool.get_mut(&msg).into_iter().for_each(|k| k.owed = Some(end));
        self.acts.push(Act::Notice { msg, end });
        false
    }

    fn take(&mut self, came: Came, inputs: &mut Vec<Input>) {
        match came {
            Came::Message { msg, lane, tenant, dst, key, deadline } => {
                if self.spool.len() >= self.held_most {
                    let end = FinalAnswer::Rejected { retry_after: 0 };
                    self.acts.push(Act::Fact(Fact::FinalAnswerGiven {
                        message: msg,
                        relay: self.me,
                        answer: end,
                    }));
                    self.acts.push(Act::Answer { msg, end: Some(end) });
                    return;
                }
                let hand_in = Submission {
                    class: ClassId(lane),
                    tenant: TenantId(tenant),
                    destination: DestinationId(dst),
                    key: (key != 0).then_some(OrderingKey(key)),
                    deadline: self.clock.at(deadline),
                    restored: false,
                };
                let kept = Kept { hand_in, deadline: self.unix(deadline), legs: Vec::new(), owed: None };
                self.spool.insert(msg, kept);
                self.asking.push(msg);
                inputs.push(Input::Submitted { message: MessageId(msg), submission: hand_in });
            }
            Came::Gone(msg) | Came::Noticed(msg) => {
                self.spool.remove(&msg);
                inputs.push(Input::Closed(MessageId(msg)));
            }
            Came::Ended { call, ends, wait } => self.take_ends(call, ends, wait, inputs),
            Came::Whole => inputs.extend([Input::FullListBegins, Input::ListReceived]),
            Came::Listed { endpoint, says } => self.take_listed(endpoint, says, inputs),
            Came::WatchFailed => inputs.push(Input::PollFailed { retry_after: None }),
        }
    }

    fn take_ends(&mut self, call: u64, ends: Vec<(u64, Outcome, bool)>, wait: Time, inputs: &mut Vec<Input>) {
        let Some(out) = self.calls.remove(&call) else { return };
        let to = EndpointId(u64::from(out.to) + 1);
        if wait > 0 {
            let told = Fact::RetryAfterReceived { relay: self.me, endpoint: out.to, retry_after: wait };
            self.acts.push(Act::Fact(told));
            inputs.push(Input::RetryAfter { endpoint: to, span: Duration::from_micros(wait) });
        }
        let waited = Duration::from_micros(self.now.saturating_sub(out.sent));
        for (msg, outcome, over) in ends {
            let end = match outcome {
                Outcome::Delivered => AttemptOutcome::Delivered,
                Outcome::Error => AttemptOutcome::Error,
                Outcome::Rejected { retry_after: wait } => {
                    AttemptOutcome::Rejected { retry_after: wait.as_micros() as u64 }
                }
                Outcome::ConnectionLimit => AttemptOutcome::Rejected { retry_after: 0 },
                Outcome::TimedOut => AttemptOutcome::TimedOut,
                Outcome::ConnectFailed => AttemptOutcome::ConnectFailed,
                Outcome::Reset => AttemptOutcome::Reset,
                Outcome::Cancelled => AttemptOutcome::Cancelled,
                Outcome::NotSent => AttemptOutcome::NotSent,
            };
            self.acts.push(Act::Fact(Fact::AttemptEnded {
                message: msg,
                call,
                relay: self.me,
                outcome: end,
            }));
            if outcome.never_ran() {
                let leg = self.spool.get_mut(&msg).and_then(|k| k.legs.last_mut());
                leg.into_iter().for_each(|l| l.2 = false);
            }
            if over {
                self.spool.remove(&msg);
            }
            inputs.push(Input::AttemptEnded {
                message: MessageId(msg),
                endpoint: to,
                waited,
                outcome,
                closed: over,
            });
        }
    }

    fn take_listed(&mut self, endpoint: u32, says: EndpointStatus, inputs: &mut Vec<Input>) {
        let Some(entry) = self.listed.get_mut(&endpoint) else { return };
        entry.says = says;
        let entry = *entry;
        self.tell_entry(endpoint, entry, inputs);
    }

    fn tell_entry(&mut self, endpoint: u32, e: Entry, inputs: &mut Vec<Input>) {
        let listed = match e.says {
            EndpointStatus::Ready => ListedStatus::Ready,
            EndpointStatus::Draining => ListedStatus::Draining,
            EndpointStatus::Removed => ListedStatus::Removed,
        };
        self.acts.push(Act::Fact(Fact::EndpointListed { relay: self.me, endpoint, status: listed }));
        inputs.push(Input::EndpointListed(ListedEndpoint {
            endpoint: EndpointId(u64::from(endpoint) + 1),
            destination: DestinationId(e.dst),
            zone: ZoneId(e.zone.into()),
            kind: DestinationKindId(e.kind),
            status: e.says,
            rate: e.rate,
        }));
    }

    /// Writes what was decided into the spool, then lets it out.
    fn carry_out(&mut self) {
        let unix = self.unix(self.now);
        let mut calls = Vec::new();
        for (to, legs) in std::mem::take(&mut self.sends) {
            let Some(entry) = self.listed.get(&to).copied() else { continue };
            let batch = self.batches.get(usize::from(entry.kind)).copied().unwrap_or(1);
            for legs in legs.chunks(batch) {
                for (msg, _) in legs {
                    let kept = self.spool.get_mut(msg);
                    kept.into_iter().for_each(|k| k.legs.push((ZoneId(entry.zone.into()), unix, true)));
                }
                // A call ends at the shortest limit of its messages.
                let limit = legs.iter().map(|l| l.1).min().unwrap_or_default();
                calls.push((to, limit, legs.iter().map(|l| l.0).collect::<Vec<u64>>()));
            }
        }
        for msg in std::mem::take(&mut self.asking) {
            self.acts.push(Act::Answer { msg, end: None });
        }
        for (to, limit, legs) in calls {
            self.count += 1;
            let call = (u64::from(self.me) + 1) << 40 | self.count;
            let out = Out { to, sent: self.now, legs: legs.clone(), recalled: Vec::new() };
            self.calls.insert(call, out);
            for msg in &legs {
                self.acts.push(Act::Fact(Fact::AttemptStarted {
                    message: *msg,
                    call,
                    relay: self.me,
                    endpoint: to,
                }));
            }
            self.acts.push(Act::Call { call, to, legs, limit });
        }
    }
}

impl Relay {
    pub fn new(world: &World, me: u32, keep_log: bool) -> Relay {
        let desk = Desk {
            me,
            now: 0,
            clock: Clock::default(),
            step: 0,
            batches: world.scenario.groups.iter().map(|g| g.max_batch.get() as usize).collect(),
            held_most: world.scenario.relays.max_queued.get() as usize,
            spool: BTreeMap::new(),
            listed: BTreeMap::new(),
            asking: Vec::new(),
            sends: Vec::new(),
            calls: BTreeMap::new(),
            count: 0,
            wake: None,
            acts: Vec::new(),
            keep_log,
        };
        Relay {
            policy: None,
            desk,
            inbox: Vec::new(),
            inputs: Vec::new(),
            last_round: 0,
            up: false,
            watching: false,
            stalled_until: 0,
            starts: 0,
        }
    }

    /// Starts the process, with the list as it had it last and what the spool holds; plays its first round.
    pub fn start(
        &mut self,
        world: &World,
        make: &dyn Fn(PolicySettings) -> Box<dyn Policy>,
        now: Time,
        truth: Option<&mut Truth>,
    ) {
        let desk = &mut self.desk;
        let unix = desk.unix(now);
        let oldest = desk.spool.values().flat_map(|k| &k.legs).map(|l| l.1).min();
        let lead = oldest.map_or(0, |oldest| (unix - oldest).max(0));
        desk.clock = Clock { start: now, unix, lead };
        desk.calls.clear();
        desk.wake = None;
        self.policy = Some(make(world.policy_settings(desk.me, self.starts)));
        self.starts += 1;
        (self.up, self.stalled_until) = (true, 0);
        desk.acts.push(Act::Fact(Fact::RelayUp { relay: desk.me }));
        self.inputs.extend([Input::FullListBegins, Input::ListReceived]);
        let known: Vec<(u32, Entry)> = desk.listed.iter().map(|(id, e)| (*id, *e)).collect();
        known.into_iter().for_each(|(id, e)| desk.tell_entry(id, e, &mut self.inputs));
        let kept: Vec<(u64, Kept)> = desk.spool.iter().map(|(msg, k)| (*msg, k.clone())).collect();
        for (msg, k) in kept {
            let id = MessageId(msg);
            let deadline = desk.clock.at_unix(k.deadline);
            self.inputs.push(Input::Submitted {
                message: id,
                submission: Submission { deadline, restored: true, ..k.hand_in },
            });
            if let Some(end) = k.owed {
                desk.acts.push(Act::Fact(Fact::FinalAnswerGiven {
                    message: msg,
                    relay: desk.me,
                    answer: end,
                }));
                desk.acts.push(Act::Notice { msg, end });
                self.inputs.push(Input::FinalAnswerPending(id));
            }
            for (zone, at, may_have_run) in k.legs {
                let at = desk.clock.at_unix(at);
                self.inputs.push(Input::EarlierAttempt { message: id, zone, at, may_have_run });
            }
        }
        self.round(now, truth);
    }

    pub fn keep_log(&mut self) {
        self.desk.keep_log = true;
    }

    /// What the list inputs of an endpoint that this relay may not know yet.
    pub fn learn(&mut self, world: &World, place: &crate::world::Place, endpoint: u32, says: EndpointStatus) {
        let rate = world.listed_rate(place);
        let entry = Entry { says, dst: place.dst, zone: place.zone, kind: place.group as u16, rate };
        self.desk.listed.entry(endpoint).or_insert(entry);
    }

    /// True if a round is due.
    pub fn due(&self, now: Time) -> bool {
        let wakes = self.desk.wake.is_some_and(|at| at <= now);
        self.up && now >= self.stalled_until && (wakes || !self.inbox.is_empty())
    }

    /// When it wakes by itself.
    pub fn wakes(&self) -> Option<Time> {
        self.desk.wake.filter(|_| self.up).map(|at| at.max(self.stalled_until))
    }

    pub fn round(&mut self, now: Time, truth: Option<&mut Truth>) {
        let desk = &mut self.desk;
        (desk.now, self.last_round) = (now, now);
        desk.wake.take_if(|at| *at <= now);
        for came in self.inbox.drain(..) {
            desk.take(came, &mut self.inputs);
        }
        let at = desk.clock.at(now);
        if let Some(policy) = self.policy.as_mut() {
            policy.step(at, &mut self.inputs, truth, desk);
        }
        desk.carry_out();
    }

    /// What was done since the last call.
    pub fn acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.desk.acts)
    }

    /// The process is gone, with all but its spool and the list as it had it.
    pub fn kill(&mut self) {
        self.policy = None;
        (self.up, self.watching) = (false, false);
        self.inbox.clear();
        self.inputs.clear();
        self.desk.calls.clear();
        self.desk.asking.clear();
        self.desk.wake = None;
    }

    pub fn step_clock(&mut self, by: i64) {
        self.desk.step += by;
    }

    pub fn held(&self) -> usize {
        self.desk.spool.len()
    }

    pub fn calls_out(&self) -> usize {
        self.desk.calls.len()
    }
}
