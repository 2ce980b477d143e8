//! Simulates discovery, the service from which nodes learn the list of servers.
//!
//! There is one list for all nodes, but each node calls at addresses of its own, so that the record can
//! tell when each node was notified of a change. Discovery can be made to fail in several ways.

use crate::http::{Message, response_bytes};
use crate::proxy::listen;
use crate::record::{Record, ServerChange, ServerChangeRecord};
use crate::settings::DiscoveryMode;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// How long after a node got a new address of discovery the calls that are open at the old one are closed.
/// The old address takes no new calls in the meantime.
const OLD_ADDRESS_CLOSE_DELAY: Duration = Duration::from_millis(1500);
/// The longest delay of a response while discovery is slow, if nodes poll one service.
const MAX_SLOW_POLL_DELAY: Duration = Duration::from_millis(1200);
/// The longest delay of a response while discovery is slow, if each node has a local agent. It is short
/// because the oracle expects a node to know a change at once when its agent does.
const MAX_SLOW_AGENT_DELAY: Duration = Duration::from_millis(200);
/// The time after which the oracle expects every node to know a change, counted from the change or from the
/// end of the last outage of discovery, whichever is later.
pub const MAX_PROPAGATION_SECONDS: f64 = 6.0;
/// The longest time that a call may ask discovery to wait for a change.
const MAX_WAIT_MS: u64 = 60_000;
/// The version of the first list.
const FIRST_VERSION: u64 = 1_000_000;
/// By how much each restart of the version numbering begins below the previous beginning. The step is so
/// large that the new versions never reach the old ones during a run. Otherwise a node that missed the
/// restart would get changes that do not apply to its list, and neither side could notice.
const VERSION_RESTART_STEP: u64 = 1000;
/// A node that is this many versions behind, or more, gets the full list in place of the changes.
const MAX_DELTA_VERSIONS: usize = 40;

/// The faults of discovery that are in effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryFaults {
    /// Closes all connections and resets new ones.
    pub down: bool,
    /// Responds late.
    pub slow: bool,
    /// Accepts calls but does not respond.
    pub silent: bool,
}

/// A server on the list.
#[derive(Clone, Debug)]
struct ListEntry {
    uid: String,
    endpoint: SocketAddr,
    state: &'static str,
    boot_ms: i64,
    /// The internal version of the list at the last change to this entry.
    version: u64,
}

