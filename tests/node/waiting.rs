//! Waits for conditions that a test expects, with an upper bound.

use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for a condition, and the time-out of reads and connects. It is far longer than any condition should
/// take, so that tests pass on a busy machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `condition` holds, and panics with its description `what` after `WAIT_TIMEOUT`.
pub fn wait_for(what: &str, condition: impl FnMut() -> bool) {
    wait_until(Instant::now() + WAIT_TIMEOUT, what, condition);
}

/// Waits until `condition` holds, and panics with its description `what` if it does not hold by `deadline`.
pub fn wait_until(deadline: Instant, what: &str, mut condition: impl FnMut() -> bool) {
    while !condition() {
        assert!(Instant::now() < deadline, "condition not met in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Waits for longer than the node keeps a connection to an endpoint unused after a response before it reuses it.
pub fn wait_until_connection_is_reusable() {
    thread::sleep(Duration::from_millis(50));
}
