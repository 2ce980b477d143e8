//! The only owner of the balancer: events in, actions out, one at a time and at once.
//!
//! It keeps what the decisions do not: where backends are, the timers, and which requests and attempts are
//! open. It decides nothing itself.

use crate::clock::Clock;
use crate::log;
use crate::peers::Peers;
use crate::upstream::{Attempt, Call, Conn, End, Finish, Reply, Upstream};
use birchspoke::Balancer;
use birchspoke::interface::{
    Action, BackendId, Entry, Event, Health, ListKind, Memory, Outcome, Request, RequestId,
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
            () = expired => Answer::Failed,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.driver.take(Input::Left(self.id));
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
    /// The client is gone, or needs nothing any more.
    Left(RequestId),
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
}

impl Open {
    fn over(&self) -> bool {
        self.responder.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

struct Endpoint {
    address: SocketAddr,
    up: bool,
    /// When it last started: as the list states it, by which a further start is told, and on the decisions' clock.
    boot_ms: f64,
    ready_at_ms: f64,
}

impl Endpoint {
    /// When it started anew, by what the list now states. That is after its last start: where the clocks say otherwise
    /// they cannot be relied on, and it is as cold as can be.
    fn restarted_at(&self, boot_ms: f64, clock: &Clock) -> f64 {
        let at_ms = clock.of_wall(boot_ms);
        if at_ms > self.ready_at_ms { at_ms } else { clock.now_ms() }
    }
}

struct Core {
    balancer: Balancer,
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
        upstream: Rc<Upstream>,
        peers: Option<Rc<Peers>>,
        watch: mpsc::UnboundedSender<bool>,
    ) -> Rc<Driver> {
        Rc::new(Driver {
            core: RefCell::new(Core {
                balancer,
                open: HashMap::new(),
                endpoints: HashMap::new(),
                listed: HashSet::new(),
            }),
            inbox: RefCell::default(),
            clock: Clock::new(),
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
        Ticket { driver: self.clone(), id, call, answer, begun, expires }
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.core.borrow().open.len()
    }

    /// Fails all that is pending, for a node that has no more time.
    pub fn end_all(self: &Rc<Self>) {
        let ids: Vec<RequestId> = self.core.borrow().open.keys().copied().collect();
        for id in ids {
            self.take(Input::Left(id));
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
            core.balancer.handle(self.clock.now_ms(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut core, action);
            }
        }
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Send { id, backend, timeout_ms, begin_within_ms } => {
                self.send(core, id, backend, timeout_ms, begin_within_ms);
            }
            Action::Cancel { id, attempt } => {
                let off = core.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                // Dropping the handle is the call: the attempt closes its connection and reports.
                drop(off.and_then(|a| a.as_mut()).map(|a| std::mem::replace(a, oneshot::channel().0)));
            }
            Action::Refuse { id, retry_after_ms } => core.respond(id, Answer::Refused { retry_after_ms }),
            Action::Fail(id) => core.respond(id, Answer::Failed),
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

    fn send(
        self: &Rc<Self>,
        core: &mut Core,
        id: RequestId,
        backend: BackendId,
        timeout_ms: f64,
        begin_within_ms: f64,
    ) {
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
        open.attempts.push(Some(off));
        let endpoint = core.endpoints.get(&backend);
        let (Some(_), Some(endpoint), true) = (&open.responder, endpoint, open.call.sendable()) else {
            let outcome = if endpoint.is_some() { Outcome::Skipped } else { Outcome::NotConnected };
            report.finish = Some(outcome.into());
            return;
        };
        let begun = report.begun;
        let after = |ms: f64| begun + Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1000.0);
        let (until, begin_by) = (after(timeout_ms), after(begin_within_ms));
        let (address, call) = (endpoint.address, open.call.clone());
        let attempt = Attempt { backend, address, call, until, begin_by, begun };
        let driver = self.clone();
        spawn_local(async move {
            let wanted = || driver.routable(id, attempt.backend);
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

    fn routable(&self, id: RequestId, backend: BackendId) -> bool {
        let core = self.core.borrow();
        core.routable(backend) && core.open.get(&id).is_some_and(|o| o.responder.is_some())
    }
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

    /// Notes what happened and says it in the decisions' words; none where they need not hear of it.
    fn event(&mut self, input: Input, upstream: &Upstream, clock: &Clock) -> Option<Event> {
        Some(match input {
            Input::Start => Event::Start,
            Input::List(kind, targets) => {
                let entries = self.list(kind, targets, upstream, clock);
                Event::List { kind, entries }
            }
            Input::Arrived(request, call, responder) => {
                self.open
                    .insert(request.id, Open { responder: Some(responder), call, attempts: Vec::new() });
                Event::Request(request)
            }
            Input::Left(id) => {
                // After the answer this changes nothing.
                self.open.get(&id)?.responder.as_ref()?;
                self.respond(id, Answer::Failed);
                Event::Left(id)
            }
            Input::Whole(id) => Event::Whole(id),
            Input::Begun { id, attempt, backend, finish, elapsed_ms } => {
                let reply = finish.reply?;
                self.open.get_mut(&id)?.responder.take()?.respond(Answer::Served(reply));
                Event::Started { id, attempt, backend, elapsed_ms }
            }
            Input::Ended { id, attempt, backend, finish, elapsed_ms } => {
                let open = self.open.get_mut(&id)?;
                open.attempts.get_mut(attempt as usize)?.take()?;
                if let Some(reply) = finish.reply
                    && let Some(responder) = open.responder.take()
                {
                    responder.respond(Answer::Served(reply));
                }
                let (last, outcome, load) = (open.responder.is_none(), finish.outcome, finish.load);
                if open.over() {
                    self.open.remove(&id);
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

    fn respond(&mut self, id: RequestId, answer: Answer) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(responder) = open.responder.take() {
            responder.respond(answer);
        }
        if open.over() {
            self.open.remove(&id);
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
            let up = entry.health == Health::Up;
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
                    *endpoint = Endpoint { address, up, boot_ms, ready_at_ms: entry.ready_at_ms };
                }
                (None, Some(address)) => {
                    let endpoint = Endpoint { address, up, boot_ms, ready_at_ms: entry.ready_at_ms };
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
