//! What the end of an attempt says of its endpoint, its class and the fleet.
//!
//! One outcome feeds several estimates, and some outcomes say nothing of the endpoint: attempts that
//! the node itself cancelled, timeouts at a short client deadline, failures of one class alone. This
//! module decides who learns from what; each estimate has its own module.

use super::action::Action;
use super::balancer::Balancer;
use super::concurrency_limit::{LoadSample, TARGET_OVERLOAD, limit_floor};
use super::decision_log::DecisionLogEntry;
use super::endpoint::EndpointId;
use super::event::AttemptOutcome;
use super::load_report::LoadReport;

/// How far the failure share of all endpoints moves towards one outcome.
const FLEET_FAILURE_STEP: f64 = 0.02;
/// At most this part of the unused concurrency limit is cut at once, the more the more the fleet is
/// overloaded: one late answer in quiet times takes next to nothing.
const MAX_UNUSED_CUT_SHARE: f64 = 0.5;
/// The cut grows with the fleet's overload by this slope, in targets: all of that part is cut from half the
/// target on.
const UNUSED_CUT_SLOPE: f64 = 2.0;
/// The usual time of a class is taken for at most this part of its objective.
const MAX_USUAL_PART: f64 = 0.8;
/// A timeout noticed this many batches late is a stall of this node.
const OWN_STALL_BATCHES: f64 = 20.0;

/// An attempt that is over.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    pub endpoint: EndpointId,
    pub class: usize,
    pub outcome: AttemptOutcome,
    pub is_trial: bool,
    /// It was answered within the objective.
    pub in_objective: bool,
    pub elapsed_ms: f64,
    pub timeout_ms: f64,
    /// Time until the client's deadline when it was sent, in milliseconds.
    pub allowed_ms: f64,
    /// Value of an answer to its request.
    pub weight: f64,
}

impl Balancer {
    /// Takes in the end of an attempt, if its endpoint is still known.
    pub(super) fn learn_from_attempt(
        &mut self,
        now_ms: f64,
        ended: &EndedAttempt,
        load: &LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.endpoints.find(ended.endpoint) else { return };
        let endpoint = &mut self.endpoints[index];
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        endpoint.busy_ms += ended.elapsed_ms;
        self.close_idle_if_scarce(now_ms, index, ended, actions);
        self.learn_utilization(now_ms, index, ended, load);
        if ended.is_trial {
            self.end_trial(now_ms, index, ended, actions);
        } else if !self.is_own_stall(ended) {
            self.learn_from_outcome(now_ms, index, ended, actions);
        }
    }

    /// A timeout that was noticed long after it was due is this node's own stall.
    fn is_own_stall(&self, ended: &EndedAttempt) -> bool {
        ended.elapsed_ms > ended.timeout_ms + OWN_STALL_BATCHES * self.settings.batch_interval_ms
    }

    /// Closes idle connections where connections are scarce.
    fn close_idle_if_scarce(
        &mut self,
        now_ms: f64,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        if ended.outcome == AttemptOutcome::NotSent {
            return;
        }
        let hold_ms = self.settings.idle_connection_timeout_ms;
        if self.connection_scarcity.record(now_ms, ended.outcome, hold_ms) {
            actions.push(Action::Log(DecisionLogEntry::ConnectionsScarce));
            let idle = self.endpoints.iter().filter(|endpoint| endpoint.in_flight == 0);
            actions.extend(idle.map(|endpoint| Action::CloseIdleConnections(endpoint.id)));
        }
        let endpoint = &self.endpoints[index];
        if self.connection_scarcity.is_scarce(now_ms) && endpoint.in_flight == 0 {
            actions.push(Action::CloseIdleConnections(endpoint.id));
        }
    }

    fn learn_utilization(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt, load: &LoadReport) {
        let objective_ms = self.settings.latency_objective_ms(ended.class);
        if let Some(observed) = self.fleet_utilization.observed(ended.outcome, load, objective_ms) {
            let endpoint = &mut self.endpoints[index];
            self.fleet_utilization.record(now_ms, &mut endpoint.utilization, observed);
        }
    }

    /// A trial is over. Any answer at all shows that the endpoint can be reached; a trial that the node
    /// cancelled or did not send says nothing.
    fn end_trial(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        if ended.outcome.was_ended_by_node() {
            self.endpoints[index].failures.trial_abandoned();
            return;
        }
        let failed_trials = self.endpoints[index].failures.failed_trials();
        let pause_ms = self.tuning.trial_pause_ms(failed_trials + 1, &mut self.rng);
        let endpoint = &mut self.endpoints[index];
        if ended.outcome.is_failure() {
            let unreachable = ended.outcome == AttemptOutcome::ConnectFailed;
            endpoint.failures.trial_failed(now_ms + pause_ms, unreachable);
            return;
        }
        let recovery = endpoint.failures.trial_answered();
        // Where nobody was there it may have restarted, and discovery is late to say so. One that was only
        // slow, or lost a connection, is as warm as before.
        if recovery.was_unreachable {
            endpoint.begin_slow_start(now_ms, &mut self.rng);
        }
        actions.push(Action::Log(DecisionLogEntry::EndpointLive {
            endpoint: endpoint.id,
            failed_trials: recovery.failed_trials,
            slow_start: recovery.was_unreachable,
        }));
    }

