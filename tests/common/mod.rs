//! Hosts a balancer in tests and checks each of its actions against the rules that it must keep.
//!
//! The rules are: every request gets one answer, in time (rule 1); a request that may have run is sent again only
//! if its class allows that (rule 2); a request is sent only to an endpoint that is in service (rule 3); and the
//! limits and permissions in the settings hold.
//!
//! Endpoints are not simulated: the test decides how and when each attempt ends.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use wheelpath::policy::Balancer;
use wheelpath::policy::*;

/// Time after a request's deadline, in milliseconds, within which its answer still counts as in time. The users'
/// benchmark has the same tolerance.
const ANSWER_TOLERANCE_MS: f64 = 20.0;

/// Returns a request class whose late answers have no value.
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

/// Returns settings with arbitrary values. The classes cover each kind of idempotency.
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

/// Returns whether an outcome proves that the attempt never ran, by the operators' definition. Does not call the
/// policy's own function, because the checks would then not notice an error in it.
fn proves_not_executed(outcome: Option<AttemptOutcome>) -> bool {
    matches!(
        outcome,
        Some(AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent | AttemptOutcome::Rejected)
    )
}

/// How a request ended: with an answer, or with the disconnect of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Rejected,
    Failed,
    ClientDisconnected,
}

/// An attempt that the balancer has sent. Times are in milliseconds on the clock of the test node.
#[derive(Debug)]
pub struct TrackedAttempt {
    pub endpoint: EndpointId,
    pub sent_at_ms: f64,
    pub times_out_at_ms: f64,
    /// `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
}

/// A request that was passed to the balancer.
#[derive(Debug)]
pub struct TrackedRequest {
    pub request: Request,
    pub attempts: Vec<TrackedAttempt>,
    /// `None` until the request has ended.
    pub answer: Option<Answer>,
    /// When the last byte of the body arrived, in milliseconds on the clock of the test node. The deadline and the
    /// times of the attempts count from then.
    pub body_complete_at_ms: f64,
}

/// A node with one balancer and a simulated clock, endpoint list, clients and timers. Times are in milliseconds on
/// that clock.
pub struct TestNode {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now_ms: f64,
    /// Every endpoint that a list has contained, with its latest state.
    pub known_endpoints: BTreeMap<EndpointId, EndpointUpdate>,
    /// All requests since the start, including those that have ended.
    pub requests: BTreeMap<RequestId, TrackedRequest>,
    /// When each pending timer is due, and its token.
    pub timers: Vec<(f64, u64)>,
    pub log_lines: Vec<String>,
    /// When the balancer polled discovery, that is, when it returned [`Action::SetWatch`].
    pub poll_times_ms: Vec<f64>,
    /// When the idle connections to each endpoint were last closed.
    pub idle_closed_at_ms: BTreeMap<EndpointId, f64>,
    /// Endpoints disabled through [`set_disabled`](TestNode::set_disabled).
    pub disabled_endpoints: BTreeSet<EndpointId>,
    /// All actions of the balancer since its start, in their order.
    pub actions: Vec<Action>,
    last_request_number: u64,
}

impl TestNode {
    /// Returns a started node that has no endpoint list. `seed` seeds the balancer's random numbers.
    pub fn new(settings: Settings, seed: u64) -> TestNode {
        let balancer = Balancer::new(settings.clone(), seed).expect("valid settings");
        let mut node = TestNode {
            settings,
            balancer,
            now_ms: 1000.0,
            known_endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            log_lines: Vec::new(),
            poll_times_ms: Vec::new(),
            idle_closed_at_ms: BTreeMap::new(),
            disabled_endpoints: BTreeSet::new(),
            actions: Vec::new(),
            last_request_number: 0,
        };
        node.feed(Event::Start);
        node
    }

    /// Returns a started node whose list contains the active endpoints 1 to `count`.
    pub fn with_endpoints(settings: Settings, seed: u64, count: u64) -> TestNode {
        let mut node = TestNode::new(settings, seed);
        let endpoints = (1..=count).map(active_endpoint).collect();
        node.apply_list(WatchUpdate::Snapshot, endpoints);
        node
    }

