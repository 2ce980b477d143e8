//! Spoilt answers: a bid server sends some of its answers twice, the second some milliseconds late. Does a client get
//! an answer that was made for another request? Does a request that is unsafe to repeat run twice?

use crate::common::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const CLIENTS: u64 = 4;
/// One of so many answers is sent twice.
const SPOILT: u64 = 10;
/// One of so many requests is turned away, as by a server whose queue is full.
const TURNED_AWAY: u64 = 7;

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let count = Arc::new(AtomicU64::new(0));
    let runs: Arc<Mutex<BTreeMap<String, Vec<usize>>>> = Arc::default();
    let servers: Vec<BidServer> = (0..2)
        .map(|number| {
            let (record, count, runs) = (record.clone(), count.clone(), runs.clone());
            BidServer::start(Arc::new(move |request, stream| {
                let id = request.header("x-trace-id").unwrap_or("?").to_owned();
                let n = count.fetch_add(1, Ordering::SeqCst);
                let answer = if n % TURNED_AWAY == 0 {
                    record.add(format!("server s-{number} turns {id} away"));
                    response("503 Service Unavailable", "X-Never-Ran: 1\r\n", "full")
                } else {
                    record.add(format!("server s-{number} runs {id}"));
                    runs.lock().unwrap().entry(id.clone()).or_default().push(number);
                    thread::sleep(ms(30));
                    response("200 OK", "", &format!("made for {id}"))
                };
                let _ = stream.write_all(&answer);
                if trouble() && n % SPOILT == 0 {
                    // 11 to 15 ms after the first.
                    let late = ms(11 + n / SPOILT % 5);
                    let sent_at = Instant::now();
                    let (record, mut stream) = (record.clone(), stream.try_clone().unwrap());
                    thread::spawn(move || {
                        sleep_until(sent_at + late);
                        let written = stream.write_all(&answer);
                        record.add(format!(
                            "server s-{number} sends its answer to {id} again, {} ms late: {:?}",
                            late.as_millis(),
                            written.map_err(|error| error.to_string())
                        ));
                    });
                }
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
        class("lot-view", "idempotent", 500, 1000, 5000),
        class("bid-place", "at_most_once", 800, 2000, 0),
    ];
    let listen = free_address();
    let known = list_json(1, true, &entries);
    let config =
        Node::configure("n0", listen, discovery.address, &known, &settings(&classes, 1, 0, "on_request"));
    let node = Node::start("n0", listen, &config);
    if !node.wait_until_ready() {
        node.log_to(&record);
        record.save(folder);
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (is_over, wrong, served, record) = (is_over.clone(), wrong.clone(), served.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random(n + 1);
                let mut client = Client::connect(listen).unwrap();
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{n}-{number}");
                    let request = format!(
                        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: bid-place\r\n\
                         X-Object: lot-{}\r\nX-Expires-In-Ms: 2000\r\nContent-Length: 3\r\n\r\nbid",
                        number % 5
                    );
                    let answer = client.send(request.as_bytes()).and_then(|()| client.receive(ms(2600)));
                    match answer {
                        Ok(answer) => {
                            let (status, text) = (answer.status(), answer.text());
                            record.add(format!("{id}: {status} {text:?}"));
                            served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                            if status == 200 && text != format!("made for {id}") {
                                wrong.lock().unwrap().push(format!("{id} was answered 200 {text:?}"));
                            }
                            if answer.header("connection").is_some_and(|value| value == "close") {
                                client = Client::connect(listen).unwrap();
                            }
                        }
                        Err(error) => {
                            record.add(format!("{id}: {error}"));
                            client = Client::connect(listen).unwrap();
                        }
                    }
                    thread::sleep(ms(random.between(1, 30)));
                }
            })
        })
        .collect();
    thread::sleep(ms(30_000));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let wrong = wrong.lock().unwrap();
    wrong.iter().for_each(|text| record.add(format!("WRONG: {text}")));
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, servers)| servers.len() > 1).collect();
    for (id, servers) in &twice {
        record.add(format!("TWICE: {id} is unsafe to repeat and was run by the servers {servers:?}"));
    }
    let text = format!(
        "served {}, with the answer to another request {}, run twice {}",
        served.load(Ordering::SeqCst),
        wrong.len(),
        twice.len()
    );
    record.add(&text);
    println!("{text}");
    node.log_to(&record);
    record.save(folder);
    i32::from(!wrong.is_empty() || !twice.is_empty())
}
