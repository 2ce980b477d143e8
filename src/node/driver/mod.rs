//! The only owner of the balancer: events in, actions out, one at a time and at once.
//!
//! It keeps what the decisions do not: where backends are, the timers, and which requests and attempts are
//! open. It decides nothing itself.

use crate::observability::counters::{CounterKind, Counters, Violation};
use crate::observability::invariants::{AttemptRecord, AttemptTarget, InvariantGuard, RequestFacts};
use crate::observability::log;
use crate::observability::request_trace::{RequestEnding, Trace, WithheldReason};
use crate::peers::PeerSocket;
use crate::system::clock::Clock;
use crate::upstream::{
    Attempt, AttemptEnd, AttemptResult, ProxiedRequest, Upstream, UpstreamConnection, UpstreamResponse,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use wheelpath::policy::Balancer;
use wheelpath::policy::{
    Action, AttemptOutcome, EndpointId, EndpointSnapshot, EndpointState, EndpointUpdate, Event,
    RejectionReason, Request, RequestId, WatchUpdate,
};
use wheelpath::stable_hash::stable_hash;

/// The header with the id of a request.
const TRACE_ID: &str = "x-trace-id";

/// As counters name it.
fn outcome_name(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered => "done",
        AttemptOutcome::ErrorResponse => "error",
        AttemptOutcome::Rejected => "full",
        AttemptOutcome::TimedOut => "timed-out",
        AttemptOutcome::ConnectFailed => "not-connected",
        AttemptOutcome::ConnectionReset => "reset",
        AttemptOutcome::Cancelled => "cancelled",
        AttemptOutcome::NotSent => "skipped",
    }
}

/// A request's final answer.
pub enum Answer {
    /// A backend's.
    Served(UpstreamResponse),
    /// Trying again is harmless, best after this long.
    Refused {
        /// 0 for no advice.
        retry_after_ms: f64,
    },
    /// No promise.
    Failed,
}

/// The one answer that each request gets. Responding uses it up, so there is no second; dropping it fails the request.
pub struct Responder(oneshot::Sender<Answer>);

impl Responder {
    fn respond(self, answer: Answer) {
        // A client that has gone wants none.
        let _ = self.0.send(answer);
    }
}

/// The client's side of a pending answer. Dropped before the answer came, it tells that the client left.
pub struct PendingResponse {
    driver: Rc<Driver>,
    id: RequestId,
    call: Rc<ProxiedRequest>,
    answer: oneshot::Receiver<Answer>,
    begun: Instant,
    expires: Instant,
    /// Its time was over before it was answered.
    expired: bool,
}

impl PendingResponse {
    /// Waits for the answer; past the deadline that is a failure, whatever is still out.
    pub async fn answer(mut self) -> Answer {
        let call = self.call.clone();
        let expired = async {
            let late = call.whole().await.map(|at| at.saturating_duration_since(self.begun));
            tokio::time::sleep_until((self.expires + late.unwrap_or_default()).into()).await;
        };
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Answer::Failed),
            () = expired => {
                self.expired = true;
                Answer::Failed
            }
        }
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        let ending = if self.expired { RequestEnding::Expired } else { RequestEnding::Left };
        self.driver.take(DriverEvent::Left(self.id, ending));
    }
}

/// One line of discovery's list.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveredEndpoint {
    /// What the decisions need, but for the time of its start.
    pub entry: EndpointUpdate,
    /// When it last started, by the wall clock in milliseconds since 1970; 0 for long ago.
    pub boot_ms: f64,
    /// Where it listens; one that was removed need not say.
    pub address: Option<SocketAddr>,
}

/// All that can happen to a node.
pub enum DriverEvent {
    /// The node is up.
    Start,
    /// News of the list.
    List(WatchUpdate, Vec<DiscoveredEndpoint>),
    /// A client's request.
    Arrived(Request, Rc<ProxiedRequest>, Responder),
    /// The client is gone, or needs nothing any more, for this reason if it has no answer yet.
    Left(RequestId, RequestEnding),
    /// The last byte of a request's body has come and gone on.
    Whole(RequestId),
    /// A long answer has begun.
    Begun {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// At which backend.
        endpoint: EndpointId,
        /// What has come.
        finish: AttemptResult,
        /// Time since the send.
        elapsed_ms: f64,
    },
    /// An attempt is over.
    Ended {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// At which backend.
        endpoint: EndpointId,
        /// How.
        finish: AttemptResult,
        /// Time since the send.
        elapsed_ms: f64,
    },
    /// A timer is due.
    Timer(u64),
    /// The operators take a backend out of service.
    Disable(EndpointId),
    /// They put it back.
    Enable(EndpointId),
    /// What the process before this one knew.
    Inherit(Vec<EndpointSnapshot>),
    /// Another process of this node serves beside this one from now on.
    Beside,
    /// Another node's message.
    Message(u32, Vec<u8>),
}

