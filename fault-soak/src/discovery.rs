//! A stand-in for discovery: one list for all nodes, told to each at addresses of its own, and faults on demand.

use crate::http::{Message, answer};
use crate::proxy::listen;
use crate::record::{Change, Record, Told};
use crate::settings::Membership;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// After a new configuration the old address takes no new calls, and closes open ones so much later.
const MOVED_CLOSES: Duration = Duration::from_millis(1500);
/// How late a slow discovery answers; what an agent has counts at once, so one that is slower could not be held to it.
const SLOW: Duration = Duration::from_millis(1200);
const SLOW_AGENT: Duration = Duration::from_millis(200);
/// How long a change counts as told at the latest, once discovery could be reached.
pub const TOLD_AT_LATEST: f64 = 6.0;
/// The longest wait of a call.
const LONGEST_WAIT: u64 = 60_000;
/// The first version, and by how much the count falls where it begins anew. It never reaches what it was before: a node
/// that slept through the fall would then be told of changes since another list, and nobody could see that.
const FIRST_VERSION: u64 = 1_000_000;
const COUNT_STEP: u64 = 1000;
/// Changes that are told one by one; who is further behind gets the whole list.
const CHANGES_KEPT: usize = 40;

/// How it behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Manner {
    /// Resets all calls.
    pub down: bool,
    /// Answers late.
    pub slow: bool,
    /// Answers nothing.
    pub silent: bool,
}

/// A line of the list.
#[derive(Clone, Debug)]
struct Line {
    uid: String,
    endpoint: SocketAddr,
    state: &'static str,
    boot_ms: i64,
    /// The count of changes at its last one.
    version: u64,
}

