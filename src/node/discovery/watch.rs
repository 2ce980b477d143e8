//! The list of backends: the first one from the configuration, then a watch on discovery.

use crate::driver::{DiscoveredEndpoint, Driver, DriverEvent};
use crate::observability::log;
use crate::system::socket::Descriptors;
use crate::system::syscall_errors::ConnectError;
use crate::upstream::{ExchangeError, UpstreamBody, UpstreamConnection};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde_json::Value;
use std::cell::Cell;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::error::Elapsed;
use wheelpath::policy::{DiscoveryMode, EndpointId, EndpointState, EndpointUpdate, WatchUpdate};
use wheelpath::settings_file::Names;
use wheelpath::stable_hash::stable_hash;

/// How long a watch may wait for an update. Pushed lists cost nothing to ask for, and a short wait soon shows an
/// agent that has fallen silent: what it gets at its return counts at once.
const PUSHED_WAIT: Duration = Duration::from_millis(150);
/// An agent that has not answered by so long after that is asked again beside, and then each `PUSHED_AGAIN`: what it was
/// asked while it was silent it may never answer.
const PUSHED_LATE: Duration = Duration::from_millis(100);
const PUSHED_AGAIN: Duration = Duration::from_millis(200);
/// Where it is asked, as long as the protocol allows: an update that a silent watch misses counts as told 2 s after its
/// wait, and from silence alone nobody can tell that there is none.
const ASKED_WAIT: Duration = Duration::from_secs(60);
/// So beside a watch that brings nothing it is asked what changed, this often at the least, with no wait, and at the
/// third turn the watch is made anew. A call may fall silent at each turn before anything counts as told; the one
/// service of all nodes has about as many calls as from watches of this length.
const LOOKED_AFTER: Duration = Duration::from_secs(18);
const LOOKS: u32 = 2;
/// After a call beside a watch that failed, the next comes after this part of that: about half a second.
const LOOKED_AGAIN: u32 = 32;
/// Part of that by which nodes differ, so that an update to all of them does not have all of them call at once later.
const SPREAD: f64 = 0.25;
/// What an answer may take beyond the wait. A call waits its turn at the one service of all nodes, which fails it after
/// 2 s; more time would have what a silent call misses count as told before the next is answered. An agent answers
/// at once, but for one that is slow.
const PUSHED_ANSWER: Duration = Duration::from_millis(1_500);
const ASKED_ANSWER: Duration = Duration::from_millis(2_200);
/// Discovery that does not take a connection by then is not there; an agent is near, and what it has counts at once.
const PUSHED_CONNECT: Duration = Duration::from_millis(100);
const ASKED_CONNECT: Duration = Duration::from_millis(1_000);
/// What is read of it at a time.
const LIST_BUFFER: usize = 64 * 1024;
/// The whole list may be a great deal larger than a request.
const LIST_LIMIT: usize = 8 * 1024 * 1024;
/// After a new configuration what discovery has counts as told so soon.
const MOVED: Duration = Duration::from_secs(4);
/// Until then a call that fails is made again after a pause of this at most, whatever the decisions' pace.
const MOVED_PAUSE: Duration = Duration::from_millis(500);
/// A process that starts has clients sent to it once discovery has answered: changes made while nobody listened may count
/// at once. Where it is asked that takes the spread of the first calls, a turn there and some more; an agent is near.
/// For longer than this an outage of discovery must not be one of the nodes that start in it.
const ASKED_START: Duration = Duration::from_millis(4_500);
const PUSHED_START: Duration = Duration::from_secs(1);
/// A call that discovery fails so soon has not waited its turn there.
const DOWN: Duration = Duration::from_secs(1);
/// Pause after a failed call where nobody paces the calls; within 200 ms a watch goes on.
const PAUSE: Duration = Duration::from_millis(150);
/// A watch without an update that took less than this has not waited.
const HASTY: Duration = Duration::from_millis(50);

