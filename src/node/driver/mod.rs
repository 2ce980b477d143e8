//! The only owner of the balancer: events in, actions out, one at a time and in order.
//!
//! Sockets, timers and tasks report to [`Driver::handle`]. What they report is noted in the tables of open
//! requests and known endpoints, translated for the balancer, and the actions that come back are carried
//! out at once. The driver decides nothing itself; it checks every attempt and rejection with the
//! [`InvariantGuard`] before it carries it out.

mod attempt;
mod endpoint_table;
mod event;
mod pending_response;
mod request_table;

pub use endpoint_table::DiscoveredEndpoint;
pub use event::DriverEvent;
pub use pending_response::{Answer, PendingResponse};

use crate::driver::attempt::AttemptParameters;
use crate::driver::endpoint_table::EndpointTable;
use crate::driver::event::AttemptReport;
use crate::driver::pending_response::Responder;
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

/// What events change.
struct DriverState {
    balancer: Balancer,
    guard: InvariantGuard,
    counters: Rc<Counters>,
    requests: RequestTable,
    endpoints: EndpointTable,
}

/// Events in, actions out.
pub struct Driver {
    state: RefCell<DriverState>,
    queued_events: RefCell<VecDeque<DriverEvent>>,
    /// The clock of all events.
    pub clock: Clock,
    /// What was done, by reason.
    pub counters: Rc<Counters>,
    upstream: Rc<Upstream>,
    peers: Option<Rc<PeerSocket>>,
    watch_requests: mpsc::UnboundedSender<bool>,
    next_request: Cell<u64>,
    /// Discovery has answered, or has had time to: until then the list may be long out of date.
    list_is_usable: Cell<bool>,
}

