//! What a process takes over from the one before it, by two small files in `$TMPDIR`.
//!
//! `node-calls.json` has the calls of the operators: who is out of service, by which call. It is owed once a call was
//! answered, so it is on the disk by then. `node-state.json` has what the serving process has learned and is; it is
//! written now and then, and a new process can do without.
//!
//! While two processes run, either may be called by the operators. Each call that changes who is out of service
//! raises a number in the file, and a process that finds a higher one than its own takes that over.

use crate::driver::{Driver, DriverEvent};
use crate::observability::log;
use crate::snapshot::process_id::ProcessId;
use crate::snapshot::state_file::{Durability, FolderLock, LockError, ReadError, StateFile};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use wheelpath::policy::{EndpointId, EndpointSnapshot};

const CALLS_FILE: &str = "node-calls.json";
const STATE_FILE: &str = "node-state.json";
/// How often the files are looked at, and in how many of those turns the state is written.
const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
const TURNS_PER_STATE_WRITE: u32 = 5;
/// A call is answered within a second: for so long it is tried to keep it, and so often.
const OVERRIDE_TIMEOUT: Duration = Duration::from_millis(700);
const OVERRIDE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a call was not carried out.
#[derive(Debug, Error)]
pub enum OverrideError {
    /// Another process is about to change the calls, or there can be no lock.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// The disk does not take it.
    #[error("cannot be kept: {0}")]
    Write(#[from] std::io::Error),
}

/// Who is out of service by the calls of the operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct OperatorOverrides {
    /// How many calls have changed that.
    number: u64,
    disabled: BTreeSet<u64>,
}

impl OperatorOverrides {
    fn servers(&self) -> BTreeSet<EndpointId> {
        self.disabled.iter().map(|id| EndpointId(*id)).collect()
    }
}

/// What the process that serves is, and has learned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ProcessState {
    #[serde(flatten)]
    process: ProcessId,
    /// The version of discovery's list that it had.
    list: Option<u64>,
    servers: Vec<StoredEndpoint>,
}

/// What it has learned of a server. Times are spans: neither the clock of another process nor the wall clock, which may
/// be stepped, can tell a moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredEndpoint {
    id: u64,
    /// For how long it has been cold, if that is not over.
    cold_for_ms: Option<f64>,
    /// How long until its trial, if it is congested.
    trial_in_ms: Option<f64>,
    cap: f64,
    served: f64,
}

impl StoredEndpoint {
    fn new(memory: &EndpointSnapshot, now_ms: f64) -> StoredEndpoint {
        StoredEndpoint {
            id: memory.endpoint.0,
            cold_for_ms: memory.started_at_ms.map(|since| (now_ms - since).max(0.0)),
            trial_in_ms: memory.prat_ms.map(|at| (at - now_ms).max(0.0)),
            cap: memory.concurrency_limit,
            served: memory.served_per_second,
        }
    }

    /// As if no time had passed since it was written: how long that is cannot be known, and what is colder or congested
    /// for longer than need be breaks no rule.
    fn memory(&self, now_ms: f64) -> EndpointSnapshot {
        EndpointSnapshot {
            endpoint: EndpointId(self.id),
            started_at_ms: self.cold_for_ms.map(|span| now_ms - span.max(0.0)),
            prat_ms: self.trial_in_ms.map(|span| now_ms + span.max(0.0)),
            concurrency_limit: self.cap,
            served_per_second: self.served,
        }
    }
}

/// The state of version 1, which is taken over from, too. Its times are of the wall clock and not used.
#[derive(Debug, Deserialize)]
struct StateVersion1 {
    version: u64,
    pid: u32,
    calls: u64,
    out: Vec<String>,
    list: Option<u64>,
}

impl StateVersion1 {
    fn read(text: &str) -> Option<(OperatorOverrides, ProcessState)> {
        let first: StateVersion1 =
            serde_json::from_str(text).ok().filter(|s: &StateVersion1| s.version == 1)?;
        let disabled =
            first.out.iter().map(|id| u64::from_str_radix(id, 16).ok()).collect::<Option<_>>()?;
        let process = ProcessId { pid: first.pid, started: 0 };
        let state = ProcessState { process, list: first.list, servers: Vec::new() };
        Some((OperatorOverrides { number: first.calls, disabled }, state))
    }
}

/// Reads what one of the files holds.
fn parse<T: for<'a> Deserialize<'a>>(read: Result<Option<String>, ReadError>) -> Result<Option<T>, String> {
    let Some(body) = read.map_err(|e| e.to_string())? else { return Ok(None) };
    serde_json::from_str(&body).map(Some).map_err(|e| e.to_string())
}

