//! The interface between the decisions and the program that carries them out. Holds no decision.
//!
//! A host turns what it sees into [`Input`]s, hands them to the decisions once a step, and carries out the
//! [`Actions`] that come back. Times are spans since the start of the process.

mod actions;
mod attempt;
mod endpoint;
mod handover;
mod ids;
mod input;
mod message;
mod settings;

pub use actions::*;
pub use attempt::*;
pub use endpoint::*;
pub use handover::*;
pub use ids::*;
pub use input::*;
pub use message::*;
pub use settings::*;
