//! Stores the open requests: those that have no answer yet, or have attempts in flight.
//!
//! A request stays in the table after its answer until its last attempt has ended, so that the outcomes
//! of all its attempts reach the balancer, the counters and the trace.

use super::pending_answer::{Answer, Responder};
use crate::observability::counters::{CounterKind, Counters};
use crate::observability::invariants::{AttemptRecord, RequestFacts};
use crate::observability::log;
use crate::observability::request_trace::{RequestEnding, RequestTrace, ResponseFault, TracedEnd};
use crate::upstream::ProxiedRequest;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use wheelpath::policy::{AttemptOutcome, EndpointId, Location, Request, RequestId};

/// A request that has no answer yet, or has attempts in flight.
pub(super) struct OpenRequest {
    /// Sends the answer; `None` if the request has been answered.
    responder: Option<Responder>,
    pub proxied: Rc<ProxiedRequest>,
    /// A handle for each attempt, which cancels the attempt when it is dropped; `None` if the attempt has
    /// ended.
    cancel_handles: Vec<Option<oneshot::Sender<()>>>,
    /// A record of each attempt, for the checks of the invariants.
    attempts: Vec<AttemptRecord>,
    /// Index of the request's class in the settings.
    class: usize,
    /// When the request arrived, or the client had sent its streamed body, in milliseconds on the balancer's
    /// clock.
    arrived_at_ms: f64,
    /// When the client stops waiting, in milliseconds on the balancer's clock.
    deadline_ms: f64,
    pub trace: RequestTrace,
}

impl OpenRequest {
    /// Creates the record of a request that arrived at `now_ms` and has no attempt yet.
    pub fn new(
        request: &Request,
        proxied: Rc<ProxiedRequest>,
        responder: Responder,
        now_ms: f64,
    ) -> OpenRequest {
        let trace = RequestTrace::new(proxied.trace_id().cloned());
        OpenRequest {
            responder: Some(responder),
            proxied,
            cancel_handles: Vec::new(),
            attempts: Vec::new(),
            class: request.class,
            arrived_at_ms: now_ms,
            deadline_ms: request.deadline_ms,
            trace,
        }
    }

    /// Returns `true` if the request has no final answer yet.
    pub fn awaits_answer(&self) -> bool {
        self.responder.is_some()
    }

    fn is_closed(&self) -> bool {
        self.responder.is_none() && self.cancel_handles.iter().all(Option::is_none)
    }

    /// Returns the properties of the request that the invariants depend on.
    pub fn facts(&self) -> RequestFacts<'_> {
        RequestFacts {
            class: self.class,
            awaits_answer: self.awaits_answer(),
            deadline_ms: self.deadline_ms,
            attempts: &self.attempts,
        }
    }

    /// Moves the times of the request so that they count from `sent_at_ms`, when the client had sent its body.
    /// Has no effect if that was before the request arrived.
    pub fn shift_times_to(&mut self, sent_at_ms: f64) {
        let delay_ms = (sent_at_ms - self.arrived_at_ms).max(0.0);
        self.arrived_at_ms += delay_ms;
        self.deadline_ms += delay_ms;
        self.attempts.iter_mut().for_each(|attempt| attempt.sent_at_ms += delay_ms);
    }

    /// Returns the number of the next attempt. The first attempt has number 0.
    pub fn next_attempt(&self) -> u32 {
        u32::try_from(self.cancel_handles.len()).unwrap_or(u32::MAX)
    }

    /// Records an attempt, which is cancelled when `cancel_handle` is dropped.
    pub fn add_attempt(
        &mut self,
        endpoint: EndpointId,
        location: Location,
        now_ms: f64,
        cancel_handle: oneshot::Sender<()>,
    ) {
        self.trace.record_attempt_requested(self.next_attempt(), endpoint);
        self.cancel_handles.push(Some(cancel_handle));
        self.attempts.push(AttemptRecord { location, sent_at_ms: now_ms, outcome: None });
        self.update_may_have_run();
    }

    /// Tells whether an endpoint may have executed the request. An attempt in flight may be executed.
    fn update_may_have_run(&self) {
        let may_have_run = self.attempts.iter().any(|attempt| !attempt.was_not_executed());
        self.proxied.may_have_run.set(may_have_run);
    }

    /// Records the end of an attempt, and why its response was no answer. Returns `false` if the attempt is
    /// unknown or had ended already.
    pub fn end_attempt(
        &mut self,
        attempt: u32,
        outcome: AttemptOutcome,
        fault: Option<ResponseFault>,
    ) -> bool {
        let handle = self.cancel_handles.get_mut(attempt as usize).and_then(Option::take);
        if handle.is_none() {
            return false;
        }
        let end = TracedEnd { outcome, fault, body: self.proxied.body_progress() };
        self.trace.record_ended(attempt, end);
        if let Some(record) = self.attempts.get_mut(attempt as usize) {
            record.outcome = Some(outcome);
        }
        self.update_may_have_run();
        true
    }
}

/// The open requests of a node, by id.
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    counters: Rc<Counters>,
}

impl RequestTable {
    /// Creates an empty table, which counts answers in `counters`.
    pub fn new(counters: Rc<Counters>) -> RequestTable {
        RequestTable { requests: HashMap::new(), counters }
    }

    /// Returns the number of open requests, including answered ones with attempts in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    pub fn insert(&mut self, id: RequestId, open_request: OpenRequest) {
        self.requests.insert(id, open_request);
    }

    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns the requests without a final answer, in no particular order.
    pub fn unanswered(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, request)| request.awaits_answer()).map(|(id, _)| *id).collect()
    }

    /// Cancels an attempt. Its task then closes the connection and reports the end of the attempt.
    pub fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let open_request = self.requests.get_mut(&id);
        let handle = open_request.and_then(|request| request.cancel_handles.get_mut(attempt as usize));
        if let Some(cancel_handle) = handle.and_then(Option::as_mut) {
            // Replaces the handle, which drops it, by one without a receiver. `None` would mean that the
            // attempt has ended, but its task has yet to report the end.
            *cancel_handle = oneshot::channel().0;
        }
    }

    /// Sends the final answer of a request, unless it already has one. All answers are sent here.
    pub fn respond(&mut self, id: RequestId, answer: Answer, ending: RequestEnding) {
        let Some(open_request) = self.requests.get_mut(&id) else { return };
        if let Some(responder) = open_request.responder.take() {
            responder.respond(answer);
            open_request.trace.record_answered(ending);
            self.counters.count(CounterKind::Answer, ending.name());
            if let RequestEnding::Rejected(reason) | RequestEnding::Failed(reason) = ending {
                self.counters.count(CounterKind::Rejection, reason.name());
            }
        }
        self.remove_if_closed(id);
    }

    /// Removes a request if it has been answered and has no attempt in flight. Logs the trace of a
    /// removed request, unless its first attempt served it and the log is not set to all requests.
    pub fn remove_if_closed(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(OpenRequest::is_closed) {
            return;
        }
        if let Some(open_request) = self.requests.remove(&id)
            && (log::traces_all_requests() || !open_request.trace.was_served_by_first_attempt())
        {
            log::request(|| open_request.trace.to_string());
        }
    }
}
