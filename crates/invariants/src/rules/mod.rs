//! The six rules, a module each. A module says what breaks its rule, from the shared state and the facts alone.

pub(crate) mod drain;
pub(crate) mod final_answer;
pub(crate) mod key_order;
pub(crate) mod retry_after;
pub(crate) mod single_effect;
pub(crate) mod slow_start;
