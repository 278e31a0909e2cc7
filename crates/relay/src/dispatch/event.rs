//! Events that the other tasks send to the dispatcher.

use crate::clients::{ClientSubmission, SubmissionReply};
use crate::discovery::EndpointList;
use crate::upstream::CallResult;
use async_channel::Sender;
use mountshift::interface::{EndpointId, MessageId};
use mountshift_discovery::PollFailure;
use mountshift_handover::StopPlan;
use mountshift_maintenance::Change;
use std::net::SocketAddr;

/// Number of a call to an endpoint; no number is used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CallNumber(pub(super) u64);

/// An event for the dispatcher. Events arrive in the order in which they happened.
pub(crate) enum Event {
    /// A client submitted a message and waits for the reply.
    MessageReceived { message: ClientSubmission, reply_to: Sender<SubmissionReply> },
    /// The reply that a message was accepted could not be sent to its client.
    ClientUnreachable(MessageId),
    /// Attempts of a call ended.
    AttemptsEnded { call: CallNumber, results: CallResult },
    /// A delayed call requests permission to be sent to the endpoint at this address.
    SendPermissionRequested { endpoint: EndpointId, address: SocketAddr, reply_to: Sender<bool> },
    /// The endpoint list or an update from discovery, or a failed poll.
    EndpointList(Result<EndpointList, PollFailure>),
    /// The platform acknowledged the notifications of these messages.
    NotificationsAcknowledged(Vec<MessageId>),
    /// An operator's command changed the maintenance state.
    MaintenanceChanged(Change),
    /// The process was requested to stop, with this plan.
    StopRequested(StopPlan),
}
