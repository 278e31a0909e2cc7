//! What every baseline keeps: one leg at a time, order by key, drains, waits, and ends in time.

use mountshift::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const WAKE: Duration = Duration::from_millis(20);
const MARGIN: Duration = Duration::from_millis(40);

struct Msg {
    hand_in: Submission,
    legs: u8,
    ran: u32,
    out: Option<EndpointId>,
    may_have_run: Option<(Duration, ZoneId)>,
    ended: bool,
}

struct Endpoint {
    dst: DestinationId,
    zone: ZoneId,
    kind: DestinationKindId,
    off_since: Option<Duration>,
    out: u32,
}

#[derive(Default)]
struct Line {
    queue: VecDeque<MessageId>,
    rest_until: Duration,
    rest_by: Option<MessageId>,
}

pub(super) struct Law {
    pub facts: PolicySettings,
    pub now: Duration,
    msgs: BTreeMap<MessageId, Msg>,
    idle: BTreeSet<MessageId>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    near: BTreeMap<DestinationId, Vec<EndpointId>>,
    waits: BTreeMap<(DestinationId, Option<EndpointId>), Duration>,
    lines: BTreeMap<OrderingKey, Line>,
    out: usize,
    wake_at: Duration,
}

impl Law {
    pub fn new(facts: PolicySettings) -> Law {
        Law {
            facts,
            now: Duration::ZERO,
            msgs: BTreeMap::new(),
            idle: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            near: BTreeMap::new(),
            waits: BTreeMap::new(),
            lines: BTreeMap::new(),
            out: 0,
            wake_at: Duration::ZERO,
        }
    }

    fn lane(&self, msg: &Msg) -> &MessageClass {
        &self.facts.classes[usize::from(msg.hand_in.class.0)]
    }

    fn route(&self, id: EndpointId, e: &Endpoint) -> (DestinationId, Option<EndpointId>) {
        let apart =
            self.facts.destination_kinds.get(usize::from(e.kind.0)).is_some_and(|k| k.independent_endpoints);
        (e.dst, apart.then_some(id))
    }