impl Line {
    fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint.to_string(), "az": "a", "model": "m", "pod_group": 0,
               "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

#[derive(Debug, Default)]
struct List {
    lines: Vec<Line>,
    /// Counts changes and never goes back.
    version: u64,
    /// What is taken from it for the count that nodes are told, and the version at which that count began.
    count_from: u64,
    count_began: u64,
    /// How often the count has begun anew.
    counts: u64,
    manner: Manner,
    /// When it was last down or silent.
    unreachable_until: f64,
}

/// Discovery.
pub struct Discovery {
    list: Mutex<List>,
    changed: watch::Sender<u64>,
    /// Counts outages, which end all calls.
    outages: watch::Sender<u32>,
    /// At which of its two addresses each node has to call.
    moved: Vec<watch::Sender<usize>>,
    membership: Membership,
    record: Arc<Record>,
}

/// The name of a server on the list.
pub fn uid(server: usize) -> String {
    format!("s-{server}")
}

impl Discovery {
    /// One that lists these servers as up for long, and listens for each node at its two addresses.
    pub fn start(
        servers: &[SocketAddr],
        nodes: &[[SocketAddr; 2]],
        membership: Membership,
        record: Arc<Record>,
    ) -> Arc<Discovery> {
        let lines = servers.iter().enumerate();
        let lines = lines.map(|(n, endpoint)| Line {
            uid: uid(n),
            endpoint: *endpoint,
            state: "up",
            boot_ms: 0,
            version: 1,
        });
        let list = List { lines: lines.collect(), version: FIRST_VERSION, ..List::default() };
        let discovery = Arc::new(Discovery {
            list: Mutex::new(list),
            changed: watch::Sender::new(FIRST_VERSION),
            outages: watch::Sender::new(0),
            moved: nodes.iter().map(|_| watch::Sender::new(0)).collect(),
            membership,
            record,
        });
        for (node, addresses) in nodes.iter().enumerate() {
            for (which, address) in addresses.iter().enumerate() {
                let listener = listen(*address);
                let own = discovery.clone();
                tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let _ = stream.set_nodelay(true);
                        tokio::spawn(own.clone().serve(stream, node, which));
                    }
                });
            }
        }
        discovery
    }

    /// The whole list, as a node is given it at its start.
    pub fn known(&self) -> Value {
        let list = self.list.lock().unwrap();
        whole(&list)
    }

    /// From now on this node calls at its other address.
    pub fn move_node(&self, node: usize, which: usize) {
        self.moved[node].send_replace(which);
    }

    /// The address at which it has to call.
    pub fn place_of(&self, node: usize) -> usize {
        *self.moved[node].borrow()
    }

    /// Changes how it behaves.
    pub fn set(&self, change: impl FnOnce(&mut Manner)) {
        let now = self.record.now();
        let mut list = self.list.lock().unwrap();
        let before = list.manner;
        change(&mut list.manner);
        let unreachable = |manner: Manner| manner.down || manner.silent;
        if unreachable(before) {
            list.unreachable_until = now;
        }
        if unreachable(before) && !unreachable(list.manner) {
            self.tell_agents(now);
        }
        if list.manner.down && !before.down {
            self.outages.send_modify(|outages| *outages += 1);
        }
        drop(list);
        self.changed.send_modify(|_| {});
    }

    /// An agent tells at once; it learns nothing while it is silent.
    fn tell_agents(&self, now: f64) {
        if self.membership == Membership::Pushed {
            let mut told = self.record.told.lock().unwrap();
            told.iter_mut().flat_map(|told| &mut told.nodes).for_each(|at| *at = at.min(now));
        }
    }

    /// Begins another count of versions, below the one that nodes know.
    pub fn count_anew(&self) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.count_began = list.version;
        list.counts += 1;
        list.count_from = list.version - (FIRST_VERSION - COUNT_STEP * list.counts);
        let version = list.version;
        drop(list);
        self.changed.send_replace(version);
    }

    /// Changes a server's line, and notes what that tells nodes.
    pub fn change(&self, server: usize, state: &'static str, boot_ms: Option<i64>, change: Change) {
        let now = self.record.now();
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        let version = list.version;
        let line = &mut list.lines[server];
        (line.state, line.version) = (state, version);
        line.boot_ms = boot_ms.unwrap_or(line.boot_ms);
        let reachable = !(list.manner.down || list.manner.silent);
        let at_once = self.membership == Membership::Pushed && reachable;
        let nodes = vec![if at_once { now } else { f64::INFINITY }; self.moved.len()];
        self.record.told.lock().unwrap().push(Told { server, change, at: now, version, nodes });
        drop(list);
        self.changed.send_replace(version);
    }

    /// By when a change made at `at` counts as told whether or not it was heard: it could be had from then on.
    pub fn told_by(&self, at: f64) -> f64 {
        let list = self.list.lock().unwrap();
        let unreachable = list.manner.down || list.manner.silent;
        if unreachable { f64::INFINITY } else { at.max(list.unreachable_until) + TOLD_AT_LATEST }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, node: usize, which: usize) {
        let mut outages = self.outages.subscribe();
        outages.borrow_and_update();
        let mut place = self.moved[node].subscribe();
        if *place.borrow_and_update() != which || self.list.lock().unwrap().manner.down {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let conversation = async {
            while let Ok(call) = Message::read(&mut reader, || {}).await {
                let Some((bytes, version)) = self.answer(&call).await else {
                    return std::future::pending().await;
                };
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
                self.note_told(node, version);
            }
        };
        tokio::select! {
            () = conversation => {}
            _ = outages.changed() => {}
            () = async {
                let _ = place.changed().await;
                tokio::time::sleep(MOVED_CLOSES).await;
            } => {}
        }
    }

    fn note_told(&self, node: usize, version: u64) {
        let now = self.record.now();
        let mut told = self.record.told.lock().unwrap();
        for told in told.iter_mut().filter(|told| told.version <= version) {
            told.nodes[node] = told.nodes[node].min(now);
        }
    }

    /// The answer to a call, and the version that it tells; none where the call is never answered.
    async fn answer(&self, call: &Message) -> Option<(Vec<u8>, u64)> {
        let number = |name: &str| {
            let (_, rest) = call.first_line.split_once(name)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let after = number("after=");
        let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0).min(LONGEST_WAIT));
        if self.list.lock().unwrap().manner.silent {
            return None;
        }
        let mut changed = self.changed.subscribe();
        let news = async {
            loop {
                changed.borrow_and_update();
                if self.list.lock().unwrap().manner.silent {
                    std::future::pending::<()>().await;
                }
                if after.is_none_or(|after| self.has_news(after)) || changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(wait, news).await;
        let manner = self.list.lock().unwrap().manner;
        if manner.silent {
            return None;
        }
        if manner.slow {
            let slow = if self.membership == Membership::Pushed { SLOW_AGENT } else { SLOW };
            tokio::time::sleep(slow.mul_f64(0.3 + 0.7 * fastrand::f64())).await;
        }
        let list = self.list.lock().unwrap();
        let body = since(&list, after);
        Some((answer("200 OK", "", body.to_string().as_bytes()), list.version))
    }

    fn has_news(&self, after: u64) -> bool {
        let list = self.list.lock().unwrap();
        after != list.version - list.count_from
    }
}

fn whole(list: &List) -> Value {
    let lines: Vec<Value> = list.lines.iter().filter(|l| l.state != "removed").map(Line::json).collect();
    json!({"rev": list.version - list.count_from, "all": true, "targets": lines})
}

/// What has changed since a version of the present count, or all.
fn since(list: &List, after: Option<u64>) -> Value {
    let present = list.version - list.count_from;
    let after = after.filter(|after| *after <= present).map(|after| after + list.count_from);
    let after =
        after.filter(|after| *after >= list.count_began && *after + CHANGES_KEPT as u64 > list.version);
    let Some(after) = after else { return whole(list) };
    let lines: Vec<Value> = list.lines.iter().filter(|l| l.version > after).map(Line::json).collect();
    json!({"rev": present, "all": false, "targets": lines})
}
