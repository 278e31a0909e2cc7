//! The invariant checker: reads a day's facts in order and finds breaches of the six rules, and every double
//! effect, with the history of the message that shows it. It is written from the rules' text alone and shares no
//! code with the decisions, so that one misreading can't hide in both.
//!
//! 1. every accepted message gets one final answer, in time, and nothing is sent after it
//! 2. no effect is done twice, and no two attempts of a message are in flight at once
//! 3. nothing goes to an endpoint that is draining or removed, once the grace is over
//! 4. a route in slow start isn't overloaded by those who saw its outage
//! 5. messages of one key go in the order of their submission
//! 6. a Retry-After is kept
//!
//! [`InvariantChecker`] takes the facts in and keeps the state that the rules share (`state`); each rule is a
//! module of its own (`rules`).
//!
//! Memory: a few hundred bytes for each message until it is settled, then a few for the rest of the day (a late
//! effect must still be known as the second).
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod checker;
mod fact;
mod parameters;
mod rules;
mod state;
mod verdict;

pub use checker::InvariantChecker;
pub use fact::{AttemptOutcome, Fact, FinalAnswer, ListedStatus, Time};
pub use parameters::{Idempotency, MessageClass, RuleParameters};
pub use rules::slow_start::overload_slack;
pub use verdict::{Breach, Verdict};
