//! A restarted endpoint under the sum of what all nodes of a fleet send: many balancers, one list, seeded arrivals.
//!
//! An endpoint answers at once up to the rate that it can serve, and late beyond. What the nodes send the restarted one
//! is compared with what the settings allow.
mod common;

use common::{active_endpoint, settings};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use wheelpath::policy::{
    Action, AttemptOutcome, Balancer, EndpointId, EndpointState, EndpointUpdate, Event, Idempotency,
    LoadReport, LoadReporting, Request, RequestId, Settings, WatchUpdate,
};

/// How long an answer takes, and how long beyond what its endpoint can serve: longer than the objective.
const ANSWER_MS: f64 = 60.0;
const LATE_ANSWER_MS: f64 = 800.0;
/// How long a connection takes to fail.
const CONNECT_FAILURE_MS: f64 = 1.0;
/// When the endpoint that is watched restarts.
const RESTART_MS: f64 = 12_000.0;
/// The end of the slow start, in which what endpoints get is compared.
const LAST_PART_MS: f64 = 2000.0;
/// What an endpoint can serve is saved up for so long.
const SAVED_CAPACITY_MS: f64 = 500.0;
/// Each node's first timers are spread over this time.
const TIMER_SPREAD_MS: f64 = 100.0;
const DEADLINE_MS: f64 = 1000.0;
const KEYS: u64 = 800;

/// A time in which more requests come.
#[derive(Clone, Copy)]
struct Burst {
    /// From when after the restart, and for how long.
    from_ms: f64,
    length_ms: f64,
    factor: f64,
}

/// Other endpoints leave.
#[derive(Clone, Copy)]
struct Departure {
    /// When after the restart.
    at_ms: f64,
    endpoints: u64,
}

/// The restarted endpoint is away before.
#[derive(Clone, Copy)]
struct Absence {
    length_ms: f64,
    /// How late nodes hear of the restart, at most.
    list_delay_ms: f64,
}

/// A fleet and what happens to it.
#[derive(Clone)]
struct Fleet {
    nodes: u32,
    /// The number of nodes in the settings.
    configured_nodes: u32,
    /// Endpoints beside the one that restarts.
    warm_endpoints: u64,
    /// Offered work, as a part of what all endpoints can serve.
    load: f64,
    departure: Option<Departure>,
    /// Part of the requests that are for one key, whose first candidate is the restarted endpoint.
    hot_share: f64,
    burst: Option<Burst>,
    absence: Option<Absence>,
    /// All endpoints start when the watched one does, and no request came before.
    all_start_at_once: bool,
    overload_multiple: f64,
    overload_window_ms: f64,
    /// What a warm endpoint can serve, in requests a second.
    capacity: f64,
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
    capacity: 12.0,
};

/// Hundreds of nodes before some more endpoints.
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

    /// The list that tells of the restart.
    fn restart_list(&self) -> Vec<EndpointUpdate> {
        let restarted = |endpoint| EndpointUpdate { started_at_ms: RESTART_MS, ..endpoint };
        if self.all_start_at_once {
            self.endpoints().into_iter().map(restarted).collect()
        } else {
            vec![restarted(active_endpoint(1))]
        }
    }

    /// The list that tells of the departure.
    fn departure_list(&self) -> Vec<EndpointUpdate> {
        let Some(departure) = self.departure.filter(|_| !self.all_start_at_once) else {
            return self.restart_list();
        };
        let removed = |n| EndpointUpdate { state: EndpointState::Removed, ..active_endpoint(n) };
        (2..2 + departure.endpoints).map(removed).collect()
    }

    /// By how much more requests come at this time.
    fn burst_factor(&self, now_ms: f64) -> f64 {
        let is_now = |burst: &Burst| {
            let from_ms = RESTART_MS + burst.from_ms;
            (from_ms..from_ms + burst.length_ms).contains(&now_ms)
        };
        self.burst.filter(is_now).map_or(1.0, |burst| burst.factor)
    }

    fn is_absent(&self, now_ms: f64) -> bool {
        self.absence.is_some_and(|absence| (RESTART_MS - absence.length_ms..RESTART_MS).contains(&now_ms))
    }
}

