//! A lock between the processes of a node that share a folder.

use std::fs::{File, TryLockError};
use std::io;
use std::path::Path;
use thiserror::Error;

const FILE_NAME: &str = "node-state.lock";

/// The lock, given back when dropped or when the process ends.
pub struct FolderLock {
    _file: File,
}

/// Why there is no lock.
#[derive(Debug, Error)]
pub enum LockError {
    /// Another process has it.
    #[error("another process holds the state")]
    Held,
    /// The system cannot give it.
    #[error("no lock: {0}")]
    System(io::Error),
}

impl FolderLock {
    /// Takes the lock if it is free.
    ///
    /// # Errors
    /// Another process holds it, or the file cannot be opened.
    pub fn try_acquire(folder: &Path) -> Result<FolderLock, LockError> {
        let path = folder.join(FILE_NAME);
        let file = File::options().write(true).create(true).truncate(false).open(path);
        let file = file.map_err(LockError::System)?;
        match file.try_lock() {
            Ok(()) => Ok(FolderLock { _file: file }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held),
            Err(TryLockError::Error(error)) => Err(LockError::System(error)),
        }
    }
}
