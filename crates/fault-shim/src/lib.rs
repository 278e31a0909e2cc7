//! Makes system calls of a process fail, steps its wall clock and holds up its writes, for tests and the soak: built as
//! a shared library and preloaded (`LD_PRELOAD`) into a relay. What fails stands in the control file that
//! [`mountshift_faults::CONTROL_VARIABLE`] names; without one nothing does.
//!
//! The only crate of the workspace with unsafe code: it replaces functions of the C library, which no safe code can.
//! Calls that leave a program without the C library are not seen; build the program with `--cfg=rustix_use_libc`.
#![allow(clippy::missing_safety_doc)]

mod control;
mod hooks;
mod original;
