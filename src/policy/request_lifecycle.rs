//! Handles a request from its arrival through its attempts to the final answer.
//!
//! Some rules must hold regardless of the decisions in other modules: an attempt must not go where it could
//! do harm, and a client must not be told to retry a request that may have run and must not run twice. So
//! every attempt passes [`SendGate`], and every rejection passes [`Balancer::reject_or_fail`].

use super::action::{Action, RejectionReason};
use super::admission::{FleetLoad, Freshness, OfferedRequest};
use super::balancer::Balancer;
use super::event::AttemptOutcome;
use super::hash::mix;
use super::load_report::LoadReport;
use super::outcome_feedback::EndedAttempt;
use super::pending_request::{Attempt, PendingRequest};
use super::request::{Request, RequestId};
use super::retry::{AttemptTimeout, RetryBudget};
use super::retry_after::retry_after_ms;
use super::selection::Selection;
use super::send_gate::SendGate;
use super::settings::Idempotency;

/// An attempt may wait for an answer past the latency objective only while the admission level, the share
/// of the offered work that is admitted, is above this value.
const MIN_ADMISSION_LEVEL_FOR_LATE_ANSWERS: f64 = 0.95;
/// Lower bound, in milliseconds, of the remaining latency objective that a retry-after time is computed
/// from: nothing remains if earlier tries of the client have used up the objective.
const MIN_REMAINING_OBJECTIVE_MS: f64 = 1.0;

/// The host's report on the end of one attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptReport {
    pub id: RequestId,
    /// Index of the attempt among the attempts of its request, from 0.
    pub attempt: u32,
    pub outcome: AttemptOutcome,
    /// The client has its final answer, from this attempt or an earlier one.
    pub request_finished: bool,
    /// Time since the attempt was sent, in milliseconds. The host's value may not be finite.
    pub elapsed_ms: f64,
}

/// The class settings that apply to one request.
///
/// A request of an unknown class gets a weight of 1, no value for late answers, and the time until its
/// client's deadline as both the latency objective and the deadline.
#[derive(Clone, Copy, Debug)]
struct EffectiveClass {
    /// Latency objective, in milliseconds from the client's first try.
    objective_ms: f64,
    /// The longest that a client waits, in milliseconds from its first try.
    deadline_ms: f64,
    /// Value of an answer within the objective.
    weight: f64,
    /// Part of the value that a later answer keeps, 0 to 1.
    late_weight_factor: f64,
}

impl Balancer {
    /// Admits a new request and sends its first attempt, or rejects it.
    pub(super) fn on_request(&mut self, now_ms: f64, request: Request, actions: &mut Vec<Action>) {
        let wait_ms = (request.deadline_ms - now_ms).max(0.0);
        let class = self.effective_class(&request, wait_ms);
        let age_ms = self.client_age_ms(&request, wait_ms, &class);
        let freshness = if age_ms >= class.objective_ms { Freshness::TooOld } else { Freshness::InTime };
        let weight = match freshness {
            Freshness::InTime => class.weight,
            Freshness::TooOld => class.weight * class.late_weight_factor,
        };
        let offered =
            OfferedRequest { class: request.class, freshness, cost_ms: self.cost_ms(&request), weight };
        let fleet = self.fleet_load();
        let decision = self.admission.decide(offered, fleet, &self.settings, &mut self.rng);
        if let Some(key) = request.key {
            self.key_frequencies.record(mix(key));
        }
        self.retry_budget.deposit();
        let id = request.id;
        let pending = PendingRequest {
            request,
            arrived_at_ms: now_ms,
            objective_at_ms: now_ms + (class.objective_ms - age_ms).max(0.0),
            weight,
            finished: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, pending);
        match decision {
            Ok(()) => self.send_attempt(now_ms, id, actions),
            Err(reason) => self.reject_or_fail(now_ms, id, reason, actions),
        }
    }

