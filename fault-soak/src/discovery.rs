//! A stand-in for discovery: one list for all nodes, served to each at addresses of its own, and faults on
//! demand.

use crate::http::{Message, answer};
use crate::proxy::listen;
use crate::record::{ChangeRecord, Record, ServerChange};
use crate::settings::DiscoveryMode;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// After a new configuration the old address takes no new calls, and closes open ones so much later.
const MOVED_CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// How late a slow discovery answers; what an agent has counts at once, so one that is slower could not be
/// held to it.
const SLOW_ANSWER: Duration = Duration::from_millis(1200);
const SLOW_AGENT_ANSWER: Duration = Duration::from_millis(200);
/// After so long a change counts as known at the latest, once discovery could be reached.
pub const KNOWN_AT_LATEST: f64 = 6.0;
/// The longest wait of a call.
const MAX_WAIT_MS: u64 = 60_000;
/// The first version, and by how much the count falls where it begins anew. It never reaches what it was
/// before: a node that slept through the fall would then get changes since another list, and nobody could
/// see that.
const FIRST_VERSION: u64 = 1_000_000;
const RESTART_STEP: u64 = 1000;
/// Changes that are sent one by one; a node that is further behind gets the full list.
const MAX_DELTA: usize = 40;

/// How it behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryFaults {
    /// Resets all calls.
    pub down: bool,
    /// Answers late.
    pub slow: bool,
    /// Answers nothing.
    pub silent: bool,
}

/// An entry of the list.
#[derive(Clone, Debug)]
struct ListEntry {
    uid: String,
    endpoint: SocketAddr,
    state: &'static str,
    boot_ms: i64,
    /// The count of changes at its last one.
    version: u64,
}

