//! Keeps what the previous process of the node had learned about endpoints that are not listed yet.
//!
//! The endpoint list that a process starts with may be older than the snapshot of the previous process, and
//! an operator may have enabled an endpoint that is not on any list. The entries of such endpoints are kept
//! until discovery lists them, for at most the duration of a slow start: by then every slow start in the
//! snapshot is over, and the process learns the rest itself.

use super::endpoint::{EndpointId, EndpointSnapshot};

/// Time constant of the exponential decay of a served rate, in milliseconds. It is one second, so that the
/// decaying count is an estimate of the rate per second.
const SERVED_TIME_CONSTANT_MS: f64 = 1000.0;

/// The part of the previous process's snapshot that is not applied yet.
#[derive(Debug, Default)]
pub(super) struct RestoredSnapshot {
    endpoints: Vec<EndpointSnapshot>,
    /// When this process received the snapshot, in milliseconds on the balancer's clock.
    restored_at_ms: f64,
}

impl RestoredSnapshot {
    /// Keeps the entries of a snapshot that this process receives at `now_ms`.
    pub fn new(endpoints: Vec<EndpointSnapshot>, now_ms: f64) -> RestoredSnapshot {
        RestoredSnapshot { endpoints, restored_at_ms: now_ms }
    }

    /// Removes and returns the entries of the endpoints for which `is_listed` returns `true`, with their
    /// served rates at `now_ms`. Drops all entries if the duration of a slow start is over.
    pub fn take_listed(
        &mut self,
        now_ms: f64,
        slow_start_ms: f64,
        is_listed: impl Fn(EndpointId) -> bool,
    ) -> Vec<EndpointSnapshot> {
        if now_ms - self.restored_at_ms > slow_start_ms {
            self.endpoints.clear();
        }
        let endpoints = std::mem::take(&mut self.endpoints);
        let (listed, pending) = endpoints.into_iter().partition(|entry| is_listed(entry.endpoint));
        self.endpoints = pending;
        let retained = self.retained_rate(now_ms);
        let mut listed: Vec<EndpointSnapshot> = listed;
        listed.iter_mut().for_each(|entry| entry.served_per_second *= retained);
        listed
    }

    /// Returns the entries that are kept, with their served rates at `now_ms`.
    pub fn pending(&self, now_ms: f64) -> impl Iterator<Item = EndpointSnapshot> {
        let retained = self.retained_rate(now_ms);
        self.endpoints.iter().map(move |entry| EndpointSnapshot {
            served_per_second: entry.served_per_second * retained,
            ..*entry
        })
    }

    /// Halves the served rates, because another process of the node now has a part of its traffic.
    pub fn halve_served_rates(&mut self) {
        self.endpoints.iter_mut().for_each(|entry| entry.served_per_second /= 2.0);
    }

    /// Returns the share that is left of a rate that this process received.
    fn retained_rate(&self, now_ms: f64) -> f64 {
        (-(now_ms - self.restored_at_ms) / SERVED_TIME_CONSTANT_MS).exp()
    }
}
