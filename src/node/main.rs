//! One node: the decisions of the crate `wheelpath` on real sockets.

mod admin;
mod config;
mod discovery;
mod driver;
mod frontend;
mod observability;
mod peers;
mod snapshot;
mod system;
mod upstream;

use crate::admin::server::AdminServer;
use crate::config::{Config, ConfigError};
use crate::discovery::watch::{Listing, Watch};
use crate::driver::{Driver, DriverEvent};
use crate::frontend::request_reader::RequestReader;
use crate::frontend::server::Server;
use crate::observability::invariants::InvariantGuard;
use crate::observability::log;
use crate::peers::{PeerAddresses, PeerSocket};
use crate::snapshot::takeover::Takeover;
use crate::system::inherited_listener;
use crate::system::signals::SignalReceiver;
use crate::system::socket::Descriptors;
use crate::system::syscall_errors::Acceptor;
use crate::upstream::Upstream;
use std::cell::Cell;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use wheelpath::policy::Balancer;
use wheelpath::policy::WatchUpdate;

/// Connections that may wait while this node is busy or out of descriptors.
const BACKLOG: u32 = 1024;
/// Part of the memory that the bodies of open requests may take, and that the connections' buffers may.
const BODIES_PART: usize = 4;
const BUFFERS_PART: usize = 4;
/// What a connection may read ahead: a head must fit, and no more than a body is of use.
const LEAST_BUFFER: usize = 8 * 1024;
const MOST_BUFFER: usize = 64 * 1024;
/// How often idle connections to backends are looked through, and the wall clock is looked at.
const SWEEP: Duration = Duration::from_millis(500);
/// SIGKILL follows SIGTERM by the longest deadline, this at most, and 0.7 s; what has no answer shortly
/// before that is failed.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
const LAST_ANSWERS: Duration = Duration::from_millis(400);
/// Time for those failures to be written.
const LAST_WRITES: Duration = Duration::from_millis(100);

fn listen(config: &Config) -> std::io::Result<TcpListener> {
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(config.listen)?;
    socket.listen(BACKLOG)
}

/// A file that cannot be read, or is not whole, may be so in a moment: so often, and so far apart.
const READ_TRIES: u32 = 5;
const READ_PAUSE: Duration = Duration::from_millis(40);

async fn reload_with_retries() -> Result<Config, ConfigError> {
    let mut read = Config::reload();
    for _ in 1..READ_TRIES {
        if read.is_ok() {
            break;
        }
        tokio::time::sleep(READ_PAUSE).await;
        read = Config::reload();
    }
    read
}

/// Reads the configuration again whenever told to. Where discovery is may change under way; all else holds
/// from start to end. A file that is wrong changes nothing.
async fn reload(mut hangup: SignalReceiver, discovery: watch::Sender<SocketAddr>) {
    loop {
        hangup.recv().await;
        match reload_with_retries().await {
            Ok(config) => {
                log::line(&format!("configuration read again: discovery is at {}", config.discovery));
                discovery.send_replace(config.discovery);
            }
            Err(e) => log::line(&format!("configuration kept as it was: {e}")),
        }
    }
}

