//! The watch on discovery: which call comes next, and what an answer or a failure means.
//!
//! | state | event | next state |
//! | --- | --- | --- |
//! | any | a new configuration names another address | `CatchingUp` |
//! | `Paused` | the decisions ask to watch | `CatchingUp` |
//! | `CatchingUp` | an answer | `Watching` |
//! | `Watching` | an answer, or the watch expires | `Watching` |
//! | `CatchingUp`, `Watching` | a failure that is repeated here | `CatchingUp` |
//! | `CatchingUp`, `Watching` | a failure whose repetition the decisions pace | `Paused` |
//!
//! Only polled discovery pauses: each call costs the one service of all nodes, so the decisions pace them
//! after a failure.

use super::client::{CallKind, CallOutcome, DiscoveryClient, DiscoveryError};
use super::endpoint_list::EndpointList;
use crate::driver::{Driver, DriverEvent};
use crate::observability::log;
use crate::system::descriptors::Descriptors;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use wheelpath::policy::{DiscoveryMode, WatchUpdate};
use wheelpath::settings_file::NameIndex;

/// Time between two calls in parallel to a watch without updates, at most. Even if a call is silent at each
/// check, the next one is answered before a change counts as known; and the service gets about as many
/// calls as from watches of this length.
const CHECK_INTERVAL: Duration = Duration::from_secs(18);
/// Random part of that interval, so that nodes which got the same update do not all call at the same moment
/// later.
const CHECK_JITTER: f64 = 0.25;
/// A change counts as known this long after a new configuration, whether or not the node has it.
const MOVE_TIMEOUT: Duration = Duration::from_secs(4);
/// Until then a failed call is repeated after a pause of this at most, whatever the decisions' pace.
const MOVE_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// A process that starts is ready once discovery has answered, because changes made while it was down may
/// count at once. With polled discovery that takes the spread of the first calls and a wait in the queue;
/// an agent is near. After this time the process is ready without an answer, so that an outage of discovery
/// does not become an outage of the nodes.
const POLL_START_TIMEOUT: Duration = Duration::from_millis(4_500);
const PUSH_START_TIMEOUT: Duration = Duration::from_secs(1);
/// A call that fails within this time was not queued: discovery is down, and no newer list can be had.
const DOWN_WITHIN: Duration = Duration::from_secs(1);
/// Pause after a failed call that the decisions do not pace. The protocol wants a watch to go on within 200
/// ms.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// A watch that ends within this time without an update did not wait.
const HASTY_WATCH: Duration = Duration::from_millis(50);

/// What the watch does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WatchState {
    /// Waits until the decisions ask for a call.
    Paused,
    /// Asks what has changed by now, without waiting for an update: at the start, after a failure, and
    /// after a new configuration.
    CatchingUp,
    /// Waits for the next update.
    Watching,
}

/// When a failed call is repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Retry {
    Immediately,
    After(Duration),
    /// When the decisions ask for it.
    WhenRequested,
}

/// What a watch is set up with.
pub struct WatchSetup {
    /// Where discovery is; a new configuration may name another address.
    pub address: watch::Receiver<SocketAddr>,
    /// How the list arrives.
    pub mode: DiscoveryMode,
    /// Names of zones.
    pub names: Rc<NameIndex>,
    /// The count of descriptors.
    pub descriptors: Rc<Descriptors>,
    /// The decisions' requests to watch, with polled discovery.
    pub watch_requests: mpsc::UnboundedReceiver<bool>,
    /// The version of the list that the node has, if it has one; shared with what outlives the process. The
    /// first call asks for what changed since: a full list costs the service a line for each endpoint, and
    /// after an outage all nodes start at once.
    pub version: Rc<Cell<Option<u64>>>,
    /// The process before this one knew a newer list: it is asked for at once, whatever the decisions'
    /// pace.
    pub is_behind: bool,
    /// For jitter.
    pub rng: fastrand::Rng,
}

