//! Reads and writes a small file that survives a crash of the process.
//!
//! Writes and syncs may fail, and a kill may interrupt a write halfway. New content is therefore written to
//! a draft file, which then replaces the file by an atomic rename. A checksum distinguishes a complete file
//! from a truncated or corrupted one, and a last good copy is kept in the same folder.

use super::process_id::ProcessId;
use std::fs::File;
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The first word of the first line, which is `MAGIC VERSION CHECKSUM`. The checksum is the CRC-32 of all
/// that follows the first line, as 8 hexadecimal digits.
const MAGIC: &str = "node-state";
/// The version of the file format, the second word of the first line.
const VERSION: &str = "2";
/// The largest file that is read, in bytes: the size of the largest response of discovery. An entry of a file
/// is shorter than an entry of such a response.
pub(super) const MAX_BYTES: u64 = 8 * 1024 * 1024;
/// Suffix of the last good copy, `NAME.last`.
const LAST_GOOD_SUFFIX: &str = "last";
/// Suffix of a draft, `NAME.PID-STARTED.draft`.
const DRAFT_SUFFIX: &str = "draft";

/// Why a file cannot be read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The operating system cannot read the file.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The file is longer than [`MAX_BYTES`]; holds its length in bytes.
    #[error("a file of {0} bytes is too long")]
    TooLong(u64),
    /// The file was truncated, or modified by something else.
    #[error("the checksum is wrong")]
    Checksum,
    /// The first line is not that of this program and format version, or the file is not UTF-8.
    #[error("not a state file of version {VERSION}")]
    Version,
}

/// What a write guarantees when it returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Other processes read the new content; a crash of the machine may lose it.
    Visible,
    /// The content and the directory entry have been synced to disk, so that they survive a crash of the
    /// machine.
    Synced,
}

/// Identifies one content of a file: each write gives the file another stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    bytes: u64,
}

/// A state file in a folder that all processes of the node share, together with its last good copy and its
/// drafts.
pub struct StateFile {
    folder: PathBuf,
    name: &'static str,
    owner: ProcessId,
}

impl StateFile {
    /// Refers to the file `name` in `folder` without reading or writing anything. `owner` is the process
    /// that writes through this value; it is part of the names of the drafts.
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
        let ProcessId { pid, start_ticks } = self.owner;
        self.folder.join(format!("{}.{pid}-{start_ticks}.{DRAFT_SUFFIX}", self.name))
    }

    /// Reads the body of the file, or that of the last good copy if the file is missing or damaged. Returns
    /// `None` if neither exists.
    ///
    /// # Errors
    /// The file cannot be read, and there is no readable last good copy; or the file is missing, and the
    /// last good copy cannot be read.
    pub fn read(&self) -> Result<Option<String>, ReadError> {
        match read_checked(&self.path()) {
            Ok(Some(body)) => Ok(Some(body)),
            // With `Durability::Visible`, the file is missing for a moment between the two renames of
            // `write`.
            Ok(None) => read_checked(&self.last_good_path()),
            Err(error) => match read_checked(&self.last_good_path()) {
                Ok(Some(body)) => Ok(Some(body)),
                _ => Err(error),
            },
        }
    }

    /// Returns the stamp of the file, or `None` if the file is missing or cannot be accessed.
    pub fn stamp(&self) -> Option<FileStamp> {
        let metadata = std::fs::metadata(self.path()).ok()?;
        Some(FileStamp {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            bytes: metadata.len(),
        })
    }

    /// Reads a file of format version 1, which was plain JSON without a first line and a checksum. Returns
    /// `None` if the file cannot be read or does not begin with `{`.
    pub fn read_version_1(&self) -> Option<String> {
        std::fs::read_to_string(self.path()).ok().filter(|text| text.starts_with('{'))
    }

    /// Replaces the file. If a step before the replacement fails, [`StateFile::read`] still returns the
    /// previous body; if only the sync of the folder fails, it returns the new one.
    ///
    /// With [`Durability::Synced`], the last good copy gets the new body as well. With
    /// [`Durability::Visible`], the previous file becomes the last good copy.
    ///
    /// # Errors
    /// The operating system cannot write, sync or rename.
    pub fn write(&self, body: &str, durability: Durability) -> io::Result<()> {
        match durability {
            Durability::Visible => {
                // A damaged file must not replace the last good copy.
                if matches!(read_checked(&self.path()), Ok(Some(_))) {
                    std::fs::rename(self.path(), self.last_good_path())?;
                }
                self.replace(&self.path(), body, durability)
            }
            Durability::Synced => {
                self.replace(&self.path(), body, durability)?;
                // The file is already durable. The copy protects against later corruption on the disk, so a
                // failure to write the copy is not an error.
                let _ = self.replace(&self.last_good_path(), body, durability);
                Ok(())
            }
        }
    }

    /// Writes a draft and renames it to `path`, so that readers see either the old or the new file.
    fn replace(&self, path: &Path, body: &str, durability: Durability) -> io::Result<()> {
        let draft = self.draft_path();
        let replaced = write_draft(&draft, body, durability).and_then(|()| std::fs::rename(&draft, path));
        if replaced.is_err() {
            // An error here is harmless: the draft may not exist, and the next write overwrites it.
            let _ = std::fs::remove_file(&draft);
        }
        replaced?;
        match durability {
            Durability::Visible => Ok(()),
            Durability::Synced => File::open(&self.folder)?.sync_all(),
        }
    }

    /// Removes drafts that processes left behind when they ended in the middle of a write.
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

    /// Returns the process whose draft has this file name, or `None` if `name` is not that of a draft of
    /// this file.
    fn draft_writer(&self, name: &str) -> Option<ProcessId> {
        let writer = name.strip_prefix(self.name)?.strip_prefix('.')?;
        let (pid, start_ticks) = match writer.strip_suffix(DRAFT_SUFFIX) {
            Some(writer) => writer.strip_suffix('.')?.split_once('-')?,
            // Earlier versions named a draft `NAME.PID`. Without a start time, it counts as that of a
            // process that has ended.
            None => (writer, "0"),
        };
        Some(ProcessId { pid: pid.parse().ok()?, start_ticks: start_ticks.parse().ok()? })
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

/// Reads a file and verifies its checksum; the body is what follows the first line. Returns `None` if there
/// is no file.
fn read_checked(path: &Path) -> Result<Option<String>, ReadError> {
    let length = match std::fs::metadata(path) {
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        found => found?.len(),
    };
    if length > MAX_BYTES {
        return Err(ReadError::TooLong(length));
    }
    let bytes = match std::fs::read(path) {
        // Another process has renamed the file since its length was read.
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    let text = String::from_utf8(bytes).map_err(|_| ReadError::Version)?;
    let (first_line, body) = text.split_once('\n').ok_or(ReadError::Version)?;
    let expected = parse_first_line(first_line).ok_or(ReadError::Version)?;
    if expected != crc32fast::hash(body.as_bytes()) {
        return Err(ReadError::Checksum);
    }
    Ok(Some(body.to_owned()))
}

/// Returns the checksum that the first line states, or `None` if it is not the first line of a file of this
/// format version.
fn parse_first_line(first_line: &str) -> Option<u32> {
    let version_and_checksum = first_line.strip_prefix(MAGIC)?.trim_start();
    let checksum = version_and_checksum.strip_prefix(VERSION)?.trim_start();
    u32::from_str_radix(checksum, 16).ok()
}
