//! Passes each event to the parts of the balancer that handle it, and runs the periodic housekeeping.
//!
//! The rules themselves are in the modules that the module documentation of `policy` lists. Requests and
//! attempts are handled in `request_lifecycle`, and the estimates that attempts feed in `outcome_feedback`.

use super::action::Action;
use super::admission::Admission;
use super::class_statistics::ClassStatistics;
use super::connection_scarcity::ConnectionScarcity;
use super::decision_log::DecisionLogEntry;
use super::discovery_schedule::DiscoverySchedule;
use super::endpoint::{EndpointId, EndpointSnapshot, EndpointUpdate};
use super::endpoint_set::EndpointSet;
use super::event::{AttemptOutcome, Event, WatchUpdate};
use super::key_frequency::KeyFrequencySketch;
use super::load_report::{FleetUtilization, LoadReport};
use super::pending_request::PendingRequest;
use super::rejection_log::RejectionLog;
use super::request::RequestId;
use super::request_lifecycle::AttemptReport;
use super::retry::RetryBudget;
use super::settings::{DiscoveryMode, Settings, SettingsError};
use super::slow_start::SlowStartBudget;
use super::trial_eligibility::TrialEligibility;
use super::tuning::Tuning;
use std::collections::HashMap;

/// Token of the timer that starts the next run of housekeeping.
const HOUSEKEEPING_TIMER: u64 = 1;
/// Token of the timer that starts the next poll of discovery.
const DISCOVERY_POLL_TIMER: u64 = 2;
/// Lower bound of the time step by which one run of housekeeping updates the estimates, in seconds.
const MIN_HOUSEKEEPING_SECONDS: f64 = 1e-3;
/// Upper bound of the time step by which one run of housekeeping updates admission and the class
/// statistics, in seconds. Without it, the admission level could jump to its lower or upper bound after a
/// stall of this node.
const MAX_ADMISSION_STEP_SECONDS: f64 = 1.0;

/// A state machine that makes the load-balancing decisions of one node: it takes events and returns
/// actions.
///
/// The crate documentation has an example.
#[derive(Debug)]
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) tuning: Tuning,
    pub(super) rng: fastrand::Rng,
    pub(super) endpoints: EndpointSet,
    pub(super) requests: HashMap<RequestId, PendingRequest>,
    /// One entry for each class, in the order of the settings.
    pub(super) class_statistics: Vec<ClassStatistics>,
    pub(super) key_frequencies: KeyFrequencySketch,
    pub(super) admission: Admission,
    pub(super) retry_budget: RetryBudget,
    pub(super) slow_start_budget: SlowStartBudget,
    pub(super) trial_eligibility: TrialEligibility,
    pub(super) fleet_utilization: FleetUtilization,
    pub(super) connection_scarcity: ConnectionScarcity,
    /// Share of recent attempts at all endpoints that failed, 0 to 1.
    pub(super) fleet_failure_share: f64,
    /// Attempts of this node in flight at all endpoints.
    pub(super) in_flight: u32,
    pub(super) rejection_log: RejectionLog,
    discovery_schedule: DiscoverySchedule,
    /// When housekeeping last ran, in milliseconds on the balancer's clock. Before its first run, the time
    /// of [`Event::Start`].
    last_housekeeping_at_ms: f64,
}

