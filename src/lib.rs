//! mountshift decides, for one relay, when and where each message to an outside destination is sent, and
//! when it fails. The crate holds decisions only: no sockets, no clock, no files, no protocol.
//!
//! - [`interface`] holds the types shared with a host: ids, settings, inputs, outcomes and actions.
//! - [`policy`] holds every decision and every tuned constant.
//! - `state` holds the data kept between steps and its bookkeeping, without decisions.
//!
//! A host calls [`policy::DeliveryPolicy::step`] once per step with all inputs since the last one.
//!
//! Comments refer to the six rules of delivery by their numbers:
//!
//! 1. Each accepted message has one final answer, by its deadline, and nothing is sent for it afterwards.
//! 2. No message takes effect twice if that does harm, and no two attempts of a message are in flight at once.
//! 3. No message is sent to an endpoint that is draining or removed, once the drain grace is over.
//! 4. A destination in slow start after an outage is not overloaded.
//! 5. Messages with the same ordering key are delivered in order.
//! 6. Nothing is sent to a route while a `Retry-After` applies to it.
#![forbid(unsafe_code)]

pub mod interface;
pub mod policy;
mod state;