/// Keeps the endpoint list up to date for as long as the node lives.
pub struct DiscoveryWatch {
    state: WatchState,
    client: DiscoveryClient,
    mode: DiscoveryMode,
    addresses: watch::Receiver<SocketAddr>,
    address: SocketAddr,
    watch_requests: mpsc::UnboundedReceiver<bool>,
    shared_version: Rc<Cell<Option<u64>>>,
    /// The version that the next call asks for changes after; none where it asks for the full list.
    version: Option<u64>,
    consecutive_failures: u32,
    /// A silent call was repeated at once since the last answer.
    has_repeated_silent_call: bool,
    /// Until when what discovery has is to be known after a new configuration.
    known_by: Instant,
    rng: fastrand::Rng,
}

impl DiscoveryWatch {
    /// A watch that has made no call.
    pub fn new(setup: WatchSetup) -> DiscoveryWatch {
        let starts_at_once = setup.mode == DiscoveryMode::Push || setup.is_behind;
        let address = *setup.address.borrow();
        DiscoveryWatch {
            state: if starts_at_once { WatchState::CatchingUp } else { WatchState::Paused },
            client: DiscoveryClient::new(setup.mode, setup.names, setup.descriptors),
            mode: setup.mode,
            addresses: setup.address,
            address,
            watch_requests: setup.watch_requests,
            version: setup.version.get(),
            shared_version: setup.version,
            consecutive_failures: 0,
            has_repeated_silent_call: false,
            known_by: Instant::now(),
            rng: setup.rng,
        }
    }

    /// Runs until the driver is gone.
    pub async fn run(mut self, driver: Rc<Driver>) {
        spawn_local(mark_list_current_after_start(self.mode, driver.clone()));
        loop {
            self.take_watch_requests();
            self.take_new_address();
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
            let begun_at = Instant::now();
            let mut addresses = self.addresses.clone();
            // A call to the old address is abandoned: its answer may be of another list.
            let ended = tokio::select! {
                ended = self.client.call(self.address, self.version, call) => ended,
                Ok(()) = addresses.changed() => continue,
            };
            match ended {
                Ok(outcome) => self.on_answer(outcome, begun_at, &driver).await,
                Err(error) => self.on_failure(&error, begun_at, &driver).await,
            }
        }
    }

    fn take_watch_requests(&mut self) {
        while let Ok(wanted) = self.watch_requests.try_recv() {
            self.on_watch_request(wanted);
        }
    }

    fn on_watch_request(&mut self, wanted: bool) {
        match (wanted, self.state) {
            (false, _) => self.state = WatchState::Paused,
            (true, WatchState::Paused) => self.state = WatchState::CatchingUp,
            (true, WatchState::CatchingUp | WatchState::Watching) => {}
        }
    }

    /// Takes over a new address from the configuration; the next call goes there at once.
    fn take_new_address(&mut self) {
        let address = *self.addresses.borrow_and_update();
        if address == self.address {
            return;
        }
        // An agent may count versions on its own, and sends its full list at no cost. The one service of
        // all nodes has the same count wherever it is, and cannot send its full list to each of them in
        // time.
        self.version = self.version.filter(|_| self.mode == DiscoveryMode::Poll);
        self.address = address;
        self.client.disconnect();
        self.state = WatchState::CatchingUp;
        self.known_by = Instant::now() + MOVE_TIMEOUT;
    }

    /// Waits for a request to watch or a new address; false where the driver is gone.
    async fn wait_while_paused(&mut self) -> bool {
        tokio::select! {
            wanted = self.watch_requests.recv() => match wanted {
                Some(wanted) => self.on_watch_request(wanted),
                None => return false,
            },
            Ok(()) = self.addresses.changed() => {}
        }
        true
    }

    fn check_interval(&mut self) -> Duration {
        CHECK_INTERVAL.mul_f64(1.0 - CHECK_JITTER * self.rng.f64())
    }