struct OpenRequest {
    responder: Option<Responder>,
    call: Rc<ProxiedRequest>,
    /// What calls each attempt off; none where it is over.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    /// The same attempts, as far as the rules on sending go by them.
    attempted: Vec<AttemptRecord>,
    class: usize,
    arrived_ms: f64,
    deadline_ms: f64,
    trace: Trace,
}

impl OpenRequest {
    fn over(&self) -> bool {
        self.responder.is_none() && self.attempts.iter().all(Option::is_none)
    }

    fn facts(&self) -> RequestFacts<'_> {
        RequestFacts {
            class: self.class,
            waits: self.responder.is_some(),
            deadline_ms: self.deadline_ms,
            attempts: &self.attempted,
        }
    }

    /// The last byte of its body has come: its times count from here.
    fn shift(&mut self, now_ms: f64) {
        let late = now_ms - self.arrived_ms;
        self.arrived_ms = now_ms;
        self.deadline_ms += late;
        self.attempted.iter_mut().for_each(|attempt| attempt.sent_ms += late);
    }
}

struct KnownEndpoint {
    address: SocketAddr,
    up: bool,
    zone: u16,
    cell: u32,
    /// When it last started: as the list states it, by which a further start is told, and on the decisions' clock.
    boot_ms: f64,
    started_at_ms: f64,
}

impl KnownEndpoint {
    fn new(address: SocketAddr, boot_ms: f64, entry: &EndpointUpdate) -> KnownEndpoint {
        let EndpointUpdate { zone, cell, state, started_at_ms, .. } = *entry;
        KnownEndpoint { address, up: state == EndpointState::Active, zone, cell, boot_ms, started_at_ms }
    }

    /// When it started anew, by what the list now states. That is after its last start: where the clocks say otherwise
    /// they cannot be relied on, and it is as cold as can be.
    fn restarted_at(&self, boot_ms: f64, clock: &Clock) -> f64 {
        let at_ms = clock.of_wall(boot_ms);
        if at_ms > self.started_at_ms { at_ms } else { clock.now_ms() }
    }
}

struct Core {
    balancer: Balancer,
    guard: InvariantGuard,
    counters: Rc<Counters>,
    open: HashMap<RequestId, OpenRequest>,
    endpoints: HashMap<EndpointId, KnownEndpoint>,
    /// All that the list names: up or draining.
    listed: HashSet<EndpointId>,
}

/// Events in, actions out.
pub struct Driver {
    core: RefCell<Core>,
    inbox: RefCell<VecDeque<DriverEvent>>,
    /// The clock of all events.
    pub clock: Clock,
    /// What was done, by reason.
    pub counters: Rc<Counters>,
    upstream: Rc<Upstream>,
    peers: Option<Rc<PeerSocket>>,
    watch: mpsc::UnboundedSender<bool>,
    next: Cell<u64>,
    /// The list is not only the one that the process was given: that may be long out of date.
    current: Cell<bool>,
}

impl Driver {
    /// A driver that has heard nothing yet; the decisions' wish to watch the list goes out on `watch`.
    pub fn new(
        balancer: Balancer,
        guard: InvariantGuard,
        upstream: Rc<Upstream>,
        peers: Option<Rc<PeerSocket>>,
        watch: mpsc::UnboundedSender<bool>,
    ) -> Rc<Driver> {
        let counters = Rc::new(Counters::default());
        Rc::new(Driver {
            core: RefCell::new(Core {
                balancer,
                guard,
                counters: counters.clone(),
                open: HashMap::new(),
                endpoints: HashMap::new(),
                listed: HashSet::new(),
            }),
            inbox: RefCell::default(),
            clock: Clock::new(),
            counters,
            upstream,
            peers,
            watch,
            next: Cell::new(0),
            current: Cell::new(false),
        })
    }

