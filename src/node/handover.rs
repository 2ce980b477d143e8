//! What a process takes over from the one before it: the clients' listening socket, which the platform holds
//! and every process of the node inherits, and a small file in `$TMPDIR` with what was learned and called.
//!
//! While two processes run, either may be called by the operators. Each call that changes who is out of service
//! raises a number in the file, and a process that finds a higher one than its own takes that over.

use crate::driver::{Driver, Input};
use crate::log;
use birchspoke::interface::{BackendId, Memory};
use serde_json::{Value, json};
use socket2::Socket;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Names the inherited descriptor.
pub const VARIABLE: &str = "LB_INHERITED_FD";
/// The standard streams are not for the taking.
const FIRST: RawFd = 3;

/// Why there is no socket to take over, though one is named.
#[derive(Debug, Error)]
pub enum NoSocket {
    /// What stands there is no descriptor.
    #[error("{VARIABLE}: {0:?} is not the number of a descriptor from {FIRST} on")]
    NoNumber(String),
    /// Nothing is open under that number.
    #[error("{VARIABLE}: descriptor {0} is not open")]
    Closed(RawFd),
    /// It is something else.
    #[error("{VARIABLE}: descriptor {0} is not a listening TCP socket")]
    NotListening(RawFd),
    /// The system refuses to go on with it.
    #[error("{VARIABLE}: descriptor {0}: {1}")]
    System(RawFd, std::io::Error),
}

/// The listening socket that the environment names; none where it names none.
///
/// To be called once, before this process opens anything itself: what is open then was inherited.
pub fn inherited() -> Result<Option<TcpListener>, NoSocket> {
    let Some(word) = std::env::var_os(VARIABLE) else { return Ok(None) };
    let number = word.to_str().and_then(|w| w.parse().ok()).filter(|fd| *fd >= FIRST);
    let fd = number.ok_or_else(|| NoSocket::NoNumber(word.to_string_lossy().into_owned()))?;
    let socket = Socket::from(take(fd).ok_or(NoSocket::Closed(fd))?);
    let tcp = socket.local_addr().is_ok_and(|at| at.as_socket().is_some());
    if !tcp || !socket.is_listener().unwrap_or(false) {
        return Err(NoSocket::NotListening(fd));
    }
    socket.set_nonblocking(true).map_err(|e| NoSocket::System(fd, e))?;
    Ok(Some(socket.into()))
}

/// The descriptor of that number, if it is open.
#[allow(unsafe_code)]
fn take(fd: RawFd) -> Option<OwnedFd> {
    std::fs::symlink_metadata(format!("/proc/self/fd/{fd}")).ok()?;
    // SAFETY: the descriptor is open, as was just seen. It was inherited: `inherited` is called once, before
    // this process has opened anything, so nothing else here owns it. Standard streams are excluded.
    Some(unsafe { OwnedFd::from_raw_fd(fd) })
}

/// What is written, and read, in this form alone.
const VERSION: u64 = 1;
const FILE: &str = "node-state.json";
/// A longer file is none of ours.
const LONGEST: u64 = 1024 * 1024;
/// How often the file is looked at, and in how many of those turns it is written.
const TURN: Duration = Duration::from_millis(200);
const WRITE_EVERY: u32 = 5;

/// What stands in the file.
#[derive(Clone, Debug, Default, PartialEq)]
struct State {
    /// The process that serves, or last did.
    pid: u32,
    /// How many calls have changed who is out of service.
    calls: u64,
    out: BTreeSet<BackendId>,
    /// The version of discovery's list that it had.
    list: Option<u64>,
    backends: Vec<Memory>,
}