    async fn on_answer(&mut self, outcome: CallOutcome, begun_at: Instant, driver: &Rc<Driver>) {
        let was_watching = self.state == WatchState::Watching;
        self.state = WatchState::Watching;
        self.has_repeated_silent_call = false;
        if self.consecutive_failures > 0 {
            let failures = self.consecutive_failures;
            log::line(&format!("discovery: answers again after {failures} failed calls"));
            self.consecutive_failures = 0;
        }
        match outcome {
            CallOutcome::List(list) => self.on_list(list, was_watching, begun_at, driver).await,
            // An answer without a change still means that the call did not fail.
            CallOutcome::WatchExpired => report(driver, WatchUpdate::Delta, None),
        }
    }

    async fn on_list(
        &mut self,
        list: EndpointList,
        was_watching: bool,
        begun_at: Instant,
        driver: &Rc<Driver>,
    ) {
        let has_not_waited = begun_at.elapsed() < HASTY_WATCH;
        let did_not_wait = was_watching && self.version == Some(list.version) && has_not_waited;
        // Discovery counts versions anew if its version is below the known one: only the full list is valid
        // then.
        let versions_restarted = !list.is_complete && self.version.is_none_or(|known| list.version < known);
        self.version = if versions_restarted { None } else { Some(list.version) };
        self.shared_version.set(self.version);
        if !versions_restarted {
            list.log(begun_at.elapsed());
            report(driver, list.update_kind(), Some(list));
            driver.mark_list_current();
        }
        if versions_restarted || did_not_wait {
            // Keeps this loop from spinning on watches that do not wait.
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Handles a failed call. Changes missed meanwhile may count as known soon, so the next call does not
    /// wait for an update.
    async fn on_failure(&mut self, error: &DiscoveryError, begun_at: Instant, driver: &Rc<Driver>) {
        self.client.disconnect();
        self.state = WatchState::CatchingUp;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if begun_at.elapsed() < DOWN_WITHIN
            && !error.is_timeout_or_invalid_response()
            && !error.is_local_failure()
        {
            driver.mark_list_current();
        }
        if self.consecutive_failures.is_power_of_two() {
            let (failures, address) = (self.consecutive_failures, self.address);
            log::line(&format!("discovery: no answer to {failures} calls in a row: {address}: {error}"));
        }
        match self.retry_after(error) {
            Retry::Immediately => self.has_repeated_silent_call = true,
            Retry::After(pause) => tokio::time::sleep(pause).await,
            Retry::WhenRequested => {
                self.state = WatchState::Paused;
                report(driver, WatchUpdate::Failure, None);
            }
        }
    }

    fn retry_after(&mut self, error: &DiscoveryError) -> Retry {
        if self.mode == DiscoveryMode::Push {
            // The agent that answers next may count versions anew, and its full list costs nothing.
            self.version = None;
            Retry::After(RETRY_PAUSE)
        } else if error.is_timeout_or_invalid_response() && !self.has_repeated_silent_call {
            // A change that the call would have brought counts as known soon, and silence is no sign of
            // overload: an overloaded service refuses.
            Retry::Immediately
        } else if Instant::now() < self.known_by {
            Retry::After(MOVE_RETRY_PAUSE.mul_f64(0.5 + 0.5 * self.rng.f64()))
        } else {
            Retry::WhenRequested
        }
    }
}

/// Reports to the decisions what a call brought.
fn report(driver: &Rc<Driver>, update: WatchUpdate, list: Option<EndpointList>) {
    let endpoints = list.map_or_else(Vec::new, |list| list.endpoints);
    driver.take(DriverEvent::EndpointsChanged { update, endpoints });
}

/// Marks the configured list as good enough to serve by, once discovery has had time to answer. The task
/// ends then.
async fn mark_list_current_after_start(mode: DiscoveryMode, driver: Rc<Driver>) {
    let timeout = match mode {
        DiscoveryMode::Push => PUSH_START_TIMEOUT,
        DiscoveryMode::Poll => POLL_START_TIMEOUT,
    };
    tokio::time::sleep(timeout).await;
    if driver.mark_list_current() {
        log::line("discovery: no answer since the start; serves by the list given there");
    }
}