impl ListEntry {
    fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint.to_string(), "az": "a", "model": "m", "pod_group": 0,
               "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

#[derive(Debug, Default)]
struct List {
    entries: Vec<ListEntry>,
    /// Counts changes and never goes back.
    version: u64,
    /// What is taken from it for the count that nodes see, and the version at which that count began.
    count_from: u64,
    count_began_at: u64,
    /// How often the count has begun anew.
    restarts: u64,
    faults: DiscoveryFaults,
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
    mode: DiscoveryMode,
    record: Arc<Record>,
}

/// The name of a server on the list.
pub fn server_name(server: usize) -> String {
    format!("s-{server}")
}

impl Discovery {
    /// One that lists these servers as up for long, and listens for each node at its two addresses.
    pub fn start(
        servers: &[SocketAddr],
        nodes: &[[SocketAddr; 2]],
        mode: DiscoveryMode,
        record: Arc<Record>,
    ) -> Arc<Discovery> {
        let entries = servers.iter().enumerate();
        let entries = entries.map(|(n, endpoint)| ListEntry {
            uid: server_name(n),
            endpoint: *endpoint,
            state: "up",
            boot_ms: 0,
            version: 1,
        });
        let list = List { entries: entries.collect(), version: FIRST_VERSION, ..List::default() };
        let discovery = Arc::new(Discovery {
            list: Mutex::new(list),
            changed: watch::Sender::new(FIRST_VERSION),
            outages: watch::Sender::new(0),
            moved: nodes.iter().map(|_| watch::Sender::new(0)).collect(),
            mode,
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

    /// The full list, as a node has it at its start.
    pub fn known(&self) -> Value {
        let list = self.list.lock().unwrap();
        full_list(&list)
    }

    /// From now on this node calls at its other address.
    pub fn move_node(&self, node: usize, which: usize) {
        self.moved[node].send_replace(which);
    }

    /// The address at which it has to call.
    pub fn address_of(&self, node: usize) -> usize {
        *self.moved[node].borrow()
    }

    /// Changes how it behaves.
    pub fn set(&self, change: impl FnOnce(&mut DiscoveryFaults)) {
        let now = self.record.now();
        let mut list = self.list.lock().unwrap();
        let before = list.faults;
        change(&mut list.faults);
        let unreachable = |faults: DiscoveryFaults| faults.down || faults.silent;
        if unreachable(before) {
            list.unreachable_until = now;
        }
        if unreachable(before) && !unreachable(list.faults) {
            self.notify_agents(now);
        }
        if list.faults.down && !before.down {
            self.outages.send_modify(|outages| *outages += 1);
        }
        drop(list);
        self.changed.send_modify(|_| {});
    }

    /// An agent notifies at once; it learns nothing while it is silent.
    fn notify_agents(&self, now: f64) {
        if self.mode == DiscoveryMode::Push {
            let mut changes = self.record.changes.lock().unwrap();
            changes.iter_mut().flat_map(|change| &mut change.notified_at).for_each(|at| *at = at.min(now));
        }
    }

    /// Begins another count of versions, below the one that nodes know.
    pub fn restart_versions(&self) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.count_began_at = list.version;
        list.restarts += 1;
        list.count_from = list.version - (FIRST_VERSION - RESTART_STEP * list.restarts);
        let version = list.version;
        drop(list);
        self.changed.send_replace(version);
    }

    /// Changes a server's entry, and notes when nodes are notified.
    pub fn change(&self, server: usize, state: &'static str, boot_ms: Option<i64>, change: ServerChange) {
        let now = self.record.now();
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        let version = list.version;
        let entry = &mut list.entries[server];
        entry.state = state;
        entry.version = version;
        entry.boot_ms = boot_ms.unwrap_or(entry.boot_ms);
        let reachable = !(list.faults.down || list.faults.silent);
        let at_once = self.mode == DiscoveryMode::Push && reachable;
        let notified_at = vec![if at_once { now } else { f64::INFINITY }; self.moved.len()];
        self.record.changes.lock().unwrap().push(ChangeRecord {
            server,
            change,
            at: now,
            version,
            notified_at,
        });
        drop(list);
        self.changed.send_replace(version);
    }

    /// By when a change made at `at` counts as known whether or not a node was notified: it could be had
    /// from then on.
    pub fn known_by(&self, at: f64) -> f64 {
        let list = self.list.lock().unwrap();
        let unreachable = list.faults.down || list.faults.silent;
        if unreachable { f64::INFINITY } else { at.max(list.unreachable_until) + KNOWN_AT_LATEST }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream, node: usize, which: usize) {
        let mut outages = self.outages.subscribe();
        outages.borrow_and_update();
        let mut place = self.moved[node].subscribe();
        if *place.borrow_and_update() != which || self.list.lock().unwrap().faults.down {
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
                self.record_notified(node, version);
            }
        };
        tokio::select! {
            () = conversation => {}
            _ = outages.changed() => {}
            () = async {
                let _ = place.changed().await;
                tokio::time::sleep(MOVED_CLOSE_DELAY).await;
            } => {}
        }
    }

    fn record_notified(&self, node: usize, version: u64) {
        let now = self.record.now();
        let mut changes = self.record.changes.lock().unwrap();
        for change in changes.iter_mut().filter(|change| change.version <= version) {
            change.notified_at[node] = change.notified_at[node].min(now);
        }
    }

    /// The answer to a call, and the version that it has; none where the call is never answered.
    async fn answer(&self, call: &Message) -> Option<(Vec<u8>, u64)> {
        let number = |name: &str| {
            let (_, rest) = call.first_line.split_once(name)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let after = number("after=");
        let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0).min(MAX_WAIT_MS));
        if self.list.lock().unwrap().faults.silent {
            return None;
        }
        let mut changed = self.changed.subscribe();
        let update = async {
            loop {
                changed.borrow_and_update();
                if self.list.lock().unwrap().faults.silent {
                    std::future::pending::<()>().await;
                }
                if after.is_none_or(|after| self.has_update(after)) || changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(wait, update).await;
        let faults = self.list.lock().unwrap().faults;
        if faults.silent {
            return None;
        }
        if faults.slow {
            let slow = if self.mode == DiscoveryMode::Push { SLOW_AGENT_ANSWER } else { SLOW_ANSWER };
            tokio::time::sleep(slow.mul_f64(0.3 + 0.7 * fastrand::f64())).await;
        }
        let list = self.list.lock().unwrap();
        let body = changes_since(&list, after);
        Some((answer("200 OK", "", body.to_string().as_bytes()), list.version))
    }

    fn has_update(&self, after: u64) -> bool {
        let list = self.list.lock().unwrap();
        after != list.version - list.count_from
    }
}

fn full_list(list: &List) -> Value {
    let entries: Vec<Value> =
        list.entries.iter().filter(|entry| entry.state != "removed").map(ListEntry::json).collect();
    json!({"rev": list.version - list.count_from, "all": true, "targets": entries})
}

/// What has changed since a version of the present count, or all.
fn changes_since(list: &List, after: Option<u64>) -> Value {
    let present = list.version - list.count_from;
    let after = after.filter(|after| *after <= present).map(|after| after + list.count_from);
    let after =
        after.filter(|after| *after >= list.count_began_at && *after + MAX_DELTA as u64 > list.version);
    let Some(after) = after else { return full_list(list) };
    let entries: Vec<Value> =
        list.entries.iter().filter(|entry| entry.version > after).map(ListEntry::json).collect();
    json!({"rev": present, "all": false, "targets": entries})
}