/// What this process leaves to the next, and shares with one that runs beside it.
pub struct Takeover {
    folder: PathBuf,
    calls_file: StateFile,
    state_file: StateFile,
    own: ProcessId,
    /// The last call that this process knows of.
    call_number: Cell<u64>,
    /// The version of the list that this process has.
    list: Rc<Cell<Option<u64>>>,
    /// The process that this one took over from.
    predecessor: Cell<Option<ProcessId>>,
    /// The process that serves beside this one.
    beside: Cell<Option<ProcessId>>,
    /// The state file names this process.
    declared: Cell<bool>,
}

impl Takeover {
    /// In the folder for temporary files, which all processes of the node have in common.
    pub fn new(list: Rc<Cell<Option<u64>>>) -> Rc<Takeover> {
        let (folder, own) = (std::env::temp_dir(), ProcessId::own());
        Rc::new(Takeover {
            calls_file: StateFile::new(&folder, CALLS_FILE, own),
            state_file: StateFile::new(&folder, STATE_FILE, own),
            folder,
            own,
            call_number: Cell::new(0),
            list,
            predecessor: Cell::new(None),
            beside: Cell::new(None),
            declared: Cell::new(false),
        })
    }

    fn read_calls(&self) -> Result<Option<OperatorOverrides>, String> {
        parse(self.calls_file.read())
    }

    fn read_state(&self) -> Result<Option<ProcessState>, String> {
        parse(self.state_file.read())
    }

    fn write_state(&self, driver: &Driver) {
        let now_ms = driver.clock.now_ms();
        let servers = driver.memory().iter().map(|memory| StoredEndpoint::new(memory, now_ms)).collect();
        let state = ProcessState { process: self.own, list: self.list.get(), servers };
        match self.state_file.write(&to_json(&state), Durability::Visible) {
            Ok(()) => self.declared.set(true),
            Err(e) => log::line(&format!("handover: state not written: {e}")),
        }
    }

    /// The same, unless the file is for a process that has taken over to write.
    fn write_state_if_serving(&self, driver: &Driver) {
        let state = self.read_state().ok().flatten();
        if !state.is_some_and(|state| self.is_successor(state.process)) {
            self.write_state(driver);
        }
    }

    /// Takes over what the process before this one left, and declares this one the serving one. True if that
    /// process knew a newer list than the one given here.
    pub fn take_over(&self, driver: &Rc<Driver>) -> bool {
        let first_version = self.state_file.read_unchecked().and_then(|text| StateVersion1::read(&text));
        let (calls, state) = match first_version {
            Some((calls, state)) => (Ok(Some(calls)), Ok(Some(state))),
            None => (self.read_calls(), self.read_state()),
        };
        match calls {
            Ok(Some(calls)) => {
                log::line(&format!("handover: {} out of service by earlier calls", calls.disabled.len()));
                self.call_number.set(calls.number);
                calls.servers().into_iter().for_each(|id| driver.take(DriverEvent::Disable(id)));
            }
            Ok(None) => {}
            Err(e) => log::line(&format!("handover: calls cannot be used, starts without: {e}")),
        }
        let behind = match state {
            Ok(Some(state)) => self.take_state(&state, driver),
            Ok(None) => {
                log::line("handover: no state, starts without");
                false
            }
            Err(e) => {
                log::line(&format!("handover: state cannot be used, starts without: {e}"));
                false
            }
        };
        self.calls_file.remove_leftovers();
        self.state_file.remove_leftovers();
        self.write_state(driver);
        behind
    }

    fn take_state(&self, state: &ProcessState, driver: &Rc<Driver>) -> bool {
        let behind = state.list > self.list.get();
        let older = if behind { ", a newer list than the one given here" } else { "" };
        let (pid, servers) = (state.process.pid, state.servers.len());
        log::line(&format!("handover: from process {pid}: {servers} servers{older}"));
        let now_ms = driver.clock.now_ms();
        driver
            .take(DriverEvent::Inherit(state.servers.iter().map(|server| server.memory(now_ms)).collect()));
        self.predecessor.set(Some(state.process));
        self.meet(state.process, driver);
        behind
    }

    /// Takes a server out of service or puts it back, for good once this returns. True if that changed anything; where it
    /// fails, nothing has changed.
    pub async fn change(
        &self,
        driver: &Rc<Driver>,
        server: EndpointId,
        disable: bool,
    ) -> Result<bool, OverrideError> {
        let give_up = Instant::now() + OVERRIDE_TIMEOUT;
        loop {
            match self.try_change(driver, server, disable) {
                Err(_) if Instant::now() + OVERRIDE_RETRY_INTERVAL < give_up => {
                    tokio::time::sleep(OVERRIDE_RETRY_INTERVAL).await
                }
                ended => return ended,
            }
        }
    }

