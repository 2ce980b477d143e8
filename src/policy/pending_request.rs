//! Keeps the state of a request and its attempts until the request has its final answer and no attempt is in
//! flight.

use super::endpoint::{EndpointId, Location};
use super::request::Request;

/// One attempt to have an endpoint answer a request.
#[derive(Debug)]
pub(super) struct Attempt {
    pub endpoint: EndpointId,
    /// Location of the endpoint when the attempt was sent.
    pub location: Location,
    /// When the attempt was sent, in milliseconds on the balancer's clock.
    pub sent_at_ms: f64,
    /// How long the host waits for the answer, in milliseconds from `sent_at_ms`.
    pub timeout_ms: f64,
    /// The host has not reported the end of the attempt yet.
    pub in_flight: bool,
    /// The outcome proves that the request did not run; false while the attempt is in flight.
    pub never_ran: bool,
    /// The attempt is a trial of a congested endpoint.
    pub is_trial: bool,
}

/// A request and its attempts.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: Request,
    /// When the request arrived, in milliseconds on the balancer's clock.
    pub arrived_at_ms: f64,
    /// When the latency objective ends, in milliseconds on the balancer's clock.
    pub objective_at_ms: f64,
    /// Value of an answer, in units of the class's priority weight: the full value, or the value of a late
    /// answer if the objective had already passed when the request arrived.
    pub weight: f64,
    /// The request has its final answer, or its client has disconnected.
    pub finished: bool,
    /// All attempts so far, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// Returns whether at least one attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns whether the outcomes of all attempts prove that the request did not run. True if there was no
    /// attempt.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.never_ran)
    }

    /// Returns the earliest attempt by which the request may have run, or `None` if it never ran.
    pub fn first_attempt_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// Moves the arrival to `sent_at_ms`, when the client had sent the body, and all other times by the
    /// same amount. A client that sends its body slowly thus does not use up the time for the answer. Has no
    /// effect if `sent_at_ms` is before the arrival or not finite.
    pub fn shift_arrival_to(&mut self, sent_at_ms: f64) {
        let delay_ms = sent_at_ms - self.arrived_at_ms;
        if !delay_ms.is_finite() || delay_ms < 0.0 {
            return;
        }
        self.arrived_at_ms = sent_at_ms;
        self.objective_at_ms += delay_ms;
        self.request.deadline_ms += delay_ms;
        self.attempts.iter_mut().for_each(|attempt| attempt.sent_at_ms += delay_ms);
    }
}
