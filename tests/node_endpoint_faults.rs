//! Faults that are no load: what they must not cost the requests that have nothing to do with them.
mod node;

use node::*;
use std::thread;
use std::time::Duration;

fn bid(message: &Message) -> bool {
    message.header("x-qos") == Some("bid")
}

fn served(statuses: &[u16]) -> usize {
    statuses.iter().filter(|s| **s == 200).count()
}

#[test]
fn first_tries_with_short_deadlines_are_served_if_retries_are_marked() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["clientHabits"]["marksRetry"] = true.into();
    });
    let usual = send_concurrently(&node, "page", 4000, 40, 4);
    assert!(usual.iter().all(|s| *s == 200), "{usual:?}");
    // Held for last tries, they would be older than the aim, and of no worth.
    let hurried = send_concurrently(&node, "page", 1500, 40, 4);
    assert!(hurried.iter().all(|s| *s == 200), "{hurried:?}");
}

#[test]
fn impatient_clients_close_no_endpoint_to_patient_ones() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, _| {
        thread::sleep(Duration::from_millis(150));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |c| {
        c["settings"]["clientHabits"]["marksRetry"] = true.into();
    });
    let patient =
        |node: &Node| send_concurrently(node, "page", 4000, 40, 4).iter().filter(|s| **s == 200).count();
    assert_eq!(patient(&node), 40);
    let hurried = send_concurrently(&node, "page", 60, 60, 4);
    assert!(hurried.iter().all(|s| *s != 200), "{hurried:?}");
    assert!(record.count() > 80, "{} written: those in a hurry are tried", record.count());
    assert_eq!(patient(&node), 40);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(!log.contains("congested"), "{log}");
}

#[test]
fn resets_of_not_idempotent_requests_leave_retry_budget_to_others() {
    let record = RequestRecord::default();
    // Bids fail and may have run. The one page that is asked fails at its first attempt.
    let addresses = start_endpoints(3, &record, |n, message| {
        let fails = bid(message) || n == 40;
        if fails {
            ScriptedResponse::Send(response("500 Internal Server Error", "", b""))
        } else {
            ok(b"x")
        }
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let bids = send_concurrently(&node, "bid", 900, 40, 1);
    assert_eq!((served(&bids), record.count()), (0, 40), "each is sent once and fails");
    assert_eq!(send_concurrently(&node, "page", 4000, 1, 1), [200]);
    assert_eq!(record.count(), 42, "the page was sent again");
}

#[test]
fn a_class_that_is_rejected_leaves_endpoints_to_the_other() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, message| {
        if !bid(message) {
            return ok(b"x");
        }
        thread::sleep(Duration::from_millis(30));
        ScriptedResponse::Send(response("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""))
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["settings"]["instances"] = 2.into());
    let mut pages = Vec::new();
    for _ in 0..25 {
        assert_eq!(served(&send_concurrently(&node, "bid", 900, 2, 1)), 0);
        pages.extend(send_concurrently(&node, "page", 4000, 1, 1));
    }
    assert!(served(&pages) >= 23, "{pages:?}");
}

#[test]
fn a_class_that_hangs_at_some_endpoints_is_sent_to_the_others() {
    let record = RequestRecord::default();
    let mut addresses = start_endpoints(3, &record, |_, _| ok(b"x"));
    let hung = RequestRecord::default();
    let hang = |_, message: &Message| if bid(message) { ScriptedResponse::Silent } else { ok(b"x") };
    addresses.extend(start_endpoints(2, &hung, hang));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["classes"][1]["objectiveMs"] = 200.into();
        c["settings"]["familyInfo"]["warmKeys"] = true.into();
    });
    let (mut bids, mut pages) = (Vec::new(), Vec::new());
    for _ in 0..60 {
        bids.extend(send_concurrently(&node, "bid", 900, 4, 4));
        // So many that the endpoints are no failing ones.
        pages.extend(send_concurrently(&node, "page", 4000, 24, 4));
    }
    assert!(served(&bids) >= 170, "{} of 240 bids", served(&bids));
    assert!(served(&pages) >= 1300, "{} of 1440 pages", served(&pages));
}
