//! Drives the balancer: passes events to it, and executes the actions that it returns.
//!
//! The balancer does no input or output, and its decisions depend on the order of the events. So the
//! driver is its only owner, and handles one event at a time.
//!
//! Sockets, timers and tasks report events to [`Driver::handle`]. The driver updates its tables of open
//! requests and of endpoints, converts the event for the balancer, and executes the returned actions at
//! once. It makes no decisions, but checks every attempt and every rejection with the [`InvariantGuard`]
//! before it executes it.

mod attempt;
mod endpoint_table;
mod event;
mod pending_answer;
mod request_table;

pub use endpoint_table::DiscoveredEndpoint;
pub use event::DriverEvent;
pub use pending_answer::{Answer, PendingAnswer};

use crate::driver::attempt::AttemptParameters;
use crate::driver::endpoint_table::EndpointTable;
use crate::driver::event::AttemptReport;
use crate::driver::pending_answer::Responder;
use crate::driver::request_table::{OpenRequest, RequestTable};
use crate::observability::counters::{CounterKind, Counters, Violation};
use crate::observability::invariants::{AttemptTarget, InvariantGuard};
use crate::observability::log;
use crate::observability::request_trace::RequestEnding;
use crate::peers::PeerSocket;
use crate::system::clock::Clock;
use crate::upstream::{ProxiedRequest, Upstream};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use wheelpath::policy::{
    Action, Balancer, EndpointId, EndpointSnapshot, Event, RejectionReason, Request, RequestId,
};
use wheelpath::stable_hash::stable_hash;

/// The part of a driver that events change.
struct DriverState {
    balancer: Balancer,
    guard: InvariantGuard,
    counters: Rc<Counters>,
    requests: RequestTable,
    endpoints: EndpointTable,
}

/// The owner of a node's balancer, which passes events to the balancer and executes the returned actions.
pub struct Driver {
    state: RefCell<DriverState>,
    /// Events that were reported while another event was handled.
    queued_events: RefCell<VecDeque<DriverEvent>>,
    /// The balancer's clock.
    pub clock: Clock,
    /// Counters of answers, attempts and violations, which the admin interface and the log show.
    pub counters: Rc<Counters>,
    upstream: Rc<Upstream>,
    peers: Option<Rc<PeerSocket>>,
    watch_request_sender: mpsc::UnboundedSender<bool>,
    next_request_id: Cell<u64>,
    /// Whether discovery has responded since the start, or has had enough time to. Until then the list
    /// may be too old to serve with.
    list_is_usable: Cell<bool>,
}

impl Driver {
    /// Creates a driver that has handled no event. On `watch_request_sender`, it sends `true` when the
    /// balancer starts the watch of the endpoint list and `false` when the balancer stops the watch.
    pub fn new(
        balancer: Balancer,
        guard: InvariantGuard,
        upstream: Rc<Upstream>,
        peers: Option<Rc<PeerSocket>>,
        watch_request_sender: mpsc::UnboundedSender<bool>,
    ) -> Rc<Driver> {
        let counters = Rc::new(Counters::default());
        Rc::new(Driver {
            state: RefCell::new(DriverState {
                balancer,
                guard,
                counters: counters.clone(),
                requests: RequestTable::new(counters.clone()),
                endpoints: EndpointTable::default(),
            }),
            queued_events: RefCell::default(),
            clock: Clock::new(),
            counters,
            upstream,
            peers,
            watch_request_sender,
            next_request_id: Cell::new(0),
            list_is_usable: Cell::new(false),
        })
    }

    /// Submits a request to the balancer, and returns its pending answer. The balancer must end the
    /// request by `deadline`. If it does not, the node fails the request at `expires_at`. Both are postponed
    /// for a streamed body, by the time from this call until the client had sent the body.
    pub fn submit(
        self: &Rc<Self>,
        mut request: Request,
        proxied: ProxiedRequest,
        deadline: Instant,
        expires_at: Instant,
    ) -> PendingAnswer {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(deadline);
        let (responder, answer) = oneshot::channel();
        let proxied = Rc::new(proxied);
        let submitted_at = Instant::now();
        let responder = Responder::new(responder);
        self.handle(DriverEvent::RequestArrived { request, proxied: proxied.clone(), responder });
        PendingAnswer::new(self.clone(), id, proxied, answer, submitted_at, expires_at)
    }

