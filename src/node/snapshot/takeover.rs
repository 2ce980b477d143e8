//! How a process takes over from the one before it, and keeps in step with one that runs alongside it.
//!
//! While two processes run, the operators may command either. Each command that changes which endpoints are
//! out of service raises a revision in the file, and a process that finds a higher one than its own takes
//! that over.

use super::folder_lock::{FolderLock, LockError};
use super::process_id::ProcessId;
use super::state_file::Durability;
use super::store::{EndpointRecord, OperatorOverrides, ProcessRecord, Records, SnapshotStore};
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

/// How often the files are compared with this process, and in how many of those turns the process record is
/// written.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
const TURNS_PER_RECORD: u32 = 5;
/// A command has to be answered within a second: an override is retried for this long, and this often.
const OVERRIDE_TIMEOUT: Duration = Duration::from_millis(700);
const OVERRIDE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why an override was not made.
#[derive(Debug, Error)]
pub enum OverrideError {
    /// Another process is about to change the overrides, or there can be no lock.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// It could not be written to disk.
    #[error("cannot be kept: {0}")]
    Write(#[from] io::Error),
}

/// What this process leaves to the next, and shares with one that runs alongside it.
pub struct Takeover {
    folder: PathBuf,
    store: SnapshotStore,
    own: ProcessId,
    /// The revision of the overrides that this process goes by.
    override_revision: Cell<u64>,
    /// The version of discovery's list that this process has.
    list_version: Rc<Cell<Option<u64>>>,
    /// The process that this one took over from.
    predecessor: Cell<Option<ProcessId>>,
    /// The process that serves alongside this one.
    coexisting: Cell<Option<ProcessId>>,
    /// The process record names this process.
    declared: Cell<bool>,
}

impl Takeover {
    /// In the folder for temporary files, which all processes of the node share.
    pub fn new(list_version: Rc<Cell<Option<u64>>>) -> Rc<Takeover> {
        let folder = std::env::temp_dir();
        let own = ProcessId::own();
        Rc::new(Takeover {
            store: SnapshotStore::new(&folder, own),
            folder,
            own,
            override_revision: Cell::new(0),
            list_version,
            predecessor: Cell::new(None),
            coexisting: Cell::new(None),
            declared: Cell::new(false),
        })
    }

    /// Takes over what the process before this one left, and declares this one the serving one. True if
    /// that process knew a newer endpoint list than the one given here.
    pub fn take_over(&self, driver: &Rc<Driver>) -> bool {
        let (overrides, process) = match self.store.read_version_1() {
            Some(Records { overrides, process }) => (Ok(Some(overrides)), Ok(Some(process))),
            None => (self.store.read_overrides(), self.store.read_process()),
        };
        match overrides {
            Ok(Some(overrides)) => self.take_overrides(&overrides, driver),
            Ok(None) => {}
            Err(error) => {
                log::line(&format!("handover: calls cannot be used, starts without: {error}"));
            }
        }
        let is_behind = match process {
            Ok(Some(record)) => self.take_process(&record, driver),
            Ok(None) => {
                log::line("handover: no state, starts without");
                false
            }
            Err(error) => {
                log::line(&format!("handover: state cannot be used, starts without: {error}"));
                false
            }
        };
        self.store.remove_stale_drafts();
        self.write_record(driver);
        is_behind
    }

    fn take_overrides(&self, overrides: &OperatorOverrides, driver: &Rc<Driver>) {
        let disabled = overrides.disabled();
        log::line(&format!("handover: {} out of service by earlier calls", disabled.len()));
        self.override_revision.set(overrides.revision);
        disabled.into_iter().for_each(|id| driver.handle(DriverEvent::Disable(id)));
    }

    fn take_process(&self, record: &ProcessRecord, driver: &Rc<Driver>) -> bool {
        let is_behind = record.list_version > self.list_version.get();
        let newer = if is_behind { ", a newer list than the one given here" } else { "" };
        let (pid, endpoints) = (record.process.pid, record.endpoints.len());
        log::line(&format!("handover: from process {pid}: {endpoints} servers{newer}"));
        let now_ms = driver.clock.now_ms();
        let snapshot = record.endpoints.iter().map(|endpoint| endpoint.snapshot(now_ms)).collect();
        driver.handle(DriverEvent::SnapshotRestored(snapshot));
        self.predecessor.set(Some(record.process));
        self.observe_process(record.process, driver);
        is_behind
    }

    fn write_record(&self, driver: &Driver) {
        let now_ms = driver.clock.now_ms();
        let snapshot = driver.snapshot();
        let record = ProcessRecord {
            process: self.own,
            list_version: self.list_version.get(),
            endpoints: snapshot.iter().map(|endpoint| EndpointRecord::new(endpoint, now_ms)).collect(),
        };
        match self.store.write_process(&record) {
            Ok(()) => self.declared.set(true),
            Err(error) => log::line(&format!("handover: state not written: {error}")),
        }
    }

    /// Writes the process record, unless another process has taken over.
    fn write_record_if_serving(&self, driver: &Driver) {
        if !self.is_succeeded() {
            self.write_record(driver);
        }
    }

