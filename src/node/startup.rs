//! Starts the node: opens its sockets, creates its parts and connects them. After SIGTERM, stops them in an
//! order that lets every accepted request get a response.
//!
//! If the platform opens the listening socket and passes it to the processes of the node, two of them may run
//! in parallel. The two share the limits of the configuration and hand over their state through [`Takeover`].

use crate::admin::{self, AdminServer};
use crate::config::{Config, ConfigError};
use crate::driver::{Driver, DriverEvent};
use crate::frontend::{Frontend, RequestReader};
use crate::membership::{self, MembershipSetup};
use crate::observability::invariants::InvariantGuard;
use crate::observability::log;
use crate::peers::{PeerAddresses, PeerSocket};
use crate::snapshot::{SharedTraceIds, Takeover};
use crate::system::acceptor::Acceptor;
use crate::system::clock::clamped_duration;
use crate::system::descriptors::{self, Descriptors};
use crate::system::inherited_listener::InheritedListenerError;
use crate::system::listener::{ADMIN_BACKLOG, CLIENT_BACKLOG, listen};
use crate::system::memory::{self, MemoryBudget};
use crate::system::signals::SignalReceiver;
use crate::system::syscall_errors::retry_transient;
use crate::system::{listener, receive_timestamp};
use crate::upstream::{ConnectionTimeouts, Upstream};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::MissedTickBehavior;
use wheelpath::policy::{Balancer, RequestClass, Settings, SettingsError};

/// The memory limit of the process divided by this is the limit for the bodies of open requests.
const BODY_MEMORY_DIVISOR: usize = 4;
/// The memory limit of the process divided by this is the limit for the buffers of all connections together.
const BUFFER_MEMORY_DIVISOR: usize = 4;
/// The minimum size of a connection's buffer, in bytes. A request head must fit.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// The maximum size of a connection's buffer, in bytes. No buffered body is longer, so more would be of no
/// use.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// The interval at which the node closes idle connections that can no longer be reused, and reads the wall
/// clock to notice steps of it.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Upper bound of the longest class deadline in the calculation of the shutdown time, in milliseconds.
/// SIGKILL follows SIGTERM after the longest class deadline, limited to this value, and a further 0.7 s.
const MAX_SHUTDOWN_DEADLINE_MS: f64 = 3000.0;
/// Time that is added to the longest class deadline, limited to [`MAX_SHUTDOWN_DEADLINE_MS`]. The sum is the
/// time after SIGTERM for which the node waits for responses. Then it fails the requests that are still open,
/// because SIGKILL is near.
const SHUTDOWN_EXTRA_ANSWER_TIME: Duration = Duration::from_millis(400);
/// After the shutdown has failed the open requests, it waits for at most this time until their responses are
/// written.
const SHUTDOWN_WRITE_TIME: Duration = Duration::from_millis(100);

/// The upper bound of the time for which the shutdown then waits for the ends of responses that are being
/// forwarded, if SIGKILL does not come.
const MAX_BEGUN_RESPONSE_TIME: Duration = Duration::from_secs(30);

