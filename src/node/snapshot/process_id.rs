//! Which process is meant by a number: the system gives the numbers of processes that have ended to others.

use serde::{Deserialize, Serialize};

/// Fields of `/proc/PID/stat` behind the name, which may hold anything: the state is the first, the start
/// time the twentieth.
const STATE_FIELD: usize = 0;
const START_TIME_FIELD: usize = 19;

/// A process of this machine. No step of the wall clock changes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessId {
    /// The number that the system gave it.
    pub pid: u32,
    /// When it started, in clock ticks since the machine's start; 0 where the system does not say.
    pub started: u64,
}

impl ProcessId {
    /// This process.
    pub fn own() -> ProcessId {
        let pid = std::process::id();
        ProcessId { pid, started: start_time(pid).unwrap_or(0) }
    }

    /// Whether it still runs, as the same process.
    pub fn is_running(&self) -> bool {
        start_time(self.pid) == Some(self.started)
    }
}

/// When the process of that number started; none where there is none, or it has ended and waits for its
/// parent.
fn start_time(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let has_ended = matches!(*fields.get(STATE_FIELD)?, "Z" | "X");
    if has_ended { None } else { fields.get(START_TIME_FIELD)?.parse().ok() }
}
