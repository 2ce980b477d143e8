//! How many descriptors the sockets of this process hold, against its limit.
//!
//! Clients, endpoints and discovery share one limit, and idle clients alone may fill it. So every socket
//! takes a permit; where none is left something idle is closed for it, and some are reserved for the node's
//! own calls.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Descriptors reserved for all that is not counted or does not wait: standard streams, the poller, the
/// listener, UDP, discovery, the configuration read again, and a connection just accepted.
const RESERVED_DESCRIPTORS: usize = 24;
/// The count has at least so many, whatever the limit.
const MIN_DESCRIPTORS: usize = 8;
/// Clients may hold all but this part of them.
const KEPT_FROM_CLIENTS_PART: usize = 3;
/// A wait for a permit checks again after this time: a connection that was to close may have become busy.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Closes something idle. True if a descriptor was freed at once; false if none was, or it will be soon.
type Reclaim = Box<dyn Fn() -> bool>;

/// How many descriptors the system lets this process hold, where it says so.
pub fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// One count over the sockets of clients, endpoints and discovery.
pub struct Descriptors {
    used: Cell<usize>,
    /// How many of those are clients'.
    used_by_clients: Cell<usize>,
    limit: usize,
    freed: Notify,
    idle_endpoint_connections: RefCell<Option<Reclaim>>,
    idle_clients: RefCell<Option<Reclaim>>,
}

impl Descriptors {
    /// The count of a process that may hold so many descriptors.
    pub fn new(descriptors: usize) -> Rc<Descriptors> {
        Rc::new(Descriptors {
            used: Cell::new(0),
            used_by_clients: Cell::new(0),
            limit: descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS),
            freed: Notify::new(),
            idle_endpoint_connections: RefCell::default(),
            idle_clients: RefCell::default(),
        })
    }

    /// How many sockets may be open.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Sets the way to close an idle connection to an endpoint.
    pub fn reclaim_from_endpoints(&self, reclaim: Reclaim) {
        *self.idle_endpoint_connections.borrow_mut() = Some(reclaim);
    }

    /// Sets the way to close an idle client's connection.
    pub fn reclaim_from_clients(&self, reclaim: Reclaim) {
        *self.idle_clients.borrow_mut() = Some(reclaim);
    }

    fn reclaim_client(&self) -> bool {
        self.idle_clients.borrow().as_ref().is_some_and(|reclaim| reclaim())
    }

    fn reclaim_endpoint_connection(&self) -> bool {
        self.idle_endpoint_connections.borrow().as_ref().is_some_and(|reclaim| reclaim())
    }

    /// Closes something idle, also for when the system itself has run out. True if a descriptor was freed
    /// at once.
    pub fn reclaim(&self) -> bool {
        self.reclaim_endpoint_connection() || self.reclaim_client()
    }

    /// Waits for a permit; if none is free, an idle connection is closed for it.
    pub async fn take(self: &Rc<Self>) -> DescriptorPermit {
        while self.used.get() >= self.limit {
            if !self.reclaim() {
                self.wait_for_freed().await;
            }
        }
        self.take_without_waiting()
    }

    /// Waits for a permit for a new client. Clients have two thirds of them, whoever they are: an attempt
    /// for one that is there is better than one client more, and a connection to an endpoint costs more
    /// than a client's.
    pub async fn take_for_client(self: &Rc<Self>) -> DescriptorPermit {
        let max_clients = self.limit - self.limit / KEPT_FROM_CLIENTS_PART;
        loop {
            let is_client_free = self.used_by_clients.get() < max_clients;
            if is_client_free && self.used.get() < self.limit {
                break;
            }
            let has_freed = if is_client_free { self.reclaim() } else { self.reclaim_client() };
            if !has_freed {
                self.wait_for_freed().await;
            }
        }
        self.used_by_clients.set(self.used_by_clients.get() + 1);
        let mut permit = self.take_without_waiting();
        permit.is_client = true;
        permit
    }

    /// A permit at once, for the node's own calls: these are few, and must not wait behind clients.
    pub fn take_without_waiting(self: &Rc<Self>) -> DescriptorPermit {
        self.used.set(self.used.get() + 1);
        DescriptorPermit { descriptors: self.clone(), is_client: false }
    }

    async fn wait_for_freed(&self) {
        let _ = tokio::time::timeout(RECHECK_INTERVAL, self.freed.notified()).await;
    }
}

/// The right to one descriptor, given back when dropped.
pub struct DescriptorPermit {
    descriptors: Rc<Descriptors>,
    is_client: bool,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let Descriptors { used, used_by_clients, freed, .. } = &*self.descriptors;
        used.set(used.get().saturating_sub(1));
        used_by_clients.set(used_by_clients.get().saturating_sub(usize::from(self.is_client)));
        freed.notify_one();
    }
}
