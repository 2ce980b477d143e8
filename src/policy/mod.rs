//! Makes the load-balancing decisions of one node, without I/O, clock, threads or global state.
//!
//! A load balancer in front of endpoints that restart, hang, slow down and leave must decide, for each
//! request, whether to admit it, which endpoint gets it, whether a failed attempt is retried, and when to
//! give up. This module makes these decisions. Its host, which is the node or the simulator adapter, reads
//! the clock and does the I/O.
//!
//! [`Balancer`] takes [`Event`]s in the order in which they happened, each with its time, and returns the
//! [`Action`]s that the host must carry out in the given order. The same seed, settings and events result in
//! the same actions.
//!
//! All times are `f64` milliseconds on one monotonic clock with an arbitrary origin.
//!
//! | rule | module |
//! | --- | --- |
//! | which requests are admitted | `admission` |
//! | which endpoint gets a request | `selection`, with `key_frequency` and `class_outlier` |
//! | which conditions every attempt must meet | `send_gate` |
//! | when an endpoint is congested, and when it gets a trial | `failure_record` |
//! | which requests may be a trial | `trial_eligibility` |
//! | how many requests a node may have in flight at an endpoint | `concurrency_limit` |
//! | how much traffic a restarted endpoint gets | `slow_start` |
//! | whether and until when a request is retried, and the timeout of an attempt | `retry` |
//! | when a rejected client should retry | `retry_after` |
//! | which endpoints are in service | `endpoint_set`, with `operator_overrides` and `restored_snapshot` |
//! | when discovery is polled | `discovery_schedule` |
//! | when idle connections are closed because endpoints accept no more | `connection_scarcity` |
//!
//! `request_lifecycle` applies these rules to a request, and `outcome_feedback` updates the estimates behind
//! them when an attempt ends.

mod action;
mod admission;
mod balancer;
mod class_outlier;
mod class_statistics;
mod concurrency_limit;
mod connection_scarcity;
mod decaying_mean;
mod decision_log;
mod discovery_schedule;
mod endpoint;
mod endpoint_set;
mod event;
mod failure_record;
mod hash;
mod key_frequency;
mod load_report;
mod operator_overrides;
mod outcome_feedback;
mod pending_request;
mod rejection_log;
mod request;
mod request_lifecycle;
mod restored_snapshot;
mod retry;
mod retry_after;
mod selection;
mod send_gate;
mod settings;
mod slow_start;
mod trial_eligibility;
mod tuning;

/// The time assumed for an event that has never happened: the origin of the balancer's clock, in
/// milliseconds.
const CLOCK_ORIGIN_MS: f64 = 0.0;

pub use action::{Action, RejectionReason};
pub use balancer::Balancer;
pub use decision_log::{DecisionLogEntry, RejectionCounts};
pub use endpoint::{EndpointId, EndpointSnapshot, EndpointState, EndpointUpdate, Location};
pub use event::{AttemptOutcome, Event, FaultSource, WatchUpdate};
pub use load_report::LoadReport;
pub use request::{Request, RequestId};
pub use settings::{
    Costs, DeduplicationScope, DiscoveryMode, Idempotency, LoadReporting, ObjectiveWeights, RequestClass,
    Settings, SettingsError, WeightMeaning,
};
