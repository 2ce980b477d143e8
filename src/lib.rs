//! The decisions of an HTTP load balancer that runs as a small bank of nodes, and the formats that they are
//! configured and tested in.
//!
//! [`policy`] decides: [`Balancer`](policy::Balancer) is a state machine without I/O, clock, threads or
//! globals. A host reports what happened ([`policy::Event`]) and when, and carries out the
//! [`policy::Action`]s it gets back. Nodes share nothing; the same seed and events give the same actions.
//! [`settings_file`] reads the settings that both hosts, the node and the simulator adapter, are given.
//! [`simulator`] is the simulator's text protocol.
//!
//! ```
//! use wheelpath::policy::{
//!     Action, AttemptOutcome, Balancer, EndpointId, EndpointState, EndpointUpdate, Event, Request, RequestId,
//!     WatchUpdate,
//! };
//!
//! // Settings can be built by hand; the reader takes them from JSON and fills in defaults.
//! let text = r#"{"classes": [{"name": "page", "semantics": "idempotent", "objectiveMs": 300, "hardLimitMs": 900}],
//!                "rules": {"coldMs": 20000, "startCapacity": 0.2, "fallMultiple": 3, "fallMs": 2000}}"#;
//! let (settings, _names) = wheelpath::settings_file::read(text)?;
//! let mut balancer = Balancer::new(settings, 7)?;
//! let mut actions = Vec::new();
//! balancer.handle(0.0, Event::Start, &mut actions);
//!
//! // Discovery names one endpoint, up for a long time.
//! let endpoint = EndpointId(42);
//! let listed =
//!     EndpointUpdate { endpoint, zone: 0, cell: 0, state: EndpointState::Active, weight: 1.0, started_at_ms: 0.0 };
//! let changed = Event::EndpointsChanged { update: WatchUpdate::Snapshot, endpoints: vec![listed] };
//! balancer.handle(0.0, changed, &mut actions);
//!
//! // A request arrives at 10 ms and is sent there.
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
//! // The answer reaches the client by itself: nothing is left to do.
//! actions.clear();
//! let ended = Event::AttemptEnded {
//!     id,
//!     attempt: 0,
//!     endpoint,
//!     outcome: AttemptOutcome::Answered,
//!     request_finished: true,
//!     elapsed_ms: 50.0,
//!     load: Default::default(),
//! };
//! balancer.handle(60.0, ended, &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod load_report_text;
pub mod policy;
pub mod settings_file;
pub mod simulator;
pub mod stable_hash;

/// The README's example is a test too.
#[doc = include_str!("../README.md")]
#[cfg(doctest)]
pub struct Readme;
