//! The baselines: what textbooks do, each on the same port as the project's decisions. They keep the rules on
//! legs, order, drains and waits, so that what differs is when and where they send; none has a cold ramp.

mod law;

use crate::policy::{Policy, Truth};
use law::Law;
use mountshift::interface::*;
use std::collections::BTreeMap;
use std::hash::Hasher;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The first pause before a further leg, and the longest.
const BACKOFF: Duration = ms(250);
const BACKOFF_MOST: Duration = ms(8_000);
/// Further legs for each first one, and how many may be saved up.
const BUDGET_SHARE: f64 = 0.1;
const BUDGET_MOST: f64 = 10.0;
/// The breaker: failures in a row that open it, and the delay before the trial.
const BREAKER_RUN: u32 = 5;
const BREAKER_DELAY: Duration = ms(5_000);
/// A leg's share of the time left until its deadline, and the least it gets.
const LIMIT_SHARE: f64 = 0.5;
const LIMIT_LEAST: Duration = ms(1_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Style {
    OneTry,
    Backoff,
    Budget,
    Breaker,
    LeastOut,
    SeesAll,
}

#[derive(Clone, Copy, Default)]
struct Breaker {
    run: u32,
    open_until: Option<Duration>,
    trial: Option<MessageId>,
}

pub(crate) struct Baseline {
    style: Style,
    law: Law,
    /// Not before this time, after so many tries.
    pauses: BTreeMap<MessageId, (Duration, u32)>,
    budget: f64,
    breakers: BTreeMap<DestinationId, Breaker>,
    count: u64,
    /// Messages that go to each endpoint in this round.
    round: BTreeMap<EndpointId, usize>,
}

impl Baseline {
    pub fn new(style: Style, facts: PolicySettings) -> Baseline {
        let law = Law::new(facts);
        Baseline {
            style,
            law,
            pauses: BTreeMap::new(),
            budget: 0.0,
            breakers: BTreeMap::new(),
            count: 0,
            round: BTreeMap::new(),
        }
    }

    fn chance(&mut self) -> f64 {
        self.count += 1;
        let mut hasher = siphasher::sip::SipHasher13::new_with_keys(self.law.facts.seed, self.count);
        hasher.write_u32(self.law.facts.relay.0);
        (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Learns from how a leg ended.
    fn ended(&mut self, msg: MessageId, dst: DestinationId, outcome: Outcome) {
        let now = self.law.now;
        let failed = !matches!(
            outcome,
            Outcome::Delivered | Outcome::Rejected { .. } | Outcome::NotSent | Outcome::Cancelled
        );
        if self.style == Style::Breaker {
            let b = self.breakers.entry(dst).or_default();
            let trial = b.trial.take_if(|t| *t == msg).is_some();
            if outcome == Outcome::Delivered {
                (b.run, b.open_until) = (0, None);
            } else if failed {
                b.run += 1;
                if trial || b.run >= BREAKER_RUN {
                    b.open_until = Some(now + BREAKER_DELAY);
                }
            }
        }
        if outcome == Outcome::Delivered {
            self.pauses.remove(&msg);
            return;
        }
        let tries = self.pauses.get(&msg).map_or(0, |p| p.1) + 1;
        let longest = BACKOFF.saturating_mul(1 << (tries - 1).min(8)).min(BACKOFF_MOST);
        let pause = longest.mul_f64(0.5 + self.chance() / 2.0);
        let pause = if self.style == Style::SeesAll { ms(0) } else { pause };
        self.pauses.insert(msg, (now + pause, tries));
    }

    /// May this message go now, as far as the style is concerned?
    fn may_try(&self, msg: MessageId, dst: DestinationId) -> bool {
        let (not_before, tries) = self.pauses.get(&msg).copied().unwrap_or_default();
        let open = self
            .breakers
            .get(&dst)
            .is_some_and(|b| b.trial.is_some() || b.open_until.is_some_and(|until| until > self.law.now));
        let spent = match self.style {
            Style::OneTry => tries > 0,
            Style::Budget => tries > 0 && self.budget < 1.0,
            _ => false,
        };
        self.law.now >= not_before && !open && !spent
    }

    /// Where it goes; none if nowhere is allowed.
    fn pick(&mut self, msg: MessageId, dst: DestinationId, truth: Option<&Truth>) -> Option<EndpointId> {
        let options: Vec<EndpointId> = self.law.options(msg, dst).collect();
        if options.is_empty() {
            return None;
        }
        match (self.style, truth) {
            (Style::LeastOut, _) => options.into_iter().min_by_key(|e| (self.law.calls_out(*e), *e)),
            (Style::SeesAll, Some(truth)) => {
                let state =
                    |e: &EndpointId| truth.endpoints.get(e.0 as usize - 1).copied().unwrap_or_default();
                // What joins a call that goes out anyway needs no room of its own.
                let joins = |e: &EndpointId| self.round.get(e).is_some_and(|n| n % self.law.batch(*e) != 0);
                let takes = |e: &EndpointId| {
                    let s = state(e);
                    joins(e)
                        || (s.room >= 1.0 && truth.routes.get(s.route as usize).is_some_and(|r| *r >= 1.0))
                };
                let fits = options.into_iter().filter(|e| state(e).well && takes(e));
                fits.max_by(|a, b| state(a).room.total_cmp(&state(b).room).then(b.cmp(a)))
            }
            _ => {
                let n = (self.chance() * options.len() as f64) as usize;
                options.get(n).copied()
            }
        }
    }
}

impl Policy for Baseline {
    fn step(
        &mut self,
        now: Duration,
        inputs: &mut Vec<Input>,
        mut truth: Option<&mut Truth>,
        out: &mut dyn Actions,
    ) {
        self.law.now = now;
        self.round.clear();
        for input in inputs.drain(..) {
            if let Input::AttemptEnded { message: msg, outcome, .. } = input
                && let Some(dst) = self.law.destination(msg)
            {
                self.ended(msg, dst, outcome);
            }
            self.law.take(input);
        }
        let once = self.style == Style::OneTry;
        self.law.end_spent(out, |id| once && self.pauses.contains_key(&id));
        let mut order = self.law.waiting();
        if self.style == Style::SeesAll {
            order.sort_by_key(|id| self.law.target(*id));
        }
        for id in order {
            if self.law.no_slot() {
                break;
            }
            let Some(dst) = self.law.destination(id) else { continue };
            if !self.may_try(id, dst) {
                continue;
            }
            let Some(to) = self.pick(id, dst, truth.as_deref()) else { continue };
            let left = self.law.left(id);
            let limit =
                if self.style == Style::SeesAll { left } else { left.mul_f64(LIMIT_SHARE).max(LIMIT_LEAST) };
            self.law.send(id, to, limit.min(left), out);
            let again = self.pauses.contains_key(&id);
            self.budget = (self.budget + if again { -1.0 } else { BUDGET_SHARE }).min(BUDGET_MOST);
            let in_call = self.round.entry(to).or_default();
            *in_call += 1;
            if let Some(truth) =
                truth.as_mut().filter(|_| *in_call % self.law.batch(to) == 1 % self.law.batch(to))
            {
                let state = &mut truth.endpoints[to.0 as usize - 1];
                state.room -= 1.0;
                truth.routes[state.route as usize] -= 1.0;
                if state.stale {
                    out.close_idle_connections(to);
                }
            }
            if let Some(b) = self.breakers.get_mut(&dst).filter(|b| b.open_until.is_some()) {
                b.trial = Some(id);
            }
        }
        let law = &self.law;
        self.pauses.retain(|id, _| law.destination(*id).is_some());
        self.law.wake(out);
    }
}
