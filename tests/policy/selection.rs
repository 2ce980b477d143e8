//! Which endpoint a request goes to.

use crate::common::{Answer, TestNode, active_endpoint, settings};
use crate::support::{idempotent_node, one_of_many_nodes, serve_key};
use std::collections::BTreeSet;
use wheelpath::policy::{
    AttemptOutcome, Costs, EndpointId, EndpointState, EndpointUpdate, Settings, WatchUpdate,
};

#[test]
fn a_key_keeps_its_endpoint_and_all_nodes_agree() {
    let mut a = idempotent_node(20);
    let mut b = TestNode::with_endpoints(a.settings.clone(), 99, 20);
    for key in 0..100 {
        let (x, y) = (a.request(0, Some(key)), b.request(0, Some(key)));
        assert_eq!(a.endpoint_of(x), b.endpoint_of(y));
        a.wait(5.0);
        b.wait(5.0);
        a.end_attempt(x, AttemptOutcome::Answered);
        b.end_attempt(y, AttemptOutcome::Answered);
    }
}

#[test]
fn the_candidate_with_fewer_in_flight_is_taken() {
    let mut node = idempotent_node(20);
    let (first, second) = (node.request(0, Some(7)), node.request(0, Some(7)));
    assert_ne!(node.endpoint_of(first), node.endpoint_of(second));
}

#[test]
fn only_the_keys_of_a_removed_endpoint_move() {
    let mut node = idempotent_node(20);
    let home = |node: &mut TestNode, key| {
        let id = node.request(0, Some(key));
        let at = node.endpoint_of(id);
        node.wait(5.0);
        node.end_attempt(id, AttemptOutcome::Answered);
        at
    };
    let before: Vec<_> = (0..100).map(|k| home(&mut node, k)).collect();
    let gone = active_endpoint(3).endpoint;
    node.apply_list(
        WatchUpdate::Delta,
        vec![EndpointUpdate { state: EndpointState::Removed, ..active_endpoint(3) }],
    );
    for (key, old) in before.iter().enumerate() {
        let new = home(&mut node, key as u64);
        assert!(new == *old || *old == Some(gone), "key {key} moved without need");
    }
}

#[test]
fn requests_go_elsewhere_as_long_as_an_endpoint_is_usable() {
    // Found on sockets: where endpoints remember keys, requests beyond the candidates had a budget. With that
    // spent, requests were rejected while endpoints were idle.
    let mut node = idempotent_node(10);
    node.settings.warm_keys = true;
    let mut node = TestNode::with_endpoints(node.settings, 1, 10);
    for _ in 0..20 {
        node.request(0, Some(7));
    }
    let used: BTreeSet<_> = node.requests.keys().filter_map(|id| node.endpoint_of(*id)).collect();
    assert_eq!(used.len(), 10, "all that are usable are used");
    assert!(node.requests.values().all(|a| a.answer.is_none()), "rejected while an endpoint was usable");
}

#[test]
fn many_new_nodes_do_not_send_one_key_to_two_endpoints() {
    // What each of a fleet's nodes does with its first request, all of them for one key.
    let homes = |node_count: u32| -> BTreeSet<_> {
        let first = |seed| {
            let mut node = TestNode::with_endpoints(Settings { node_count, ..settings() }, seed, 40);
            let id = node.request(0, Some(5));
            node.endpoint_of(id)
        };
        (1..=100).map(first).collect()
    };
    assert!(homes(4).len() <= 2, "with few nodes each sees the key often: {:?}", homes(4));
    assert!(homes(100).len() >= 6, "{:?}", homes(100));
}

