//! Tests responses that an endpoint writes slowly: with a pause before the body, or in parts with pauses between them.
mod node;

use node::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long each client waits for the first byte of its response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);
/// The length of a body that is too long to be buffered.
const LONG_BODY_BYTES: usize = 208_481;

/// How an endpoint writes the body of its response.
#[derive(Clone, Copy, Debug)]
enum Pace {
    /// The body begins some time after the head.
    LateBody,
    /// The body comes in parts, the first of them with the head.
    Parts,
}

impl Pace {
    /// The bytes of the response that the endpoint writes at once after the head, and before each pause.
    fn part_bytes(self) -> Vec<usize> {
        match self {
            Pace::LateBody => vec![0, LONG_BODY_BYTES],
            Pace::Parts => vec![30_000, 60_000, 60_000, LONG_BODY_BYTES],
        }
    }

    fn pause(self) -> Duration {
        match self {
            Pace::LateBody => Duration::from_millis(900),
            Pace::Parts => Duration::from_millis(450),
        }
    }
}

/// How the end of a response's body is given.
#[derive(Clone, Copy, Debug)]
enum ResponseFraming {
    Length,
    Chunks,
    Close,
}

impl ResponseFraming {
    const ALL: [ResponseFraming; 3] =
        [ResponseFraming::Length, ResponseFraming::Chunks, ResponseFraming::Close];

    fn header(self, length: usize) -> String {
        match self {
            ResponseFraming::Length => format!("Content-Length: {length}\r\n"),
            ResponseFraming::Chunks => "Transfer-Encoding: chunked\r\n".to_owned(),
            ResponseFraming::Close => "Connection: close\r\n".to_owned(),
        }
    }

    fn encode(self, part: &[u8]) -> Vec<u8> {
        match self {
            ResponseFraming::Chunks if part.is_empty() => Vec::new(),
            ResponseFraming::Chunks => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
            _ => part.to_vec(),
        }
    }
}

/// Starts an endpoint that answers each request after `service_time` with a long response at this pace, and counts the
/// requests.
fn start_slow_writer(
    pace: Pace,
    framing: ResponseFraming,
    service_time: Duration,
    count: &Arc<AtomicUsize>,
) -> SocketAddr {
    let count = count.clone();
    start_raw_endpoint(move |_, stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while Message::read(&mut reader).is_some() {
            count.fetch_add(1, Ordering::SeqCst);
            thread::sleep(service_time);
            // The write fails if the node has closed the connection, and the client then lacks the response.
            if write_response(&stream, pace, framing).is_err() || matches!(framing, ResponseFraming::Close)
            {
                return;
            }
        }
    })
}

fn write_response(mut stream: &TcpStream, pace: Pace, framing: ResponseFraming) -> std::io::Result<()> {
    let body = patterned_body(LONG_BODY_BYTES);
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", framing.header(body.len()));
    stream.write_all(head.as_bytes())?;
    let mut rest = body.as_slice();
    for (n, bytes) in pace.part_bytes().into_iter().enumerate() {
        if n > 0 {
            thread::sleep(pace.pause());
        }
        let (part, after) = rest.split_at(bytes.min(rest.len()));
        rest = after;
        stream.write_all(&framing.encode(part))?;
    }
    if matches!(framing, ResponseFraming::Chunks) {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Guards against sound responses that are cut off at the end of their attempt's time: if the time ended while the node
/// still buffered a response of unknown length, the node closed the connection to the endpoint and answered 502.
#[test]
fn a_long_response_that_begins_just_before_the_end_of_its_time_is_forwarded_whole() {
    // An attempt for class `bid` lasts until its objective, 500 ms, and a response is buffered for 100 ms.
    const SERVICE_TIME: Duration = Duration::from_millis(430);
    const LATEST_HEAD: Duration = Duration::from_millis(490);
    for framing in [ResponseFraming::Chunks, ResponseFraming::Close] {
        let head_written_at = Arc::new(Mutex::new(Instant::now()));
        let written_at = head_written_at.clone();
        let endpoint = start_raw_endpoint(move |_, stream| {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            if Message::read(&mut reader).is_some() {
                thread::sleep(SERVICE_TIME);
                *written_at.lock().unwrap() = Instant::now();
                let _ = write_response(&stream, Pace::LateBody, framing);
            }
        });
        let discovery = DiscoveryStub::start(all_up(&[endpoint]));
        let node = Node::start(discovery.address, |_| {});
        wait_for("a response head is written in time", || {
            let sent_at = Instant::now();
            let received = receive(node.address, &request("bid", 900));
            let head_after = head_written_at.lock().unwrap().duration_since(sent_at);
            if head_after > LATEST_HEAD {
                return false;
            }
            assert_eq!(received.status, "200", "{framing:?}: the head was written after {head_after:?}");
            assert!(received.body == Some(patterned_body(LONG_BODY_BYTES)), "{framing:?}: cut off");
            true
        });
    }
}

/// Guards against a short response that is cut off although no other attempt may follow: after a pause of 200 ms within
/// it, the node answered 502 to a request that must not run twice.
#[test]
fn a_short_response_with_a_pause_is_forwarded_if_the_request_must_not_be_repeated() {
    const PAUSE: Duration = Duration::from_millis(300);
    let record = RequestRecord::default();
    let endpoint = start_endpoint(&record, |_, _| {
        let bytes = response("200 OK", "", &patterned_body(20_000));
        let (first, second) = bytes.split_at(5_000);
        ScriptedResponse::SendInTwoParts(first.to_vec(), PAUSE, second.to_vec())
    });
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    let node = Node::start(discovery.address, |c| {
        c["settings"]["classes"][1]["objectiveMs"] = 4000.into();
        c["settings"]["classes"][1]["hardLimitMs"] = 4000.into();
    });
    let received = receive(node.address, &request("bid", 4000));
    assert_eq!(received.status, "200");
    assert!(received.body == Some(patterned_body(20_000)));
    assert_eq!(record.count(), 1);
}

/// What a client received.
struct Received {
    status: String,
    /// The time from the request until the head was complete.
    head_after: Duration,
    /// The decoded body. `None` if it did not arrive completely.
    body: Option<Vec<u8>>,
}

/// Sends a request on a new connection, and reads the response.
fn receive(address: SocketAddr, request: &[u8]) -> Received {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream.write_all(request).unwrap();
    let sent_at = Instant::now();
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).expect("a response head");
    let head_after = sent_at.elapsed();
    let status = head.split(' ').nth(1).unwrap_or_default().to_owned();
    let length =
        head.split("content-length: ").nth(1).and_then(|rest| rest.split('\r').next()?.parse().ok());
    let body = if head.contains("transfer-encoding: chunked") {
        read_chunked_body(&mut reader)
    } else {
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body).ok().map(|()| body)
    };
    Received { status, head_after, body }
}

