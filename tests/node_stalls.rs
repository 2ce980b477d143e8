//! Requests that waited for the node before it took their connection.
mod node;

use node::faults::{FaultSetting, SyscallFaults};
use node::*;
use serde_json::Value;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How much more time than is left a server may be told.
const SLACK: Duration = Duration::from_millis(150);

#[test]
fn a_request_that_waited_to_be_accepted_has_only_the_remaining_time() {
    for (step_ms, one_in) in [(0, 0), (3_600_000, 0), (-3_600_000, 0), (0, 2), (0, 2)] {
        waits_for_the_process(step_ms, one_in);
    }
}

/// Two requests come while no process runs; by the next one the wall clock has been stepped, and system calls fail.
fn waits_for_the_process(step_ms: i64, one_in: i64) {
    let record = RequestRecord::default();
    let told: Arc<Mutex<Vec<(u64, Instant)>>> = Arc::default();
    let seen = told.clone();
    let address = start_endpoint(&record, move |_, message| {
        let expires = message.header("x-expires-in-ms").and_then(|ms| ms.parse().ok()).unwrap_or(u64::MAX);
        seen.lock().unwrap().push((expires, Instant::now()));
        ok(b"ok")
    });
    let discovery = DiscoveryStub::start(all_up(&[address]));
    let socket = TcpListener::bind(free_address()).unwrap();
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("waiting-{}-{step_ms}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let known = serde_json::json!({"rev": 1, "all": true, "targets": all_up(&[address])});
    let console = |c: &mut Value| {
        c["console"] = free_address().to_string().into();
        c["known"] = known.clone();
    };
    let mut first = Node::launch_inheriting(discovery.address, &socket, &folder, console);
    wait_for("the first process is ready", || first.readiness_status() == 200);
    first.kill();
    told.lock().unwrap().clear();
    // Nobody takes these before the next process; the second has no time left by then.
    let send = |wait_ms: u64| {
        let mut stream = TcpStream::connect(socket.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(&request("page", wait_ms)).unwrap();
        (stream, Instant::now())
    };
    let (mut long, sent) = send(3000);
    let (mut short, _) = send(300);
    std::thread::sleep(Duration::from_millis(800));
    let faults = SyscallFaults::new(1);
    faults.set(FaultSetting::WallOffsetMs, step_ms);
    faults.set(FaultSetting::InterruptedIo, one_in);
    faults.set(FaultSetting::FailedSocket, one_in);
    let _next =
        Node::launch_inheriting_with(discovery.address, &socket, &folder, console, |c| faults.preload(c));
    let status =
        |stream: &mut TcpStream| Message::read(&mut std::io::BufReader::new(stream)).unwrap().status();
    assert_eq!(status(&mut long), 200);
    assert_ne!(status(&mut short), 200, "its client has given up");
    let told = told.lock().unwrap();
    assert_eq!(told.len(), 1, "no server gets the one that is over");
    let (expires, at) = told[0];
    let left = Duration::from_millis(3000).saturating_sub(at - sent);
    assert!(Duration::from_millis(expires) <= left + SLACK, "{expires} ms told with {left:?} left");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_request_completed_while_the_node_was_suspended_is_answered_under_pressure() {
    let record = RequestRecord::default();
    let discovery = DiscoveryStub::start(all_up(&start_endpoints(2, &record, |_, _| ok(b"ok"))));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 44.into());
    for round in 0..20 {
        let mut halves: Vec<(Client, Vec<u8>)> = (0..6)
            .map(|_| {
                let mut client = Client::connect(node.address);
                let bytes = request("page", 4000);
                assert!(client.send(&bytes[..40]));
                (client, bytes[40..].to_vec())
            })
            .collect();
        // Their first halves are read, and they are no longer fresh.
        wait_until_connection_is_reusable();
        let idle: Vec<Client> = node.while_suspended(|| {
            // The node meets these first, and looks for places.
            let idle = (0..30).filter_map(|_| Client::try_connect(node.address)).collect();
            halves.iter_mut().for_each(|(client, rest)| assert!(client.send(rest)));
            idle
        });
        for (client, _) in &mut halves {
            assert_eq!(client.read_response().map(|m| m.status()), Some(200), "round {round}");
        }
        drop(idle);
    }
}
