//! Per-key queues: messages with the same key are delivered in order.

use crate::interface::*;
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Default)]
pub(crate) struct Line {
    pub(crate) queue: VecDeque<MessageId>,
    pub(crate) rest_until: Duration,
    pub(crate) rest_by: Option<MessageId>,
}
