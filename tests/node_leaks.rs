//! Endpoints and clients are replaced again and again. The node must free the descriptors and the memory of those
//! that have left; otherwise it reaches its limits in the long run.
mod node;

use node::*;

#[test]
fn closed_connections_leave_no_descriptors_or_memory_behind() {
    const ROUNDS: u32 = 400;
    let record = RequestRecord::default();
    let addresses = start_endpoints(3, &record, |_, _| ok(&[b'x'; 2000]));
    // In each round, new endpoints with new ids take the addresses of the previous ones.
    let list_of_round = |round: u32| -> Vec<_> {
        let entry = |(n, address): (usize, &_)| target(&format!("s-{round}-{n}"), *address, "up");
        addresses.iter().enumerate().map(entry).collect()
    };
    let discovery = DiscoveryStub::start(list_of_round(0));
    let node = Node::start(discovery.address, |c| {
        c["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    });
    let mut half_time_kb = 0;
    // These clients send one request and never close their connection.
    let mut idle_clients = Vec::new();
    for round in 1..=ROUNDS {
        let calls = discovery.call_count();
        discovery.set(list_of_round(round));
        wait_for("the node has taken the new list", || discovery.call_count() > calls);
        let mut client = Client::connect(node.address);
        assert_eq!(client.send_and_receive(&request("page", 4000)).status(), 200, "round {round}");
        idle_clients.push(client);
        assert_eq!(send_request(node.address, &request("bid", 900)).status(), 200, "round {round}");
        assert!(node.descriptor_count() <= 256, "{} descriptors", node.descriptor_count());
        if round == ROUNDS / 2 {
            half_time_kb = node.resident_memory_kb();
        }
    }
    let growth_kb = node.resident_memory_kb().saturating_sub(half_time_kb);
    assert!(growth_kb < 2048, "{growth_kb} KiB more than the {half_time_kb} KiB after half of the rounds");
    wait_for("the connections to previous endpoints are closed", || record.open_connections() <= 3);
    wait_for("the idle connections of clients are closed", || node.descriptor_count() < 32);
}
