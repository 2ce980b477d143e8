//! A small world around one balancer that checks the four rules at every action. It simulates no servers:
//! tests say what happens.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use wheelpath::policy::Balancer;
use wheelpath::policy::*;

/// Time past the client's deadline in which an answer still counts, as the users' bench has it.
const ANSWER_SLACK_MS: f64 = 20.0;

pub fn class(latency_objective_ms: f64, deadline_ms: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective_ms,
        deadline_ms,
        priority_weight: 1.0,
        late_weight_factor: 0.0,
        idempotency,
        deduplication_window_ms: 1000.0,
        objective_stretch: 0.0,
    }
}

/// Settings of no deployment.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(400.0, 1000.0, Idempotency::Idempotent),
            class(300.0, 800.0, Idempotency::NotIdempotent),
            class(300.0, 800.0, Idempotency::WithKey(DeduplicationScope::Zone)),
            class(300.0, 800.0, Idempotency::WithKey(DeduplicationScope::All)),
            class(300.0, 800.0, Idempotency::WithKey(DeduplicationScope::Cell)),
        ],
        objective_weights: ObjectiveWeights {
            whole: 0.5,
            worst_window: 0.2,
            worst_class: 0.2,
            worst_tenant: 0.1,
            nines: 0.0,
            full_at_nines: 3.0,
        },
        costs: Costs::default(),
        node_count: 4,
        node_index: 0,
        zone: None,
        weight_meaning: WeightMeaning::Nominal,
        load_reporting: LoadReporting::None,
        discovery: DiscoveryMode::Push,
        max_attempts: 3,
        cancellation_allowed: true,
        hedging_allowed: false,
        retry_after: true,
        max_retry_after_ms: 2000.0,
        probes_allowed: false,
        peer_messages_allowed: false,
        max_open_requests: 1000,
        max_streams: 1,
        idle_connection_timeout_ms: 15_000.0,
        connect_timeout_ms: 250.0,
        cpu_us_per_second: 0.0,
        over_quota_weight_factor: 0.1,
        clients_mark_retries: false,
        weigh_by_work: false,
        warm_keys: false,
        slow_start_ms: 20_000.0,
        slow_start_initial_capacity: 0.2,
        overload_multiple: 3.0,
        overload_window_ms: 1500.0,
        drain_grace_ms: 500.0,
        max_poll_interval_ms: 10_000.0,
        batch_interval_ms: 5.0,
    }
}

/// The operators' proof that an attempt never ran, written here again so that the module is not its own judge.
fn proven(outcome: Option<AttemptOutcome>) -> bool {
    matches!(
        outcome,
        Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent | AttemptOutcome::Rejected)
    )
}

#[derive(Debug)]
pub struct Sent {
    pub endpoint: EndpointId,
    pub at: f64,
    pub ends: f64,
    pub outcome: Option<AttemptOutcome>,
}

#[derive(Debug)]
pub struct Asked {
    pub request: Request,
    pub attempts: Vec<Sent>,
    /// "done", "refused", "failed" or "left".
    pub answer: Option<&'static str>,
    /// From when on its times count.
    pub whole_at: f64,
}

pub struct World {
    pub s: Settings,
    pub balancer: Balancer,
    pub now: f64,
    pub list: BTreeMap<EndpointId, EndpointUpdate>,
    pub asked: BTreeMap<RequestId, Asked>,
    pub timers: Vec<(f64, u64)>,
    pub logs: Vec<String>,
    pub watches: Vec<f64>,
    /// Last release of the idle connections to a backend.
    pub released: BTreeMap<EndpointId, f64>,
    /// Backends that are out of service by a call.
    pub out: BTreeSet<EndpointId>,
    pub trace: Vec<Action>,
    next: u64,
}

impl World {
    pub fn new(s: Settings, seed: u64) -> World {
        let balancer = Balancer::new(s.clone(), seed).expect("usable settings");
        let mut w = World {
            s,
            balancer,
            now: 1000.0,
            list: BTreeMap::new(),
            asked: BTreeMap::new(),
            timers: Vec::new(),
            logs: Vec::new(),
            watches: Vec::new(),
            released: BTreeMap::new(),
            out: BTreeSet::new(),
            trace: Vec::new(),
            next: 0,
        };
        w.feed(Event::Start);
        w
    }

    pub fn with_backends(s: Settings, seed: u64, count: u64) -> World {
        let mut w = World::new(s, seed);
        let endpoints = (1..=count).map(up).collect();
        w.list(WatchUpdate::Snapshot, endpoints);
        w
    }

