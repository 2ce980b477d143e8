//! A node shuts down after SIGTERM: it ends before SIGKILL would follow, and answers all requests that it has
//! accepted.
mod node;

use node::*;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
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

/// The longest deadline of the classes in the tests of the last moments before the end of a process.
const SHORT_DEADLINE: Duration = Duration::from_millis(400);
/// When a process with [`SHORT_DEADLINE`] fails the requests that are still open, counted from SIGTERM.
const FAILS_OPEN_REQUESTS_AFTER: Duration = Duration::from_millis(800);
/// How long before that moment the first of the clients sends its last byte.
const FIRST_LAST_BYTE_BEFORE: Duration = Duration::from_millis(200);
/// The time between the last bytes of two clients.
const LAST_BYTE_INTERVAL: Duration = Duration::from_millis(10);
/// So many clients that the last ones send their last bytes after the end of the process.
const SLOW_CLIENTS: u32 = 35;

/// Gives all classes [`SHORT_DEADLINE`].
fn use_short_deadlines(config: &mut Value) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["objectiveMs"] = 300.into();
        class["hardLimitMs"] = (SHORT_DEADLINE.as_millis() as u64).into();
    }
}

/// A request whose client withholds the last byte.
struct WithheldRequest {
    client: Client,
    trace_id: String,
    last_byte: u8,
}

/// How a request ended for its client.
#[derive(Debug)]
struct RequestOutcome {
    trace_id: String,
    /// `None` if the connection ended without a response.
    status: Option<u16>,
}

impl WithheldRequest {
    fn begin(address: SocketAddr, framing: Framing, body_bytes: usize) -> WithheldRequest {
        let mut message = post_with_body(SHORT_DEADLINE, framing, body_bytes);
        let last_byte = message.pop().unwrap();
        let mut client = Client::connect(address);
        assert!(client.send(&message));
        WithheldRequest { client, trace_id: trace_id_of(&message), last_byte }
    }

    /// Sends the last byte at `at`, and reads the response. Returns `None` if the connection ended before: the request
    /// was then never complete.
    fn finish(mut self, at: Instant) -> Option<RequestOutcome> {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let is_complete = self.client.send(&[self.last_byte]);
        let status = self.client.read_response().map(|response| response.status());
        let was_taken = is_complete || status.is_some();
        was_taken.then_some(RequestOutcome { trace_id: self.trace_id, status })
    }
}

/// The requests of clients whose last bytes come around the end of a process.
#[derive(Clone, Copy, Debug)]
struct SlowRequests {
    framing: Framing,
    body_bytes: usize,
    /// Whether another process has taken over the listening socket.
    has_successor: bool,
}

impl SlowRequests {
    /// Has clients begin requests, ends the node, and has the clients send their last bytes from
    /// [`FIRST_LAST_BYTE_BEFORE`] on. Asserts that each request that was sent completely is answered, and truthfully.
    fn assert_answered(self) {
        let received = ReceivedRequests::default();
        // So many that none is at its concurrency limit.
        let endpoints: Vec<_> =
            (0..6).map(|_| start_slow_recording_endpoint(&received, Duration::from_millis(130))).collect();
        let discovery = DiscoveryStub::start(all_up(&endpoints));
        let socket = TcpListener::bind(loopback(0)).unwrap();
        let state_dir = std::env::temp_dir().join(format!("wheelpath-{}-{self:?}", std::process::id()));
        std::fs::create_dir_all(&state_dir).unwrap();
        let launch = || {
            let node = Node::launch_inheriting(discovery.address, &socket, &state_dir, |config| {
                config["console"] = free_address().to_string().into();
                use_short_deadlines(config);
            });
            wait_for("the process is ready", || node.is_admin_ready());
            node
        };
        let mut node = launch();
        let descriptors_before = node.settled_descriptor_count();
        let begun: Vec<_> = (0..SLOW_CLIENTS)
            .map(|_| WithheldRequest::begin(node.address, self.framing, self.body_bytes))
            .collect();
        // Until the node has accepted all connections, the successor might accept some.
        wait_for("the node has accepted all clients", || {
            node.descriptor_count() >= descriptors_before + SLOW_CLIENTS as usize
        });
        let successor = self.has_successor.then(launch);
        node.terminate();
        let first_end_at = Instant::now() + FAILS_OPEN_REQUESTS_AFTER - FIRST_LAST_BYTE_BEFORE;
        let clients: Vec<_> = (0..)
            .zip(begun)
            .map(|(n, request)| {
                thread::spawn(move || request.finish(first_end_at + n * LAST_BYTE_INTERVAL))
            })
            .collect();
        let outcomes: Vec<_> = clients.into_iter().filter_map(|client| client.join().unwrap()).collect();
        assert!(node.wait_for_exit().success());
        drop(successor);
        let log = node.log();
        assert!(!log.contains("violation:"), "{self:?}: {log}");
        assert!(outcomes.iter().all(|outcome| outcome.status.is_some()), "{self:?}: {outcomes:?}");
        let ran: Vec<_> =
            received.lock().unwrap().iter().map(|(head, _)| trace_id_of(head.as_bytes())).collect();
        let is_untrue =
            |outcome: &RequestOutcome| outcome.status == Some(503) && ran.contains(&outcome.trace_id);
        assert!(!outcomes.iter().any(is_untrue), "{self:?}: refused, but an endpoint ran it: {outcomes:?}");
        // Neighbours: bodies that end early enough are served. Of those that end too late, the ones that the node has
        // begun to forward fail, and the others are refused.
        let has = |wanted: u16| outcomes.iter().any(|outcome| outcome.status == Some(wanted));
        let too_late = if self.body_bytes > 64 * 1024 { 502 } else { 503 };
        assert!(has(200) && has(too_late), "{self:?}: {outcomes:?}");
        let _ = std::fs::remove_dir_all(&state_dir);
    }
}

/// Guards against requests that the node reads, sends to an endpoint and never answers: their bodies ended after the
/// node had failed all open requests, 0.1 s before the end of the process.
#[test]
fn a_request_whose_body_ends_just_before_the_end_of_the_process_is_answered() {
    thread::scope(|scope| {
        for (framing, body_bytes, has_successor) in [
            (Framing::Length, 60_000, false),
            (Framing::Chunks, 60_000, false),
            (Framing::Length, 200_000, false),
            (Framing::Chunks, 200_000, false),
            (Framing::Length, 60_000, true),
        ] {
            let requests = SlowRequests { framing, body_bytes, has_successor };
            scope.spawn(move || requests.assert_answered());
        }
    });
}