    /// What an attempt that was no trial says of its endpoint, its class and the fleet.
    fn learn_from_outcome(
        &mut self,
        now_ms: f64,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let has_short_deadline = self.has_short_deadline(ended);
        self.learn_answer_time(ended, has_short_deadline);
        if ended.in_objective {
            self.endpoints[index].served_per_second += 1.0;
        }
        // An attempt that the node ended, or a malformed response, says nothing of load.
        if ended.outcome.was_ended_by_node() || ended.outcome == AttemptOutcome::ErrorResponse {
            return;
        }
        if self.record_class_outcome(now_ms, index, ended) {
            return;
        }
        // A timeout at a short client deadline says nothing about the endpoint; a silent endpoint shows by
        // the clients that wait longer. Does not detect a silent endpoint in a fleet in which no client
        // waits longer.
        if has_short_deadline && ended.outcome == AttemptOutcome::TimedOut {
            return;
        }
        let overload = self.overload_of(ended);
        self.learn_overload(now_ms, index, ended, overload);
        self.learn_failure(now_ms, index, ended, actions);
    }

    fn has_short_deadline(&self, ended: &EndedAttempt) -> bool {
        let objective_ms = self.settings.latency_objective_ms(ended.class);
        let statistics = self.classes.get(ended.class);
        statistics.is_some_and(|class| class.is_short_deadline(ended.allowed_ms, objective_ms))
    }

    /// Timeouts count as answers that took at least so long: without them the short timeout n, which is
    /// estimated from these times, would become ever shorter.
    fn learn_answer_time(&mut self, ended: &EndedAttempt, has_short_deadline: bool) {
        if let Some(class) = self.classes.get_mut(ended.class)
            && ended.outcome.bounds_answer_time()
            && !has_short_deadline
        {
            class.record_answer(ended.elapsed_ms);
        }
    }

    /// Records whether the class was served at the endpoint. True if this is a failure that the class has
    /// there while others are served, which says nothing of the endpoint.
    fn record_class_outcome(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt) -> bool {
        if ended.outcome.is_connection_failure() {
            return false;
        }
        let Some(class) = self.classes.get_mut(ended.class) else { return false };
        let failed = f64::from(u8::from(!ended.in_objective));
        class.record_failure(failed);
        let failures = &mut self.endpoints[index].class_failures;
        failures.record(now_ms, ended.class, failed);
        !ended.in_objective && failures.is_isolated_outlier(now_ms, ended.class, &self.classes)
    }

    /// How overloaded an outcome shows the endpoint, 0 to 1.
    ///
    /// Strain starts half-way, as ratios go, from the class's usual time to its objective: holding more in
    /// flight than that serves nobody sooner, long before the objective itself is missed.
    fn overload_of(&self, ended: &EndedAttempt) -> f64 {
        if !ended.in_objective {
            return 1.0;
        }
        let objective_ms = self.settings.latency_objective_ms(ended.class);
        let quiet_ms = self.classes.get(ended.class).map_or(0.0, |class| class.quiet_quantile_ms());
        let usual_ms = quiet_ms.min(MAX_USUAL_PART * objective_ms);
        let strained_ms = (usual_ms * objective_ms).sqrt();
        ((ended.elapsed_ms - strained_ms) / (objective_ms - strained_ms)).clamp(0.0, 1.0)
    }

    /// Has admission and the endpoint's concurrency limit learn. Limits tell endpoints apart: what the
    /// whole fleet suffers is left to admission.
    fn learn_overload(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt, overload: f64) {
        let endpoint = &mut self.endpoints[index];
        if !ended.outcome.is_specific_to_endpoint() && !endpoint.failures.is_congested() {
            self.admission.record_outcome(ended.weight, overload);
        }
        if ended.outcome == AttemptOutcome::ConnectionReset {
            return;
        }
        let fleet_overload = self.admission.overload();
        let fleet_strain = (UNUSED_CUT_SLOPE * fleet_overload / TARGET_OVERLOAD).min(1.0);
        endpoint.limit.learn(LoadSample {
            now_ms,
            elapsed_ms: ended.elapsed_ms,
            in_flight: endpoint.in_flight,
            overload: overload * (1.0 - fleet_overload),
            unused_cut_share: MAX_UNUSED_CUT_SHARE * overload * fleet_strain,
            floor: limit_floor(ended.outcome == AttemptOutcome::Rejected, self.settings.node_count),
        });
    }

    /// Counts the outcome in the endpoint's failure record, and makes the endpoint congested where that is
    /// due.
    fn learn_failure(
        &mut self,
        now_ms: f64,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let failed = ended.outcome.is_failure();
        let failure = f64::from(u8::from(failed));
        self.fleet_failure_share += FLEET_FAILURE_STEP * (failure - self.fleet_failure_share);
        let endpoint = &mut self.endpoints[index];
        if failed || ended.outcome == AttemptOutcome::Answered {
            endpoint.failures.record(now_ms, self.tuning.failure_window_ms, failed);
        }
        let sparse = self.tuning.sees_sparse_traffic;
        if !failed || !endpoint.failures.should_trip(self.fleet_failure_share, sparse) {
            return;
        }
        let pause_ms = self.tuning.trial_pause_ms(0, &mut self.rng);
        endpoint.failures.trip(now_ms + pause_ms);
        let totals = endpoint.failures.totals();
        actions.push(Action::Log(DecisionLogEntry::EndpointCongested {
            endpoint: endpoint.id,
            failures: totals.failures,
            attempts: totals.attempts,
            trial_in_ms: pause_ms,
        }));
    }
}
