//! Simulates a fleet of balancers with a common endpoint list, and checks the load that all of them together put on a
//! restarted endpoint.
//!
//! A restarted endpoint fails if it gets more requests than the settings allow during its slow start. No balancer
//! knows how many requests the others send, so a test with a single balancer cannot show that the sum stays within
//! the limit.
//!
//! Requests arrive at random times, drawn from a seed. An endpoint answers quickly up to the rate that it can serve,
//! and late beyond that rate.
mod common;

use common::{active_endpoint, settings};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use wheelpath::policy::{
    Action, AttemptOutcome, Balancer, EndpointId, EndpointState, EndpointUpdate, Event, Idempotency,
    LoadReport, LoadReporting, Request, RequestId, Settings, WatchUpdate,
};

/// Answer time of an endpoint that has capacity left.
const ANSWER_MS: f64 = 60.0;
/// Answer time of an endpoint that gets more requests than it can serve; longer than the latency objective of 500 ms.
const LATE_ANSWER_MS: f64 = 800.0;
/// Time until an attempt to connect to an absent endpoint fails.
const CONNECT_FAILURE_MS: f64 = 1.0;
/// When endpoint 1 restarts, in milliseconds of simulated time.
const RESTART_MS: f64 = 12_000.0;
/// Length of the last part of the slow start, in which the traffic of the restarted endpoint is compared with that of
/// a warm one.
const LAST_PART_MS: f64 = 2000.0;
/// An endpoint accumulates unused capacity for up to this time.
const MAX_SAVED_CAPACITY_MS: f64 = 500.0;
/// The first timers of the nodes are delayed at random by up to this time, so that the nodes do not act in step.
const TIMER_SPREAD_MS: f64 = 100.0;
/// Time from a request's arrival to its deadline.
const DEADLINE_MS: f64 = 1000.0;
/// Number of keys of ordinary requests.
const KEYS: u64 = 800;

/// A period with more requests than usual.
#[derive(Clone, Copy)]
struct Burst {
    /// Start of the period, in milliseconds after the restart.
    from_ms: f64,
    length_ms: f64,
    /// Request rate relative to the usual one.
    factor: f64,
}

/// The removal of other endpoints from the list.
#[derive(Clone, Copy)]
struct Departure {
    /// In milliseconds after the restart.
    at_ms: f64,
    /// Number of removed endpoints.
    endpoints: u64,
}

/// A period right before the restart in which connections to the restarting endpoint fail.
#[derive(Clone, Copy)]
struct Absence {
    length_ms: f64,
    /// Upper bound of the random delay with which a node learns of the restart.
    list_delay_ms: f64,
}

/// A fleet, its traffic, and the events of one simulation.
#[derive(Clone)]
struct Fleet {
    /// Number of nodes that run.
    nodes: u32,
    /// Number of nodes in the settings.
    configured_nodes: u32,
    /// Number of endpoints besides the one that restarts.
    warm_endpoints: u64,
    /// Request rate, as a share of the rate that all endpoints together can serve.
    load: f64,
    departure: Option<Departure>,
    /// Share of the requests that have the hot key, whose first candidate is the restarted endpoint.
    hot_share: f64,
    burst: Option<Burst>,
    absence: Option<Absence>,
    /// All endpoints start at the time of the restart, and no request arrives before.
    all_start_at_once: bool,
    overload_multiple: f64,
    overload_window_ms: f64,
    /// Rate that a warm endpoint can serve, in requests per second.
    capacity_per_second: f64,
}

const FLEET: Fleet = Fleet {
    nodes: 25,
    configured_nodes: 25,
    warm_endpoints: 10,
    load: 0.6,
    departure: None,
    hot_share: 0.0,
    burst: None,
    absence: None,
    all_start_at_once: false,
    overload_multiple: 3.0,
    overload_window_ms: 1000.0,
    capacity_per_second: 12.0,
};

/// A fleet of so many nodes that each of them sends only few requests to an endpoint.
const LARGE_FLEET: Fleet = Fleet { nodes: 300, configured_nodes: 300, warm_endpoints: 30, ..FLEET };

impl Fleet {
    fn settings(&self) -> Settings {
        Settings {
            classes: vec![common::class(500.0, DEADLINE_MS, Idempotency::Idempotent)],
            node_count: self.configured_nodes,
            load_reporting: LoadReporting::Answers,
            overload_window_ms: self.overload_window_ms,
            overload_multiple: self.overload_multiple,
            slow_start_ms: 20_000.0,
            ..settings()
        }
    }

