//! The rules for the requests that a server receives.

use super::{Checker, DELAYED_WRITE_SLACK_SECONDS, Violation};
use crate::record::{ClientRequest, Rule, ServerAttempt, ServerChange, ServerChangeRecord};
use crate::server::{CORES, MEAN_SERVICE_TIME};
use crate::settings::{
    DRAIN_GRACE, INITIAL_CAPACITY_FRACTION, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, SLOW_START_TIME,
};

/// An attempt that reached a server in slow start.
struct SlowStartAttempt {
    /// When the last byte arrived, in seconds since the start of the record.
    at: f64,
    /// Whether the node that sent the attempt knew that the server had restarted.
    node_knew: bool,
}

impl Checker<'_> {
    /// Checks one attempt against all rules for single attempts.
    pub(super) fn check_attempt(&self, attempt: &ServerAttempt, found: &mut Vec<Violation>) {
        let Some(request) = self.requests.get(&attempt.id) else {
            // `Rule::DuplicateExecution`: a server receives no request that no client sent.
            let description = format!("{:016x}: no client sent it", attempt.id);
            let at = attempt.first_byte_at;
            return found.push(Violation { at, rule: Rule::DuplicateExecution, description });
        };
        found.extend(self.withdrawn_server(attempt, request));
        self.acknowledged_disable(attempt, request, found);
    }

    /// For how many seconds after a node learned that a server is out of service its attempts may still
    /// arrive there.
    fn grace(&self, at: f64) -> f64 {
        DRAIN_GRACE.as_secs_f64() + DELAYED_WRITE_SLACK_SECONDS + self.slack(at)
    }

    /// [`Rule::WithdrawnServer`]: a server that was withdrawn receives no new requests.
    fn withdrawn_server(&self, attempt: &ServerAttempt, request: &ClientRequest) -> Option<Violation> {
        let at = attempt.first_byte_at;
        let earlier_changes =
            self.changes.iter().filter(|change| change.server == attempt.server && change.at <= at);
        let last = earlier_changes.reduce(|a, b| if b.at >= a.at { b } else { a })?;
        let known_at = self.known_at(last, request.node);
        if last.change != ServerChange::Withdrawn || at <= known_at + self.grace(at) {
            return None;
        }
        let ServerAttempt { id, server, .. } = attempt;
        let description = format!(
            "{id:016x} of node {} to server {server} {:.3} s after the node learned that it was withdrawn",
            request.node,
            at - known_at
        );
        Some(Violation { at, rule: Rule::WithdrawnServer, description })
    }

    /// [`Rule::AcknowledgedDisable`]: a node sends nothing to a server that an admin command disabled at
    /// it.
    fn acknowledged_disable(
        &self,
        attempt: &ServerAttempt,
        request: &ClientRequest,
        found: &mut Vec<Violation>,
    ) {
        let at = attempt.first_byte_at;
        for period in self.record.disabled_periods.lock().unwrap().iter() {
            let concerns_attempt = period.node == request.node && period.server == attempt.server;
            if !concerns_attempt || at <= period.from + self.grace(at) || at >= period.until {
                continue;
            }
            let ServerAttempt { id, server, .. } = attempt;
            let description = format!(
                "{id:016x} of node {} to server {server} {:.3} s after the command that disabled it",
                request.node,
                at - period.from
            );
            found.push(Violation { at, rule: Rule::AcknowledgedDisable, description });
        }
    }

    /// [`Rule::SlowStartOverload`]: a server in slow start receives no more than its limit in any window,
    /// if most of the requests are from nodes that knew of the restart.
    pub(super) fn slow_start_overload(&self, attempts: &[ServerAttempt], found: &mut Vec<Violation>) {
        let restarts = self.changes.iter().filter(|change| change.change == ServerChange::Restarted);
        found.extend(restarts.filter_map(|restart| self.first_overload(restart, attempts)));
    }

    /// The first window after a restart in which the server received too many requests; `None` if there is
    /// none. A window counts only if more than two thirds of its requests are from nodes that knew of the
    /// restart.
    fn first_overload(
        &self,
        restart: &ServerChangeRecord,
        attempts: &[ServerAttempt],
    ) -> Option<Violation> {
        let slow_start = self.slow_start_attempts(restart, attempts);
        let window = OVERLOAD_WINDOW.as_secs_f64();
        for (index, SlowStartAttempt { at: from, .. }) in slow_start.iter().enumerate() {
            let in_window = slow_start[index..].iter().take_while(|attempt| attempt.at - from <= window);
            let (mut count, mut from_informed_nodes) = (0, 0);
            for attempt in in_window {
                count += 1;
                from_informed_nodes += usize::from(attempt.node_knew);
            }
            let limit = max_requests_in_window(from + window - restart.at);
            if count as f64 > limit && from_informed_nodes * 3 > count * 2 {
                let description = format!(
                    "server {} got {count} requests in {window} s, {:.1} s after it restarted; \
                     {limit:.0} are allowed",
                    restart.server,
                    from - restart.at
                );
                return Some(Violation { at: *from, rule: Rule::SlowStartOverload, description });
            }
        }
        None
    }

    /// The attempts that the server received during its slow start, in order of time.
    fn slow_start_attempts(
        &self,
        restart: &ServerChangeRecord,
        attempts: &[ServerAttempt],
    ) -> Vec<SlowStartAttempt> {
        let slow_start = restart.at..restart.at + SLOW_START_TIME.as_secs_f64();
        let is_in_slow_start =
            |a: &&ServerAttempt| a.server == restart.server && slow_start.contains(&a.last_byte_at);
        let slow_start_attempt = |attempt: &ServerAttempt| {
            let request = self.requests.get(&attempt.id)?;
            let node_knew = self.known_at(restart, request.node) <= attempt.first_byte_at;
            Some(SlowStartAttempt { at: attempt.last_byte_at, node_knew })
        };
        let mut found: Vec<SlowStartAttempt> =
            attempts.iter().filter(is_in_slow_start).filter_map(slow_start_attempt).collect();
        found.sort_by(|a, b| a.at.total_cmp(&b.at));
        found
    }
}

/// The number of requests that a server may receive in the window that ends `age_seconds` after its
/// restart.
///
/// With N for the number that the settings allow at that age, this is N + 2 √N + 2, or N + 3 √N + 3 if N is
/// less than 30. The excess over N covers the random variation of arrivals.
fn max_requests_in_window(age_seconds: f64) -> f64 {
    let full_rate_per_second = CORES as f64 / MEAN_SERVICE_TIME.as_secs_f64();
    let progress = (age_seconds / SLOW_START_TIME.as_secs_f64()).clamp(0.0, 1.0);
    let capacity = INITIAL_CAPACITY_FRACTION + (1.0 - INITIAL_CAPACITY_FRACTION) * progress;
    let budget = OVERLOAD_MULTIPLE * full_rate_per_second * capacity * OVERLOAD_WINDOW.as_secs_f64();
    let deviations = if budget < 30.0 { 3.0 } else { 2.0 };
    budget + deviations * budget.sqrt() + deviations
}
