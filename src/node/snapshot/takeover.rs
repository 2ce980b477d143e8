//! Takes over the state of the previous process at startup, and keeps the overrides of two processes that
//! run at the same time in agreement.
//!
//! While the old and the new process both run, operators may send commands to either. Each command that
//! changes which endpoints are out of service increments the revision of the overrides in the file. Each
//! process reads the file periodically and adopts overrides whose revision is higher than that of its own.

use super::folder_lock::{FolderLock, LockError};
use super::process_id::ProcessId;
use super::state_file::Durability;
use super::store::{EndpointRecord, OperatorOverrides, ProcessRecord, SnapshotStore, Version1Records};
use crate::discovery::ListTracker;
use crate::driver::{Driver, DriverEvent};
use crate::observability::log;
use crate::system::retry::retry;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::MissedTickBehavior;
use wheelpath::policy::EndpointId;

/// Time between two comparisons of this process's overrides or its endpoint list with those in the files. The
/// comparison of the overrides also checks which process the process record names.
pub(super) const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// The process record is written at one of this many comparisons, so once a second.
const SYNCS_PER_PROCESS_RECORD: u32 = 5;
/// For how long a failed override is retried. The command has to be answered within a second.
const OVERRIDE_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause between two attempts to make an override.
const OVERRIDE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why an override was not made.
#[derive(Debug, Error)]
pub enum OverrideError {
    /// Another process holds the lock because it is changing the overrides, or the lock file is unusable.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// The override could not be written to disk.
    #[error("the change cannot be stored: {0}")]
    Write(#[from] io::Error),
}

/// The state that this process leaves to the next one and shares with a process that runs at the same time.
pub struct Takeover {
    folder: PathBuf,
    store: SnapshotStore,
    own_process: ProcessId,
    /// The revision of the overrides that this process applies.
    override_revision: Cell<u64>,
    /// Tracks the endpoint list of this process.
    list: Rc<ListTracker>,
    /// The process whose record this one found at startup.
    predecessor: Cell<Option<ProcessId>>,
    /// Another process of the node that serves at the same time as this one.
    concurrent_process: Cell<Option<ProcessId>>,
    /// Whether the last attempt to write the process record succeeded. Otherwise the next comparison writes it.
    is_record_written: Cell<bool>,
    /// Whether a failure to write the process record has been logged, and no attempt has succeeded since.
    is_record_failing: Cell<bool>,
}

impl Takeover {
    /// Uses the folder for temporary files, which all processes of the node share. Reads and writes nothing
    /// yet.
    pub fn new(list: Rc<ListTracker>) -> Rc<Takeover> {
        let folder = std::env::temp_dir();
        let own_process = ProcessId::current();
        Rc::new(Takeover {
            store: SnapshotStore::new(&folder, own_process),
            folder,
            own_process,
            override_revision: Cell::new(0),
            list,
            predecessor: Cell::new(None),
            concurrent_process: Cell::new(None),
            is_record_written: Cell::new(false),
            is_record_failing: Cell::new(false),
        })
    }

    /// Restores the state that the previous process left, and writes a process record that names this
    /// process as the serving one. Also tells the tracker of the endpoint list which version the previous
    /// process had.
    pub fn take_over(&self, driver: &Rc<Driver>) {
        let (overrides, process) = match self.store.read_version_1() {
            Some(Version1Records { overrides, process }) => (Ok(Some(overrides)), Ok(Some(process))),
            None => (self.store.read_overrides(), self.store.read_process()),
        };
        match overrides {
            Ok(Some(overrides)) => self.restore_overrides(&overrides, driver),
            Ok(None) => {}
            Err(error) => {
                log::line(&format!(
                    "handover: the operators' overrides cannot be used, starting without them: {error}"
                ));
            }
        }
        match process {
            Ok(Some(record)) => self.restore_process_record(&record, driver),
            Ok(None) => log::line("handover: no state of an earlier process found, starting without it"),
            Err(error) => {
                log::line(&format!(
                    "handover: the earlier process's state cannot be used, starting without it: {error}"
                ));
            }
        }
        self.store.remove_stale_drafts();
        self.write_process_record(driver);
    }

    fn restore_overrides(&self, overrides: &OperatorOverrides, driver: &Rc<Driver>) {
        let disabled = overrides.disabled();
        log::line(&format!("handover: {} out of service by earlier commands", disabled.len()));
        self.override_revision.set(overrides.revision);
        disabled.into_iter().for_each(|id| driver.handle(DriverEvent::Disable(id)));
    }

