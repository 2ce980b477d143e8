//! A node stays within its memory limit, whatever hundreds of clients do at once. A process that exceeds the limit is
//! killed.
mod node;

use node::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The lowest memory limit of a node, in MiB.
const MEMORY_LIMIT_MIB: u64 = 32;
/// The number of clients at the same time. There are more descriptors than that.
const CLIENT_COUNT: usize = 340;
const DESCRIPTOR_LIMIT: u64 = 1024;
/// For how long the clients go on.
const DURATION: Duration = Duration::from_secs(8);
/// The length of a response that takes a slow reader longer than `DURATION`.
const LONG_RESPONSE_BYTES: usize = 4_000_000;

/// What a client does to take up memory.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    /// Writes a body at 64 kB per second.
    WriteSlowly,
    /// Sends half of a body and waits.
    StopInBody,
    /// Sends a head of many short fields and half of a body, and waits.
    SendManyFields,
    /// Reads a long response at 64 kB per second.
    ReadSlowly,
    /// Reads nothing of a long response.
    ReadNothing,
}

impl Behavior {
    const ALL: [Behavior; 5] = [
        Behavior::WriteSlowly,
        Behavior::StopInBody,
        Behavior::SendManyFields,
        Behavior::ReadSlowly,
        Behavior::ReadNothing,
    ];

    /// Does this once on a connection. Returns early if the node ends the connection.
    fn run(self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self {
            Behavior::WriteSlowly => {
                let bytes = post_with_body(Duration::from_secs(4), Framing::Length, 500_000);
                write_slowly(stream, &bytes)?;
            }
            Behavior::StopInBody => {
                stream.write_all(
                    &post_with_body(Duration::from_secs(4), Framing::Length, 60_000)[..30_000],
                )?;
            }
            Behavior::SendManyFields => {
                let fields: String = (0..90).map(|n| format!("f{n}:\r\n")).collect();
                let head = post_head(&format!("{fields}Content-Length: 60000\r\n"));
                stream.write_all(&[head.as_bytes(), &patterned_body(30_000)].concat())?;
            }
            Behavior::ReadSlowly => {
                stream.write_all(&request("page", 4000))?;
                return read_slowly(stream);
            }
            Behavior::ReadNothing => {
                stream.write_all(&request("page", 4000))?;
                thread::sleep(DURATION);
            }
        }
        read_head(&mut BufReader::new(stream));
        Ok(())
    }
}

fn write_slowly(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(6_400) {
        stream.write_all(piece)?;
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn read_slowly(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut part = [0; 6_400];
    while stream.read(&mut part)? > 0 {
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Starts an endpoint that answers GET requests with a long response, and takes bodies at 200 kB per second.
fn start_endpoint_for_long_bodies() -> SocketAddr {
    start_raw_endpoint(|_, mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(head) = read_head(&mut reader) {
            if head.starts_with("get") {
                let response = response("200 OK", "", &patterned_body(LONG_RESPONSE_BYTES));
                let _ = stream.write_all(&response);
                return;
            }
            let mut part = vec![0; 20_000];
            while reader.read(&mut part).is_ok_and(|length| length > 0) {
                thread::sleep(Duration::from_millis(100));
            }
        }
    })
}

/// Runs `CLIENT_COUNT` clients, and asserts that the node stays within its limit and serves others afterwards.
fn assert_stays_within_memory_limit(behaviors: &[Behavior]) {
    let endpoints = [0; 4].map(|_| start_endpoint_for_long_bodies());
    let discovery = DiscoveryStub::start(all_up(&endpoints));
    let mut node = Node::start(discovery.address, |c| {
        c["limits"]["memory_mb"] = MEMORY_LIMIT_MIB.into();
        c["limits"]["sockets"] = DESCRIPTOR_LIMIT.into();
    });
    let (address, end) = (node.address, Instant::now() + DURATION);
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|n| {
            let behavior = behaviors[n % behaviors.len()];
            thread::spawn(move || {
                while Instant::now() < end {
                    let mut stream = connect_with_receive_buffer(address, 16 * 1024);
                    let _ = behavior.run(&mut stream);
                }
            })
        })
        .collect();
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(50));
        assert!(node.is_running(), "{behaviors:?}: the node has ended");
    }
    let peak_kb = node.peak_memory_kb();
    assert!(peak_kb < MEMORY_LIMIT_MIB * 1024, "{behaviors:?}: the node took up {peak_kb} KiB");
    drop(node);
    clients.into_iter().for_each(|client| client.join().unwrap());
}

/// Guards against a process that exceeds its memory limit and is killed: heads and the buffers of connections were not
/// counted, and added up with the bodies.
#[test]
fn hundreds_of_slow_clients_do_not_exceed_the_memory_limit() {
    assert_stays_within_memory_limit(&Behavior::ALL);
    assert_stays_within_memory_limit(&[Behavior::SendManyFields]);
    assert_stays_within_memory_limit(&[Behavior::ReadNothing, Behavior::ReadSlowly]);
}

/// Guards the neighbour of that promise: requests are served again once the slow clients have left.
#[test]
fn requests_are_served_after_others_took_up_the_memory() {
    let record = RequestRecord::default();
    let endpoint = start_endpoint(&record, |_, _| ok(b"x"));
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    let node = Node::start(discovery.address, |c| c["limits"]["memory_mb"] = MEMORY_LIMIT_MIB.into());
    let slow_clients: Vec<TcpStream> = (0..CLIENT_COUNT)
        .map(|_| {
            let mut stream = TcpStream::connect(node.address).unwrap();
            let bytes = post_with_body(Duration::from_secs(4), Framing::Length, 60_000);
            // The node may refuse the body and close the connection.
            let _ = stream.write_all(&bytes[..50_000]);
            stream
        })
        .collect();
    drop(slow_clients);
    wait_for("a request is served", || {
        let bytes = post_with_body(Duration::from_secs(4), Framing::Length, 60_000);
        try_request(node.address, &bytes).is_some_and(|m| m.status() == 200)
    });
}
