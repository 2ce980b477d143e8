//! Reads and writes the files that one process leaves to the next, and defines all but one of them.
//!
//! `node-calls.json` contains the operators' overrides: the endpoints that are out of service. An override
//! must hold from the moment that its command is answered, so it is synced to disk before the answer.
//! `node-state.json` contains the identity of the serving process and what that process has learned about
//! endpoints. It is written periodically, and a new process can start without it.
//!
//! `node-discovery.json` contains the address of discovery that the last SIGHUP told. `node-list.json` contains
//! the endpoint list; [`list_record`](super::list_record) defines it.
//!
//! The names of the JSON keys must not change, since processes of different versions read each other's
//! files.

use super::list_record::{LIST_FORMAT, ListRecord};
use super::process_id::ProcessId;
use super::state_file::{Durability, FileStamp, ReadError, StateFile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;
use wheelpath::policy::{EndpointId, EndpointSnapshot};

const OVERRIDES_FILE: &str = "node-calls.json";
const PROCESS_FILE: &str = "node-state.json";
const LIST_FILE: &str = "node-list.json";
const ADDRESS_FILE: &str = "node-discovery.json";

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// The file cannot be read, or is damaged.
    #[error("{file}: {cause}")]
    Read {
        /// The file name, without its folder.
        file: &'static str,
        /// The error of the operating system, or the check that the file failed.
        cause: ReadError,
    },
    /// The file is intact, but its body is not JSON of the expected form.
    #[error("{file}: {cause}")]
    Content {
        /// The file name, without its folder.
        file: &'static str,
        /// The parse error.
        cause: serde_json::Error,
    },
    /// The file is intact, but a later version of this program wrote it in a format that this one cannot read.
    #[error("{file}: format {found} is later than {LIST_FORMAT}")]
    Format {
        /// The file name, without its folder.
        file: &'static str,
        /// The number of the format in the file.
        found: u32,
    },
}

/// The endpoints that operators have taken out of service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorOverrides {
    /// Grows with each change of the overrides. If two processes disagree, the overrides with the higher
    /// revision apply.
    #[serde(rename = "number")]
    pub revision: u64,
    disabled: BTreeSet<u64>,
}

impl OperatorOverrides {
    /// Creates overrides that have `disabled` out of service and all other endpoints in service.
    pub fn new(revision: u64, disabled: &BTreeSet<EndpointId>) -> OperatorOverrides {
        OperatorOverrides { revision, disabled: disabled.iter().map(|id| id.0).collect() }
    }

    /// Returns the endpoints that are out of service.
    pub fn disabled(&self) -> BTreeSet<EndpointId> {
        self.disabled.iter().map(|id| EndpointId(*id)).collect()
    }
}

/// The address of discovery that a SIGHUP told. Records are ordered by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AddressRecord {
    /// Grows with each reload of any process of the node.
    pub number: u64,
    /// The address.
    pub discovery: SocketAddr,
}

/// The identity of the serving process and what it has learned about endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// The process that wrote this record. Its fields stand directly in the record's JSON object.
    #[serde(flatten)]
    pub process: ProcessId,
    /// The version of the endpoint list that the process had from discovery; `None` before it had any.
    #[serde(rename = "list")]
    pub list_version: Option<u64>,
    /// One entry for each endpoint in the process's snapshot.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// What a process has learned about an endpoint. Times are stored as durations: each process has a
/// monotonic clock of its own, and the wall clock may be stepped, so neither can express a point in time
/// that the next process could use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    id: u64,
    /// How long ago the endpoint's slow start began; `None` if the endpoint is not in slow start.
    #[serde(rename = "cold_for_ms")]
    slow_start_elapsed_ms: Option<f64>,
    /// Time until the endpoint's trial (its PRAT); `None` if the endpoint is not congested.
    trial_in_ms: Option<f64>,
    #[serde(rename = "cap")]
    concurrency_limit: f64,
    #[serde(rename = "served")]
    served_per_second: f64,
}

