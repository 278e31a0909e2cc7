//! What decides at a relay: the project's decisions and the baselines, behind one interface.

use crate::policies::{Baseline, Style};
use mountshift::interface::*;
use mountshift::policy::DeliveryPolicy;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The true state of all, for the policy that sees it.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// By endpoint, from 0.
    pub endpoints: Vec<TrueState>,
    /// By route, from 0: calls that its limits and its cold share let through now; what is sent is taken off.
    pub routes: Vec<f64>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct TrueState {
    /// It would take and answer a call.
    pub well: bool,
    pub route: u32,
    /// Calls that it can work on now, with one that may wait; what is sent is taken off.
    pub room: f64,
    /// Kept connections to it may have died.
    pub stale: bool,
}

/// Decides for one relay, one call a step.
pub trait Policy: Send {
    /// Takes in what came since the last step, empties it, decides.
    fn step(
        &mut self,
        now: Duration,
        inputs: &mut Vec<Input>,
        truth: Option<&mut Truth>,
        out: &mut dyn Actions,
    );
}

impl Policy for DeliveryPolicy {
    fn step(&mut self, now: Duration, inputs: &mut Vec<Input>, _: Option<&mut Truth>, out: &mut dyn Actions) {
        DeliveryPolicy::step(self, now, inputs.drain(..), out);
    }
}

/// The policies that a day can be played with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Which {
    /// The project's decisions.
    Mountshift,
    /// One leg for each message, in the order of arrival: the floor.
    OneTry,
    /// Further legs after a pause that doubles, spread by chance.
    Backoff,
    /// The same, with further legs at most a tenth of the first ones.
    RetryBudget,
    /// The breaker of the design's source alone.
    PlainBreaker,
    /// Always the endpoint with the fewest calls out.
    LeastOut,
    /// Sees the true state of all: the top.
    SeesAll,
}

impl Which {
    pub const ALL: [Which; 7] = [
        Which::Mountshift,
        Which::OneTry,
        Which::Backoff,
        Which::RetryBudget,
        Which::PlainBreaker,
        Which::LeastOut,
        Which::SeesAll,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Which::Mountshift => "mountshift",
            Which::OneTry => "one-try",
            Which::Backoff => "backoff",
            Which::RetryBudget => "retry-budget",
            Which::PlainBreaker => "plain-breaker",
            Which::LeastOut => "least-out",
            Which::SeesAll => "sees-all",
        }
    }

    /// True if it reads the truth: its relays then play one after another.
    pub fn sees_all(self) -> bool {
        self == Which::SeesAll
    }

    /// One for a relay that starts.
    pub fn make(self, settings: PolicySettings) -> Box<dyn Policy> {
        let style = match self {
            Which::Mountshift => return Box::new(DeliveryPolicy::new(settings)),
            Which::OneTry => Style::OneTry,
            Which::Backoff => Style::Backoff,
            Which::RetryBudget => Style::Budget,
            Which::PlainBreaker => Style::Breaker,
            Which::LeastOut => Style::LeastOut,
            Which::SeesAll => Style::SeesAll,
        };
        Box::new(Baseline::new(style, settings))
    }
}
