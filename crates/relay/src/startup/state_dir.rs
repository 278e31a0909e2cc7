//! The state folder: its locks, and the role of this process that follows from them.

use super::retry::RetryDeadlines;
use crate::error::StartError;
use async_io::Timer;
use mountshift_handover::{
    LOCK_ACQUISITION_TIMEOUT, LOCK_FILE, PreviousSuccessor, Role, SUCCESSOR_DIR, SUCCESSOR_TAKEOVER_TIMEOUT,
};
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Pause between two attempts to acquire the locks.
const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The state folder and the locks that this process holds in it.
pub(crate) struct StateDir {
    /// The state folder, used by the active process.
    pub(crate) path: PathBuf,
    /// Subfolder used by a successor.
    pub(crate) successor_path: PathBuf,
    /// Role of this process at its start.
    pub(crate) role: Role,
    /// Lock file of the active process. The lock is held already, or is acquired once it is free; it is released when
    /// the file is closed.
    pub(crate) active_lock: File,
    successor_lock: Option<File>,
}

impl StateDir {
    /// Acquires the free locks and determines the role of this process.
    pub(crate) async fn open(path: &Path, retry_deadlines: &RetryDeadlines) -> Result<StateDir, StartError> {
        let successor_path = path.join(SUCCESSOR_DIR);
        let unusable = |path: PathBuf| move |source| StartError::State { path, source };
        let created = retry_deadlines.retry_required(|| std::fs::create_dir_all(&successor_path)).await;
        created.map_err(unusable(path.to_path_buf()))?;
        let started = Instant::now();
        let mut running_since = None;
        let (active, successor, role) = loop {
            let active = retry_deadlines.retry_required(|| try_lock(path)).await;
            let active = active.map_err(unusable(path.join(LOCK_FILE)))?;
            let successor = retry_deadlines.retry_required(|| try_lock(&successor_path)).await;
            let successor = successor.map_err(unusable(successor_path.join(LOCK_FILE)))?;
            let successor_spool_exists = successor_path.join(mountshift_spool::SPOOL_FILE).exists();
            match mountshift_handover::determine_role(
                active.is_acquired,
                successor.is_acquired,
                successor_spool_exists,
            ) {
                // The running successor is about to acquire the free lock, unless it is stopping. Both locks are
                // released meanwhile.
                Ok(Role::Active(PreviousSuccessor::Running))
                    if running_since.get_or_insert_with(Instant::now).elapsed()
                        < SUCCESSOR_TAKEOVER_TIMEOUT =>
                {
                    drop((active, successor));
                    Timer::after(LOCK_RETRY_PAUSE).await;
                }
                Ok(role) => break (active, successor, role),
                // Another process may hold both locks briefly, during a takeover or while it adopts the messages of a
                // successor.
                Err(_) if started.elapsed() < LOCK_ACQUISITION_TIMEOUT => {
                    Timer::after(LOCK_RETRY_PAUSE).await;
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

    /// Releases the successor lock, so that another process can become the successor.
    pub(crate) fn release_successor_lock(&mut self) {
        self.successor_lock = None;
    }
}

/// Returns whether another process holds the lock in `dir`.
pub(crate) fn is_locked_by_another(dir: &Path) -> bool {
    let file = File::open(dir.join(LOCK_FILE));
    file.is_ok_and(|file| matches!(file.try_lock(), Err(TryLockError::WouldBlock)))
}

/// Acquires the lock in `dir` if it is free; it is held while the returned file is open.
pub(crate) fn take_free_lock(dir: &Path) -> Option<File> {
    let attempt = try_lock(dir).ok()?;
    attempt.is_acquired.then_some(attempt.file)
}

/// A lock file, and whether this process acquired its lock.
struct LockAttempt {
    file: File,
    is_acquired: bool,
}

/// Tries to acquire the lock in `dir`; it is held while the file is open.
fn try_lock(dir: &Path) -> io::Result<LockAttempt> {
    let file = File::create(dir.join(LOCK_FILE))?;
    match file.try_lock() {
        Ok(()) => Ok(LockAttempt { file, is_acquired: true }),
        Err(TryLockError::WouldBlock) => Ok(LockAttempt { file, is_acquired: false }),
        Err(TryLockError::Error(source)) => Err(source),
    }
}
