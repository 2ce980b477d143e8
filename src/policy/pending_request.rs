//! A request that has not got its final answer, or has attempts in flight.

use super::endpoint::{EndpointId, Location};
use super::request::Request;

/// One attempt of a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub endpoint: EndpointId,
    pub location: Location,
    /// When it was sent, in milliseconds on the balancer's clock.
    pub sent_at_ms: f64,
    pub timeout_ms: f64,
    pub in_flight: bool,
    /// Its outcome proves that the request did not run.
    pub never_ran: bool,
    /// It is the trial of a congested endpoint.
    pub is_trial: bool,
}

/// A request and its attempts.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: Request,
    pub arrived_at_ms: f64,
    /// Until when an answer is of full value, in milliseconds on the balancer's clock.
    pub objective_at_ms: f64,
    /// Value of an answer by then.
    pub weight: f64,
    /// It has its final answer, or its client has gone.
    pub finished: bool,
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// An attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// No attempt may have run.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.never_ran)
    }

    /// The first attempt that may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// The last byte of its body came at `now_ms`, later than its head: all its times count from there.
    pub fn shift_to(&mut self, now_ms: f64) {
        let delay_ms = now_ms - self.arrived_at_ms;
        self.arrived_at_ms = now_ms;
        self.objective_at_ms += delay_ms;
        self.request.deadline_ms += delay_ms;
        self.attempts.iter_mut().for_each(|attempt| attempt.sent_at_ms += delay_ms);
    }
}
