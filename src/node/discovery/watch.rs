//! Decides which call to discovery comes next, and handles its response or failure.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | any | a reloaded configuration has another address | `CatchingUp` |
//! | any | the balancer stops the watch | `Paused` |
//! | `Paused` | the balancer starts the watch | `CatchingUp` |
//! | `CatchingUp` | a response | `Watching` |
//! | `Watching` | a response, or the watch expires | `Watching` |
//! | `CatchingUp`, `Watching` | a failed call that this module repeats | `CatchingUp` |
//! | `CatchingUp`, `Watching` | a failed call that the balancer schedules again | `Paused` |
//!
//! Only poll mode pauses. There, all nodes call one service, and their calls must not overload it after
//! an outage. So the balancer schedules the calls that follow a failure.

use super::client::{CallKind, CallOutcome, DiscoveryClient, DiscoveryError};
use super::endpoint_list::EndpointList;
use super::list_tracker::{ListState, ListTracker};
use crate::driver::{Driver, DriverEvent};
use crate::observability::log;
use crate::system::descriptors::Descriptors;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use wheelpath::policy::{DiscoveryMode, WatchUpdate};
use wheelpath::settings_file::NameIndex;

/// Longest time between two checks, which are calls in parallel to a watch without updates. Even if one
/// call at each check gets no response, the next one gets its response before the node is expected to
/// know a change. The number of calls to the service is about that of watches of this length.
const CHECK_INTERVAL: Duration = Duration::from_secs(18);
/// Part of [`CHECK_INTERVAL`] that is random. Nodes that received the same update at the same time then
/// do not make their next checks at the same time.
const CHECK_JITTER: f64 = 0.25;
/// Time after a change of the address within which the node is expected to know the list of the new
/// address.
const ADDRESS_CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// During [`ADDRESS_CHANGE_TIMEOUT`], a failed call is repeated after a random pause of at most this
/// length, regardless of the pauses that the balancer would schedule.
const ADDRESS_CHANGE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Time after which a starting process is ready in poll mode even if discovery has not responded. A
/// process waits for the first response because it may be expected to know at once the changes made while
/// it was down. The time covers the random delay of the first call and the wait in the service's queue.
/// The wait is limited so that an outage of discovery does not cause an outage of the nodes.
const POLL_START_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Time after which a starting process is ready in push mode even if discovery has not responded. It is
/// shorter than [`POLL_START_TIMEOUT`] because the agent is near the node and has no queue.
const PUSH_START_TIMEOUT: Duration = Duration::from_secs(1);
/// A call that fails within this time was not queued at the service: discovery is down and cannot send a
/// newer list.
const IMMEDIATE_FAILURE_TIME: Duration = Duration::from_secs(1);
/// Pause after a failed call in push mode, after a restart of the version numbers, and after a watch that
/// discovery ended at once without an update. The protocol requires that a watch continues within 200 ms.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// If a watch ends without an update within this time, discovery did not wait for one.
const MIN_WATCH_TIME: Duration = Duration::from_millis(50);

/// The state of the watch, which determines the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// Makes no call until the balancer starts the watch.
    Paused,
    /// Requests the changes up to now, without waiting for an update: after the start, a failed call or a
    /// change of the address.
    CatchingUp,
    /// Waits for the next update.
    Watching,
}

/// When a failed call is repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Retry {
    Immediately,
    After(Duration),
    /// When the balancer starts the watch again.
    WhenRequested,
}

/// The parameters of a [`DiscoveryWatch`].
pub struct WatchSetup {
    /// Address of discovery. Its value changes when a reloaded configuration has another address.
    pub address: watch::Receiver<SocketAddr>,
    /// Whether an agent pushes the list or the node polls a service.
    pub mode: DiscoveryMode,
    /// Index of zone names, from the settings.
    pub names: Rc<NameIndex>,
    /// The limit on descriptors, from which connections to discovery take their permits.
    pub descriptors: Rc<Descriptors>,
    /// Receives `true` when the balancer starts the watch and `false` when it stops the watch.
    pub watch_requests: mpsc::UnboundedReceiver<bool>,
    /// Tracks the list of this process; the watch records each update there.
    pub list: Rc<ListTracker>,
    /// The first call requests the changes after this version, or the full list if it is `None`. A full
    /// list costs the service one line for each endpoint, and after an outage all nodes start at once.
    pub base_version: Option<u64>,
    /// Whether the first call is made at once, and not when the balancer starts the watch.
    pub starts_at_once: bool,
    /// Source of the jitter.
    pub rng: fastrand::Rng,
}

