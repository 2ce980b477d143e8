//! An advisory file lock that excludes the other processes of the node, which share one folder for their
//! state files.

use std::fs::{File, TryLockError};
use std::io;
use std::path::Path;
use thiserror::Error;

const LOCK_FILE_NAME: &str = "node-state.lock";

/// A held lock on a folder. It is released when this value is dropped or the process ends, however it ends.
pub struct FolderLock {
    _file: File,
}

/// Why the lock could not be taken.
#[derive(Debug, Error)]
pub enum LockError {
    /// Another process holds the lock.
    #[error("another process holds the state lock")]
    Held,
    /// The operating system could not open or lock the lock file.
    #[error("cannot lock the state: {0}")]
    System(io::Error),
}

impl FolderLock {
    /// Takes the lock on `folder` if it is free; does not wait for it.
    ///
    /// # Errors
    /// Another process holds the lock, or the lock file cannot be opened or locked.
    pub fn try_acquire(folder: &Path) -> Result<FolderLock, LockError> {
        let path = folder.join(LOCK_FILE_NAME);
        let file = File::options().write(true).create(true).truncate(false).open(path);
        let file = file.map_err(LockError::System)?;
        match file.try_lock() {
            Ok(()) => Ok(FolderLock { _file: file }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held),
            Err(TryLockError::Error(error)) => Err(LockError::System(error)),
        }
    }
}
