//! A release of the bid servers after a quiet time: one is restarted and returns, then the other begins to drain. Do
//! the nodes send anything to the one that is in service?

use crate::common::*;
use crate::silence::{self, Answers};
use std::collections::HashSet;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const NODES: usize = 2;

fn request(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: lot-view\r\nX-Expires-In-Ms: 1000\r\n\
         Connection: close\r\n\r\n"
    )
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let attempts: Arc<Mutex<HashSet<String>>> = Arc::default();
    let servers: Vec<BidServer> = (0..2)
        .map(|number| {
            let (record, attempts) = (record.clone(), attempts.clone());
            BidServer::start(Arc::new(move |request, stream| {
                let id = request.header("x-trace-id").unwrap_or("?").to_owned();
                attempts.lock().unwrap().insert(id.clone());
                record.add(format!("server s-{number} runs {id}"));
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
        class("lot-view", "idempotent", 500, 1000, 5000),
        class("bid-place", "deduplicated", 800, 2000, 2000),
    ];
    let known = list_json(1, true, &entries);
    let nodes: Vec<Node> = (0..NODES)
        .map(|index| {
            let (name, listen) = (format!("n{index}"), free_address());
            let settings = settings(&classes, NODES, index, "on_request");
            let config = Node::configure(&name, listen, discovery.address, &known, &settings);
            Node::start(&name, listen, &config)
        })
        .collect();
    if !nodes.iter().all(Node::wait_until_ready) {
        nodes.iter().for_each(|node| node.log_to(&record));
        record.save(folder);
        return 2;
    }
    let answers = Answers::default();
    let traffic = |name: &'static str, time_ms: u64| {
        let is_over = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..NODES)
            .map(|node| {
                let (address, record) = (nodes[node].listen, record.clone());
                let (is_over, answers) = (is_over.clone(), answers.clone());
                thread::spawn(move || {
                    silence::send_at_pace(
                        node,
                        address,
                        ms(50),
                        request,
                        name,
                        &is_over,
                        &answers,
                        &record,
                    );
                })
            })
            .collect();
        thread::sleep(ms(time_ms));
        is_over.store(true, Ordering::SeqCst);
        for client in clients {
            let _ = client.join();
        }
    };
    traffic("day", 6000);
    record.add("a quiet time begins");
    thread::sleep(ms(30_000));
    if trouble() {
        record.add("s-0 drains, restarts and is back after 2 s");
        discovery.change("s-0", |entry| entry.state = "draining");
        thread::sleep(ms(2000));
        discovery.change("s-0", |entry| {
            entry.state = "up";
            entry.boot_ms = wall_ms();
        });
        thread::sleep(ms(1000));
        record.add("s-1 begins to drain");
        discovery.change("s-1", |entry| entry.state = "draining");
        thread::sleep(ms(1000));
    }
    record.add("traffic begins again");
    traffic("next", 12_000);
    let silent_nodes = silence::judge(NODES, &answers, &attempts.lock().unwrap(), &record);
    nodes.iter().for_each(|node| node.log_to(&record));
    record.save(folder);
    i32::from(silent_nodes * 10 > NODES)
}