/// Keeps the endpoint list up to date for as long as the process runs.
pub struct DiscoveryWatch {
    state: WatchState,
    client: DiscoveryClient,
    mode: DiscoveryMode,
    address_receiver: watch::Receiver<SocketAddr>,
    /// The address that calls are made to.
    address: SocketAddr,
    watch_requests: mpsc::UnboundedReceiver<bool>,
    list: Rc<ListTracker>,
    /// The next call requests the changes after this version, or the full list if it is `None`.
    version: Option<u64>,
    /// The numbering that `version` belongs to.
    numbering: u64,
    consecutive_failures: u32,
    /// Whether a call without a valid response was repeated at once since the last successful call.
    has_repeated_immediately: bool,
    /// When the node is expected to know the list of a changed address.
    address_change_deadline: Instant,
    rng: fastrand::Rng,
}

impl DiscoveryWatch {
    /// Creates a watch that has made no call. In push mode it never waits for the balancer to start it.
    pub fn new(setup: WatchSetup) -> DiscoveryWatch {
        let starts_at_once = setup.mode == DiscoveryMode::Push || setup.starts_at_once;
        let address = *setup.address.borrow();
        DiscoveryWatch {
            state: if starts_at_once { WatchState::CatchingUp } else { WatchState::Paused },
            client: DiscoveryClient::new(setup.mode, setup.names, setup.descriptors),
            mode: setup.mode,
            address_receiver: setup.address,
            address,
            watch_requests: setup.watch_requests,
            version: setup.base_version,
            numbering: setup.list.state().position.numbering,
            list: setup.list,
            consecutive_failures: 0,
            has_repeated_immediately: false,
            address_change_deadline: Instant::now(),
            rng: setup.rng,
        }
    }

    /// Makes calls and reports their results to the driver. Returns only when the channel of watch
    /// requests is closed.
    pub async fn run(mut self, driver: Rc<Driver>) {
        spawn_local(mark_list_usable_after_timeout(self.mode, driver.clone()));
        loop {
            self.apply_watch_requests();
            self.apply_address_change();
            let call = match self.state {
                WatchState::Paused => {
                    if !self.wait_while_paused().await {
                        return;
                    }
                    continue;
                }
                WatchState::CatchingUp => CallKind::CatchUp,
                WatchState::Watching => CallKind::Watch { check_interval: self.check_interval() },
            };
            let started_at = Instant::now();
            let mut address_receiver = self.address_receiver.clone();
            // A change of the address cancels the call: the old address may have a different list.
            let result = tokio::select! {
                result = self.client.call(self.address, self.version, call) => result,
                Ok(()) = address_receiver.changed() => continue,
            };
            match result {
                Ok(outcome) => self.on_success(outcome, started_at, &driver).await,
                Err(error) => self.on_failure(&error, started_at, &driver).await,
            }
        }
    }

    fn apply_watch_requests(&mut self) {
        while let Ok(should_watch) = self.watch_requests.try_recv() {
            self.on_watch_request(should_watch);
        }
    }

    fn on_watch_request(&mut self, should_watch: bool) {
        match (should_watch, self.state) {
            (false, _) => self.state = WatchState::Paused,
            (true, WatchState::Paused) => self.state = WatchState::CatchingUp,
            (true, WatchState::CatchingUp | WatchState::Watching) => {}
        }
    }

    /// If the address has changed, disconnects from the old address and calls the new one next.
    fn apply_address_change(&mut self) {
        let address = *self.address_receiver.borrow_and_update();
        if address == self.address {
            return;
        }
        // Another agent may have its own version numbers, and its full list costs nothing. The service of
        // poll mode keeps its version numbers at a new address, and could not send the full list to all
        // nodes in time.
        self.version = self.version.filter(|_| self.mode == DiscoveryMode::Poll);
        self.address = address;
        self.list.set_contact(None);
        self.client.disconnect();
        self.state = WatchState::CatchingUp;
        self.address_change_deadline = Instant::now() + ADDRESS_CHANGE_TIMEOUT;
    }

    /// Waits for a watch request or a change of the address. Returns `false` if the channel of watch
    /// requests is closed.
    async fn wait_while_paused(&mut self) -> bool {
        tokio::select! {
            request = self.watch_requests.recv() => match request {
                Some(should_watch) => self.on_watch_request(should_watch),
                None => return false,
            },
            Ok(()) = self.address_receiver.changed() => {}
        }
        true
    }

    fn check_interval(&mut self) -> Duration {
        CHECK_INTERVAL.mul_f64(1.0 - CHECK_JITTER * self.rng.f64())
    }

    async fn on_success(&mut self, outcome: CallOutcome, started_at: Instant, driver: &Rc<Driver>) {
        self.list.set_contact(Some(self.address));
        let was_watching = self.state == WatchState::Watching;
        self.state = WatchState::Watching;
        self.has_repeated_immediately = false;
        if self.consecutive_failures > 0 {
            let failures = self.consecutive_failures;
            log::line(&format!("discovery: available again after {failures} failed calls"));
            self.consecutive_failures = 0;
        }
        match outcome {
            CallOutcome::List(list) => self.on_list(list, was_watching, started_at, driver).await,
            // Reports to the balancer that the call did not fail, although nothing has changed.
            CallOutcome::WatchExpired => report(driver, WatchUpdate::Delta, None),
        }
    }

