//! A planned restart while clients send bodies at 64 kB a second: which requests get no answer?

use crate::common::*;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const CLIENTS: usize = 40;
const BODY_BYTES: usize = 60_000;
/// Bytes a second: the pace that the page grants a client for a body.
const PACE: usize = 64_000;
const PIECE: usize = 640;
/// The longest deadline of the settings, in milliseconds.
const DEADLINE: u64 = 1000;

struct Outcome {
    id: String,
    last_byte_at: Option<Instant>,
    ended_at: Instant,
    answer: Result<u16, String>,
}

fn slow_request(client: &mut Client, id: &str) -> Outcome {
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: bid-place\r\nX-Object: o1\r\n\
         X-Expires-In-Ms: {DEADLINE}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let body = vec![b'b'; BODY_BYTES];
    let started_at = Instant::now();
    let mut written = client.send(head.as_bytes());
    for (n, piece) in body.chunks(PIECE).enumerate() {
        sleep_until(started_at + ms((n * PIECE * 1000 / PACE) as u64));
        written = written.and_then(|()| client.send(piece));
    }
    let last_byte_at = written.is_ok().then(Instant::now);
    let answer = match written {
        Ok(()) => {
            client.receive(ms(DEADLINE + 600)).map(|answer| answer.status()).map_err(|e| e.to_string())
        }
        Err(error) => Err(error.to_string()),
    };
    Outcome { id: id.to_owned(), last_byte_at, ended_at: Instant::now(), answer }
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let ran: Arc<Mutex<Vec<String>>> = Arc::default();
    let servers: Vec<BidServer> = (0..3)
        .map(|number| {
            let (record, ran) = (record.clone(), ran.clone());
            BidServer::start(Arc::new(move |request, stream| {
                let id = request.header("x-trace-id").unwrap_or("?").to_owned();
                record.add(format!("server s-{number} begins {id}: {} body bytes", request.body.len()));
                ran.lock().unwrap().push(id.clone());
                thread::sleep(ms(130));
                use std::io::Write;
                let written = stream.write_all(&response("200 OK", "", &format!("placed {id}")));
                record.add(format!(
                    "server s-{number} has answered {id}: {:?}",
                    written.map_err(|e| e.to_string())
                ));
            }))
        })
        .collect();
    let entries: Vec<Entry> = servers
        .iter()
        .enumerate()
        .map(|(n, server)| Entry::up(&format!("s-{n}"), server.address))
        .collect();
    let discovery = Discovery::start(&entries, ms(0), record.clone());
    let classes = [
        class("lot-view", "idempotent", 500, DEADLINE, 5000),
        class("bid-place", "deduplicated", 800, DEADLINE, 2000),
    ];
    let listen = free_address();
    let known = list_json(1, true, &entries);
    let config =
        Node::configure("n0", listen, discovery.address, &known, &settings(&classes, 1, 0, "on_request"));
    let mut node = Node::start("n0", listen, &config);
    if !node.wait_until_ready() {
        node.log_to(&record);
        record.save(folder);
        return 2;
    }
    // Every client has a connection on which it has been served before.
    let begin = Instant::now() + ms(1000);
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            thread::spawn(move || {
                sleep_until(begin - ms(600) + ms(n as u64 * 5));
                let mut client = Client::connect(listen).unwrap();
                let first = format!("view-{n}");
                let request = format!(
                    "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {first}\r\nX-Qos: lot-view\r\n\
                     X-Expires-In-Ms: {DEADLINE}\r\n\r\n"
                );
                let first_answer = client.send(request.as_bytes()).and_then(|()| client.receive(ms(2000)));
                record.add(format!("client {n} first: {:?}", first_answer.map(|answer| answer.status())));
                // Clients use open connections after SIGTERM. These begin 0.30 to 0.62 s after it.
                sleep_until(begin + ms(300 + n as u64 * 8));
                record.add(format!("client {n} begins bid-{n}"));
                let outcome = slow_request(&mut client, &format!("bid-{n}"));
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    sleep_until(begin);
    if trouble() {
        record.add("SIGTERM to n0");
        node.signal("-TERM");
    }
    let mut node_ended_at = None;
    while trouble() && node_ended_at.is_none() && begin.elapsed() < ms(DEADLINE + 700) {
        if node.has_ended() {
            node_ended_at = Some(Instant::now());
            record.add("n0 has ended by itself");
        }
        thread::sleep(ms(1));
    }
    if trouble() && node_ended_at.is_none() {
        record.add("SIGKILL to n0: the longest deadline and 0.7 s have passed");
        node.kill();
    }
    for client in clients {
        let _ = client.join();
    }
    let ran = ran.lock().unwrap();
    let mut lost = 0;
    let mut answered = 0;
    for outcome in outcomes.lock().unwrap().iter() {
        let Outcome { id, last_byte_at, ended_at, answer } = outcome;
        let after_signal = |at: &Instant| at.saturating_duration_since(begin).as_secs_f64() * 1000.0;
        let has_run = ran.contains(id);
        // Taken: the last byte was written well before the connection ended. A request whose last byte the client
        // wrote in the last 5 ms before that is left out, since it may have crossed the end of the connection.
        let was_taken = last_byte_at.is_some_and(|at| *ended_at > at + ms(5));
        let verdict = match answer {
            Ok(status) => {
                answered += 1;
                format!("answered {status}")
            }
            Err(error) if was_taken => {
                lost += 1;
                format!("LOST ({error})")
            }
            Err(error) => format!("not taken ({error})"),
        };
        record.add_at(
            *ended_at,
            format!(
                "{id}: last byte {} ms after SIGTERM, ended {:.0} ms after SIGTERM, run by a server: {has_run}, {verdict}",
                last_byte_at.as_ref().map_or("never".to_owned(), |at| format!("{:.0}", after_signal(at))),
                after_signal(ended_at)
            ),
        );
    }
    record.add(format!("answered {answered}, lost {lost}"));
    node.log_to(&record);
    record.save(folder);
    println!("answered {answered}, lost {lost}");
    i32::from(lost > 0)
}