impl State {
    fn to_json(&self) -> Value {
        let id = |b: &BackendId| format!("{:016x}", b.0);
        let backends: Vec<Value> = (self.backends.iter())
            .map(|m| {
                let (cold_since, prat) = (m.cold_since_ms, m.prat_ms);
                json!({"id": id(&m.backend), "cold_since_ms": cold_since, "prat_ms": prat, "cap": m.cap,
                       "served": m.served})
            })
            .collect();
        let out: Vec<String> = self.out.iter().map(id).collect();
        json!({"version": VERSION, "pid": self.pid, "calls": self.calls, "out": out, "list": self.list,
               "backends": backends})
    }

    /// None where any part is missing or not of its kind: half a state is none.
    fn from_json(json: &Value) -> Option<State> {
        let id = |v: &Value| u64::from_str_radix(v.as_str()?, 16).ok().map(BackendId);
        let time = |v: &Value| match v {
            Value::Null => Some(None),
            v => v.as_f64().map(Some),
        };
        let memory = |v: &Value| {
            Some(Memory {
                backend: id(v.get("id")?)?,
                cold_since_ms: time(v.get("cold_since_ms")?)?,
                prat_ms: time(v.get("prat_ms")?)?,
                cap: v.get("cap")?.as_f64()?,
                served: v.get("served")?.as_f64()?,
            })
        };
        if json.get("version")?.as_u64()? != VERSION {
            return None;
        }
        Some(State {
            pid: json.get("pid")?.as_u64()?.try_into().ok()?,
            calls: json.get("calls")?.as_u64()?,
            out: json.get("out")?.as_array()?.iter().map(id).collect::<Option<_>>()?,
            list: match json.get("list")? {
                Value::Null => None,
                version => Some(version.as_u64()?),
            },
            backends: json.get("backends")?.as_array()?.iter().map(memory).collect::<Option<_>>()?,
        })
    }
}

/// What this process leaves to the next, and shares with one that runs beside it.
pub struct Handover {
    folder: PathBuf,
    pid: u32,
    /// The last call that this process knows of.
    calls: Cell<u64>,
    /// The version of the list that this process has.
    list: Rc<Cell<Option<u64>>>,
    /// The process that this one took over from.
    before: Cell<Option<u32>>,
    /// The process that serves beside this one.
    beside: Cell<Option<u32>>,
}

impl Handover {
    /// In the folder for temporary files, which all processes of the node have in common.
    pub fn new(list: Rc<Cell<Option<u64>>>) -> Rc<Handover> {
        let (folder, pid) = (std::env::temp_dir(), std::process::id());
        let (calls, before, beside) = (Cell::new(0), Cell::new(None), Cell::new(None));
        Rc::new(Handover { folder, pid, calls, list, before, beside })
    }

