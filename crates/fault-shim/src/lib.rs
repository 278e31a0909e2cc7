//! Injects faults into a process for tests and the soak: makes system calls fail, steps the wall clock, and delays
//! writes and clock reads. Built as a shared library and preloaded (`LD_PRELOAD`) into a relay. The control file that
//! [`mountshift_faults::CONTROL_VARIABLE`] names selects the faults; without a control file there are none.
//!
//! The only crate of the workspace with unsafe code, because safe code can't replace functions of the C library.
//! System calls that a program makes without the C library are not intercepted; build the program with
//! `--cfg=rustix_use_libc`.
#![allow(clippy::missing_safety_doc)]

mod control;
mod hooks;
mod original;
