//! The life of a request: arrival, attempts, their ends, and the final answer.
//!
//! Every attempt passes the [`SendGate`], every rejection [`Balancer::reject_or_fail`]: these two enforce
//! the rules that must hold whatever the other modules decide.

use super::action::{Action, RejectionReason};
use super::admission::{Candidate, FleetView, Freshness};
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

/// Answers after the objective are waited for while admission lets in more than this part of the work.
const LATE_ANSWERS_ADMISSION_LEVEL: f64 = 0.95;
/// The objective is taken for no less than this, in milliseconds, where a retry-after time is computed.
const MIN_OBJECTIVE_MS: f64 = 1.0;

/// How an attempt ended, as the host reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedEnd {
    pub id: RequestId,
    pub attempt: u32,
    pub outcome: AttemptOutcome,
    pub request_finished: bool,
    pub elapsed_ms: f64,
}

/// The settings of a request's class. For an unknown class the client's deadline stands in.
#[derive(Clone, Copy, Debug)]
struct ClassTerms {
    objective_ms: f64,
    deadline_ms: f64,
    weight: f64,
    late_weight_factor: f64,
}

impl Balancer {
    /// A request came.
    pub(super) fn on_request(&mut self, now_ms: f64, request: Request, actions: &mut Vec<Action>) {
        let wait_ms = (request.deadline_ms - now_ms).max(0.0);
        let terms = self.class_terms(&request, wait_ms);
        let age_ms = self.client_age_ms(&request, wait_ms, &terms);
        let freshness = if age_ms >= terms.objective_ms { Freshness::TooOld } else { Freshness::InTime };
        let weight = match freshness {
            Freshness::InTime => terms.weight,
            Freshness::TooOld => terms.weight * terms.late_weight_factor,
        };
        let candidate =
            Candidate { class: request.class, freshness, cost_ms: self.cost_ms(&request), weight };
        let fleet = self.fleet_view();
        let admitted = self.admission.decide(candidate, fleet, &self.settings, &mut self.rng);
        if let Some(key) = request.key {
            self.key_frequencies.record(mix(key));
        }
        self.retry_budget.deposit();
        let id = request.id;
        let pending = PendingRequest {
            request,
            arrived_at_ms: now_ms,
            objective_at_ms: now_ms + (terms.objective_ms - age_ms).max(0.0),
            weight,
            finished: false,
            attempts: Vec::new(),
        };
        self.requests.insert(id, pending);
        match admitted {
            Ok(()) => self.send_attempt(now_ms, id, actions),
            Err(reason) => self.reject_or_fail(now_ms, id, reason, actions),
        }
    }

    fn class_terms(&self, request: &Request, wait_ms: f64) -> ClassTerms {
        match self.settings.classes.get(request.class) {
            Some(class) => ClassTerms {
                objective_ms: class.latency_objective_ms,
                deadline_ms: class.deadline_ms,
                weight: class.priority_weight,
                late_weight_factor: class.late_weight_factor,
            },
            None => ClassTerms {
                objective_ms: wait_ms,
                deadline_ms: wait_ms,
                weight: 1.0,
                late_weight_factor: 0.0,
            },
        }
    }

    /// Time that the client has spent on earlier tries, in milliseconds.
    ///
    /// A client with a short deadline looks like one at its last try. Where a late answer keeps some value,
    /// the client is believed.
    fn client_age_ms(&mut self, request: &Request, wait_ms: f64, terms: &ClassTerms) -> f64 {
        let Some(class) = self.classes.get_mut(request.class) else { return 0.0 };
        let is_retry = self.settings.clients_mark_retries.then_some(request.is_retry);
        let age_ms = if terms.late_weight_factor > 0.0 {
            0.0
        } else {
            class.estimate_client_age_ms(wait_ms + request.queued_ms, terms.deadline_ms, is_retry)
        };
        class.record_request(age_ms <= 0.0);
        age_ms
    }