    /// Returns the class settings for a request whose client waits for another `wait_ms`.
    fn effective_class(&self, request: &Request, wait_ms: f64) -> EffectiveClass {
        match self.settings.classes.get(request.class) {
            Some(class) => EffectiveClass {
                objective_ms: class.latency_objective_ms,
                deadline_ms: class.deadline_ms,
                weight: class.priority_weight,
                late_weight_factor: class.late_weight_factor,
            },
            None => EffectiveClass {
                objective_ms: wait_ms,
                deadline_ms: wait_ms,
                weight: 1.0,
                late_weight_factor: 0.0,
            },
        }
    }

    /// Estimates the time that the client has spent on earlier tries, in milliseconds.
    ///
    /// The estimate infers the time from the remaining deadline, so a first try with a short deadline can
    /// look like a late retry. If the class values late answers, the request is taken for a first try
    /// (age 0).
    fn client_age_ms(&mut self, request: &Request, wait_ms: f64, class: &EffectiveClass) -> f64 {
        let Some(statistics) = self.class_statistics.get_mut(request.class) else { return 0.0 };
        let is_retry = self.settings.clients_mark_retries.then_some(request.is_retry);
        let age_ms = if class.late_weight_factor > 0.0 {
            0.0
        } else {
            statistics.estimate_client_age_ms(wait_ms + request.queued_ms, class.deadline_ms, is_retry)
        };
        statistics.record_request(age_ms <= 0.0);
        age_ms
    }

    /// Returns the work of a request, in milliseconds: the client's estimate if it is finite and positive,
    /// otherwise the mean of the request's class.
    fn cost_ms(&self, request: &Request) -> f64 {
        let class_mean_ms = self.class_statistics.get(request.class).map_or(1.0, |class| class.mean_ms());
        request.estimated_cost_ms.filter(|cost| cost.is_finite() && *cost > 0.0).unwrap_or(class_mean_ms)
    }

    /// Returns the load figures of the node and the fleet that admission decides by.
    pub(super) fn fleet_load(&self) -> FleetLoad {
        FleetLoad {
            in_flight: self.in_flight,
            endpoints: self.endpoints.placement().len(),
            utilization: self.fleet_utilization.mean(),
        }
    }