/// What the settings allow a restarted endpoint in one window, in requests of mean work.
fn allowed_per_window(settings: &Settings, capacity: f64, now_ms: f64) -> f64 {
    let warmed = ((now_ms - RESTART_MS) / settings.slow_start_ms).clamp(0.0, 1.0);
    let initial = settings.slow_start_initial_capacity;
    let share = initial + (1.0 - initial) * warmed;
    settings.overload_multiple * share * capacity * settings.overload_window_ms / 1000.0
}

/// An attempt that an endpoint will end.
#[derive(Clone, Copy)]
struct SentAttempt {
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    outcome: AttemptOutcome,
    sent_at_ms: f64,
}

/// What is due.
#[derive(Clone, Copy)]
enum Due {
    Timer {
        token: u64,
    },
    AttemptEnd(SentAttempt),
    /// The next request of any client comes.
    Arrival,
    /// A node hears of the restart.
    RestartList,
    /// A node hears of the departure.
    DepartureList,
}

/// What is due at a node, and when.
struct Scheduled {
    at_ms: f64,
    /// Of things due at once the one that was scheduled first comes first.
    number: u64,
    node: usize,
    due: Due,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.number.cmp(&other.number))
    }
}

/// What an endpoint can serve at this moment, in requests.
#[derive(Default)]
struct SavedCapacity {
    requests: f64,
    updated_at_ms: f64,
}

impl SavedCapacity {
    /// Uses up one request's worth, if that is there; `per_ms` is what comes in.
    fn take(&mut self, now_ms: f64, per_ms: f64) -> bool {
        let saved = self.requests + (now_ms - self.updated_at_ms) * per_ms;
        self.requests = saved.min((per_ms * SAVED_CAPACITY_MS).max(1.0));
        self.updated_at_ms = now_ms;
        let is_there = self.requests >= 1.0;
        self.requests -= f64::from(u8::from(is_there));
        is_there
    }
}

/// A request that the restarted endpoint got.
struct SentToRestarted {
    at_ms: f64,
    /// Its node had heard of the restart.
    is_notified: bool,
}

/// What was sent.
struct Figures {
    /// The most that was sent in one window beyond what is allowed and what is put down to chance.
    excess: f64,
    /// What the restarted endpoint got in the last part of its slow start.
    restarted: f64,
    /// What a warm one got then.
    warm: f64,
}