    async fn on_list(
        &mut self,
        list: EndpointList,
        was_watching: bool,
        started_at: Instant,
        driver: &Rc<Driver>,
    ) {
        let elapsed = started_at.elapsed();
        let did_not_wait = was_watching && self.version == Some(list.version) && elapsed < MIN_WATCH_TIME;
        let needs_full_list = self.needs_full_list(&list);
        let is_superseded = self.is_superseded(&list);
        self.version = if needs_full_list { None } else { Some(list.version) };
        if !needs_full_list {
            list.log(elapsed);
            if is_superseded {
                report(driver, WatchUpdate::Delta, None);
            } else {
                let version = list.version;
                report(driver, list.update_kind(), Some(list));
                self.list.record_update(version, self.address);
            }
            self.numbering = self.list.state().position.numbering;
            driver.mark_list_usable();
        }
        if needs_full_list || did_not_wait {
            // Prevents a busy loop of calls if discovery does not wait for updates.
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns `true` if the list has changes that do not apply to the list of this process: discovery has
    /// restarted its version numbers, so that the version is below the known one; or this process has adopted a
    /// list with restarted numbers since the last answer.
    fn needs_full_list(&self, list: &EndpointList) -> bool {
        let has_lower_version = self.version.is_none_or(|known| list.version < known);
        !list.is_complete && (has_lower_version || !self.has_same_numbering())
    }

    /// Returns `true` if the version of the next call and the list of this process have the same numbering.
    fn has_same_numbering(&self) -> bool {
        let ListState { position, source, .. } = self.list.state();
        position.numbering == self.numbering && self.list.shares_numbering(source, self.address)
    }

    /// Returns `true` if this process has adopted a newer list since discovery sent this one. The next call
    /// requests the changes after this version, so the adopted changes come again.
    fn is_superseded(&self, list: &EndpointList) -> bool {
        let continues_numbering = self.version.is_some_and(|known| list.version >= known);
        continues_numbering
            && self.has_same_numbering()
            && Some(list.version) < self.list.state().position.version
    }

    /// Handles a failed call. The node may be expected to know soon the changes that the call missed, so
    /// the next call does not wait for an update.
    async fn on_failure(&mut self, error: &DiscoveryError, started_at: Instant, driver: &Rc<Driver>) {
        self.list.set_contact(None);
        self.client.disconnect();
        self.state = WatchState::CatchingUp;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        // A list that is known to be outdated may name endpoints that must get no requests any more, so the
        // process then uses all the time that it has for another call.
        if started_at.elapsed() < IMMEDIATE_FAILURE_TIME
            && !error.is_timeout_or_invalid_response()
            && !error.is_local_failure()
            && !self.list.is_outdated()
        {
            driver.mark_list_usable();
        }
        if self.consecutive_failures.is_power_of_two() {
            let (failures, address) = (self.consecutive_failures, self.address);
            log::line(&format!(
                "discovery: no valid response to {failures} consecutive calls to {address}: {error}"
            ));
        }
        match self.choose_retry(error) {
            Retry::Immediately => self.has_repeated_immediately = true,
            Retry::After(pause) => tokio::time::sleep(pause).await,
            Retry::WhenRequested => {
                self.state = WatchState::Paused;
                report(driver, WatchUpdate::Failure, None);
            }
        }
    }

    fn choose_retry(&mut self, error: &DiscoveryError) -> Retry {
        if self.mode == DiscoveryMode::Push {
            // The agent may have restarted its version numbers by the next call, and its full list costs
            // nothing.
            self.version = None;
            Retry::After(RETRY_PAUSE)
        } else if error.is_timeout_or_invalid_response() && !self.has_repeated_immediately {
            // The node is expected to know soon a change that the call missed. Repeating the call at once
            // is safe: an overloaded service refuses calls, so a missing response is no sign of overload.
            Retry::Immediately
        } else if Instant::now() < self.address_change_deadline {
            Retry::After(ADDRESS_CHANGE_RETRY_PAUSE.mul_f64(0.5 + 0.5 * self.rng.f64()))
        } else {
            Retry::WhenRequested
        }
    }
}

/// Reports the result of a call to the balancer. Without a list, the update has no endpoints.
fn report(driver: &Rc<Driver>, update: WatchUpdate, list: Option<EndpointList>) {
    let endpoints = list.map_or_else(Vec::new, |list| list.endpoints);
    driver.handle(DriverEvent::EndpointsChanged { update, endpoints });
}

/// Marks the list that the process started with as usable when discovery has had enough time to respond.
/// The task then ends.
async fn mark_list_usable_after_timeout(mode: DiscoveryMode, driver: Rc<Driver>) {
    let timeout = match mode {
        DiscoveryMode::Push => PUSH_START_TIMEOUT,
        DiscoveryMode::Poll => POLL_START_TIMEOUT,
    };
    tokio::time::sleep(timeout).await;
    if driver.mark_list_usable() {
        log::line("discovery: no valid response since the start; serving with the initial endpoint list");
    }
}
