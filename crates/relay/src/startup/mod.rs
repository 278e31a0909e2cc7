//! What happens from the start of the process until it dispatches: the configuration, the state folder with its
//! locks and spools, and the tasks that run beside the dispatcher.

pub(crate) mod config;
pub(crate) mod listener;
pub(crate) mod opening;
pub(crate) mod patience;
pub(crate) mod spool;
pub(crate) mod state_dir;
pub(crate) mod tasks;
