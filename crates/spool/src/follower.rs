//! Follows the log of another process: reads which messages it accepted and removed since the last look. Writes
//! nothing.

use crate::ended_ids::EndedId;
use crate::error::SpoolError;
use crate::log_file::SPOOL_FILE;
use crate::message::{AcceptedMessage, StoredMessage};
use crate::record::Record;
use crate::replay::{LogPosition, replay_from};
use std::collections::BTreeMap;
use std::fs::{self, File, Metadata};
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// A change of the followed log.
#[derive(Debug, PartialEq, Eq)]
pub enum LogChange {
    /// The log was replaced by another one or removed: it holds none of the messages reported before. Those that
    /// another log holds are reported again.
    Replaced,
    /// A message was accepted.
    Accepted {
        /// Number of the message in the log.
        number: u64,
        /// The message.
        message: AcceptedMessage,
    },
    /// A message was removed.
    Removed {
        /// Number of the message in the log.
        number: u64,
        /// Whether the message ended, so that nothing more may be sent under its id; false if it was withdrawn.
        has_ended: bool,
    },
    /// A message had ended before the log was compacted.
    EndedBefore(EndedId),
}

/// Reader of a log that another process writes.
pub struct SpoolFollower {
    path: PathBuf,
    log: Option<FollowedLog>,
}

/// The log file that is read at present. While it is open, no other file can get its inode number.
struct FollowedLog {
    file: File,
    device: u64,
    inode: u64,
    position: LogPosition,
    /// The messages, without their content.
    messages: BTreeMap<u64, StoredMessage>,
}

impl SpoolFollower {
    /// Creates a follower of the log in `dir`, which may not exist yet.
    pub fn new(dir: &Path) -> SpoolFollower {
        SpoolFollower { path: dir.join(SPOOL_FILE), log: None }
    }

    /// Returns the changes that were committed since the last call, the earliest first.
    ///
    /// # Errors
    /// If the log can't be read, or is of a newer format. The next call reads from the same position.
    pub fn read_changes(&mut self) -> Result<Vec<LogChange>, SpoolError> {
        let mut changes = Vec::new();
        let metadata = match fs::metadata(&self.path) {
            Ok(metadata) => metadata,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                changes.extend(self.log.take().map(|_| LogChange::Replaced));
                return Ok(changes);
            }
            Err(error) => return Err(error.into()),
        };
        let mut log = self.log.take().filter(|log| log.is_file(&metadata));
        if log.is_none() {
            changes.push(LogChange::Replaced);
            log = Some(FollowedLog::open(&self.path)?);
        }
        // After an error the whole log is read again.
        if let Some(mut log) = log {
            log.read_on(&mut changes)?;
            self.log = Some(log);
        }
        Ok(changes)
    }
}

impl FollowedLog {
    fn open(path: &Path) -> io::Result<FollowedLog> {
        let file = File::open(path)?;
        let metadata = file.metadata()?;
        Ok(FollowedLog {
            device: metadata.dev(),
            inode: metadata.ino(),
            file,
            position: LogPosition::default(),
            messages: BTreeMap::new(),
        })
    }

    /// Returns whether this is the file with these metadata, as far as it was read.
    fn is_file(&self, metadata: &Metadata) -> bool {
        (self.device, self.inode) == (metadata.dev(), metadata.ino())
            && metadata.len() >= self.position.offset
    }

    /// Reads the complete batches behind the position.
    fn read_on(&mut self, changes: &mut Vec<LogChange>) -> Result<(), SpoolError> {
        let length = self.file.metadata()?.len();
        if length <= self.position.offset {
            return Ok(());
        }
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(self.position.offset))?;
        self.file.read_to_end(&mut bytes)?;
        let log = replay_from(&bytes, self.position)?;
        self.position =
            LogPosition { offset: self.position.offset + log.complete_bytes as u64, salt: log.salt };
        for record in log.records {
            changes.extend(self.apply(record));
        }
        Ok(())
    }

    fn apply(&mut self, record: Record) -> Option<LogChange> {
        match record {
            Record::Accepted { number, message } => {
                let without_content =
                    AcceptedMessage { id: Vec::new(), metadata: String::new(), body: Vec::new(), ..message };
                self.messages.insert(number, StoredMessage::new(without_content));
                Some(LogChange::Accepted { number, message })
            }
            Record::Removed { number } => {
                let stored = self.messages.remove(&number)?;
                Some(LogChange::Removed { number, has_ended: stored.uses_up_its_id() })
            }
            Record::EndedId(ended) => Some(LogChange::EndedBefore(ended)),
            progress => {
                self.messages.get_mut(&progress.message_number()?)?.apply(progress);
                None
            }
        }
    }
}
