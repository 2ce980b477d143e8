//! Failures and time-outs that are not caused by overload must not affect unrelated requests, such as those of other
//! clients and other classes.
mod node;

use node::*;
use std::thread;
use std::time::Duration;

fn is_bid(message: &Message) -> bool {
    message.header("x-qos") == Some("bid")
}

fn count_served(statuses: &[u16]) -> usize {
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
    let long_deadline = send_concurrently(&node, "page", 4000, 40, 4);
    assert!(long_deadline.iter().all(|s| *s == 200), "{long_deadline:?}");
    // A client's last try has a short deadline, too. If the node took these requests for last tries, it would assume
    // that the clients have already waited for longer than the objective of the class, and give them no value.
    let short_deadline = send_concurrently(&node, "page", 1500, 40, 4);
    assert!(short_deadline.iter().all(|s| *s == 200), "{short_deadline:?}");
}

#[test]
fn clients_with_short_deadlines_do_not_make_endpoints_congested() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, _| {
        thread::sleep(Duration::from_millis(150));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |c| {
        c["settings"]["clientHabits"]["marksRetry"] = true.into();
    });
    let send_and_count_served =
        |node: &Node| send_concurrently(node, "page", 4000, 40, 4).iter().filter(|s| **s == 200).count();
    assert_eq!(send_and_count_served(&node), 40);
    let short_deadline = send_concurrently(&node, "page", 60, 60, 4);
    assert!(short_deadline.iter().all(|s| *s != 200), "{short_deadline:?}");
    assert!(
        record.count() > 80,
        "{} requests sent: requests with short deadlines must be attempted",
        record.count()
    );
    assert_eq!(send_and_count_served(&node), 40);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(!log.contains("congested"), "{log}");
}

#[test]
fn failures_of_not_idempotent_requests_leave_the_retry_budget_to_others() {
    let record = RequestRecord::default();
    // Each bid fails and may have run, so it is not repeated. The only page request fails at its first attempt.
    let addresses = start_endpoints(3, &record, |n, message| {
        let fails = is_bid(message) || n == 40;
        if fails {
            ScriptedResponse::Send(response("500 Internal Server Error", "", b""))
        } else {
            ok(b"x")
        }
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let bids = send_concurrently(&node, "bid", 900, 40, 1);
    assert_eq!((count_served(&bids), record.count()), (0, 40), "each bid must be sent once and fail");
    assert_eq!(send_concurrently(&node, "page", 4000, 1, 1), [200]);
    assert_eq!(record.count(), 42, "the page request must be repeated");
}

/// The endpoints reject all bids. If these rejections counted against the endpoints as a whole, pages would not be sent
/// either.
#[test]
fn a_class_that_is_rejected_leaves_endpoints_to_the_other() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, message| {
        if !is_bid(message) {
            return ok(b"x");
        }
        thread::sleep(Duration::from_millis(30));
        ScriptedResponse::Send(response("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""))
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["settings"]["instances"] = 2.into());
    let mut pages = Vec::new();
    for _ in 0..25 {
        assert_eq!(count_served(&send_concurrently(&node, "bid", 900, 2, 1)), 0);
        pages.extend(send_concurrently(&node, "page", 4000, 1, 1));
    }
    assert!(count_served(&pages) >= 23, "{pages:?}");
}

/// Bids hang at two of five endpoints. They must go to the other three, although the two endpoints serve many pages and
/// so look healthy.
#[test]
fn a_class_that_hangs_at_some_endpoints_is_sent_to_the_others() {
    let record = RequestRecord::default();
    let mut addresses = start_endpoints(3, &record, |_, _| ok(b"x"));
    let hanging_record = RequestRecord::default();
    let hang_on_bids =
        |_, message: &Message| if is_bid(message) { ScriptedResponse::Silent } else { ok(b"x") };
    addresses.extend(start_endpoints(2, &hanging_record, hang_on_bids));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["classes"][1]["objectiveMs"] = 200.into();
        c["settings"]["familyInfo"]["warmKeys"] = true.into();
    });
    let (mut bids, mut pages) = (Vec::new(), Vec::new());
    for _ in 0..60 {
        bids.extend(send_concurrently(&node, "bid", 900, 4, 4));
        // So many that the two endpoints do not become congested for all classes.
        pages.extend(send_concurrently(&node, "page", 4000, 24, 4));
    }
    assert!(count_served(&bids) >= 170, "{} of 240 bids", count_served(&bids));
    assert!(count_served(&pages) >= 1300, "{} of 1440 pages", count_served(&pages));
}
