//! The interface between the decisions and the program that carries them out. It contains no decisions.
//!
//! A host turns events into [`Input`]s, passes them to the decisions once per step, and carries out the
//! resulting [`Actions`]. Times are durations since the start of the process.

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
