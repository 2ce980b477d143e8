//! Feeds the end of an attempt to the estimates about its endpoint, its class and the fleet.
//!
//! One outcome updates several estimates, and some outcomes say nothing about the endpoint: attempts that
//! the node itself cancelled, timeouts at a short client deadline, and failures of one class alone. This
//! module decides which estimates learn from an outcome; each estimate has its own module.

use super::action::Action;
use super::balancer::Balancer;
use super::concurrency_limit::{LoadSample, TARGET_OVERLOAD, min_limit};
use super::decision_log::DecisionLogEntry;
use super::endpoint::EndpointId;
use super::event::AttemptOutcome;
use super::load_report::LoadReport;

/// Weight of one outcome in the moving average of the failure share of all endpoints.
const FLEET_FAILURE_SHARE_STEP: f64 = 0.02;
/// Largest share of the unused part of a concurrency limit that one outcome removes. The share grows with
/// the overload of the fleet, so that one late answer while the fleet is not overloaded removes next to
/// nothing.
const MAX_UNUSED_CUT_SHARE: f64 = 0.5;
/// Slope at which the removed share of the unused limit grows with the fleet's overload, in units of
/// [`TARGET_OVERLOAD`]. With a slope of 2 the largest share is reached at half the target.
const UNUSED_CUT_SLOPE: f64 = 2.0;
/// Upper bound of a class's baseline answer time, as a share of its latency objective.
const MAX_BASELINE_OBJECTIVE_SHARE: f64 = 0.8;
/// An attempt that ends more than this number of batch intervals after its timeout was due is attributed to
/// a stall of this node.
const NODE_STALL_BATCHES: f64 = 20.0;

/// An attempt that has ended, with the figures that the estimates learn from.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedAttempt {
    pub endpoint: EndpointId,
    pub class: usize,
    pub outcome: AttemptOutcome,
    /// Whether the endpoint was congested when the attempt was sent.
    pub is_trial: bool,
    /// Whether the attempt was answered within the request's latency objective.
    pub is_within_objective: bool,
    /// Time from sending the attempt to its end, in milliseconds.
    pub elapsed_ms: f64,
    /// Time from sending the attempt to its timeout, in milliseconds.
    pub timeout_ms: f64,
    /// Time from sending the attempt to the client's deadline, in milliseconds.
    pub time_to_deadline_ms: f64,
    /// Value of an answer to the request, in units of the class's priority weight.
    pub weight: f64,
}