    fn endpoints(&self) -> Vec<EndpointUpdate> {
        (1..=self.warm_endpoints + 1).map(active_endpoint).collect()
    }

    /// Returns the list update that reports the restart.
    fn restart_update(&self) -> Vec<EndpointUpdate> {
        let restarted = |endpoint| EndpointUpdate { started_at_ms: RESTART_MS, ..endpoint };
        if self.all_start_at_once {
            self.endpoints().into_iter().map(restarted).collect()
        } else {
            vec![restarted(active_endpoint(1))]
        }
    }

    /// Returns the list update that reports the departure. If all endpoints start at once, none departs, and the update
    /// repeats the restart.
    fn departure_update(&self) -> Vec<EndpointUpdate> {
        let Some(departure) = self.departure.filter(|_| !self.all_start_at_once) else {
            return self.restart_update();
        };
        let removed = |number| EndpointUpdate { state: EndpointState::Removed, ..active_endpoint(number) };
        (2..2 + departure.endpoints).map(removed).collect()
    }

    /// Returns the request rate at this time relative to the usual one.
    fn burst_factor(&self, now_ms: f64) -> f64 {
        let is_in_progress = |burst: &Burst| {
            let from_ms = RESTART_MS + burst.from_ms;
            (from_ms..from_ms + burst.length_ms).contains(&now_ms)
        };
        self.burst.filter(is_in_progress).map_or(1.0, |burst| burst.factor)
    }

    /// Returns whether connections to the restarting endpoint fail at this time.
    fn is_absent(&self, now_ms: f64) -> bool {
        self.absence.is_some_and(|absence| (RESTART_MS - absence.length_ms..RESTART_MS).contains(&now_ms))
    }
}

/// Returns how many requests of mean work the settings allow at the restarted endpoint in one overload window.
fn allowed_per_window(settings: &Settings, capacity_per_second: f64, now_ms: f64) -> f64 {
    let progress = ((now_ms - RESTART_MS) / settings.slow_start_ms).clamp(0.0, 1.0);
    let initial_share = settings.slow_start_initial_capacity;
    let capacity_share = initial_share + (1.0 - initial_share) * progress;
    settings.overload_multiple * capacity_share * capacity_per_second * settings.overload_window_ms / 1000.0
}

/// An attempt in flight. Its outcome is determined when it is sent.
#[derive(Clone, Copy)]
struct SentAttempt {
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    sent_at_ms: f64,
}

/// An event of the simulation.
#[derive(Clone, Copy)]
enum FleetEvent {
    Timer {
        token: u64,
    },
    AttemptEnd(SentAttempt),
    /// The next request arrives, at a node that is drawn then.
    Arrival,
    /// A node learns of the restart.
    RestartUpdate,
    /// A node learns of the departure.
    DepartureUpdate,
}

/// An event that is due at a node.
struct ScheduledEvent {
    at_ms: f64,
    /// Number of the event in the order of scheduling. Events with the same time are handled in this order.
    number: u64,
    /// Index of the node; not used by an arrival.
    node: usize,
    event: FleetEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.number.cmp(&other.number))
    }
}

/// The capacity that an endpoint has accumulated and not used.
#[derive(Default)]
struct SavedCapacity {
    /// The number of requests that the capacity sufficed for at `updated_at_ms`.
    requests: f64,
    updated_at_ms: f64,
}

impl SavedCapacity {
    /// Adds the capacity since the last update, takes the capacity for one request, and returns whether there was
    /// enough. The rate is the number of requests that the endpoint can serve per millisecond.
    fn take_request(&mut self, now_ms: f64, rate_per_ms: f64) -> bool {
        let saved = self.requests + (now_ms - self.updated_at_ms) * rate_per_ms;
        self.requests = saved.min((rate_per_ms * MAX_SAVED_CAPACITY_MS).max(1.0));
        self.updated_at_ms = now_ms;
        let is_sufficient = self.requests >= 1.0;
        self.requests -= f64::from(u8::from(is_sufficient));
        is_sufficient
    }
}

/// An attempt that was sent to the restarted endpoint after its restart.
struct SentToRestarted {
    at_ms: f64,
    /// Whether the node had learned of the restart.
    node_notified: bool,
}

