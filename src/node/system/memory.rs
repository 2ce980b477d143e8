//! Counts the heap of this process, and tells when too little of its memory limit is left.
//!
//! A process that exceeds its memory limit is killed, and loses all requests that it has taken. Each client's
//! connection takes up memory that depends on what the client does: a head of many fields, a body of which
//! the client withholds the end, or a response that the client reads slowly. Limits on each of them alone
//! either add up to more than there is, or waste most of it.
//!
//! The global allocator therefore counts all bytes in use, and whoever is about to use more for a client asks
//! [`MemoryBudget`] first. What has been accepted may still grow, by the buffers of its connections, so the
//! thresholds are well below the limit. The system's count of the process is also higher than that of the heap:
//! it includes the program and free blocks between used ones.

use cap::Cap;
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// The lowest limit that the thresholds are computed from, in bytes. With a lower one, an idle process would
/// be above them.
const MIN_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// The heap above which no more bytes of bodies are buffered, as a share of the limit.
const MAX_HEAP_SHARE_FOR_BUFFERING: f64 = 0.375;
/// The heap above which requests are rejected, as a share of the limit.
const MAX_HEAP_SHARE_FOR_REQUESTS: f64 = 0.5;
/// The memory limit divided by this is the maximum number of clients. A client whose long response is being
/// forwarded takes up about this many bytes, in the buffers of two connections.
const BYTES_PER_CLIENT: usize = 96 * 1024;

/// The thresholds of the heap from which on the node accepts less.
#[derive(Debug)]
pub struct MemoryBudget {
    max_heap_bytes_for_buffering: usize,
    max_heap_bytes_for_requests: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `limit_bytes` of memory.
    pub fn new(limit_bytes: usize) -> MemoryBudget {
        let limit_bytes = limit_bytes.max(MIN_LIMIT_BYTES) as f64;
        MemoryBudget {
            max_heap_bytes_for_buffering: (limit_bytes * MAX_HEAP_SHARE_FOR_BUFFERING) as usize,
            max_heap_bytes_for_requests: (limit_bytes * MAX_HEAP_SHARE_FOR_REQUESTS) as usize,
        }
    }

    /// Returns whether more bytes of a request's or response's body may be kept in memory.
    pub fn allows_buffering(&self) -> bool {
        ALLOCATOR.allocated() < self.max_heap_bytes_for_buffering
    }

    /// Returns whether another request may be accepted.
    pub fn allows_request(&self) -> bool {
        ALLOCATOR.allocated() < self.max_heap_bytes_for_requests
    }
}

/// Returns the maximum number of clients of a process that may use `limit_bytes` of memory.
pub fn max_clients(limit_bytes: usize) -> usize {
    limit_bytes.max(MIN_LIMIT_BYTES) / BYTES_PER_CLIENT
}
