//! What every attempt must satisfy, whatever selection wants.

use super::endpoint_set::Endpoint;
use super::pending_request::PendingRequest;
use super::retry::repeat_window_ms;
use super::settings::Settings;
use super::slow_start::SlowStartBudget;

/// The gate that every attempt of a request passes.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendGate<'a> {
    pub now_ms: f64,
    pub settings: &'a Settings,
    pub slow_start: &'a SlowStartBudget,
    pub request: &'a PendingRequest,
}

impl SendGate<'_> {
    /// Whether an attempt may be sent to an endpoint: its client waits, attempts are left, the endpoint is
    /// in service, a repeat does no harm there, and its slow start allows it.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        self.request_is_open()
            && endpoint.in_service
            && self.repeat_window_ms(endpoint) > 0.0
            && self.slow_start.allows_send(self.now_ms, &endpoint.slow_start, endpoint.served_per_second)
    }

    fn request_is_open(&self) -> bool {
        let request = self.request;
        !request.finished
            && self.now_ms < request.request.deadline_ms
            && (request.attempts.len() as u32) < self.settings.max_attempts
            && (self.settings.hedging_allowed || !request.has_attempt_in_flight())
    }

    /// For how long an attempt at an endpoint may still begin, in milliseconds.
    pub fn repeat_window_ms(&self, endpoint: &Endpoint) -> f64 {
        let class = self.settings.classes.get(self.request.request.class);
        repeat_window_ms(self.now_ms, self.request, class, endpoint.location)
    }

    /// Whether selection may take an endpoint: the gate allows it, it is neither congested nor at its
    /// concurrency limit, and this request has not tried it. A congested one that is due may take a trial,
    /// which has to be a request that may be repeated.
    pub fn is_usable(&self, endpoint: &Endpoint) -> bool {
        let may_trial = endpoint.failures.is_trial_due(self.now_ms)
            && self.settings.idempotency(self.request.request.class).allows_repeats();
        let was_tried = self.request.attempts.iter().any(|attempt| attempt.endpoint == endpoint.id);
        (!endpoint.failures.is_congested() || may_trial)
            && !endpoint.limit.blocks(self.now_ms, endpoint.in_flight)
            && !was_tried
            && self.allows(endpoint)
    }
}
