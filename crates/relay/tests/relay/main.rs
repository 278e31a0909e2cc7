//! The relay as a process, against stand-ins on loopback.

#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;

mod calls;
mod clients;
mod discovery;
mod restarts;
mod shared_ids;
