//! mountshift decides, for one relay, when and where each message to an outside destination is sent, and
//! when it fails. The crate holds decisions only: no sockets, no clock, no files, no protocol.
//!
//! - [`interface`] holds the types shared with a host: ids, settings, inputs, outcomes and actions.
//! - [`policy`] holds every decision and every tuned constant.
//! - `state` holds the data kept between steps and its bookkeeping, without decisions.
//!
//! A host calls [`policy::DeliveryPolicy::step`] once per step with all inputs since the last one.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;