    /// Sends the next attempt of a request. Rejects or fails the request if no endpoint is usable, or if
    /// too little time is left for an attempt.
    fn send_attempt(&mut self, now_ms: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let gate = SendGate {
            now_ms,
            settings: &self.settings,
            slow_start_budget: &self.slow_start_budget,
            trial_eligibility: &self.trial_eligibility,
            pending,
        };
        let selection = Selection {
            gate,
            endpoints: &self.endpoints,
            class_statistics: &self.class_statistics,
            key_frequencies: &self.key_frequencies,
            in_flight: self.in_flight,
            fleet_utilization: self.fleet_utilization.mean(),
            sees_sparse_traffic: self.tuning.sees_sparse_traffic,
        };
        let idempotency = gate.idempotency();
        let Some(index) = selection.select_endpoint(&mut self.rng) else {
            self.trial_eligibility.record_request(now_ms, idempotency);
            self.admission.record_no_usable_endpoint(pending.weight);
            self.reject_or_fail(now_ms, id, RejectionReason::NoUsableEndpoint, actions);
            return;
        };
        let begin_within_ms = gate.repeat_window_ms(&self.endpoints[index]);
        let timeout_ms = self.attempt_timeout_ms(now_ms, pending, index);
        if timeout_ms < self.settings.batch_interval_ms {
            self.reject_or_fail(now_ms, id, RejectionReason::DeadlineTooClose, actions);
            return;
        }
        let attempt = self.begin_attempt(now_ms, index, timeout_ms, idempotency);
        let endpoint = attempt.endpoint;
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.attempts.push(attempt);
        }
        actions.push(Action::SendAttempt { id, endpoint, timeout_ms, begin_within_ms });
    }

    /// Returns the timeout of an attempt at the endpoint at `index`, in milliseconds.
    fn attempt_timeout_ms(&self, now_ms: f64, pending: &PendingRequest, index: usize) -> f64 {
        let class = self.settings.classes.get(pending.request.class);
        let keeps_value_when_late = class.is_some_and(|class| class.late_weight_factor > 0.0);
        let allows_repeats = self.settings.idempotency(pending.request.class).allows_repeats();
        let timeout = AttemptTimeout {
            now_ms,
            pending,
            extends_past_objective: keeps_value_when_late
                && self.admission.level() > MIN_ADMISSION_LEVEL_FOR_LATE_ANSWERS,
            allows_short_timeout: self.endpoints[index].failures.is_suspect()
                && allows_repeats
                && self.retry_budget.affords_repeat(),
            statistics: self.class_statistics.get(pending.request.class),
            batch_interval_ms: self.settings.batch_interval_ms,
        };
        timeout.timeout_ms()
    }

    /// Registers an attempt that is about to be sent: takes a slow-start token of the endpoint, counts the
    /// attempt as in flight, and marks it as a trial if the endpoint is congested. `idempotency` is that of
    /// the request.
    fn begin_attempt(
        &mut self,
        now_ms: f64,
        index: usize,
        timeout_ms: f64,
        idempotency: Idempotency,
    ) -> Attempt {
        let endpoint = &mut self.endpoints[index];
        let tokens =
            self.slow_start_budget.tokens(now_ms, &endpoint.slow_start, endpoint.served_per_second);
        endpoint.slow_start.set_tokens(now_ms, tokens - 1.0);
        endpoint.in_flight += 1;
        self.in_flight += 1;
        let is_trial = endpoint.failures.attempt_sent();
        self.trial_eligibility.record_request(now_ms, idempotency);
        if is_trial {
            self.trial_eligibility.record_trial(idempotency);
        }
        Attempt {
            endpoint: endpoint.id,
            location: endpoint.location,
            sent_at_ms: now_ms,
            timeout_ms,
            in_flight: true,
            never_ran: false,
            is_trial,
        }
    }

    /// Ends a request that no endpoint has answered, unless an attempt is still in flight. Rejects it if a
    /// retry by the client does no harm, either because no attempt can have run or because its class is
    /// deduplicated or idempotent at every endpoint, and fails it otherwise.
    ///
    /// No other function rejects or fails a request.
    fn reject_or_fail(
        &mut self,
        now_ms: f64,
        id: RequestId,
        reason: RejectionReason,
        actions: &mut Vec<Action>,
    ) {
        self.rejection_log.record(reason);
        let is_unanswered =
            |pending: &&PendingRequest| !pending.finished && !pending.has_attempt_in_flight();
        let Some(pending) = self.requests.get(&id).filter(is_unanswered) else { return };
        let idempotency = self.settings.idempotency(pending.request.class);
        let client_may_retry = pending.never_ran() || idempotency.allows_client_retry();
        let remaining_objective_ms =
            (pending.objective_at_ms - pending.arrived_at_ms).max(MIN_REMAINING_OBJECTIVE_MS);
        self.requests.remove(&id);
        if !client_may_retry {
            actions.push(Action::Fail { id, reason });
            return;
        }
        let retry_after_ms = if self.settings.retry_after_allowed {
            let max_retry_after_ms = self.settings.max_retry_after_ms;
            retry_after_ms(
                now_ms,
                remaining_objective_ms,
                max_retry_after_ms,
                &self.endpoints,
                &mut self.rng,
            )
        } else {
            0.0
        };
        actions.push(Action::Reject { id, retry_after_ms, reason });
    }

    /// Shifts the times of a request whose client had sent the body only at `sent_at_ms`, some time after its
    /// head.
    pub(super) fn on_body_complete(&mut self, sent_at_ms: f64, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.shift_arrival_to(sent_at_ms);
        }
    }

    /// Finishes the request of a client that has disconnected, and cancels its attempts in flight if the
    /// settings allow cancellation.
    pub(super) fn on_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.finished = true;
        if self.settings.cancellation_allowed {
            let in_flight = pending.attempts.iter().zip(0_u32..).filter(|(attempt, _)| attempt.in_flight);
            actions.extend(in_flight.map(|(_, attempt)| Action::CancelAttempt { id, attempt }));
        }
        if !pending.has_attempt_in_flight() {
            self.requests.remove(&id);
        }
    }

    /// Handles the end of an attempt: updates the estimates that its outcome feeds, then retries or
    /// finishes its request. Ignores a report on an attempt that is not in flight.
    pub(super) fn on_attempt_ended(
        &mut self,
        now_ms: f64,
        report: AttemptReport,
        load: &LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.close_attempt(now_ms, &report) else { return };
        self.learn_from_attempt(now_ms, &ended, load, actions);
        if ended.is_within_objective
            && let Some(class) = self.class_statistics.get_mut(ended.class)
        {
            class.record_served();
        }
        self.retry_or_finish(now_ms, report, actions);
    }

    /// Marks an attempt as ended, and returns the facts that the estimates are updated from. Returns `None`
    /// if the attempt is not in flight.
    fn close_attempt(&mut self, now_ms: f64, report: &AttemptReport) -> Option<EndedAttempt> {
        let pending = self.requests.get_mut(&report.id)?;
        let attempt = pending.attempts.get_mut(report.attempt as usize);
        let attempt = attempt.filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.never_ran = report.outcome.proves_not_executed();
        self.in_flight = self.in_flight.saturating_sub(1);
        pending.finished |= report.request_finished;
        // A duration that is not finite would make the estimates useless for good.
        let since_sent_ms = now_ms - attempt.sent_at_ms;
        let elapsed_ms = if report.elapsed_ms.is_finite() { report.elapsed_ms } else { since_sent_ms };
        let is_answered = report.outcome == AttemptOutcome::Answered;
        Some(EndedAttempt {
            endpoint: attempt.endpoint,
            class: pending.request.class,
            outcome: report.outcome,
            is_trial: attempt.is_trial,
            is_within_objective: is_answered && now_ms <= pending.objective_at_ms,
            elapsed_ms: elapsed_ms.max(0.0),
            timeout_ms: attempt.timeout_ms,
            time_to_deadline_ms: pending.request.deadline_ms - attempt.sent_at_ms,
            weight: pending.weight,
        })
    }

    /// Finishes, retries, rejects or fails a request after one of its attempts has ended.
    ///
    /// The check for a request that may have run and must not run twice comes before the retry budget and
    /// endpoint selection. Otherwise such a request would use up budget, and selection would count it as
    /// one that found no usable endpoint in the fleet.
    fn retry_or_finish(&mut self, now_ms: f64, report: AttemptReport, actions: &mut Vec<Action>) {
        let id = report.id;
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.has_attempt_in_flight())
        else {
            return;
        };
        if pending.finished {
            self.requests.remove(&id);
            return;
        }
        let may_run_again =
            self.settings.idempotency(pending.request.class).allows_repeats() || pending.never_ran();
        let is_before_objective = now_ms < pending.objective_at_ms;
        let cost = RetryBudget::retry_cost(report.outcome);
        let was_sent = report.outcome != AttemptOutcome::NotSent;
        if !may_run_again {
            self.reject_or_fail(now_ms, id, RejectionReason::NotRetryable, actions);
        } else if was_sent && is_before_objective && self.retry_budget.affords(cost) {
            self.retry_budget.withdraw(cost);
            self.send_attempt(now_ms, id, actions);
        } else {
            self.reject_or_fail(now_ms, id, RejectionReason::RetryDenied, actions);
        }
    }
}