/// An answer of discovery, or the list that a node starts with.
pub struct Listing {
    rev: u64,
    all: bool,
    /// Its lines, without those that could not be read.
    pub targets: Vec<DiscoveredEndpoint>,
    skipped: bool,
}

impl Listing {
    /// The version after which changes alone tell the rest: none where this is not a whole list, read in full.
    pub fn version(&self) -> Option<u64> {
        let whole = self.all && !self.skipped && !self.targets.is_empty();
        whole.then_some(self.rev)
    }

    /// Says in the log what it brought, if anything.
    fn tell(&self, age: Duration) {
        let count = |h: EndpointState| self.targets.iter().filter(|t| t.entry.state == h).count();
        let (up, draining, gone) =
            (count(EndpointState::Active), count(EndpointState::Draining), count(EndpointState::Removed));
        if !self.targets.is_empty() {
            let what = if self.all { "whole list" } else { "changes" };
            log::line(&format!(
                "discovery: {what}, version {}: {up} up, {draining} draining, {gone} gone, {:.1} s after the call",
                self.rev,
                age.as_secs_f64()
            ));
        }
    }
}

/// Reads a list in discovery's form. Bad lines are logged and skipped: one of them must not hide the rest. Where all
/// are bad it is no list.
pub fn listing(json: &Value, names: &Names) -> Option<Listing> {
    let rev = json.get("rev")?.as_u64()?;
    let all = json.get("all").and_then(Value::as_bool).unwrap_or(false);
    let lines = json.get("targets")?.as_array()?;
    let mut targets = Vec::with_capacity(lines.len());
    let mut skipped = false;
    for line in lines {
        match target(line, names) {
            Ok(target) => targets.push(target),
            Err(field) => {
                skipped = true;
                let line = line.to_string();
                log::line(&format!("discovery: entry skipped, bad {field}: {line:.200}"));
            }
        }
    }
    (lines.is_empty() || !targets.is_empty()).then_some(Listing { rev, all, targets, skipped })
}

fn target(line: &Value, names: &Names) -> Result<DiscoveredEndpoint, &'static str> {
    let text = |field: &str| line.get(field).and_then(Value::as_str);
    let uid = text("uid").filter(|u| !u.is_empty()).ok_or("uid")?;
    let health = match text("state") {
        Some("up") => EndpointState::Active,
        Some("draining") => EndpointState::Draining,
        Some("removed") => EndpointState::Removed,
        _ => return Err("state"),
    };
    let address = text("endpoint").ok_or("endpoint").and_then(|t| t.parse().map_err(|_| "endpoint"));
    let endpoint = EndpointId(stable_hash(uid));
    if health != EndpointState::Active {
        // Of one that leaves nothing else matters: whatever cannot be read must not keep it alive.
        let entry =
            EndpointUpdate { endpoint, zone: 0, cell: 0, state: health, weight: 1.0, started_at_ms: 0.0 };
        return Ok(DiscoveredEndpoint { entry, boot_ms: 0.0, address: address.ok() });
    }
    let number = |field: &'static str, default: f64| match line.get(field) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v.as_f64().ok_or(field),
    };
    let cell = number("pod_group", 0.0)?;
    if cell < 0.0 || cell > f64::from(u32::MAX) {
        return Err("pod_group");
    }
    let entry = EndpointUpdate {
        endpoint,
        zone: names.zone(text("az")),
        cell: cell as u32,
        state: health,
        weight: number("capacity_hint", 1.0)?,
        started_at_ms: 0.0,
    };
    Ok(DiscoveredEndpoint { entry, boot_ms: number("boot_ms", 0.0)?, address: Some(address?) })
}

