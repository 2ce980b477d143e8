//! A process is replaced while discovery is down. The old one had been told that a bid server drains; the list in the
//! configuration is older. Does the node go on sending nothing to that server?

use crate::common::*;
use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The longest deadline of the settings.
const DEADLINE: u64 = 1000;
/// News counts as told so long after the new process has said yes, in milliseconds.
const TOLD_AFTER_YES: u64 = 2000;
/// The grace of a drain, and what each time limit is longer on sockets.
const GRACE: u64 = 750 + 50;

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let sends: Arc<Mutex<Vec<(Instant, usize, String)>>> = Arc::default();
    let servers: Vec<BidServer> = (0..3)
        .map(|number| {
            let (record, sends) = (record.clone(), sends.clone());
            BidServer::start(Arc::new(move |request, stream| {
                let id = request.header("x-trace-id").unwrap_or("?").to_owned();
                record.add(format!("server s-{number} runs {id}"));
                sends.lock().unwrap().push((Instant::now(), number, id.clone()));
                thread::sleep(ms(20));
                let _ = stream.write_all(&response("200 OK", "", &id));
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
    // The platform's socket, and the configuration as it was when the first process was started.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = listener.local_addr().unwrap();
    let known = list_json(1, true, &entries);
    let config =
        Node::configure("n0", listen, discovery.address, &known, &settings(&classes, 1, 0, "on_request"));
    let (first_console, second_console) = (free_address(), free_address());
    let mut old = Node::start_inheriting("n0", &listener, &config, first_console);
    if !old.wait_until_ready() {
        old.log_to(&record);
        record.save(folder);
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let (is_over, record) = (is_over.clone(), record.clone());
        thread::spawn(move || {
            let mut threads = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let record = record.clone();
                threads.push(thread::spawn(move || {
                    let request = format!(
                        "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: view-{number}\r\nX-Qos: lot-view\r\n\
                         X-Object: lot-{}\r\nX-Expires-In-Ms: {DEADLINE}\r\nConnection: close\r\n\r\n",
                        number % 50
                    );
                    let answer = Client::connect(listen)
                        .and_then(|mut client| client.send(request.as_bytes()).and_then(|()| client.receive(ms(1600))));
                    record.add(format!(
                        "view-{number}: {:?}",
                        answer.map(|answer| answer.status()).map_err(|e| e.to_string())
                    ));
                }));
                thread::sleep(ms(25));
            }
            for thread in threads {
                let _ = thread.join();
            }
        })
    };
    thread::sleep(ms(2000));
    record.add("s-0 begins to drain");
    discovery.change("s-0", |entry| entry.state = "draining");
    thread::sleep(ms(4000));
    if trouble() {
        record.add("discovery goes down");
        discovery.set_down(true);
    }
    thread::sleep(ms(1000));
    record.add("the new process is started");
    let new = Node::start_inheriting("n0", &listener, &config, second_console);
    let give_up_at = Instant::now() + ms(6000);
    let mut yes_at = None;
    while yes_at.is_none() && Instant::now() < give_up_at {
        match call(second_console, "ready") {
            Ok(answer) if answer.starts_with("done") => {
                yes_at = Some(Instant::now());
                record.add(format!("the new process says: {answer}"));
            }
            _ => thread::sleep(ms(50)),
        }
    }
    let counts_from = yes_at.unwrap_or(give_up_at) + ms(TOLD_AFTER_YES + GRACE);
    record.add("SIGTERM to the old process");
    old.signal("-TERM");
    let kill_at = Instant::now() + ms(DEADLINE + 700);
    while !old.has_ended() && Instant::now() < kill_at {
        thread::sleep(ms(5));
    }
    old.kill();
    record.add("the old process has ended");
    thread::sleep((counts_from + ms(3000)).saturating_duration_since(Instant::now()));
    if trouble() {
        record.add("discovery is back");
    }
    let counts_until = Instant::now();
    discovery.set_down(false);
    thread::sleep(ms(2000));
    is_over.store(true, Ordering::SeqCst);
    let _ = traffic.join();
    let sends = sends.lock().unwrap();
    let broken: Vec<_> = sends
        .iter()
        .filter(|(at, number, _)| *number == 0 && *at > counts_from && *at < counts_until)
        .collect();
    for (at, _, id) in &broken {
        record.add_at(
            *at,
            format!(
                "BROKEN: {id} was sent to s-0, which drains, {:.0} ms after the grace was over",
                at.duration_since(counts_from).as_secs_f64() * 1000.0
            ),
        );
    }
    let all = sends.iter().filter(|(at, _, _)| *at > counts_from && *at < counts_until).count();
    let text = format!(
        "of {all} requests sent after the grace was over, {} went to the server that drains",
        broken.len()
    );
    record.add(&text);
    println!("{text}");
    new.log_to(&record);
    record.save(folder);
    i32::from(!broken.is_empty())
}
