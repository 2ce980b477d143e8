//! Tests that a balancer keeps its rules with invalid input and with several faults at once.

use crate::common::{Answer, active_endpoint, settings};
use crate::support::idempotent_node;
use wheelpath::policy::{
    AttemptOutcome, Balancer, EndpointState, EndpointUpdate, Event, Settings, SettingsError, WatchUpdate,
};

/// Guards against estimates that an invalid duration or a jump of the clock corrupts, so that later requests are
/// rejected.
#[test]
fn non_finite_times_and_a_clock_jump_do_no_harm() {
    let mut node = idempotent_node(4);
    node.warm_up(50, 0, 20.0);
    for n in 0..30 {
        let id = node.request(0, Some(n));
        node.wait(20.0);
        let Some(endpoint) = node.endpoint_of(id) else { continue };
        // The attempt ends without `end_attempt`, which reports valid durations only.
        node.requests.get_mut(&id).expect("a known request").attempts[0].outcome =
            Some(AttemptOutcome::Answered);
        node.requests.get_mut(&id).expect("a known request").answer = Some(Answer::Served);
        let elapsed_ms = [f64::NAN, f64::INFINITY, -5.0][n as usize % 3];
        let outcome = AttemptOutcome::Answered;
        node.feed(Event::AttemptEnded {
            id,
            attempt: 0,
            endpoint,
            outcome,
            request_finished: true,
            elapsed_ms,
            load: Default::default(),
        });
    }
    node.now_ms += 60_000.0;
    node.wait(1000.0);
    for n in 0..20 {
        let id = node.request(0, Some(n));
        assert!(node.endpoint_of(id).is_some(), "request {n} rejected");
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
}

/// Guards against rules that are broken when list updates, stalls and requests coincide: endpoints leave the list and
/// return to it in turn, while some requests are in flight for 900 ms.
#[test]
fn flapping_endpoints_and_slow_answers_together_break_no_rule() {
    let mut node = idempotent_node(6);
    node.warm_up(50, 0, 20.0);
    for n in 0..60 {
        let state = if n % 2 == 0 { EndpointState::Removed } else { EndpointState::Active };
        node.apply_list(WatchUpdate::Delta, vec![EndpointUpdate { state, ..active_endpoint(1 + n % 3) }]);
        let id = node.request(0, Some(n));
        if n % 7 == 0 {
            node.wait(900.0);
        }
        node.wait(10.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
    let id = node.request(0, Some(3));
    assert!(node.endpoint_of(id).is_some());
}

/// Guards against invalid settings that are accepted, and against an error that does not name the setting.
#[test]
fn invalid_settings_are_a_typed_error() {
    let without_class = Settings { classes: vec![], ..settings() };
    assert_eq!(Balancer::new(without_class, 1).err(), Some(SettingsError::NoClass));
    let not_a_number = Settings { slow_start_ms: f64::NAN, ..settings() };
    assert!(matches!(
        Balancer::new(not_a_number, 1).err(),
        Some(SettingsError::OutOfRange { field: "rules.coldMs", .. })
    ));
}