    /// Returns the number of requests that have no answer yet, or have attempts in flight.
    pub fn open_request_count(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// Fails all requests without an answer, because the process is about to end.
    pub fn fail_unanswered(self: &Rc<Self>) {
        let unanswered = self.state.borrow().requests.unanswered();
        for id in unanswered {
            self.handle(DriverEvent::ClientWaitEnded(id, RequestEnding::Stopped));
        }
    }

    /// Counts each request that still has no answer at the end of the process as a violation.
    pub fn count_unanswered(&self) {
        let state = self.state.borrow();
        for id in state.requests.unanswered() {
            let trace_id = state.requests.get(id).map_or("?", |request| request.trace.id());
            self.counters.record_violation(Violation::EndUnanswered, trace_id);
        }
    }

    /// Returns `true` if the endpoint list is usable and has an endpoint in service.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        self.list_is_usable.get() && state.endpoints.active_ids().any(|id| state.is_routable(id))
    }

    /// Marks the endpoint list as usable, because discovery has sent a list or does not respond. Returns
    /// `true` on the first call.
    pub fn mark_list_usable(&self) -> bool {
        !self.list_is_usable.replace(true)
    }

    /// Returns the endpoint list that this process has: the active and the draining endpoints, ordered by id.
    pub fn endpoint_list(&self) -> Vec<DiscoveredEndpoint> {
        self.state.borrow().endpoints.endpoints()
    }

    /// Returns the endpoint with this name, or `None` if it is neither in the endpoint list nor disabled
    /// by an earlier command.
    pub fn find_endpoint(&self, name: &str) -> Option<EndpointId> {
        let id = EndpointId(stable_hash(name));
        let state = self.state.borrow();
        let is_disabled = state.balancer.disabled_endpoints().any(|disabled| disabled == id);
        (is_disabled || state.endpoints.is_listed(id)).then_some(id)
    }

    /// Disables or enables an endpoint for the operators. Returns `true` if this changed its state.
    pub fn set_disabled(self: &Rc<Self>, id: EndpointId, disable: bool) -> bool {
        let was_disabled = self.disabled_endpoints().contains(&id);
        self.handle(if disable { DriverEvent::Disable(id) } else { DriverEvent::Enable(id) });
        was_disabled != disable
    }

    /// Returns the endpoints that the operators have disabled, whether or not discovery lists them.
    pub fn disabled_endpoints(&self) -> BTreeSet<EndpointId> {
        self.state.borrow().balancer.disabled_endpoints().collect()
    }

    /// Returns the learned state of the endpoints, which the next process of this node takes over.
    pub fn snapshot(&self) -> Vec<EndpointSnapshot> {
        self.state.borrow().balancer.snapshot(self.clock.now_ms())
    }

    /// Handles an event, and executes the actions that the balancer returns. All events enter here. An
    /// event that is reported while another is handled is queued, and handled afterwards.
    pub fn handle(self: &Rc<Self>, event: DriverEvent) {
        self.queued_events.borrow_mut().push_back(event);
        let Ok(mut state) = self.state.try_borrow_mut() else { return };
        let mut actions = Vec::new();
        loop {
            let next = self.queued_events.borrow_mut().pop_front();
            let Some(event) = next else { return };
            let Some(event) = state.translate(event, &self.upstream, &self.clock) else { continue };
            let now_ms = self.clock.now_ms();
            state.balancer.handle(now_ms, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(&mut state, now_ms, action);
            }
        }
    }

    fn execute(self: &Rc<Self>, state: &mut DriverState, now_ms: f64, action: Action) {
        match action {
            Action::SendAttempt { id, endpoint, timeout_ms, begin_within_ms } => {
                let parameters = AttemptParameters { id, endpoint, timeout_ms, begin_within_ms };
                self.send_attempt(state, now_ms, parameters);
            }
            Action::CancelAttempt { id, attempt } => state.requests.cancel_attempt(id, attempt),
            Action::Reject { id, retry_after_ms, reason } => state.reject(id, retry_after_ms, reason),
            Action::Fail { id, reason } => {
                state.requests.respond(id, Answer::Failed, RequestEnding::Failed(reason));
            }
            Action::Timer { token, at_ms } => self.set_timer(token, at_ms),
            Action::CloseIdleConnections(endpoint) => self.upstream.close_idle(endpoint),
            Action::SendPeerMessage { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            // The send fails if the watch has ended, as at the end of the process.
            Action::SetWatch(should_watch) => drop(self.watch_request_sender.send(should_watch)),
            Action::Log(event) => log::line(&event.to_string()),
        }
    }

    /// Starts a task that reports the timer when it is due. The end of the process cancels it.
    fn set_timer(self: &Rc<Self>, token: u64, at_ms: f64) {
        let driver = self.clone();
        let due = self.clock.instant(at_ms);
        spawn_local(async move {
            tokio::time::sleep_until(due.into()).await;
            driver.handle(DriverEvent::Timer(token));
        });
    }
}

impl DriverState {
    /// Returns `true` if attempts may be sent to the endpoint: discovery reports it as active, and the
    /// operators have not disabled it.
    fn is_routable(&self, endpoint: EndpointId) -> bool {
        self.endpoints.is_active(endpoint) && self.balancer.is_in_service(endpoint)
    }

