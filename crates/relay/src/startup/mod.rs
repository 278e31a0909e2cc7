//! Startup, from the start of the process until the dispatcher runs: the configuration, the state folder with its locks
//! and spools, and the tasks that run concurrently with the dispatcher.

pub(crate) mod config;
pub(crate) mod listener;
pub(crate) mod opening;
pub(crate) mod retry;
pub(crate) mod spool;
pub(crate) mod state_dir;
pub(crate) mod tasks;
