//! The only owner of the balancer: events in, actions out, one at a time and at once.
//!
//! It keeps what the decisions do not: where backends are, the timers, and which requests and attempts are
//! open. It decides nothing itself.

use crate::clock::Clock;
use crate::counters::{Counters, Kind, Violation};
use crate::guard::{Attempted, Facts, Guard, Place};
use crate::log;
use crate::peers::Peers;
use crate::trace::{Ending, Trace, Withheld};
use crate::upstream::{Attempt, Call, Conn, End, Finish, Reply, Upstream};
use birchspoke::Balancer;
use birchspoke::interface::{
    Action, BackendId, Entry, Event, Health, ListKind, Memory, Outcome, Reason, Request, RequestId,
};
use birchspoke::wire::stable_hash;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// The header with the id of a request.
const TRACE_ID: &str = "x-trace-id";

/// As counters name it.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Done => "done",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed-out",
        Outcome::NotConnected => "not-connected",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Skipped => "skipped",
    }
}

/// A request's final answer.
pub enum Answer {
    /// A backend's.
    Served(Reply),
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
pub struct Ticket {
    driver: Rc<Driver>,
    id: RequestId,
    call: Rc<Call>,
    answer: oneshot::Receiver<Answer>,
    begun: Instant,
    expires: Instant,
    /// Its time was over before it was answered.
    expired: bool,
}

impl Ticket {
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

impl Drop for Ticket {
    fn drop(&mut self) {
        let ending = if self.expired { Ending::Expired } else { Ending::Left };
        self.driver.take(Input::Left(self.id, ending));
    }
}

/// One line of discovery's list.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// What the decisions need, but for the time of its start.
    pub entry: Entry,
    /// When it last started, by the wall clock in milliseconds since 1970; 0 for long ago.
    pub boot_ms: f64,
    /// Where it listens; one that was removed need not say.
    pub address: Option<SocketAddr>,
}

/// All that can happen to a node.
pub enum Input {
    /// The node is up.
    Start,
    /// News of the list.
    List(ListKind, Vec<Target>),
    /// A client's request.
    Arrived(Request, Rc<Call>, Responder),
    /// The client is gone, or needs nothing any more, for this reason if it has no answer yet.
    Left(RequestId, Ending),
    /// The last byte of a request's body has come and gone on.
    Whole(RequestId),
    /// A long answer has begun.
    Begun {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// At which backend.
        backend: BackendId,
        /// What has come.
        finish: Finish,
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
        backend: BackendId,
        /// How.
        finish: Finish,
        /// Time since the send.
        elapsed_ms: f64,
    },
    /// A timer is due.
    Timer(u64),
    /// The operators take a backend out of service.
    Disable(BackendId),
    /// They put it back.
    Enable(BackendId),
    /// What the process before this one knew.
    Inherit(Vec<Memory>),
    /// Another process of this node serves beside this one from now on.
    Beside,
    /// Another node's message.
    Message(u32, Vec<u8>),
}

struct Open {
    responder: Option<Responder>,
    call: Rc<Call>,
    /// What calls each attempt off; none where it is over.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    /// The same attempts, as far as the rules on sending go by them.
    attempted: Vec<Attempted>,
    class: usize,
    arrived_ms: f64,
    deadline_ms: f64,
    trace: Trace,
}

impl Open {
    fn over(&self) -> bool {
        self.responder.is_none() && self.attempts.iter().all(Option::is_none)
    }

