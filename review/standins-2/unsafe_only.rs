//! Rolling restarts while bid servers hang one after another, with requests that are unsafe to repeat: does every
//! node go on sending?

use crate::common::*;
use crate::silence::{self, Answers};
use std::collections::HashSet;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const NODES: usize = 3;
const SERVERS: usize = 2;

fn request(id: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: bid-place\r\nX-Expires-In-Ms: 2000\r\n\
         Connection: close\r\nContent-Length: 3\r\n\r\nbid"
    )
}

pub fn run(folder: &Path) -> i32 {
    let record = Record::new();
    let attempts: Arc<Mutex<HashSet<String>>> = Arc::default();
    let servers: Vec<BidServer> = (0..SERVERS)
        .map(|number| {
            let (record, attempts) = (record.clone(), attempts.clone());
            BidServer::start(Arc::new(move |request, stream| {
                let id = request.header("x-trace-id").unwrap_or("?").to_owned();
                attempts.lock().unwrap().insert(id.clone());
                record.add(format!("server s-{number} runs {id}"));
                thread::sleep(ms(40));
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
    let classes = [class("bid-place", "at_most_once", 800, 2000, 0)];
    let known = list_json(1, true, &entries);
    let listen: Vec<_> = (0..NODES).map(|_| free_address()).collect();
    let start = |index: usize| {
        let name = format!("n{index}");
        let settings = settings(&classes, NODES, index, "on_request");
        let config = Node::configure(&name, listen[index], discovery.address, &known, &settings);
        Node::start(&name, listen[index], &config)
    };
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    if !nodes.iter().all(Node::wait_until_ready) {
        nodes.iter().for_each(|node| node.log_to(&record));
        record.save(folder);
        return 2;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Answers::default();
    let clients: Vec<_> = (0..NODES)
        .map(|node| {
            let (address, record) = (listen[node], record.clone());
            let (is_over, answers) = (is_over.clone(), answers.clone());
            thread::spawn(move || {
                silence::send_at_pace(node, address, ms(20), request, "", &is_over, &answers, &record);
            })
        })
        .collect();
    thread::sleep(ms(4000));
    // One node after another is told to end, while half of the bid servers hang just then.
    for round in 0..SERVERS {
        if trouble() {
            record.add(format!("SIGTERM to n{round}; server s-{round} hangs for 4 s"));
            nodes[round].signal("-TERM");
            servers[round].hang(true);
        }
        // SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
        thread::sleep(ms(2800));
        if trouble() {
            nodes[round].kill();
        }
        thread::sleep(ms(1200));
        if trouble() {
            servers[round].hang(false);
            record.add(format!("server s-{round} goes on"));
            nodes[round] = start(round);
            record.add(format!("n{round} starts again, ready: {}", nodes[round].wait_until_ready()));
        }
        thread::sleep(ms(4000));
    }
    record.add("no server hangs from here on");
    thread::sleep(ms(20_000));
    for node in &nodes {
        record.add(format!("{} answers 200 to /up: {}", node.name, node.wait_until_ready()));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let silent_nodes = silence::judge(NODES, &answers, &attempts.lock().unwrap(), &record);
    nodes.iter().for_each(|node| node.log_to(&record));
    record.save(folder);
    i32::from(silent_nodes * 10 > NODES)
}
