//! Remembers a bounded number of recent ids, and from when on each of them is not accepted again.

use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// The number of ids that are remembered. At a few hundred requests per second it lasts for minutes.
const CAPACITY: usize = 32 * 1024;

/// The most recent [`CAPACITY`] ids, as hashes.
pub(super) struct RecentIds {
    /// From when on each id is not accepted again.
    rejected_from: HashMap<u64, Instant>,
    /// The ids in the order of their insertion, the oldest first.
    order: VecDeque<u64>,
}

impl RecentIds {
    /// Creates a memory without ids.
    pub fn new() -> RecentIds {
        RecentIds { rejected_from: HashMap::new(), order: VecDeque::new() }
    }

    /// Returns whether the id is not accepted now.
    pub fn rejects(&self, id: u64) -> bool {
        self.rejected_from.get(&id).is_some_and(|from| *from <= Instant::now())
    }

    /// Remembers an id, unless it is known, and forgets the oldest one if there are too many. The id is not
    /// accepted from `rejected_from` on.
    pub fn insert(&mut self, id: u64, rejected_from: Instant) {
        if self.rejected_from.contains_key(&id) {
            return;
        }
        self.rejected_from.insert(id, rejected_from);
        self.order.push_back(id);
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.rejected_from.remove(&oldest);
        }
    }
}