/// The nodes of a fleet, and what is due at them.
struct Simulation<'a> {
    fleet: &'a Fleet,
    settings: Settings,
    rng: fastrand::Rng,
    nodes: Vec<Balancer>,
    /// Which nodes have heard of the restart.
    is_notified: Vec<bool>,
    /// The part of the traffic that a node gets; some get several times the mean.
    traffic: Vec<f64>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    hot_key: u64,
    requests: u64,
    attempts: HashMap<RequestId, u32>,
    capacities: HashMap<EndpointId, SavedCapacity>,
    sent_to_restarted: Vec<SentToRestarted>,
    sent_to_warm: u64,
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, seed: u64) -> Simulation<'a> {
        let mut simulation = Simulation {
            fleet,
            settings: fleet.settings(),
            rng: fastrand::Rng::with_seed(seed),
            nodes: Vec::new(),
            is_notified: vec![false; fleet.nodes as usize],
            traffic: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled: 0,
            hot_key: key_of_restarted(fleet),
            requests: 0,
            attempts: HashMap::new(),
            capacities: HashMap::new(),
            sent_to_restarted: Vec::new(),
            sent_to_warm: 0,
        };
        for node in 0..fleet.nodes as usize {
            simulation.start_node(node, seed);
        }
        let traffic = (0..fleet.nodes).map(|_| 0.3 + simulation.rng.f64() * 1.4).collect();
        simulation.traffic = traffic;
        let first_arrival_ms = if fleet.all_start_at_once { RESTART_MS } else { 0.0 };
        simulation.schedule(first_arrival_ms, 0, Due::Arrival);
        simulation
    }

    fn start_node(&mut self, node: usize, seed: u64) {
        let endpoints = if self.fleet.all_start_at_once { Vec::new() } else { self.fleet.endpoints() };
        let seed = seed * 1000 + node as u64;
        let (balancer, actions) = started_node(&self.settings, seed, endpoints);
        self.nodes.push(balancer);
        for action in actions {
            if let Action::Timer { token, at_ms } = action {
                let at_ms = at_ms + self.rng.f64() * TIMER_SPREAD_MS;
                self.schedule(at_ms, node, Due::Timer { token });
            }
        }
        let delay_ms = self.fleet.absence.map_or(0.0, |absence| absence.list_delay_ms * self.rng.f64());
        self.schedule(RESTART_MS + delay_ms, node, Due::RestartList);
        if let Some(departure) = self.fleet.departure {
            self.schedule(RESTART_MS + departure.at_ms, node, Due::DepartureList);
        }
    }

    fn schedule(&mut self, at_ms: f64, node: usize, due: Due) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at_ms, number: self.scheduled, node, due }));
    }

    fn end_ms(&self) -> f64 {
        RESTART_MS + self.settings.slow_start_ms
    }

    fn run(mut self) -> Figures {
        while let Some(Reverse(Scheduled { at_ms, node, due, .. })) = self.queue.pop() {
            if at_ms > self.end_ms() {
                break;
            }
            self.handle(at_ms, node, due);
        }
        self.figures()
    }

    fn handle(&mut self, now_ms: f64, node: usize, due: Due) {
        match due {
            Due::Timer { token } => self.feed(now_ms, node, Event::Timer(token)),
            Due::AttemptEnd(sent) => self.feed(now_ms, node, attempt_ended(now_ms, &sent)),
            Due::Arrival => self.arrive(now_ms),
            Due::RestartList => self.apply_list(now_ms, node, self.fleet.restart_list()),
            Due::DepartureList => self.apply_list(now_ms, node, self.fleet.departure_list()),
        }
    }

    fn apply_list(&mut self, now_ms: f64, node: usize, endpoints: Vec<EndpointUpdate>) {
        self.is_notified[node] = true;
        let update = WatchUpdate::Delta;
        self.feed(now_ms, node, Event::EndpointsChanged { update, endpoints });
    }

    /// A request comes to a node by its part of the traffic, and the next arrival is drawn.
    fn arrive(&mut self, now_ms: f64) {
        let endpoints = (self.fleet.warm_endpoints + 1) as f64;
        let per_ms = self.fleet.load * self.fleet.capacity * endpoints / 1000.0;
        let rate = per_ms * self.fleet.burst_factor(now_ms);
        let gap_ms = -self.rng.f64().max(1e-12).ln() / rate;
        self.schedule(now_ms + gap_ms, 0, Due::Arrival);
        let node = self.draw_node();
        self.requests += 1;
        let is_hot = self.rng.f64() < self.fleet.hot_share;
        let key = if is_hot { self.hot_key } else { self.rng.u64(..KEYS) };
        let request = request(self.requests, key, now_ms + DEADLINE_MS);
        self.feed(now_ms, node, Event::Request(request));
    }

    fn draw_node(&mut self) -> usize {
        let total: f64 = self.traffic.iter().sum();
        let mut draw = self.rng.f64() * total;
        let is_drawn = |part: &f64| {
            draw -= part;
            draw < 0.0
        };
        self.traffic.iter().position(is_drawn).unwrap_or(0)
    }

    fn feed(&mut self, now_ms: f64, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].handle(now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Timer { token, at_ms } => self.schedule(at_ms, node, Due::Timer { token }),
                Action::SendAttempt { id, endpoint, .. } => self.send(now_ms, node, id, endpoint),
                _ => {}
            }
        }
    }

    /// Sends an attempt: its endpoint answers in time as far as it can serve.
    fn send(&mut self, now_ms: f64, node: usize, id: RequestId, endpoint: EndpointId) {
        let number = self.attempts.entry(id).or_default();
        let attempt = *number;
        *number += 1;
        let is_watched = endpoint == active_endpoint(1).endpoint;
        let is_restarted = is_watched && now_ms >= RESTART_MS;
        let per_ms = if is_restarted {
            let allowed = allowed_per_window(&self.settings, self.fleet.capacity, now_ms);
            allowed / self.settings.overload_multiple / self.settings.overload_window_ms
        } else {
            self.fleet.capacity / 1000.0
        };
        let has_capacity = self.capacities.entry(endpoint).or_default().take(now_ms, per_ms);
        let (takes_ms, outcome) = if is_watched && self.fleet.is_absent(now_ms) {
            (CONNECT_FAILURE_MS, AttemptOutcome::ConnectFailed)
        } else if has_capacity {
            (ANSWER_MS, AttemptOutcome::Answered)
        } else {
            (LATE_ANSWER_MS, AttemptOutcome::Answered)
        };
        let sent = SentAttempt { id, attempt, endpoint, outcome, sent_at_ms: now_ms };
        self.schedule(now_ms + takes_ms, node, Due::AttemptEnd(sent));
        if is_restarted {
            let is_notified = self.is_notified[node];
            self.sent_to_restarted.push(SentToRestarted { at_ms: now_ms, is_notified });
        } else if now_ms >= self.end_ms() - LAST_PART_MS {
            self.sent_to_warm += 1;
        }
    }

    fn figures(&self) -> Figures {
        let last_part_ms = self.end_ms() - LAST_PART_MS;
        let in_last_part = self.sent_to_restarted.iter().filter(|sent| sent.at_ms >= last_part_ms);
        let departed = self.fleet.departure.map_or(0, |departure| departure.endpoints);
        let staying = (self.fleet.warm_endpoints - departed) as f64;
        Figures {
            excess: self.excess(),
            restarted: in_last_part.count() as f64,
            warm: self.sent_to_warm as f64 / staying.max(1.0),
        }
    }

    /// The most that was sent in one window beyond what is allowed and two deviations of chance.
    fn excess(&self) -> f64 {
        let mut excess = f64::NEG_INFINITY;
        for (index, last) in self.sent_to_restarted.iter().enumerate() {
            let from_ms = last.at_ms - self.settings.overload_window_ms;
            let before = self.sent_to_restarted[..=index].iter().rev();
            let window: Vec<_> = before.take_while(|sent| sent.at_ms > from_ms).collect();
            let notified = window.iter().filter(|sent| sent.is_notified).count();
            let allowed = allowed_per_window(&self.settings, self.fleet.capacity, last.at_ms);
            // Nodes that have not heard of the restart are not to blame for what they send.
            if 3 * notified > 2 * window.len() {
                excess = excess.max(window.len() as f64 - allowed - 2.0 * allowed.sqrt() - 2.0);
            }
        }
        excess
    }
}

