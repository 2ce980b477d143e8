//! Endpoints that operators disable and enable.

use crate::common::{Answer, TestNode, active_endpoint};
use crate::support::idempotent_node;
use wheelpath::policy::{AttemptOutcome, EndpointState, EndpointUpdate, Event, WatchUpdate};

#[test]
fn a_disabled_endpoint_gets_neither_first_attempts_nor_repeats() {
    let mut node = idempotent_node(2);
    let (out, other) = (active_endpoint(1).endpoint, active_endpoint(2).endpoint);
    node.feed(Event::Disable(out));
    node.feed(Event::Disable(out));
    assert_eq!(node.idle_closed_at_ms.get(&out), Some(&node.now_ms), "its idle connections are closed");
    for n in 0..50 {
        let id = node.request(0, Some(n));
        assert_eq!(node.endpoint_of(id), Some(other));
        node.end_attempt(
            id,
            if n % 10 == 0 { AttemptOutcome::ConnectFailed } else { AttemptOutcome::Answered },
        );
        assert_ne!(node.endpoint_of(id), Some(out), "a retry");
        node.end_attempt(id, AttemptOutcome::Answered);
        // The list still has it as active, and as restarted.
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
    assert_eq!(node.answer(id), Some(Answer::Rejected), "not even as the last resort");
}

#[test]
fn an_enabled_endpoint_starts_slowly_and_one_enable_undoes_two_disables() {
    let mut node = idempotent_node(3);
    node.warm_up(300, 0, 10.0);
    let out = active_endpoint(1).endpoint;
    node.feed(Event::Disable(out));
    node.feed(Event::Disable(out));
    node.wait(5000.0);
    node.feed(Event::Enable(out));
    let share = |node: &mut TestNode| {
        let mut sent = 0;
        for n in 0..300 {
            let id = node.request(0, Some(n));
            sent += usize::from(node.endpoint_of(id) == Some(out));
            node.wait(10.0);
            node.end_attempt(id, AttemptOutcome::Answered);
        }
        sent
    };
    let cold = share(&mut node);
    assert!((1..60).contains(&cold), "{cold} of 300 in the first three seconds");
    // Enabled once more, it does not start slowly again; in the end it has its share.
    node.wait(22_000.0);
    node.feed(Event::Enable(out));
    let warm = share(&mut node);
    assert!(warm > 70, "{warm} of 300 once it is warm");
}

#[test]
fn enabling_does_not_bring_back_a_draining_or_removed_endpoint() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut node = idempotent_node(2);
        let out = active_endpoint(1).endpoint;
        node.feed(Event::Disable(out));
        node.apply_list(WatchUpdate::Delta, vec![EndpointUpdate { state, ..active_endpoint(1) }]);
        node.feed(Event::Enable(out));
        for n in 0..20 {
            let id = node.request(0, Some(n));
            assert_ne!(node.endpoint_of(id), Some(out), "{state:?}");
            node.end_attempt(id, AttemptOutcome::Answered);
        }
        // Listed again without a restart, it starts slowly all the same.
        node.apply_list(WatchUpdate::Delta, vec![active_endpoint(1)]);
        let ids: Vec<_> = (0..20).map(|n| node.request(0, Some(n))).collect();
        let sent = ids.iter().filter(|id| node.endpoint_of(**id) == Some(out)).count();
        assert!(sent <= 1, "{sent} at once to a restarted endpoint");
    }
}