#[test]
fn a_hot_key_is_spread_and_an_ordinary_one_is_not() {
    let mut node = one_of_many_nodes(40);
    let mut homes = [BTreeSet::new(), BTreeSet::new()];
    for n in 0..400 {
        // Every fourth request is for key 1; key 2 comes once in forty.
        let key = if n % 4 == 0 {
            1
        } else if n % 40 == 1 {
            2
        } else {
            100 + n
        };
        let endpoint = serve_key(&mut node, key, |_| 0.5);
        if key <= 2 {
            homes[key as usize - 1].extend(endpoint);
        }
    }
    assert!(homes[0].len() >= 8, "a quarter of all traffic at {} of 40", homes[0].len());
    assert!(homes[1].len() <= 6, "an ordinary key at {} of 40", homes[1].len());
}

#[test]
fn a_tie_goes_to_the_less_utilized_candidate() {
    let mut node = one_of_many_nodes(2);
    let hot = active_endpoint(1).endpoint;
    let report = |b: EndpointId| if b == hot { 0.95 } else { 0.3 };
    for n in 0..20 {
        serve_key(&mut node, n, report);
    }
    let at_hot = (100..200).filter(|n| serve_key(&mut node, *n, report) == Some(hot)).count();
    assert!(at_hot < 25, "{at_hot} of 100 to the more utilized one");
}

#[test]
fn a_tie_without_reports_goes_to_the_less_busy_candidate() {
    // A node of a hundred has next to nothing in flight anywhere: every choice between candidates is a tie.
    let mut node = one_of_many_nodes(2);
    let id = node.request(0, Some(5));
    let slow = node.endpoint_of(id).expect("sent");
    node.wait(100.0);
    node.end_attempt(id, AttemptOutcome::Answered);
    for _ in 0..4 {
        // Longer than the pause of a limit below one.
        node.wait(400.0);
        let id = node.request(0, Some(5));
        assert!(
            node.endpoint_of(id).is_some_and(|b| b != slow),
            "the other endpoint was busy for less time"
        );
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
}

#[test]
fn endpoints_of_other_zones_are_chosen_less_often_if_crossing_costs() {
    let far = |cross_zone| {
        let costs = Costs { cross_zone, ..Costs::default() };
        let mut node = TestNode::with_endpoints(
            Settings { zone: Some(0), costs, ..one_of_many_nodes(1).settings },
            1,
            20,
        );
        (0..200)
            .filter(|n| {
                serve_key(&mut node, *n, |_| 0.3).is_some_and(|b| node.known_endpoints[&b].zone != 0)
            })
            .count()
    };
    let (free, costly) = (far(0.0), far(0.05));
    assert!(
        costly < free * 4 / 5 && costly > 20,
        "{costly} of 200 cross where it costs, {free} where it does not"
    );
}

#[test]
fn a_class_that_hangs_at_some_endpoints_goes_to_the_others() {
    // Found on sockets: most bids at half of the fleet got no answer while pages there were served; the endpoints
    // were congested for both classes, and keys with both candidates there lost nearly all requests.
    let mut node = TestNode::with_endpoints(Settings { node_count: 2, ..settings() }, 1, 8);
    node.warm_up(100, 1, 20.0);
    let bad: Vec<_> = (1..=4).map(|n| active_endpoint(n).endpoint).collect();
    let (mut lost, mut pages) = (0, 0);
    for n in 0..600 {
        let (page, bid) = (node.request(0, Some(n % 50)), node.request(1, Some(n % 50)));
        node.wait(20.0);
        pages += usize::from(node.endpoint_of(page).is_some_and(|b| bad.contains(&b)));
        node.end_attempt(page, AttemptOutcome::Answered);
        let hangs = node.endpoint_of(bid).is_some_and(|b| bad.contains(&b));
        node.wait(if hangs { 280.0 } else { 20.0 });
        node.end_attempt(bid, if hangs { AttemptOutcome::TimedOut } else { AttemptOutcome::Answered });
        lost += usize::from(node.answer(bid) != Some(Answer::Served));
    }
    assert!(lost < 100, "{lost} of 600 bids lost");
    assert!(pages > 210, "{pages} of 600 pages at the endpoints that serve them still");
}
