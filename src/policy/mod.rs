//! The decisions of one node, without I/O, clock, threads or globals.
//!
//! A load balancer in front of endpoints that restart, hang, slow down and leave has to decide, for each
//! request, whether to admit it, which endpoint gets it, whether a failed attempt is repeated, and when to
//! give up. This module decides; the host that embeds it (the node, or the simulator adapter) reads clocks
//! and sockets.
//!
//! [`Balancer`] takes [`Event`]s in the order they happened, each with the time at which it did, and
//! answers with the [`Action`]s that the host has to carry out in the order given. The same seed, settings
//! and events give the same actions.
//!
//! All times are `f64` milliseconds of one monotonic clock with an arbitrary origin.
//!
//! | rule | module |
//! | --- | --- |
//! | which requests are admitted | `admission` |
//! | which endpoint a request goes to | `selection`, with `key_frequency` and `class_outlier` |
//! | what every attempt must satisfy | `send_gate` |
//! | when an endpoint is congested, and when it is tried again | `failure_record` |
//! | how many requests an endpoint may have in flight | `concurrency_limit` |
//! | how fast a restarted endpoint gets traffic | `slow_start` |
//! | whether and for how long an attempt is repeated | `retry` |
//! | when a rejected client should come back | `retry_after` |
//! | which endpoints exist | `endpoint_set` |
//! | when discovery is polled | `discovery_schedule` |
//! | when idle connections are closed | `connection_scarcity` |

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
mod outcome_feedback;
mod pending_request;
mod rejection_log;
mod request;
mod request_lifecycle;
mod retry;
mod retry_after;
mod selection;
mod send_gate;
mod settings;
mod slow_start;
mod tuning;

/// What has never happened is taken for as old as the clock, in milliseconds.
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
