//! Runs relay processes against test servers on loopback sockets.

#[allow(dead_code)]
#[path = "../support/mod.rs"]
mod support;

mod calls;
mod clients;
mod discovery;
mod floods;
mod late_copies;
mod restarts;
mod shared_ids;
