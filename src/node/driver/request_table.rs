//! The requests that are open: not answered yet, or with attempts in flight.

use super::pending_response::{Answer, Responder};
use crate::observability::counters::{CounterKind, Counters};
use crate::observability::invariants::{AttemptRecord, RequestFacts};
use crate::observability::log;
use crate::observability::request_trace::{RequestEnding, RequestTrace};
use crate::upstream::ProxiedRequest;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::oneshot;
use wheelpath::policy::{AttemptOutcome, EndpointId, Location, Request, RequestId};

/// One open request.
pub(super) struct OpenRequest {
    responder: Option<Responder>,
    pub proxied: Rc<ProxiedRequest>,
    /// What cancels each attempt when dropped; none where it is over.
    cancel_handles: Vec<Option<oneshot::Sender<()>>>,
    /// The same attempts, as far as the invariants go by them.
    attempts: Vec<AttemptRecord>,
    class: usize,
    arrived_at_ms: f64,
    deadline_ms: f64,
    pub trace: RequestTrace,
}

impl OpenRequest {
    /// A request that has just arrived.
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

    /// It has no final answer yet.
    pub fn awaits_answer(&self) -> bool {
        self.responder.is_some()
    }

    fn is_closed(&self) -> bool {
        self.responder.is_none() && self.cancel_handles.iter().all(Option::is_none)
    }

    /// What the invariants go by.
    pub fn facts(&self) -> RequestFacts<'_> {
        RequestFacts {
            class: self.class,
            awaits_answer: self.awaits_answer(),
            deadline_ms: self.deadline_ms,
            attempts: &self.attempts,
        }
    }

    /// The last byte of its body has come at `now_ms`: its times count from there.
    pub fn shift_times_to(&mut self, now_ms: f64) {
        let delay_ms = now_ms - self.arrived_at_ms;
        self.arrived_at_ms = now_ms;
        self.deadline_ms += delay_ms;
        self.attempts.iter_mut().for_each(|attempt| attempt.sent_at_ms += delay_ms);
    }

    /// Number of the next attempt.
    pub fn next_attempt(&self) -> u32 {
        u32::try_from(self.cancel_handles.len()).unwrap_or(u32::MAX)
    }

    /// Notes an attempt; dropping `cancel` cancels it.
    pub fn add_attempt(
        &mut self,
        endpoint: EndpointId,
        location: Location,
        now_ms: f64,
        cancel_handle: oneshot::Sender<()>,
    ) {
        self.trace.sent(self.next_attempt(), endpoint);
        self.cancel_handles.push(Some(cancel_handle));
        self.attempts.push(AttemptRecord { location, sent_at_ms: now_ms, outcome: None });
    }

    /// Notes the end of an attempt. False where it was over already.
    pub fn end_attempt(&mut self, attempt: u32, outcome: AttemptOutcome) -> bool {
        let handle = self.cancel_handles.get_mut(attempt as usize).and_then(Option::take);
        if handle.is_none() {
            return false;
        }
        self.trace.ended(attempt, outcome);
        if let Some(record) = self.attempts.get_mut(attempt as usize) {
            record.outcome = Some(outcome);
        }
        true
    }
}

/// All open requests.
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    counters: Rc<Counters>,
}

impl RequestTable {
    /// An empty table.
    pub fn new(counters: Rc<Counters>) -> RequestTable {
        RequestTable { requests: HashMap::new(), counters }
    }

    /// How many there are.
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

    /// Those without a final answer.
    pub fn unanswered(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, request)| request.awaits_answer()).map(|(id, _)| *id).collect()
    }

    /// Cancels an attempt: its task closes the connection and reports its end.
    pub fn cancel_attempt(&mut self, id: RequestId, attempt: u32) {
        let open_request = self.requests.get_mut(&id);
        let handle = open_request.and_then(|request| request.cancel_handles.get_mut(attempt as usize));
        if let Some(cancel_handle) = handle.and_then(Option::as_mut) {
            // A handle whose other end has gone stands for an attempt that was cancelled and has not
            // reported yet.
            *cancel_handle = oneshot::channel().0;
        }
    }

    /// The one place in which a request gets its final answer.
    pub fn respond(&mut self, id: RequestId, answer: Answer, ending: RequestEnding) {
        let Some(open_request) = self.requests.get_mut(&id) else { return };
        if let Some(responder) = open_request.responder.take() {
            responder.respond(answer);
            open_request.trace.answered(ending);
            self.counters.count(CounterKind::Answer, ending.name());
            if let RequestEnding::Rejected(reason) | RequestEnding::Failed(reason) = ending {
                self.counters.count(CounterKind::Rejection, reason.name());
            }
        }
        self.remove_if_closed(id);
    }

    /// Removes a request that is answered and has no attempt in flight, and logs its trace.
    pub fn remove_if_closed(&mut self, id: RequestId) {
        if !self.requests.get(&id).is_some_and(OpenRequest::is_closed) {
            return;
        }
        if let Some(open_request) = self.requests.remove(&id)
            && (log::all_requests() || !open_request.trace.went_well())
        {
            log::request(|| open_request.trace.to_string());
        }
    }
}