    pub fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            self.check(action);
        }
        self.trace.extend(out);
    }

    /// The rules, action by action.
    fn check(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { id, endpoint, timeout_ms, begin_within_ms } => {
                self.check_send(*id, *endpoint, *begin_within_ms);
                self.record_send(*id, *endpoint, *timeout_ms);
            }
            Action::Reject { id, retry_after_ms, .. } => self.check_rejection(*id, *retry_after_ms),
            Action::Fail { id, .. } => self.answered(*id, "failed"),
            Action::CancelAttempt { id, attempt } => {
                assert!(self.s.cancellation_allowed, "cancelling is not allowed");
                assert!(self.asked[id].attempts.len() > *attempt as usize, "an attempt never made");
            }
            Action::Timer { token, at_ms } => self.timers.push((*at_ms, *token)),
            Action::CloseIdleConnections(endpoint) => {
                assert!(self.list.contains_key(endpoint), "released one that no list has named");
                self.released.insert(*endpoint, self.now);
            }
            Action::SendPeerMessage { .. } => {
                assert!(self.s.peer_messages_allowed, "messages are not allowed")
            }
            Action::Log(event) => self.logs.push(event.to_string()),
            Action::SetWatch(_) => self.watches.push(self.now),
        }
    }

    fn check_send(&self, id: RequestId, endpoint: EndpointId, begin_within_ms: f64) {
        let asked = self.asked.get(&id).expect("a known request");
        assert!(asked.answer.is_none(), "rule 1: sent after its end");
        assert!(asked.attempts.len() < self.s.max_attempts as usize, "more attempts than allowed");
        let entry = self.list.get(&endpoint).expect("an endpoint that the list has named");
        assert_eq!(entry.state, EndpointState::Active, "rule 3: sent to one that drains or is gone");
        assert!(!self.out.contains(&endpoint), "rule 3: sent to one that is out of service");
        let is_any_in_flight = asked.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(self.s.hedging_allowed || !is_any_in_flight, "rule 2: two attempts at once");
        if let Some(ran) = asked.attempts.iter().find(|attempt| !proven(attempt.outcome)) {
            let may_repeat = self.may_repeat(asked, ran, entry, begin_within_ms);
            assert!(may_repeat, "rule 2: sent again though it may have run");
        }
    }

    /// Whether a request may be sent to an endpoint, after an attempt that may have run.
    fn may_repeat(&self, asked: &Asked, ran: &Sent, to: &EndpointUpdate, begin_within_ms: f64) -> bool {
        let class = self.s.classes.get(asked.request.class);
        let first = &self.list[&ran.endpoint];
        match class.map_or(Idempotency::NotIdempotent, |class| class.idempotency) {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey(scope) => {
                let is_covered = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.zone == to.zone,
                    DeduplicationScope::Cell => first.cell == to.cell,
                };
                // It may wait for a connection, and begins by then or not at all.
                let window = class.map_or(0.0, |class| class.deduplication_window_ms);
                is_covered
                    && self.now <= ran.at + window
                    && self.now + begin_within_ms <= ran.at + window + 1e-6
            }
        }
    }

    fn record_send(&mut self, id: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        let asked = self.asked.get_mut(&id).expect("a known request");
        let deadline = asked.request.deadline_ms;
        let ends = if timeout_ms > 0.0 { self.now + timeout_ms } else { deadline };
        asked.attempts.push(Sent { endpoint, at: self.now, ends: ends.min(deadline), outcome: None });
    }

    fn check_rejection(&mut self, id: RequestId, retry_after_ms: f64) {
        assert!(retry_after_ms <= self.s.max_retry_after_ms, "advice above the most");
        assert!(self.s.retry_after || retry_after_ms == 0.0, "advice where none is sent");
        let asked = self.asked.get(&id).expect("a known request");
        let class = self.s.classes.get(asked.request.class);
        let idempotency = class.map_or(Idempotency::NotIdempotent, |class| class.idempotency);
        let never_ran = asked.attempts.iter().all(|attempt| proven(attempt.outcome));
        let is_harmless = never_ran
            || matches!(
                idempotency,
                Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All)
            );
        assert!(is_harmless, "rule 2: refused though it may have run");
        self.answered(id, "refused");
    }

    fn answered(&mut self, id: RequestId, answer: &'static str) {
        let asked = self.asked.get_mut(&id).expect("a known request");
        assert!(asked.answer.is_none(), "rule 1: two answers");
        asked.answer = Some(answer);
    }

    pub fn list(&mut self, kind: WatchUpdate, endpoints: Vec<EndpointUpdate>) {
        if matches!(kind, WatchUpdate::Snapshot | WatchUpdate::CachedSnapshot) {
            for e in self.list.values_mut() {
                e.state = EndpointState::Removed;
            }
        }
        for e in &endpoints {
            self.list.insert(e.endpoint, *e);
        }
        self.feed(Event::EndpointsChanged { update: kind, endpoints });
    }

    /// Takes a backend out of service, or puts it back.
    pub fn call(&mut self, endpoint: EndpointId, out: bool) {
        if out {
            self.out.insert(endpoint);
        } else {
            self.out.remove(&endpoint);
        }
        self.feed(if out { Event::Disable(endpoint) } else { Event::Enable(endpoint) });
    }

    pub fn ask(&mut self, class: usize, key: Option<u64>) -> RequestId {
        let deadline = self.s.classes.get(class).map_or(500.0, |c| c.deadline_ms);
        self.ask_with(class, key, deadline)
    }

    pub fn ask_with(&mut self, class: usize, key: Option<u64>, given: f64) -> RequestId {
        self.ask_as(class, key, given, false)
    }

    pub fn ask_as(&mut self, class: usize, key: Option<u64>, given: f64, retry: bool) -> RequestId {
        self.next += 1;
        let id = RequestId(self.next);
        let request = Request {
            id,
            class,
            key,
            deadline_ms: self.now + given,
            estimated_cost_ms: None,
            is_retry: retry,
            queued_ms: 0.0,
        };
        self.asked.insert(id, Asked { request, attempts: Vec::new(), answer: None, whole_at: self.now });
        self.feed(Event::Request(request));
        id
    }

    /// The backend of a request's attempt that is out.
    pub fn at(&self, id: RequestId) -> Option<EndpointId> {
        self.asked[&id].attempts.iter().find(|a| a.outcome.is_none()).map(|a| a.endpoint)
    }

    pub fn answer(&self, id: RequestId) -> Option<&'static str> {
        self.asked[&id].answer
    }

    /// Ends the attempt of a request that is out.
    pub fn end(&mut self, id: RequestId, outcome: AttemptOutcome) {
        self.end_with(id, outcome, LoadReport::default());
    }

    /// The same, with a load report.
    pub fn end_with(&mut self, id: RequestId, outcome: AttemptOutcome, load: LoadReport) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let Some(n) = asked.attempts.iter().position(|a| a.outcome.is_none()) else { return };
        asked.attempts[n].outcome = Some(outcome);
        if outcome == AttemptOutcome::Answered && asked.answer.is_none() {
            asked.answer = Some("done");
        }
        let last = asked.answer.is_some();
        let (endpoint, elapsed_ms) = (asked.attempts[n].endpoint, now - asked.attempts[n].at);
        self.feed(Event::AttemptEnded {
            id,
            attempt: n as u32,
            endpoint,
            outcome,
            request_finished: last,
            elapsed_ms,
            load,
        });
    }

    /// The answer to the attempt that is out begins: the request is served, its end is told later.
    pub fn begin(&mut self, id: RequestId) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id).filter(|a| a.answer.is_none()) else { return };
        let Some(n) = asked.attempts.iter().position(|a| a.outcome.is_none()) else { return };
        asked.answer = Some("done");
        let (endpoint, elapsed_ms) = (asked.attempts[n].endpoint, now - asked.attempts[n].at);
        self.feed(Event::ResponseStarted { id, attempt: n as u32, endpoint, elapsed_ms });
    }

    /// The last byte of a request's body has come: its times count from here.
    pub fn whole(&mut self, id: RequestId) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let late = now - asked.whole_at;
        asked.whole_at = now;
        asked.request.deadline_ms += late;
        for a in &mut asked.attempts {
            (a.at, a.ends) = (a.at + late, a.ends + late);
        }
        self.feed(Event::RequestBodyComplete(id));
    }

    pub fn left(&mut self, id: RequestId) {
        if let Some(a) = self.asked.get_mut(&id) {
            a.answer.get_or_insert("left");
        }
        self.feed(Event::ClientDisconnected(id));
    }

    /// Moves the clock, with every timer and time-out on the way.
    pub fn run_to(&mut self, until: f64) {
        loop {
            let due = self.timers.iter().map(|t| t.0).fold(f64::INFINITY, f64::min);
            let over = (self.asked.iter())
                .flat_map(|(id, a)| {
                    a.attempts.iter().filter(|a| a.outcome.is_none()).map(|s| (s.ends, *id))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let ends = over.map_or(f64::INFINITY, |o| o.0);
            let next = due.min(ends);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if ends <= due {
                if let Some((_, id)) = over {
                    self.end(id, AttemptOutcome::TimedOut);
                }
            } else if let Some(n) = self.timers.iter().position(|t| t.0 == due) {
                let (_, token) = self.timers.swap_remove(n);
                self.feed(Event::Timer(token));
            }
        }
        self.now = self.now.max(until);
        for (id, a) in &self.asked {
            let late = self.now > a.request.deadline_ms + ANSWER_SLACK_MS;
            assert!(!late || a.answer.is_some(), "rule 1: {id:?} has no answer in time");
        }
    }

    pub fn wait(&mut self, ms: f64) {
        self.run_to(self.now + ms);
    }

    /// Sends and answers requests for a while, so that the balancer has something to go by.
    pub fn warm_up(&mut self, requests: u64, class: usize, each_ms: f64) {
        for n in 0..requests {
            let id = self.ask(class, Some(n % 97));
            self.wait(each_ms);
            self.end(id, AttemptOutcome::Answered);
        }
    }
}

pub fn up(n: u64) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: (n % 2) as u16,
        cell: (n % 3) as u32,
        state: EndpointState::Active,
        weight: 1.0,
        started_at_ms: 0.0,
    }
}
