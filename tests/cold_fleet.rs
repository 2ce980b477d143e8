//! Cold endpoints under the sum of what all nodes of a fleet send: many balancers, one list, seeded arrivals. An endpoint
//! answers at once up to the rate that it can do, late beyond, and what is counted is what the nodes send.
mod common;

use common::{active_endpoint, settings};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use wheelpath::policy::Balancer;
use wheelpath::policy::*;

/// How long an answer takes, and one beyond what its endpoint can do: past the aim.
const ANSWER_MS: f64 = 60.0;
const LATE_MS: f64 = 800.0;
/// When the endpoint that is watched starts anew.
const START: f64 = 12_000.0;

/// A fleet and what happens to it.
#[derive(Clone)]
struct Fleet {
    nodes: u32,
    /// Nodes that the settings tell of.
    told_nodes: u32,
    warm: u64,
    /// Offered work by what all endpoints can do together.
    load: f64,
    /// When, after the start of the cold one, others leave, and how many.
    leave: Option<(f64, u64)>,
    /// Part of the requests that are for one key whose candidate is the cold endpoint.
    hot: f64,
    /// Requests offered in a burst: from when, for how long, by which factor.
    burst: Option<(f64, f64, f64)>,
    /// For how long before its start the cold endpoint is away, and how late nodes hear of it at the most.
    away: Option<(f64, f64)>,
    /// All endpoints start when the cold one does, and nobody has asked for anything before.
    opening: bool,
    multiple: f64,
    overload_window_ms: f64,
    /// What a warm endpoint can do, in requests a second.
    cap: f64,
}

const FLEET: Fleet = Fleet {
    nodes: 25,
    told_nodes: 25,
    warm: 10,
    load: 0.6,
    leave: None,
    hot: 0.0,
    burst: None,
    away: None,
    opening: false,
    multiple: 3.0,
    overload_window_ms: 1000.0,
    cap: 12.0,
};

/// Hundreds of nodes, before many more endpoints than a few have.
const LARGE: Fleet = Fleet { nodes: 300, told_nodes: 300, warm: 30, ..FLEET };

struct Seen {
    /// The most that was sent in one window beyond what is allowed and what is put down to chance.
    over: f64,
    /// What the cold endpoint got in the last two seconds of its cold time.
    late: f64,
    /// What a warm one got then.
    warm: f64,
}

#[derive(Clone, Copy)]
enum What {
    Timer(u64),
    Answer(RequestId, EndpointId, AttemptOutcome, f64),
    Arrival,
    List(u8),
}

struct Due(f64, u64, usize, What);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// What the settings allow a cold endpoint of that age in one window, in requests of mean work.
fn allowed(s: &Settings, cap: f64, now: f64) -> f64 {
    let age = now - START;
    let part = s.slow_start_initial_capacity
        + (1.0 - s.slow_start_initial_capacity) * (age / s.slow_start_ms).clamp(0.0, 1.0);
    s.overload_multiple * part * cap * s.overload_window_ms / 1000.0
}

