//! Makes the node's behavior visible: log lines, counters, traces of requests, and checks of the
//! invariants.

pub mod counters;
pub mod invariants;
pub mod log;
pub mod request_trace;