impl ListEntry {
    fn json(&self) -> Value {
        json!({"uid": self.uid, "endpoint": self.endpoint.to_string(), "az": "a", "model": "m", "pod_group": 0,
               "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// The list of servers with its versions.
///
/// The internal version counts changes and never decreases. Nodes see a reported version, which is the
/// internal one less `version_offset`, and which decreases when the numbering restarts.
#[derive(Debug, Default)]
struct List {
    entries: Vec<ListEntry>,
    /// The internal version.
    version: u64,
    /// The internal version less the reported one.
    version_offset: u64,
    /// The internal version at which the present numbering began; 0 before the first restart.
    numbering_began_at: u64,
    /// How often the numbering has restarted.
    restarts: u64,
    faults: DiscoveryFaults,
    /// When discovery was last down or silent, in seconds since the start of the record.
    unreachable_until: f64,
}

/// The simulated discovery service.
pub struct Discovery {
    list: Mutex<List>,
    /// The internal version; also wakes waiting calls when the faults change.
    changed: watch::Sender<u64>,
    /// Counts the outages, each of which closes all connections.
    outages: watch::Sender<u32>,
    /// For each node, which of its two addresses of discovery is in use.
    active_address: Vec<watch::Sender<usize>>,
    mode: DiscoveryMode,
    record: Arc<Record>,
}

/// The name under which discovery lists a server.
pub fn server_name(server: usize) -> String {
    format!("s-{server}")
}

impl Discovery {
    /// Starts a discovery service that lists these servers as up and fully warm, and listens at the two
    /// addresses of each node.
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
            active_address: nodes.iter().map(|_| watch::Sender::new(0)).collect(),
            mode,
            record,
        });
        for (node, addresses) in nodes.iter().enumerate() {
            for (address_index, address) in addresses.iter().enumerate() {
                let listener = listen(*address);
                let service = discovery.clone();
                tokio::spawn(async move {
                    while let Ok((stream, _)) = listener.accept().await {
                        let _ = stream.set_nodelay(true);
                        tokio::spawn(service.clone().serve_connection(stream, node, address_index));
                    }
                });
            }
        }
        discovery
    }

    /// The full list, for the configuration of a node that starts now.
    pub fn current_list(&self) -> Value {
        let list = self.list.lock().unwrap();
        full_list(&list)
    }

    /// Moves discovery to another of the node's addresses.
    pub fn set_active_address(&self, node: usize, address_index: usize) {
        self.active_address[node].send_replace(address_index);
    }

    /// The index of the address at which the node reaches discovery.
    pub fn active_address(&self, node: usize) -> usize {
        *self.active_address[node].borrow()
    }

    /// Changes the faults that are in effect.
    pub fn set_faults(&self, change: impl FnOnce(&mut DiscoveryFaults)) {
        let now = self.record.now();
        let mut list = self.list.lock().unwrap();
        let before = list.faults;
        change(&mut list.faults);
        let unreachable = |faults: DiscoveryFaults| faults.down || faults.silent;
        if unreachable(before) {
            list.unreachable_until = now;
        }
        if unreachable(before) && !unreachable(list.faults) {
            self.record_agents_notified(now);
        }
        if list.faults.down && !before.down {
            self.outages.send_modify(|outages| *outages += 1);
        }
        drop(list);
        self.changed.send_modify(|_| {});
    }

    /// Records that the agents, if there are any, notify their nodes now of all changes that they missed
    /// while they were unreachable.
    fn record_agents_notified(&self, now: f64) {
        if self.mode == DiscoveryMode::Push {
            let mut changes = self.record.changes.lock().unwrap();
            changes.iter_mut().flat_map(|change| &mut change.notified_at).for_each(|at| *at = at.min(now));
        }
    }

    /// Restarts the numbering of the reported versions, below all versions that nodes know.
    pub fn restart_versions(&self) {
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        list.numbering_began_at = list.version;
        list.restarts += 1;
        list.version_offset = list.version - (FIRST_VERSION - VERSION_RESTART_STEP * list.restarts);
        let version = list.version;
        drop(list);
        self.changed.send_replace(version);
    }

    /// Changes a server's entry and records the change. Nodes with a local agent count as notified at once,
    /// if discovery can be reached. `boot_ms` is the new boot time; `None` keeps the present one.
    pub fn change_server(
        &self,
        server: usize,
        state: &'static str,
        boot_ms: Option<i64>,
        change: ServerChange,
    ) {
        let now = self.record.now();
        let mut list = self.list.lock().unwrap();
        list.version += 1;
        let version = list.version;
        let entry = &mut list.entries[server];
        entry.state = state;
        entry.version = version;
        entry.boot_ms = boot_ms.unwrap_or(entry.boot_ms);
        let reachable = !(list.faults.down || list.faults.silent);
        let notifies_at_once = self.mode == DiscoveryMode::Push && reachable;
        let notified_at =
            vec![if notifies_at_once { now } else { f64::INFINITY }; self.active_address.len()];
        self.record.changes.lock().unwrap().push(ServerChangeRecord {
            server,
            change,
            at: now,
            version,
            notified_at,
        });
        drop(list);
        self.changed.send_replace(version);
    }

    /// The time from which every node is expected to know a change that was made at `at`, whether or not
    /// the node was notified; infinite while discovery cannot be reached.
    pub fn deemed_known_at(&self, at: f64) -> f64 {
        let list = self.list.lock().unwrap();
        let unreachable = list.faults.down || list.faults.silent;
        if unreachable { f64::INFINITY } else { at.max(list.unreachable_until) + MAX_PROPAGATION_SECONDS }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, node: usize, address_index: usize) {
        let mut outages = self.outages.subscribe();
        outages.borrow_and_update();
        let mut active_address = self.active_address[node].subscribe();
        if *active_address.borrow_and_update() != address_index || self.list.lock().unwrap().faults.down {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let calls = async {
            while let Ok(call) = Message::read(&mut reader, || {}).await {
                let Some((bytes, version)) = self.response(&call).await else {
                    return std::future::pending().await;
                };
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
                self.record_notified(node, version);
            }
        };
        tokio::select! {
            () = calls => {}
            _ = outages.changed() => {}
            () = async {
                let _ = active_address.changed().await;
                tokio::time::sleep(OLD_ADDRESS_CLOSE_DELAY).await;
            } => {}
        }
    }

    /// Records that the node was sent the list of this internal version.
    fn record_notified(&self, node: usize, version: u64) {
        let now = self.record.now();
        let mut changes = self.record.changes.lock().unwrap();
        for change in changes.iter_mut().filter(|change| change.version <= version) {
            change.notified_at[node] = change.notified_at[node].min(now);
        }
    }

    /// The response to a call and the internal version of the list in it. Returns `None` if discovery is
    /// silent and the call gets no response.
    async fn response(&self, call: &Message) -> Option<(Vec<u8>, u64)> {
        let query_number = |name: &str| {
            let (_, rest) = call.first_line.split_once(name)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let after = query_number("after=");
        let wait = Duration::from_millis(query_number("wait_ms=").unwrap_or(0).min(MAX_WAIT_MS));
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
                if after.is_none_or(|after| self.has_other_version(after))
                    || changed.changed().await.is_err()
                {
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
            let max_delay =
                if self.mode == DiscoveryMode::Push { MAX_SLOW_AGENT_DELAY } else { MAX_SLOW_POLL_DELAY };
            tokio::time::sleep(max_delay.mul_f64(0.3 + 0.7 * fastrand::f64())).await;
        }
        let list = self.list.lock().unwrap();
        let body = changes_since(&list, after);
        Some((response_bytes("200 OK", "", body.to_string().as_bytes()), list.version))
    }

    fn has_other_version(&self, after: u64) -> bool {
        let list = self.list.lock().unwrap();
        after != list.version - list.version_offset
    }
}

fn full_list(list: &List) -> Value {
    let entries: Vec<Value> =
        list.entries.iter().filter(|entry| entry.state != "removed").map(ListEntry::json).collect();
    json!({"rev": list.version - list.version_offset, "all": true, "targets": entries})
}

/// The entries that changed after a reported version. Returns the full list if `after` is absent, belongs
/// to an earlier numbering or is too old.
fn changes_since(list: &List, after: Option<u64>) -> Value {
    let reported = list.version - list.version_offset;
    let after = after.filter(|after| *after <= reported).map(|after| after + list.version_offset);
    let after = after.filter(|after| {
        *after >= list.numbering_began_at && *after + MAX_DELTA_VERSIONS as u64 > list.version
    });
    let Some(after) = after else { return full_list(list) };
    let entries: Vec<Value> =
        list.entries.iter().filter(|entry| entry.version > after).map(ListEntry::json).collect();
    json!({"rev": reported, "all": false, "targets": entries})
}