/// Sends one request of each class at the same time to a node with two endpoints of this kind, and checks that each gets
/// the whole response from the first attempt.
fn assert_slow_response_is_served(pace: Pace, framing: ResponseFraming, service_time: Duration) {
    let count = Arc::new(AtomicUsize::new(0));
    let endpoints = [0, 1].map(|_| start_slow_writer(pace, framing, service_time, &count));
    let discovery = DiscoveryStub::start(all_up(&endpoints));
    let node = Node::start(discovery.address, |_| {});
    let clients = ["page", "pay", "bid"].map(|class| {
        let (address, request) = (node.address, request(class, CLIENT_TIMEOUT.as_millis() as u64));
        (class, thread::spawn(move || receive(address, &request)))
    });
    for (class, client) in clients {
        let Received { status, head_after, body } = client.join().unwrap();
        let case = format!("{pace:?}, {framing:?}, {class}");
        assert_eq!(status, "200", "{case}");
        assert!(head_after < CLIENT_TIMEOUT, "{case}: the response began after {head_after:?}");
        assert!(
            body == Some(patterned_body(LONG_BODY_BYTES)),
            "{case}: the response was cut off or changed"
        );
    }
    assert_eq!(count.load(Ordering::SeqCst), 3, "{pace:?}, {framing:?}: a request was sent again");
}

/// Guards against sound responses that are cut off: if no data of a body of unknown length came for 200 ms, the node
/// closed the connection to the endpoint, and answered 502 or sent the request again.
#[test]
fn a_long_response_that_an_endpoint_writes_slowly_is_forwarded_whole() {
    for framing in ResponseFraming::ALL {
        for pace in [Pace::LateBody, Pace::Parts] {
            assert_slow_response_is_served(pace, framing, Duration::from_millis(20));
        }
    }
}

/// Guards against sound responses that the end of the process cuts off: 0.5 s after the longest deadline it ended, whether
/// or not a response was still being forwarded, and SIGKILL may come much later.
#[test]
fn a_long_response_that_outlasts_the_shutdown_is_forwarded_whole() {
    let count = Arc::new(AtomicUsize::new(0));
    let endpoint = start_slow_writer(Pace::Parts, ResponseFraming::Chunks, Duration::ZERO, &count);
    let discovery = DiscoveryStub::start(all_up(&[endpoint]));
    let mut node = Node::start(discovery.address, |c| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = 300.into();
            class["hardLimitMs"] = 300.into();
        }
    });
    let (address, bytes) = (node.address, request("bid", 300));
    let client = thread::spawn(move || receive(address, &bytes));
    wait_for("the request reaches the endpoint", || count.load(Ordering::SeqCst) == 1);
    // The response takes 1.35 s, and the process would end after 0.8 s.
    node.terminate();
    let received = client.join().unwrap();
    assert_eq!(received.status, "200");
    assert!(received.body == Some(patterned_body(LONG_BODY_BYTES)), "the response was cut off");
    assert!(node.wait_for_exit().success());
    assert!(node.log().contains("violations=0"));
}