impl EndpointRecord {
    /// Converts a snapshot that was taken at `now_ms`, in milliseconds on the monotonic clock of this
    /// process.
    pub fn new(snapshot: &EndpointSnapshot, now_ms: f64) -> EndpointRecord {
        EndpointRecord {
            id: snapshot.endpoint.0,
            slow_start_elapsed_ms: snapshot.started_at_ms.map(|at_ms| (now_ms - at_ms).max(0.0)),
            trial_in_ms: snapshot.prat_ms.map(|at_ms| (at_ms - now_ms).max(0.0)),
            concurrency_limit: snapshot.concurrency_limit,
            served_per_second: snapshot.served_per_second,
        }
    }

    /// Converts the record back to a snapshot, as if it had been written at `now_ms`, in milliseconds on
    /// the monotonic clock of this process. The time since it was really written is unknown. Counting it as
    /// zero is safe: it can only prolong a slow start or postpone a trial.
    pub fn to_snapshot(&self, now_ms: f64) -> EndpointSnapshot {
        EndpointSnapshot {
            endpoint: EndpointId(self.id),
            started_at_ms: self.slow_start_elapsed_ms.map(|elapsed_ms| now_ms - elapsed_ms.max(0.0)),
            prat_ms: self.trial_in_ms.map(|remaining_ms| now_ms + remaining_ms.max(0.0)),
            concurrency_limit: self.concurrency_limit,
            served_per_second: self.served_per_second,
        }
    }
}

/// The records that are read from the single file of a process of format version 1.
#[derive(Debug, PartialEq)]
pub struct Version1Records {
    /// The operators' overrides at that time.
    pub overrides: OperatorOverrides,
    /// The serving process, without endpoints.
    pub process: ProcessRecord,
}

/// The content of `node-state.json` in format version 1, which contained the overrides as well. The record
/// of the endpoints is not read, because its times are wall clock times.
#[derive(Debug, Deserialize)]
struct Version1File {
    version: u64,
    pid: u32,
    #[serde(rename = "calls")]
    override_revision: u64,
    /// Ids of the disabled endpoints, in hexadecimal.
    #[serde(rename = "out")]
    disabled: Vec<String>,
    #[serde(rename = "list")]
    list_version: Option<u64>,
}

impl Version1File {
    /// Parses the text of a file. Returns `None` if it is not a valid file of version 1.
    fn parse(text: &str) -> Option<Version1Records> {
        let file: Version1File = serde_json::from_str(text).ok()?;
        if file.version != 1 {
            return None;
        }
        let disabled: Option<BTreeSet<u64>> =
            file.disabled.iter().map(|id| u64::from_str_radix(id, 16).ok()).collect();
        let process = ProcessId { pid: file.pid, start_ticks: 0 };
        Some(Version1Records {
            overrides: OperatorOverrides { revision: file.override_revision, disabled: disabled? },
            process: ProcessRecord { process, list_version: file.list_version, endpoints: Vec::new() },
        })
    }
}

/// The files, in the folder that all processes of the node share.
pub struct SnapshotStore {
    overrides_file: StateFile,
    process_file: StateFile,
    list_file: StateFile,
    address_file: StateFile,
}

impl SnapshotStore {
    /// Refers to the files in `folder` without reading or writing anything. `owner` is the process that
    /// writes through this store.
    pub fn new(folder: &Path, owner: ProcessId) -> SnapshotStore {
        SnapshotStore {
            overrides_file: StateFile::new(folder, OVERRIDES_FILE, owner),
            process_file: StateFile::new(folder, PROCESS_FILE, owner),
            list_file: StateFile::new(folder, LIST_FILE, owner),
            address_file: StateFile::new(folder, ADDRESS_FILE, owner),
        }
    }

    /// Reads the operators' overrides. Returns `None` if none were ever written.
    ///
    /// # Errors
    /// The file cannot be read, is damaged, or does not contain overrides.
    pub fn read_overrides(&self) -> Result<Option<OperatorOverrides>, SnapshotError> {
        parse(OVERRIDES_FILE, self.overrides_file.read())
    }