/// A failure to start the node.
#[derive(Debug, Error)]
pub enum StartupError {
    /// The environment names a listening socket to inherit, but the socket cannot be used.
    #[error(transparent)]
    Inherited(#[from] InheritedListenerError),
    /// The tokio runtime cannot be created.
    #[error("cannot create the async runtime: {0}")]
    Runtime(io::Error),
    /// The signal handlers cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(io::Error),
    /// The configuration cannot be read or is not valid.
    #[error("configuration: {0}")]
    Config(#[from] ConfigError),
    /// The node cannot listen on an address. `key` is the configuration key of the address.
    #[error("{key}: {address}: {cause}")]
    Listen { key: &'static str, address: SocketAddr, cause: io::Error },
    /// The balancer does not accept the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The sockets on which the node receives connections and datagrams.
struct Sockets {
    client_listener: TcpListener,
    /// When this process began to listen for clients. `None` if it inherited the socket: connections may have
    /// waited in its accept queue before the process started.
    listening_since: Option<Instant>,
    /// `None` if the configuration has no address for operators.
    admin: Option<TcpListener>,
    /// `None` if the configuration has no address for peers or the settings forbid messages to them.
    peers: Option<Rc<PeerSocket>>,
}

/// The limits of this process.
struct Resources {
    descriptors: Rc<Descriptors>,
    /// The maximum size of a connection's buffer, in bytes.
    max_buffer_bytes: usize,
    /// The memory for the bodies of all open requests, in bytes.
    body_memory_bytes: usize,
    memory: Rc<MemoryBudget>,
}

/// Runs the node until SIGTERM, and then until the requests that it has accepted are answered or have no time
/// left.
///
/// # Errors
/// The node cannot start.
pub async fn run(inherited_listener: Option<std::net::TcpListener>) -> Result<(), StartupError> {
    // The handlers come first, because the default action of SIGTERM and SIGHUP ends the process.
    let mut terminate = retry_transient(SignalReceiver::sigterm).await.map_err(StartupError::Signals)?;
    let hangup = retry_transient(SignalReceiver::sighup).await.map_err(StartupError::Signals)?;
    let config = Config::load()?;
    // Another process of the node may serve on an inherited socket in parallel.
    let is_listener_shared = inherited_listener.is_some();
    let sockets = open_sockets(&config, inherited_listener).await?;
    let resources = divide_resources(&config, is_listener_shared);
    let capped_longest_deadline = capped_longest_deadline(&config.settings.classes);
    let node = Node::start(config, sockets, resources, is_listener_shared, hangup)?;
    terminate.recv().await;
    node.stop(capped_longest_deadline).await;
    Ok(())
}

async fn open_sockets(
    config: &Config,
    inherited_listener: Option<std::net::TcpListener>,
) -> Result<Sockets, StartupError> {
    let listening_since = inherited_listener.is_none().then(Instant::now);
    let client_listener = match inherited_listener {
        Some(listener) => TcpListener::from_std(listener),
        None => retry_transient(|| listen(config.listen, CLIENT_BACKLOG)).await,
    };
    let client_listener = client_listener.map_err(listen_error("listen", config.listen))?;
    receive_timestamp::enable(&client_listener);
    let admin = match config.admin_listen {
        Some(address) => {
            let bound = retry_transient(|| listener::listen(address, ADMIN_BACKLOG)).await;
            Some(bound.map_err(listen_error("console", address))?)
        }
        None => None,
    };
    let peers = match config.peer_listen.filter(|_| config.settings.peer_messages_allowed) {
        Some(address) => {
            let is_listener_shared = listening_since.is_none();
            let bind = || PeerSocket::bind(address, is_listener_shared, peer_addresses(config));
            let bound = retry_transient(bind).await;
            Some(Rc::new(bound.map_err(listen_error("peer_listen", address))?))
        }
        None => None,
    };
    Ok(Sockets { client_listener, listening_since, admin, peers })
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

/// Returns the limits of this process. If the listener is shared, the process gets half of the configured
/// limits, because a second process may run in parallel and the limits apply to both together.
fn divide_resources(config: &Config, is_listener_shared: bool) -> Resources {
    let processes = if is_listener_shared { 2 } else { 1 };
    let memory_bytes = config.memory_bytes / processes;
    // If the configured limit were above the system's, clients could use up all descriptors that the system
    // allows, and none would be left for other uses.
    let system_limit = descriptors::system_limit().unwrap_or(usize::MAX);
    let max_descriptors = (config.max_descriptors / processes).min(system_limit);
    // These descriptors are reserved for operators, who can then always connect, regardless of the number of
    // clients.
    let admin_descriptors = if config.admin_listen.is_some() { admin::MAX_CONNECTIONS + 1 } else { 0 };
    Resources {
        descriptors: Descriptors::new(
            max_descriptors.saturating_sub(admin_descriptors),
            memory::max_clients(memory_bytes),
        ),
        max_buffer_bytes: (memory_bytes / BUFFER_MEMORY_DIVISOR / max_descriptors.max(1))
            .clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES),
        body_memory_bytes: memory_bytes / BODY_MEMORY_DIVISOR,
        memory: Rc::new(MemoryBudget::new(memory_bytes)),
    }
}

/// Returns the longest deadline of all classes, but at most [`MAX_SHUTDOWN_DEADLINE_MS`].
fn capped_longest_deadline(classes: &[RequestClass]) -> Duration {
    let longest_ms = classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
    clamped_duration(longest_ms, MAX_SHUTDOWN_DEADLINE_MS)
}

/// A running node.
struct Node {
    driver: Rc<Driver>,
    frontend: Rc<Frontend>,
    takeover: Option<Rc<Takeover>>,
    /// The task that accepts clients' connections.
    accept_task: JoinHandle<()>,
}

impl Node {
    fn start(
        config: Config,
        sockets: Sockets,
        resources: Resources,
        is_listener_shared: bool,
        hangup: SignalReceiver,
    ) -> Result<Node, StartupError> {
        let Resources { descriptors, max_buffer_bytes, body_memory_bytes, memory } = resources;
        let upstream =
            open_upstream(&config.settings, descriptors.clone(), max_buffer_bytes, memory.clone());
        let (driver, watch_requests) =
            start_driver(&config.settings, config.seed, upstream.clone(), sockets.peers.clone())?;
        let names = Rc::new(config.names.clone());
        let setup = MembershipSetup {
            driver: driver.clone(),
            names: names.clone(),
            descriptors: descriptors.clone(),
            watch_requests,
            hangup,
            is_state_shared: is_listener_shared,
        };
        let takeover = membership::start(&config, setup);
        spawn_background_tasks(&driver, upstream, sockets.peers);
        let shared_trace_ids = if is_listener_shared { SharedTraceIds::open() } else { None };
        let max_open_requests = config.settings.max_open_requests as usize;
        let classes = config.settings.classes;
        let reader = RequestReader::new(names, classes, body_memory_bytes, memory, shared_trace_ids);
        let frontend =
            Frontend::new(driver.clone(), reader, max_open_requests, max_buffer_bytes, descriptors.clone());
        if let Some(listener) = sockets.admin {
            let admin = AdminServer::new(driver.clone(), frontend.clone(), takeover.clone(), descriptors);
            spawn_local(admin.accept(listener));
        }
        log_start(&config.name, config.listen, config.admin_listen, &sockets.client_listener);
        let acceptor = Acceptor::new(sockets.client_listener, sockets.listening_since);
        let accept_task = spawn_accept(&frontend, acceptor);
        Ok(Node { driver, frontend, takeover, accept_task })
    }

    /// Stops the node: waits for the responses to accepted requests as long as time allows, and fails the
    /// rest.
    async fn stop(self, capped_longest_deadline: Duration) {
        let Node { driver, frontend, takeover, accept_task } = self;
        let has_successor = takeover.is_some_and(|takeover| takeover.has_successor());
        let new_connections_text = if has_successor {
            "a successor takes new connections"
        } else {
            "accepting connections that still arrive"
        };
        log::line(&format!(
            "SIGTERM received: {new_connections_text}; answering open requests before the exit"
        ));
        let answer_deadline = Instant::now() + capped_longest_deadline + SHUTDOWN_EXTRA_ANSWER_TIME;
        frontend.stop(has_successor);
        // Even if the accept loop has failed or has not ended in time, accepted requests must be answered.
        let _ = tokio::time::timeout_at(answer_deadline.into(), accept_task).await;
        frontend.wind_down(answer_deadline).await;
        // A failure response is better for the client than a connection that breaks when the process ends.
        // From here on, no request may be submitted, because no time is left for its answer.
        log::line("failing the open requests and refusing those that are still being read");
        frontend.refuse_unsubmitted();
        driver.fail_unanswered();
        frontend.finish_responses(Instant::now() + SHUTDOWN_WRITE_TIME).await;
        frontend.finish_begun_responses(Instant::now() + MAX_BEGUN_RESPONSE_TIME).await;
        driver.count_unanswered();
        log::line_without_rate_limit(&format!("counters: {}", driver.counters.text()));
    }
}

/// Creates the balancer and its driver, and reports the start to it. Also returns the receiver of the
/// balancer's requests to start and stop the watch of the endpoint list.
fn start_driver(
    settings: &Settings,
    seed: u64,
    upstream: Rc<Upstream>,
    peers: Option<Rc<PeerSocket>>,
) -> Result<(Rc<Driver>, mpsc::UnboundedReceiver<bool>), SettingsError> {
    let guard = InvariantGuard::new(settings);
    let balancer = Balancer::new(settings.clone(), seed)?;
    let (watch_request_sender, watch_requests) = mpsc::unbounded_channel();
    let driver = Driver::new(balancer, guard, upstream, peers, watch_request_sender);
    driver.handle(DriverEvent::Start);
    Ok((driver, watch_requests))
}

/// Starts the task that accepts clients' connections.
fn spawn_accept(frontend: &Rc<Frontend>, acceptor: Acceptor) -> JoinHandle<()> {
    let frontend = frontend.clone();
    spawn_local(async move { frontend.accept(acceptor).await })
}

/// Starts tasks that run as long as the node and end with the process.
fn spawn_background_tasks(driver: &Rc<Driver>, upstream: Rc<Upstream>, peers: Option<Rc<PeerSocket>>) {
    spawn_local(sweep(upstream, driver.clone()));
    if let Some(peers) = peers {
        spawn_local(listen_to_peers(peers, driver.clone()));
    }
}

fn log_start(name: &str, configured: SocketAddr, admin: Option<SocketAddr>, client_listener: &TcpListener) {
    let address = client_listener.local_addr().unwrap_or(configured);
    let admin = admin.map_or_else(String::new, |address| format!(", for operators on {address}"));
    log::line(&format!("{name} listens for clients on {address}{admin}"));
}

fn open_upstream(
    settings: &Settings,
    descriptors: Rc<Descriptors>,
    max_buffer_bytes: usize,
    memory: Rc<MemoryBudget>,
) -> Rc<Upstream> {
    let timeouts = ConnectionTimeouts {
        connect_ms: settings.connect_timeout_ms,
        idle_ms: settings.idle_connection_timeout_ms,
    };
    Upstream::new(descriptors, timeouts, max_buffer_bytes, memory)
}

/// Passes the messages of other nodes to the driver.
async fn listen_to_peers(peers: Rc<PeerSocket>, driver: Rc<Driver>) {
    loop {
        let message = peers.receive().await;
        driver.handle(DriverEvent::PeerMessage { from: message.from, bytes: message.bytes });
    }
}

/// Every [`SWEEP_INTERVAL`], closes those idle connections to endpoints that have been idle for too long or
/// that their endpoints have closed. Also reads the wall clock, to notice steps of it.
async fn sweep(upstream: Rc<Upstream>, driver: Rc<Driver>) {
    let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        upstream.sweep();
        driver.clock.observe_wall();
    }
}
