//! Simulation of a relay fleet in virtual time. A scenario is simulated as a [`day::Day`]: the actions of clients,
//! relays and destinations and the scripted faults are events on a heap. All random values derive from one seed, so
//! that the trace is the same on every machine. Each relay runs a [`policy::Policy`], which is either the project's
//! decisions or a baseline, behind the same `mountshift::interface::Actions`. The invariant checker reads every
//! fact; statistics measure the resulting service.
//!
//! `docs/lab.md` describes the limits of the model and how to extend it.
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

/// Time since the start of the simulated day, or a duration, in microseconds.
pub type Time = u64;