    /// Takes in a request and hands out the ticket for its answer. `deadline` is when the decisions must
    /// have ended it, `expires` when this node does so without them.
    pub fn submit(
        self: &Rc<Self>,
        mut request: Request,
        call: ProxiedRequest,
        deadline: Instant,
        expires: Instant,
    ) -> PendingResponse {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(deadline);
        let (responder, answer) = oneshot::channel();
        let (call, begun) = (Rc::new(call), Instant::now());
        self.take(DriverEvent::Arrived(request, call.clone(), Responder(responder)));
        PendingResponse { driver: self.clone(), id, call, answer, begun, expires, expired: false }
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.core.borrow().open.len()
    }

    /// Fails all that is pending, for a node that has no more time.
    pub fn end_all(self: &Rc<Self>) {
        let waits = |open: &OpenRequest| open.responder.is_some();
        let core = self.core.borrow();
        let ids: Vec<RequestId> = core.open.iter().filter(|(_, o)| waits(o)).map(|(id, _)| *id).collect();
        drop(core);
        for id in ids {
            self.take(DriverEvent::Left(id, RequestEnding::Stopped));
        }
    }

    /// Counts requests that the end of the process leaves without an answer.
    pub fn check_end(&self) {
        for open in self.core.borrow().open.values().filter(|open| open.responder.is_some()) {
            self.counters.violation(Violation::EndUnanswered, open.trace.id());
        }
    }

    /// A request could be served, by a list that is not out of date.
    pub fn ready(&self) -> bool {
        let core = self.core.borrow();
        self.current.get() && core.endpoints.keys().any(|id| core.routable(*id))
    }

    /// From now on the list is gone by: discovery has told it, or does not answer. True the first time.
    pub fn trust_list(&self) -> bool {
        !self.current.replace(true)
    }

    /// The backend of that name; none for one that neither the list nor an earlier call has named.
    pub fn endpoint(&self, uid: &str) -> Option<EndpointId> {
        let id = EndpointId(stable_hash(uid));
        let core = self.core.borrow();
        let disabled = core.balancer.disabled().any(|b| b == id);
        (disabled || core.listed.contains(&id)).then_some(id)
    }

    /// Takes a backend out of service or puts it back. True if that changed anything.
    pub fn set_disabled(self: &Rc<Self>, id: EndpointId, disable: bool) -> bool {
        let was_disabled = self.disabled().contains(&id);
        self.take(if disable { DriverEvent::Disable(id) } else { DriverEvent::Enable(id) });
        was_disabled != disable
    }

    /// Who is out of service.
    pub fn disabled(&self) -> BTreeSet<EndpointId> {
        self.core.borrow().balancer.disabled().collect()
    }

    /// What the next process has to know.
    pub fn memory(&self) -> Vec<EndpointSnapshot> {
        self.core.borrow().balancer.snapshot(self.clock.now_ms())
    }

