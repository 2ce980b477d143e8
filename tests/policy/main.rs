//! Tests the decisions of a balancer, with one module for each part of the policy. There is a small test for each state
//! transition of the design and for each fault that was found.

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
