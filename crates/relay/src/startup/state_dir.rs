//! The state folder: its locks, and the role that they give to this process.

use super::patience::Patience;
use crate::error::StartError;
use async_io::Timer;
use mountshift_handover::{
    LOCK_ACQUISITION_TIMEOUT, LOCK_FILE, PreviousSuccessor, Role, SUCCESSOR_DIR, SUCCESSOR_TAKEOVER_TIMEOUT,
};
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Between two tries to take them.
const TAKEN_LOCK_PAUSE: Duration = Duration::from_millis(20);

/// The state folder of a process, which holds its locks.
pub(crate) struct StateDir {
    /// The folder, the active process's.
    pub(crate) path: PathBuf,
    /// The folder in it that a successor works in.
    pub(crate) successor_path: PathBuf,
    /// What this process is at its start.
    pub(crate) role: Role,
    /// The active process's lock: this process's already, or to be taken once it is free. Held while the file is
    /// open.
    pub(crate) active_lock: File,
    successor_lock: Option<File>,
}

impl StateDir {
    /// Takes the locks that are free, and finds the role that follows.
    pub(crate) async fn open(path: &Path, patience: &Patience) -> Result<StateDir, StartError> {
        let successor_path = path.join(SUCCESSOR_DIR);
        let unusable = |path: PathBuf| move |source| StartError::State { path, source };
        let created = patience.retry_essential(|| std::fs::create_dir_all(&successor_path)).await;
        created.map_err(unusable(path.to_path_buf()))?;
        let started = Instant::now();
        let mut running_since = None;
        let (active, successor, role) = loop {
            let active = patience.retry_essential(|| try_lock(path)).await;
            let active = active.map_err(unusable(path.join(LOCK_FILE)))?;
            let successor = patience.retry_essential(|| try_lock(&successor_path)).await;
            let successor = successor.map_err(unusable(successor_path.join(LOCK_FILE)))?;
            let successor_spool_exists = successor_path.join(mountshift_spool::FILE_NAME).exists();
            match mountshift_handover::determine_role(
                active.acquired,
                successor.acquired,
                successor_spool_exists,
            ) {
                // The successor takes the free lock in a moment, unless it is ending. Both locks go for that time.
                Ok(Role::Active(PreviousSuccessor::Running))
                    if running_since.get_or_insert_with(Instant::now).elapsed()
                        < SUCCESSOR_TAKEOVER_TIMEOUT =>
                {
                    drop((active, successor));
                    Timer::after(TAKEN_LOCK_PAUSE).await;
                }
                Ok(role) => break (active, successor, role),
                // One process may hold both: while it takes over, or takes up what a successor left.
                Err(_) if started.elapsed() < LOCK_ACQUISITION_TIMEOUT => {
                    Timer::after(TAKEN_LOCK_PAUSE).await;
                }
                Err(e) => {
                    return Err(StartError::StateDirInUse {
                        path: path.to_path_buf(),
                        reason: e.to_string(),
                    });
                }
            }
        };
        Ok(StateDir {
            path: path.to_path_buf(),
            successor_path,
            role,
            active_lock: active.file,
            successor_lock: Some(successor.file),
        })
    }

    /// Lets another process become this one's successor.
    pub(crate) fn release_successor_lock(&mut self) {
        self.successor_lock = None;
    }
}

/// True if another process holds the lock in `dir`.
pub(crate) fn is_locked_by_another(dir: &Path) -> bool {
    let file = File::open(dir.join(LOCK_FILE));
    file.is_ok_and(|file| matches!(file.try_lock(), Err(TryLockError::WouldBlock)))
}

/// The lock in `dir`, if it is free; held while the file is open.
pub(crate) fn take_free_lock(dir: &Path) -> Option<File> {
    let attempt = try_lock(dir).ok()?;
    attempt.acquired.then_some(attempt.file)
}

/// A lock file, and whether its lock is this process's.
struct LockAttempt {
    file: File,
    acquired: bool,
}

/// Takes the lock in `dir`, for as long as the file is open, if it is free.
fn try_lock(dir: &Path) -> io::Result<LockAttempt> {
    let file = File::create(dir.join(LOCK_FILE))?;
    match file.try_lock() {
        Ok(()) => Ok(LockAttempt { file, acquired: true }),
        Err(TryLockError::WouldBlock) => Ok(LockAttempt { file, acquired: false }),
        Err(TryLockError::Error(source)) => Err(source),
    }
}