    /// The one way in. What comes up while an event is handled waits for its end.
    pub fn take(self: &Rc<Self>, input: DriverEvent) {
        self.inbox.borrow_mut().push_back(input);
        let Ok(mut core) = self.core.try_borrow_mut() else { return };
        let mut actions = Vec::new();
        loop {
            let next = self.inbox.borrow_mut().pop_front();
            let Some(input) = next else { return };
            let Some(event) = core.event(input, &self.upstream, &self.clock) else { continue };
            let now_ms = self.clock.now_ms();
            core.balancer.handle(now_ms, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut core, now_ms, action);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, now_ms: f64, action: Action) {
        match action {
            Action::SendAttempt { id, endpoint, timeout_ms, begin_within_ms } => {
                let decided = Decided { id, endpoint, timeout_ms, begin_within_ms };
                self.send(core, now_ms, decided);
            }
            Action::CancelAttempt { id, attempt } => {
                let off = core.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                // Dropping the handle is the call: the attempt closes its connection and reports.
                drop(off.and_then(|a| a.as_mut()).map(|a| std::mem::replace(a, oneshot::channel().0)));
            }
            Action::Reject { id, retry_after_ms, reason } => core.refuse(id, retry_after_ms, reason),
            Action::Fail { id, reason } => core.respond(id, Answer::Failed, RequestEnding::Failed(reason)),
            Action::Timer { token, at_ms } => {
                let driver = self.clone();
                let due = self.clock.instant(at_ms);
                spawn_local(async move {
                    tokio::time::sleep_until(due.into()).await;
                    driver.take(DriverEvent::Timer(token));
                });
            }
            Action::CloseIdleConnections(endpoint) => self.upstream.release(endpoint),
            Action::SendPeerMessage { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            // Discovery may have ended with the node.
            Action::SetWatch(on) => drop(self.watch.send(on)),
            Action::Log(event) => log::line(&event.to_string()),
        }
    }

    /// The one place in which an attempt begins.
    fn send(self: &Rc<Self>, core: &mut Core, now_ms: f64, decided: Decided) {
        let Decided { id, endpoint, timeout_ms, begin_within_ms } = decided;
        let place = core.place(endpoint);
        let Some(open) = core.open.get_mut(&id) else { return };
        let number = u32::try_from(open.attempts.len()).unwrap_or(u32::MAX);
        let (off, mut called_off) = oneshot::channel::<()>();
        let mut report = Report {
            driver: self.clone(),
            id,
            attempt: number,
            endpoint,
            begun: Instant::now(),
            finish: Some(AttemptOutcome::ConnectionReset.into()),
        };
        let allowed = core.guard.may_send(now_ms, &open.facts(), &place);
        open.attempts.push(Some(off));
        open.attempted.push(AttemptRecord {
            zone: place.zone,
            cell: place.cell,
            sent_ms: now_ms,
            outcome: None,
        });
        open.trace.sent(number, endpoint);
        // What does not begin is reported as not sent.
        report.finish = Some(AttemptOutcome::NotSent.into());
        if let Err(violation) = allowed {
            return core.counters.violation(violation, open.trace.id());
        }
        if !open.call.sendable() {
            open.trace.withheld(WithheldReason::BodySpent);
            return core.counters.count(CounterKind::WithheldReason, WithheldReason::BodySpent.name());
        }
        let Some(known) = core.endpoints.get(&endpoint) else { return };
        report.finish = Some(AttemptOutcome::ConnectionReset.into());
        let begun = report.begun;
        let after = |ms: f64| begun + Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0);
        let (until, begin_by) = (after(timeout_ms), after(begin_within_ms));
        let (address, call) = (known.address, open.call.clone());
        let attempt = Attempt { endpoint, address, call, until, begin_by, begun };
        let driver = self.clone();
        spawn_local(async move {
            let wanted = || driver.still_wanted(id, &attempt);
            let mut sent = pin!(driver.upstream.attempt(&attempt, wanted));
            let whole = async {
                if let Some(at) = attempt.call.whole().await {
                    driver.take(DriverEvent::Whole(id));
                    return at;
                }
                std::future::pending().await
            };
            let mut whole = pin!(whole);
            let end = loop {
                tokio::select! {
                    biased;
                    _ = &mut called_off => break AttemptEnd::Over(AttemptOutcome::Cancelled.into(), None),
                    at = &mut whole, if report.begun == attempt.begun => report.begun = at,
                    end = &mut sent => break end,
                }
            };
            let (finish, conn) = match end {
                AttemptEnd::Over(finish, conn) => (finish, conn),
                AttemptEnd::Begun(finish, ended) => {
                    let elapsed_ms = report.begun.elapsed().as_secs_f64() * 1000.0;
                    driver.take(DriverEvent::Begun { id, attempt: number, endpoint, finish, elapsed_ms });
                    let (outcome, conn) = ended.await.unwrap_or((AttemptOutcome::Cancelled, None));
                    if !matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
                        log::line(&format!(
                            "{:016x} broke off an answer that had begun: {outcome:?}",
                            endpoint.0
                        ));
                    }
                    (outcome.into(), conn)
                }
            };
            report.finish = Some(finish);
            drop(report);
            driver.keep(attempt.endpoint, attempt.address, conn);
        });
    }

    /// Keeps a connection unless its backend has drained, gone or moved meanwhile.
    fn keep(&self, endpoint: EndpointId, address: SocketAddr, conn: Option<UpstreamConnection>) {
        let core = self.core.borrow();
        let same =
            core.routable(endpoint) && core.endpoints.get(&endpoint).is_some_and(|p| p.address == address);
        if let Some(conn) = conn.filter(|_| same) {
            self.upstream.keep(endpoint, conn);
        }
    }

