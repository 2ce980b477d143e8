//! Waits for conditions that a test expects, with an upper bound.

use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for a condition, and the time-out of reads and connects. It is far longer than any condition should
/// take, so that tests pass on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `condition` holds. Panics with `description`, which describes the condition, if it does not hold within
/// `WAIT_TIMEOUT`.
pub fn wait_for(description: &str, condition: impl FnMut() -> bool) {
    wait_until(Instant::now() + WAIT_TIMEOUT, description, condition);
}

/// Waits until `condition` holds. Panics with `description`, which describes the condition, if it does not hold by
/// `deadline`.
pub fn wait_until(deadline: Instant, description: &str, mut condition: impl FnMut() -> bool) {
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met in time: {description}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Waits until the node may reuse a connection to an endpoint on which it has just received a response. The node does
/// so only after the connection has been idle for a short time, which this wait exceeds.
pub fn wait_until_connection_is_reusable() {
    thread::sleep(Duration::from_millis(50));
}