#[expect(clippy::too_many_lines, reason = "one simulated day, whose random draws have to keep their order")]
fn play(fleet: &Fleet, seed: u64) -> Seen {
    let s = Settings {
        classes: vec![common::class(500.0, 1000.0, Idempotency::Idempotent)],
        node_count: fleet.told_nodes,
        load_reporting: LoadReporting::Answers,
        overload_window_ms: fleet.overload_window_ms,
        overload_multiple: fleet.multiple,
        slow_start_ms: 20_000.0,
        ..settings()
    };
    let mut rng = fastrand::Rng::with_seed(seed);
    let cold = active_endpoint(1).endpoint;
    let end = START + s.slow_start_ms;
    let mut order = 0;
    let mut due: BinaryHeap<Reverse<Due>> = BinaryHeap::new();
    let mut push = |due: &mut BinaryHeap<Reverse<Due>>, at: f64, node: usize, what: What| {
        order += 1;
        due.push(Reverse(Due(at, order, node, what)));
    };
    let mut nodes: Vec<Balancer> = Vec::new();
    let everyone: Vec<EndpointUpdate> = (1..=fleet.warm + 1).map(active_endpoint).collect();
    let mut out = Vec::new();
    for n in 0..fleet.nodes as usize {
        nodes.push(Balancer::new(s.clone(), seed * 1000 + n as u64).unwrap());
        out.clear();
        nodes[n].handle(0.0, Event::Start, &mut out);
        let endpoints = if fleet.opening { Vec::new() } else { everyone.clone() };
        nodes[n].handle(
            0.0,
            Event::EndpointsChanged { update: WatchUpdate::Snapshot, endpoints },
            &mut out,
        );
        for a in &out {
            if let Action::Timer { token, at_ms } = a {
                push(&mut due, at_ms + rng.f64() * 100.0, n, What::Timer(*token));
            }
        }
        let late = fleet.away.map_or(0.0, |(_, late)| late * rng.f64());
        push(&mut due, START + late, n, What::List(0));
        if let Some((at, _)) = fleet.leave {
            push(&mut due, START + at, n, What::List(1));
        }
    }
    // A key that the cold endpoint is the first candidate of, found by what a node of its own does.
    let hot_key = (0..)
        .find(|key| {
            let mut b = Balancer::new(s.clone(), 1).unwrap();
            let mut out = Vec::new();
            b.handle(0.0, Event::Start, &mut out);
            b.handle(
                0.0,
                Event::EndpointsChanged { update: WatchUpdate::Snapshot, endpoints: everyone.clone() },
                &mut out,
            );
            let request = Request {
                id: RequestId(1),
                class: 0,
                key: Some(*key),
                deadline_ms: 1000.0,
                estimated_cost_ms: None,
                queued_ms: 0.0,
                is_retry: false,
            };
            out.clear();
            b.handle(1.0, Event::Request(request), &mut out);
            matches!(out[..], [Action::SendAttempt { endpoint, .. }, ..] if endpoint == cold)
        })
        .unwrap();
    // Some nodes see several times the mean.
    let weight_meaning: Vec<f64> = (0..nodes.len()).map(|_| 0.3 + rng.f64() * 1.4).collect();
    let total: f64 = weight_meaning.iter().sum();
    let rate = fleet.load * fleet.cap * (fleet.warm + 1) as f64 / 1000.0;
    push(&mut due, if fleet.opening { START } else { 0.0 }, 0, What::Arrival);
    let mut rooms: HashMap<EndpointId, (f64, f64)> = HashMap::new();
    let mut attempts: HashMap<RequestId, u32> = HashMap::new();
    let mut told = vec![false; nodes.len()];
    let (mut sent, mut warm_sent, mut next_id) = (Vec::new(), 0_u64, 0_u64);
    while let Some(Reverse(Due(now, _, node, what))) = due.pop() {
        if now > end {
            break;
        }
        out.clear();
        let mut at = node;
        match what {
            What::Timer(token) => nodes[node].handle(now, Event::Timer(token), &mut out),
            What::Answer(id, endpoint, outcome, sent) => {
                let attempt = attempts[&id] - 1;
                let (last, elapsed_ms, load) =
                    (outcome == AttemptOutcome::Answered, now - sent, LoadReport::default());
                let ended = Event::AttemptEnded {
                    id,
                    attempt,
                    endpoint,
                    outcome,
                    request_finished: last,
                    elapsed_ms,
                    load,
                };
                nodes[node].handle(now, ended, &mut out);
            }
            What::List(n) => {
                told[node] = true;
                let endpoints = match (n, fleet.leave) {
                    _ if fleet.opening => {
                        everyone.iter().map(|e| EndpointUpdate { started_at_ms: START, ..*e }).collect()
                    }
                    (0, _) | (_, None) => {
                        vec![EndpointUpdate { started_at_ms: START, ..active_endpoint(1) }]
                    }
                    (_, Some((_, gone))) => (2..2 + gone)
                        .map(|n| EndpointUpdate { state: EndpointState::Removed, ..active_endpoint(n) })
                        .collect(),
                };
                nodes[node].handle(
                    now,
                    Event::EndpointsChanged { update: WatchUpdate::Delta, endpoints },
                    &mut out,
                );
            }
            What::Arrival => {
                let factor = match fleet.burst {
                    Some((from, long, factor)) if (START + from..START + from + long).contains(&now) => {
                        factor
                    }
                    _ => 1.0,
                };
                push(&mut due, now - rng.f64().max(1e-12).ln() / (rate * factor), 0, What::Arrival);
                let mut draw = rng.f64() * total;
                at = weight_meaning
                    .iter()
                    .position(|w| {
                        draw -= w;
                        draw < 0.0
                    })
                    .unwrap_or(0);
                next_id += 1;
                let key = if rng.f64() < fleet.hot { hot_key } else { rng.u64(..800) };
                let request = Request {
                    id: RequestId(next_id),
                    class: 0,
                    key: Some(key),
                    deadline_ms: now + 1000.0,
                    estimated_cost_ms: None,
                    queued_ms: 0.0,
                    is_retry: false,
                };
                nodes[at].handle(now, Event::Request(request), &mut out);
            }
        }
        for action in &out {
            match action {
                Action::Timer { token, at_ms } => push(&mut due, *at_ms, at, What::Timer(*token)),
                Action::SendAttempt { id, endpoint, .. } => {
                    *attempts.entry(*id).or_default() += 1;
                    let cold_now = *endpoint == cold && now >= START;
                    let able = if cold_now {
                        allowed(&s, fleet.cap, now) / s.overload_multiple / s.overload_window_ms
                    } else {
                        fleet.cap / 1000.0
                    };
                    let (room, at_ms) = rooms.entry(*endpoint).or_insert((0.0, 0.0));
                    *room = (*room + (now - *at_ms) * able).min((able * 500.0).max(1.0));
                    *at_ms = now;
                    let away = fleet
                        .away
                        .is_some_and(|(ms, _)| *endpoint == cold && (START - ms..START).contains(&now));
                    let (takes, outcome) = match *room >= 1.0 {
                        _ if away => (1.0, AttemptOutcome::ConnectFailed),
                        true => (ANSWER_MS, AttemptOutcome::Answered),
                        false => (LATE_MS, AttemptOutcome::Answered),
                    };
                    *room -= f64::from(u8::from(*room >= 1.0));
                    push(&mut due, now + takes, at, What::Answer(*id, *endpoint, outcome, now));
                    if cold_now {
                        sent.push((now, told[at]));
                    } else if now >= end - 2000.0 {
                        warm_sent += 1;
                    }
                }
                _ => {}
            }
        }
    }
    let mut over = f64::NEG_INFINITY;
    for (i, (at, _)) in sent.iter().enumerate() {
        let window: Vec<_> =
            sent[..=i].iter().rev().take_while(|(t, _)| *t > at - s.overload_window_ms).collect();
        let by_told = window.iter().filter(|(_, told)| *told).count();
        let n = allowed(&s, fleet.cap, *at);
        // Nobody is to blame for what those send that have not been told.
        if 3 * by_told > 2 * window.len() {
            over = over.max(window.len() as f64 - n - 2.0 * n.sqrt() - 2.0);
        }
    }
    let late = sent.iter().filter(|(t, _)| *t >= end - 2000.0).count() as f64;
    let stay = fleet.warm - fleet.leave.map_or(0, |l| l.1);
    Seen { over, late, warm: warm_sent as f64 / f64::max(stay as f64, 1.0) }
}