    /// Looks once more as the first byte of an attempt is about to go out: its connection took time.
    fn still_wanted(&self, id: RequestId, attempt: &Attempt) -> Result<(), WithheldReason> {
        let mut core = self.core.borrow_mut();
        let in_service = core.routable(attempt.endpoint);
        let Some(open) = core.open.get_mut(&id) else { return Err(WithheldReason::RequestOver) };
        let wanted = match &open.responder {
            None => Err(WithheldReason::RequestOver),
            Some(_) if !in_service => Err(WithheldReason::ServerWithdrawn),
            Some(_) if Instant::now() >= attempt.begin_by => Err(WithheldReason::RepeatTooLate),
            Some(_) => Ok(()),
        };
        if let Err(why) = wanted {
            open.trace.withheld(why);
            core.counters.count(CounterKind::WithheldReason, why.name());
        }
        wanted
    }
}

/// An attempt as the decisions want it.
struct Decided {
    id: RequestId,
    endpoint: EndpointId,
    timeout_ms: f64,
    begin_within_ms: f64,
}

/// Reports the end of an attempt once, by being dropped: also when its task ends in a way nobody foresaw,
/// which may have run.
struct Report {
    driver: Rc<Driver>,
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    begun: Instant,
    finish: Option<AttemptResult>,
}

impl Drop for Report {
    fn drop(&mut self) {
        let finish = self.finish.take().unwrap_or_else(|| AttemptOutcome::ConnectionReset.into());
        let (id, attempt, endpoint) = (self.id, self.attempt, self.endpoint);
        let elapsed_ms = self.begun.elapsed().as_secs_f64() * 1000.0;
        self.driver.take(DriverEvent::Ended { id, attempt, endpoint, finish, elapsed_ms });
    }
}

