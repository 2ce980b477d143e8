//! Wires the parts of the node together, and ends them in order.

use crate::admin::{self, AdminServer};
use crate::config::{Config, ConfigError};
use crate::discovery::{DiscoveryWatch, EndpointList, WatchSetup};
use crate::driver::{Driver, DriverEvent};
use crate::frontend::{Frontend, RequestReader};
use crate::observability::invariants::InvariantGuard;
use crate::observability::log;
use crate::peers::{PeerAddresses, PeerSocket};
use crate::reload;
use crate::snapshot::Takeover;
use crate::system::acceptor::Acceptor;
use crate::system::clock::span;
use crate::system::descriptors::{self, Descriptors};
use crate::system::inherited_listener::InheritedListenerError;
use crate::system::listener::{ADMIN_BACKLOG, CLIENT_BACKLOG, listen};
use crate::system::signals::SignalReceiver;
use crate::system::syscall_errors::retry_transient;
use crate::system::{accept_time, listener};
use crate::upstream::Upstream;
use serde_json::Value;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::MissedTickBehavior;
use wheelpath::policy::{Balancer, RequestClass, Settings, SettingsError, WatchUpdate};
use wheelpath::settings_file::NameIndex;

/// Part of the memory that the bodies of open requests may take, and that the connections' buffers may.
const BODY_MEMORY_PART: usize = 4;
const BUFFER_MEMORY_PART: usize = 4;
/// What a connection may read ahead, in bytes: a head must fit, and no more than a body is of use.
const MIN_BUFFER: usize = 8 * 1024;
const MAX_BUFFER: usize = 64 * 1024;
/// How often idle connections to endpoints are swept, and the wall clock is observed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// SIGKILL follows SIGTERM by the longest deadline, this at most, in milliseconds, and 0.7 s.
const MAX_SHUTDOWN_DEADLINE_MS: f64 = 3000.0;
/// What has no answer shortly before that is failed ...
const SHUTDOWN_ANSWER_TIME: Duration = Duration::from_millis(400);
/// ... and these failures are written in this time.
const SHUTDOWN_WRITE_TIME: Duration = Duration::from_millis(100);

/// Why the node does not start.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The listening socket that is to be inherited cannot be.
    #[error(transparent)]
    Inherited(#[from] InheritedListenerError),
    /// There is no runtime.
    #[error("no runtime: {0}")]
    Runtime(io::Error),
    /// Signals cannot be received.
    #[error("signals: {0}")]
    Signals(io::Error),
    /// The configuration is wrong.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The node cannot listen at an address of its configuration.
    #[error("{key}: {address}: {cause}")]
    Listen {
        /// The key that names the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        cause: io::Error,
    },
    /// No balancer can run on the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The sockets that the node listens on.
struct Sockets {
    clients: TcpListener,
    /// Since when the clients' socket listens; none where it was inherited, and requests may have waited
    /// before.
    listening_since: Option<Instant>,
    admin: Option<TcpListener>,
    peers: Option<Rc<PeerSocket>>,
}

/// What the process may use.
struct Resources {
    descriptors: Rc<Descriptors>,
    /// What a connection may read ahead, in bytes.
    buffer: usize,
    /// What the bodies of open requests may take, in bytes.
    body_memory: usize,
}

/// Runs the node until SIGTERM, and until what it had taken is answered.
///
/// # Errors
/// The node cannot start.
pub async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), StartupError> {
    // Before all else: what these signals do by default is to end the process.
    let mut terminate = retry_transient(SignalReceiver::terminate).await.map_err(StartupError::Signals)?;
    let hangup = retry_transient(SignalReceiver::hangup).await.map_err(StartupError::Signals)?;
    let config = Config::load()?;
    // Where the platform holds the listening socket, another process may serve in parallel.
    let is_shared = inherited.is_some();
    let sockets = open_sockets(&config, inherited).await?;
    let resources = allot_resources(&config, is_shared);
    let longest_deadline = longest_deadline(&config.settings.classes);
    let node = Node::start(config, sockets, resources, is_shared, hangup)?;
    terminate.recv().await;
    node.stop(longest_deadline).await;
    Ok(())
}

