//! Tests which endpoint a request is sent to.

use crate::common::{Answer, TestNode, active_endpoint, settings};
use crate::support::{idempotent_node, one_of_many_nodes, serve_key};
use std::collections::BTreeSet;
use wheelpath::policy::{
    AttemptOutcome, Costs, EndpointId, EndpointState, EndpointUpdate, Settings, WatchUpdate,
};

/// Guards against nodes that send the requests for one key to different endpoints: an endpoint needs less work for keys
/// that it has served recently.
#[test]
fn all_nodes_send_a_key_to_the_same_endpoint() {
    let mut first_node = idempotent_node(20);
    let mut second_node = TestNode::with_endpoints(first_node.settings.clone(), 99, 20);
    for key in 0..100 {
        let (first_id, second_id) = (first_node.request(0, Some(key)), second_node.request(0, Some(key)));
        assert_eq!(first_node.endpoint_of(first_id), second_node.endpoint_of(second_id));
        first_node.wait(5.0);
        second_node.wait(5.0);
        first_node.end_attempt(first_id, AttemptOutcome::Answered);
        second_node.end_attempt(second_id, AttemptOutcome::Answered);
    }
}

/// Guards against a queue at one candidate of a key while the other one has fewer requests in flight.
#[test]
fn the_candidate_with_fewer_in_flight_is_taken() {
    let mut node = idempotent_node(20);
    let (first, second) = (node.request(0, Some(7)), node.request(0, Some(7)));
    assert_ne!(node.endpoint_of(first), node.endpoint_of(second));
}

/// Guards against a change of the list that moves the keys of endpoints that it does not concern.
#[test]
fn only_the_keys_of_a_removed_endpoint_move() {
    let mut node = idempotent_node(20);
    let serve = |node: &mut TestNode, key| {
        let id = node.request(0, Some(key));
        let endpoint = node.endpoint_of(id);
        node.wait(5.0);
        node.end_attempt(id, AttemptOutcome::Answered);
        endpoint
    };
    let endpoints_before: Vec<_> = (0..100).map(|key| serve(&mut node, key)).collect();
    let removed = active_endpoint(3).endpoint;
    node.apply_list(
        WatchUpdate::Delta,
        vec![EndpointUpdate { state: EndpointState::Removed, ..active_endpoint(3) }],
    );
    for (key, before) in endpoints_before.iter().enumerate() {
        let after = serve(&mut node, key as u64);
        assert!(
            after == *before || *before == Some(removed),
            "key {key} moved though its endpoint is still listed"
        );
    }
}

/// Guards against a budget for requests to endpoints other than the two candidates of their key. With real nodes whose
/// endpoints work faster for keys that they have served recently, such a budget was spent, and requests were rejected
/// while endpoints were idle.
#[test]
fn requests_go_elsewhere_as_long_as_an_endpoint_is_usable() {
    let mut node = idempotent_node(10);
    node.settings.warm_keys = true;
    let mut node = TestNode::with_endpoints(node.settings, 1, 10);
    for _ in 0..20 {
        node.request(0, Some(7));
    }
    let used_endpoints: BTreeSet<_> = node.requests.keys().filter_map(|id| node.endpoint_of(*id)).collect();
    assert_eq!(used_endpoints.len(), 10, "all usable endpoints must get requests");
    assert!(
        node.requests.values().all(|request| request.answer.is_none()),
        "rejected while an endpoint was usable"
    );
}

/// Guards against many new nodes that all send their first requests for a hot key to its two candidates. No node has
/// enough requests to find out that the key is hot; all nodes together would overload the candidates.
#[test]
fn many_new_nodes_spread_a_key_over_more_than_two_endpoints() {
    // The endpoints of the first requests of all nodes in a fleet, which are all for the same key.
    let first_endpoints = |node_count: u32| -> BTreeSet<_> {
        let first_endpoint = |seed| {
            let mut node = TestNode::with_endpoints(Settings { node_count, ..settings() }, seed, 40);
            let id = node.request(0, Some(5));
            node.endpoint_of(id)
        };
        (1..=100).map(first_endpoint).collect()
    };
    assert!(
        first_endpoints(4).len() <= 2,
        "with few nodes, each node gets a hot key often enough to detect it: {:?}",
        first_endpoints(4)
    );
    assert!(first_endpoints(100).len() >= 6, "{:?}", first_endpoints(100));
}

