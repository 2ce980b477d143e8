//! Serves clients: accepts their connections, reads their requests and sends the responses.
//!
//! Clients may be slow, silent or faulty, and each of them uses a descriptor for as long as it is connected.
//! Descriptors are few. Every accepted request must be answered before the process ends.
//!
//! [`listener`] accepts connections. [`connection`] serves one connection and closes it;
//! [`client_connection`] tracks its state. [`eviction`] chooses which connection is closed if there is no
//! descriptor for another one. [`request_reader`] rejects invalid requests before they are sent to an
//! endpoint, and [`body_collector`] reads their bodies. [`readiness`] tells whether the node accepts
//! clients and lets operators drain it. [`shutdown`] ends the frontend after SIGTERM; from the
//! [`request_cutoff`] on, it refuses the requests that are not submitted yet.

mod body_collector;
mod client_connection;
mod connection;
mod eviction;
mod listener;
mod readiness;
mod recent_ids;
mod request_cutoff;
mod request_reader;
mod responses;
mod shutdown;
mod trace_ids;

pub use readiness::{DrainChange, ResumeChange, Stopping};
pub use request_reader::RequestReader;

use crate::driver::Driver;
use crate::frontend::client_connection::ClientConnection;
use crate::frontend::readiness::NotReady;
use crate::frontend::request_cutoff::RequestCutoff;
use crate::observability::log;
use crate::system::descriptors::Descriptors;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The minimum time between two log lines on rejections.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// If the number of clients that keep their connection alive exceeds the number of descriptor permits divided
/// by this, the node closes each connection after its next response.
const KEEP_ALIVE_DIVISOR: usize = 4;

/// The part of the node that serves clients.
pub struct Frontend {
    driver: Rc<Driver>,
    reader: RequestReader,
    max_open_requests: usize,
    /// The maximum size of a connection's buffer, in bytes.
    max_buffer_bytes: usize,
    descriptors: Rc<Descriptors>,
    /// The open connections, by the number that each got when it was accepted.
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_client_number: Cell<u64>,
    /// The number of rejections by reason since the last log line on them. The reason of a rejected request
    /// is the text for its client. Failed accepts and clients disconnected for being slow count, too.
    rejection_counts: RefCell<BTreeMap<&'static str, u32>>,
    rejections_logged_at: Cell<Option<Instant>>,
    /// The readiness that was logged last. `None` if none was logged yet.
    logged_readiness: Cell<Option<Result<(), NotReady>>>,
    /// When the process received SIGTERM. `None` if it has not received it.
    stopping_since: Cell<Option<Instant>>,
    /// Whether another process accepts the new connections. Set when this process receives SIGTERM.
    has_successor: Cell<bool>,
    /// When the shutdown stops submitting requests.
    request_cutoff: RequestCutoff,
    /// When operators drained the node. `None` if it is not drained.
    drained_since: Cell<Option<Instant>>,
    /// Notifies the accept loop that the process has received SIGTERM.
    stop_requested: Notify,
    /// Notifies [`Frontend::wind_down`] that a connection was closed.
    client_closed: Notify,
}

impl Frontend {
    /// Creates a frontend without clients, and lets `descriptors` evict them.
    ///
    /// `max_open_requests` is the maximum number of requests in progress; the node rejects further ones.
    /// `max_buffer_bytes` is the maximum size of a connection's buffer.
    pub fn new(
        driver: Rc<Driver>,
        reader: RequestReader,
        max_open_requests: usize,
        max_buffer_bytes: usize,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Frontend> {
        let frontend = Rc::new(Frontend {
            driver,
            reader,
            max_open_requests,
            max_buffer_bytes,
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            next_client_number: Cell::new(0),
            rejection_counts: RefCell::default(),
            rejections_logged_at: Cell::new(None),
            logged_readiness: Cell::new(None),
            stopping_since: Cell::new(None),
            has_successor: Cell::new(false),
            request_cutoff: RequestCutoff::default(),
            drained_since: Cell::new(None),
            stop_requested: Notify::new(),
            client_closed: Notify::new(),
        });
        let weak = Rc::downgrade(&frontend);
        descriptors.set_client_reclaim(Box::new(move || {
            if let Some(frontend) = weak.upgrade() {
                frontend.evict_one();
            }
            // No descriptor is free yet: the connection is closed when its task is polled.
            false
        }));
        frontend
    }

    /// Counts a rejected request, a failed accept or a client that is disconnected for being slow. Logs the
    /// counts if the last log line on them is old enough.
    fn count_rejection(&self, reason: &'static str) {
        *self.rejection_counts.borrow_mut().entry(reason.trim_end()).or_default() += 1;
        let is_due = |at: Instant| at.elapsed() > REJECTION_LOG_INTERVAL;
        if self.rejections_logged_at.get().is_none_or(is_due) {
            self.rejections_logged_at.set(Some(Instant::now()));
            let counts = std::mem::take(&mut *self.rejection_counts.borrow_mut());
            let texts: Vec<String> =
                counts.iter().map(|(reason, count)| format!("{count} {reason:?}")).collect();
            log::line(&format!("rejected: {}", texts.join(", ")));
        }
    }

    /// Returns whether too many clients keep their connections alive. If so, each response closes its
    /// connection, so that there are descriptors for new clients.
    fn exceeds_keep_alive_limit(&self) -> bool {
        let is_kept_alive =
            |client: &&Rc<ClientConnection>| client.has_sent_request() && !client.is_closing();
        let kept_alive = self.clients.borrow().values().filter(is_kept_alive).count();
        kept_alive > self.descriptors.limit() / KEEP_ALIVE_DIVISOR
    }
}
