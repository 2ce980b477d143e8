//! The form of what one process leaves to the next, in two files.
//!
//! `node-calls.json` has the operators' overrides, which endpoints are out of service. They are owed once a
//! command was answered, so they are on the disk by then. `node-state.json` has what the serving process is
//! and has learned; it is written now and then, and a new process can do without. The names of their keys
//! stay as they are: processes of different versions read each other's files.

use super::process_id::ProcessId;
use super::state_file::{Durability, ReadError, StateFile};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use thiserror::Error;
use wheelpath::policy::{EndpointId, EndpointSnapshot};

const OVERRIDES_FILE: &str = "node-calls.json";
const PROCESS_FILE: &str = "node-state.json";

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum SnapshotError {
    /// It cannot be read.
    #[error("{file}: {cause}")]
    Read {
        /// The file.
        file: &'static str,
        /// Why.
        cause: ReadError,
    },
    /// What it holds is not understood.
    #[error("{file}: {cause}")]
    Content {
        /// The file.
        file: &'static str,
        /// Why.
        cause: serde_json::Error,
    },
}

/// Which endpoints are out of service by the operators' commands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorOverrides {
    /// How many commands have changed that: of two records the one with the higher revision holds.
    #[serde(rename = "number")]
    pub revision: u64,
    disabled: BTreeSet<u64>,
}

impl OperatorOverrides {
    /// A record of these endpoints.
    pub fn new(revision: u64, disabled: &BTreeSet<EndpointId>) -> OperatorOverrides {
        OperatorOverrides { revision, disabled: disabled.iter().map(|id| id.0).collect() }
    }

    /// The endpoints that are out of service.
    pub fn disabled(&self) -> BTreeSet<EndpointId> {
        self.disabled.iter().map(|id| EndpointId(*id)).collect()
    }
}

/// What the serving process is, and has learned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// The process.
    #[serde(flatten)]
    pub process: ProcessId,
    /// The version of discovery's list that it had.
    #[serde(rename = "list")]
    pub list_version: Option<u64>,
    /// What it has learned of endpoints.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointRecord>,
}

/// What a process has learned of an endpoint. Times are spans: neither the clock of another process nor the
/// wall clock, which may be stepped, can tell a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRecord {
    id: u64,
    /// For how long its slow start has lasted, if that is not over.
    #[serde(rename = "cold_for_ms")]
    slow_start_elapsed_ms: Option<f64>,
    /// How long until its trial, if it is congested.
    trial_in_ms: Option<f64>,
    #[serde(rename = "cap")]
    concurrency_limit: f64,
    #[serde(rename = "served")]
    served_per_second: f64,
}

impl EndpointRecord {
    /// The record of a snapshot taken at `now_ms`.
    pub fn new(snapshot: &EndpointSnapshot, now_ms: f64) -> EndpointRecord {
        EndpointRecord {
            id: snapshot.endpoint.0,
            slow_start_elapsed_ms: snapshot.started_at_ms.map(|at_ms| (now_ms - at_ms).max(0.0)),
            trial_in_ms: snapshot.prat_ms.map(|at_ms| (at_ms - now_ms).max(0.0)),
            concurrency_limit: snapshot.concurrency_limit,
            served_per_second: snapshot.served_per_second,
        }
    }

    /// The snapshot, as if no time had passed since it was written. How long that is cannot be known, and
    /// an endpoint that is in slow start or congested for longer than need be breaks no rule.
    pub fn snapshot(&self, now_ms: f64) -> EndpointSnapshot {
        EndpointSnapshot {
            endpoint: EndpointId(self.id),
            started_at_ms: self.slow_start_elapsed_ms.map(|span| now_ms - span.max(0.0)),
            prat_ms: self.trial_in_ms.map(|span| now_ms + span.max(0.0)),
            concurrency_limit: self.concurrency_limit,
            served_per_second: self.served_per_second,
        }
    }
}

/// Both records.
#[derive(Debug, PartialEq)]
pub struct Records {
    /// The operators' overrides.
    pub overrides: OperatorOverrides,
    /// The serving process.
    pub process: ProcessRecord,
}

/// The process file of version 1, which contained both records. Its times are of the wall clock and not
/// used.
#[derive(Debug, Deserialize)]
struct Version1 {
    version: u64,
    pid: u32,
    calls: u64,
    out: Vec<String>,
    list: Option<u64>,
}

impl Version1 {
    /// What a file of version 1 contains; none where it is none.
    fn parse(text: &str) -> Option<Records> {
        let first: Version1 = serde_json::from_str(text).ok()?;
        if first.version != 1 {
            return None;
        }
        let disabled: Option<BTreeSet<u64>> =
            first.out.iter().map(|id| u64::from_str_radix(id, 16).ok()).collect();
        let process = ProcessId { pid: first.pid, started: 0 };
        Some(Records {
            overrides: OperatorOverrides { revision: first.calls, disabled: disabled? },
            process: ProcessRecord { process, list_version: first.list, endpoints: Vec::new() },
        })
    }
}

/// The two files in the folder that all processes of the node share.
pub struct SnapshotStore {
    overrides_file: StateFile,
    process_file: StateFile,
}

impl SnapshotStore {
    /// The store in a folder, written by a process.
    pub fn new(folder: &Path, owner: ProcessId) -> SnapshotStore {
        SnapshotStore {
            overrides_file: StateFile::new(folder, OVERRIDES_FILE, owner),
            process_file: StateFile::new(folder, PROCESS_FILE, owner),
        }
    }

    /// The operators' overrides; none where none were ever written.
    ///
    /// # Errors
    /// The file cannot be read or understood.
    pub fn read_overrides(&self) -> Result<Option<OperatorOverrides>, SnapshotError> {
        parse(OVERRIDES_FILE, self.overrides_file.read())
    }

    /// The record of the serving process; none where none was ever written.
    ///
    /// # Errors
    /// The file cannot be read or understood.
    pub fn read_process(&self) -> Result<Option<ProcessRecord>, SnapshotError> {
        parse(PROCESS_FILE, self.process_file.read())
    }

    /// Both records, where a process of version 1 left them.
    pub fn read_version_1(&self) -> Option<Records> {
        self.process_file.read_version_1().and_then(|text| Version1::parse(&text))
    }

    /// Writes the operators' overrides.
    ///
    /// # Errors
    /// They could not be written to disk.
    pub fn write_overrides(&self, overrides: &OperatorOverrides, durability: Durability) -> io::Result<()> {
        self.overrides_file.write(&to_json(overrides), durability)
    }

    /// Writes the record of the serving process.
    ///
    /// # Errors
    /// It could not be written to disk.
    pub fn write_process(&self, record: &ProcessRecord) -> io::Result<()> {
        self.process_file.write(&to_json(record), Durability::Visible)
    }

    /// Removes what processes that have ended left half done.
    pub fn remove_stale_drafts(&self) {
        self.overrides_file.remove_stale_drafts();
        self.process_file.remove_stale_drafts();
    }
}

/// Understands what one of the files holds.
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

/// Such plain data has no form that cannot be written.
fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

#[cfg(test)]
#[path = "../../../tests/unit/snapshot_store.rs"]
mod tests;