/// Guards against a hot key that overloads its two candidates, and against ordinary keys that are spread although their
/// endpoints work faster for them.
#[test]
fn a_hot_key_is_spread_and_an_ordinary_one_is_not() {
    let mut node = one_of_many_nodes(40);
    let mut endpoints = [BTreeSet::new(), BTreeSet::new()];
    for n in 0..400 {
        // One request in 4 is for key 1, and one in 40 for key 2.
        let key = if n % 4 == 0 {
            1
        } else if n % 40 == 1 {
            2
        } else {
            100 + n
        };
        let endpoint = serve_key(&mut node, key, |_| 0.5);
        if key <= 2 {
            endpoints[key as usize - 1].extend(endpoint);
        }
    }
    assert!(
        endpoints[0].len() >= 8,
        "a quarter of all traffic was sent to {} of 40 endpoints",
        endpoints[0].len()
    );
    assert!(endpoints[1].len() <= 6, "an ordinary key was sent to {} of 40 endpoints", endpoints[1].len());
}

/// Guards against a choice at random between candidates with equally many requests in flight, although their reports
/// show that one of them is nearly full.
#[test]
fn a_tie_goes_to_the_less_utilized_candidate() {
    let mut node = one_of_many_nodes(2);
    let utilized = active_endpoint(1).endpoint;
    let utilization = |endpoint: EndpointId| if endpoint == utilized { 0.95 } else { 0.3 };
    for n in 0..20 {
        serve_key(&mut node, n, utilization);
    }
    let sent = (100..200).filter(|n| serve_key(&mut node, *n, utilization) == Some(utilized)).count();
    assert!(sent < 25, "{sent} of 100 sent to the more utilized endpoint");
}

/// Guards against a choice at random between tied candidates of which one was busy for longer. A node among hundreds
/// has hardly any request in flight, so that nearly every choice between candidates is a tie.
#[test]
fn a_tie_without_reports_goes_to_the_less_busy_candidate() {
    let mut node = one_of_many_nodes(2);
    let id = node.request(0, Some(5));
    let slow = node.endpoint_of(id).expect("the request was sent");
    node.wait(100.0);
    node.end_attempt(id, AttemptOutcome::Answered);
    for _ in 0..4 {
        // Longer than the pause between requests that a concurrency limit below 1 requires.
        node.wait(400.0);
        let id = node.request(0, Some(5));
        assert!(
            node.endpoint_of(id).is_some_and(|endpoint| endpoint != slow),
            "the other endpoint was busy for less time"
        );
        node.wait(20.0);
        node.end_attempt(id, AttemptOutcome::Answered);
    }
}

/// Guards against a cost of traffic between zones that is ignored, and against one that keeps all traffic in the node's
/// zone.
#[test]
fn endpoints_of_other_zones_are_chosen_less_often_if_crossing_costs() {
    let sent_to_other_zone = |cross_zone| {
        let costs = Costs { cross_zone, ..Costs::default() };
        let mut node = TestNode::with_endpoints(
            Settings { zone: Some(0), costs, ..one_of_many_nodes(1).settings },
            1,
            20,
        );
        (0..200)
            .filter(|n| {
                serve_key(&mut node, *n, |_| 0.3)
                    .is_some_and(|endpoint| node.known_endpoints[&endpoint].zone != 0)
            })
            .count()
    };
    let (without_cost, with_cost) = (sent_to_other_zone(0.0), sent_to_other_zone(0.05));
    assert!(
        with_cost < without_cost * 4 / 5 && with_cost > 20,
        "{with_cost} of 200 sent to another zone at a cost, {without_cost} without one"
    );
}

/// Guards against endpoints that count as congested for all classes though only one class gets no answers there. With
/// real nodes, most requests of one class, bids, got no answer at half of the endpoints, while the other class, pages,
/// was served. These endpoints became congested for both classes, and keys with both candidates among them lost nearly
/// all requests.
#[test]
fn a_class_that_hangs_at_some_endpoints_goes_to_the_others() {
    let mut node = TestNode::with_endpoints(Settings { node_count: 2, ..settings() }, 1, 8);
    node.warm_up(100, 1, 20.0);
    let hanging: Vec<_> = (1..=4).map(|number| active_endpoint(number).endpoint).collect();
    let (mut lost_bids, mut pages_at_hanging) = (0, 0);
    for n in 0..600 {
        let (page, bid) = (node.request(0, Some(n % 50)), node.request(1, Some(n % 50)));
        node.wait(20.0);
        pages_at_hanging +=
            usize::from(node.endpoint_of(page).is_some_and(|endpoint| hanging.contains(&endpoint)));
        node.end_attempt(page, AttemptOutcome::Answered);
        let is_bid_hanging = node.endpoint_of(bid).is_some_and(|endpoint| hanging.contains(&endpoint));
        node.wait(if is_bid_hanging { 280.0 } else { 20.0 });
        node.end_attempt(
            bid,
            if is_bid_hanging { AttemptOutcome::TimedOut } else { AttemptOutcome::Answered },
        );
        lost_bids += usize::from(node.answer(bid) != Some(Answer::Served));
    }
    assert!(lost_bids < 100, "{lost_bids} of 600 bids lost");
    assert!(
        pages_at_hanging > 210,
        "{pages_at_hanging} of 600 pages sent to the endpoints that serve only pages"
    );
}
