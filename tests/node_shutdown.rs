//! A node shuts down after SIGTERM: it ends before SIGKILL would follow, and answers all requests that it has
//! accepted.
mod node;

use node::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The time from SIGTERM to SIGKILL: 0.7 s more than the longest deadline of a request class, which counts as at most
/// 3 s.
const SIGKILL_DELAY: Duration = Duration::from_millis(3700);

/// After SIGTERM, the node accepts connections until none has arrived for some time. New connections that keep
/// arriving must not postpone the end of the process beyond SIGKILL.
#[test]
fn connections_after_sigterm_do_not_delay_the_end() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(1, &record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let address = node.address;
    let should_stop = Arc::new(AtomicBool::new(false));
    let connector_should_stop = should_stop.clone();
    let connector = thread::spawn(move || {
        while !connector_should_stop.load(Ordering::SeqCst) {
            drop(Client::try_connect(address));
            thread::sleep(Duration::from_millis(20));
        }
    });
    node.terminate();
    let terminated_at = Instant::now();
    let status = node.wait_for_exit();
    should_stop.store(true, Ordering::SeqCst);
    connector.join().unwrap();
    assert!(
        status.success() && terminated_at.elapsed() < SIGKILL_DELAY,
        "{status} after {:?}",
        terminated_at.elapsed()
    );
}

/// Clients go on sending for 0.4 s after SIGTERM, on open connections and on new ones. A node that closed a
/// connection without `Connection: close` in the last response, or that stopped accepting at once, would lose their
/// requests.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario with many steps")]
fn no_request_is_lost_after_sigterm_under_load() {
    let record = RequestRecord::default();
    let addresses = start_endpoints(4, &record, |_, _| {
        thread::sleep(Duration::from_millis(30));
        ok(b"x")
    });
    let discovery = DiscoveryStub::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let address = node.address;
    let is_terminated = Arc::new(AtomicBool::new(false));
    // Connections that are idle throughout must not delay the end of the process.
    let idle: Vec<Client> = (0..3).map(|_| Client::connect(address)).collect();
    let mut clients = Vec::new();
    for n in 0..6 {
        let is_terminated = is_terminated.clone();
        clients.push(thread::spawn(move || {
            let mut responses = 0;
            let mut stop_at = None;
            let mut client = Client::connect(address);
            loop {
                if is_terminated.load(Ordering::SeqCst) && stop_at.is_none() {
                    stop_at = Some(Instant::now() + Duration::from_millis(400));
                }
                let is_last = stop_at.is_some_and(|stop_at| Instant::now() >= stop_at);
                let class = if n % 2 == 0 { "page" } else { "bid" };
                assert!(
                    client.send(&request(class, 900)),
                    "client {n}: the node closed the connection without announcing it"
                );
                let response =
                    client.read_response().expect("the node must answer a request that it has accepted");
                assert!(matches!(response.status(), 200 | 503), "{}", response.first_line);
                responses += 1;
                let closes = response.header("connection") == Some("close");
                if is_last {
                    return (responses, closes);
                }
                if closes {
                    client = Client::try_connect(address).expect("the node must still accept connections");
                }
            }
        }));
    }
    wait_for("the endpoints receive requests", || record.count() > 20);
    node.terminate();
    let terminated_at = Instant::now();
    is_terminated.store(true, Ordering::SeqCst);
    for client in clients {
        let (responses, last_closes) = client.join().unwrap();
        assert!(
            responses > 1 && last_closes,
            "{responses} responses; the last one closes the connection: {last_closes}"
        );
    }
    let status = node.wait_for_exit();
    assert!(status.success(), "{status}");
    // Requests are short and the clients have stopped, so the process must end well before SIGKILL.
    let elapsed = terminated_at.elapsed();
    assert!(elapsed < Duration::from_millis(3000), "the process ended only after {elapsed:?}");
    drop(idle);
}