    /// Takes an endpoint out of service or puts it back; the change is durable once this returns. True if
    /// that changed anything.
    ///
    /// # Errors
    /// Nothing has changed: the lock was held by another process, or the change could not be written, until
    /// the timeout.
    pub async fn set_disabled(
        &self,
        driver: &Rc<Driver>,
        endpoint: EndpointId,
        disable: bool,
    ) -> Result<bool, OverrideError> {
        let give_up_at = Instant::now() + OVERRIDE_TIMEOUT;
        let attempt = || self.try_set_disabled(driver, endpoint, disable);
        let is_in_time = |_: &OverrideError| Instant::now() + OVERRIDE_RETRY_INTERVAL < give_up_at;
        retry(OVERRIDE_RETRY_INTERVAL, attempt, is_in_time).await
    }

    fn try_set_disabled(
        &self,
        driver: &Rc<Driver>,
        endpoint: EndpointId,
        disable: bool,
    ) -> Result<bool, OverrideError> {
        // No other process may change the overrides between this one's read and its write.
        let _lock = FolderLock::try_acquire(&self.folder)?;
        let stored = self.stored_overrides();
        if stored.revision > self.override_revision.get() {
            self.adopt(&stored, driver);
        }
        let known = driver.disabled_endpoints();
        let mut wanted = known.clone();
        let changes = if disable { wanted.insert(endpoint) } else { wanted.remove(&endpoint) };
        if !changes && stored.revision == self.override_revision.get() {
            return Ok(false);
        }
        let revision = stored.revision.max(self.override_revision.get()) + 1;
        self.store_overrides(revision, &wanted, &known)?;
        if changes {
            driver.handle(if disable {
                DriverEvent::Disable(endpoint)
            } else {
                DriverEvent::Enable(endpoint)
            });
            // An enabled endpoint starts slowly from now on, which the next process has to know, however
            // soon it follows.
            self.write_record_if_serving(driver);
        }
        Ok(changes)
    }

    /// Writes the wanted overrides durably. If that fails after they became visible to other processes, the
    /// overrides known before are written under a later revision.
    fn store_overrides(
        &self,
        revision: u64,
        wanted: &BTreeSet<EndpointId>,
        known: &BTreeSet<EndpointId>,
    ) -> io::Result<()> {
        let written = self.write_overrides(revision, wanted, Durability::Synced);
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
            // If this fails, too, the next comparison tries again.
            let _ = self.write_overrides(revision + 1, known, Durability::Visible);
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

    /// The overrides on the disk, as far as they can be read.
    fn stored_overrides(&self) -> OperatorOverrides {
        self.store.read_overrides().ok().flatten().unwrap_or_default()
    }

    /// Has this process go by overrides that another one made.
    fn adopt(&self, overrides: &OperatorOverrides, driver: &Rc<Driver>) {
        self.override_revision.set(overrides.revision);
        let known = driver.disabled_endpoints();
        let wanted = overrides.disabled();
        wanted.difference(&known).for_each(|id| driver.handle(DriverEvent::Disable(*id)));
        known.difference(&wanted).for_each(|id| driver.handle(DriverEvent::Enable(*id)));
        log::line(&format!("handover: call {}: {} out of service", overrides.revision, wanted.len()));
    }

    /// Brings the overrides of this process and those on the disk together.
    fn compare_overrides(&self, driver: &Rc<Driver>) {
        if self.stored_overrides().revision == self.override_revision.get() {
            return;
        }
        // While another process is changing them there is nothing to compare; the next comparison comes soon.
        let Ok(_lock) = FolderLock::try_acquire(&self.folder) else { return };
        let stored = self.stored_overrides();
        let revision = self.override_revision.get();
        if stored.revision > revision {
            self.adopt(&stored, driver);
        } else if stored.revision < revision {
            // Overrides that operators were answered for are gone from the disk.
            if let Err(error) =
                self.write_overrides(revision, &driver.disabled_endpoints(), Durability::Synced)
            {
                log::line(&format!("handover: calls not written: {error}"));
            }
        }
    }

    /// Whether another process has taken over and runs.
    pub fn is_succeeded(&self) -> bool {
        self.serving_process().is_some_and(|process| self.is_successor(process))
    }

    /// The process that the record names as the serving one.
    fn serving_process(&self) -> Option<ProcessId> {
        self.store.read_process().ok().flatten().map(|record| record.process)
    }

    /// Whether that is another running process that is not the predecessor: the predecessor may have
    /// written its record once more just after this process declared itself.
    fn is_successor(&self, process: ProcessId) -> bool {
        self.is_other_running(process) && self.predecessor.get() != Some(process)
    }

    fn is_other_running(&self, process: ProcessId) -> bool {
        process != self.own && process.is_running()
    }

    /// Notifies the decisions when another process begins to serve alongside this one, and the log when it
    /// has gone, too.
    fn observe_process(&self, process: ProcessId, driver: &Rc<Driver>) {
        match self.coexisting.get() {
            None if self.is_other_running(process) => {
                log::line(&format!("handover: process {} serves beside this one", process.pid));
                self.coexisting.set(Some(process));
                driver.handle(DriverEvent::HandoverStarted);
            }
            Some(other) if !self.is_other_running(other) => {
                log::line(&format!("handover: process {} has gone", other.pid));
                self.coexisting.set(None);
            }
            _ => {}
        }
    }

    /// Keeps the files and this process in step for as long as the process lives.
    pub async fn run(self: Rc<Self>, driver: Rc<Driver>) {
        let mut turns = tokio::time::interval(COMPARE_INTERVAL);
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for turn in 0_u32.. {
            turns.tick().await;
            self.observe_process(self.serving_process().unwrap_or(self.own), &driver);
            self.compare_overrides(&driver);
            if turn % TURNS_PER_RECORD == 0 || !self.declared.get() {
                self.write_record_if_serving(&driver);
            }
        }
    }
}
