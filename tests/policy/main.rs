//! Tests the balancer's decisions, one module for each rule of the policy.

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
mod trial_eligibility;