    /// Reads the record of the serving process. Returns `None` if none was ever written.
    ///
    /// # Errors
    /// The file cannot be read, is damaged, or does not contain a process record.
    pub fn read_process(&self) -> Result<Option<ProcessRecord>, SnapshotError> {
        parse(PROCESS_FILE, self.process_file.read())
    }

    /// Reads the endpoint list. Returns `None` if none was ever written.
    ///
    /// # Errors
    /// The file cannot be read, is damaged, does not contain a list, or has a later format.
    pub fn read_list(&self) -> Result<Option<ListRecord>, SnapshotError> {
        let record: Option<ListRecord> = parse(LIST_FILE, self.list_file.read())?;
        match record {
            Some(ListRecord { format, .. }) if format > LIST_FORMAT => {
                Err(SnapshotError::Format { file: LIST_FILE, found: format })
            }
            record => Ok(record),
        }
    }

    /// Returns the stamp of the file of the endpoint list, or `None` if there is no such file.
    pub fn list_stamp(&self) -> Option<FileStamp> {
        self.list_file.stamp()
    }

    /// Reads the address of discovery that the last SIGHUP told. Returns `None` if none was ever written.
    ///
    /// # Errors
    /// The file cannot be read, is damaged, or does not contain an address.
    pub fn read_address(&self) -> Result<Option<AddressRecord>, SnapshotError> {
        parse(ADDRESS_FILE, self.address_file.read())
    }

    /// Returns the stamp of the file of that address, or `None` if there is no such file.
    pub fn address_stamp(&self) -> Option<FileStamp> {
        self.address_file.stamp()
    }

    /// Reads a file of format version 1. Returns `None` if there is no such file.
    pub fn read_version_1(&self) -> Option<Version1Records> {
        self.process_file.read_version_1().and_then(|text| Version1File::parse(&text))
    }

    /// Writes the operators' overrides.
    ///
    /// # Errors
    /// The operating system cannot write, sync or rename the file.
    pub fn write_overrides(&self, overrides: &OperatorOverrides, durability: Durability) -> io::Result<()> {
        self.overrides_file.write(&to_json(overrides), durability)
    }

    /// Writes the record of the serving process, without syncing it.
    ///
    /// # Errors
    /// The operating system cannot write or rename the file.
    pub fn write_process(&self, record: &ProcessRecord) -> io::Result<()> {
        self.process_file.write(&to_json(record), Durability::Visible)
    }

    /// Writes the endpoint list, without syncing it.
    ///
    /// # Errors
    /// The operating system cannot write or rename the file.
    pub fn write_list(&self, record: &ListRecord) -> io::Result<()> {
        self.list_file.write(&to_json(record), Durability::Visible)
    }

    /// Writes the address of discovery that the last SIGHUP told, without syncing it.
    ///
    /// # Errors
    /// The operating system cannot write or rename the file.
    pub fn write_address(&self, record: &AddressRecord) -> io::Result<()> {
        self.address_file.write(&to_json(record), Durability::Visible)
    }

    /// Removes drafts of the files that processes left behind when they ended in the middle of a write.
    pub fn remove_stale_drafts(&self) {
        self.overrides_file.remove_stale_drafts();
        self.process_file.remove_stale_drafts();
        self.list_file.remove_stale_drafts();
        self.address_file.remove_stale_drafts();
    }
}

/// Parses the body that was read from `file`.
fn parse<T: for<'a> Deserialize<'a>>(
    file: &'static str,
    read: Result<Option<String>, ReadError>,
) -> Result<Option<T>, SnapshotError> {
    match read {
        Ok(None) => Ok(None),
        Ok(Some(body)) => {
            serde_json::from_str(&body).map(Some).map_err(|cause| SnapshotError::Content { file, cause })
        }
        Err(cause) => Err(SnapshotError::Read { file, cause }),
    }
}

/// Serializes one of the records. This cannot fail: a record consists of numbers, lists and string keys
/// only.
fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

#[cfg(test)]
#[path = "../../../tests/unit/snapshot_store.rs"]
mod tests;