    fn restore_process_record(&self, record: &ProcessRecord, driver: &Rc<Driver>) {
        self.list.set_predecessor_version(record.list_version);
        let newer_list = if self.list.is_outdated() {
            ", its endpoint list is newer than the configured one"
        } else {
            ""
        };
        let (pid, endpoints) = (record.process.pid, record.endpoints.len());
        log::line(&format!("handover: took over from process {pid}: {endpoints} servers{newer_list}"));
        let now_ms = driver.clock.now_ms();
        let snapshot = record.endpoints.iter().map(|endpoint| endpoint.to_snapshot(now_ms)).collect();
        driver.handle(DriverEvent::SnapshotRestored(snapshot));
        self.predecessor.set(Some(record.process));
        self.observe_process(record.process, driver);
    }

    fn write_process_record(&self, driver: &Driver) {
        let now_ms = driver.clock.now_ms();
        let snapshot = driver.snapshot();
        let record = ProcessRecord {
            process: self.own_process,
            list_version: self.list.state().position.version,
            endpoints: snapshot.iter().map(|endpoint| EndpointRecord::new(endpoint, now_ms)).collect(),
        };
        let written = self.store.write_process(&record);
        self.is_record_written.set(written.is_ok());
        match written {
            Ok(()) => self.is_record_failing.set(false),
            Err(error) if !self.is_record_failing.replace(true) => {
                log::line(&format!("handover: cannot write the process record: {error}"));
            }
            Err(_) => {}
        }
    }

    /// Writes the process record, unless a successor has taken over: the record must then name the
    /// successor.
    fn write_process_record_if_serving(&self, driver: &Driver) {
        if !self.has_successor() {
            self.write_process_record(driver);
        }
    }

    /// Takes an endpoint out of service or puts it back. The change is durable when this returns `Ok`; the
    /// value is `true` if the endpoint was not in that state already.
    ///
    /// # Errors
    /// Another process held the lock, or the change could not be written, until the timeout. The overrides
    /// of this process are unchanged, apart from newer ones of another process that it has adopted.
    pub async fn set_disabled(
        &self,
        driver: &Rc<Driver>,
        endpoint: EndpointId,
        disable: bool,
    ) -> Result<bool, OverrideError> {
        let give_up_at = Instant::now() + OVERRIDE_TIMEOUT;
        let attempt = || self.try_set_disabled(driver, endpoint, disable);
        let has_time_to_retry = |_: &OverrideError| Instant::now() + OVERRIDE_RETRY_INTERVAL < give_up_at;
        retry(OVERRIDE_RETRY_INTERVAL, attempt, has_time_to_retry).await
    }

    fn try_set_disabled(
        &self,
        driver: &Rc<Driver>,
        endpoint: EndpointId,
        disable: bool,
    ) -> Result<bool, OverrideError> {
        // Held until this returns: no other process may change the overrides between the read and the write
        // below.
        let _lock = FolderLock::try_acquire(&self.folder)?;
        let stored = self.stored_overrides();
        if stored.revision > self.override_revision.get() {
            self.adopt_overrides(&stored, driver);
        }
        let current = driver.disabled_endpoints();
        let mut requested = current.clone();
        let has_changed = if disable { requested.insert(endpoint) } else { requested.remove(&endpoint) };
        if !has_changed && stored.revision == self.override_revision.get() {
            return Ok(false);
        }
        let revision = stored.revision.max(self.override_revision.get()) + 1;
        self.store_overrides(revision, &requested, &current)?;
        if has_changed {
            driver.handle(if disable {
                DriverEvent::Disable(endpoint)
            } else {
                DriverEvent::Enable(endpoint)
            });
            // An endpoint that was enabled is in slow start from now on. The next process needs to know
            // that even if it starts before the next periodic write.
            self.write_process_record_if_serving(driver);
        }
        Ok(has_changed)
    }

    /// Writes the requested overrides durably. If that fails after they became visible to other processes,
    /// writes the current overrides again under a later revision, so that the others revert, too.
    fn store_overrides(
        &self,
        revision: u64,
        requested: &BTreeSet<EndpointId>,
        current: &BTreeSet<EndpointId>,
    ) -> io::Result<()> {
        let written = self.write_overrides(revision, requested, Durability::Synced);
        if written.is_ok() {
            self.override_revision.set(revision);
            return written;
        }
        let is_visible = self
            .store
            .read_overrides()
            .is_ok_and(|stored| stored.is_some_and(|stored| stored.revision == revision));
        if is_visible {
            self.override_revision.set(revision + 1);
            // If this write fails as well, `sync_overrides` repeats it: the revision in the file is then
            // lower than that of this process.
            let _ = self.write_overrides(revision + 1, current, Durability::Visible);
        }
        written
    }

