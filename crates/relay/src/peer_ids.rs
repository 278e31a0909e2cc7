//! Ids of the messages that the other process of this relay accepted. During an upgrade two processes accept messages;
//! neither may accept another message under an id that the other one holds or has ended, as the platform and the
//! endpoints know a message by its id alone.

use crate::clients::MessageContent;
use crate::ended_ids::{self, IdUse};
use log::{error, info};
use mountshift_spool::{EndedId, EndedIds, LogChange, SpoolFollower};
use std::collections::BTreeMap;
use std::path::Path;

/// The other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peer {
    /// The active process, which sends messages.
    Active,
    /// A successor, which sends nothing: the active process sends what it leaves.
    Successor,
}

/// A message that the other process holds.
struct HeldMessage {
    id: Vec<u8>,
    hashes: EndedId,
}

/// Ids of the messages that the other process accepted, read from its spool.
pub(crate) struct PeerIds {
    peer: Peer,
    spool: SpoolFollower,
    /// Messages in the other process's spool, by their numbers there.
    held: BTreeMap<u64, HeldMessage>,
    numbers_by_id: BTreeMap<Vec<u8>, u64>,
    ended: EndedIds,
    /// Whether the last read failed and this has been logged.
    is_failure_logged: bool,
}

impl PeerIds {
    /// Creates the ids of the process whose spool is in `dir`, if there is one.
    pub(crate) fn new(peer: Peer, dir: &Path) -> PeerIds {
        PeerIds {
            peer,
            spool: SpoolFollower::new(dir),
            held: BTreeMap::new(),
            numbers_by_id: BTreeMap::new(),
            ended: EndedIds::default(),
            is_failure_logged: false,
        }
    }

    /// Returns the ids of the messages that have ended.
    pub(crate) fn ended(&self) -> &EndedIds {
        &self.ended
    }

    /// Returns the use of an id by the other process at present. An id under which it holds a message with the same
    /// content counts as unused: each process may hold a copy of a message, and the merge of their spools keeps one.
    pub(crate) fn find(&mut self, id: &[u8], content: &MessageContent<'_>) -> IdUse {
        if !self.update() {
            return IdUse::Unknown;
        }
        let number = self.numbers_by_id.get(id);
        match number.and_then(|number| self.held.get(number)) {
            Some(held) if held.hashes.content == ended_ids::content_hash(content) => IdUse::Unused,
            Some(_) => IdUse::OtherMessage,
            None => ended_ids::find(&self.ended, id, content),
        }
    }

    /// Reads what the other process has committed since the last call; returns false if that fails.
    fn update(&mut self) -> bool {
        match self.spool.read_changes() {
            Ok(changes) => {
                self.apply(changes);
                if std::mem::take(&mut self.is_failure_logged) {
                    info!("spool of the other process: can be read again");
                }
                true
            }
            Err(e) => {
                // Logged once per series of failures, to bound the log.
                if !std::mem::replace(&mut self.is_failure_logged, true) {
                    error!("spool of the other process: {e}; nothing is accepted until it can be read");
                }
                false
            }
        }
    }

    fn apply(&mut self, changes: Vec<LogChange>) {
        let mut unreported = BTreeMap::new();
        for change in changes {
            match change {
                LogChange::Replaced => {
                    unreported = std::mem::take(&mut self.held);
                    self.numbers_by_id.clear();
                }
                LogChange::Accepted { number, message } => {
                    let hashes = ended_ids::ended_id(&message);
                    self.numbers_by_id.insert(message.id.clone(), number);
                    self.held.insert(number, HeldMessage { id: message.id, hashes });
                }
                LogChange::Removed { number, has_ended } => self.remove(number, has_ended),
                LogChange::EndedBefore(ended) => self.ended.push(ended),
            }
        }
        if self.peer == Peer::Successor {
            return;
        }
        // Removed before the log was replaced. It is not known whether they ended; if they were withdrawn, their clients
        // may submit them again under other ids.
        for message in unreported.into_values() {
            if !self.numbers_by_id.contains_key(&message.id) {
                self.ended.push(message.hashes);
            }
        }
    }

    fn remove(&mut self, number: u64, has_ended: bool) {
        let Some(message) = self.held.remove(&number) else { return };
        if self.numbers_by_id.get(&message.id) == Some(&number) {
            self.numbers_by_id.remove(&message.id);
        }
        if has_ended {
            self.ended.push(message.hashes);
        }
    }
}