/// The result of a simulation.
struct Figures {
    /// Number of requests by which the worst overload window exceeded the limit and the tolerance for random variation.
    /// Negative if no window exceeded them.
    excess_requests: f64,
    /// Number of requests that the restarted endpoint got in the last part of its slow start.
    restarted_requests: f64,
    /// Mean number of requests that a warm endpoint got in that part.
    warm_requests: f64,
}

/// The state of one simulation.
struct Simulation<'a> {
    fleet: &'a Fleet,
    settings: Settings,
    rng: fastrand::Rng,
    nodes: Vec<Balancer>,
    /// For each node, whether it has learned of the restart.
    notified_nodes: Vec<bool>,
    /// Relative share of the traffic that each node gets: at random 0.3 to 1.7.
    traffic_shares: Vec<f64>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// Number of events that have been scheduled.
    scheduled_count: u64,
    hot_key: u64,
    /// Number of requests that have arrived.
    request_count: u64,
    /// Number of attempts of each request.
    attempt_counts: HashMap<RequestId, u32>,
    saved_capacities: HashMap<EndpointId, SavedCapacity>,
    /// In the order of sending.
    sent_to_restarted: Vec<SentToRestarted>,
    /// Number of attempts that all other endpoints together got in the last part of the slow start.
    sent_to_warm_count: u64,
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, seed: u64) -> Simulation<'a> {
        let mut simulation = Simulation {
            fleet,
            settings: fleet.settings(),
            rng: fastrand::Rng::with_seed(seed),
            nodes: Vec::new(),
            notified_nodes: vec![false; fleet.nodes as usize],
            traffic_shares: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled_count: 0,
            hot_key: find_hot_key(fleet),
            request_count: 0,
            attempt_counts: HashMap::new(),
            saved_capacities: HashMap::new(),
            sent_to_restarted: Vec::new(),
            sent_to_warm_count: 0,
        };
        for node in 0..fleet.nodes as usize {
            simulation.start_node(node, seed);
        }
        let traffic_shares = (0..fleet.nodes).map(|_| 0.3 + simulation.rng.f64() * 1.4).collect();
        simulation.traffic_shares = traffic_shares;
        let first_arrival_ms = if fleet.all_start_at_once { RESTART_MS } else { 0.0 };
        simulation.schedule(first_arrival_ms, 0, FleetEvent::Arrival);
        simulation
    }

    fn start_node(&mut self, node: usize, seed: u64) {
        let endpoints = if self.fleet.all_start_at_once { Vec::new() } else { self.fleet.endpoints() };
        let seed = seed * 1000 + node as u64;
        let (balancer, actions) = start_balancer(&self.settings, seed, endpoints);
        self.nodes.push(balancer);
        for action in actions {
            if let Action::Timer { token, at_ms } = action {
                let at_ms = at_ms + self.rng.f64() * TIMER_SPREAD_MS;
                self.schedule(at_ms, node, FleetEvent::Timer { token });
            }
        }
        let delay_ms = self.fleet.absence.map_or(0.0, |absence| absence.list_delay_ms * self.rng.f64());
        self.schedule(RESTART_MS + delay_ms, node, FleetEvent::RestartUpdate);
        if let Some(departure) = self.fleet.departure {
            self.schedule(RESTART_MS + departure.at_ms, node, FleetEvent::DepartureUpdate);
        }
    }

    fn schedule(&mut self, at_ms: f64, node: usize, event: FleetEvent) {
        self.scheduled_count += 1;
        self.queue.push(Reverse(ScheduledEvent { at_ms, number: self.scheduled_count, node, event }));
    }

    /// Returns the end of the slow start, at which the simulation ends.
    fn end_ms(&self) -> f64 {
        RESTART_MS + self.settings.slow_start_ms
    }

    fn run(mut self) -> Figures {
        while let Some(Reverse(ScheduledEvent { at_ms, node, event, .. })) = self.queue.pop() {
            if at_ms > self.end_ms() {
                break;
            }
            self.handle(at_ms, node, event);
        }
        self.figures()
    }

    fn handle(&mut self, now_ms: f64, node: usize, event: FleetEvent) {
        match event {
            FleetEvent::Timer { token } => self.feed(now_ms, node, Event::Timer(token)),
            FleetEvent::AttemptEnd(sent) => self.feed(now_ms, node, attempt_ended(now_ms, &sent)),
            FleetEvent::Arrival => self.arrive(now_ms),
            FleetEvent::RestartUpdate => self.apply_list(now_ms, node, self.fleet.restart_update()),
            FleetEvent::DepartureUpdate => self.apply_list(now_ms, node, self.fleet.departure_update()),
        }
    }

    fn apply_list(&mut self, now_ms: f64, node: usize, endpoints: Vec<EndpointUpdate>) {
        self.notified_nodes[node] = true;
        let update = WatchUpdate::Delta;
        self.feed(now_ms, node, Event::EndpointsChanged { update, endpoints });
    }

    /// Passes a request to a node, which is drawn in proportion to the traffic shares, and schedules the next arrival
    /// after an exponentially distributed time.
    fn arrive(&mut self, now_ms: f64) {
        let endpoints = (self.fleet.warm_endpoints + 1) as f64;
        let usual_rate_per_ms = self.fleet.load * self.fleet.capacity_per_second * endpoints / 1000.0;
        let rate_per_ms = usual_rate_per_ms * self.fleet.burst_factor(now_ms);
        let gap_ms = -self.rng.f64().max(1e-12).ln() / rate_per_ms;
        self.schedule(now_ms + gap_ms, 0, FleetEvent::Arrival);
        let node = self.draw_node();
        self.request_count += 1;
        let is_hot = self.rng.f64() < self.fleet.hot_share;
        let key = if is_hot { self.hot_key } else { self.rng.u64(..KEYS) };
        let request = request(self.request_count, key, now_ms + DEADLINE_MS);
        self.feed(now_ms, node, Event::Request(request));
    }

    fn draw_node(&mut self) -> usize {
        let total: f64 = self.traffic_shares.iter().sum();
        let mut draw = self.rng.f64() * total;
        let is_drawn = |share: &f64| {
            draw -= share;
            draw < 0.0
        };
        self.traffic_shares.iter().position(is_drawn).unwrap_or(0)
    }

    fn feed(&mut self, now_ms: f64, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { token, at_ms } => self.schedule(at_ms, node, FleetEvent::Timer { token }),
                Action::SendAttempt { id, endpoint, .. } => self.send(now_ms, node, id, endpoint),
                _ => {}
            }
        }
    }

    /// Sends an attempt and schedules its end. The answer is late if the endpoint has no capacity left.
    fn send(&mut self, now_ms: f64, node: usize, id: RequestId, endpoint: EndpointId) {
        let attempt_count = self.attempt_counts.entry(id).or_default();
        let attempt = *attempt_count;
        *attempt_count += 1;
        let is_restarting_endpoint = endpoint == active_endpoint(1).endpoint;
        let is_restarted = is_restarting_endpoint && now_ms >= RESTART_MS;
        let rate_per_ms = if is_restarted {
            let allowed = allowed_per_window(&self.settings, self.fleet.capacity_per_second, now_ms);
            allowed / self.settings.overload_multiple / self.settings.overload_window_ms
        } else {
            self.fleet.capacity_per_second / 1000.0
        };
        let has_capacity =
            self.saved_capacities.entry(endpoint).or_default().take_request(now_ms, rate_per_ms);
        let (duration_ms, outcome) = if is_restarting_endpoint && self.fleet.is_absent(now_ms) {
            (CONNECT_FAILURE_MS, AttemptOutcome::ConnectFailed)
        } else if has_capacity {
            (ANSWER_MS, AttemptOutcome::Answered)
        } else {
            (LATE_ANSWER_MS, AttemptOutcome::Answered)
        };
        let sent = SentAttempt { id, attempt, endpoint, outcome, sent_at_ms: now_ms };
        self.schedule(now_ms + duration_ms, node, FleetEvent::AttemptEnd(sent));
        if is_restarted {
            let node_notified = self.notified_nodes[node];
            self.sent_to_restarted.push(SentToRestarted { at_ms: now_ms, node_notified });
        } else if now_ms >= self.end_ms() - LAST_PART_MS {
            self.sent_to_warm_count += 1;
        }
    }

    fn figures(&self) -> Figures {
        let last_part_start_ms = self.end_ms() - LAST_PART_MS;
        let in_last_part = self.sent_to_restarted.iter().filter(|sent| sent.at_ms >= last_part_start_ms);
        let departed = self.fleet.departure.map_or(0, |departure| departure.endpoints);
        let remaining_endpoints = (self.fleet.warm_endpoints - departed) as f64;
        Figures {
            excess_requests: self.excess_requests(),
            restarted_requests: in_last_part.count() as f64,
            warm_requests: self.sent_to_warm_count as f64 / remaining_endpoints.max(1.0),
        }
    }

    /// Returns by how many requests the worst overload window exceeds the allowed number and the tolerance for random
    /// variation, which is two standard deviations and two requests.
    fn excess_requests(&self) -> f64 {
        let mut excess = f64::NEG_INFINITY;
        for (index, last) in self.sent_to_restarted.iter().enumerate() {
            let window_start_ms = last.at_ms - self.settings.overload_window_ms;
            let before = self.sent_to_restarted[..=index].iter().rev();
            let window: Vec<_> = before.take_while(|sent| sent.at_ms > window_start_ms).collect();
            let sent_by_notified = window.iter().filter(|sent| sent.node_notified).count();
            let allowed = allowed_per_window(&self.settings, self.fleet.capacity_per_second, last.at_ms);
            // Nodes that have not learned of the restart cannot limit their rate: a window counts only if more than two
            // thirds of its requests are from nodes that have.
            if 3 * sent_by_notified > 2 * window.len() {
                excess = excess.max(window.len() as f64 - allowed - 2.0 * allowed.sqrt() - 2.0);
            }
        }
        excess
    }
}

