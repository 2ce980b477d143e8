//! Starts everything that keeps the endpoint list of this process up to date: the list that it begins with, the
//! state that it takes over from another process of the node, the watch of discovery, and the reload of its
//! address.

use crate::config::Config;
use crate::discovery::{DiscoveryWatch, EndpointList, InitialList, ListTracker, WatchSetup};
use crate::driver::{Driver, DriverEvent};
use crate::observability::log;
use crate::reload;
use crate::snapshot::{SharedAddress, SharedListFile, Takeover};
use crate::system::descriptors::Descriptors;
use crate::system::signals::SignalReceiver;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use wheelpath::policy::{DiscoveryMode, WatchUpdate};
use wheelpath::settings_file::NameIndex;

/// The parts of the node that the endpoint list depends on.
pub struct MembershipSetup {
    /// The driver, which gets the list.
    pub driver: Rc<Driver>,
    /// Index of zone names, from the settings.
    pub names: Rc<NameIndex>,
    /// The limit on descriptors, from which connections to discovery take their permits.
    pub descriptors: Rc<Descriptors>,
    /// Receives `true` when the balancer starts the watch of discovery and `false` when it stops the watch.
    pub watch_requests: mpsc::UnboundedReceiver<bool>,
    /// Receives SIGHUP.
    pub hangup: SignalReceiver,
    /// Whether the processes of the node share a folder, so that one takes over from another.
    pub is_state_shared: bool,
}

/// Passes the first endpoint list and the state of the previous process to the driver, and starts the tasks that
/// keep the list up to date, which run as long as the node. Returns the exchange of state with other processes
/// if there is one.
pub fn start(config: &Config, setup: MembershipSetup) -> Option<Rc<Takeover>> {
    let MembershipSetup { driver, names, descriptors, watch_requests, hangup, is_state_shared } = setup;
    let shared_address = is_state_shared.then(SharedAddress::open);
    let discovery =
        shared_address.as_ref().map_or(config.discovery, |shared| shared.initial_address(config));
    let shared_list = is_state_shared.then(|| SharedListFile::new(names.clone()));
    let configured_list = EndpointList::parse(&config.cached_endpoint_list, &names);
    let stored_list = shared_list.as_ref().and_then(SharedListFile::read);
    let mode = config.settings.discovery;
    let initial_list = InitialList::choose(configured_list, stored_list, discovery, mode);
    let (base_version, is_newer) = (initial_list.base_version, initial_list.is_newer_than_configured);
    let list = apply_initial_list(initial_list, mode, &driver);
    let takeover = is_state_shared.then(|| take_over(&list, &driver));
    if let Some(shared_list) = shared_list {
        spawn_local(shared_list.run(list.clone(), driver.clone()));
    }
    let address = start_reload(discovery, shared_address, hangup);
    let watch = DiscoveryWatch::new(WatchSetup {
        address,
        mode,
        names,
        descriptors,
        watch_requests,
        base_version,
        starts_at_once: is_newer || list.is_outdated(),
        list,
        rng: fastrand::Rng::with_seed(!config.seed),
    });
    spawn_local(watch.run(driver));
    takeover
}

/// Passes the endpoint list that the process starts with to the driver, and creates its tracker.
fn apply_initial_list(
    initial_list: InitialList,
    mode: DiscoveryMode,
    driver: &Rc<Driver>,
) -> Rc<ListTracker> {
    let InitialList { state, endpoints, is_newer_than_configured, .. } = initial_list;
    if is_newer_than_configured {
        let (position, count) = (state.position, endpoints.len());
        log::line(&format!(
            "handover: starting with the earlier process's list: {position}, {count} servers"
        ));
    }
    driver.handle(DriverEvent::EndpointsChanged { update: WatchUpdate::CachedSnapshot, endpoints });
    Rc::new(ListTracker::new(state, mode))
}

/// Takes over the state of the previous process, and starts the task that keeps this process in step with
/// another one that runs in parallel.
fn take_over(list: &Rc<ListTracker>, driver: &Rc<Driver>) -> Rc<Takeover> {
    let takeover = Takeover::new(list.clone());
    takeover.take_over(driver);
    spawn_local(takeover.clone().run(driver.clone()));
    takeover
}

/// Starts the tasks that follow SIGHUP, at this process and at others. Returns the address of discovery, which
/// they change.
fn start_reload(
    discovery: SocketAddr,
    shared_address: Option<Rc<SharedAddress>>,
    hangup: SignalReceiver,
) -> watch::Receiver<SocketAddr> {
    let (sender, address) = watch::channel(discovery);
    let sender = Rc::new(sender);
    if let Some(shared_address) = &shared_address {
        spawn_local(shared_address.clone().run(sender.clone()));
    }
    spawn_local(reload::run(hangup, sender, shared_address));
    address
}
