//! A balancer under test with its surroundings, which checks the four rules at every action.
//!
//! It simulates no endpoints: tests say what happens, and when.
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
            entire_run: 0.5,
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
        retry_after_allowed: true,
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
        value_scales_with_work: false,
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
fn proves_not_executed(outcome: Option<AttemptOutcome>) -> bool {
    matches!(
        outcome,
        Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent | AttemptOutcome::Rejected)
    )
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Rejected,
    Failed,
    ClientLeft,
}

/// An attempt that the balancer ordered.
#[derive(Debug)]
pub struct TrackedAttempt {
    pub endpoint: EndpointId,
    pub sent_at_ms: f64,
    pub times_out_at_ms: f64,
    pub outcome: Option<AttemptOutcome>,
}

/// A request that the balancer was given.
#[derive(Debug)]
pub struct TrackedRequest {
    pub request: Request,
    pub attempts: Vec<TrackedAttempt>,
    pub answer: Option<Answer>,
    /// When its last byte came: its times count from there.
    pub body_complete_at_ms: f64,
}

/// One balancer, and the clock, endpoint list, clients and timers around it.
pub struct TestNode {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now_ms: f64,
    pub listed: BTreeMap<EndpointId, EndpointUpdate>,
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    pub timers: Vec<(f64, u64)>,
    pub logs: Vec<String>,
    pub polls_at_ms: Vec<f64>,
    /// When idle connections to an endpoint were last closed.
    pub idle_closed_at_ms: BTreeMap<EndpointId, f64>,
    /// Endpoints that operators have disabled.
    pub disabled: BTreeSet<EndpointId>,
    pub trace: Vec<Action>,
    next_id: u64,
}

impl TestNode {
    pub fn new(settings: Settings, seed: u64) -> TestNode {
        let balancer = Balancer::new(settings.clone(), seed).expect("usable settings");
        let mut node = TestNode {
            settings,
            balancer,
            now_ms: 1000.0,
            listed: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            logs: Vec::new(),
            polls_at_ms: Vec::new(),
            idle_closed_at_ms: BTreeMap::new(),
            disabled: BTreeSet::new(),
            trace: Vec::new(),
            next_id: 0,
        };
        node.feed(Event::Start);
        node
    }

    pub fn with_endpoints(s: Settings, seed: u64, count: u64) -> TestNode {
        let mut node = TestNode::new(s, seed);
        let endpoints = (1..=count).map(active_endpoint).collect();
        node.apply_list(WatchUpdate::Snapshot, endpoints);
        node
    }