impl Driver {
    /// A driver that no event has reached yet. The decisions' requests to watch the endpoint list go out on
    /// `watch_requests`.
    pub fn new(
        balancer: Balancer,
        guard: InvariantGuard,
        upstream: Rc<Upstream>,
        peers: Option<Rc<PeerSocket>>,
        watch_requests: mpsc::UnboundedSender<bool>,
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
            watch_requests,
            next_request: Cell::new(0),
            list_is_usable: Cell::new(false),
        })
    }

    /// Takes in a request and hands out its pending response. `deadline` is when the decisions must have
    /// ended it, `expires_at` when this node does so without them.
    pub fn submit(
        self: &Rc<Self>,
        mut request: Request,
        proxied: ProxiedRequest,
        deadline: Instant,
        expires_at: Instant,
    ) -> PendingResponse {
        let id = RequestId(self.next_request.get());
        self.next_request.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(deadline);
        let (responder, answer) = oneshot::channel();
        let proxied = Rc::new(proxied);
        let submitted_at = Instant::now();
        let responder = Responder::new(responder);
        self.handle(DriverEvent::RequestArrived { request, proxied: proxied.clone(), responder });
        PendingResponse::new(self.clone(), id, proxied, answer, submitted_at, expires_at)
    }

    /// Requests that are not over.
    pub fn open_requests(&self) -> usize {
        self.state.borrow().requests.len()
    }

    /// Fails all that is pending, for a node that has no more time.
    pub fn fail_unanswered(self: &Rc<Self>) {
        let unanswered = self.state.borrow().requests.unanswered();
        for id in unanswered {
            self.handle(DriverEvent::ClientDisconnected(id, RequestEnding::Stopped));
        }
    }

    /// Counts requests that the end of the process leaves without an answer.
    pub fn count_unanswered(&self) {
        let state = self.state.borrow();
        for id in state.requests.unanswered() {
            let trace_id = state.requests.get(id).map_or("?", |request| request.trace.id());
            self.counters.violation(Violation::EndUnanswered, trace_id);
        }
    }

    /// Whether a request could be served, by a list that is not out of date.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        self.list_is_usable.get() && state.endpoints.active_ids().any(|id| state.is_routable(id))
    }

    /// Marks the endpoint list as good enough to serve by: discovery has sent it, or does not answer. True
    /// the first time.
    pub fn mark_list_usable(&self) -> bool {
        !self.list_is_usable.replace(true)
    }

    /// The endpoint of that name; none for one that neither the list nor an earlier command has named.
    pub fn find_endpoint(&self, name: &str) -> Option<EndpointId> {
        let id = EndpointId(stable_hash(name));
        let state = self.state.borrow();
        let is_disabled = state.balancer.disabled_endpoints().any(|disabled| disabled == id);
        (is_disabled || state.endpoints.is_listed(id)).then_some(id)
    }

    /// Takes an endpoint out of service or puts it back. True if that changed anything.
    pub fn set_disabled(self: &Rc<Self>, id: EndpointId, disable: bool) -> bool {
        let was_disabled = self.disabled_endpoints().contains(&id);
        self.handle(if disable { DriverEvent::Disable(id) } else { DriverEvent::Enable(id) });
        was_disabled != disable
    }

    /// The endpoints that the operators have out of service.
    pub fn disabled_endpoints(&self) -> BTreeSet<EndpointId> {
        self.state.borrow().balancer.disabled_endpoints().collect()
    }

    /// What the next process has to know of endpoints.
    pub fn snapshot(&self) -> Vec<EndpointSnapshot> {
        self.state.borrow().balancer.snapshot(self.clock.now_ms())
    }

    /// The single entry point for events. Events that arise while one is handled are queued.
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
            // The watch may have ended with the node.
            Action::SetWatch(on) => drop(self.watch_requests.send(on)),
            Action::Log(event) => log::line(&event.to_string()),
        }
    }

    /// Starts a task that ends when the timer is due, or with the process.
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
    /// Whether an endpoint may be sent to at this moment.
    fn is_routable(&self, endpoint: EndpointId) -> bool {
        self.endpoints.is_active(endpoint) && self.balancer.is_in_service(endpoint)
    }

    /// What the invariants need to know of an endpoint that an attempt is to go to.
    fn attempt_target(&self, endpoint: EndpointId) -> AttemptTarget {
        AttemptTarget {
            in_service: self.is_routable(endpoint),
            location: self.endpoints.location(endpoint),
        }
    }

    /// Notes what happened and says it in the decisions' terms; none where they need not hear of it.
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
            DriverEvent::ClientDisconnected(id, ending) => {
                // After the answer this changes nothing.
                self.requests.get(id).filter(|request| request.awaits_answer())?;
                self.requests.respond(id, Answer::Failed, ending);
                Event::ClientDisconnected(id)
            }
            DriverEvent::RequestBodyComplete(id) => {
                self.requests.get_mut(id)?.shift_times_to(clock.now_ms());
                Event::RequestBodyComplete(id)
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

    /// A streamed response has begun: the request is answered with it.
    fn on_response_started(&mut self, report: AttemptReport) -> Option<Event> {
        let AttemptReport { id, attempt, endpoint, result, elapsed_ms } = report;
        let reply = result.reply?;
        self.requests.get(id).filter(|request| request.awaits_answer())?;
        self.requests.respond(id, Answer::Served(reply), RequestEnding::Served);
        Some(Event::ResponseStarted { id, attempt, endpoint, elapsed_ms })
    }

    /// An attempt is over; a request that still waits is answered with its reply, if it brought one.
    fn on_attempt_ended(&mut self, report: AttemptReport) -> Option<Event> {
        let AttemptReport { id, attempt, endpoint, result, elapsed_ms } = report;
        let (outcome, load) = (result.outcome, result.load);
        let open_request = self.requests.get_mut(id)?;
        if !open_request.end_attempt(attempt, outcome) {
            return None;
        }
        self.counters.count(CounterKind::Attempt, outcome.name());
        let awaits_answer = open_request.awaits_answer();
        let reply = result.reply.filter(|_| awaits_answer);
        let request_finished = !awaits_answer || reply.is_some();
        match reply {
            Some(reply) => self.requests.respond(id, Answer::Served(reply), RequestEnding::Served),
            None => self.requests.remove_if_closed(id),
        }
        Some(Event::AttemptEnded { id, attempt, endpoint, outcome, request_finished, elapsed_ms, load })
    }

    /// The one place that rejects: a rejection that may do harm becomes a failure.
    fn reject(&mut self, id: RequestId, retry_after_ms: f64, reason: RejectionReason) {
        let Some(open_request) = self.requests.get(id) else { return };
        match self.guard.may_reject(&open_request.facts()) {
            Ok(()) => {
                let answer = Answer::Rejected { retry_after_ms };
                self.requests.respond(id, answer, RequestEnding::Rejected(reason));
            }
            Err(violation) => {
                self.counters.violation(violation, open_request.trace.id());
                self.requests.respond(id, Answer::Failed, RequestEnding::Failed(reason));
            }
        }
    }
}