/// Returns a balancer that has started and has an endpoint list, and the actions that it has returned.
fn start_balancer(
    settings: &Settings,
    seed: u64,
    endpoints: Vec<EndpointUpdate>,
) -> (Balancer, Vec<Action>) {
    let mut balancer = Balancer::new(settings.clone(), seed).unwrap();
    let mut actions = Vec::new();
    balancer.handle(0.0, Event::Start, &mut actions);
    let list = Event::EndpointsChanged { update: WatchUpdate::Snapshot, endpoints };
    balancer.handle(0.0, list, &mut actions);
    (balancer, actions)
}

/// Returns a key whose first candidate is the restarted endpoint. Tries keys on new balancers until one sends the
/// request there.
fn find_hot_key(fleet: &Fleet) -> u64 {
    let restarting_endpoint = active_endpoint(1).endpoint;
    let is_sent_there = |key: &u64| {
        let (mut balancer, _) = start_balancer(&fleet.settings(), 1, fleet.endpoints());
        let mut actions = Vec::new();
        balancer.handle(1.0, Event::Request(request(1, *key, DEADLINE_MS)), &mut actions);
        matches!(actions[..], [Action::SendAttempt { endpoint, .. }, ..] if endpoint == restarting_endpoint)
    };
    (0..).find(is_sent_there).unwrap()
}