async fn open_sockets(
    config: &Config,
    inherited: Option<std::net::TcpListener>,
) -> Result<Sockets, StartupError> {
    let listening_since = inherited.is_none().then(Instant::now);
    let clients = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => retry_transient(|| listen(config.listen, CLIENT_BACKLOG)).await,
    };
    let clients = clients.map_err(listen_error("listen", config.listen))?;
    accept_time::note_times(&clients);
    let admin = match config.admin_listen {
        Some(address) => {
            let bound = retry_transient(|| listener::listen(address, ADMIN_BACKLOG)).await;
            Some(bound.map_err(listen_error("console", address))?)
        }
        None => None,
    };
    let peers = match config.peer_listen.filter(|_| config.settings.peer_messages_allowed) {
        Some(address) => {
            let is_shared = listening_since.is_none();
            let bind = || PeerSocket::bind(address, is_shared, peer_addresses(config));
            let bound = retry_transient(bind).await;
            Some(Rc::new(bound.map_err(listen_error("peer_listen", address))?))
        }
        None => None,
    };
    Ok(Sockets { clients, listening_since, admin, peers })
}

fn listen_error(key: &'static str, address: SocketAddr) -> impl Fn(io::Error) -> StartupError {
    move |cause| StartupError::Listen { key, address, cause }
}

fn peer_addresses(config: &Config) -> PeerAddresses {
    PeerAddresses {
        nodes: config.peers.clone(),
        broadcast: config.peer_broadcast,
        own_index: config.settings.node_index,
    }
}

/// Two processes together may use no more than one.
fn allot_resources(config: &Config, is_shared: bool) -> Resources {
    let processes = if is_shared { 2 } else { 1 };
    let memory = config.memory / processes;
    // Descriptors beyond what the system allows are of no use: clients would take the last of them from all
    // others.
    let system_limit = descriptors::system_limit().unwrap_or(usize::MAX);
    let sockets = (config.sockets / processes).min(system_limit);
    // Operators find a place whatever clients hold.
    let for_admin = if config.admin_listen.is_some() { admin::MAX_CONNECTIONS + 1 } else { 0 };
    Resources {
        descriptors: Descriptors::new(sockets.saturating_sub(for_admin)),
        buffer: (memory / BUFFER_MEMORY_PART / sockets.max(1)).clamp(MIN_BUFFER, MAX_BUFFER),
        body_memory: memory / BODY_MEMORY_PART,
    }
}

fn longest_deadline(classes: &[RequestClass]) -> Duration {
    let longest_ms = classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    span(longest_ms, MAX_SHUTDOWN_DEADLINE_MS)
}

/// A running node.
struct Node {
    driver: Rc<Driver>,
    frontend: Rc<Frontend>,
    takeover: Option<Rc<Takeover>>,
    /// The task that takes clients' connections.
    accepting: JoinHandle<()>,
}

impl Node {
    fn start(
        config: Config,
        sockets: Sockets,
        resources: Resources,
        is_shared: bool,
        hangup: SignalReceiver,
    ) -> Result<Node, StartupError> {
        let Resources { descriptors, buffer, body_memory } = resources;
        let settings = config.settings.clone();
        let upstream = open_upstream(&settings, descriptors.clone(), buffer);
        let guard = InvariantGuard::new(&settings);
        let balancer = Balancer::new(config.settings, config.seed)?;
        let (request_watch, watch_requests) = mpsc::unbounded_channel();
        let driver = Driver::new(balancer, guard, upstream.clone(), sockets.peers.clone(), request_watch);
        let names = Rc::new(config.names);
        driver.handle(DriverEvent::Start);
        let version = Rc::new(Cell::new(report_known_list(&driver, &config.known, &names)));
        let takeover = is_shared.then(|| Takeover::new(version.clone()));
        let is_behind = takeover.as_ref().is_some_and(|takeover| take_over(takeover, &driver));
        let (discovery, address) = watch::channel(config.discovery);
        let watch = DiscoveryWatch::new(WatchSetup {
            address,
            mode: settings.discovery,
            names: names.clone(),
            descriptors: descriptors.clone(),
            watch_requests,
            version,
            is_list_outdated: is_behind,
            rng: fastrand::Rng::with_seed(!config.seed),
        });
        spawn_background_tasks(&driver, watch, reload::run(hangup, discovery), upstream, sockets.peers);
        let reader = RequestReader::new(names, settings.classes, body_memory);
        let max_open_requests = settings.max_open_requests as usize;
        let frontend =
            Frontend::new(driver.clone(), reader, max_open_requests, buffer, descriptors.clone());
        if let Some(listener) = sockets.admin {
            let takeover = takeover.clone();
            let admin = AdminServer::new(driver.clone(), frontend.clone(), takeover, descriptors);
            spawn_local(admin.accept(listener));
        }
        log_start(&config.name, config.listen, config.admin_listen, &sockets.clients);
        let acceptor = Acceptor::new(sockets.clients, sockets.listening_since);
        let accepting_frontend = frontend.clone();
        let accepting = spawn_local(async move { accepting_frontend.accept(acceptor).await });
        Ok(Node { driver, frontend, takeover, accepting })
    }

