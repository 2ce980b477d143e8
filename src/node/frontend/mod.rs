//! The client side: connections, the requests read from them, and the responses.
//!
//! Clients may be slow, silent or broken, and hold descriptors meanwhile. [`listener`] takes connections,
//! [`connection`] serves one and closes it in one place, [`eviction`] chooses which goes first when there
//! is no descriptor for another, and [`request_reader`] rejects what cannot be served before an endpoint
//! hears of it. [`readiness`] says whether clients are wanted, [`shutdown`] lets what was taken be answered
//! before the process ends.

mod client_connection;
mod connection;
mod eviction;
mod listener;
mod readiness;
mod request_reader;
mod responses;
mod shutdown;
mod trace_ids;

pub use readiness::{DrainChange, ResumeChange, Stopping};
pub use request_reader::RequestReader;

use crate::driver::Driver;
use crate::frontend::client_connection::ClientConnection;
use crate::frontend::readiness::NotReady;
use crate::observability::log;
use crate::system::descriptors::Descriptors;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time between two lines on what was rejected.
const REJECTION_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Part of all descriptors that clients may keep between their requests.
const KEEP_ALIVE_PART: usize = 4;

/// The client side of the node.
pub struct Frontend {
    driver: Rc<Driver>,
    reader: RequestReader,
    max_open_requests: usize,
    buffer: usize,
    descriptors: Rc<Descriptors>,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_client_number: Cell<u64>,
    /// What was rejected since that was last logged, by the response's text, and clients cut for being
    /// slow.
    rejection_counts: RefCell<BTreeMap<&'static str, u32>>,
    rejections_logged_at: Cell<Option<Instant>>,
    /// What was logged last on whether this process takes clients.
    logged_readiness: Cell<Option<Result<(), NotReady>>>,
    /// Since when the process is to end.
    stopping_since: Cell<Option<Instant>>,
    /// Another process takes new connections.
    is_succeeded: Cell<bool>,
    /// Since when operators want no clients here.
    drained_since: Cell<Option<Instant>>,
    stop_requested: Notify,
    client_closed: Notify,
}

impl Frontend {
    /// A frontend with no clients yet. `buffer` is what it reads ahead on a connection, in bytes.
    pub fn new(
        driver: Rc<Driver>,
        reader: RequestReader,
        max_open_requests: usize,
        buffer: usize,
        descriptors: Rc<Descriptors>,
    ) -> Rc<Frontend> {
        let frontend = Rc::new(Frontend {
            driver,
            reader,
            max_open_requests,
            buffer,
            descriptors: descriptors.clone(),
            clients: RefCell::default(),
            next_client_number: Cell::new(0),
            rejection_counts: RefCell::default(),
            rejections_logged_at: Cell::new(None),
            logged_readiness: Cell::new(None),
            stopping_since: Cell::new(None),
            is_succeeded: Cell::new(false),
            drained_since: Cell::new(None),
            stop_requested: Notify::new(),
            client_closed: Notify::new(),
        });
        let weak = Rc::downgrade(&frontend);
        descriptors.reclaim_from_clients(Box::new(move || {
            if let Some(frontend) = weak.upgrade() {
                frontend.evict_one();
            }
            // The connection closes when its task is polled, not at once.
            false
        }));
        frontend
    }

    /// Counts what no endpoint heard of, and logs it now and then.
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

    /// Whether more clients stay than may keep idle connections: those whose requests come now are
    /// served and go, so that the next find a place.
    fn exceeds_keep_alive_limit(&self) -> bool {
        let stays = |client: &&Rc<ClientConnection>| client.has_sent_request() && !client.is_closing();
        let staying = self.clients.borrow().values().filter(stays).count();
        staying > self.descriptors.limit() / KEEP_ALIVE_PART
    }
}
