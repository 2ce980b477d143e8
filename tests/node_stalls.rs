//! Requests that reach the node while it does not run: they wait in the accept queue or in a socket's receive buffer.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use serde_json::Value;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much the remaining time that an endpoint is told may exceed the time that the client really still waits.
const REMAINING_TIME_TOLERANCE: Duration = Duration::from_millis(150);

/// The platform holds the listening socket, so connections can wait in the accept queue while no process of the node
/// runs. A node that counted the deadline from the accept would let endpoints work on requests whose clients have
/// given up. The node measures the wait by receive timestamps, which the kernel takes from its wall clock; so the
/// result must not depend on a step of that clock, or on system calls that fail during the measurement.
#[test]
fn a_request_that_waited_to_be_accepted_has_only_the_remaining_time() {
    for (wall_offset_ms, fault_rate) in [(0, 0), (3_600_000, 0), (-3_600_000, 0), (0, 2), (0, 2)] {
        assert_wait_in_accept_queue_is_subtracted(wall_offset_ms, fault_rate);
    }
}

/// Sends two requests while no process of the node runs, and then starts a process whose wall clock is
/// `wall_offset_ms` ahead. One in `fault_rate` of its socket reads and writes is interrupted, and one in `fault_rate`
/// of its calls to create a socket fails. With a rate of 0, none does.
fn assert_wait_in_accept_queue_is_subtracted(wall_offset_ms: i64, fault_rate: i64) {
    let record = RequestRecord::default();
    // For each request that the endpoint received: the remaining time by its `X-Expires-In-Ms`, and when it arrived.
    let received: Arc<Mutex<Vec<(Duration, Instant)>>> = Arc::default();
    let endpoint_received = received.clone();
    let address = start_endpoint(&record, move |_, message| {
        let millis = message.header("x-expires-in-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
        endpoint_received.lock().unwrap().push((Duration::from_millis(millis), Instant::now()));
        ok(b"ok")
    });
    let discovery = DiscoveryStub::start(all_up(&[address]));
    let socket = TcpListener::bind(free_address()).unwrap();
    let state_dir = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("waiting-{}-{wall_offset_ms}", std::process::id()));
    let _ = std::fs::remove_dir_all(&state_dir);
    std::fs::create_dir_all(&state_dir).unwrap();
    let known = serde_json::json!({"rev": 1, "all": true, "targets": all_up(&[address])});
    let configure = |c: &mut Value| {
        c["console"] = free_address().to_string().into();
        c["known"] = known.clone();
    };
    let mut first = Node::launch_inheriting(discovery.address, &socket, &state_dir, configure);
    wait_for("the first process is ready", || first.readiness_status() == 200);
    first.kill();
    received.lock().unwrap().clear();
    // The next process accepts both connections. By then, the client of the second request has given up.
    let send = |deadline_ms: u64| {
        let mut stream = TcpStream::connect(socket.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(&request("page", deadline_ms)).unwrap();
        (stream, Instant::now())
    };
    let (mut live_client, sent_at) = send(3000);
    let (mut expired_client, _) = send(300);
    std::thread::sleep(Duration::from_millis(800));
    let faults = SyscallFaults::new(1);
    faults.set(FaultSetting::WallOffsetMs, wall_offset_ms);
    faults.set(FaultSetting::InterruptedIo, fault_rate);
    faults.set(FaultSetting::FailedSocket, fault_rate);
    let _next = Node::launch_inheriting_with(discovery.address, &socket, &state_dir, configure, |c| {
        faults.preload(c)
    });
    let status =
        |stream: &mut TcpStream| Message::read(&mut std::io::BufReader::new(stream)).unwrap().status();
    assert_eq!(status(&mut live_client), 200);
    assert_ne!(status(&mut expired_client), 200, "the client of this request has given up");
    let received = received.lock().unwrap();
    assert_eq!(received.len(), 1, "the endpoint must not get the expired request");
    let (expires_in, received_at) = received[0];
    let remaining = Duration::from_millis(3000).saturating_sub(received_at - sent_at);
    assert!(expires_in <= remaining + REMAINING_TIME_TOLERANCE, "told {expires_in:?}, not {remaining:?}");
    let _ = std::fs::remove_dir_all(state_dir);
}

/// When descriptors are scarce, the node closes connections without a complete request to accept new ones. The rest
/// of a request may already be in the socket's receive buffer, unread because the node was suspended. A close would
/// then lose a complete request.
#[test]
fn a_request_completed_while_the_node_was_suspended_is_answered_when_descriptors_are_scarce() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(2, &record, |_, _| ok(b"ok"))));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 44.into());
    for round in 0..20 {
        let mut partial_requests: Vec<(Client, Vec<u8>)> = (0..6)
            .map(|_| {
                let mut client = Client::connect(node.address);
                let bytes = request("page", 4000);
                assert!(client.send(&bytes[..40]));
                (client, bytes[40..].to_vec())
            })
            .collect();
        // Meanwhile, the node reads the first parts, and the time after the accept in which it closes no connection
        // passes.
        wait_until_connection_is_reusable();
        let idle: Vec<Client> = node.while_suspended(|| {
            // The node accepts these connections first, and has to close others to free descriptors for them.
            let idle = (0..30).filter_map(|_| Client::try_connect(node.address)).collect();
            partial_requests.iter_mut().for_each(|(client, rest)| assert!(client.send(rest)));
            idle
        });
        for (client, _) in &mut partial_requests {
            assert_eq!(client.read_response().map(|m| m.status()), Some(200), "round {round}");
        }
        drop(idle);
    }
}