    /// Ends the node: what was taken is answered, as far as there is time, and the rest is failed.
    async fn stop(self, longest_deadline: Duration) {
        let Node { driver, frontend, takeover, accepting } = self;
        let is_succeeded = takeover.is_some_and(|takeover| takeover.is_succeeded());
        let new_connections =
            if is_succeeded { "a successor takes new connections" } else { "answers what comes" };
        log::line(&format!("told to stop: {new_connections}; answers what is there, then ends"));
        let end = Instant::now() + longest_deadline + SHUTDOWN_ANSWER_TIME;
        frontend.stop(is_succeeded);
        // Whatever became of the accept loop, what was taken is answered.
        let _ = tokio::time::timeout_at(end.into(), accepting).await;
        frontend.wind_down(end).await;
        // Better failed than lost: what is still open would be cut by the end of the process.
        driver.fail_unanswered();
        frontend.wind_down(Instant::now() + SHUTDOWN_WRITE_TIME).await;
        driver.count_unanswered();
        log::urgent(&format!("counters: {}", driver.counters.text()));
    }
}

/// Starts the tasks that last as long as the node and end with the process.
fn spawn_background_tasks(
    driver: &Rc<Driver>,
    watch: DiscoveryWatch,
    reload: impl Future<Output = ()> + 'static,
    upstream: Rc<Upstream>,
    peers: Option<Rc<PeerSocket>>,
) {
    spawn_local(watch.run(driver.clone()));
    spawn_local(reload);
    spawn_local(sweep(upstream, driver.clone()));
    if let Some(peers) = peers {
        spawn_local(listen_to_peers(peers, driver.clone()));
    }
}

fn log_start(name: &str, configured: SocketAddr, admin: Option<SocketAddr>, clients: &TcpListener) {
    let address = clients.local_addr().unwrap_or(configured);
    let admin = admin.map_or_else(String::new, |address| format!(", takes calls on {address}"));
    log::line(&format!("{name} serves on {address}{admin}"));
}

fn open_upstream(settings: &Settings, descriptors: Rc<Descriptors>, buffer: usize) -> Rc<Upstream> {
    let connect_timeout_ms = settings.connect_timeout_ms;
    Upstream::new(descriptors, connect_timeout_ms, settings.idle_connection_timeout_ms, buffer)
}

/// Reports to the decisions the list that the node starts with; its version, if changes alone tell the
/// rest.
fn report_known_list(driver: &Rc<Driver>, known: &Value, names: &NameIndex) -> Option<u64> {
    let known = EndpointList::parse(known, names);
    let version = known.as_ref().and_then(EndpointList::base_version);
    let endpoints = known.map_or_else(Vec::new, |known| known.endpoints);
    driver.handle(DriverEvent::EndpointsChanged { update: WatchUpdate::CachedSnapshot, endpoints });
    version
}

/// Takes over from the process before this one, and starts the task that keeps in step with one alongside
/// it for as long as the node lives. True if the process before knew a newer list.
fn take_over(takeover: &Rc<Takeover>, driver: &Rc<Driver>) -> bool {
    let is_behind = takeover.take_over(driver);
    spawn_local(takeover.clone().run(driver.clone()));
    is_behind
}

/// Hands messages of other nodes on.
async fn listen_to_peers(peers: Rc<PeerSocket>, driver: Rc<Driver>) {
    loop {
        let message = peers.receive().await;
        driver.handle(DriverEvent::PeerMessage { from: message.from, bytes: message.bytes });
    }
}

/// Closes stale idle connections and observes the wall clock, now and then.
async fn sweep(upstream: Rc<Upstream>, driver: Rc<Driver>) {
    let mut turns = tokio::time::interval(SWEEP_INTERVAL);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        turns.tick().await;
        upstream.sweep();
        driver.clock.observe_wall();
    }
}
