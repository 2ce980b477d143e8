//! The rules on what a server gets.

use super::{HOLD_SLACK, Judge, Violation};
use crate::record::{ChangeRecord, ClientRequest, Rule, ServerAttempt, ServerChange};
use crate::server::{CORES, WORK};
use crate::settings::{DRAIN_GRACE, INITIAL_CAPACITY, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, SLOW_START_TIME};

/// An attempt at a server in slow start, and whether its node knew that the server had started.
struct ColdAttempt {
    at: f64,
    node_knew: bool,
}

impl Judge<'_> {
    /// Judges one attempt by all rules on attempts.
    pub(super) fn judge_attempt(&self, attempt: &ServerAttempt, found: &mut Vec<Violation>) {
        let Some(request) = self.requests.get(&attempt.id) else {
            // Rule `Duplicate`: no request is made up.
            let description = format!("{:016x}: no client sent it", attempt.id);
            let at = attempt.first_byte_at;
            return found.push(Violation { at, rule: Rule::Duplicate, description });
        };
        found.extend(self.drain(attempt, request));
        self.done(attempt, request, found);
    }

    /// For how long after a node knows may still be sent to a server, in seconds.
    fn grace(&self, at: f64) -> f64 {
        DRAIN_GRACE.as_secs_f64() + HOLD_SLACK + self.slack(at)
    }

    /// Rule `Drain`: nothing new goes to a server that was withdrawn.
    fn drain(&self, attempt: &ServerAttempt, request: &ClientRequest) -> Option<Violation> {
        let at = attempt.first_byte_at;
        let before =
            self.changes.iter().filter(|change| change.server == attempt.server && change.at <= at);
        let last = before.reduce(|a, b| if b.at >= a.at { b } else { a })?;
        let known_at = self.known_at(last, request.node);
        if last.change != ServerChange::Withdrawn || at <= known_at + self.grace(at) {
            return None;
        }
        let ServerAttempt { id, server, .. } = attempt;
        let description = format!(
            "{id:016x} of node {} to server {server} {:.3} s after it was told that this leaves",
            request.node,
            at - known_at
        );
        Some(Violation { at, rule: Rule::Drain, description })
    }

    /// Rule `Done`: nothing goes to a server that the operators have out of service.
    fn done(&self, attempt: &ServerAttempt, request: &ClientRequest, found: &mut Vec<Violation>) {
        let at = attempt.first_byte_at;
        for period in self.record.disabled.lock().unwrap().iter() {
            let concerns = period.node == request.node && period.server == attempt.server;
            if !concerns || at <= period.from + self.grace(at) || at >= period.until {
                continue;
            }
            let ServerAttempt { id, server, .. } = attempt;
            let description = format!(
                "{id:016x} of node {} to server {server} {:.3} s after the call that took it out of service",
                request.node,
                at - period.from
            );
            found.push(Violation { at, rule: Rule::Done, description });
        }
    }

    /// Rule `Cold`: no server in slow start gets more than it may in any window, from nodes that knew.
    pub(super) fn cold(&self, attempts: &[ServerAttempt], found: &mut Vec<Violation>) {
        let starts = self.changes.iter().filter(|change| change.change == ServerChange::Restarted);
        found.extend(starts.filter_map(|start| self.overfed(start, attempts)));
    }

    /// The first window in which a server got too much after a start.
    fn overfed(&self, start: &ChangeRecord, attempts: &[ServerAttempt]) -> Option<Violation> {
        let cold = self.cold_attempts(start, attempts);
        let window = OVERLOAD_WINDOW.as_secs_f64();
        for (index, ColdAttempt { at: from, .. }) in cold.iter().enumerate() {
            let inside = cold[index..].iter().take_while(|attempt| attempt.at - from <= window);
            let (mut count, mut of_knowing) = (0, 0);
            for attempt in inside {
                count += 1;
                of_knowing += usize::from(attempt.node_knew);
            }
            let most = allowed_in_window(from + window - start.at);
            if count as f64 > most && of_knowing * 3 > count * 2 {
                let description = format!(
                    "server {} got {count} requests in {window} s, {:.1} s after it started; {most:.0} are allowed",
                    start.server,
                    from - start.at
                );
                return Some(Violation { at: *from, rule: Rule::Cold, description });
            }
        }
        None
    }

    /// What a server got during its slow start, in order.
    fn cold_attempts(&self, start: &ChangeRecord, attempts: &[ServerAttempt]) -> Vec<ColdAttempt> {
        let cold_time = start.at..start.at + SLOW_START_TIME.as_secs_f64();
        let of_start = |a: &&ServerAttempt| a.server == start.server && cold_time.contains(&a.complete_at);
        let cold_attempt = |attempt: &ServerAttempt| {
            let request = self.requests.get(&attempt.id)?;
            let node_knew = self.known_at(start, request.node) <= attempt.first_byte_at;
            Some(ColdAttempt { at: attempt.complete_at, node_knew })
        };
        let mut cold: Vec<ColdAttempt> =
            attempts.iter().filter(of_start).filter_map(cold_attempt).collect();
        cold.sort_by(|a, b| a.at.total_cmp(&b.at));
        cold
    }
}

/// Requests that a server may get in the window that ends so long after its start: N + 2 x root of N + 2, N
/// being what the settings allow it then; N + 3 x root of N + 3 for N under 30.
fn allowed_in_window(age: f64) -> f64 {
    let warm_rate = CORES as f64 / WORK.as_secs_f64();
    let warmed = (age / SLOW_START_TIME.as_secs_f64()).clamp(0.0, 1.0);
    let capacity = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * warmed;
    let budget = OVERLOAD_MULTIPLE * warm_rate * capacity * OVERLOAD_WINDOW.as_secs_f64();
    let deviations = if budget < 30.0 { 3.0 } else { 2.0 };
    budget + deviations * budget.sqrt() + deviations
}
