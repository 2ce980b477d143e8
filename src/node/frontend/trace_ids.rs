//! Ensures that a request does not run twice because its trace id comes again.
//!
//! A client sends a trace id once. If an id comes again, for example because its client has disconnected and
//! another one repeats the request, an endpoint may still execute the first request or have executed it. Two
//! requests with the same id are therefore never open at the same time. An id whose request may have run, and
//! must not run twice, is not accepted again either: [`RecentIds`] remembers the ids of this process, and
//! [`SharedTraceIds`] those of all processes that serve on the same listening socket.

use super::recent_ids::RecentIds;
use crate::snapshot::SharedTraceIds;
use crate::system::clock::clamped_duration;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;
use wheelpath::policy::{Idempotency, RequestClass};
use wheelpath::stable_hash::stable_hash_bytes;

/// The upper bound for the time in which a request may be repeated by its key, in milliseconds (one day).
const MAX_REPEAT_WINDOW_MS: f64 = 86_400_000.0;

/// Why a trace id is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TraceIdConflict {
    /// An open request has this id.
    Open,
    /// A request with this id may have run, here or in another process of the node.
    MayHaveRun,
}

/// The trace ids that are not accepted now. Clones share them.
#[derive(Clone)]
pub(super) struct TraceIds(Rc<TraceIdsInner>);

struct TraceIdsInner {
    /// The ids of all open requests.
    open: RefCell<HashSet<HeaderValue>>,
    /// The hashes of the ids whose requests may have run and must not run twice.
    executed: RefCell<RecentIds>,
    /// `None` if no other process serves on the listening socket of this one.
    shared: Option<SharedTraceIds>,
}

/// For how long after a request another one with the same id may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RepeatWindow {
    /// It may run at any time.
    Unlimited,
    /// It may run while all endpoints recognize it as a repeat by the idempotency key.
    Until(Instant),
    /// It must not run.
    Closed,
}

impl RepeatWindow {
    /// Returns the window of a request of this class that arrives now. The repeat needs time to be answered, so
    /// it has to come before the end of the deduplication window.
    fn of(class: &RequestClass) -> RepeatWindow {
        match class.idempotency {
            Idempotency::Idempotent => RepeatWindow::Unlimited,
            idempotency if idempotency.allows_client_retry() => {
                let window_ms = class.deduplication_window_ms - class.deadline_ms;
                if window_ms <= 0.0 {
                    return RepeatWindow::Closed;
                }
                RepeatWindow::Until(Instant::now() + clamped_duration(window_ms, MAX_REPEAT_WINDOW_MS))
            }
            _ => RepeatWindow::Closed,
        }
    }
}

/// The reservation of a trace id, which ends when the guard is dropped.
pub(super) struct TraceIdGuard {
    ids: TraceIds,
    id: HeaderValue,
    /// The hash of `id`.
    hash: u64,
    repeat_window: RepeatWindow,
    /// Whether an endpoint may have executed the request.
    may_have_run: Rc<Cell<bool>>,
}

impl TraceIds {
    /// Creates the ids of a process that has accepted no request.
    pub fn new(shared: Option<SharedTraceIds>) -> TraceIds {
        TraceIds(Rc::new(TraceIdsInner {
            open: RefCell::default(),
            executed: RefCell::new(RecentIds::new()),
            shared,
        }))
    }

    /// Reserves the trace id of a request of this class.
    ///
    /// # Errors
    /// An open request has the same id, or a request with it may have run and must not run again.
    pub fn reserve(&self, id: HeaderValue, class: &RequestClass) -> Result<TraceIdGuard, TraceIdConflict> {
        if self.0.open.borrow().contains(&id) {
            return Err(TraceIdConflict::Open);
        }
        let hash = stable_hash_bytes(id.as_bytes());
        let repeat_window = RepeatWindow::of(class);
        let is_claimed = || self.shared_for(repeat_window).is_some_and(|shared| !shared.claim(hash));
        if self.0.executed.borrow().rejects(hash) || is_claimed() {
            return Err(TraceIdConflict::MayHaveRun);
        }
        self.0.open.borrow_mut().insert(id.clone());
        Ok(TraceIdGuard { ids: self.clone(), id, hash, repeat_window, may_have_run: Rc::default() })
    }

    /// Returns the table in which the processes claim the ids of requests with this window. Returns `None` if
    /// such requests need no claim.
    fn shared_for(&self, repeat_window: RepeatWindow) -> Option<&SharedTraceIds> {
        self.0.shared.as_ref().filter(|_| repeat_window == RepeatWindow::Closed)
    }
}

impl TraceIdGuard {
    /// Returns the flag that tells whether an endpoint may have executed the request. The driver sets it.
    pub fn may_have_run(&self) -> Rc<Cell<bool>> {
        self.may_have_run.clone()
    }
}

impl Drop for TraceIdGuard {
    fn drop(&mut self) {
        let ids = &self.ids.0;
        ids.open.borrow_mut().remove(&self.id);
        if !self.may_have_run.get() {
            if let Some(shared) = self.ids.shared_for(self.repeat_window) {
                shared.release(self.hash);
            }
            return;
        }
        let rejected_from = match self.repeat_window {
            RepeatWindow::Unlimited => return,
            RepeatWindow::Until(end) => end,
            RepeatWindow::Closed => Instant::now(),
        };
        ids.executed.borrow_mut().insert(self.hash, rejected_from);
    }
}
