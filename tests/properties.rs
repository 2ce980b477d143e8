//! Feeds random sequences of events to a balancer. The test node in `common` checks after each event that
//! the balancer's actions break none of its rules: each request gets one answer in time; it is sent again
//! only if a repeat is harmless; it is sent only to an endpoint that is in service; and the limits in the
//! settings hold.
mod common;

use common::{TestNode, active_endpoint, settings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use wheelpath::policy::*;

/// One random step of a sequence. An index, modulo the number of candidates, selects a request with an attempt in
/// flight; in `CompleteBody`, it selects an unanswered request, and in `SetDisabled`, an endpoint that a list has
/// contained.
#[derive(Debug, Clone)]
enum Step {
    /// Class, key, and time until the client's deadline in milliseconds.
    Request(usize, Option<u64>, f64),
    EndAttempt(usize, AttemptOutcome),
    DisconnectClient(usize),
    /// Duration in milliseconds.
    Wait(f64),
    /// Each entry holds an endpoint's number, its state, and whether it has just started.
    ApplyList(WatchUpdate, Vec<(u64, EndpointState, bool)>),
    /// Index of the endpoint, and whether operators disable or enable it.
    SetDisabled(usize, bool),
    StartResponse(usize),
    CompleteBody(usize),
    /// Events whose ids the balancer does not know; all are derived from this number.
    UnknownIds(u64),
}

fn any_outcome() -> impl Strategy<Value = AttemptOutcome> {
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

fn any_step() -> impl Strategy<Value = Step> {
    let state = prop_oneof![3 => Just(EndpointState::Active), 1 => Just(EndpointState::Draining), 1 => Just(EndpointState::Removed)];
    let update = prop_oneof![
        4 => Just(WatchUpdate::Delta),
        1 => Just(WatchUpdate::Snapshot),
        1 => Just(WatchUpdate::CachedSnapshot),
        1 => Just(WatchUpdate::Failure)
    ];
    prop_oneof![
        8 => (0_usize..7, proptest::option::of(0_u64..20), 0.0..1200.0)
            .prop_map(|(class, key, deadline_ms)| Step::Request(class, key, deadline_ms)),
        8 => (any::<usize>(), any_outcome()).prop_map(|(index, outcome)| Step::EndAttempt(index, outcome)),
        1 => any::<usize>().prop_map(Step::DisconnectClient),
        3 => (0.0..400.0).prop_map(Step::Wait),
        1 => (update, proptest::collection::vec((1_u64..12, state, any::<bool>()), 0..8))
            .prop_map(|(update, entries)| Step::ApplyList(update, entries)),
        1 => (any::<usize>(), any::<bool>()).prop_map(|(index, disabled)| Step::SetDisabled(index, disabled)),
        1 => any::<usize>().prop_map(Step::StartResponse),
        1 => any::<usize>().prop_map(Step::CompleteBody),
        1 => any::<u64>().prop_map(Step::UnknownIds),
    ]
}

/// Runs the steps on a new balancer and returns all its actions. Panics if an action breaks a rule, or if a
/// request has no answer 3 s after the last step.
#[expect(clippy::too_many_lines, reason = "one short arm for each kind of step")]
fn run_steps(settings: Settings, seed: u64, steps: &[Step]) -> Vec<Action> {
    let mut node = TestNode::with_endpoints(settings, seed, 6);
    for step in steps {
        let in_flight: Vec<RequestId> = node
            .requests
            .iter()
            .filter(|(_, request)| request.attempts.iter().any(|attempt| attempt.outcome.is_none()))
            .map(|(id, _)| *id)
            .collect();
        let select_in_flight = |index: usize| in_flight.get(index % in_flight.len().max(1)).copied();
        match step {
            Step::Request(class, key, deadline_ms) => {
                node.request_with_deadline(*class, *key, *deadline_ms);
            }
            Step::EndAttempt(index, outcome) => {
                if let Some(id) = select_in_flight(*index) {
                    node.end_attempt(id, *outcome);
                }
            }
            Step::DisconnectClient(index) => {
                if let Some(id) = select_in_flight(*index) {
                    node.disconnect_client(id);
                }
            }
            Step::Wait(ms) => node.wait(*ms),
            Step::ApplyList(WatchUpdate::Failure, _) => {
                node.feed(Event::EndpointsChanged { update: WatchUpdate::Failure, endpoints: vec![] })
            }
            Step::ApplyList(update, entries) => {
                let now = node.now_ms;
                let endpoints = (entries.iter())
                    .map(|(number, state, has_just_started)| EndpointUpdate {
                        state: *state,
                        started_at_ms: if *has_just_started { now } else { 0.0 },
                        ..active_endpoint(*number)
                    })
                    .collect();
                node.apply_list(*update, endpoints);
            }
            Step::SetDisabled(index, disabled) => {
                let known: Vec<_> = node.known_endpoints.keys().copied().collect();
                if let Some(endpoint) = known.get(index % known.len().max(1)) {
                    node.set_disabled(*endpoint, *disabled);
                }
            }
            Step::StartResponse(index) => {
                if let Some(id) = select_in_flight(*index) {
                    node.start_response(id);
                }
            }
            Step::CompleteBody(index) => {
                let unanswered: Vec<_> = node
                    .requests
                    .iter()
                    .filter(|(_, request)| request.answer.is_none())
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(id) = unanswered.get(index % unanswered.len().max(1)) {
                    node.complete_body(*id);
                }
            }
            Step::UnknownIds(number) => {
                // The balancer must ignore events with unknown ids.
                node.feed(Event::Timer(number.wrapping_add(100)));
                node.feed(Event::ClientDisconnected(RequestId(number | 1 << 40)));
                node.feed(Event::ProbeEnded {
                    endpoint: EndpointId(*number),
                    outcome: AttemptOutcome::Answered,
                    elapsed_ms: 1.0,
                    load: LoadReport::default(),
                });
                node.feed(Event::AttemptEnded {
                    id: RequestId(number | 1 << 40),
                    attempt: 0,
                    endpoint: EndpointId(*number),
                    outcome: AttemptOutcome::Answered,
                    request_finished: false,
                    elapsed_ms: f64::NAN,
                    load: LoadReport::default(),
                });
            }
        }
    }
    node.wait(3000.0);
    for (id, request) in &node.requests {
        assert!(request.answer.is_some(), "rule 1: {id:?} was never answered");
    }
    node.actions
}

/// Returns a runner with a fixed seed, so that every test run uses the same sequences.
fn seeded_runner() -> TestRunner {
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

/// Guards against orders of events that no other test covers, in which the balancer breaks a rule. Also guards
/// against decisions that depend on more than the settings, the seed and the events: iteration over a hash map
/// would do that, and a simulated run could then not be repeated.
#[test]
fn the_rules_hold_and_the_same_events_give_the_same_actions() {
    let input = (any::<u64>(), any::<[bool; 3]>(), proptest::collection::vec(any_step(), 1..120));
    seeded_runner()
        .run(&input, |(seed, [hedging_allowed, warm_keys, is_polled], steps)| {
            let discovery = if is_polled { DiscoveryMode::Poll } else { DiscoveryMode::Push };
            let settings = Settings { hedging_allowed, warm_keys, discovery, ..settings() };
            let first_run = run_steps(settings.clone(), seed, &steps);
            assert_eq!(first_run, run_steps(settings, seed, &steps));
            Ok(())
        })
        .expect("every sequence keeps the rules");
}
