//! What a start does before the relay serves.

pub(crate) mod config;
pub(crate) mod listener;
pub(crate) mod spool;
pub(crate) mod state_dir;
