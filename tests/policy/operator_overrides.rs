//! Tests that endpoints get no requests while operators have disabled them, and start slowly when enabled again.

use crate::common::{Answer, TestNode, active_endpoint};
use crate::support::idempotent_node;
use wheelpath::policy::{AttemptOutcome, EndpointState, EndpointUpdate, Event, WatchUpdate};

/// Guards against attempts at an endpoint that operators have taken out of service: as a retry, as the only endpoint
/// left, or because discovery lists it as active or restarted.
#[test]
fn a_disabled_endpoint_gets_neither_first_attempts_nor_retries() {
    let mut node = idempotent_node(2);
    let (disabled, other) = (active_endpoint(1).endpoint, active_endpoint(2).endpoint);
    node.feed(Event::Disable(disabled));
    node.feed(Event::Disable(disabled));
    assert_eq!(
        node.idle_closed_at_ms.get(&disabled),
        Some(&node.now_ms),
        "its idle connections must be closed"
    );
    for n in 0..50 {
        let id = node.request(0, Some(n));
        assert_eq!(node.endpoint_of(id), Some(other));
        node.end_attempt(
            id,
            if n % 10 == 0 { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Answered },
        );
        assert_ne!(node.endpoint_of(id), Some(disabled), "a retry went to the disabled endpoint");
        node.end_attempt(id, AttemptOutcome::Answered);
        // Discovery still lists the endpoint as active, and as restarted.
        node.apply_list(
            WatchUpdate::Delta,
            vec![EndpointUpdate { started_at_ms: node.now_ms, ..active_endpoint(1) }],
        );
        node.wait(10.0);
    }
    node.apply_list(
        WatchUpdate::Delta,
        vec![EndpointUpdate { state: EndpointState::Removed, ..active_endpoint(2) }],
    );
    let id = node.request(0, Some(1));
    assert_eq!(
        node.answer(id),
        Some(Answer::Rejected),
        "a disabled endpoint must not be used as a last resort"
    );
}

/// Guards against full traffic to an endpoint that comes back into service, against an endpoint that stays disabled
/// because it was disabled twice, and against a second slow start if it is enabled twice.
#[test]
fn an_enabled_endpoint_starts_slowly_and_one_enable_undoes_two_disables() {
    let mut node = idempotent_node(3);
    node.warm_up(300, 0, 10.0);
    let endpoint = active_endpoint(1).endpoint;
    node.feed(Event::Disable(endpoint));
    node.feed(Event::Disable(endpoint));
    node.wait(5000.0);
    node.feed(Event::Enable(endpoint));
    let count_sent = |node: &mut TestNode| {
        let mut sent = 0;
        for n in 0..300 {
            let id = node.request(0, Some(n));
            sent += usize::from(node.endpoint_of(id) == Some(endpoint));
            node.wait(10.0);
            node.end_attempt(id, AttemptOutcome::Answered);
        }
        sent
    };
    let sent_when_cold = count_sent(&mut node);
    assert!((1..60).contains(&sent_when_cold), "{sent_when_cold} of 300 in the first three seconds");
    // Enabled once more after its slow start, the endpoint keeps its full share.
    node.wait(22_000.0);
    node.feed(Event::Enable(endpoint));
    let sent_when_warm = count_sent(&mut node);
    assert!(sent_when_warm > 70, "{sent_when_warm} of 300 after the slow start");
}

/// Guards against an operator's command that overrides the list: an enabled endpoint that the list has as draining or
/// removed must get no requests.
#[test]
fn enabling_does_not_bring_back_a_draining_or_removed_endpoint() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut node = idempotent_node(2);
        let endpoint = active_endpoint(1).endpoint;
        node.feed(Event::Disable(endpoint));
        node.apply_list(WatchUpdate::Delta, vec![EndpointUpdate { state, ..active_endpoint(1) }]);
        node.feed(Event::Enable(endpoint));
        for n in 0..20 {
            let id = node.request(0, Some(n));
            assert_ne!(node.endpoint_of(id), Some(endpoint), "{state:?}");
            node.end_attempt(id, AttemptOutcome::Answered);
        }
        // The endpoint starts slowly when it is listed as active again, though the list reports no restart.
        node.apply_list(WatchUpdate::Delta, vec![active_endpoint(1)]);
        let ids: Vec<_> = (0..20).map(|n| node.request(0, Some(n))).collect();
        let sent = ids.iter().filter(|id| node.endpoint_of(**id) == Some(endpoint)).count();
        assert!(sent <= 1, "{sent} at once to an endpoint that must start slowly");
    }
}
