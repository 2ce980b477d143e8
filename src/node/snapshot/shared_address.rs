//! Shares the address of discovery that the last SIGHUP told with the other processes of the node.
//!
//! The platform sends SIGHUP to one process. Another one that runs at the same time has read its configuration
//! before, and a later one may have an older address in its environment, which overrides the file. Either would
//! go on calling an address at which discovery no longer is.
//!
//! A process therefore stores the address with a number that grows with each reload. The other process follows
//! an address with a higher number than its own.

use super::process_id::ProcessId;
use super::state_file::FileStamp;
use super::store::{AddressRecord, SnapshotStore};
use super::takeover::SYNC_INTERVAL;
use crate::config::Config;
use crate::observability::log;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

/// The address of discovery in the folder that all processes of the node share.
pub struct SharedAddress {
    store: SnapshotStore,
    /// The last reload that this process knows of; `None` if it knows of none.
    current: Cell<Option<AddressRecord>>,
    /// The stamp of the file when it had the current record.
    stamp: Cell<Option<FileStamp>>,
    /// Whether the last attempt to write failed.
    is_failing: Cell<bool>,
}

impl SharedAddress {
    /// Uses the folder for temporary files, which all processes of the node share. Reads the file there.
    pub fn open() -> Rc<SharedAddress> {
        let store = SnapshotStore::new(&std::env::temp_dir(), ProcessId::current());
        let stored = store.read_address().unwrap_or_else(|error| {
            log::line(&format!("handover: the last reload is not known: {error}"));
            None
        });
        Rc::new(SharedAddress {
            store,
            current: Cell::new(stored),
            stamp: Cell::new(None),
            is_failing: Cell::new(false),
        })
    }

    /// Returns the address that this process calls first. It is that of the configuration, unless the
    /// environment overrides it and the file has the address of the last reload: the environment is then older.
    pub fn initial_address(&self, config: &Config) -> SocketAddr {
        let reloaded = self.current.get().map(|record| record.discovery);
        match reloaded.filter(|address| config.discovery_in_file == Some(*address)) {
            Some(address) if address != config.discovery => {
                log::line(&format!("handover: discovery is at {address}, by an earlier reload"));
                address
            }
            _ => config.discovery,
        }
    }

    /// Stores the address that a SIGHUP has told this process.
    pub fn store_reload(&self, discovery: SocketAddr) {
        let stored = self.store.read_address().ok().flatten();
        let last_number = stored.max(self.current.get()).map_or(0, |record| record.number);
        let record = AddressRecord { number: last_number + 1, discovery };
        self.current.set(Some(record));
        self.write(record);
    }

    /// Follows the reloads of the other process, and repeats a write that failed, for as long as the process
    /// lives.
    pub async fn run(self: Rc<Self>, discovery_address: Rc<watch::Sender<SocketAddr>>) {
        let mut ticks = tokio::time::interval(SYNC_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            if let Some(discovery) = self.sync() {
                log::line(&format!(
                    "handover: discovery is at {discovery}, by a reload of another process"
                ));
                discovery_address
                    .send_if_modified(|address| std::mem::replace(address, discovery) != discovery);
            }
        }
    }

    /// Compares the file with the current record; the higher number replaces the lower one. Returns the new
    /// address if the file has the higher number.
    fn sync(&self) -> Option<SocketAddr> {
        let stamp = self.store.address_stamp();
        if stamp.is_some() && stamp == self.stamp.get() {
            return None;
        }
        let stored = self.store.read_address().ok().flatten();
        let current = self.current.get();
        if stored > current {
            self.current.set(stored);
            self.stamp.set(stamp);
            return stored.map(|record| record.discovery);
        }
        match current {
            Some(record) if stored < current => self.write(record),
            _ => self.stamp.set(stamp),
        }
        None
    }

    fn write(&self, record: AddressRecord) {
        match self.store.write_address(&record) {
            Ok(()) => {
                self.stamp.set(self.store.address_stamp());
                self.is_failing.set(false);
            }
            // The stamp is unknown now, so the next comparison writes again.
            Err(error) => {
                self.stamp.set(None);
                if !self.is_failing.replace(true) {
                    log::line(&format!("handover: cannot store the address of discovery: {error}"));
                }
            }
        }
    }
}
