//! What the node shows of itself: log lines, counters, request traces, and guards of its invariants.

pub mod counters;
pub mod invariants;
pub mod log;
pub mod request_trace;
