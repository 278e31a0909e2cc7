//! Calls in flight; one call carries one or more messages.

use super::RouteId;
use crate::interface::*;
use std::time::Duration;

#[derive(Default)]
pub(crate) struct Call {
    pub(crate) route: RouteId,
    pub(crate) to: EndpointId,
    pub(crate) left: u32,
    pub(crate) sent: Duration,
    pub(crate) expect: Duration,
    pub(crate) counted: bool,
    pub(crate) recalled: bool,
    pub(crate) full: bool,
    pub(crate) idle: bool,
}