impl Balancer {
    /// Creates a balancer that knows no endpoint and no request. The same settings, seed and events result
    /// in the same actions.
    ///
    /// # Errors
    /// Returns an error if the settings contain no class, or a figure outside its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.validate()?;
        let tuning = Tuning::new(&settings);
        Ok(Balancer {
            tuning,
            rng: fastrand::Rng::with_seed(seed),
            endpoints: EndpointSet::new(&settings),
            requests: HashMap::new(),
            class_statistics: vec![ClassStatistics::default(); settings.classes.len()],
            key_frequencies: KeyFrequencySketch::new(),
            admission: Admission::new(settings.classes.len()),
            retry_budget: RetryBudget::new(),
            slow_start_budget: SlowStartBudget::new(&settings, &tuning),
            trial_eligibility: TrialEligibility::new(&tuning),
            fleet_utilization: FleetUtilization::default(),
            connection_scarcity: ConnectionScarcity::default(),
            fleet_failure_share: 0.0,
            in_flight: 0,
            rejection_log: RejectionLog::default(),
            discovery_schedule: DiscoverySchedule::default(),
            last_housekeeping_at_ms: 0.0,
            settings,
        })
    }

    /// Handles one event that happened at `now_ms`, in milliseconds on the balancer's clock, and appends
    /// the resulting actions to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => self.on_start(now_ms, actions),
            Event::EndpointsChanged { update, endpoints } => {
                self.on_endpoints_changed(now_ms, update, &endpoints, actions);
            }
            Event::Request(request) => self.on_request(now_ms, request, actions),
            Event::RequestBodyComplete { id, sent_at_ms } => self.on_body_complete(sent_at_ms, id),
            Event::ResponseStarted { id, attempt, elapsed_ms, .. } => {
                let outcome = AttemptOutcome::Answered;
                let report = AttemptReport { id, attempt, outcome, request_finished: true, elapsed_ms };
                self.on_attempt_ended(now_ms, report, &LoadReport::default(), actions);
            }
            Event::AttemptEnded { id, attempt, outcome, request_finished, elapsed_ms, load, .. } => {
                let report = AttemptReport { id, attempt, outcome, request_finished, elapsed_ms };
                self.on_attempt_ended(now_ms, report, &load, actions);
            }
            Event::ClientDisconnected(id) => self.on_client_disconnected(id, actions),
            Event::Timer(HOUSEKEEPING_TIMER) => self.on_housekeeping(now_ms, actions),
            Event::Timer(DISCOVERY_POLL_TIMER) => actions.push(Action::SetWatch(true)),
            Event::Disable(id) => {
                self.endpoints.disable(now_ms, id, &self.slow_start_budget);
                actions.push(Action::CloseIdleConnections(id));
            }
            Event::Enable(id) => self.endpoints.enable(now_ms, id, &self.slow_start_budget, &mut self.rng),
            Event::SnapshotRestored(snapshot) => {
                self.endpoints.restore(now_ms, snapshot, &self.slow_start_budget);
            }
            Event::HandoverStarted => {
                self.slow_start_budget.halve_warm_rate();
                self.endpoints.halve_served_rates();
            }
            Event::Timer(_) | Event::PeerMessage { .. } | Event::ProbeEnded { .. } => {}
        }
    }

    fn on_start(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.last_housekeeping_at_ms = now_ms;
        self.schedule_housekeeping(now_ms, actions);
    }

    fn schedule_housekeeping(&self, now_ms: f64, actions: &mut Vec<Action>) {
        let at_ms = now_ms + self.tuning.housekeeping_interval_ms;
        actions.push(Action::Timer { token: HOUSEKEEPING_TIMER, at_ms });
    }

    fn on_endpoints_changed(
        &mut self,
        now_ms: f64,
        update: WatchUpdate,
        endpoints: &[EndpointUpdate],
        actions: &mut Vec<Action>,
    ) {
        if update == WatchUpdate::Failure {
            let max_interval_ms = self.settings.max_poll_interval_ms;
            let pause_ms =
                self.discovery_schedule.record_failure(&self.tuning, max_interval_ms, &mut self.rng);
            actions.push(Action::Timer { token: DISCOVERY_POLL_TIMER, at_ms: now_ms + pause_ms });
            return;
        }
        self.discovery_schedule.record_success();
        if update == WatchUpdate::CachedSnapshot && self.settings.discovery == DiscoveryMode::Poll {
            let has_endpoints = !endpoints.is_empty();
            let wait_ms = DiscoverySchedule::first_poll_in_ms(has_endpoints, &self.tuning, &mut self.rng);
            actions.push(Action::Timer { token: DISCOVERY_POLL_TIMER, at_ms: now_ms + wait_ms });
        }
        self.endpoints.apply_update(now_ms, update, endpoints, &self.slow_start_budget, &mut self.rng);
    }

    /// Updates everything that changes with time: decaying counts, token buckets, the placement of keys,
    /// and the admission level. Schedules the next run.
    fn on_housekeeping(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let seconds = ((now_ms - self.last_housekeeping_at_ms) / 1000.0).max(MIN_HOUSEKEEPING_SECONDS);
        self.last_housekeeping_at_ms = now_ms;
        self.schedule_housekeeping(now_ms, actions);
        let warm_rate = self.endpoints.mean_warm_rate_per_second(now_ms, &self.slow_start_budget);
        self.slow_start_budget.observe_warm_rate(warm_rate);
        self.endpoints.refill_and_decay(now_ms, seconds, &self.slow_start_budget);
        self.key_frequencies.decay(seconds);
        self.endpoints.rebuild_placement(now_ms, &self.slow_start_budget);
        let blocked_share = self.endpoints.blocked_share(now_ms);
        let fleet = self.fleet_load();
        let step_seconds = seconds.min(MAX_ADMISSION_STEP_SECONDS);
        self.admission.update(step_seconds, blocked_share, fleet, &self.settings, &self.class_statistics);
        self.class_statistics.iter_mut().for_each(|class| class.decay(step_seconds));
        self.log_rejections(now_ms, actions);
    }

    /// Logs the rejections since the last such log line, if a new line is due.
    fn log_rejections(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let Some(counts) = self.rejection_log.take_due(now_ms) else { return };
        let live = self.endpoints.in_service().filter(|endpoint| !endpoint.failures.is_congested());
        actions.push(Action::Log(DecisionLogEntry::RequestsRejected {
            counts,
            live_endpoints: live.count(),
            endpoints: self.endpoints.placement().len(),
            admission_level: self.admission.level(),
            overload: self.admission.overload(),
        }));
    }

    /// Returns, for each endpoint, the state that the next process of this node takes over with
    /// [`Event::SnapshotRestored`].
    pub fn snapshot(&self, now_ms: f64) -> Vec<EndpointSnapshot> {
        self.endpoints.snapshot(now_ms)
    }

    /// Returns the endpoints that operators have taken out of service with [`Event::Disable`], whether or
    /// not discovery lists them.
    pub fn disabled_endpoints(&self) -> impl Iterator<Item = EndpointId> {
        self.endpoints.disabled()
    }

    /// Returns whether discovery lists an endpoint as active and operators have not disabled it. A
    /// congested endpoint, or one in slow start, is in service.
    pub fn is_in_service(&self, id: EndpointId) -> bool {
        self.endpoints.is_in_service(id)
    }
}
