//! The trace ids of the requests that are open: no two may have the same.

use hyper::header::HeaderValue;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of the requests that are open.
#[derive(Clone, Default)]
pub(super) struct OpenTraceIds(Rc<RefCell<HashSet<HeaderValue>>>);

/// An id in use, given up when dropped.
pub(super) struct TraceIdGuard {
    ids: OpenTraceIds,
    id: HeaderValue,
}

impl OpenTraceIds {
    /// Takes an id; none where an open request has it.
    pub fn take(&self, id: HeaderValue) -> Option<TraceIdGuard> {
        let is_new = self.0.borrow_mut().insert(id.clone());
        is_new.then(|| TraceIdGuard { ids: self.clone(), id })
    }
}

impl Drop for TraceIdGuard {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