fn fleets() -> Vec<(&'static str, Fleet)> {
    let mut all = Vec::new();
    for (few, fleet) in [(true, FLEET), (false, LARGE)] {
        let gone = fleet.warm * 2 / 3;
        all.extend([
            ("calm", fleet.clone()),
            ("a hot key", Fleet { hot: 0.3, ..fleet.clone() }),
            ("a burst", Fleet { burst: Some((8000.0, 3000.0, 4.0)), ..fleet.clone() }),
            ("most others leave", Fleet { leave: Some((6000.0, gone)), ..fleet.clone() }),
            ("it alone is left, early", Fleet { leave: Some((500.0, fleet.warm)), ..fleet.clone() }),
            ("it alone is left, late", Fleet { leave: Some((12_000.0, fleet.warm)), ..fleet.clone() }),
            (
                "it alone is left, late, busy",
                Fleet { leave: Some((12_000.0, fleet.warm)), load: 0.9, multiple: 1.5, ..fleet.clone() },
            ),
            (
                "it and one are left",
                Fleet { leave: Some((300.0, fleet.warm - 1)), load: 0.9, multiple: 1.5, ..fleet.clone() },
            ),
            ("half of the nodes are down", Fleet { nodes: fleet.nodes / 2, ..fleet.clone() }),
            ("back while the list is late", Fleet { away: Some((3000.0, 2000.0)), ..fleet.clone() }),
            ("near its fall at its usual rate", Fleet { multiple: 1.5, load: 0.9, ..fleet.clone() }),
            ("an opening", Fleet { opening: true, ..fleet.clone() }),
            ("an opening with much asked", Fleet { opening: true, load: 1.5, ..fleet.clone() }),
            ("an opening of small ones", Fleet { opening: true, cap: 5.0, ..fleet.clone() }),
            ("a long window", Fleet { overload_window_ms: 3000.0, hot: 0.2, ..fleet.clone() }),
        ]);
        if few {
            all.extend([2, 6, 20, 30].map(|n| {
                (
                    "few",
                    Fleet {
                        nodes: n,
                        told_nodes: n,
                        load: 0.9,
                        multiple: 1.5,
                        overload_window_ms: 500.0,
                        ..fleet.clone()
                    },
                )
            }));
        }
    }
    all
}

#[test]
fn all_nodes_together_keep_a_cold_backend_from_its_fall() {
    for (name, fleet) in fleets() {
        for seed in 1..=if fleet.nodes < 100 { 2 } else { 1 } {
            let seen = play(&fleet, seed);
            assert!(
                seen.over <= 0.0,
                "{name}, {} nodes, seed {seed}: {:.1} too many",
                fleet.nodes,
                seen.over
            );
        }
    }
}

#[test]
fn a_fleet_whose_backends_all_start_at_once_serves() {
    for nodes in [2, 6, 25] {
        let opening = Fleet { nodes, told_nodes: nodes, opening: true, ..FLEET };
        let usual = Fleet { opening: false, ..opening.clone() };
        let (seen, usual) = (play(&opening, 1), play(&usual, 1));
        assert!(seen.late > 0.5 * usual.warm, "{nodes} nodes: {} of {}", seen.late, usual.warm);
    }
}

#[test]
fn a_cold_backend_warms_up_and_serves() {
    for (fleet, least) in [(FLEET, 0.25), (LARGE, 0.15)] {
        let seen: Vec<Seen> = (1..=6).map(|seed| play(&fleet, seed)).collect();
        let (late, warm) = seen.iter().fold((0.0, 0.0), |(l, w), s| (l + s.late, w + s.warm));
        assert!(late > least * warm, "{} nodes: {late} of {warm}", fleet.nodes);
    }
}
