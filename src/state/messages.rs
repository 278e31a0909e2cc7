//! Messages held until their final answer.

use crate::interface::*;
use std::time::Duration;

#[derive(Default)]
pub(crate) struct Msg {
    pub(crate) class: ClassId,
    pub(crate) destination: DestinationId,
    pub(crate) key: Option<OrderingKey>,
    pub(crate) target: Duration,
    pub(crate) deadline: Duration,
    pub(crate) over_share: bool,
    pub(crate) restored: bool,
    pub(crate) legs: u8,
    pub(crate) ran: u32,
    pub(crate) late: u32,
    pub(crate) not_before: Duration,
    pub(crate) out: Option<u64>,
    pub(crate) may_have_run: Option<(Duration, ZoneId)>,
    pub(crate) ended: bool,
}

impl Msg {
    /// What a restart finds untried is still tried: it is not pushed back for others, and goes first.
    pub(crate) fn untried(&self) -> bool {
        self.restored && self.legs == 0
    }
}
