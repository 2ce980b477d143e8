//! Limits how many file descriptors the sockets of this process use.
//!
//! Sockets to clients, endpoints, discovery and operators share one limit of the process, and idle clients
//! alone could use it up. Every socket therefore needs a permit. If no permit is left, an idle connection
//! is closed to free one. Some permits are kept from clients, and connections to discovery and of operators
//! do not wait for a permit.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Descriptors set aside for everything that has no permit or does not wait for one: standard streams, the
/// poller, the listening socket, UDP, discovery, a reload of the configuration, and a connection that was
/// just accepted.
const RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of permits, however low the limit of the process is.
const MIN_PERMITS: usize = 8;
/// The number of permits divided by this, so one third of them, is kept from clients.
const KEPT_FROM_CLIENTS_DIVISOR: usize = 3;
/// Time after which a wait for a permit tries again to close an idle connection: one that was about to
/// close may have become busy instead.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Closes an idle connection. Returns `true` if that freed a descriptor at once, and `false` if there is no
/// idle connection or the descriptor will be freed later.
type Reclaim = Box<dyn Fn() -> bool>;

/// Returns the system's soft limit on open descriptors of this process, or `None` if it is unlimited or
/// unknown.
pub fn system_limit() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").ok()?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// The permits for descriptors that the sockets to clients, endpoints, discovery and operators share.
pub struct Descriptors {
    /// Permits in use, including those taken without waiting, so it may exceed `limit`.
    used: Cell<usize>,
    /// Permits in use by clients; part of `used`.
    used_by_clients: Cell<usize>,
    limit: usize,
    max_clients: usize,
    freed: Notify,
    endpoint_connection_reclaim: RefCell<Option<Reclaim>>,
    client_reclaim: RefCell<Option<Reclaim>>,
}

impl Descriptors {
    /// Creates the permits of a process that may use `descriptors` descriptors in all. At most `max_clients` of
    /// them are for clients, or fewer: see [`Descriptors::take_for_client`].
    pub fn new(descriptors: usize, max_clients: usize) -> Rc<Descriptors> {
        let limit = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_PERMITS);
        Rc::new(Descriptors {
            used: Cell::new(0),
            used_by_clients: Cell::new(0),
            limit,
            max_clients: max_clients.min(limit - limit / KEPT_FROM_CLIENTS_DIVISOR),
            freed: Notify::new(),
            endpoint_connection_reclaim: RefCell::default(),
            client_reclaim: RefCell::default(),
        })
    }

    /// Returns the number of permits.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Sets how an idle connection to an endpoint is closed.
    pub fn set_endpoint_connection_reclaim(&self, reclaim: Reclaim) {
        *self.endpoint_connection_reclaim.borrow_mut() = Some(reclaim);
    }

    /// Sets how an idle client connection is closed.
    pub fn set_client_reclaim(&self, reclaim: Reclaim) {
        *self.client_reclaim.borrow_mut() = Some(reclaim);
    }

    fn reclaim_client(&self) -> bool {
        self.client_reclaim.borrow().as_ref().is_some_and(|reclaim| reclaim())
    }

    fn reclaim_endpoint_connection(&self) -> bool {
        self.endpoint_connection_reclaim.borrow().as_ref().is_some_and(|reclaim| reclaim())
    }

    /// Closes an idle connection to an endpoint or, if that frees no descriptor, to a client. Also of use
    /// when permits are left but this process is out of descriptors. Returns `true` if a descriptor was
    /// freed at once.
    pub fn reclaim(&self) -> bool {
        self.reclaim_endpoint_connection() || self.reclaim_client()
    }

    /// Waits for a permit. If none is free, an idle connection is closed to free one.
    pub async fn take(self: &Rc<Self>) -> DescriptorPermit {
        while self.used.get() >= self.limit {
            if !self.reclaim() {
                self.wait_for_freed().await;
            }
        }
        self.take_without_waiting()
    }

    /// Waits for a permit for a new client. All clients together get at most two thirds of the permits: an
    /// attempt for a client that is connected is worth more than another client, and a connection to an
    /// endpoint costs more than one to a client.
    pub async fn take_for_client(self: &Rc<Self>) -> DescriptorPermit {
        loop {
            let is_below_client_limit = self.used_by_clients.get() < self.max_clients;
            if is_below_client_limit && self.used.get() < self.limit {
                break;
            }
            let was_freed = if is_below_client_limit { self.reclaim() } else { self.reclaim_client() };
            if !was_freed {
                self.wait_for_freed().await;
            }
        }
        self.used_by_clients.set(self.used_by_clients.get() + 1);
        let mut permit = self.take_without_waiting();
        permit.is_client = true;
        permit
    }

    /// Takes a permit at once, even beyond the limit, for connections of the node itself and of operators.
    /// These are few and must not wait behind clients.
    pub fn take_without_waiting(self: &Rc<Self>) -> DescriptorPermit {
        self.used.set(self.used.get() + 1);
        DescriptorPermit { descriptors: self.clone(), is_client: false }
    }

    async fn wait_for_freed(&self) {
        let _ = tokio::time::timeout(RECHECK_INTERVAL, self.freed.notified()).await;
    }
}

/// The permit to use one descriptor. It is returned when dropped.
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
