//! The parameters of the simulated deployment, and the settings and configuration files of its nodes.
//!
//! The oracle and the simulated servers use the constants of this module, so that they expect the behavior
//! that the nodes are configured for.

use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// The class of a request, which decides how often it may run and how long its client waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Idempotent: may run any number of times.
    View,
    /// Deduplicated: carries an idempotency key, and may run again within `DEDUPLICATION_WINDOW`.
    Bid,
    /// At most once: must never run twice.
    Order,
}

/// For how long after a request a repeat with the same idempotency key is harmless. The settings tell the
/// nodes that all servers drop repeats within this time. The simulated servers do not drop repeats. The
/// oracle accepts repeats within this time, and reports those that arrive later.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(2000);
/// The time within which a node must stop sending requests to a server that discovery reports as draining or
/// removed, or that an admin command disables.
pub const DRAIN_GRACE: Duration = Duration::from_millis(750);
/// The time that a restarted server takes to reach its full capacity.
pub const SLOW_START_TIME: Duration = Duration::from_secs(6);
/// The fraction of its full capacity that a restarted server has at first.
pub const INITIAL_CAPACITY_FRACTION: f64 = 0.25;
/// A server in slow start is overloaded if it is sent more than this multiple of its present capacity
/// within `OVERLOAD_WINDOW`.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// The window over which the load on a server in slow start is counted.
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);
/// The most attempts that a request may have, the first one included.
pub const MAX_ATTEMPTS: usize = 4;
/// The time after which a server closes an idle connection.
pub const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

impl RequestClass {
    /// All classes. Clients draw an index of this array at random, so the order decides which class a seed
    /// gives each request.
    pub const ALL: [RequestClass; 3] = [RequestClass::View, RequestClass::Bid, RequestClass::Order];

    /// The name of the class in the settings of the nodes and in the `X-Qos` header.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::View => "view",
            RequestClass::Bid => "bid",
            RequestClass::Order => "order",
        }
    }

    /// The longest timeout that a client of this class sets.
    pub fn max_timeout(self) -> Duration {
        match self {
            RequestClass::View => Duration::from_millis(1000),
            RequestClass::Bid => Duration::from_millis(2000),
            RequestClass::Order => Duration::from_millis(1500),
        }
    }
}

/// The parameters of a run that vary with its seed, apart from the schedule of faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunParameters {
    /// How nodes learn the list of servers.
    pub discovery: DiscoveryMode,
    /// The number of descriptors that a node may hold.
    pub max_descriptors: usize,
    /// The offered load, as a fraction of the capacity of all servers together.
    pub load: f64,
}

impl RunParameters {
    /// Draws the parameters of a seed.
    pub fn draw(seed: u64) -> RunParameters {
        let mut rng = fastrand::Rng::with_seed(!seed);
        RunParameters {
            discovery: if seed.is_multiple_of(2) { DiscoveryMode::Push } else { DiscoveryMode::Poll },
            max_descriptors: [128, 256, 512][rng.usize(..3)],
            load: 0.3 + 0.6 * rng.f64(),
        }
    }
}

/// How nodes learn the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// A local agent on each node's machine, which gets every change at once.
    Push,
    /// One service for all nodes, which the nodes poll.
    Poll,
}

/// The settings of the node with this index, in a deployment of `node_count` nodes.
///
/// The JSON keys, such as `fallMultiple` and `mustAskInMs`, are those of the node's settings file;
/// `src/settings_file.rs` maps them to the names that the code uses. `rif` is the name under which the
/// servers report their requests in flight; `src/load_report_text.rs` reads it.
pub fn settings(discovery: DiscoveryMode, node_count: usize, index: usize) -> Value {
    let mode = match discovery {
        DiscoveryMode::Push => "pushed",
        DiscoveryMode::Poll => "on_request",
    };
    // `value` is the priority weight of the class.
    let class = |class: RequestClass, semantics: &str, objective_ms: u32, value: u32| {
        json!({"name": class.name(), "semantics": semantics, "group": "all", "objectiveMs": objective_ms,
               "hardLimitMs": class.max_timeout().as_millis() as u64, "value": value,
               "keyTtlMs": DEDUPLICATION_WINDOW.as_millis() as u64})
    };
    // `secondCopies` allows hedged requests. `mustAskInMs` is the longest time between two polls of
    // discovery.
    json!({
        "areas": ["a"], "zone": "a", "instances": node_count, "slotNo": index, "tickMs": 5.0,
        "membershipMode": mode,
        "classes": [class(RequestClass::View, "idempotent", 500, 3), class(RequestClass::Bid, "deduplicated", 800, 8),
                    class(RequestClass::Order, "at_most_once", 700, 10)],
        "reporting": {"names": ["rif"], "via": "answers"},
        "limits": {"attemptsCap": MAX_ATTEMPTS, "connIdleMs": SERVER_IDLE_TIMEOUT.as_millis() as u64,
                   "connectTimeoutMs": 200.0, "mayCancel": true, "maxRetryAfterMs": 1000.0, "maxStreams": 1,
                   "openCap": 2000, "peerMessages": true, "probing": false, "retryAfter": true,
                   "secondCopies": true},
        "rules": {"coldMs": SLOW_START_TIME.as_millis() as u64, "startCapacity": INITIAL_CAPACITY_FRACTION,
                  "fallMultiple": OVERLOAD_MULTIPLE, "fallMs": OVERLOAD_WINDOW.as_millis() as u64,
                  "drainGraceMs": DRAIN_GRACE.as_millis() as u64, "mustAskInMs": 10000.0}
    })
}

/// The addresses of a node that all of its processes use.
#[derive(Clone, Debug)]
pub struct NodeAddresses {
    /// Where the node accepts clients.
    pub listen: SocketAddr,
    /// Where the node receives the datagrams of other nodes.
    pub peer_listen: SocketAddr,
    /// The two addresses at which discovery listens for this node. The node uses one of them at a time: the
    /// first one from the start of the run, and after each reload of its configuration the other one.
    pub discovery: [SocketAddr; 2],
}

/// The parts of the configuration that belong to a single process.
#[derive(Clone, Debug)]
pub struct ProcessParameters {
    /// The name of the process's node.
    pub name: String,
    /// The address at which the process calls discovery.
    pub discovery: SocketAddr,
    /// The address at which the process accepts admin commands.
    pub admin: SocketAddr,
    /// The seed of the random numbers of the process.
    pub seed: u64,
    /// The number of descriptors that the process may hold.
    pub max_descriptors: usize,
}

/// The configuration file of one process. `peers` are the addresses of all nodes, and `server_list` is the
/// list of servers that the process starts with.
pub fn config(
    process: &ProcessParameters,
    addresses: &NodeAddresses,
    peers: &[SocketAddr],
    server_list: &Value,
    settings: &Value,
) -> Value {
    let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    json!({
        "name": process.name, "listen": addresses.listen.to_string(), "discovery": process.discovery.to_string(),
        "seed": format!("{:016x}", process.seed), "console": process.admin.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": process.max_descriptors},
        "peer_listen": addresses.peer_listen.to_string(), "peers": peers,
        "known": server_list, "settings": settings
    })
}