fn request(number: u64, key: u64, deadline_ms: f64) -> Request {
    Request {
        id: RequestId(number),
        class: 0,
        key: Some(key),
        deadline_ms,
        estimated_cost_ms: None,
        queued_ms: 0.0,
        is_retry: false,
    }
}

fn attempt_ended(now_ms: f64, sent: &SentAttempt) -> Event {
    Event::AttemptEnded {
        id: sent.id,
        attempt: sent.attempt,
        endpoint: sent.endpoint,
        outcome: sent.outcome,
        request_finished: sent.outcome == AttemptOutcome::Answered,
        elapsed_ms: now_ms - sent.sent_at_ms,
        load: LoadReport::default(),
    }
}

fn simulate(fleet: &Fleet, seed: u64) -> Figures {
    Simulation::new(fleet, seed).run()
}

/// A fleet, and its name in failure messages.
struct Case {
    name: &'static str,
    fleet: Fleet,
}

/// Returns the fleet without further events, and with each kind of event and traffic that could increase the load on
/// the restarted endpoint.
fn cases_of(fleet: &Fleet) -> Vec<Case> {
    let base = || fleet.clone();
    let departure = |at_ms, endpoints| Some(Departure { at_ms, endpoints });
    let all = fleet.warm_endpoints;
    let burst = Burst { from_ms: 8000.0, length_ms: 3000.0, factor: 4.0 };
    let absence = Absence { length_ms: 3000.0, list_delay_ms: 2000.0 };
    let case = |name, fleet| Case { name, fleet };
    vec![
        case("no other event", base()),
        case("a hot key", Fleet { hot_share: 0.3, ..base() }),
        case("a burst", Fleet { burst: Some(burst), ..base() }),
        case("most other endpoints leave", Fleet { departure: departure(6000.0, all * 2 / 3), ..base() }),
        case("all other endpoints leave early", Fleet { departure: departure(500.0, all), ..base() }),
        case("all other endpoints leave late", Fleet { departure: departure(12_000.0, all), ..base() }),
        case(
            "all other endpoints leave late, under high load",
            Fleet { departure: departure(12_000.0, all), load: 0.9, overload_multiple: 1.5, ..base() },
        ),
        case(
            "all other endpoints but one leave",
            Fleet { departure: departure(300.0, all - 1), load: 0.9, overload_multiple: 1.5, ..base() },
        ),
        case("half of the nodes are down", Fleet { nodes: fleet.nodes / 2, ..base() }),
        case(
            "connections succeed before the list reports the restart",
            Fleet { absence: Some(absence), ..base() },
        ),
        case("high load, low overload multiple", Fleet { overload_multiple: 1.5, load: 0.9, ..base() }),
        case("all endpoints start at once", Fleet { all_start_at_once: true, ..base() }),
        case(
            "all endpoints start at once, overloaded",
            Fleet { all_start_at_once: true, load: 1.5, ..base() },
        ),
        case(
            "all endpoints start at once, low capacity",
            Fleet { all_start_at_once: true, capacity_per_second: 5.0, ..base() },
        ),
        case(
            "a long overload window and a hot key",
            Fleet { overload_window_ms: 3000.0, hot_share: 0.2, ..base() },
        ),
    ]
}

