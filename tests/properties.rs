//! Random event sequences; the node in `common` asserts the four rules at every action.
mod common;

use common::{TestNode, active_endpoint, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wheelpath::policy::*;

#[derive(Debug, Clone)]
enum Step {
    Request(usize, Option<u64>, f64),
    EndAttempt(usize, AttemptOutcome),
    DisconnectClient(usize),
    Wait(f64),
    ApplyList(WatchUpdate, Vec<(u64, EndpointState, bool)>),
    SetDisabled(usize, bool),
    StartResponse(usize),
    CompleteBody(usize),
    UnknownIds(u64),
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        4 => Just(AttemptOutcome::Answered),
        1 => Just(AttemptOutcome::ErrorResponse),
        1 => Just(AttemptOutcome::Rejected),
        1 => Just(AttemptOutcome::TimedOut),
        1 => Just(AttemptOutcome::ConnectFailed),
        1 => Just(AttemptOutcome::ConnectionReset),
        1 => Just(AttemptOutcome::Cancelled),
        1 => Just(AttemptOutcome::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![3 => Just(EndpointState::Active), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)];
    let kind = prop_oneof![
        4 => Just(WatchUpdate::Delta),
        1 => Just(WatchUpdate::Snapshot),
        1 => Just(WatchUpdate::CachedSnapshot),
        1 => Just(WatchUpdate::Failure)
    ];
    prop_oneof![
        8 => (0_usize..7, proptest::option::of(0_u64..20), 0.0..1200.0).prop_map(|(c, k, d)| Step::Request(c, k, d)),
        8 => (any::<usize>(), outcome()).prop_map(|(n, o)| Step::EndAttempt(n, o)),
        1 => any::<usize>().prop_map(Step::DisconnectClient),
        3 => (0.0..400.0).prop_map(Step::Wait),
        1 => (kind, proptest::collection::vec((1_u64..12, state, any::<bool>()), 0..8))
            .prop_map(|(k, e)| Step::ApplyList(k, e)),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(n, out)| Step::SetDisabled(n, out)),
        1 => any::<usize>().prop_map(Step::StartResponse),
        1 => any::<usize>().prop_map(Step::CompleteBody),
        1 => any::<u64>().prop_map(Step::UnknownIds),
    ]
}

#[expect(clippy::too_many_lines, reason = "one short arm for each kind of step")]
fn play(s: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut node = TestNode::with_endpoints(s, seed, 6);
    for step in steps {
        let open: Vec<RequestId> = node
            .requests
            .iter()
            .filter(|(_, a)| a.attempts.iter().any(|t| t.outcome.is_none()))
            .map(|(i, _)| *i)
            .collect();
        let nth = |n: usize| open.get(n % open.len().max(1)).copied();
        match step {
            Step::Request(c, k, d) => {
                node.request_with_deadline(*c, *k, *d);
            }
            Step::EndAttempt(n, o) => {
                if let Some(id) = nth(*n) {
                    node.end_attempt(id, *o);
                }
            }
            Step::DisconnectClient(n) => {
                if let Some(id) = nth(*n) {
                    node.disconnect_client(id);
                }
            }
            Step::Wait(ms) => node.wait(*ms),
            Step::ApplyList(WatchUpdate::Failure, _) => {
                node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] })
            }
            Step::ApplyList(kind, endpoints) => {
                let now = node.now_ms;
                let endpoints = (endpoints.iter())
                    .map(|(n, state, fresh)| EndpointUpdate {
                        state: *state,
                        started_at_ms: if *fresh { now } else { 0.0 },
                        ..active_endpoint(*n)
                    })
                    .collect();
                node.apply_list(*kind, endpoints);
            }
            Step::SetDisabled(n, out) => {
                let listed: Vec<_> = node.listed.keys().copied().collect();
                if let Some(endpoint) = listed.get(n % listed.len().max(1)) {
                    node.set_disabled(*endpoint, *out);
                }
            }
            Step::StartResponse(n) => {
                if let Some(id) = nth(*n) {
                    node.start_response(id);
                }
            }
            Step::CompleteBody(n) => {
                let unanswered: Vec<_> =
                    node.requests.iter().filter(|(_, a)| a.answer.is_none()).map(|(id, _)| *id).collect();
                if let Some(id) = unanswered.get(n % unanswered.len().max(1)) {
                    node.complete_body(*id);
                }
            }
            Step::UnknownIds(n) => {
                // Events for what this node does not know are ignored.
                node.feed(Event::Timer(n.wrapping_add(100)));
                node.feed(Event::ClientDisconnected(RequestId(n | 1 << 40)));
                node.feed(Event::ProbeEnded {
                    endpoint: EndpointId(*n),
                    outcome: AttemptOutcome::Answered,
                    elapsed_ms: 1.0,
                    load: LoadReport::default(),
                });
                node.feed(Event::AttemptEnded {
                    id: RequestId(n | 1 << 40),
                    attempt: 0,
                    endpoint: EndpointId(*n),
                    outcome: AttemptOutcome::Answered,
                    request_finished: false,
                    elapsed_ms: f64::NAN,
                    load: LoadReport::default(),
                });
            }
        }
    }
    node.wait(3000.0);
    for (id, a) in &node.requests {
        assert!(a.answer.is_some(), "rule 1: {id:?} was never answered");
    }
    node.trace
}

fn runner() -> TestRunner {
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[test]
fn the_rules_hold_and_the_same_events_give_the_same_actions() {
    let input = (any::<u64>(), any::<[bool; 3]>(), proptest::collection::vec(step(), 1..120));
    runner()
        .run(&input, |(seed, [copies, warm, asked], steps)| {
            let discovery = if asked { DiscoveryMode::Poll } else { DiscoveryMode::Push };
            let s = Settings { hedging_allowed: copies, warm_keys: warm, discovery, ..settings() };
            let first = play(s.clone(), seed, &steps);
            assert_eq!(first, play(s, seed, &steps));
            Ok(())
        })
        .expect("a sequence that breaks a rule");
}
