//! Tells when it is too late in the shutdown to submit a request to the driver.
//!
//! Shortly before the process ends, the driver fails all requests without an answer. A request whose body
//! completes after that would be sent to an endpoint, which executes it, but the process would end before the
//! response. The driver does not know such a request before it is submitted.
//!
//! After the cutoff, the frontend refuses every request that it has not submitted, and no longer waits for
//! the rest of those that it is reading. An endpoint has seen none of them, so the client may safely send
//! them again.

use std::cell::Cell;
use tokio::sync::Notify;

/// The point in the shutdown from which no request is submitted.
#[derive(Debug, Default)]
pub(super) struct RequestCutoff {
    has_passed: Cell<bool>,
    passed: Notify,
}

impl RequestCutoff {
    /// Marks the cutoff as passed, and wakes all tasks that wait for it.
    pub fn pass(&self) {
        self.has_passed.set(true);
        self.passed.notify_waiters();
    }

    /// Runs `operation`, and returns its output. Returns `None` if the cutoff passes first, or has passed.
    pub async fn run_before<T>(&self, operation: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.wait() => None,
            output = operation => Some(output),
        }
    }

    /// Waits until the cutoff passes. Returns at once if it has passed.
    async fn wait(&self) {
        // All tasks share one thread, so the cutoff cannot pass between the check and the wait.
        if !self.has_passed.get() {
            self.passed.notified().await;
        }
    }
}