/// Returns fleets of few nodes, each of which sends a large part of the traffic.
fn cases_of_few_nodes() -> Vec<Case> {
    let fleet = |nodes| Fleet {
        nodes,
        configured_nodes: nodes,
        load: 0.9,
        overload_multiple: 1.5,
        overload_window_ms: 500.0,
        ..FLEET
    };
    [2, 6, 20, 30].map(|nodes| Case { name: "few nodes", fleet: fleet(nodes) }).into()
}

/// Guards against slow-start budgets that are right for one node but whose sum over all nodes overloads the restarted
/// endpoint, for example when the other endpoints leave and their traffic moves to it.
#[test]
fn all_nodes_together_do_not_overload_a_restarted_endpoint() {
    let cases = [cases_of(&FLEET), cases_of_few_nodes(), cases_of(&LARGE_FLEET)];
    for Case { name, fleet } in cases.iter().flatten() {
        for seed in 1..=if fleet.nodes < 100 { 2 } else { 1 } {
            let excess = simulate(fleet, seed).excess_requests;
            assert!(
                excess <= 0.0,
                "{name}, {} nodes, seed {seed}: {excess:.1} requests too many in one window",
                fleet.nodes
            );
        }
    }
}

/// Guards against a slow start that keeps a fleet nearly closed when all endpoints are new: no warm endpoint shows how
/// much load is usual.
#[test]
fn a_fleet_whose_endpoints_all_start_at_once_serves() {
    for nodes in [2, 6, 25] {
        let all_new = Fleet { nodes, configured_nodes: nodes, all_start_at_once: true, ..FLEET };
        let all_warm_but_one = Fleet { all_start_at_once: false, ..all_new.clone() };
        let (restarted, warm) =
            (simulate(&all_new, 1).restarted_requests, simulate(&all_warm_but_one, 1).warm_requests);
        assert!(restarted > 0.5 * warm, "{nodes} nodes: {restarted} requests, a warm endpoint gets {warm}");
    }
}

/// Guards against a slow start that is too cautious: the restarted endpoint must get a good part of a warm one's
/// traffic by the end of its slow start.
#[test]
fn a_restarted_endpoint_warms_up_and_serves() {
    for (fleet, min_share) in [(FLEET, 0.25), (LARGE_FLEET, 0.15)] {
        let figures: Vec<Figures> = (1..=6).map(|seed| simulate(&fleet, seed)).collect();
        let restarted: f64 = figures.iter().map(|figures| figures.restarted_requests).sum();
        let warm: f64 = figures.iter().map(|figures| figures.warm_requests).sum();
        assert!(
            restarted > min_share * warm,
            "{} nodes: {restarted} requests, warm endpoints get {warm}",
            fleet.nodes
        );
    }
}