impl Core {
    /// May be sent to at this moment.
    fn routable(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|p| p.up) && self.balancer.is_in_service(endpoint)
    }

    /// Where an attempt at a backend would go.
    fn place(&self, endpoint: EndpointId) -> AttemptTarget {
        let (zone, cell) = self.endpoints.get(&endpoint).map_or((0, 0), |e| (e.zone, e.cell));
        AttemptTarget { in_service: self.routable(endpoint), zone, cell }
    }

    /// Notes what happened and says it in the decisions' words; none where they need not hear of it.
    fn event(&mut self, input: DriverEvent, upstream: &Upstream, clock: &Clock) -> Option<Event> {
        Some(match input {
            DriverEvent::Start => Event::Start,
            DriverEvent::List(kind, targets) => {
                let entries = self.list(kind, targets, upstream, clock);
                Event::EndpointsChanged { update: kind, endpoints: entries }
            }
            DriverEvent::Arrived(request, call, responder) => {
                let trace = Trace::new(call.headers.get(TRACE_ID).cloned());
                let open = OpenRequest {
                    responder: Some(responder),
                    call,
                    attempts: Vec::new(),
                    attempted: Vec::new(),
                    class: request.class,
                    arrived_ms: clock.now_ms(),
                    deadline_ms: request.deadline_ms,
                    trace,
                };
                self.open.insert(request.id, open);
                Event::Request(request)
            }
            DriverEvent::Left(id, ending) => {
                // After the answer this changes nothing.
                self.open.get(&id)?.responder.as_ref()?;
                self.respond(id, Answer::Failed, ending);
                Event::ClientDisconnected(id)
            }
            DriverEvent::Whole(id) => {
                self.open.get_mut(&id)?.shift(clock.now_ms());
                Event::RequestBodyComplete(id)
            }
            DriverEvent::Begun { id, attempt, endpoint, finish, elapsed_ms } => {
                let reply = finish.reply?;
                self.open.get(&id)?.responder.as_ref()?;
                self.respond(id, Answer::Served(reply), RequestEnding::Served);
                Event::ResponseStarted { id, attempt, endpoint, elapsed_ms }
            }
            DriverEvent::Ended { id, attempt, endpoint, finish, elapsed_ms } => {
                let open = self.open.get_mut(&id)?;
                open.attempts.get_mut(attempt as usize)?.take()?;
                let (outcome, load) = (finish.outcome, finish.load);
                open.trace.ended(attempt, outcome);
                if let Some(attempted) = open.attempted.get_mut(attempt as usize) {
                    attempted.outcome = Some(outcome);
                }
                self.counters.count(CounterKind::Attempt, outcome_name(outcome));
                let answered = finish.reply.filter(|_| open.responder.is_some());
                let last = open.responder.is_none() || answered.is_some();
                match answered {
                    Some(reply) => self.respond(id, Answer::Served(reply), RequestEnding::Served),
                    None => self.close_if_over(id),
                }
                Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    request_finished: last,
                    elapsed_ms,
                    load,
                }
            }
            DriverEvent::Timer(token) => Event::Timer(token),
            DriverEvent::Disable(id) => Event::Disable(id),
            DriverEvent::Enable(id) => Event::Enable(id),
            DriverEvent::Inherit(memory) => Event::SnapshotRestored(memory),
            DriverEvent::Beside => Event::HandoverStarted,
            DriverEvent::Message(from, bytes) => Event::PeerMessage { from, bytes },
        })
    }

    /// The one place in which a request gets its final answer.
    fn respond(&mut self, id: RequestId, answer: Answer, ending: RequestEnding) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(responder) = open.responder.take() {
            responder.respond(answer);
            open.trace.answered(ending);
            self.counters.count(CounterKind::Answer, ending.name());
            if let RequestEnding::Refused(reason) | RequestEnding::Failed(reason) = ending {
                self.counters.count(CounterKind::AdminError, reason.name());
            }
        }
        self.close_if_over(id);
    }

    /// The one place that refuses: a refusal that may do harm becomes a failure.
    fn refuse(&mut self, id: RequestId, retry_after_ms: f64, reason: RejectionReason) {
        let Some(open) = self.open.get(&id) else { return };
        match self.guard.may_refuse(&open.facts()) {
            Ok(()) => self.respond(id, Answer::Refused { retry_after_ms }, RequestEnding::Refused(reason)),
            Err(violation) => {
                self.counters.violation(violation, open.trace.id());
                self.respond(id, Answer::Failed, RequestEnding::Failed(reason));
            }
        }
    }

    /// Lets go of a request that is answered and has nothing out, and says what it met.
    fn close_if_over(&mut self, id: RequestId) {
        if !self.open.get(&id).is_some_and(OpenRequest::over) {
            return;
        }
        if let Some(open) = self.open.remove(&id)
            && (log::all_requests() || !open.trace.went_well())
        {
            log::request(|| open.trace.to_string());
        }
    }

    /// Takes in a list, and says it in the decisions' words.
    fn list(
        &mut self,
        kind: WatchUpdate,
        targets: Vec<DiscoveredEndpoint>,
        upstream: &Upstream,
        clock: &Clock,
    ) -> Vec<EndpointUpdate> {
        let mut entries = Vec::with_capacity(targets.len());
        if matches!(kind, WatchUpdate::Snapshot | WatchUpdate::CachedSnapshot) {
            // Whoever the whole list leaves out is gone.
            for endpoint in self.endpoints.values_mut() {
                endpoint.up = false;
            }
            self.listed.clear();
        }
        for DiscoveredEndpoint { mut entry, boot_ms, address } in targets {
            let known = self.endpoints.get(&entry.endpoint);
            let restarted = boot_ms > 0.0 && known.is_none_or(|known| known.boot_ms != boot_ms);
            entry.started_at_ms = match known {
                Some(known) if restarted => known.restarted_at(boot_ms, clock),
                Some(known) => known.started_at_ms,
                None if restarted => clock.of_wall(boot_ms),
                None => 0.0,
            };
            entries.push(entry);
            if entry.state == EndpointState::Removed {
                self.listed.remove(&entry.endpoint);
            } else {
                self.listed.insert(entry.endpoint);
            }
            match (self.endpoints.get_mut(&entry.endpoint), address) {
                (Some(endpoint), address) => {
                    let address = address.unwrap_or(endpoint.address);
                    if address != endpoint.address || restarted {
                        // What was connected to the old process or endpoint is of no use.
                        upstream.release(entry.endpoint);
                    }
                    *endpoint = KnownEndpoint::new(address, boot_ms, &entry);
                }
                (None, Some(address)) => {
                    let endpoint = KnownEndpoint::new(address, boot_ms, &entry);
                    self.endpoints.insert(entry.endpoint, endpoint);
                }
                (None, None) => {}
            }
        }
        self.endpoints.retain(|id, endpoint| {
            if !endpoint.up {
                upstream.release(*id);
            }
            endpoint.up
        });
        entries
    }
}
