//! Keeps the endpoint list in a file that all processes of the node share.
//!
//! The node has been told of a change once discovery has written it to any of its processes. A process that
//! starts while discovery is down, or that discovery does not reach, must act on that change as well. The
//! configured list does not have it.
//!
//! So each process writes its list to the file when the list changes, and adopts the list in the file when that
//! one is newer. Two processes that run at the same time thus agree within [`SYNC_INTERVAL`], and a process that
//! starts later begins with the list that the last one had. What discovery sends to a process is applied
//! whatever the file has.

use super::folder_lock::{FolderLock, LockError};
use super::list_record::ListRecord;
use super::process_id::ProcessId;
use super::state_file::FileStamp;
use super::store::SnapshotStore;
use super::takeover::SYNC_INTERVAL;
use crate::discovery::{ListPosition, ListTracker, SharedList};
use crate::driver::{Driver, DriverEvent};
use crate::observability::log;
use std::cell::Cell;
use std::fmt::Display;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::MissedTickBehavior;
use wheelpath::policy::WatchUpdate;
use wheelpath::settings_file::NameIndex;

/// After it has read or written the file, a process does not do so again for this many times as long. The file
/// of a node with thousands of endpoints then takes at most a tenth of the processor time, however often the
/// list changes.
const PAUSE_FACTOR: u32 = 9;
/// Upper bound of that pause. A process that was suspended while it wrote must not miss news for long.
const MAX_PAUSE: Duration = Duration::from_millis(100);
/// The pause before the next attempt to write, after one that failed or while another process holds the lock. It
/// is short because the process may be killed at any time, and the list would be lost.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// A content of the file that this process has read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownContent {
    stamp: FileStamp,
    position: ListPosition,
}

/// What one comparison with the file resulted in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SyncOutcome {
    /// The file has the list of this process, or a newer one.
    Done,
    /// The file has an older list, and could not be written: the write failed, or another process was writing.
    Retry,
}

/// The endpoint list in the folder that all processes of the node share.
pub struct SharedListFile {
    folder: PathBuf,
    store: SnapshotStore,
    names: Rc<NameIndex>,
    /// The last content that is known; `None` if the file has to be read.
    known_content: Cell<Option<KnownContent>>,
    /// Whether the last attempt to write failed.
    is_failing: Cell<bool>,
}

impl SharedListFile {
    /// Uses the folder for temporary files, which all processes of the node share. Reads and writes nothing
    /// yet.
    pub fn new(names: Rc<NameIndex>) -> SharedListFile {
        let folder = std::env::temp_dir();
        SharedListFile {
            store: SnapshotStore::new(&folder, ProcessId::current()),
            folder,
            names,
            known_content: Cell::new(None),
            is_failing: Cell::new(false),
        }
    }

    /// Returns the list that a previous process has left. Returns `None` if there is none or the file cannot be
    /// used, which is logged.
    pub fn read(&self) -> Option<SharedList> {
        match self.store.read_list() {
            Ok(record) => record.map(|record| record.to_list(&self.names)),
            Err(error) => {
                log::line(&format!(
                    "handover: the earlier process's endpoint list cannot be used, starting without it: {error}"
                ));
                None
            }
        }
    }

    /// Keeps the list of this process and the file in agreement, for as long as the process lives.
    pub async fn run(self, list: Rc<ListTracker>, driver: Rc<Driver>) {
        let mut changes = list.subscribe();
        let mut ticks = tokio::time::interval(SYNC_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let began_at = Instant::now();
            changes.borrow_and_update();
            let outcome = self.sync(&list, &driver);
            tokio::time::sleep((began_at.elapsed() * PAUSE_FACTOR).min(MAX_PAUSE)).await;
            match outcome {
                SyncOutcome::Retry => tokio::time::sleep(RETRY_PAUSE).await,
                SyncOutcome::Done => {
                    tokio::select! {
                        _ = ticks.tick() => {}
                        // Fails only if the tracker is gone, and this task owns a reference to it.
                        _ = changes.changed() => {}
                    }
                }
            }
        }
    }

    /// Adopts the list in the file if it is newer than that of this process, and writes the file if it is older.
    fn sync(&self, list: &ListTracker, driver: &Rc<Driver>) -> SyncOutcome {
        let stamp = self.store.list_stamp();
        let own = list.state().position;
        let stored = self.stored_position(stamp, own, list, driver);
        if stored >= Some(own) {
            return SyncOutcome::Done;
        }
        match ListRecord::new(list.state(), &driver.endpoint_list(), &self.names) {
            Some(record) => self.write(&record, stamp),
            None => SyncOutcome::Done,
        }
    }

    /// Returns the position of the list in the file, or `None` if the file is missing or cannot be read. Reads
    /// the file if its content is not known, and adopts its list if that one is newer than `own`.
    fn stored_position(
        &self,
        stamp: Option<FileStamp>,
        own: ListPosition,
        list: &ListTracker,
        driver: &Rc<Driver>,
    ) -> Option<ListPosition> {
        let known = self.known_content.get().filter(|known| Some(known.stamp) == stamp);
        if let Some(known) = known {
            return Some(known.position);
        }
        let record = self.store.read_list().ok().flatten()?;
        let position = record.position();
        self.known_content.set(stamp.map(|stamp| KnownContent { stamp, position }));
        if position > own && list.may_adopt_from(record.source()) {
            self.adopt(&record, list, driver);
        }
        Some(position)
    }

    fn adopt(&self, record: &ListRecord, list: &ListTracker, driver: &Rc<Driver>) {
        let SharedList { state, endpoints } = record.to_list(&self.names);
        log::line(&format!(
            "handover: adopted the endpoint list of another process: {}, {} servers",
            state.position,
            endpoints.len()
        ));
        driver.handle(DriverEvent::EndpointsChanged { update: WatchUpdate::Snapshot, endpoints });
        list.record_adoption(state);
    }

    /// Writes the file, unless another process has written it since it had the stamp `expected`.
    fn write(&self, record: &ListRecord, expected: Option<FileStamp>) -> SyncOutcome {
        let _lock = match FolderLock::try_acquire(&self.folder) {
            Ok(lock) => lock,
            Err(LockError::Held) => return SyncOutcome::Retry,
            Err(error) => return self.on_write_failure(&error),
        };
        if self.store.list_stamp() != expected {
            return SyncOutcome::Retry;
        }
        if let Err(error) = self.store.write_list(record) {
            return self.on_write_failure(&error);
        }
        let position = record.position();
        self.known_content.set(self.store.list_stamp().map(|stamp| KnownContent { stamp, position }));
        if self.is_failing.replace(false) {
            log::line(&format!("handover: the endpoint list is stored again: {position}"));
        }
        SyncOutcome::Done
    }

    /// Logs the first of several failures in a row.
    fn on_write_failure(&self, error: &dyn Display) -> SyncOutcome {
        if !self.is_failing.replace(true) {
            log::line(&format!("handover: cannot store the endpoint list: {error}"));
        }
        SyncOutcome::Retry
    }
}
