//! Identifies a process by its pid and its start time.
//!
//! A pid alone is not enough: once a process has ended, Linux may give its pid to an unrelated one.

use serde::{Deserialize, Serialize};

/// Index of the process state in `/proc/PID/stat`, counted from the first field after the command name. The
/// name is skipped because it may contain any characters.
const STATE_FIELD: usize = 0;
/// Index of the start time in `/proc/PID/stat`, counted from the first field after the command name.
const START_TIME_FIELD: usize = 19;

/// The identity of a process on this machine. It does not depend on the wall clock, so a step of that clock
/// does not change it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessId {
    /// The pid.
    pub pid: u32,
    /// When the process started, in clock ticks since the machine booted; 0 if that is unknown.
    #[serde(rename = "started")]
    pub start_ticks: u64,
}

impl ProcessId {
    /// Returns the identity of the calling process.
    pub fn current() -> ProcessId {
        let pid = std::process::id();
        ProcessId { pid, start_ticks: start_ticks(pid).unwrap_or(0) }
    }

    /// Returns `true` if this process still runs. Another process with the same pid does not count.
    pub fn is_running(&self) -> bool {
        start_ticks(self.pid) == Some(self.start_ticks)
    }
}

/// Returns when the process with this pid started, in clock ticks since boot, or `None` if there is no such
/// process or if it has ended and its parent has not yet collected it (a zombie).
fn start_ticks(pid: u32) -> Option<u64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = fields.split(' ').collect();
    let has_ended = matches!(*fields.get(STATE_FIELD)?, "Z" | "X");
    if has_ended { None } else { fields.get(START_TIME_FIELD)?.parse().ok() }
}