async fn run(inherited: Option<std::net::TcpListener>) -> Result<(), Box<dyn Error>> {
    // Before all else: what these signals do by default is to end the process.
    let mut terminate = system::syscall_errors::retry_transient(SignalReceiver::terminate).await?;
    let hangup = system::syscall_errors::retry_transient(SignalReceiver::hangup).await?;
    let config = Config::load().map_err(|e| format!("configuration: {e}"))?;
    // Where the platform holds the listening socket, another process may serve beside this one.
    let version = Rc::new(Cell::new(None));
    let handover = inherited.is_some().then(|| Takeover::new(version.clone()));
    let shared = handover.is_some();
    // What waits in the queue of an inherited socket may be from before this process.
    let listens_since = inherited.is_none().then(Instant::now);
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => system::syscall_errors::retry_transient(|| listen(&config)).await,
    };
    let listener = listener.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    system::accept_time::note_times(&listener);
    let console = match config.console {
        Some(at) => {
            let bound = system::syscall_errors::retry_transient(|| AdminServer::bind(at)).await;
            Some(bound.map_err(|e| format!("console: {at}: {e}"))?)
        }
        None => None,
    };
    let settings = config.settings.clone();
    // Two processes together may hold no more than one.
    let (sockets, memory) =
        if shared { (config.sockets / 2, config.memory / 2) } else { (config.sockets, config.memory) };
    // What is told is of no use beyond what the system allows: clients would take the last of it from all others.
    let sockets = sockets.min(system::socket::system_limit().unwrap_or(usize::MAX));
    // Whoever calls the console finds a place whatever clients hold.
    let calls = if config.console.is_some() { admin::server::MAX_CONNECTIONS + 1 } else { 0 };
    let descriptors = Descriptors::new(sockets.saturating_sub(calls));
    let buffer = (memory / BUFFERS_PART / sockets.max(1)).clamp(LEAST_BUFFER, MOST_BUFFER);
    let upstream = Upstream::new(
        descriptors.clone(),
        settings.connect_timeout_ms,
        settings.idle_connection_timeout_ms,
        buffer,
    );
    let peers = match config.peer_listen.filter(|_| settings.peer_messages_allowed) {
        Some(at) => {
            let nodes =
                PeerAddresses { all: config.peers, everyone: config.peers_all, own: settings.node_index };
            let peers =
                system::syscall_errors::retry_transient(|| PeerSocket::new(at, shared, nodes.clone()))
                    .await;
            Some(Rc::new(peers.map_err(|e| format!("peer_listen: {at}: {e}"))?))
        }
        None => None,
    };
    let rng = fastrand::Rng::with_seed(!config.seed);
    let guard = InvariantGuard::new(&settings);
    let balancer = Balancer::new(config.settings, config.seed)?;
    let (wish, wishes) = mpsc::unbounded_channel();
    let driver = Driver::new(balancer, guard, upstream.clone(), peers.clone(), wish);
    let names = Rc::new(config.names);
    driver.take(DriverEvent::Start);
    let known = discovery::watch::listing(&config.known, &names);
    version.set(known.as_ref().and_then(Listing::version));
    driver.take(DriverEvent::List(
        WatchUpdate::CachedSnapshot,
        known.map_or_else(Vec::new, |known| known.targets),
    ));
    let mut behind = false;
    if let Some(handover) = &handover {
        behind = handover.take_over(&driver);
        spawn_local(handover.clone().keep(driver.clone()));
    }
    let (discovery, address) = watch::channel(config.discovery);
    let watch = Watch {
        address,
        mode: settings.discovery,
        names: names.clone(),
        descriptors: descriptors.clone(),
        wishes,
        version,
        behind,
        rng,
    };
    spawn_local(watch.run(driver.clone()));
    spawn_local(reload(hangup, discovery));
    if let Some(peers) = peers {
        let driver = driver.clone();
        spawn_local(async move { peers.listen(&driver).await });
    }
    let swept = driver.clone();
    spawn_local(async move {
        let mut turn = tokio::time::interval(SWEEP);
        turn.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            turn.tick().await;
            upstream.sweep();
            swept.clock.observe_wall();
        }
    });
    let longest = settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let longest = Duration::from_secs_f64(longest.clamp(0.0, 1e6) / 1000.0).min(LONGEST_DEADLINE);
    let reader = RequestReader::new(names, settings.classes, memory / BODIES_PART);
    let max_open_requests = settings.max_open_requests as usize;
    let server = Server::new(driver.clone(), reader, max_open_requests, buffer, descriptors.clone());
    if let Some(console) = console {
        spawn_local(
            AdminServer::new(driver.clone(), server.clone(), handover.clone(), descriptors).accept(console),
        );
    }
    let at = listener.local_addr().unwrap_or(config.listen);
    let calls = config.console.map_or_else(String::new, |at| format!(", takes calls on {at}"));
    log::line(&format!("{} serves on {at}{calls}", config.name));
    let accepting = {
        let server = server.clone();
        let acceptor = Acceptor::new(listener, listens_since);
        spawn_local(async move { server.accept(acceptor).await })
    };
    terminate.recv().await;
    let succeeded = handover.is_some_and(|h| h.succeeded());
    let comes = if succeeded { "a successor takes new connections" } else { "answers what comes" };
    log::line(&format!("told to stop: {comes}; answers what is there, then ends"));
    let end = Instant::now() + longest + LAST_ANSWERS;
    server.stop(succeeded);
    // Whatever became of the accept loop, what was taken is answered.
    let _ = tokio::time::timeout_at(end.into(), accepting).await;
    server.wind_down(end).await;
    // Better failed than lost: what is still open would be cut by the end of the process.
    driver.end_all();
    server.wind_down(Instant::now() + LAST_WRITES).await;
    driver.check_end();
    log::urgent(&format!("counters: {}", driver.counters.text()));
    Ok(())
}

fn main() -> ExitCode {
    // Before anything is opened: what is open now was inherited.
    let inherited = match inherited_listener::listener() {
        Ok(inherited) => inherited,
        Err(e) => {
            log::line(&e.to_string());
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            log::line(&format!("no runtime: {e}"));
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, run(inherited)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::line(&e.to_string());
            ExitCode::FAILURE
        }
    }
}