    fn try_change(
        &self,
        driver: &Rc<Driver>,
        server: EndpointId,
        disable: bool,
    ) -> Result<bool, OverrideError> {
        // Nobody else may change the calls between this process's look at them and its write.
        let _lock = FolderLock::take(&self.folder)?;
        let stored = self.read_calls().ok().flatten().unwrap_or_default();
        if stored.number > self.call_number.get() {
            self.adopt(&stored, driver);
        }
        let known = driver.disabled();
        let mut wanted = known.clone();
        let changes = if disable { wanted.insert(server) } else { wanted.remove(&server) };
        if !changes && stored.number == self.call_number.get() {
            return Ok(false);
        }
        let number = stored.number.max(self.call_number.get()) + 1;
        if let Err(e) = self.store(number, &wanted, Durability::Synced) {
            // It may be there to be seen, but not for good.
            if self.read_calls().is_ok_and(|calls| calls.is_some_and(|calls| calls.number == number)) {
                self.call_number.set(number + 1);
                // Where this fails, too, the next turn tries again.
                let _ = self.store(number + 1, &known, Durability::Visible);
            }
            return Err(e.into());
        }
        self.call_number.set(number);
        if changes {
            driver.take(if disable { DriverEvent::Disable(server) } else { DriverEvent::Enable(server) });
            // It is cold from now on, which the next process has to know, however soon it follows.
            self.write_state_if_serving(driver);
        }
        Ok(changes)
    }

    fn store(
        &self,
        number: u64,
        servers: &BTreeSet<EndpointId>,
        durability: Durability,
    ) -> std::io::Result<()> {
        let calls = OperatorOverrides { number, disabled: servers.iter().map(|id| id.0).collect() };
        self.calls_file.write(&to_json(&calls), durability)
    }

    /// Has this process go by calls that another one was given.
    fn adopt(&self, calls: &OperatorOverrides, driver: &Rc<Driver>) {
        self.call_number.set(calls.number);
        let (known, told) = (driver.disabled(), calls.servers());
        told.difference(&known).for_each(|id| driver.take(DriverEvent::Disable(*id)));
        known.difference(&told).for_each(|id| driver.take(DriverEvent::Enable(*id)));
        log::line(&format!("handover: call {}: {} out of service", calls.number, told.len()));
    }

    /// Brings the calls of this process and those of the file together.
    fn compare_calls(&self, driver: &Rc<Driver>) {
        let number = || self.read_calls().ok().flatten().map_or(0, |calls| calls.number);
        if number() == self.call_number.get() {
            return;
        }
        // While another process is changing them there is nothing to compare; the next turn comes soon.
        let Ok(_lock) = FolderLock::take(&self.folder) else { return };
        let stored = self.read_calls().ok().flatten().unwrap_or_default();
        if stored.number > self.call_number.get() {
            self.adopt(&stored, driver);
        } else if stored.number < self.call_number.get() {
            // What was taken on is gone from the disk.
            if let Err(e) = self.store(self.call_number.get(), &driver.disabled(), Durability::Synced) {
                log::line(&format!("handover: calls not written: {e}"));
            }
        }
    }

    /// Another process has taken over and runs.
    pub fn succeeded(&self) -> bool {
        self.read_state().ok().flatten().is_some_and(|state| self.is_successor(state.process))
    }

    /// That is another process that runs, and not the one before this: where that has written its state just as this
    /// one declared itself, the file names it once more.
    fn is_successor(&self, process: ProcessId) -> bool {
        self.is_other(process) && self.predecessor.get() != Some(process)
    }

    /// That is another process, and it runs.
    fn is_other(&self, process: ProcessId) -> bool {
        process != self.own && process.runs()
    }

    /// Tells the decisions when another process begins to serve beside this one, and the log when it has gone, too.
    fn meet(&self, process: ProcessId, driver: &Rc<Driver>) {
        match self.beside.get() {
            None if self.is_other(process) => {
                log::line(&format!("handover: process {} serves beside this one", process.pid));
                self.beside.set(Some(process));
                driver.take(DriverEvent::Beside);
            }
            Some(other) if !self.is_other(other) => {
                log::line(&format!("handover: process {} has gone", other.pid));
                self.beside.set(None);
            }
            _ => {}
        }
    }

    /// Keeps the files and this process in step for as long as the process lives.
    pub async fn keep(self: Rc<Self>, driver: Rc<Driver>) {
        let mut turns = tokio::time::interval(COMPARE_INTERVAL);
        turns.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for turn in 0_u32.. {
            turns.tick().await;
            let state = self.read_state().ok().flatten();
            self.meet(state.as_ref().map_or(self.own, |state| state.process), &driver);
            self.compare_calls(&driver);
            if turn % TURNS_PER_STATE_WRITE == 0 || !self.declared.get() {
                self.write_state_if_serving(&driver);
            }
        }
    }
}

/// Such plain data has no form that cannot be written.
fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

#[cfg(test)]
#[path = "../../../tests/unit/handover.rs"]
mod tests;
