//! Which process is meant by a number: the system gives the numbers of processes that have ended to others.

use serde::{Deserialize, Serialize};

/// A process of this machine: its number, and when the system started it, in clock ticks since the machine's start. No
/// step of the wall clock changes either.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessId {
    /// The number that the system gave it.
    pub pid: u32,
    /// When it started; 0 where the system does not say.
    pub started: u64,
}

impl ProcessId {
    /// This process.
    pub fn own() -> ProcessId {
        let pid = std::process::id();
        ProcessId { pid, started: start_of(pid).unwrap_or(0) }
    }

    /// Still running, as the same process.
    pub fn runs(&self) -> bool {
        start_of(self.pid) == Some(self.started)
    }
}

/// When the process of that number started; none where there is none, or it has ended and waits for its parent.
fn start_of(pid: u32) -> Option<u64> {
    /// Behind the name, which may hold anything, the state is the first field and the start the twentieth.
    const STATE: usize = 0;
    const START: usize = 19;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ended = matches!(*fields.get(STATE)?, "Z" | "X");
    if ended { None } else { fields.get(START)?.parse().ok() }
}