    /// The work of a request, in milliseconds: its client's estimate, or else the mean of its class.
    fn cost_ms(&self, request: &Request) -> f64 {
        let usual = self.classes.get(request.class).map_or(1.0, |class| class.mean_ms());
        request.estimated_cost_ms.filter(|cost| cost.is_finite() && *cost > 0.0).unwrap_or(usual)
    }

    /// What admission sees of the node and the fleet.
    pub(super) fn fleet_view(&self) -> FleetView {
        FleetView {
            in_flight: self.in_flight,
            endpoints: self.endpoints.placement().len(),
            utilization: self.fleet_utilization.mean(),
        }
    }

    /// Sends an attempt, or answers where there is no endpoint to send it to.
    fn send_attempt(&mut self, now_ms: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let gate =
            SendGate { now_ms, settings: &self.settings, slow_start: &self.slow_start, request: pending };
        let selection = Selection {
            gate,
            endpoints: &self.endpoints,
            classes: &self.classes,
            keys: &self.key_frequencies,
            in_flight: self.in_flight,
            fleet_utilization: self.fleet_utilization.mean(),
            sees_sparse_traffic: self.tuning.sees_sparse_traffic,
        };
        let Some(index) = selection.select_endpoint(&mut self.rng) else {
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
        let attempt = self.begin_attempt(now_ms, index, timeout_ms);
        let endpoint = attempt.endpoint;
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.attempts.push(attempt);
        }
        actions.push(Action::SendAttempt { id, endpoint, timeout_ms, begin_within_ms });
    }

    /// How long an attempt at an endpoint is waited for, in milliseconds.
    fn attempt_timeout_ms(&self, now_ms: f64, pending: &PendingRequest, index: usize) -> f64 {
        let class = self.settings.classes.get(pending.request.class);
        let keeps_value_when_late = class.is_some_and(|class| class.late_weight_factor > 0.0);
        let allows_repeats = self.settings.idempotency(pending.request.class).allows_repeats();
        let timeout = AttemptTimeout {
            now_ms,
            request: pending,
            late_answers_wanted: keeps_value_when_late
                && self.admission.level() > LATE_ANSWERS_ADMISSION_LEVEL,
            may_be_short: self.endpoints[index].failures.is_in_doubt()
                && allows_repeats
                && self.retry_budget.affords_repeat(),
            statistics: self.classes.get(pending.request.class),
            batch_interval_ms: self.settings.batch_interval_ms,
        };
        timeout.timeout_ms()
    }

    /// Counts an attempt that is about to be sent.
    fn begin_attempt(&mut self, now_ms: f64, index: usize, timeout_ms: f64) -> Attempt {
        let endpoint = &mut self.endpoints[index];
        let tokens = self.slow_start.tokens(now_ms, &endpoint.slow_start, endpoint.served_per_second);
        endpoint.slow_start.set_tokens(now_ms, tokens - 1.0);
        endpoint.in_flight += 1;
        self.in_flight += 1;
        Attempt {
            endpoint: endpoint.id,
            location: endpoint.location,
            sent_at_ms: now_ms,
            timeout_ms,
            in_flight: true,
            never_ran: false,
            is_trial: endpoint.failures.attempt_sent(),
        }
    }

    /// Ends a request that no endpoint answered: rejects it if trying again does no harm, fails it
    /// otherwise. Every rejection and failure is decided here.
    fn reject_or_fail(
        &mut self,
        now_ms: f64,
        id: RequestId,
        reason: RejectionReason,
        actions: &mut Vec<Action>,
    ) {
        self.rejection_log.record(reason);
        let is_open = |pending: &&PendingRequest| !pending.finished && !pending.has_attempt_in_flight();
        let Some(pending) = self.requests.get(&id).filter(is_open) else { return };
        let idempotency = self.settings.idempotency(pending.request.class);
        let is_harmless = pending.never_ran() || idempotency.is_harmless_anywhere();
        let objective_ms = (pending.objective_at_ms - pending.arrived_at_ms).max(MIN_OBJECTIVE_MS);
        self.requests.remove(&id);
        if !is_harmless {
            actions.push(Action::Fail { id, reason });
            return;
        }
        let retry_after_ms = if self.settings.retry_after {
            let longest_ms = self.settings.max_retry_after_ms;
            retry_after_ms(now_ms, objective_ms, longest_ms, &self.endpoints, &mut self.rng)
        } else {
            0.0
        };
        actions.push(Action::Reject { id, retry_after_ms, reason });
    }

