//! mountshift decides, for one relay, when and where each message to an outside destination is sent, and
//! when it is given up. The crate holds decisions only: no sockets, no clock, no files, no protocol.
//!
//! - [`interface`] is the interface: ids, outcomes, the facts told at startup, and the [`interface::Actions`] that
//!   takes the decisions.
//! - [`policy`] holds every decision and every tuned value.
//!
//! A host calls [`policy::DeliveryPolicy::step`] once a step with all that came in.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;
