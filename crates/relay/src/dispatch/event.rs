//! What the dispatcher is told.

use crate::clients::{Answer, HandedIn};
use crate::discovery::EndpointList;
use crate::endpoints::Ends;
use async_channel::Sender;
use mountshift::interface::{EndpointId, MessageId};
use mountshift_handover::StopPlan;
use mountshift_maintenance::Change;
use std::time::Duration;

/// What came in.
pub enum Event {
    /// A client submitted a message; it waits for the answer.
    MessageReceived { message: HandedIn, reply_to: Sender<Answer> },
    /// A client did not hear that its message was taken on.
    ClientUnreachable(MessageId),
    /// Messages of a call have ended.
    AttemptsEnded(u64, Ends),
    /// A call to this endpoint begins late: may it still be reached?
    ReachabilityAsked(EndpointId, Sender<bool>),
    /// The list or its changes; or a call for it failed, with a wait if one was told.
    EndpointList(Result<EndpointList, Option<Duration>>),
    /// The platform took these ends.
    NotificationsTaken(Vec<MessageId>),
    /// An operator's call changed the maintenance.
    MaintenanceChanged(Change),
    /// Told to stop, and how.
    StopRequested(StopPlan),
}