    /// The last byte of a request's body has come.
    pub(super) fn on_body_complete(&mut self, now_ms: f64, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.shift_to(now_ms);
        }
    }

    /// A client has gone.
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

    /// An attempt is over.
    pub(super) fn on_attempt_ended(
        &mut self,
        now_ms: f64,
        end: ReportedEnd,
        load: &LoadReport,
        actions: &mut Vec<Action>,
    ) {
        let Some(ended) = self.close_attempt(now_ms, &end) else { return };
        self.learn_from_attempt(now_ms, &ended, load, actions);
        if ended.in_objective
            && let Some(class) = self.classes.get_mut(ended.class)
        {
            class.record_served();
        }
        self.retry_or_finish(now_ms, end, actions);
    }

    /// Marks an attempt as ended, and says what is learned from it; none where it was not in flight.
    fn close_attempt(&mut self, now_ms: f64, end: &ReportedEnd) -> Option<EndedAttempt> {
        let pending = self.requests.get_mut(&end.id)?;
        let attempt = pending.attempts.get_mut(end.attempt as usize).filter(|attempt| attempt.in_flight)?;
        attempt.in_flight = false;
        attempt.never_ran = end.outcome.proves_not_executed();
        self.in_flight = self.in_flight.saturating_sub(1);
        pending.finished |= end.request_finished;
        // A time that is no number must not spoil what is learned.
        let since_sent_ms = now_ms - attempt.sent_at_ms;
        let elapsed_ms = if end.elapsed_ms.is_finite() { end.elapsed_ms } else { since_sent_ms };
        let is_answered = end.outcome == AttemptOutcome::Answered;
        Some(EndedAttempt {
            endpoint: attempt.endpoint,
            class: pending.request.class,
            outcome: end.outcome,
            is_trial: attempt.is_trial,
            in_objective: is_answered && now_ms <= pending.objective_at_ms,
            elapsed_ms: elapsed_ms.max(0.0),
            timeout_ms: attempt.timeout_ms,
            allowed_ms: pending.request.deadline_ms - attempt.sent_at_ms,
            weight: pending.weight,
        })
    }

    /// After the end of an attempt: the request is finished, retried, or given up.
    ///
    /// A request that may have run and must not run twice is given up before the retry budget and selection
    /// see it: it would use up budget, and count as a fleet with no usable endpoint.
    fn retry_or_finish(&mut self, now_ms: f64, end: ReportedEnd, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&end.id).filter(|pending| !pending.has_attempt_in_flight())
        else {
            return;
        };
        if pending.finished {
            self.requests.remove(&end.id);
            return;
        }
        let may_repeat =
            self.settings.idempotency(pending.request.class).allows_repeats() || pending.never_ran();
        let in_time = now_ms < pending.objective_at_ms;
        let cost = RetryBudget::cost(end.outcome);
        let was_sent = end.outcome != AttemptOutcome::NotSent;
        if !may_repeat {
            self.reject_or_fail(now_ms, end.id, RejectionReason::NotRetryable, actions);
        } else if was_sent && in_time && self.retry_budget.affords(cost) {
            self.retry_budget.withdraw(cost);
            self.send_attempt(now_ms, end.id, actions);
        } else {
            self.reject_or_fail(now_ms, end.id, RejectionReason::RetryBudgetExhausted, actions);
        }
    }
}
