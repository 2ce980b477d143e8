//! Ensures that no two open requests have the same trace id.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The set of the trace ids of all open requests. Clones share the set.
#[derive(Clone, Default)]
pub(super) struct OpenTraceIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// The reservation of a trace id, which ends when the guard is dropped.
pub(super) struct TraceIdGuard {
    ids: OpenTraceIds,
    id: HeaderValue,
}

impl OpenTraceIds {
    /// Reserves a trace id. Returns `None` if an open request has the same id.
    pub fn reserve(&self, id: HeaderValue) -> Option<TraceIdGuard> {
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| TraceIdGuard { ids: self.clone(), id })
    }
}

impl Drop for TraceIdGuard {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