    /// None where there is no file yet.
    fn read(&self) -> Result<Option<State>, String> {
        let path = self.folder.join(FILE);
        let length = match std::fs::metadata(&path) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e.to_string()),
            Ok(found) => found.len(),
        };
        if length > LONGEST {
            return Err(format!("{length} bytes are too many"));
        }
        let text = std::fs::read(&path).map_err(|e| e.to_string())?;
        let json = serde_json::from_slice(&text).map_err(|e| e.to_string())?;
        State::from_json(&json).map(Some).ok_or_else(|| format!("not a state of version {VERSION}"))
    }

    /// Replaces the file in one step, so that nobody reads half of it.
    fn write(&self, state: &State) {
        let draft = self.folder.join(format!("{FILE}.{}", self.pid));
        let written = std::fs::write(&draft, state.to_json().to_string())
            .and_then(|()| std::fs::rename(&draft, self.folder.join(FILE)));
        if let Err(e) = written {
            log::line(&format!("handover: state not written: {e}"));
        }
    }

    fn of(&self, driver: &Driver) -> State {
        let (calls, list) = (self.calls.get(), self.list.get());
        State { pid: self.pid, calls, out: driver.disabled(), list, backends: driver.memory() }
    }

    /// Takes over what the process before this one left, and declares this one the serving one. True if that
    /// process knew a newer list than the one given here.
    pub fn take_over(&self, driver: &Rc<Driver>) -> bool {
        let mut behind = false;
        match self.read() {
            Ok(Some(state)) => {
                let State { pid, calls, out, list, backends } = state;
                behind = list > self.list.get();
                let (servers, banned) = (backends.len(), out.len());
                let older = if behind { ", a newer list than the one given here" } else { "" };
                log::line(&format!(
                    "handover: from process {pid}: {servers} servers, {banned} out of service{older}"
                ));
                self.calls.set(calls);
                driver.take(Input::Inherit(backends));
                out.into_iter().for_each(|id| driver.take(Input::Disable(id)));
                self.before.set(Some(pid));
                self.meet(pid, driver);
            }
            Ok(None) => log::line("handover: no state, starts without"),
            Err(e) => log::line(&format!("handover: state cannot be used, starts without: {e}")),
        }
        self.write(&self.of(driver));
        behind
    }

    /// Tells the other process, if there is one, of a call that changed who is out of service.
    pub fn called(&self, driver: &Rc<Driver>) {
        let there = self.read().ok().flatten();
        self.calls.set(there.as_ref().map_or(0, |s| s.calls).max(self.calls.get()) + 1);
        self.share(there, driver);
    }

    /// Writes who is out of service by the last call that this process knows of.
    fn share(&self, there: Option<State>, driver: &Rc<Driver>) {
        let own = self.of(driver);
        // The other may serve by now; what it knows of the backends is newer.
        self.write(&match there {
            Some(there) => State { calls: own.calls, out: own.out, ..there },
            None => own,
        });
    }

    /// Another process has taken over and runs.
    pub fn succeeded(&self) -> bool {
        self.read().ok().flatten().is_some_and(|there| self.is_successor(there.pid))
    }

    /// That is another process that runs, and not the one before this: where that has written its state just as this
    /// one declared itself, the file names it once more.
    fn is_successor(&self, pid: u32) -> bool {
        self.is_other(pid) && self.before.get() != Some(pid)
    }

    /// That is another process, and it runs.
    fn is_other(&self, pid: u32) -> bool {
        pid != self.pid && std::fs::exists(format!("/proc/{pid}")).unwrap_or(false)
    }

    /// Tells the decisions when another process begins to serve beside this one, and the log when it has gone, too.
    /// `pid` is the one that the file names.
    fn meet(&self, pid: u32, driver: &Rc<Driver>) {
        match self.beside.get() {
            None if self.is_other(pid) => {
                log::line(&format!("handover: process {pid} serves beside this one"));
                self.beside.set(Some(pid));
                driver.take(Input::Beside);
            }
            Some(other) if !self.is_other(other) => {
                log::line(&format!("handover: process {other} has gone"));
                self.beside.set(None);
            }
            _ => {}
        }
    }

    /// Keeps the file and this process in step for as long as the process lives.
    pub async fn keep(self: Rc<Self>, driver: Rc<Driver>) {
        let mut turns = tokio::time::interval(TURN);
        turns.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for turn in 0_u32.. {
            turns.tick().await;
            let there = self.read().ok().flatten();
            self.meet(there.as_ref().map_or(self.pid, |state| state.pid), &driver);
            if let Some(state) = there.as_ref().filter(|s| s.calls > self.calls.get()) {
                self.calls.set(state.calls);
                let known = driver.disabled();
                state.out.difference(&known).for_each(|id| driver.take(Input::Disable(*id)));
                known.difference(&state.out).for_each(|id| driver.take(Input::Enable(*id)));
                log::line(&format!("handover: call {}: {} out of service", state.calls, state.out.len()));
            }
            // A call that was written here while the other process was about to write is gone from the file.
            if there.as_ref().is_some_and(|s| s.calls < self.calls.get()) {
                self.share(there.clone(), &driver);
            }
            if turn % WRITE_EVERY == 0 && !there.is_some_and(|s| self.is_successor(s.pid)) {
                self.write(&self.of(&driver));
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/handover.rs"]
mod tests;