/// A node that has started with a list, and the actions that it asked for.
fn started_node(settings: &Settings, seed: u64, endpoints: Vec<EndpointUpdate>) -> (Balancer, Vec<Action>) {
    let mut balancer = Balancer::new(settings.clone(), seed).unwrap();
    let mut actions = Vec::new();
    balancer.handle(0.0, Event::Start, &mut actions);
    let list = Event::EndpointsChanged { update: WatchUpdate::Snapshot, endpoints };
    balancer.handle(0.0, list, &mut actions);
    (balancer, actions)
}

/// A key that has the restarted endpoint as its first candidate, found by where a node of its own sends it.
fn key_of_restarted(fleet: &Fleet) -> u64 {
    let watched = active_endpoint(1).endpoint;
    let is_sent_there = |key: &u64| {
        let (mut balancer, _) = started_node(&fleet.settings(), 1, fleet.endpoints());
        let mut actions = Vec::new();
        balancer.handle(1.0, Event::Request(request(1, *key, DEADLINE_MS)), &mut actions);
        matches!(actions[..], [Action::SendAttempt { endpoint, .. }, ..] if endpoint == watched)
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

fn play(fleet: &Fleet, seed: u64) -> Figures {
    Simulation::new(fleet, seed).run()
}

/// A fleet and what is to be said of it where it fails.
struct Case {
    name: &'static str,
    fleet: Fleet,
}

fn cases_of(fleet: &Fleet) -> Vec<Case> {
    let base = || fleet.clone();
    let leave = |at_ms, endpoints| Some(Departure { at_ms, endpoints });
    let all = fleet.warm_endpoints;
    let burst = Burst { from_ms: 8000.0, length_ms: 3000.0, factor: 4.0 };
    let absence = Absence { length_ms: 3000.0, list_delay_ms: 2000.0 };
    let case = |name, fleet| Case { name, fleet };
    vec![
        case("no other event", base()),
        case("a hot key", Fleet { hot_share: 0.3, ..base() }),
        case("a burst", Fleet { burst: Some(burst), ..base() }),
        case("most others leave", Fleet { departure: leave(6000.0, all * 2 / 3), ..base() }),
        case("all others leave early", Fleet { departure: leave(500.0, all), ..base() }),
        case("all others leave late", Fleet { departure: leave(12_000.0, all), ..base() }),
        case(
            "all others leave late, under load",
            Fleet { departure: leave(12_000.0, all), load: 0.9, overload_multiple: 1.5, ..base() },
        ),
        case(
            "all others but one leave",
            Fleet { departure: leave(300.0, all - 1), load: 0.9, overload_multiple: 1.5, ..base() },
        ),
        case("half of the nodes are down", Fleet { nodes: fleet.nodes / 2, ..base() }),
        case("back while the list is late", Fleet { absence: Some(absence), ..base() }),
        case("little room above its usual rate", Fleet { overload_multiple: 1.5, load: 0.9, ..base() }),
        case("all start at once", Fleet { all_start_at_once: true, ..base() }),
        case("all start at once, overloaded", Fleet { all_start_at_once: true, load: 1.5, ..base() }),
        case("all start at once, small", Fleet { all_start_at_once: true, capacity: 5.0, ..base() }),
        case("a long window", Fleet { overload_window_ms: 3000.0, hot_share: 0.2, ..base() }),
    ]
}

/// Few nodes, each of which sends a large part.
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

#[test]
fn all_nodes_together_do_not_overload_a_restarted_endpoint() {
    let cases = [cases_of(&FLEET), cases_of_few_nodes(), cases_of(&LARGE_FLEET)];
    for Case { name, fleet } in cases.iter().flatten() {
        for seed in 1..=if fleet.nodes < 100 { 2 } else { 1 } {
            let excess = play(fleet, seed).excess;
            assert!(excess <= 0.0, "{name}, {} nodes, seed {seed}: {excess:.1} too many", fleet.nodes);
        }
    }
}

#[test]
fn a_fleet_whose_endpoints_all_start_at_once_serves() {
    for nodes in [2, 6, 25] {
        let opening = Fleet { nodes, configured_nodes: nodes, all_start_at_once: true, ..FLEET };
        let usual = Fleet { all_start_at_once: false, ..opening.clone() };
        let (restarted, warm) = (play(&opening, 1).restarted, play(&usual, 1).warm);
        assert!(restarted > 0.5 * warm, "{nodes} nodes: {restarted} of {warm}");
    }
}

#[test]
fn a_restarted_endpoint_warms_up_and_serves() {
    for (fleet, least) in [(FLEET, 0.25), (LARGE_FLEET, 0.15)] {
        let figures: Vec<Figures> = (1..=6).map(|seed| play(&fleet, seed)).collect();
        let restarted: f64 = figures.iter().map(|figures| figures.restarted).sum();
        let warm: f64 = figures.iter().map(|figures| figures.warm).sum();
        assert!(restarted > least * warm, "{} nodes: {restarted} of {warm}", fleet.nodes);
    }
}
