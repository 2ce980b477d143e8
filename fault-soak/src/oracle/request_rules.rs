//! The rules for one request and its attempts.

use super::{Checker, DELAYED_WRITE_SLACK_SECONDS, Violation};
use crate::process::kill_delay;
use crate::record::{ClientRequest, ClientResponse, ConnectionClose, CutResponse, Rule, ServerAttempt};
use crate::settings::{DEDUPLICATION_WINDOW, MAX_ATTEMPTS, RequestClass};

/// How long after its deadline a request must have a response at the latest.
const LATE_RESPONSE_LIMIT_SECONDS: f64 = 0.5;
/// How long after the client closed its connection an attempt may still begin.
const ABANDONED_SLACK_SECONDS: f64 = 0.1;
/// By how much the time that a server is given may exceed the time that the client has left.
const DEADLINE_SLACK_SECONDS: f64 = 0.15;

/// How long after its head a response must have been cut off to be a violation. A node that is held up may
/// read the head this late.
const MIN_CUT_SECONDS: f64 = 0.15;

/// A request with all of its attempts that reached a server.
struct RequestHistory<'a> {
    id: u64,
    request: &'a ClientRequest,
    attempts: &'a [&'a ServerAttempt],
}

impl RequestHistory<'_> {
    fn violation(&self, at: f64, rule: Rule, detail: &str) -> Violation {
        let RequestHistory { id, request, .. } = self;
        let description = format!("{id:016x} {} at node {}: {detail}", request.class.name(), request.node);
        Violation { at, rule, description }
    }

    /// Whether an attempt reached a server that did not reject it.
    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.rejected)
    }
}

