//! The decision logic of an HTTP load balancer that runs as a small group of independent nodes, with the
//! formats in which it is configured and simulated.
//!
//! [`policy`] makes the decisions of one node: [`Balancer`](policy::Balancer) is a state machine that uses no
//! I/O, clock, threads or global state. The program that embeds it, its host, reports each
//! [`policy::Event`] with the time at which it happened, and carries out the [`policy::Action`]s that the
//! balancer returns. Nodes share no state. The same settings, seed and events give the same actions.
//!
//! There are two hosts: the node, which serves real traffic, and the simulator adapter, which uses the text
//! protocol in [`simulator`]. Both read their settings with [`settings_file`].
//!
//! ```
//! use wheelpath::policy::{
//!     Action, AttemptOutcome, Balancer, EndpointId, EndpointState, EndpointUpdate, Event, Request, RequestId,
//!     WatchUpdate,
//! };
//!
//! // Settings can also be constructed field by field; the reader fills in defaults for absent keys.
//! let text = r#"{"classes": [{"name": "page", "semantics": "idempotent", "objectiveMs": 300, "hardLimitMs": 900}],
//!                "rules": {"coldMs": 20000, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2000}}"#;
//! let (settings, _names) = wheelpath::settings_file::read(text)?;
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//! balancer.handle(0.0, Event::Start, &mut actions);
//!
//! // Discovery reports one endpoint, which started long ago.
//! let endpoint = EndpointId(42);
//! let endpoint_update =
//!     EndpointUpdate { endpoint, zone: 0, cell: 0, state: EndpointState::Active, weight: 1.0, started_at_ms: 0.0 };
//! let event = Event::EndpointsChanged { update: WatchUpdate::Snapshot, endpoints: vec![endpoint_update] };
//! balancer.handle(0.0, event, &mut actions);
//!
//! // A request arrives at 10 ms, and the balancer sends it to that endpoint.
//! actions.clear();
//! let id = RequestId(1);
//! let request = Request {
//!     id,
//!     class: 0,
//!     key: Some(5),
//!     deadline_ms: 910.0,
//!     estimated_cost_ms: None,
//!     is_retry: false,
//!     queued_ms: 0.0,
//! };
//! balancer.handle(10.0, Event::Request(request), &mut actions);
//! assert!(matches!(actions[0], Action::SendAttempt { id: RequestId(1), endpoint: EndpointId(42), .. }));
//!
//! // The endpoint answers after 50 ms. The host passes the answer on without an action of the balancer.
//! actions.clear();
//! let event = Event::AttemptEnded {
//!     id,
//!     attempt: 0,
//!     endpoint,
//!     outcome: AttemptOutcome::Answered,
//!     request_finished: true,
//!     elapsed_ms: 50.0,
//!     load: Default::default(),
//! };
//! balancer.handle(60.0, event, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod load_report_text;
pub mod policy;
pub mod settings_file;
pub mod simulator;
pub mod stable_hash;

/// Runs the example in `README.md` as a documentation test.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
