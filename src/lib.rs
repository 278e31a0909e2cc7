//! mountshift decides, for one relay, when and where each message to an outside destination is sent, and
//! when it is given up. The crate holds decisions only: no sockets, no clock, no files, no protocol.
//!
//! - [`interface`] holds what a host tells and is asked for: ids, settings, inputs, outcomes and actions.
//! - [`policy`] holds every decision and every tuned value.
//! - `state` holds what is remembered between steps, with its bookkeeping and no decision.
//!
//! A host calls [`policy::DeliveryPolicy::step`] once a step with all that came in.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;
