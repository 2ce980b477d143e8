//! A small file that outlives the process: replaced in one step, told whole from half by a checksum, and with the last
//! good one kept beside it.

use crate::snapshot::process_id::ProcessId;
use std::fs::{File, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The first word of such a file, its version, and the checksum of all that follows the line.
const MAGIC: &str = "node-state";
const VERSION: &str = "2";
/// A longer file is none of ours.
const MAX_LENGTH: u64 = 1024 * 1024;
const DRAFT: &str = "draft";

/// Why there is nothing to read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The system cannot read it.
    #[error("{0}")]
    System(#[from] io::Error),
    /// It is too long.
    #[error("{0} bytes are too many")]
    TooLong(u64),
    /// It was cut, or changed by something else.
    #[error("the checksum is wrong")]
    Checksum,
    /// It was not written by this program, or by another version of it.
    #[error("not a state of version {VERSION}")]
    Version,
}

/// How much of what is written must be on the disk when the call returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Other processes see it; the end of the machine may lose it.
    Visible,
    /// All of it, and its name.
    Synced,
}

/// One such file.
pub struct StateFile {
    folder: PathBuf,
    name: &'static str,
    owner: ProcessId,
}

impl StateFile {
    /// The file of that name; nothing is read or written yet.
    pub fn new(folder: &Path, name: &'static str, owner: ProcessId) -> StateFile {
        StateFile { folder: folder.to_owned(), name, owner }
    }

    fn path(&self) -> PathBuf {
        self.folder.join(self.name)
    }

    fn last_good(&self) -> PathBuf {
        self.folder.join(format!("{}.last", self.name))
    }

    fn draft(&self) -> PathBuf {
        let ProcessId { pid, started } = self.owner;
        self.folder.join(format!("{}.{pid}-{started}.{DRAFT}", self.name))
    }

    /// What was written last, as far as a whole one is left; none where nothing was ever written.
    pub fn read(&self) -> Result<Option<String>, ReadError> {
        match read_checked(&self.path()) {
            Ok(Some(body)) => Ok(Some(body)),
            // Not there while another process replaces it, or cut.
            Ok(None) => read_checked(&self.last_good()),
            Err(error) => match read_checked(&self.last_good()) {
                Ok(Some(body)) => Ok(Some(body)),
                _ => Err(error),
            },
        }
    }

    /// The content of a file of an earlier version, which had neither first line nor checksum.
    pub fn read_unchecked(&self) -> Option<String> {
        std::fs::read_to_string(self.path()).ok().filter(|text| text.starts_with('{'))
    }

    /// Replaces it. Where that fails, what stood there before is still read.
    ///
    /// What is synced has two whole copies in the end; of the rest, the last good one is put aside.
    pub fn write(&self, body: &str, durability: Durability) -> io::Result<()> {
        match durability {
            Durability::Visible => {
                // Only a whole one may take the place of the last good one.
                if matches!(read_checked(&self.path()), Ok(Some(_))) {
                    std::fs::rename(self.path(), self.last_good())?;
                }
                self.replace(&self.path(), body, durability)
            }
            Durability::Synced => {
                self.replace(&self.path(), body, durability)?;
                // It is there for good already; this is for a disk that spoils it later.
                let _ = self.replace(&self.last_good(), body, durability);
                Ok(())
            }
        }
    }

    /// Replaces one file in one step.
    fn replace(&self, path: &Path, body: &str, durability: Durability) -> io::Result<()> {
        let draft = self.draft();
        let written =
            self.write_draft(&draft, body, durability).and_then(|()| std::fs::rename(&draft, path));
        if written.is_err() {
            // It may not be there, and the next one replaces it.
            let _ = std::fs::remove_file(&draft);
        }
        written?;
        match durability {
            Durability::Visible => Ok(()),
            Durability::Synced => File::open(&self.folder)?.sync_all(),
        }
    }

    fn write_draft(&self, draft: &Path, body: &str, durability: Durability) -> io::Result<()> {
        let mut file = File::create(draft)?;
        let checksum = crc32fast::hash(body.as_bytes());
        file.write_all(format!("{MAGIC} {VERSION} {checksum:08x}\n{body}").as_bytes())?;
        match durability {
            Durability::Visible => Ok(()),
            Durability::Synced => file.sync_all(),
        }
    }

    /// Removes what processes that have ended left half done.
    pub fn remove_leftovers(&self) {
        let Ok(entries) = std::fs::read_dir(&self.folder) else { return };
        for entry in entries.flatten() {
            let name = entry.file_name();
            let writer = name.to_str().and_then(|name| self.draft_writer(name));
            if writer.is_some_and(|writer| !writer.runs()) {
                let _ = std::fs::remove_file(entry.path());
            }
        }
    }

    /// Which process writes a draft of that name.
    fn draft_writer(&self, name: &str) -> Option<ProcessId> {
        let writer = name.strip_prefix(self.name)?.strip_prefix('.')?;
        let (pid, started) = match writer.strip_suffix(DRAFT) {
            Some(writer) => writer.strip_suffix('.')?.split_once('-')?,
            // Earlier versions put the number alone.
            None => (writer, "0"),
        };
        Some(ProcessId { pid: pid.parse().ok()?, started: started.parse().ok()? })
    }
}

/// The body of a file whose checksum is right; none where there is no file.
fn read_checked(path: &Path) -> Result<Option<String>, ReadError> {
    let length = match std::fs::metadata(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        found => found?.len(),
    };
    if length > MAX_LENGTH {
        return Err(ReadError::TooLong(length));
    }
    let bytes = match std::fs::read(path) {
        // Another process has just put it aside.
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    let text = String::from_utf8(bytes).map_err(|_| ReadError::Version)?;
    let (first, body) = text.split_once('\n').ok_or(ReadError::Version)?;
    let checksum = first.strip_prefix(MAGIC).and_then(|rest| rest.trim_start().strip_prefix(VERSION));
    let checksum = checksum.and_then(|rest| u32::from_str_radix(rest.trim_start(), 16).ok());
    if checksum.ok_or(ReadError::Version)? != crc32fast::hash(body.as_bytes()) {
        return Err(ReadError::Checksum);
    }
    Ok(Some(body.to_owned()))
}

/// A lock between the processes of a node, given back when dropped or when the process ends.
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
    const NAME: &str = "node-state.lock";

    /// Takes it if it is free.
    pub fn take(folder: &Path) -> Result<FolderLock, LockError> {
        let path = folder.join(FolderLock::NAME);
        let file = File::options().write(true).create(true).truncate(false).open(path);
        let file = file.map_err(LockError::System)?;
        match file.try_lock() {
            Ok(()) => Ok(FolderLock { _file: file }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held),
            Err(TryLockError::Error(error)) => Err(LockError::System(error)),
        }
    }
}
