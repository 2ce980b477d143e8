//! The decisions, rule by rule: one small test for each transition of the design and for each fault found.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod concurrency_limit;
mod connection_scarcity;
mod discovery;
mod failure_record;
mod load_report;
mod operator_overrides;
mod retry;
mod retry_after;
mod robustness;
mod selection;
mod slow_start;
mod snapshot;
mod support;