impl Balancer {
    /// Updates the estimates after the end of an attempt. Does nothing if the endpoint is no longer known.
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
        endpoint.recent_attempt_ms += ended.elapsed_ms;
        self.close_idle_connections_if_scarce(now_ms, index, ended, actions);
        self.learn_utilization(now_ms, index, ended, load);
        if ended.is_trial {
            self.end_trial(now_ms, index, ended, actions);
        } else if !self.is_node_stall(ended) {
            self.learn_from_outcome(now_ms, index, ended, actions);
        }
    }

    /// Returns whether an attempt ended long after its timeout was due, which means that this node stalled.
    fn is_node_stall(&self, ended: &EndedAttempt) -> bool {
        ended.elapsed_ms > ended.timeout_ms + NODE_STALL_BATCHES * self.settings.batch_interval_ms
    }

    /// Records whether the attempt found a connection, and closes idle connections while connections are
    /// scarce.
    fn close_idle_connections_if_scarce(
        &mut self,
        now_ms: f64,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        if ended.outcome == AttemptOutcome::NotSent {
            return;
        }
        let idle_timeout_ms = self.settings.idle_connection_timeout_ms;
        if self.connection_scarcity.record(now_ms, ended.outcome, idle_timeout_ms) {
            actions.push(Action::Log(DecisionLogEntry::ConnectionsScarce));
            let idle = self.endpoints.iter().filter(|endpoint| endpoint.in_flight == 0);
            actions.extend(idle.map(|endpoint| Action::CloseIdleConnections(endpoint.id)));
        }
        let endpoint = &self.endpoints[index];
        if self.connection_scarcity.is_scarce(now_ms) && endpoint.in_flight == 0 {
            actions.push(Action::CloseIdleConnections(endpoint.id));
        }
    }

    /// Records the utilization that the endpoint reported or that a failure stands for.
    fn learn_utilization(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt, load: &LoadReport) {
        let objective_ms = self.settings.latency_objective_ms(ended.class);
        if let Some(utilization) =
            self.fleet_utilization.observed_utilization(ended.outcome, load, objective_ms)
        {
            let endpoint = &mut self.endpoints[index];
            self.fleet_utilization.record(now_ms, &mut endpoint.utilization, utilization);
        }
    }

    /// Handles the end of a trial. An answer of any kind shows that the endpoint can be reached; a trial
    /// that the node cancelled or did not send says nothing.
    fn end_trial(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let failed_trials = self.endpoints[index].failures.failed_trials();
        if ended.outcome.was_ended_by_node() {
            self.abandon_trial(now_ms, index, ended, failed_trials);
            return;
        }
        let pause_ms = self.tuning.trial_pause_ms(failed_trials + 1, &mut self.rng);
        let endpoint = &mut self.endpoints[index];
        if ended.outcome.is_failure() {
            let unreachable = ended.outcome == AttemptOutcome::ConnectFailed;
            endpoint.failures.trial_failed(now_ms + pause_ms, unreachable);
            return;
        }
        let recovery = endpoint.failures.trial_answered();
        // An endpoint that could not be reached may have restarted, and discovery reports a restart late.
        // An endpoint that was only slow, or lost a connection, is as warm as before.
        if recovery.was_unreachable {
            endpoint.begin_slow_start(now_ms, &mut self.rng);
        }
        actions.push(Action::Log(DecisionLogEntry::EndpointLive {
            endpoint: endpoint.id,
            failed_trials: recovery.failed_trials,
            slow_start: recovery.was_unreachable,
        }));
    }

    /// Handles a trial that the node cancelled or did not send. The endpoint may hang, and the clients of
    /// further trials may leave as well. So a trial whose request may have run and may not be repeated is
    /// followed by a pause before the next such trial.
    fn abandon_trial(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt, failed_trials: u32) {
        let allows_repeats = self.settings.idempotency(ended.class).allows_repeats();
        if allows_repeats || ended.outcome.proves_not_executed() {
            self.endpoints[index].failures.trial_abandoned();
            return;
        }
        let pause_ms = self.tuning.trial_pause_ms(failed_trials, &mut self.rng);
        self.endpoints[index].failures.unrepeatable_trial_abandoned(now_ms + pause_ms);
    }

    /// Learns from an attempt that was not a trial.
    fn learn_from_outcome(
        &mut self,
        now_ms: f64,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let has_short_deadline = self.has_short_deadline(ended);
        self.learn_answer_time(ended, has_short_deadline);
        if ended.is_within_objective {
            self.endpoints[index].served_per_second += 1.0;
        }
        // An attempt that the node ended, or an error response, says nothing about load.
        if ended.outcome.was_ended_by_node() || ended.outcome == AttemptOutcome::ErrorResponse {
            return;
        }
        if self.record_class_outcome(now_ms, index, ended) {
            return;
        }
        // A timeout at a short client deadline says nothing about the endpoint; an endpoint that does not
        // answer is detected through clients that wait longer, and is not detected if no client does.
        if has_short_deadline && ended.outcome == AttemptOutcome::TimedOut {
            return;
        }
        let overload = self.observed_overload(ended);
        self.learn_overload(now_ms, index, ended, overload);
        self.learn_failure(now_ms, index, ended, actions);
    }

    /// Returns whether the client allowed so little time that a timeout says nothing about the endpoint.
    fn has_short_deadline(&self, ended: &EndedAttempt) -> bool {
        let objective_ms = self.settings.latency_objective_ms(ended.class);
        let statistics = self.class_statistics.get(ended.class);
        statistics.is_some_and(|class| class.is_short_deadline(ended.time_to_deadline_ms, objective_ms))
    }

    /// Records the answer time in the statistics of the class. A timeout counts as an answer that took as
    /// long as the attempt: without timeouts, the short timeout n, which is estimated from these times,
    /// would become shorter and shorter.
    fn learn_answer_time(&mut self, ended: &EndedAttempt, has_short_deadline: bool) {
        if let Some(class) = self.class_statistics.get_mut(ended.class)
            && ended.outcome.bounds_answer_time()
            && !has_short_deadline
        {
            class.record_answer(ended.elapsed_ms);
        }
    }

    /// Records whether the endpoint served the class. Returns `true` if the class fails there while other
    /// classes are served; the failure then says nothing about the endpoint.
    fn record_class_outcome(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt) -> bool {
        if ended.outcome.is_connection_failure() {
            return false;
        }
        let Some(class) = self.class_statistics.get_mut(ended.class) else { return false };
        let failure = f64::from(u8::from(!ended.is_within_objective));
        class.record_attempt(failure);
        let failures = &mut self.endpoints[index].class_failures;
        failures.record(now_ms, ended.class, failure);
        !ended.is_within_objective
            && failures.is_isolated_outlier(now_ms, ended.class, &self.class_statistics)
    }

    /// Returns the degree of overload, 0 to 1, that an outcome shows at the endpoint.
    ///
    /// It is 0 up to the geometric mean of the class's baseline answer time and its latency objective, and
    /// rises from there to 1 at the objective. Beyond that mean, additional requests in flight only wait in
    /// the endpoint's queue and do not raise its throughput, although the objective is not missed until
    /// much later.
    fn observed_overload(&self, ended: &EndedAttempt) -> f64 {
        if !ended.is_within_objective {
            return 1.0;
        }
        let objective_ms = self.settings.latency_objective_ms(ended.class);
        let class_baseline_ms =
            self.class_statistics.get(ended.class).map_or(0.0, |class| class.baseline_quantile_ms());
        let baseline_ms = class_baseline_ms.min(MAX_BASELINE_OBJECTIVE_SHARE * objective_ms);
        let overload_onset_ms = (baseline_ms * objective_ms).sqrt();
        ((ended.elapsed_ms - overload_onset_ms) / (objective_ms - overload_onset_ms)).clamp(0.0, 1.0)
    }

    /// Updates admission and the endpoint's concurrency limit. Concurrency limits reflect differences
    /// between endpoints: overload of the whole fleet is left to admission.
    fn learn_overload(&mut self, now_ms: f64, index: usize, ended: &EndedAttempt, overload: f64) {
        let endpoint = &mut self.endpoints[index];
        if !ended.outcome.is_specific_to_endpoint() && !endpoint.failures.is_congested() {
            self.admission.record_outcome(ended.weight, overload);
        }
        if ended.outcome == AttemptOutcome::ConnectionReset {
            return;
        }
        let fleet_overload = self.admission.overload();
        let cut_factor = (UNUSED_CUT_SLOPE * fleet_overload / TARGET_OVERLOAD).min(1.0);
        endpoint.limit.learn(LoadSample {
            now_ms,
            elapsed_ms: ended.elapsed_ms,
            in_flight: endpoint.in_flight,
            overload: overload * (1.0 - fleet_overload),
            unused_cut_share: MAX_UNUSED_CUT_SHARE * overload * cut_factor,
            min_limit: min_limit(ended.outcome == AttemptOutcome::Rejected, self.settings.node_count),
        });
    }

    /// Records the outcome in the endpoint's failure record, and makes the endpoint congested if there are
    /// too many failures.
    fn learn_failure(
        &mut self,
        now_ms: f64,
        index: usize,
        ended: &EndedAttempt,
        actions: &mut Vec<Action>,
    ) {
        let failed = ended.outcome.is_failure();
        let failure = f64::from(u8::from(failed));
        self.fleet_failure_share += FLEET_FAILURE_SHARE_STEP * (failure - self.fleet_failure_share);
        let endpoint = &mut self.endpoints[index];
        if failed || ended.outcome == AttemptOutcome::Answered {
            endpoint.failures.record(now_ms, self.tuning.failure_window_ms, failed);
        }
        let sees_sparse_traffic = self.tuning.sees_sparse_traffic;
        if !failed || !endpoint.failures.should_trip(self.fleet_failure_share, sees_sparse_traffic) {
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
