//! The deployment that the soak plays: classes, rules and sizes, and the configuration of each node.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// What a request of a class may do, and how long its client waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Safe to repeat.
    View,
    /// Carries a key; repeats within `DEDUPLICATION_WINDOW` are dropped by every server.
    Bid,
    /// Must never run twice.
    Order,
}

/// For how long servers drop a repeat.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(2000);
/// Sends to a server that leaves end within this.
pub const DRAIN_GRACE: Duration = Duration::from_millis(750);
/// A restarted server is warm after this, and starts at this part of its capacity.
pub const SLOW_START_TIME: Duration = Duration::from_secs(6);
/// See `SLOW_START_TIME`.
pub const INITIAL_CAPACITY: f64 = 0.25;
/// A server in slow start is overloaded when it is sent more than this multiple of its capacity over this time.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// See `OVERLOAD_MULTIPLE`.
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
/// Attempts that one request may have.
pub const MAX_ATTEMPTS: usize = 4;
/// Idle connections to servers are closed by them after this.
pub const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

impl RequestClass {
    /// All of them.
    pub const ALL: [RequestClass; 3] = [RequestClass::View, RequestClass::Bid, RequestClass::Order];

    /// As the settings name it.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::View => "view",
            RequestClass::Bid => "bid",
            RequestClass::Order => "order",
        }
    }

    /// How long a client waits at most.
    pub fn limit(self) -> Duration {
        match self {
            RequestClass::View => Duration::from_millis(1000),
            RequestClass::Bid => Duration::from_millis(2000),
            RequestClass::Order => Duration::from_millis(1500),
        }
    }
}

/// What differs from one seed to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// How nodes hear of the list.
    pub discovery: DiscoveryMode,
    /// Descriptors that a node may hold.
    pub sockets: usize,
    /// Offered load, as a part of what all servers can do.
    pub load: f64,
}

impl Shape {
    /// That of a seed.
    pub fn draw(seed: u64) -> Shape {
        let mut rng = fastrand::Rng::with_seed(!seed);
        Shape {
            discovery: if seed.is_multiple_of(2) { DiscoveryMode::Push } else { DiscoveryMode::Poll },
            sockets: [128, 256, 512][rng.usize(..3)],
            load: 0.3 + 0.6 * rng.f64(),
        }
    }
}

/// How nodes hear of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// An agent on each node's machine has it.
    Push,
    /// One service for all nodes is polled.
    Poll,
}

/// The settings that every node is given.
pub fn settings(discovery: DiscoveryMode, nodes: usize, index: usize) -> Value {
    let mode = match discovery {
        DiscoveryMode::Push => "pushed",
        DiscoveryMode::Poll => "on_request",
    };
    let class = |class: RequestClass, semantics: &str, objective: u32, value: u32| {
        json!({"name": class.name(), "semantics": semantics, "group": "all", "objectiveMs": objective,
               "hardLimitMs": class.limit().as_millis() as u64, "value": value,
               "keyTtlMs": DEDUPLICATION_WINDOW.as_millis() as u64})
    };
    json!({
        "areas": ["a"], "zone": "a", "instances": nodes, "slotNo": index, "tickMs": 5.0,
        "membershipMode": mode,
        "classes": [class(RequestClass::View, "idempotent", 500, 3), class(RequestClass::Bid, "deduplicated", 800, 8),
                    class(RequestClass::Order, "at_most_once", 700, 10)],
        "reporting": {"names": ["rif"], "via": "answers"},
        "limits": {"attemptsCap": MAX_ATTEMPTS, "connIdleMs": SERVER_IDLE_TIMEOUT.as_millis() as u64,
                   "connectTimeoutMs": 200.0, "mayCancel": true, "maxRetryAfterMs": 1000.0, "maxStreams": 1,
                   "openCap": 2000, "peerMessages": true, "probing": false, "retryAfter": true,
                   "secondCopies": true},
        "rules": {"coldMs": SLOW_START_TIME.as_millis() as u64, "startCapacity": INITIAL_CAPACITY,
                  "fallMultiple": OVERLOAD_MULTIPLE, "fallMs": OVERLOAD_WINDOW.as_millis() as u64,
                  "drainGraceMs": DRAIN_GRACE.as_millis() as u64, "mustAskInMs": 10000.0}
    })
}

/// Where a node is reached, and reaches others.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Clients connect here.
    pub listen: SocketAddr,
    /// Datagrams of other nodes arrive here.
    pub peers: SocketAddr,
    /// Discovery, before and after a new configuration.
    pub discovery: [SocketAddr; 2],
}

/// What is set for one process alone.
#[derive(Clone, Debug)]
pub struct Start {
    /// Its node's name.
    pub name: String,
    /// Where it calls discovery.
    pub discovery: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Of its random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
}

/// The configuration file of one process.
pub fn config(
    start: &Start,
    addresses: &Addresses,
    peers: &[SocketAddr],
    known: &Value,
    settings: &Value,
) -> Value {
    let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    json!({
        "name": start.name, "listen": addresses.listen.to_string(), "discovery": start.discovery.to_string(),
        "seed": format!("{:016x}", start.seed), "console": start.admin.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": start.sockets},
        "peer_listen": addresses.peers.to_string(), "peers": peers,
        "known": known, "settings": settings
    })
}