impl Checker<'_> {
    /// Checks one request against all rules of this module.
    pub(super) fn check_request(
        &self,
        id: u64,
        request: &ClientRequest,
        attempts: &[&ServerAttempt],
        found: &mut Vec<Violation>,
    ) {
        let history = RequestHistory { id, request, attempts };
        found.extend(self.lost_response(&history));
        found.extend(self.response_correctness(&history));
        found.extend(self.duplicate_execution(&history));
        found.extend(self.attempt_limit(&history));
        for attempt in attempts {
            found.extend(self.deadline(&history, attempt));
            found.extend(self.abandoned_request(&history, attempt));
        }
    }

    /// [`Rule::LostResponse`]: each request gets one final response in time, unless its client closed the
    /// connection before the deadline.
    fn lost_response(&self, history: &RequestHistory<'_>) -> Option<Violation> {
        let request = history.request;
        match &request.response {
            Some(response) => self.late_response(history, response),
            None if request.abandoned_at.is_some_and(|at| at < request.deadline()) => None,
            None => self.missing_response(history),
        }
    }

    fn late_response(&self, history: &RequestHistory<'_>, response: &ClientResponse) -> Option<Violation> {
        let (request, at) = (history.request, response.at);
        let is_late = at > request.deadline() + LATE_RESPONSE_LIMIT_SECONDS + self.slack(at);
        if !is_late || self.was_killed(request.node, request.sent_at, at) {
            return None;
        }
        let late_by = at - request.deadline();
        let detail = format!("got status {} {late_by:.3} s after its deadline", response.status);
        Some(history.violation(at, Rule::LostResponse, &detail))
    }

    fn missing_response(&self, history: &RequestHistory<'_>) -> Option<Violation> {
        let request = history.request;
        let (at, outcome) = match request.connection_close {
            Some(ConnectionClose { at, mid_response: true }) => (at, "the response was truncated"),
            Some(ConnectionClose { at, mid_response: false }) => (at, "closed without a response"),
            None => (request.deadline(), "no response"),
        };
        let is_closed_before_response = request.connection_close.is_some_and(|close| !close.mid_response);
        // A node may close an idle connection while the client writes the next request to it. The client
        // then retries on a new connection, so the response is lost only if the node had read the request.
        let is_close_race = !request.on_new_connection && is_closed_before_response;
        let is_lost = !is_close_race || !history.attempts.is_empty();
        let was_begun =
            request.is_response_partial || request.connection_close.is_some_and(|close| close.mid_response);
        let is_disrupted = self.record.disrupted_responses.lock().unwrap().contains(&history.id);
        if !is_lost || is_disrupted && was_begun || self.was_killed(request.node, request.sent_at, at) {
            return None;
        }
        let detail = format!("{outcome}, {:.3} s after it was sent", at - request.sent_at);
        Some(history.violation(at, Rule::LostResponse, &detail))
    }

    /// [`Rule::CutResponse`]: a response that a server still writes is not cut off, unless its client has left
    /// or its node was being stopped.
    pub(super) fn cut_response(&self, cut: &CutResponse) -> Option<Violation> {
        let request = self.requests.get(&cut.id)?;
        let slack = self.slack(cut.at);
        let has_left = request.abandoned_at.is_some_and(|at| at <= cut.at + slack);
        let stop_time = kill_delay().as_secs_f64();
        let gaps = self.record.process_gaps.lock().unwrap();
        let was_stopped = gaps.iter().filter(|gap| gap.node == request.node).any(|gap| {
            let stop = gap.from - slack..=gap.from + stop_time + slack;
            stop.contains(&cut.at)
        });
        // An attempt may be given up before its node has read the head.
        let written_for = cut.at - cut.head_at;
        if has_left || was_stopped || written_for < MIN_CUT_SECONDS + slack {
            return None;
        }
        let description = format!(
            "{:016x} {} at node {}: cut off {written_for:.3} s after server {} had written the head",
            cut.id,
            request.class.name(),
            request.node,
            cut.server
        );
        Some(Violation { at: cut.at, rule: Rule::CutResponse, description })
    }

    /// Whether the node's process was killed, or its successor was not yet ready, at any time in the
    /// period.
    fn was_killed(&self, node: usize, from: f64, until: f64) -> bool {
        let gaps = self.record.process_gaps.lock().unwrap();
        let mut kills = gaps.iter().filter(|gap| gap.node == node && gap.killed);
        let slack = self.slack(until);
        kills.any(|gap| gap.until >= from - slack && gap.from <= until + slack)
    }

    /// [`Rule::ResponseCorrectness`]: a response with status 200 is one that a server made for this
    /// request, and an at-most-once request is not rejected if it may have run, because its client would
    /// send it again.
    fn response_correctness(&self, history: &RequestHistory<'_>) -> Option<Violation> {
        let ClientResponse { status, body, .. } = history.request.response.as_ref()?;
        let is_from = |attempt: &&ServerAttempt| {
            body.contains(&format!("{:016x} served by {} ", attempt.id, attempt.server))
        };
        let sent_at = history.request.sent_at;
        match status {
            200 if !history.attempts.iter().any(is_from) => {
                let detail = format!("served with {body:?}");
                Some(history.violation(sent_at, Rule::ResponseCorrectness, &detail))
            }
            429 | 503 if history.request.class == RequestClass::Order && history.may_have_run() => {
                let detail = format!("rejected with {status} though it may have run");
                Some(history.violation(sent_at, Rule::ResponseCorrectness, &detail))
            }
            _ => None,
        }
    }

    /// [`Rule::DuplicateExecution`]: a request runs no more often than its class allows.
    fn duplicate_execution(&self, history: &RequestHistory<'_>) -> Option<Violation> {
        let mut runs: Vec<f64> =
            history.attempts.iter().filter(|a| !a.rejected).map(|a| a.last_byte_at).collect();
        runs.sort_by(f64::total_cmp);
        let (first, last) = (*runs.first()?, *runs.last()?);
        let elapsed = last - first;
        let window = DEDUPLICATION_WINDOW.as_secs_f64() + self.slack(last);
        match history.request.class {
            RequestClass::Order if runs.len() > 1 => {
                let detail = format!("ran {} times", runs.len());
                Some(history.violation(last, Rule::DuplicateExecution, &detail))
            }
            RequestClass::Bid if elapsed > window => {
                let detail = format!("repeated {elapsed:.3} s after it had run");
                Some(history.violation(last, Rule::DuplicateExecution, &detail))
            }
            _ => None,
        }
    }

    /// [`Rule::AttemptLimit`]: a request has at most `MAX_ATTEMPTS` attempts.
    fn attempt_limit(&self, history: &RequestHistory<'_>) -> Option<Violation> {
        let count = history.attempts.len();
        let detail = format!("{count} attempts");
        (count > MAX_ATTEMPTS)
            .then(|| history.violation(history.request.sent_at, Rule::AttemptLimit, &detail))
    }

    /// [`Rule::Deadline`]: a server is given no more time than the client has left.
    fn deadline(&self, history: &RequestHistory<'_>, attempt: &ServerAttempt) -> Option<Violation> {
        let at = attempt.last_byte_at;
        let timeout = attempt.timeout_seconds?;
        let remaining = history.request.deadline() - at;
        let detail = format!("the server was given {timeout:.3} s with {remaining:.3} s left");
        (timeout > remaining + DEADLINE_SLACK_SECONDS + self.slack(at))
            .then(|| history.violation(at, Rule::Deadline, &detail))
    }

    /// [`Rule::AbandonedRequest`]: no attempt begins after the client has closed its connection.
    fn abandoned_request(
        &self,
        history: &RequestHistory<'_>,
        attempt: &ServerAttempt,
    ) -> Option<Violation> {
        let at = attempt.first_byte_at;
        let elapsed = at - history.request.abandoned_at?;
        let detail = format!("sent {elapsed:.3} s after its client closed the connection");
        (elapsed > ABANDONED_SLACK_SECONDS + DELAYED_WRITE_SLACK_SECONDS + self.slack(at))
            .then(|| history.violation(at, Rule::AbandonedRequest, &detail))
    }
}
