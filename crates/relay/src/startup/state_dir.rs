//! The locks in the state folder.

use mountshift_handover::LOCK_FILE;
use std::fs::{File, TryLockError};
use std::path::Path;

/// Takes the lock in `dir` for as long as the file is open: true if it is this process's.
pub(crate) fn lock(dir: &Path) -> Result<(File, bool), String> {
    let path = dir.join(LOCK_FILE);
    let file = File::create(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    match file.try_lock() {
        Ok(()) => Ok((file, true)),
        Err(TryLockError::WouldBlock) => Ok((file, false)),
        Err(TryLockError::Error(e)) => Err(format!("{}: {e}", path.display())),
    }
}

/// True if another process holds the lock in `dir`.
pub(crate) fn held_by_another(dir: &Path) -> bool {
    let file = File::open(dir.join(LOCK_FILE));
    file.is_ok_and(|f| matches!(f.try_lock(), Err(TryLockError::WouldBlock)))
}
