//! The invariant checker: reads the facts of a day in order and reports breaches of the six rules and every
//! repeated effect, each with the history of the message concerned. It is written from the text of the rules
//! alone and shares no code with the delivery policy, so that a misreading of a rule can't go unnoticed in both.
//!
//! 1. every accepted message gets exactly one final answer, in time, and nothing is sent after it
//! 2. no message takes effect twice, and no two attempts of a message are in flight at once
//! 3. nothing is sent to an endpoint that is draining or removed after the drain grace has passed
//! 4. relays that saw a route's outage don't overload it during its slow start
//! 5. messages of one key are sent in the order of their submission
//! 6. a Retry-After is obeyed
//!
//! [`InvariantChecker`] receives the facts and keeps the state that the rules share (`state`); each rule has its
//! own module (`rules`).
//!
//! Memory: a few hundred bytes for each message until it is settled, then a few bytes for the rest of the day,
//! because a late second effect must still be recognised.
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
