//! The laboratory in virtual time. A scenario becomes a [`day::Day`]: clients, relays, destinations and their
//! troubles as events on a heap, from one seed, the same trace on every machine. Each relay hosts a
//! [`policy::Policy`]: the project's decisions, or one of the baselines beside them, behind the same
//! `mountshift::interface::Actions`. The invariant checker reads every fact; statistics tell what service came of it.
//!
//! What the model leaves out, and how to add to it, stands in `docs/lab.md`.
#![forbid(unsafe_code)]

mod baselines;
pub mod day;
pub mod error;
pub mod experiment;
mod host;
pub mod hunt;
pub mod outcome;
pub mod policy;
pub mod policy_kind;
mod random;
mod rate_limit;
pub mod report;
mod route;
mod servers;
mod statistics;
mod traffic;
mod world;

pub use mountshift_invariants::Fact;

/// Microseconds since the day began.
pub type Time = u64;
