//! Waiting for what a test expects, with an upper bound.

use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for anything that should happen.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until `done`, for `WAIT_TIMEOUT` at most.
pub fn wait_for(what: &str, done: impl FnMut() -> bool) {
    wait_until(Instant::now() + WAIT_TIMEOUT, what, done);
}

/// Waits until `done`, which must be so by `end`.
pub fn wait_until(end: Instant, what: &str, mut done: impl FnMut() -> bool) {
    while !done() {
        assert!(Instant::now() < end, "not so in time: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Waits for longer than a connection to an endpoint must be quiet after a response before it is used again.
pub fn wait_until_connection_is_reusable() {
    thread::sleep(Duration::from_millis(50));
}