    pub fn take(&mut self, input: Input) {
        let now = self.now;
        match input {
            Input::Submitted { message: id, submission: hand_in } => {
                let in_order = self.facts.classes[usize::from(hand_in.class.0)].in_order;
                let hand_in = Submission { key: hand_in.key.filter(|_| in_order), ..hand_in };
                if let Some(key) = hand_in.key {
                    self.lines.entry(key).or_default().queue.push_back(id);
                }
                let msg = Msg { hand_in, legs: 0, ran: 0, out: None, may_have_run: None, ended: false };
                self.msgs.insert(id, msg);
                self.idle.insert(id);
            }
            Input::EarlierAttempt { message: msg, zone, at, may_have_run } => {
                let Some(m) = self.msgs.get_mut(&msg) else { return };
                m.legs += 1;
                m.ran += u32::from(may_have_run);
                m.may_have_run = m.may_have_run.or(may_have_run.then_some((at, zone)));
                let key = m.hand_in.key.filter(|_| may_have_run);
                self.rest(key, msg);
            }
            Input::FinalAnswerPending(id) => {
                self.idle.remove(&id);
                self.msgs.get_mut(&id).into_iter().for_each(|m| m.ended = true);
            }
            Input::AttemptEnded { message: msg, outcome, closed: over, endpoint: to, .. } => {
                let Some(m) = self.msgs.get_mut(&msg).filter(|m| m.out.is_some()) else { return };
                m.out = None;
                m.ran -= u32::from(outcome.never_ran());
                m.may_have_run = m.may_have_run.filter(|_| m.ran > 0);
                let (key, ended) = (m.hand_in.key, m.ended || over);
                self.out -= 1;
                self.endpoints.get_mut(&to).into_iter().for_each(|e| e.out -= 1);
                if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                    self.rest(key, msg);
                }
                if let Outcome::Rejected { retry_after: wait } = outcome {
                    self.wait(to, wait);
                }
                if ended {
                    self.over(msg);
                } else {
                    self.idle.insert(msg);
                }
            }
            Input::RetryAfter { endpoint, span } => self.wait(endpoint, span),
            Input::FullListBegins => {
                self.endpoints.values_mut().for_each(|e| e.off_since = e.off_since.or(Some(now)));
            }
            Input::EndpointListed(ListedEndpoint {
                endpoint: id,
                destination: dst,
                zone,
                kind,
                status: listed,
                ..
            }) => {
                let e = self.endpoints.entry(id).or_insert_with(|| {
                    self.near.entry(dst).or_default().push(id);
                    Endpoint { dst, zone, kind, off_since: None, out: 0 }
                });
                e.off_since = if listed == EndpointStatus::Ready { None } else { e.off_since.or(Some(now)) };
            }
            Input::Closed(id) => self.over(id),
            // The baselines poll nothing, and nothing of theirs outlives a process.
            Input::RateLimitReported { .. }
            | Input::ListReceived
            | Input::ListMayBeStale
            | Input::PollFailed { .. }
            | Input::EndpointRestarted(_)
            | Input::HandoverStarted
            | Input::RoutesRestored(_) => {}
        }
    }

    fn wait(&mut self, to: EndpointId, wait: Duration) {
        let Some(route) = self.endpoints.get(&to).map(|e| self.route(to, e)) else { return };
        let until = self.waits.entry(route).or_default();
        *until = (*until).max(self.now + wait);
    }

    fn rest(&mut self, key: Option<OrderingKey>, by: MessageId) {
        let until = self.now + self.facts.order_hold_off;
        let line = key.and_then(|k| self.lines.get_mut(&k));
        line.into_iter().for_each(|l| (l.rest_until, l.rest_by) = (until, Some(by)));
    }

    fn over(&mut self, id: MessageId) {
        let Some(m) = self.msgs.get_mut(&id) else { return };
        self.idle.remove(&id);
        if m.out.is_some() {
            m.ended = true;
            return;
        }
        if let Some(line) = m.hand_in.key.and_then(|k| self.lines.get_mut(&k)) {
            line.queue.retain(|other| *other != id);
        }
        self.msgs.remove(&id);
    }

    pub fn destination(&self, id: MessageId) -> Option<DestinationId> {
        self.msgs.get(&id).map(|m| m.hand_in.destination)
    }

    pub fn left(&self, id: MessageId) -> Duration {
        self.msgs.get(&id).map_or(Duration::ZERO, |m| m.hand_in.deadline.saturating_sub(self.now))
    }

    pub fn target(&self, id: MessageId) -> Duration {
        let target = |m: &Msg| {
            (m.hand_in.deadline + self.lane(m).latency_objective).saturating_sub(self.lane(m).deadline)
        };
        self.msgs.get(&id).map_or(Duration::ZERO, target)
    }

    pub fn calls_out(&self, id: EndpointId) -> u32 {
        self.endpoints.get(&id).map_or(0, |e| e.out)
    }

    /// Messages in one call to it at most.
    pub fn batch(&self, id: EndpointId) -> usize {
        let kind = self.endpoints.get(&id).map_or(0, |e| usize::from(e.kind.0));
        self.facts.destination_kinds.get(kind).map_or(1, |k| k.max_batch.max(1))
    }

    pub fn no_slot(&self) -> bool {
        self.out >= self.facts.max_calls_in_flight
    }

    /// Messages that nothing is out for, oldest first.
    pub fn waiting(&self) -> Vec<MessageId> {
        self.idle.iter().copied().filter(|id| self.in_turn(*id)).collect()
    }

    fn in_turn(&self, id: MessageId) -> bool {
        let line = self.msgs.get(&id).and_then(|m| m.hand_in.key).and_then(|k| self.lines.get(&k));
        line.is_none_or(|l| {
            l.queue.front() == Some(&id) && (l.rest_until <= self.now || l.rest_by == Some(id))
        })
    }

    /// Endpoints that the message may go to now.
    pub fn options(&self, id: MessageId, dst: DestinationId) -> impl Iterator<Item = EndpointId> + '_ {
        let first = self.msgs.get(&id).and_then(|m| {
            let zonal = matches!(
                self.lane(m).idempotency,
                Idempotency::WithKey { scope: DeduplicationScope::SameZone, .. }
            );
            m.may_have_run.filter(|_| zonal).map(|r| r.1)
        });
        let may = move |e: &EndpointId| {
            self.endpoints.get(e).is_some_and(|endpoint| {
                let waits = self.waits.get(&self.route(*e, endpoint)).is_some_and(|until| *until > self.now);
                endpoint.off_since.is_none() && !waits && first.is_none_or(|zone| zone == endpoint.zone)
            })
        };
        self.near.get(&dst).into_iter().flatten().copied().filter(may)
    }

    pub fn send(&mut self, id: MessageId, to: EndpointId, limit: Duration, out: &mut dyn Actions) {
        let zone = self.endpoints.get(&to).map_or(ZoneId(0), |e| e.zone);
        let Some(m) = self.msgs.get_mut(&id) else { return };
        m.out = Some(to);
        m.legs += 1;
        m.ran += 1;
        m.may_have_run = m.may_have_run.or(Some((self.now, zone)));
        self.out += 1;
        self.idle.remove(&id);
        self.endpoints.get_mut(&to).into_iter().for_each(|e| e.out += 1);
        out.send(id, to, limit);
    }

    /// Fails what is out of time, can't go again, or is given up by the style.
    pub fn end_spent(&mut self, out: &mut dyn Actions, given_up: impl Fn(MessageId) -> bool) {
        let now = self.now;
        let spent = |id: &MessageId, m: &Msg| {
            let again = match (self.lane(m).idempotency, m.may_have_run) {
                (Idempotency::Idempotent, _) | (_, None) => true,
                (Idempotency::WithKey { window: memory, .. }, Some((since, _))) => {
                    now + Duration::from_millis(1) < since + memory
                }
                (Idempotency::NotIdempotent, Some(_)) => false,
            };
            let last = m.legs >= self.facts.max_attempts || !again || given_up(*id);
            m.hand_in.deadline <= now + MARGIN || (m.out.is_none() && last)
        };
        let ids = self.msgs.iter().filter(|(id, m)| !m.ended && spent(id, m)).map(|(id, _)| *id);
        for id in ids.collect::<Vec<_>>() {
            let at_once = out.fail(id);
            self.idle.remove(&id);
            self.msgs.get_mut(&id).into_iter().for_each(|m| m.ended = true);
            if at_once {
                self.over(id);
            }
        }
    }

    pub fn wake(&mut self, out: &mut dyn Actions) {
        if !self.msgs.is_empty() && self.wake_at <= self.now {
            self.wake_at = self.now + WAKE;
            out.wake_after(WAKE);
        }
        let now = self.now;
        self.lines.retain(|_, l| !l.queue.is_empty() || l.rest_until > now);
    }
}