/// Keeps the list fresh for as long as the node lives.
pub struct Watch {
    /// Where discovery is; a new configuration may name another place.
    pub address: watch::Receiver<SocketAddr>,
    /// How the list arrives.
    pub mode: DiscoveryMode,
    /// Names of zones.
    pub names: Rc<Names>,
    /// The count of sockets.
    pub descriptors: Rc<Descriptors>,
    /// The decisions' wish to watch, where discovery is asked.
    pub wishes: mpsc::UnboundedReceiver<bool>,
    /// The version of the list that the node has at its start, if it has one: the first call then asks for what
    /// changed since. A whole list costs the one service of all nodes a line for each backend, and after an
    /// outage all nodes start at once.
    pub version: Rc<Cell<Option<u64>>>,
    /// The process before this one knew a newer list: asked for at once, whatever the decisions' pace.
    pub behind: bool,
    /// For the times between two looks after a watch.
    pub rng: fastrand::Rng,
}

impl Watch {
    /// Runs until the driver is gone.
    pub async fn run(mut self, driver: Rc<Driver>) {
        let start = if self.mode == DiscoveryMode::Push { PUSHED_START } else { ASKED_START };
        let given = driver.clone();
        spawn_local(async move {
            tokio::time::sleep(start).await;
            if given.trust_list() {
                log::line("discovery: no answer since the start; serves by the list given there");
            }
        });
        let mut address = self.address.clone();
        let mut at = *address.borrow();
        let mut conn = None;
        let mut rev = self.version.get();
        let mut wanted = self.mode == DiscoveryMode::Push || self.behind;
        let mut failed = 0_u32;
        // Since the last answer a call without one was made again at once.
        let mut repeated = false;
        // The next call must not wait for an update: whether there is any is to be known soon, as at the start.
        let mut check = true;
        // Until when what discovery has is to be known after a new configuration.
        let mut due_by = Instant::now();
        loop {
            while let Ok(wish) = self.wishes.try_recv() {
                wanted = wish;
            }
            let now_at = *address.borrow_and_update();
            if at != now_at {
                // It is asked at once. An agent may count on its own, and tells all of its list for nothing; the one
                // service of all nodes has the same count wherever it is, and cannot tell each of them all of
                // it in time.
                rev = rev.filter(|_| self.mode == DiscoveryMode::Poll);
                (at, conn, wanted, check) = (now_at, None, true, true);
                due_by = Instant::now() + MOVED;
            }
            if !wanted {
                tokio::select! {
                    wish = self.wishes.recv() => match wish {
                        Some(wish) => wanted = wish,
                        None => return,
                    },
                    Ok(()) = address.changed() => {}
                }
                continue;
            }
            let begun = Instant::now();
            let every = LOOKED_AFTER.mul_f64(1.0 - SPREAD * self.rng.f64());
            // A call to where discovery was is given up: its answer would be that of another list.
            let answered = tokio::select! {
                answered = self.call(at, &mut conn, rev, (!check).then_some(every)) => answered,
                Ok(()) = address.changed() => continue,
            };
            match answered {
                Ok(answer) => {
                    let checked = std::mem::take(&mut check);
                    repeated = false;
                    if failed > 0 {
                        log::line(&format!("discovery: answers again after {failed} failed calls"));
                        failed = 0;
                    }
                    // The watch is old, and what was asked beside it brought no update.
                    let Some(listing) = answer else {
                        driver.take(DriverEvent::List(WatchUpdate::Delta, Vec::new()));
                        continue;
                    };
                    // A watch that did not wait and brought nothing must not make this loop spin.
                    let idle = !checked && rev == Some(listing.rev) && begun.elapsed() < HASTY;
                    // A version below ours is another count: only the whole list says what holds.
                    let lost = !listing.all && rev.is_none_or(|r| listing.rev < r);
                    rev = if lost { None } else { Some(listing.rev) };
                    self.version.set(rev);
                    // No change is an update too where discovery is asked: the call did not fail.
                    if !lost {
                        listing.tell(begun.elapsed());
                        let kind = if listing.all { WatchUpdate::Snapshot } else { WatchUpdate::Delta };
                        driver.take(DriverEvent::List(kind, listing.targets));
                        driver.trust_list();
                    }
                    if lost || idle {
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Err(e) => {
                    conn = None;
                    failed = failed.saturating_add(1);
                    // What was missed counts as told soon. A watch that is silent in its turn would not show it.
                    check = true;
                    // A call that waits its turn is failed later than that: discovery is down, and its list not to be had.
                    if begun.elapsed() < DOWN && !unheard(&*e) && !not_asked(&*e) {
                        driver.trust_list();
                    }
                    if failed.is_power_of_two() {
                        log::line(&format!("discovery: no answer to {failed} calls in a row: {e}"));
                    }
                    if self.mode == DiscoveryMode::Poll && unheard(&*e) && !repeated {
                        // What it would have said counts as told soon, and silence is no sign of load: an
                        // overbooked service says no.
                        repeated = true;
                    } else if self.mode == DiscoveryMode::Poll && Instant::now() < due_by {
                        tokio::time::sleep(MOVED_PAUSE.mul_f64(0.5 + 0.5 * self.rng.f64())).await;
                    } else if self.mode == DiscoveryMode::Poll {
                        // The decisions pace the calls: each costs the one service of all nodes.
                        wanted = false;
                        driver.take(DriverEvent::List(WatchUpdate::Failure, Vec::new()));
                    } else {
                        // Whoever answers next may count anew, and here the whole list costs nothing.
                        rev = None;
                        tokio::time::sleep(PAUSE).await;
                    }
                }
            }
        }
    }

    /// One call: its answer, or none where a watch is to be made anew, on the connection that is then in `conn`. A
    /// watch is looked after each `watch`; without that, the call does not wait for an update.
    async fn call(
        &self,
        at: SocketAddr,
        conn: &mut Option<UpstreamConnection>,
        rev: Option<u64>,
        watch: Option<Duration>,
    ) -> Result<Option<Listing>, Box<dyn Error>> {
        let (wait, answer) = match self.mode {
            DiscoveryMode::Push => (PUSHED_WAIT, PUSHED_ANSWER),
            DiscoveryMode::Poll => (ASKED_WAIT, ASKED_ANSWER),
        };
        let wait = rev.and(watch).map_or(Duration::ZERO, |_| wait);
        let mut beside = None;
        let looked = async {
            match (rev, watch) {
                (Some(rev), Some(every)) => self.look(at, &mut beside, rev, every).await,
                _ => std::future::pending().await,
            }
        };
        let looked = tokio::select! {
            answered = tokio::time::timeout(wait + answer, self.ask(at, conn, rev, wait, answer)) => {
                return Ok(Some(answered??));
            }
            looked = looked => looked,
        };
        *conn = beside;
        Ok(looked)
    }

    /// One call, and further ones beside it to an agent that does not answer in time: the first answer is taken.
    async fn ask(
        &self,
        at: SocketAddr,
        kept: &mut Option<UpstreamConnection>,
        rev: Option<u64>,
        wait: Duration,
        body_time: Duration,
    ) -> Result<Listing, Box<dyn Error>> {
        if self.mode == DiscoveryMode::Poll {
            return self.exchange(at, kept, rev, wait, body_time).await;
        }
        let call = |mut conn: Option<UpstreamConnection>, wait| {
            Box::pin(async move {
                let listing = self.exchange(at, &mut conn, rev, wait, body_time).await?;
                Ok::<_, Box<dyn Error>>((listing, conn))
            })
        };
        let mut calls = vec![call(kept.take(), wait)];
        let late = tokio::time::Instant::now() + wait + PUSHED_LATE;
        let mut again = tokio::time::interval_at(late, PUSHED_AGAIN);
        loop {
            let ended = poll_fn(|cx| {
                let ended =
                    calls.iter_mut().enumerate().find_map(|(n, call)| match call.as_mut().poll(cx) {
                        Poll::Ready(end) => Some((n, end)),
                        Poll::Pending => None,
                    });
                ended.map_or(Poll::Pending, Poll::Ready)
            });
            tokio::select! {
                biased;
                (n, end) = ended => {
                    drop(calls.swap_remove(n));
                    match end {
                        Ok((listing, conn)) => {
                            *kept = conn;
                            return Ok(listing);
                        }
                        Err(e) if calls.is_empty() => return Err(e),
                        Err(_) => {}
                    }
                }
                _ = again.tick() => calls.push(call(None, Duration::ZERO)),
            }
        }
    }

    /// Asks now and then, beside a watch that brings nothing, what changed since `rev`: what a silent watch misses, and
    /// a count that began anew, show in no other way before its end. None where it is time for the next watch; the
    /// present one is not given up before.
    async fn look(
        &self,
        at: SocketAddr,
        conn: &mut Option<UpstreamConnection>,
        rev: u64,
        every: Duration,
    ) -> Option<Listing> {
        for _ in 0..LOOKS {
            tokio::time::sleep(every).await;
            let listing = loop {
                let call = self.exchange(at, conn, Some(rev), Duration::ZERO, ASKED_ANSWER);
                match tokio::time::timeout(ASKED_ANSWER, call).await {
                    Ok(Ok(listing)) => break listing,
                    // Refused by a service with too many callers, or silent. The watch still stands, but may be silent
                    // too: this is made again soon, and like `every` not at one time by all nodes.
                    _ => tokio::time::sleep(every / LOOKED_AGAIN).await,
                }
            };
            if listing.rev != rev || listing.all || !listing.targets.is_empty() {
                return Some(listing);
            }
        }
        tokio::time::sleep(every).await;
        None
    }

    async fn connect(&self, at: SocketAddr) -> Result<UpstreamConnection, Box<dyn Error>> {
        let limit = if self.mode == DiscoveryMode::Push { PUSHED_CONNECT } else { ASKED_CONNECT };
        let deadline = Instant::now() + limit;
        Ok(UpstreamConnection::open(at, deadline, self.descriptors.take_own(), LIST_BUFFER).await?)
    }

    async fn exchange(
        &self,
        at: SocketAddr,
        kept: &mut Option<UpstreamConnection>,
        rev: Option<u64>,
        wait: Duration,
        body_time: Duration,
    ) -> Result<Listing, Box<dyn Error>> {
        let path = rev.map_or_else(
            || "/discovery/hosts".to_owned(),
            |rev| format!("/discovery/hosts?after={rev}&wait_ms={}", wait.as_millis()),
        );
        let request = Request::get(path).header(HOST, at.to_string()).body(UpstreamBody::empty())?;
        let mut conn = match kept.take().filter(UpstreamConnection::alive) {
            Some(conn) => conn,
            None => self.connect(at).await?,
        };
        let answer = conn.exchange(request, LIST_LIMIT, body_time).await?;
        if answer.status() != StatusCode::OK {
            return Err(format!("status {}", answer.status()).into());
        }
        let json = serde_json::from_slice(answer.body())?;
        let listing = listing(&json, &self.names).ok_or(ExchangeError::Spoilt)?;
        *kept = Some(conn);
        Ok(listing)
    }
}

/// Nothing came in time, or nothing that can be read: discovery did not say no.
fn unheard(e: &(dyn Error + 'static)) -> bool {
    let late = e.is::<Elapsed>() || matches!(e.downcast_ref(), Some(ConnectError::TimedOut));
    late || e.is::<serde_json::Error>() || matches!(e.downcast_ref(), Some(ExchangeError::Spoilt))
}

/// This machine could not ask: that says nothing of discovery.
fn not_asked(e: &(dyn Error + 'static)) -> bool {
    matches!(e.downcast_ref(), Some(ConnectError::Local(_)))
}
