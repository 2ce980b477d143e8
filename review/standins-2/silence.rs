//! The rule on nodes that refuse everything: 15 requests or more, for 4 s on end, with no attempt in between.

use crate::common::*;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MIN_REQUESTS: usize = 15;
const MIN_SPAN: Duration = Duration::from_secs(4);

pub struct Answer {
    pub node: usize,
    pub id: String,
    pub sent_at: Instant,
    pub status: u16,
}

pub type Answers = Arc<Mutex<Vec<Answer>>>;

/// Sends a request to a node at each `pace` until `is_over`, each on a connection of its own. `request` builds the
/// request with an id. Returns when all have ended.
pub fn send_at_pace(
    node: usize,
    address: SocketAddr,
    pace: Duration,
    request: fn(&str) -> String,
    name: &str,
    is_over: &AtomicBool,
    answers: &Answers,
    record: &Record,
) {
    let mut threads = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("n{node}-{name}{number}");
        let (answers, record) = (answers.clone(), record.clone());
        threads.push(thread::spawn(move || {
            let sent_at = Instant::now();
            let text = request(&id);
            let answer = Client::connect(address).and_then(|mut client| {
                client.send(text.as_bytes()).and_then(|()| client.receive(ms(2600)))
            });
            let status = answer.map_or(0, |answer| answer.status());
            record.add(format!("{id}: {status}"));
            // A client that cannot reach a node that is down has sent it nothing.
            if status != 0 {
                answers.lock().unwrap().push(Answer { node, id, sent_at, status });
            }
        }));
        thread::sleep(pace);
    }
    for thread in threads {
        let _ = thread.join();
    }
}

/// Returns how many of the nodes broke the rule, and prints and records the longest time of each.
pub fn judge(nodes: usize, answers: &Answers, attempts: &HashSet<String>, record: &Record) -> usize {
    let mut answers = answers.lock().unwrap();
    answers.sort_by_key(|answer| answer.sent_at);
    let mut silent_nodes = 0;
    for node in 0..nodes {
        let (mut longest, mut longest_requests) = (Duration::ZERO, 0);
        let mut run: Option<(Instant, usize)> = None;
        let (mut served, mut all) = (0, 0);
        for answer in answers.iter().filter(|answer| answer.node == node) {
            all += 1;
            served += usize::from(answer.status == 200);
            let is_refused = matches!(answer.status, 429 | 503) && !attempts.contains(&answer.id);
            run = match (run, is_refused) {
                (_, false) => None,
                (None, true) => Some((answer.sent_at, 1)),
                (Some((since, requests)), true) => Some((since, requests + 1)),
            };
            if let Some((since, requests)) = run
                && answer.sent_at - since > longest
            {
                (longest, longest_requests) = (answer.sent_at - since, requests);
            }
        }
        silent_nodes += usize::from(longest >= MIN_SPAN && longest_requests >= MIN_REQUESTS);
        let text = format!(
            "n{node}: served {served} of {all}; longest time with refusals alone and no attempt {:.1} s \
             ({longest_requests} requests)",
            longest.as_secs_f64()
        );
        record.add(&text);
        println!("{text}");
    }
    silent_nodes
}
