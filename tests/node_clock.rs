//! Steps of the wall clock, forward or back, neither skip nor end nor prolong the slow start of a restarted endpoint.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use serde_json::Value;
use std::time::{SystemTime, UNIX_EPOCH};

/// A large clock step, far longer than any slow start.
const HOUR_MS: i64 = 3_600_000;

/// The wall clock of the test, which the faults do not step.
fn wall_clock_ms() -> i64 {
    i64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

/// Three endpoints, and a discovery service that names their start times in `boot_ms`. Only the first one restarts.
struct Fixture {
    records: Vec<RequestRecord>,
    targets: Vec<Value>,
    discovery: DiscoveryStub,
}

impl Fixture {
    /// Starts the endpoints. `boot_ms` is the start time of the first one, by the wall clock.
    fn new(boot_ms: i64) -> Fixture {
        let records: Vec<RequestRecord> = (0..3).map(|_| RequestRecord::default()).collect();
        let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
        let mut targets = all_up(&addresses);
        targets[0]["boot_ms"] = boot_ms.into();
        Fixture { records, discovery: DiscoveryStub::start(targets.clone()), targets }
    }

    /// Publishes a new start time of the first endpoint.
    fn publish_restart(&mut self, boot_ms: i64) {
        self.targets[0]["boot_ms"] = boot_ms.into();
        self.discovery.set(self.targets.clone());
    }

    /// Sends `count` requests, and returns how many of them the first endpoint received.
    fn requests_to_first_endpoint(&self, node: &Node, count: usize) -> usize {
        let before = self.records[0].count();
        (0..count)
            .for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200));
        self.records[0].count() - before
    }

    /// Waits until the node has the restart, and asserts that the first endpoint is in slow start: it receives few
    /// requests, whereas a warm endpoint receives a third of them.
    fn assert_slow_start(&self, node: &Node) {
        wait_for("the restarted endpoint is in slow start", || {
            self.requests_to_first_endpoint(node, 60) <= 10
        });
        let received = self.requests_to_first_endpoint(node, 200);
        assert!(received <= 36, "{received} of 200 requests went to an endpoint in slow start");
    }
}

/// After a step back, the new start time is earlier than the time at which the node first saw the endpoint, and after a
/// large step even earlier than the previous start time. The node must not take it for the old start.
#[test]
fn a_restart_is_recognized_after_the_wall_clock_went_back() {
    for step in [HOUR_MS, 5_000] {
        let first_boot_ms = wall_clock_ms() - 60_000;
        let mut fixture = Fixture::new(first_boot_ms);
        let faults = SyscallFaults::new(1);
        let node = Node::start_with_faults(fixture.discovery.address, &faults, |_| {});
        let received = fixture.requests_to_first_endpoint(&node, 90);
        assert!(received >= 10, "{received} of 90 requests went to the warm endpoint");
        faults.set(FaultSetting::WallOffsetMs, -step);
        // By the stepped clock: after a step of an hour this is before the first start time.
        fixture.publish_restart(wall_clock_ms() - step);
        fixture.assert_slow_start(&node);
    }
}

/// By the wall clock at the start of the node, the new start time is an hour ahead, which must not prolong the slow
/// start.
#[test]
fn slow_start_ends_in_time_after_the_wall_clock_jumped_forward() {
    let mut fixture = Fixture::new(0);
    let faults = SyscallFaults::new(2);
    let node = Node::start_with_faults(fixture.discovery.address, &faults, |c| {
        c["settings"]["rules"]["coldMs"] = 1500.0.into();
        c["settings"]["rules"]["startCapacity"] = 0.01.into();
    });
    faults.set(FaultSetting::WallOffsetMs, HOUR_MS);
    fixture.publish_restart(wall_clock_ms() + HOUR_MS);
    wait_for("the slow start has ended", || fixture.requests_to_first_endpoint(&node, 90) >= 20);
}

#[test]
fn a_start_time_in_the_future_counts_as_now() {
    let mut fixture = Fixture::new(0);
    let faults = SyscallFaults::new(3);
    let node = Node::start_with_faults(fixture.discovery.address, &faults, |c| {
        c["settings"]["rules"]["coldMs"] = 1500.0.into();
        c["settings"]["rules"]["startCapacity"] = 0.01.into();
    });
    // The clock of the endpoint's machine is ahead of the node's.
    fixture.publish_restart(wall_clock_ms() + HOUR_MS);
    wait_for("the slow start has ended", || fixture.requests_to_first_endpoint(&node, 90) >= 20);
}

/// By the stepped wall clock the endpoint started an hour ago, longer than a slow start takes.
#[test]
fn a_wall_clock_jump_forward_ends_no_slow_start() {
    let mut fixture = Fixture::new(0);
    let faults = SyscallFaults::new(4);
    let node = Node::start_with_faults(fixture.discovery.address, &faults, |_| {});
    fixture.publish_restart(wall_clock_ms());
    fixture.assert_slow_start(&node);
    faults.set(FaultSetting::WallOffsetMs, HOUR_MS);
    // The same start time arrives again, together with another change of the list.
    fixture.targets[1]["capacity_hint"] = 1.01.into();
    fixture.discovery.set(fixture.targets.clone());
    fixture.assert_slow_start(&node);
}
