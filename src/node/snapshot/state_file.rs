//! A small file that outlives the process.
//!
//! Writes and syncs may fail, and a kill may leave a write half done. So the file is replaced in one step
//! by a draft beside it, a checksum tells a complete file from a truncated one, and the last good one is
//! kept beside it.

use super::process_id::ProcessId;
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The first line is this word, the version, and the checksum of all that follows the line.
const MAGIC: &str = "node-state";
const VERSION: &str = "2";
/// A longer file was not written by this program, in bytes.
const MAX_BYTES: u64 = 1024 * 1024;
/// Suffixes of the last good file and of drafts.
const LAST_GOOD_SUFFIX: &str = "last";
const DRAFT_SUFFIX: &str = "draft";

/// Why a file cannot be read.
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
    /// All of it is there, and its name.
    Synced,
}

/// One such file.
pub struct StateFile {
    folder: PathBuf,
    name: &'static str,
    owner: ProcessId,
}

impl StateFile {
    /// The file of that name; nothing is read or written yet. `owner` is the process that writes drafts.
    pub fn new(folder: &Path, name: &'static str, owner: ProcessId) -> StateFile {
        StateFile { folder: folder.to_owned(), name, owner }
    }

    fn path(&self) -> PathBuf {
        self.folder.join(self.name)
    }

    fn last_good_path(&self) -> PathBuf {
        self.folder.join(format!("{}.{LAST_GOOD_SUFFIX}", self.name))
    }

    fn draft_path(&self) -> PathBuf {
        let ProcessId { pid, started } = self.owner;
        self.folder.join(format!("{}.{pid}-{started}.{DRAFT_SUFFIX}", self.name))
    }

    /// Reads what was written last, as far as an intact file is left; none where nothing was ever written.
    ///
    /// # Errors
    /// Neither the file nor the last good one can be read.
    pub fn read(&self) -> Result<Option<String>, ReadError> {
        match read_checked(&self.path()) {
            Ok(Some(body)) => Ok(Some(body)),
            // It is absent while another process replaces it.
            Ok(None) => read_checked(&self.last_good_path()),
            Err(error) => match read_checked(&self.last_good_path()) {
                Ok(Some(body)) => Ok(Some(body)),
                _ => Err(error),
            },
        }
    }

    /// Reads a file of version 1, which had neither first line nor checksum.
    pub fn read_version_1(&self) -> Option<String> {
        std::fs::read_to_string(self.path()).ok().filter(|text| text.starts_with('{'))
    }

    /// Replaces the file. Where that fails, what stood there before is still read.
    ///
    /// A synced file has two intact copies in the end; otherwise the file before is kept as the last good
    /// one.
    ///
    /// # Errors
    /// The system cannot write, sync or rename.
    pub fn write(&self, body: &str, durability: Durability) -> io::Result<()> {
        match durability {
            Durability::Visible => {
                // Only an intact file may take the place of the last good one.
                if matches!(read_checked(&self.path()), Ok(Some(_))) {
                    std::fs::rename(self.path(), self.last_good_path())?;
                }
                self.replace(&self.path(), body, durability)
            }
            Durability::Synced => {
                self.replace(&self.path(), body, durability)?;
                // The file is there for good already; the copy is for a disk that spoils it later.
                let _ = self.replace(&self.last_good_path(), body, durability);
                Ok(())
            }
        }
    }

    /// Replaces one file in one step.
    fn replace(&self, path: &Path, body: &str, durability: Durability) -> io::Result<()> {
        let draft = self.draft_path();
        let written = write_draft(&draft, body, durability).and_then(|()| std::fs::rename(&draft, path));
        if written.is_err() {
            // It may not be there, and the next draft replaces it.
            let _ = std::fs::remove_file(&draft);
        }
        written?;
        match durability {
            Durability::Visible => Ok(()),
            Durability::Synced => File::open(&self.folder)?.sync_all(),
        }
    }

    /// Removes drafts of processes that have ended.
    pub fn remove_stale_drafts(&self) {
        let Ok(entries) = std::fs::read_dir(&self.folder) else { return };
        for entry in entries.flatten() {
            let name = entry.file_name();
            let writer = name.to_str().and_then(|name| self.draft_writer(name));
            if writer.is_some_and(|writer| !writer.is_running()) {
                let _ = std::fs::remove_file(entry.path());
            }
        }
    }

    /// The process that writes a draft of that name.
    fn draft_writer(&self, name: &str) -> Option<ProcessId> {
        let writer = name.strip_prefix(self.name)?.strip_prefix('.')?;
        let (pid, started) = match writer.strip_suffix(DRAFT_SUFFIX) {
            Some(writer) => writer.strip_suffix('.')?.split_once('-')?,
            // Earlier versions wrote the number alone.
            None => (writer, "0"),
        };
        Some(ProcessId { pid: pid.parse().ok()?, started: started.parse().ok()? })
    }
}

fn write_draft(draft: &Path, body: &str, durability: Durability) -> io::Result<()> {
    let mut file = File::create(draft)?;
    let checksum = crc32fast::hash(body.as_bytes());
    file.write_all(format!("{MAGIC} {VERSION} {checksum:08x}\n{body}").as_bytes())?;
    match durability {
        Durability::Visible => Ok(()),
        Durability::Synced => file.sync_all(),
    }
}

/// The body of a file whose checksum is right; none where there is no file.
fn read_checked(path: &Path) -> Result<Option<String>, ReadError> {
    let length = match std::fs::metadata(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        found => found?.len(),
    };
    if length > MAX_BYTES {
        return Err(ReadError::TooLong(length));
    }
    let bytes = match std::fs::read(path) {
        // Another process has just moved it.
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    let text = String::from_utf8(bytes).map_err(|_| ReadError::Version)?;
    let (first_line, body) = text.split_once('\n').ok_or(ReadError::Version)?;
    let expected = checksum_of(first_line).ok_or(ReadError::Version)?;
    if expected != crc32fast::hash(body.as_bytes()) {
        return Err(ReadError::Checksum);
    }
    Ok(Some(body.to_owned()))
}

/// The checksum in the first line of a file of this version.
fn checksum_of(first_line: &str) -> Option<u32> {
    let version_and_checksum = first_line.strip_prefix(MAGIC)?.trim_start();
    let checksum = version_and_checksum.strip_prefix(VERSION)?.trim_start();
    u32::from_str_radix(checksum, 16).ok()
}
