//! The wall clock may be stepped, forward or back: a restarted server is cold for its time all the same.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use serde_json::Value;
use std::time::{SystemTime, UNIX_EPOCH};

const HOUR_MS: i64 = 3_600_000;

fn wall_ms() -> i64 {
    i64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

/// Three servers, of which discovery says when they started.
struct Site {
    records: Vec<RequestRecord>,
    targets: Vec<Value>,
    discovery: DiscoveryStub,
}

impl Site {
    fn new(boot_ms: i64) -> Site {
        let records: Vec<RequestRecord> = (0..3).map(|_| RequestRecord::default()).collect();
        let addresses: Vec<_> = records.iter().map(|r| start_endpoint(r, |_, _| ok(b"ok"))).collect();
        let mut targets = all_up(&addresses);
        targets[0]["boot_ms"] = boot_ms.into();
        Site { records, discovery: DiscoveryStub::start(targets.clone()), targets }
    }

    /// The first server has restarted, as discovery has it.
    fn restarted(&mut self, boot_ms: i64) {
        self.targets[0]["boot_ms"] = boot_ms.into();
        self.discovery.set(self.targets.clone());
    }

    /// How many of `count` requests the first server gets.
    fn share(&self, node: &Node, count: usize) -> usize {
        let before = self.records[0].count();
        (0..count)
            .for_each(|_| assert_eq!(send_request(node.address, &request("page", 4000)).status(), 200));
        self.records[0].count() - before
    }

    /// Waits until the node has heard of the restart: the server gets next to nothing. A warm one gets a third.
    fn becomes_cold(&self, node: &Node) {
        wait_for("the restarted server is cold", || self.share(node, 60) <= 10);
        let share = self.share(node, 200);
        assert!(share <= 36, "{share} of 200 requests went to a cold server");
    }
}

#[test]
fn a_restart_is_recognized_after_the_wall_clock_went_back() {
    for step in [HOUR_MS, 5_000] {
        let before = wall_ms() - 60_000;
        let mut site = Site::new(before);
        let faults = SyscallFaults::new(1);
        let node = Node::start_with_faults(site.discovery.address, &faults, |_| {});
        let share = site.share(&node, 90);
        assert!(share >= 10, "{share} of 90 while it is warm");
        faults.set(FaultSetting::WallOffsetMs, -step);
        // By the stepped clock, and for an hour before the time of its last start.
        site.restarted(wall_ms() - step);
        site.becomes_cold(&node);
    }
}

#[test]
fn slow_start_ends_in_time_after_the_wall_clock_jumped_forward() {
    let mut site = Site::new(0);
    let faults = SyscallFaults::new(2);
    let node = Node::start_with_faults(site.discovery.address, &faults, |c| {
        c["settings"]["rules"]["coldMs"] = 1500.0.into();
        c["settings"]["rules"]["startCapacity"] = 0.01.into();
    });
    faults.set(FaultSetting::WallOffsetMs, HOUR_MS);
    site.restarted(wall_ms() + HOUR_MS);
    wait_for("it has warmed", || site.share(&node, 90) >= 20);
}

#[test]
fn a_start_time_in_the_future_counts_as_now() {
    let mut site = Site::new(0);
    let faults = SyscallFaults::new(3);
    let node = Node::start_with_faults(site.discovery.address, &faults, |c| {
        c["settings"]["rules"]["coldMs"] = 1500.0.into();
        c["settings"]["rules"]["startCapacity"] = 0.01.into();
    });
    // Another machine's clock is ahead of this one's.
    site.restarted(wall_ms() + HOUR_MS);
    wait_for("it has warmed", || site.share(&node, 90) >= 20);
}

#[test]
fn a_wall_clock_jump_forward_ends_no_slow_start() {
    let mut site = Site::new(0);
    let faults = SyscallFaults::new(4);
    let node = Node::start_with_faults(site.discovery.address, &faults, |_| {});
    site.restarted(wall_ms());
    site.becomes_cold(&node);
    faults.set(FaultSetting::WallOffsetMs, HOUR_MS);
    // Told once more, as it stands, along with something else.
    site.targets[1]["capacity_hint"] = 1.01.into();
    site.discovery.set(site.targets.clone());
    site.becomes_cold(&node);
}
