//! The rules on one request and its attempts.

use super::{HOLD_SLACK, Judge, Violation};
use crate::record::{ClientAnswer, ClientRequest, ConnectionClose, Rule, ServerAttempt};
use crate::settings::{DEDUPLICATION_WINDOW, MAX_ATTEMPTS, RequestClass};

/// An answer so late is lost, in seconds.
const LOST_AFTER: f64 = 0.5;
/// An attempt may begin so long after its client has gone, in seconds.
const GONE_SLACK: f64 = 0.1;
/// A server may be given this much more time than is left, in seconds.
const DEADLINE_SLACK: f64 = 0.15;

/// One request under judgement.
struct Case<'a> {
    id: u64,
    request: &'a ClientRequest,
    attempts: &'a [&'a ServerAttempt],
}

impl Case<'_> {
    fn violation(&self, at: f64, rule: Rule, what: &str) -> Violation {
        let Case { id, request, .. } = self;
        let description = format!("{id:016x} {} at node {}: {what}", request.class.name(), request.node);
        Violation { at, rule, description }
    }

    /// An attempt reached a server that did not reject it.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.rejected)
    }
}

impl Judge<'_> {
    /// Judges one request by all rules on requests.
    pub(super) fn judge_request(
        &self,
        id: u64,
        request: &ClientRequest,
        attempts: &[&ServerAttempt],
        found: &mut Vec<Violation>,
    ) {
        let case = Case { id, request, attempts };
        found.extend(self.lost(&case));
        found.extend(self.truth(&case));
        found.extend(self.duplicate(&case));
        found.extend(self.attempts(&case));
        for attempt in attempts {
            found.extend(self.deadline(&case, attempt));
            found.extend(self.gone(&case, attempt));
        }
    }

    /// Rule `Lost`: one final answer in time.
    fn lost(&self, case: &Case<'_>) -> Option<Violation> {
        let request = case.request;
        match &request.answer {
            Some(answer) => self.late(case, answer),
            None if request.left_at.is_some_and(|left_at| left_at < request.deadline()) => None,
            None => self.unanswered(case),
        }
    }

    fn late(&self, case: &Case<'_>, answer: &ClientAnswer) -> Option<Violation> {
        let (request, at) = (case.request, answer.at);
        let is_late = at > request.deadline() + LOST_AFTER + self.slack(at);
        if !is_late || self.was_killed(request.node, request.sent_at, at) {
            return None;
        }
        let late_by = at - request.deadline();
        let what = format!("answered {} {late_by:.3} s after its time", answer.status);
        Some(case.violation(at, Rule::Lost, &what))
    }

    fn unanswered(&self, case: &Case<'_>) -> Option<Violation> {
        let request = case.request;
        let (at, how) = match request.closed {
            Some(ConnectionClose { at, within_answer: true }) => (at, "its answer was cut"),
            Some(ConnectionClose { at, within_answer: false }) => (at, "closed with no answer"),
            None => (request.deadline(), "no answer"),
        };
        let is_closed_before_answer = request.closed.is_some_and(|closed| !closed.within_answer);
        // A reused connection that ends as a request comes is no loss, unless the request was read.
        let crossed_close = !request.new_connection && is_closed_before_answer;
        let is_lost = !crossed_close || !case.attempts.is_empty();
        if !is_lost || self.was_killed(request.node, request.sent_at, at) {
            return None;
        }
        let what = format!("{how}, {:.3} s after it was sent", at - request.sent_at);
        Some(case.violation(at, Rule::Lost, &what))
    }

    /// The process that had a request was killed before it could answer, or there was none yet.
    fn was_killed(&self, node: usize, from: f64, until: f64) -> bool {
        let gaps = self.record.gaps.lock().unwrap();
        let mut kills = gaps.iter().filter(|gap| gap.node == node && gap.killed);
        let slack = self.slack(until);
        kills.any(|gap| gap.until >= from - slack && gap.from <= until + slack)
    }

    /// Rule `Truth`: an answer was made by a server for this request, and a rejection does no harm.
    fn truth(&self, case: &Case<'_>) -> Option<Violation> {
        let ClientAnswer { status, body, .. } = case.request.answer.as_ref()?;
        let is_made_by = |attempt: &&ServerAttempt| {
            body.contains(&format!("{:016x} served by {} ", attempt.id, attempt.server))
        };
        let sent_at = case.request.sent_at;
        match status {
            200 if !case.attempts.iter().any(is_made_by) => {
                Some(case.violation(sent_at, Rule::Truth, &format!("served with {body:?}")))
            }
            429 | 503 if case.request.class == RequestClass::Order && case.may_have_run() => {
                let what = format!("refused with {status} though it may have run");
                Some(case.violation(sent_at, Rule::Truth, &what))
            }
            _ => None,
        }
    }

    /// Rule `Duplicate`: a request runs no more often than its class allows.
    fn duplicate(&self, case: &Case<'_>) -> Option<Violation> {
        let mut runs: Vec<f64> =
            case.attempts.iter().filter(|a| !a.rejected).map(|a| a.complete_at).collect();
        runs.sort_by(f64::total_cmp);
        let (first, last) = (*runs.first()?, *runs.last()?);
        let apart = last - first;
        let window = DEDUPLICATION_WINDOW.as_secs_f64() + self.slack(last);
        match case.request.class {
            RequestClass::Order if runs.len() > 1 => {
                Some(case.violation(last, Rule::Duplicate, &format!("ran {} times", runs.len())))
            }
            RequestClass::Bid if apart > window => {
                let what = format!("repeated {apart:.3} s after it had run");
                Some(case.violation(last, Rule::Duplicate, &what))
            }
            _ => None,
        }
    }

    /// Rule `Attempts`: no more than allowed.
    fn attempts(&self, case: &Case<'_>) -> Option<Violation> {
        let count = case.attempts.len();
        let what = format!("{count} attempts");
        (count > MAX_ATTEMPTS).then(|| case.violation(case.request.sent_at, Rule::Attempts, &what))
    }

    /// Rule `Deadline`: a server is given no more time than is left.
    fn deadline(&self, case: &Case<'_>, attempt: &ServerAttempt) -> Option<Violation> {
        let at = attempt.complete_at;
        let timeout = attempt.timeout?;
        let left = case.request.deadline() - at;
        let what = format!("told {timeout:.3} s with {left:.3} s left");
        (timeout > left + DEADLINE_SLACK + self.slack(at))
            .then(|| case.violation(at, Rule::Deadline, &what))
    }

    /// Rule `Gone`: no attempt begins for a client that has gone.
    fn gone(&self, case: &Case<'_>, attempt: &ServerAttempt) -> Option<Violation> {
        let at = attempt.first_byte_at;
        let after = at - case.request.left_at?;
        let what = format!("sent {after:.3} s after its client left");
        (after > GONE_SLACK + HOLD_SLACK + self.slack(at)).then(|| case.violation(at, Rule::Gone, &what))
    }
}
