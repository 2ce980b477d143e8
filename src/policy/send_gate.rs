//! Checks the conditions that every attempt must meet.
//!
//! An attempt that breaks one of them may exceed a limit of the settings, reach an endpoint that is out of
//! service, run a request twice, or overload an endpoint that has just restarted. Selection only considers
//! endpoints that pass this gate.

use super::endpoint_set::Endpoint;
use super::pending_request::PendingRequest;
use super::retry::repeat_window_ms;
use super::settings::{Idempotency, Settings};
use super::slow_start::SlowStartBudget;
use super::trial_eligibility::{Alternatives, TrialEligibility};

/// The checks for the attempts of one request at one point in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendGate<'a> {
    pub now_ms: f64,
    pub settings: &'a Settings,
    pub slow_start_budget: &'a SlowStartBudget,
    pub trial_eligibility: &'a TrialEligibility,
    pub pending: &'a PendingRequest,
}

impl SendGate<'_> {
    /// Returns whether an attempt may be sent to an endpoint: the client still waits, the request has
    /// attempts left, the endpoint is in service, the request may be repeated there if it may have run
    /// before, and the endpoint's slow start leaves room for one more request.
    pub fn allows(&self, endpoint: &Endpoint) -> bool {
        self.request_allows_attempt()
            && endpoint.in_service
            && self.repeat_window_ms(endpoint) > 0.0
            && self.slow_start_budget.allows_send(
                self.now_ms,
                &endpoint.slow_start,
                endpoint.served_per_second,
            )
    }

    /// Returns whether the request may have another attempt, at any endpoint: it is not finished, its
    /// deadline has not passed, its number of attempts is below the maximum and, if hedging is not allowed,
    /// it has no attempt in flight.
    fn request_allows_attempt(&self) -> bool {
        let pending = self.pending;
        !pending.finished
            && self.now_ms < pending.request.deadline_ms
            && (pending.attempts.len() as u32) < self.settings.max_attempts
            && (self.settings.hedging_allowed || !pending.has_attempt_in_flight())
    }

    /// Returns for how long an attempt at an endpoint may still begin, in milliseconds: infinite if the
    /// request cannot have run yet or a repeat does no harm, 0 or less if it may not be repeated there.
    pub fn repeat_window_ms(&self, endpoint: &Endpoint) -> f64 {
        let class = self.settings.classes.get(self.pending.request.class);
        repeat_window_ms(self.now_ms, self.pending, class, endpoint.location)
    }

    /// Returns whether selection may take an endpoint: [`SendGate::allows`] permits an attempt, the endpoint
    /// is neither congested nor at its concurrency limit, and the request has had no attempt there. A
    /// congested endpoint is also usable if the request may be its trial; the attempt is then the trial.
    /// `alternatives` tells whether another endpoint may be usable.
    pub fn is_usable(&self, endpoint: &Endpoint, alternatives: Alternatives) -> bool {
        let was_tried = self.pending.attempts.iter().any(|attempt| attempt.endpoint == endpoint.id);
        (!endpoint.failures.is_congested() || self.may_be_trial(endpoint, alternatives))
            && !endpoint.limit.blocks(self.now_ms, endpoint.in_flight)
            && !was_tried
            && self.allows(endpoint)
    }

    fn may_be_trial(&self, endpoint: &Endpoint, alternatives: Alternatives) -> bool {
        let idempotency = self.idempotency();
        self.trial_eligibility.allows_trial(self.now_ms, &endpoint.failures, idempotency, alternatives)
    }

    /// Returns the idempotency of the request's class.
    pub fn idempotency(&self) -> Idempotency {
        self.settings.idempotency(self.pending.request.class)
    }
}
