//! What the dispatcher is told.

use crate::clients::{Answer, HandedIn};
use crate::discovery::Members;
use crate::upstream::Ends;
use async_channel::Sender;
use mountshift::interface::{EndpointId, MessageId};
use mountshift_handover::StopPlan;
use mountshift_maintenance::Change;
use std::time::Duration;

/// What came in.
pub enum Event {
    Message(HandedIn, Sender<Answer>),
    /// A client did not hear that its message was taken on.
    Gone(MessageId),
    /// Messages of a call have ended.
    Ended(u64, Ends),
    /// A call to this endpoint begins late: may it still be reached?
    Late(EndpointId, Sender<bool>),
    /// The list or its changes; or a call for it failed, with a wait if one was told.
    List(Result<Members, Option<Duration>>),
    /// The platform took these ends.
    Noticed(Vec<MessageId>),
    /// An operator's call changed the maintenance.
    Maintenance(Change),
    /// Told to stop, and how.
    Stop(StopPlan),
}
