//! Shares the trace ids of requests that must not run twice between the processes of the node.
//!
//! While two processes serve on one listening socket, a client may send an id to one of them and again to the
//! other, and a process that takes over from one that was killed knows nothing of the requests before. Each
//! process therefore claims an id in a file of their common folder before it accepts the request.
//!
//! The file is a table of hashes, of a fixed size, in which the hash determines the slot. A later id takes the
//! slot of an earlier one, so the table holds most of the recent ids. Its writes replace eight bytes, which the
//! other process sees at once, and are not synced: the table is for processes on one running system. Two
//! processes that claim the same id within the few microseconds between a read and a write may both succeed.

use crate::observability::log;
use std::cell::Cell;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

const FILE_NAME: &str = "node-ids";
/// The number of slots. With a thousand ids in the meantime, fewer than one in a hundred is lost.
const SLOT_COUNT: u64 = 128 * 1024;
const SLOT_BYTES: u64 = 8;
/// The content of a slot that holds no id.
const EMPTY_SLOT: u64 = 0;

/// The table of claimed ids.
pub struct SharedTraceIds {
    file: File,
    /// Whether a failure to read or write the file has been logged.
    has_logged_failure: Cell<bool>,
}

impl SharedTraceIds {
    /// Opens the table in the folder for temporary files, which all processes of the node share, and creates it
    /// if there is none. Returns `None` and logs the reason if that fails. The processes then do not know each
    /// other's ids.
    pub fn open() -> Option<SharedTraceIds> {
        match open_table(&std::env::temp_dir().join(FILE_NAME)) {
            Ok(file) => Some(SharedTraceIds { file, has_logged_failure: Cell::new(false) }),
            Err(error) => {
                log::line(&format!("handover: {FILE_NAME}: {error}, starting without it"));
                None
            }
        }
    }

    /// Claims an id, and returns whether no process had claimed it before. If the file cannot be read or
    /// written, the id counts as not claimed.
    pub fn claim(&self, hash: u64) -> bool {
        match self.try_claim(hash) {
            Ok(is_new) => is_new,
            Err(error) => {
                self.log_failure(&error);
                true
            }
        }
    }

    /// Withdraws a claim of this process, whose request did not run.
    pub fn release(&self, hash: u64) {
        let released = self.read_slot(hash).and_then(|found| {
            if found == stored(hash) { self.write_slot(hash, EMPTY_SLOT) } else { Ok(()) }
        });
        if let Err(error) = released {
            self.log_failure(&error);
        }
    }

    fn try_claim(&self, hash: u64) -> io::Result<bool> {
        if self.read_slot(hash)? == stored(hash) {
            return Ok(false);
        }
        self.write_slot(hash, stored(hash))?;
        Ok(true)
    }

    fn read_slot(&self, hash: u64) -> io::Result<u64> {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.file.read_exact_at(&mut bytes, slot_offset(hash))?;
        Ok(u64::from_le_bytes(bytes))
    }

    fn write_slot(&self, hash: u64, value: u64) -> io::Result<()> {
        self.file.write_all_at(&value.to_le_bytes(), slot_offset(hash))
    }

    fn log_failure(&self, error: &io::Error) {
        if !self.has_logged_failure.replace(true) {
            log::line(&format!("handover: {FILE_NAME}: {error}"));
        }
    }
}

fn open_table(path: &Path) -> io::Result<File> {
    let file = File::options().read(true).write(true).create(true).truncate(false).open(path)?;
    file.set_len(SLOT_COUNT * SLOT_BYTES)?;
    Ok(file)
}

fn slot_offset(hash: u64) -> u64 {
    hash % SLOT_COUNT * SLOT_BYTES
}

/// Returns the content of the slot of a claimed id, which is never [`EMPTY_SLOT`].
fn stored(hash: u64) -> u64 {
    hash.max(EMPTY_SLOT + 1)
}

#[cfg(test)]
#[path = "../../../tests/unit/shared_trace_ids.rs"]
mod tests;