    /// Returns the properties of an attempt's endpoint that the invariants depend on.
    fn attempt_target(&self, endpoint: EndpointId) -> AttemptTarget {
        AttemptTarget {
            in_service: self.is_routable(endpoint),
            location: self.endpoints.location(endpoint),
        }
    }

    /// Updates the tables and converts the event for the balancer. Returns `None` if the balancer must
    /// not receive the event, for example because its request has ended.
    fn translate(&mut self, event: DriverEvent, upstream: &Upstream, clock: &Clock) -> Option<Event> {
        Some(match event {
            DriverEvent::Start => Event::Start,
            DriverEvent::EndpointsChanged { update, endpoints } => Event::EndpointsChanged {
                update,
                endpoints: self.endpoints.apply(update, endpoints, upstream, clock),
            },
            DriverEvent::RequestArrived { request, proxied, responder } => {
                let open_request = OpenRequest::new(&request, proxied, responder, clock.now_ms());
                self.requests.insert(request.id, open_request);
                Event::Request(request)
            }
            DriverEvent::ClientWaitEnded(id, ending) => {
                // If the request has its answer, this event has no effect.
                self.requests.get(id).filter(|request| request.awaits_answer())?;
                self.requests.respond(id, Answer::Failed, ending);
                Event::ClientDisconnected(id)
            }
            DriverEvent::RequestBodyComplete { id, sent_by_client_at } => {
                let sent_at_ms = clock.at_ms(sent_by_client_at);
                self.requests.get_mut(id)?.shift_times_to(sent_at_ms);
                Event::RequestBodyComplete { id, sent_at_ms }
            }
            DriverEvent::ResponseStarted(report) => self.on_response_started(report)?,
            DriverEvent::AttemptEnded(report) => self.on_attempt_ended(report)?,
            DriverEvent::Timer(token) => Event::Timer(token),
            DriverEvent::Disable(id) => Event::Disable(id),
            DriverEvent::Enable(id) => Event::Enable(id),
            DriverEvent::SnapshotRestored(snapshot) => Event::SnapshotRestored(snapshot),
            DriverEvent::HandoverStarted => Event::HandoverStarted,
            DriverEvent::PeerMessage { from, bytes } => Event::PeerMessage { from, bytes },
        })
    }

    /// Answers a request with a streamed response that has started.
    fn on_response_started(&mut self, report: AttemptReport) -> Option<Event> {
        let AttemptReport { id, attempt, endpoint, result, elapsed_ms } = report;
        let response = result.response?;
        self.requests.get(id).filter(|request| request.awaits_answer())?;
        self.requests.respond(id, Answer::Served(response), RequestEnding::Served);
        Some(Event::ResponseStarted { id, attempt, endpoint, elapsed_ms })
    }

    /// Records the end of an attempt. If the attempt has a response and its request no answer yet,
    /// answers the request with the response.
    fn on_attempt_ended(&mut self, report: AttemptReport) -> Option<Event> {
        let AttemptReport { id, attempt, endpoint, result, elapsed_ms } = report;
        let (outcome, load) = (result.outcome, result.load);
        let open_request = self.requests.get_mut(id)?;
        if !open_request.end_attempt(attempt, outcome, result.fault) {
            return None;
        }
        self.counters.count(CounterKind::Attempt, outcome.name());
        let awaits_answer = open_request.awaits_answer();
        let response = result.response.filter(|_| awaits_answer);
        let request_finished = !awaits_answer || response.is_some();
        match response {
            Some(response) => self.requests.respond(id, Answer::Served(response), RequestEnding::Served),
            None => self.requests.remove_if_closed(id),
        }
        Some(Event::AttemptEnded { id, attempt, endpoint, outcome, request_finished, elapsed_ms, load })
    }

    /// Rejects a request. All rejections are sent here. If an invariant forbids the rejection, the
    /// request fails instead: a rejection invites the client to repeat the request, and an endpoint may
    /// have executed it already.
    fn reject(&mut self, id: RequestId, retry_after_ms: f64, reason: RejectionReason) {
        let Some(open_request) = self.requests.get(id) else { return };
        match self.guard.may_reject(&open_request.facts()) {
            Ok(()) => {
                let answer = Answer::Rejected { retry_after_ms };
                self.requests.respond(id, answer, RequestEnding::Rejected(reason));
            }
            Err(violation) => {
                self.counters.record_violation(violation, open_request.trace.id());
                self.requests.respond(id, Answer::Failed, RequestEnding::Failed(reason));
            }
        }
    }
}