    fn facts(&self) -> Facts<'_> {
        Facts {
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

struct Endpoint {
    address: SocketAddr,
    up: bool,
    zone: u16,
    cell: u32,
    /// When it last started: as the list states it, by which a further start is told, and on the decisions' clock.
    boot_ms: f64,
    ready_at_ms: f64,
}

impl Endpoint {
    fn new(address: SocketAddr, boot_ms: f64, entry: &Entry) -> Endpoint {
        let Entry { zone, cell, health, ready_at_ms, .. } = *entry;
        Endpoint { address, up: health == Health::Up, zone, cell, boot_ms, ready_at_ms }
    }

    /// When it started anew, by what the list now states. That is after its last start: where the clocks say otherwise
    /// they cannot be relied on, and it is as cold as can be.
    fn restarted_at(&self, boot_ms: f64, clock: &Clock) -> f64 {
        let at_ms = clock.of_wall(boot_ms);
        if at_ms > self.ready_at_ms { at_ms } else { clock.now_ms() }
    }
}

struct Core {
    balancer: Balancer,
    guard: Guard,
    counters: Rc<Counters>,
    open: HashMap<RequestId, Open>,
    endpoints: HashMap<BackendId, Endpoint>,
    /// All that the list names: up or draining.
    listed: HashSet<BackendId>,
}

/// Events in, actions out.
pub struct Driver {
    core: RefCell<Core>,
    inbox: RefCell<VecDeque<Input>>,
    /// The clock of all events.
    pub clock: Clock,
    /// What was done, by reason.
    pub counters: Rc<Counters>,
    upstream: Rc<Upstream>,
    peers: Option<Rc<Peers>>,
    watch: mpsc::UnboundedSender<bool>,
    next: Cell<u64>,
    /// The list is not only the one that the process was given: that may be long out of date.
    current: Cell<bool>,
}

impl Driver {
    /// A driver that has heard nothing yet; the decisions' wish to watch the list goes out on `watch`.
    pub fn new(
        balancer: Balancer,
        guard: Guard,
        upstream: Rc<Upstream>,
        peers: Option<Rc<Peers>>,
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
        call: Call,
        deadline: Instant,
        expires: Instant,
    ) -> Ticket {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(deadline);
        let (responder, answer) = oneshot::channel();
        let (call, begun) = (Rc::new(call), Instant::now());
        self.take(Input::Arrived(request, call.clone(), Responder(responder)));
        Ticket { driver: self.clone(), id, call, answer, begun, expires, expired: false }
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.core.borrow().open.len()
    }

    /// Fails all that is pending, for a node that has no more time.
    pub fn end_all(self: &Rc<Self>) {
        let waits = |open: &Open| open.responder.is_some();
        let core = self.core.borrow();
        let ids: Vec<RequestId> = core.open.iter().filter(|(_, o)| waits(o)).map(|(id, _)| *id).collect();
        drop(core);
        for id in ids {
            self.take(Input::Left(id, Ending::Stopped));
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
    pub fn backend(&self, uid: &str) -> Option<BackendId> {
        let id = BackendId(stable_hash(uid));
        let core = self.core.borrow();
        let disabled = core.balancer.disabled().any(|b| b == id);
        (disabled || core.listed.contains(&id)).then_some(id)
    }

    /// Takes a backend out of service or puts it back. True if that changed anything.
    pub fn set_disabled(self: &Rc<Self>, id: BackendId, disable: bool) -> bool {
        let was_disabled = self.disabled().contains(&id);
        self.take(if disable { Input::Disable(id) } else { Input::Enable(id) });
        was_disabled != disable
    }

    /// Who is out of service.
    pub fn disabled(&self) -> BTreeSet<BackendId> {
        self.core.borrow().balancer.disabled().collect()
    }

    /// What the next process has to know.
    pub fn memory(&self) -> Vec<Memory> {
        self.core.borrow().balancer.memory(self.clock.now_ms())
    }

    /// The one way in. What comes up while an event is handled waits for its end.
    pub fn take(self: &Rc<Self>, input: Input) {
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
            Action::Send { id, backend, timeout_ms, begin_within_ms } => {
                let decided = Decided { id, backend, timeout_ms, begin_within_ms };
                self.send(core, now_ms, decided);
            }
            Action::Cancel { id, attempt } => {
                let off = core.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                // Dropping the handle is the call: the attempt closes its connection and reports.
                drop(off.and_then(|a| a.as_mut()).map(|a| std::mem::replace(a, oneshot::channel().0)));
            }
            Action::Refuse { id, retry_after_ms, reason } => core.refuse(id, retry_after_ms, reason),
            Action::Fail { id, reason } => core.respond(id, Answer::Failed, Ending::Failed(reason)),
            Action::Timer { token, at_ms } => {
                let driver = self.clone();
                let due = self.clock.instant(at_ms);
                spawn_local(async move {
                    tokio::time::sleep_until(due.into()).await;
                    driver.take(Input::Timer(token));
                });
            }
            Action::Release(backend) => self.upstream.release(backend),
            Action::Tell { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            // Discovery may have ended with the node.
            Action::Watch(on) => drop(self.watch.send(on)),
            Action::Log(text) => log::line(&text),
        }
    }

    /// The one place in which an attempt begins.
    fn send(self: &Rc<Self>, core: &mut Core, now_ms: f64, decided: Decided) {
        let Decided { id, backend, timeout_ms, begin_within_ms } = decided;
        let place = core.place(backend);
        let Some(open) = core.open.get_mut(&id) else { return };
        let number = u32::try_from(open.attempts.len()).unwrap_or(u32::MAX);
        let (off, mut called_off) = oneshot::channel::<()>();
        let mut report = Report {
            driver: self.clone(),
            id,
            attempt: number,
            backend,
            begun: Instant::now(),
            finish: Some(Outcome::Reset.into()),
        };
        let allowed = core.guard.may_send(now_ms, &open.facts(), &place);
        open.attempts.push(Some(off));
        open.attempted.push(Attempted {
            zone: place.zone,
            cell: place.cell,
            sent_ms: now_ms,
            outcome: None,
        });
        open.trace.sent(number, backend);
        // What does not begin is reported as not sent.
        report.finish = Some(Outcome::Skipped.into());
        if let Err(violation) = allowed {
            return core.counters.violation(violation, open.trace.id());
        }
        if !open.call.sendable() {
            open.trace.withheld(Withheld::BodySpent);
            return core.counters.count(Kind::Withheld, Withheld::BodySpent.name());
        }
        let Some(endpoint) = core.endpoints.get(&backend) else { return };
        report.finish = Some(Outcome::Reset.into());
        let begun = report.begun;
        let after = |ms: f64| begun + Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0);
        let (until, begin_by) = (after(timeout_ms), after(begin_within_ms));
        let (address, call) = (endpoint.address, open.call.clone());
        let attempt = Attempt { backend, address, call, until, begin_by, begun };
        let driver = self.clone();
        spawn_local(async move {
            let wanted = || driver.still_wanted(id, &attempt);
            let mut sent = pin!(driver.upstream.attempt(&attempt, wanted));
            let whole = async {
                if let Some(at) = attempt.call.whole().await {
                    driver.take(Input::Whole(id));
                    return at;
                }
                std::future::pending().await
            };
            let mut whole = pin!(whole);
            let end = loop {
                tokio::select! {
                    biased;
                    _ = &mut called_off => break End::Over(Outcome::Cancelled.into(), None),
                    at = &mut whole, if report.begun == attempt.begun => report.begun = at,
                    end = &mut sent => break end,
                }
            };
            let (finish, conn) = match end {
                End::Over(finish, conn) => (finish, conn),
                End::Begun(finish, ended) => {
                    let elapsed_ms = report.begun.elapsed().as_secs_f64() * 1000.0;
                    driver.take(Input::Begun { id, attempt: number, backend, finish, elapsed_ms });
                    let (outcome, conn) = ended.await.unwrap_or((Outcome::Cancelled, None));
                    if !matches!(outcome, Outcome::Done | Outcome::Cancelled) {
                        log::line(&format!(
                            "{:016x} broke off an answer that had begun: {outcome:?}",
                            backend.0
                        ));
                    }
                    (outcome.into(), conn)
                }
            };
            report.finish = Some(finish);
            drop(report);
            driver.keep(attempt.backend, attempt.address, conn);
        });
    }

    /// Keeps a connection unless its backend has drained, gone or moved meanwhile.
    fn keep(&self, backend: BackendId, address: SocketAddr, conn: Option<Conn>) {
        let core = self.core.borrow();
        let same =
            core.routable(backend) && core.endpoints.get(&backend).is_some_and(|p| p.address == address);
        if let Some(conn) = conn.filter(|_| same) {
            self.upstream.keep(backend, conn);
        }
    }

    /// Looks once more as the first byte of an attempt is about to go out: its connection took time.
    fn still_wanted(&self, id: RequestId, attempt: &Attempt) -> Result<(), Withheld> {
        let mut core = self.core.borrow_mut();
        let in_service = core.routable(attempt.backend);
        let Some(open) = core.open.get_mut(&id) else { return Err(Withheld::RequestOver) };
        let wanted = match &open.responder {
            None => Err(Withheld::RequestOver),
            Some(_) if !in_service => Err(Withheld::ServerWithdrawn),
            Some(_) if Instant::now() >= attempt.begin_by => Err(Withheld::RepeatTooLate),
            Some(_) => Ok(()),
        };
        if let Err(why) = wanted {
            open.trace.withheld(why);
            core.counters.count(Kind::Withheld, why.name());
        }
        wanted
    }
}

/// An attempt as the decisions want it.
struct Decided {
    id: RequestId,
    backend: BackendId,
    timeout_ms: f64,
    begin_within_ms: f64,
}

/// Reports the end of an attempt once, by being dropped: also when its task ends in a way nobody foresaw,
/// which may have run.
struct Report {
    driver: Rc<Driver>,
    id: RequestId,
    attempt: u32,
    backend: BackendId,
    begun: Instant,
    finish: Option<Finish>,
}

impl Drop for Report {
    fn drop(&mut self) {
        let finish = self.finish.take().unwrap_or_else(|| Outcome::Reset.into());
        let (id, attempt, backend) = (self.id, self.attempt, self.backend);
        let elapsed_ms = self.begun.elapsed().as_secs_f64() * 1000.0;
        self.driver.take(Input::Ended { id, attempt, backend, finish, elapsed_ms });
    }
}

impl Core {
    /// May be sent to at this moment.
    fn routable(&self, backend: BackendId) -> bool {
        self.endpoints.get(&backend).is_some_and(|p| p.up) && self.balancer.in_service(backend)
    }

    /// Where an attempt at a backend would go.
    fn place(&self, backend: BackendId) -> Place {
        let (zone, cell) = self.endpoints.get(&backend).map_or((0, 0), |e| (e.zone, e.cell));
        Place { in_service: self.routable(backend), zone, cell }
    }

    /// Notes what happened and says it in the decisions' words; none where they need not hear of it.
    fn event(&mut self, input: Input, upstream: &Upstream, clock: &Clock) -> Option<Event> {
        Some(match input {
            Input::Start => Event::Start,
            Input::List(kind, targets) => {
                let entries = self.list(kind, targets, upstream, clock);
                Event::List { kind, entries }
            }
            Input::Arrived(request, call, responder) => {
                let trace = Trace::new(call.headers.get(TRACE_ID).cloned());
                let open = Open {
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
            Input::Left(id, ending) => {
                // After the answer this changes nothing.
                self.open.get(&id)?.responder.as_ref()?;
                self.respond(id, Answer::Failed, ending);
                Event::Left(id)
            }
            Input::Whole(id) => {
                self.open.get_mut(&id)?.shift(clock.now_ms());
                Event::Whole(id)
            }
            Input::Begun { id, attempt, backend, finish, elapsed_ms } => {
                let reply = finish.reply?;
                self.open.get(&id)?.responder.as_ref()?;
                self.respond(id, Answer::Served(reply), Ending::Served);
                Event::Started { id, attempt, backend, elapsed_ms }
            }
            Input::Ended { id, attempt, backend, finish, elapsed_ms } => {
                let open = self.open.get_mut(&id)?;
                open.attempts.get_mut(attempt as usize)?.take()?;
                let (outcome, load) = (finish.outcome, finish.load);
                open.trace.ended(attempt, outcome);
                if let Some(attempted) = open.attempted.get_mut(attempt as usize) {
                    attempted.outcome = Some(outcome);
                }
                self.counters.count(Kind::Attempt, outcome_name(outcome));
                let answered = finish.reply.filter(|_| open.responder.is_some());
                let last = open.responder.is_none() || answered.is_some();
                match answered {
                    Some(reply) => self.respond(id, Answer::Served(reply), Ending::Served),
                    None => self.close_if_over(id),
                }
                Event::Ended { id, attempt, backend, outcome, last, elapsed_ms, load }
            }
            Input::Timer(token) => Event::Timer(token),
            Input::Disable(id) => Event::Disable(id),
            Input::Enable(id) => Event::Enable(id),
            Input::Inherit(memory) => Event::Inherit(memory),
            Input::Beside => Event::Beside,
            Input::Message(from, bytes) => Event::Message { from, bytes },
        })
    }

    /// The one place in which a request gets its final answer.
    fn respond(&mut self, id: RequestId, answer: Answer, ending: Ending) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(responder) = open.responder.take() {
            responder.respond(answer);
            open.trace.answered(ending);
            self.counters.count(Kind::Answer, ending.name());
            if let Ending::Refused(reason) | Ending::Failed(reason) = ending {
                self.counters.count(Kind::Refusal, reason.name());
            }
        }
        self.close_if_over(id);
    }

    /// The one place that refuses: a refusal that may do harm becomes a failure.
    fn refuse(&mut self, id: RequestId, retry_after_ms: f64, reason: Reason) {
        let Some(open) = self.open.get(&id) else { return };
        match self.guard.may_refuse(&open.facts()) {
            Ok(()) => self.respond(id, Answer::Refused { retry_after_ms }, Ending::Refused(reason)),
            Err(violation) => {
                self.counters.violation(violation, open.trace.id());
                self.respond(id, Answer::Failed, Ending::Failed(reason));
            }
        }
    }

    /// Lets go of a request that is answered and has nothing out, and says what it met.
    fn close_if_over(&mut self, id: RequestId) {
        if !self.open.get(&id).is_some_and(Open::over) {
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
        kind: ListKind,
        targets: Vec<Target>,
        upstream: &Upstream,
        clock: &Clock,
    ) -> Vec<Entry> {
        let mut entries = Vec::with_capacity(targets.len());
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            // Whoever the whole list leaves out is gone.
            for endpoint in self.endpoints.values_mut() {
                endpoint.up = false;
            }
            self.listed.clear();
        }
        for Target { mut entry, boot_ms, address } in targets {
            let known = self.endpoints.get(&entry.backend);
            let restarted = boot_ms > 0.0 && known.is_none_or(|known| known.boot_ms != boot_ms);
            entry.ready_at_ms = match known {
                Some(known) if restarted => known.restarted_at(boot_ms, clock),
                Some(known) => known.ready_at_ms,
                None if restarted => clock.of_wall(boot_ms),
                None => 0.0,
            };
            entries.push(entry);
            if entry.health == Health::Gone {
                self.listed.remove(&entry.backend);
            } else {
                self.listed.insert(entry.backend);
            }
            match (self.endpoints.get_mut(&entry.backend), address) {
                (Some(endpoint), address) => {
                    let address = address.unwrap_or(endpoint.address);
                    if address != endpoint.address || restarted {
                        // What was connected to the old process or endpoint is of no use.
                        upstream.release(entry.backend);
                    }
                    *endpoint = Endpoint::new(address, boot_ms, &entry);
                }
                (None, Some(address)) => {
                    let endpoint = Endpoint::new(address, boot_ms, &entry);
                    self.endpoints.insert(entry.backend, endpoint);
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
