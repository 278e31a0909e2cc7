//! The six rules, each in its own module, which finds breaches from the shared state and the facts alone.

pub(crate) mod drain;
pub(crate) mod final_answer;
pub(crate) mod key_order;
pub(crate) mod retry_after;
pub(crate) mod single_effect;
pub(crate) mod slow_start;