    /// Reports an event to the balancer, and checks and records the actions that it returns.
    pub fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now_ms, event, &mut actions);
        for action in &actions {
            self.check_action(action);
        }
        self.actions.extend(actions);
    }

    /// Panics if the action breaks a rule; otherwise records its effect.
    fn check_action(&mut self, action: &Action) {
        match action {
            Action::SendAttempt { id, endpoint, timeout_ms, begin_within_ms } => {
                self.check_send(*id, *endpoint, *begin_within_ms);
                self.record_send(*id, *endpoint, *timeout_ms);
            }
            Action::Reject { id, retry_after_ms, .. } => self.check_rejection(*id, *retry_after_ms),
            Action::Fail { id, .. } => self.record_answer(*id, Answer::Failed),
            Action::CancelAttempt { id, attempt } => {
                assert!(
                    self.settings.cancellation_allowed,
                    "an attempt was cancelled though the settings do not allow it"
                );
                assert!(
                    self.requests[id].attempts.len() > *attempt as usize,
                    "an attempt was cancelled that was never sent"
                );
            }
            Action::Timer { token, at_ms } => self.timers.push((*at_ms, *token)),
            Action::CloseIdleConnections(endpoint) => {
                assert!(
                    self.known_endpoints.contains_key(endpoint),
                    "idle connections were closed to an endpoint that no list has contained"
                );
                self.idle_closed_at_ms.insert(*endpoint, self.now_ms);
            }
            Action::SendPeerMessage { .. } => {
                assert!(
                    self.settings.peer_messages_allowed,
                    "a peer message was sent though the settings do not allow it"
                )
            }
            Action::Log(event) => self.log_lines.push(event.to_string()),
            Action::SetWatch(_) => self.poll_times_ms.push(self.now_ms),
        }
    }

    fn check_send(&self, id: RequestId, endpoint: EndpointId, begin_within_ms: f64) {
        let tracked = self.requests.get(&id).expect("a known request");
        assert!(tracked.answer.is_none(), "rule 1: the request was sent after it had ended");
        assert!(
            tracked.attempts.len() < self.settings.max_attempts as usize,
            "the request has more attempts than max_attempts"
        );
        let target = self.known_endpoints.get(&endpoint).expect("an endpoint that a list has contained");
        assert_eq!(target.state, EndpointState::Active, "rule 3: sent to a draining or removed endpoint");
        assert!(!self.disabled_endpoints.contains(&endpoint), "rule 3: sent to a disabled endpoint");
        let has_attempt_in_flight = tracked.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(
            self.settings.hedging_allowed || !has_attempt_in_flight,
            "rule 2: the request has two attempts in flight though hedging is not allowed"
        );
        let may_have_run = |attempt: &&TrackedAttempt| !proves_not_executed(attempt.outcome);
        if let Some(earlier) = tracked.attempts.iter().find(may_have_run) {
            let may_repeat = self.may_repeat(tracked, earlier, target, begin_within_ms);
            assert!(may_repeat, "rule 2: the request was sent again though it may have run");
        }
    }

    /// Returns whether a request may be sent to `target` after `earlier`, its first attempt that may have run.
    fn may_repeat(
        &self,
        tracked: &TrackedRequest,
        earlier: &TrackedAttempt,
        target: &EndpointUpdate,
        begin_within_ms: f64,
    ) -> bool {
        let class = self.settings.classes.get(tracked.request.class);
        let earlier_endpoint = &self.known_endpoints[&earlier.endpoint];
        match class.map_or(Idempotency::NotIdempotent, |class| class.idempotency) {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey(scope) => {
                let is_deduplicated = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => earlier_endpoint.zone == target.zone,
                    DeduplicationScope::Cell => earlier_endpoint.cell == target.cell,
                };
                // The host may wait for a connection until `begin_within_ms` has passed, and then does not send.
                let window_ms = class.map_or(0.0, |class| class.deduplication_window_ms);
                is_deduplicated
                    && self.now_ms <= earlier.sent_at_ms + window_ms
                    && self.now_ms + begin_within_ms <= earlier.sent_at_ms + window_ms + 1e-6
            }
        }
    }

    fn record_send(&mut self, id: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        let deadline_ms = tracked.request.deadline_ms;
        let timeout_at_ms = if timeout_ms > 0.0 { self.now_ms + timeout_ms } else { deadline_ms };
        tracked.attempts.push(TrackedAttempt {
            endpoint,
            sent_at_ms: self.now_ms,
            times_out_at_ms: timeout_at_ms.min(deadline_ms),
            outcome: None,
        });
    }

    fn check_rejection(&mut self, id: RequestId, retry_after_ms: f64) {
        assert!(
            retry_after_ms <= self.settings.max_retry_after_ms,
            "the retry-after time is above max_retry_after_ms"
        );
        assert!(
            self.settings.retry_after_allowed || retry_after_ms == 0.0,
            "a rejection has a retry-after time though the settings do not allow one"
        );
        let tracked = self.requests.get(&id).expect("a known request");
        let class = self.settings.classes.get(tracked.request.class);
        let idempotency = class.map_or(Idempotency::NotIdempotent, |class| class.idempotency);
        let never_ran = tracked.attempts.iter().all(|attempt| proves_not_executed(attempt.outcome));
        let is_retry_harmless = never_ran
            || matches!(
                idempotency,
                Idempotency::Idempotent | Idempotency::WithKey(DeduplicationScope::All)
            );
        assert!(
            is_retry_harmless,
            "rule 2: the request was rejected, which invites a retry, though it may have run"
        );
        self.record_answer(id, Answer::Rejected);
    }

    fn record_answer(&mut self, id: RequestId, answer: Answer) {
        let tracked = self.requests.get_mut(&id).expect("a known request");
        assert!(tracked.answer.is_none(), "rule 1: the request got two answers");
        tracked.answer = Some(answer);
    }

    /// Reports an update of the endpoint list to the balancer.
    pub fn apply_list(&mut self, update: WatchUpdate, endpoints: Vec<EndpointUpdate>) {
        if matches!(update, WatchUpdate::Snapshot | WatchUpdate::CachedSnapshot) {
            for known in self.known_endpoints.values_mut() {
                known.state = EndpointState::Removed;
            }
        }
        for listed in &endpoints {
            self.known_endpoints.insert(listed.endpoint, *listed);
        }
        self.feed(Event::EndpointsChanged { update, endpoints });
    }

    /// Disables an endpoint, or enables it again, as an operator does.
    pub fn set_disabled(&mut self, endpoint: EndpointId, is_disabled: bool) {
        if is_disabled {
            self.disabled_endpoints.insert(endpoint);
        } else {
            self.disabled_endpoints.remove(&endpoint);
        }
        self.feed(if is_disabled { Event::Disable(endpoint) } else { Event::Enable(endpoint) });
    }

    /// Passes a new request to the balancer, with the deadline of its class, or of 500 ms if the settings have no
    /// such class.
    pub fn request(&mut self, class: usize, key: Option<u64>) -> RequestId {
        let time_to_deadline_ms = self.settings.classes.get(class).map_or(500.0, |class| class.deadline_ms);
        self.request_with_deadline(class, key, time_to_deadline_ms)
    }

    /// Passes a new request to the balancer, whose deadline is `time_to_deadline_ms` from now.
    pub fn request_with_deadline(
        &mut self,
        class: usize,
        key: Option<u64>,
        time_to_deadline_ms: f64,
    ) -> RequestId {
        self.request_with_retry_mark(class, key, time_to_deadline_ms, false)
    }

    /// Passes a new request to the balancer. `is_retry` tells whether its client marked it as a retry.
    pub fn request_with_retry_mark(
        &mut self,
        class: usize,
        key: Option<u64>,
        time_to_deadline_ms: f64,
        is_retry: bool,
    ) -> RequestId {
        self.last_request_number += 1;
        let id = RequestId(self.last_request_number);
        let request = Request {
            id,
            class,
            key,
            deadline_ms: self.now_ms + time_to_deadline_ms,
            estimated_cost_ms: None,
            is_retry,
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

    /// Returns the endpoint of the request's attempt in flight, or `None` if no attempt is in flight.
    pub fn endpoint_of(&self, id: RequestId) -> Option<EndpointId> {
        self.requests[&id]
            .attempts
            .iter()
            .find(|attempt| attempt.outcome.is_none())
            .map(|attempt| attempt.endpoint)
    }

    /// Returns how the request ended, or `None` if it has not ended.
    pub fn answer(&self, id: RequestId) -> Option<Answer> {
        self.requests[&id].answer
    }

    /// Ends the request's attempt in flight, without a load report. Does nothing if no attempt is in flight.
    pub fn end_attempt(&mut self, id: RequestId, outcome: AttemptOutcome) {
        self.end_attempt_with_load(id, outcome, LoadReport::default());
    }

    /// Ends the request's attempt in flight, with a load report. Does nothing if no attempt is in flight.
    pub fn end_attempt_with_load(&mut self, id: RequestId, outcome: AttemptOutcome, load: LoadReport) {
        let now = self.now_ms;
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Some(index) = tracked.attempts.iter().position(|attempt| attempt.outcome.is_none()) else {
            return;
        };
        tracked.attempts[index].outcome = Some(outcome);
        if outcome == AttemptOutcome::Answered && tracked.answer.is_none() {
            tracked.answer = Some(Answer::Served);
        }
        let request_finished = tracked.answer.is_some();
        let (endpoint, elapsed_ms) =
            (tracked.attempts[index].endpoint, now - tracked.attempts[index].sent_at_ms);
        self.feed(Event::AttemptEnded {
            id,
            attempt: index as u32,
            endpoint,
            outcome,
            request_finished,
            elapsed_ms,
            load,
        });
    }

    /// Starts the response to the request's attempt in flight: the request counts as served, and the attempt ends
    /// later. Does nothing if no attempt is in flight or the request has ended.
    pub fn start_response(&mut self, id: RequestId) {
        let now = self.now_ms;
        let Some(tracked) = self.requests.get_mut(&id).filter(|tracked| tracked.answer.is_none()) else {
            return;
        };
        let Some(index) = tracked.attempts.iter().position(|attempt| attempt.outcome.is_none()) else {
            return;
        };
        tracked.answer = Some(Answer::Served);
        let (endpoint, elapsed_ms) =
            (tracked.attempts[index].endpoint, now - tracked.attempts[index].sent_at_ms);
        self.feed(Event::ResponseStarted { id, attempt: index as u32, endpoint, elapsed_ms });
    }

    /// Completes the body of a request: its deadline and the times of its attempts count from now.
    pub fn complete_body(&mut self, id: RequestId) {
        let now = self.now_ms;
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let delay_ms = now - tracked.body_complete_at_ms;
        tracked.body_complete_at_ms = now;
        tracked.request.deadline_ms += delay_ms;
        for attempt in &mut tracked.attempts {
            (attempt.sent_at_ms, attempt.times_out_at_ms) =
                (attempt.sent_at_ms + delay_ms, attempt.times_out_at_ms + delay_ms);
        }
        self.feed(Event::RequestBodyComplete { id, sent_at_ms: now });
    }

    /// Disconnects the client of a request. A request that has already ended keeps its answer.
    pub fn disconnect_client(&mut self, id: RequestId) {
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.answer.get_or_insert(Answer::ClientDisconnected);
        }
        self.feed(Event::ClientDisconnected(id));
    }

    /// Advances the clock, and reports each timer and each attempt's timeout when it is due. Then panics if a request
    /// is unanswered past its deadline.
    pub fn advance_to(&mut self, until_ms: f64) {
        loop {
            let timer_due_ms = self.timers.iter().map(|timer| timer.0).fold(f64::INFINITY, f64::min);
            let next_timeout = (self.requests.iter())
                .flat_map(|(id, tracked)| {
                    let in_flight = tracked.attempts.iter().filter(|attempt| attempt.outcome.is_none());
                    in_flight.map(|attempt| (attempt.times_out_at_ms, *id))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let timeout_due_ms = next_timeout.map_or(f64::INFINITY, |timeout| timeout.0);
            let next_ms = timer_due_ms.min(timeout_due_ms);
            if next_ms > until_ms {
                break;
            }
            self.now_ms = self.now_ms.max(next_ms);
            if timeout_due_ms <= timer_due_ms {
                if let Some((_, id)) = next_timeout {
                    self.end_attempt(id, AttemptOutcome::TimedOut);
                }
            } else if let Some(index) = self.timers.iter().position(|timer| timer.0 == timer_due_ms) {
                let (_, token) = self.timers.swap_remove(index);
                self.feed(Event::Timer(token));
            }
        }
        self.now_ms = self.now_ms.max(until_ms);
        for (id, tracked) in &self.requests {
            let is_late = self.now_ms > tracked.request.deadline_ms + ANSWER_TOLERANCE_MS;
            assert!(!is_late || tracked.answer.is_some(), "rule 1: {id:?} was not answered in time");
        }
    }

    /// Advances the clock by `ms`, as [`advance_to`](TestNode::advance_to) does.
    pub fn wait(&mut self, ms: f64) {
        self.advance_to(self.now_ms + ms);
    }

    /// Sends requests for 97 keys one after another and answers each after `answer_ms`, so that the balancer has
    /// estimates of the load and the answer times.
    pub fn warm_up(&mut self, requests: u64, class: usize, answer_ms: f64) {
        for number in 0..requests {
            let id = self.request(class, Some(number % 97));
            self.wait(answer_ms);
            self.end_attempt(id, AttemptOutcome::Answered);
        }
    }
}

/// Returns the list entry of endpoint `number`. The endpoints alternate between two zones and three cells, and their
/// ids are spread over all 64 bits.
pub fn active_endpoint(number: u64) -> EndpointUpdate {
    EndpointUpdate {
        endpoint: EndpointId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: (number % 2) as u16,
        cell: (number % 3) as u32,
        state: EndpointState::Active,
        weight: 1.0,
        started_at_ms: 0.0,
    }
}
