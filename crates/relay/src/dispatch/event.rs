//! What the tasks tell the dispatcher.

use crate::clients::{ClientSubmission, SubmissionReply};
use crate::discovery::EndpointList;
use crate::upstream::CallResult;
use async_channel::Sender;
use mountshift::interface::{EndpointId, MessageId};
use mountshift_handover::StopPlan;
use mountshift_maintenance::Change;
use std::net::SocketAddr;
use std::time::Duration;

/// A call to an endpoint; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallNumber(pub(super) u64);

/// What happened, in the order in which it did.
pub(crate) enum Event {
    /// A client submitted a message, and waits for the answer.
    MessageReceived { message: ClientSubmission, reply_to: Sender<SubmissionReply> },
    /// A client did not hear that its message was accepted.
    ClientUnreachable(MessageId),
    /// Attempts of a call ended.
    AttemptsEnded { call: CallNumber, results: CallResult },
    /// A call begins late: may it still be sent to the endpoint, at this address?
    SendPermissionRequested { endpoint: EndpointId, address: SocketAddr, reply_to: Sender<bool> },
    /// Discovery told the endpoint list or an update; or a poll failed, with a `Retry-After` if one was told.
    EndpointList(Result<EndpointList, Option<Duration>>),
    /// The platform took the notifications of these messages.
    NotificationsAcknowledged(Vec<MessageId>),
    /// An operator's command changed the maintenance.
    MaintenanceChanged(Change),
    /// The process was told to stop, in this way.
    StopRequested(StopPlan),
}
