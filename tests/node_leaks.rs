//! Endpoints and clients that are ever new: nothing of those that have gone may stay.
mod node;

use node::*;

#[test]
fn closed_connections_leave_no_descriptors_or_memory_behind() {
    const ROUNDS: u32 = 400;
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, _| ok(&[b'x'; 2000]));
    // New ids in each round, at the addresses of those before.
    let named = |round: u32| -> Vec<_> {
        let line = |(n, a): (usize, &_)| target(&format!("s-{round}-{n}"), *a, "up");
        addresses.iter().enumerate().map(line).collect()
    };
    let discovery = DiscoveryStub::start(named(0));
    let node = Node::start(discovery.address, |c| {
        c["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    });
    let mut half = 0;
    // These ask once and keep their connection for good.
    let mut kept = Vec::new();
    for round in 1..=ROUNDS {
        let calls = discovery.call_count();
        discovery.set(named(round));
        wait_for("the list is taken", || discovery.call_count() > calls);
        let mut client = Client::connect(node.address);
        assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200, "round {round}");
        kept.push(client);
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200, "round {round}");
        assert!(node.descriptor_count() <= 256, "{} descriptors", node.descriptor_count());
        if round == ROUNDS / 2 {
            half = node.resident_memory_kb();
        }
    }
    let grown = node.resident_memory_kb().saturating_sub(half);
    assert!(grown < 2048, "{grown} KB more than half-way, {half} KB");
    wait_for("connections to what has gone close", || record.open_connections() <= 3);
    wait_for("connections kept for good close", || node.descriptor_count() < 32);
}