    fn write_overrides(
        &self,
        revision: u64,
        disabled: &BTreeSet<EndpointId>,
        durability: Durability,
    ) -> io::Result<()> {
        self.store.write_overrides(&OperatorOverrides::new(revision, disabled), durability)
    }

    /// Returns the overrides in the file. If the file is missing or cannot be read, returns no overrides,
    /// at revision 0.
    fn stored_overrides(&self) -> OperatorOverrides {
        self.store.read_overrides().ok().flatten().unwrap_or_default()
    }

    /// Applies overrides that another process stored.
    fn adopt_overrides(&self, overrides: &OperatorOverrides, driver: &Rc<Driver>) {
        self.override_revision.set(overrides.revision);
        let current = driver.disabled_endpoints();
        let stored = overrides.disabled();
        stored.difference(&current).for_each(|id| driver.handle(DriverEvent::Disable(*id)));
        current.difference(&stored).for_each(|id| driver.handle(DriverEvent::Enable(*id)));
        log::line(&format!(
            "handover: adopted override revision {}: {} out of service",
            overrides.revision,
            stored.len()
        ));
        // As after a command to this process: an endpoint that was enabled is in slow start from now on.
        self.write_process_record_if_serving(driver);
    }

    /// Compares the overrides of this process with those in the file; the higher revision replaces the
    /// lower one.
    fn sync_overrides(&self, driver: &Rc<Driver>) {
        if self.stored_overrides().revision == self.override_revision.get() {
            return;
        }
        // If another process is changing the overrides right now, the next comparison sees the result.
        let Ok(_lock) = FolderLock::try_acquire(&self.folder) else { return };
        let stored = self.stored_overrides();
        let revision = self.override_revision.get();
        if stored.revision > revision {
            self.adopt_overrides(&stored, driver);
        } else if stored.revision < revision {
            // The file no longer has overrides that were acknowledged to operators, so they are written
            // again.
            if let Err(error) =
                self.write_overrides(revision, &driver.disabled_endpoints(), Durability::Synced)
            {
                log::line(&format!("handover: cannot write the operators' overrides: {error}"));
            }
        }
    }

    /// Returns `true` if another process has taken over from this one and still runs.
    pub fn has_successor(&self) -> bool {
        self.serving_process().is_some_and(|process| self.is_successor(process))
    }

    /// Returns the process that the process record names, or `None` if the record is missing or cannot be
    /// read.
    fn serving_process(&self) -> Option<ProcessId> {
        self.store.read_process().ok().flatten().map(|record| record.process)
    }

    /// Returns `true` if `process` is another running process and not the predecessor. The record may name
    /// the predecessor, because that process may have written it once more just after this one did.
    fn is_successor(&self, process: ProcessId) -> bool {
        self.is_other_running(process) && self.predecessor.get() != Some(process)
    }

    fn is_other_running(&self, process: ProcessId) -> bool {
        process != self.own_process && process.is_running()
    }

    /// Takes note of the process that the process record names. Notifies the balancer when another process
    /// begins to serve at the same time as this one, and logs when that begins and ends.
    fn observe_process(&self, process: ProcessId, driver: &Rc<Driver>) {
        match self.concurrent_process.get() {
            None if self.is_other_running(process) => {
                log::line(&format!("handover: process {} serves alongside this one", process.pid));
                self.concurrent_process.set(Some(process));
                driver.handle(DriverEvent::HandoverStarted);
            }
            Some(other) if !self.is_other_running(other) => {
                log::line(&format!("handover: process {} has ended", other.pid));
                self.concurrent_process.set(None);
            }
            _ => {}
        }
    }

    /// Periodically brings the overrides in line with the file, checks which process the process record
    /// names, and writes that record, for as long as the process lives.
    pub async fn run(self: Rc<Self>, driver: Rc<Driver>) {
        let mut ticks = tokio::time::interval(SYNC_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for tick in 0_u32.. {
            ticks.tick().await;
            self.observe_process(self.serving_process().unwrap_or(self.own_process), &driver);
            self.sync_overrides(&driver);
            if tick % SYNCS_PER_PROCESS_RECORD == 0 || !self.is_record_written.get() {
                self.write_process_record_if_serving(&driver);
            }
        }
    }
}