    pub fn feed(&mut self, event: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now_ms, event, &mut out);
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
            Action::Fail { id, .. } => self.record_answer(*id, Answer::Failed),
            Action::CancelAttempt { id, attempt } => {
                assert!(self.settings.cancellation_allowed, "cancelling is not allowed");
                assert!(self.requests[id].attempts.len() > *attempt as usize, "an attempt never made");
            }
            Action::Timer { token, at_ms } => self.timers.push((*at_ms, *token)),
            Action::CloseIdleConnections(endpoint) => {
                assert!(
                    self.listed.contains_key(endpoint),
                    "idle connections closed to an endpoint that no list has named"
                );
                self.idle_closed_at_ms.insert(*endpoint, self.now_ms);
            }
            Action::SendPeerMessage { .. } => {
                assert!(self.settings.peer_messages_allowed, "messages are not allowed")
            }
            Action::Log(event) => self.logs.push(event.to_string()),
            Action::SetWatch(_) => self.polls_at_ms.push(self.now_ms),
        }
    }

    fn check_send(&self, id: RequestId, endpoint: EndpointId, begin_within_ms: f64) {
        let tracked = self.requests.get(&id).expect("a known request");
        assert!(tracked.answer.is_none(), "rule 1: sent after its end");
        assert!(tracked.attempts.len() < self.settings.max_attempts as usize, "more attempts than allowed");
        let entry = self.listed.get(&endpoint).expect("an endpoint that the list has named");
        assert_eq!(entry.state, EndpointState::Active, "rule 3: sent to a draining or removed endpoint");
        assert!(!self.disabled.contains(&endpoint), "rule 3: sent to a disabled endpoint");
        let is_any_in_flight = tracked.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(self.settings.hedging_allowed || !is_any_in_flight, "rule 2: two attempts at once");
        if let Some(ran) = tracked.attempts.iter().find(|attempt| !proves_not_executed(attempt.outcome)) {
            let may_repeat = self.may_repeat(tracked, ran, entry, begin_within_ms);
            assert!(may_repeat, "rule 2: sent again though it may have run");
        }
    }

    /// Whether a request may be sent to an endpoint, after an attempt that may have run.
    fn may_repeat(
        &self,
        tracked: &TrackedRequest,
        ran: &TrackedAttempt,
        to: &EndpointUpdate,
        begin_within_ms: f64,
    ) -> bool {
        let class = self.settings.classes.get(tracked.request.class);
        let first = &self.listed[&ran.endpoint];
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
                    && self.now_ms <= ran.sent_at_ms + window
                    && self.now_ms + begin_within_ms <= ran.sent_at_ms + window + 1e-6
            }
        }
    }

    fn record_send(&mut self, id: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let deadline = tracked.request.deadline_ms;
        let ends = if timeout_ms > 0.0 { self.now_ms + timeout_ms } else { deadline };
        tracked.attempts.push(TrackedAttempt {
            endpoint,
            sent_at_ms: self.now_ms,
            times_out_at_ms: ends.min(deadline),
            outcome: None,
        });
    }

    fn check_rejection(&mut self, id: RequestId, retry_after_ms: f64) {
        assert!(retry_after_ms <= self.settings.max_retry_after_ms, "advice above the maximum");
        assert!(self.settings.retry_after_allowed || retry_after_ms == 0.0, "advice where none is sent");
        let tracked = self.requests.get(&id).expect("a known request");
        let class = self.settings.classes.get(tracked.request.class);
        let idempotency = class.map_or(Idempotency::NotIdempotent, |class| class.idempotency);
        let never_ran = tracked.attempts.iter().all(|attempt| proves_not_executed(attempt.outcome));
        let is_harmless = never_ran
            || matches!(
                idempotency,
                Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All)
            );
        assert!(is_harmless, "rule 2: rejected though it may have run");
        self.record_answer(id, Answer::Rejected);
    }

    fn record_answer(&mut self, id: RequestId, answer: Answer) {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        assert!(tracked.answer.is_none(), "rule 1: two answers");
        tracked.answer = Some(answer);
    }

    pub fn apply_list(&mut self, update: WatchUpdate, endpoints: Vec<EndpointUpdate>) {
        if matches!(update, WatchUpdate::Snapshot | WatchUpdate::CachedSnapshot) {
            for e in self.listed.values_mut() {
                e.state = EndpointState::Removed;
            }
        }
        for e in &endpoints {
            self.listed.insert(e.endpoint, *e);
        }
        self.feed(Event::EndpointsChanged { update, endpoints });
    }

    /// Disables or enables an endpoint.
    pub fn set_disabled(&mut self, endpoint: EndpointId, disable: bool) {
        if disable {
            self.disabled.insert(endpoint);
        } else {
            self.disabled.remove(&endpoint);
        }
        self.feed(if disable { Event::Disable(endpoint) } else { Event::Enable(endpoint) });
    }

    pub fn request(&mut self, class: usize, key: Option<u64>) -> RequestId {
        let deadline = self.settings.classes.get(class).map_or(500.0, |c| c.deadline_ms);
        self.request_with_deadline(class, key, deadline)
    }

    pub fn request_with_deadline(&mut self, class: usize, key: Option<u64>, given: f64) -> RequestId {
        self.request_from_client(class, key, given, false)
    }

    pub fn request_from_client(
        &mut self,
        class: usize,
        key: Option<u64>,
        given: f64,
        retry: bool,
    ) -> RequestId {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let request = Request {
            id,
            class,
            key,
            deadline_ms: self.now_ms + given,
            estimated_cost_ms: None,
            is_retry: retry,
            queued_ms: 0.0,
        };
        self.requests.insert(
            id,
            TrackedRequest {
                request,
                attempts: Vec::new(),
                answer: None,
                body_complete_at_ms: self.now_ms,
            },
        );
        self.feed(Event::Request(request));
        id
    }

    /// The endpoint of a request's attempt in flight.
    pub fn endpoint_of(&self, id: RequestId) -> Option<EndpointId> {
        self.requests[&id].attempts.iter().find(|a| a.outcome.is_none()).map(|a| a.endpoint)
    }

    pub fn answer(&self, id: RequestId) -> Option<Answer> {
        self.requests[&id].answer
    }

    /// Ends the attempt in flight of a request.
    pub fn end_attempt(&mut self, id: RequestId, outcome: AttemptOutcome) {
        self.end_attempt_with_load(id, outcome, LoadReport::default());
    }

    /// The same, with a load report.
    pub fn end_attempt_with_load(&mut self, id: RequestId, outcome: AttemptOutcome, load: LoadReport) {
        let now = self.now_ms;
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Some(n) = tracked.attempts.iter().position(|a| a.outcome.is_none()) else { return };
        tracked.attempts[n].outcome = Some(outcome);
        if outcome == AttemptOutcome::Answered && tracked.answer.is_none() {
            tracked.answer = Some(Answer::Served);
        }
        let last = tracked.answer.is_some();
        let (endpoint, elapsed_ms) = (tracked.attempts[n].endpoint, now - tracked.attempts[n].sent_at_ms);
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

    /// The response to the attempt in flight begins: the request is served, the attempt's end follows later.
    pub fn start_response(&mut self, id: RequestId) {
        let now = self.now_ms;
        let Some(tracked) = self.requests.get_mut(&id).filter(|a| a.answer.is_none()) else { return };
        let Some(n) = tracked.attempts.iter().position(|a| a.outcome.is_none()) else { return };
        tracked.answer = Some(Answer::Served);
        let (endpoint, elapsed_ms) = (tracked.attempts[n].endpoint, now - tracked.attempts[n].sent_at_ms);
        self.feed(Event::ResponseStarted { id, attempt: n as u32, endpoint, elapsed_ms });
    }

    /// The last byte of a request's body has come: its times count from here.
    pub fn complete_body(&mut self, id: RequestId) {
        let now = self.now_ms;
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let late = now - tracked.body_complete_at_ms;
        tracked.body_complete_at_ms = now;
        tracked.request.deadline_ms += late;
        for a in &mut tracked.attempts {
            (a.sent_at_ms, a.times_out_at_ms) = (a.sent_at_ms + late, a.times_out_at_ms + late);
        }
        self.feed(Event::RequestBodyComplete(id));
    }

    pub fn disconnect_client(&mut self, id: RequestId) {
        if let Some(a) = self.requests.get_mut(&id) {
            a.answer.get_or_insert(Answer::ClientLeft);
        }
        self.feed(Event::ClientDisconnected(id));
    }

    /// Moves the clock, with every timer and timeout on the way.
    pub fn run_to(&mut self, until: f64) {
        loop {
            let due = self.timers.iter().map(|t| t.0).fold(f64::INFINITY, f64::min);
            let over = (self.requests.iter())
                .flat_map(|(id, a)| {
                    a.attempts.iter().filter(|a| a.outcome.is_none()).map(|s| (s.times_out_at_ms, *id))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let ends = over.map_or(f64::INFINITY, |o| o.0);
            let next = due.min(ends);
            if next > until {
                break;
            }
            self.now_ms = self.now_ms.max(next);
            if ends <= due {
                if let Some((_, id)) = over {
                    self.end_attempt(id, AttemptOutcome::TimedOut);
                }
            } else if let Some(n) = self.timers.iter().position(|t| t.0 == due) {
                let (_, token) = self.timers.swap_remove(n);
                self.feed(Event::Timer(token));
            }
        }
        self.now_ms = self.now_ms.max(until);
        for (id, a) in &self.requests {
            let late = self.now_ms > a.request.deadline_ms + ANSWER_SLACK_MS;
            assert!(!late || a.answer.is_some(), "rule 1: {id:?} has no answer in time");
        }
    }

    pub fn wait(&mut self, ms: f64) {
        self.run_to(self.now_ms + ms);
    }

    /// Sends and answers requests for a while, so that the balancer has something to go by.
    pub fn warm_up(&mut self, requests: u64, class: usize, each_ms: f64) {
        for n in 0..requests {
            let id = self.request(class, Some(n % 97));
            self.wait(each_ms);
            self.end_attempt(id, AttemptOutcome::Answered);
        }
    }
}

pub fn active_endpoint(n: u64) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: (n % 2) as u16,
        cell: (n % 3) as u32,
        state: EndpointState::Active,
        weight: 1.0,
        started_at_ms: 0.0,
    }
}
