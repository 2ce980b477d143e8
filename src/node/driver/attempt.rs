//! Sends the attempts that the decisions order, and reports how each ended.

use super::event::AttemptResponse;
use super::{Core, Driver, DriverEvent};
use crate::observability::counters::CounterKind;
use crate::observability::log;
use crate::observability::request_trace::WithheldReason;
use crate::system::clock::clamped_duration;
use crate::upstream::{Attempt, AttemptEnd, AttemptResult, UpstreamConnection};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use wheelpath::policy::{AttemptOutcome, EndpointId, RequestId};

/// Upper bound for the times of an order, which may be infinite, in milliseconds.
const MAX_SPAN_MS: f64 = 1e9;

/// An attempt as the decisions want it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptOrder {
    pub id: RequestId,
    pub endpoint: EndpointId,
    pub timeout_ms: f64,
    pub begin_within_ms: f64,
}

/// Reports the end of an attempt exactly once, when dropped, even if its task ends unexpectedly.
struct AttemptReport {
    driver: Rc<Driver>,
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    /// From when on the attempt's time counts.
    counts_from: Instant,
    result: Option<AttemptResult>,
}

impl AttemptReport {
    fn response(&mut self) -> AttemptResponse {
        // An attempt that ended without a result may have run.
        let result = self.result.take().unwrap_or_else(|| AttemptOutcome::ConnectionReset.into());
        AttemptResponse {
            id: self.id,
            attempt: self.attempt,
            endpoint: self.endpoint,
            result,
            elapsed_ms: self.counts_from.elapsed().as_secs_f64() * 1000.0,
        }
    }
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        let response = self.response();
        self.driver.take(DriverEvent::AttemptEnded(response));
    }
}

impl Driver {
    /// The one place in which an attempt begins. One that may not is reported as not sent.
    pub(super) fn send_attempt(self: &Rc<Self>, core: &mut Core, now_ms: f64, order: AttemptOrder) {
        let AttemptOrder { id, endpoint, timeout_ms, begin_within_ms } = order;
        let target = core.attempt_target(endpoint);
        let Some(open) = core.requests.get_mut(id) else { return };
        let mut report = AttemptReport {
            driver: self.clone(),
            id,
            attempt: open.next_attempt(),
            endpoint,
            counts_from: Instant::now(),
            result: Some(AttemptOutcome::NotSent.into()),
        };
        let allowed = core.guard.may_send(now_ms, &open.facts(), &target);
        let (cancel, cancelled) = oneshot::channel();
        open.add_attempt(endpoint, target.location, now_ms, cancel);
        if let Err(violation) = allowed {
            return core.counters.record_violation(violation, open.trace.id());
        }
        if !open.proxied.is_sendable() {
            open.trace.record_withheld(WithheldReason::BodySpent);
            return core.counters.count(CounterKind::Withheld, WithheldReason::BodySpent.name());
        }
        let Some(address) = core.endpoints.address(endpoint) else { return };
        report.result = None;
        let started_at = report.counts_from;
        let attempt = Attempt {
            endpoint,
            address,
            proxied: open.proxied.clone(),
            deadline: started_at + clamped_duration(timeout_ms, MAX_SPAN_MS),
            send_by: started_at + clamped_duration(begin_within_ms, MAX_SPAN_MS),
            started_at,
        };
        spawn_local(run_attempt(attempt, report, cancelled));
    }

    /// Keeps a connection unless its endpoint has drained, gone or moved meanwhile.
    fn keep_connection(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        connection: Option<UpstreamConnection>,
    ) {
        let core = self.core.borrow();
        let is_same = core.is_routable(endpoint) && core.endpoints.address(endpoint) == Some(address);
        if let Some(connection) = connection.filter(|_| is_same) {
            self.upstream.keep(endpoint, connection);
        }
    }

    /// Checks again right before the first byte of an attempt is sent, because connecting took time.
    fn still_wanted(&self, id: RequestId, attempt: &Attempt) -> Result<(), WithheldReason> {
        let mut core = self.core.borrow_mut();
        let is_routable = core.is_routable(attempt.endpoint);
        let Some(open) = core.requests.get_mut(id) else { return Err(WithheldReason::RequestOver) };
        let wanted = if !open.awaits_answer() {
            Err(WithheldReason::RequestOver)
        } else if !is_routable {
            Err(WithheldReason::EndpointWithdrawn)
        } else if Instant::now() >= attempt.send_by {
            Err(WithheldReason::RepeatTooLate)
        } else {
            Ok(())
        };
        if let Err(reason) = wanted {
            open.trace.record_withheld(reason);
            core.counters.count(CounterKind::Withheld, reason.name());
        }
        wanted
    }
}

/// Carries an attempt out until it ends or is cancelled. The task that runs this ends by itself, at the
/// latest with the attempt's timeout and, for a streamed response, with that; the end of the process ends
/// it too.
async fn run_attempt(attempt: Attempt, mut report: AttemptReport, mut cancelled: oneshot::Receiver<()>) {
    let driver = report.driver.clone();
    let end = drive_attempt(&driver, &attempt, &mut report, &mut cancelled).await;
    let (result, connection) = match end {
        AttemptEnd::Complete(result, connection) => (result, connection),
        AttemptEnd::Streaming(result, ended) => {
            report.result = Some(result);
            let response = report.response();
            driver.take(DriverEvent::ResponseStarted(response));
            let (outcome, connection) = ended.await.unwrap_or((AttemptOutcome::Cancelled, None));
            log_broken_stream(attempt.endpoint, outcome);
            (outcome.into(), connection)
        }
    };
    report.result = Some(result);
    drop(report);
    driver.keep_connection(attempt.endpoint, attempt.address, connection);
}

/// Waits for the end of an attempt or the beginning of a streamed response, while the request's body goes
/// on.
async fn drive_attempt(
    driver: &Rc<Driver>,
    attempt: &Attempt,
    report: &mut AttemptReport,
    cancelled: &mut oneshot::Receiver<()>,
) -> AttemptEnd {
    let id = report.id;
    let mut sent = pin!(driver.upstream.send_attempt(attempt, || driver.still_wanted(id, attempt)));
    let body_complete = async {
        match attempt.proxied.wait_until_body_complete().await {
            Some(at) => {
                driver.take(DriverEvent::RequestBodyComplete(id));
                at
            }
            None => std::future::pending().await,
        }
    };
    let mut body_complete = pin!(body_complete);
    loop {
        tokio::select! {
            biased;
            _ = &mut *cancelled => return AttemptEnd::Complete(AttemptOutcome::Cancelled.into(), None),
            at = &mut body_complete, if report.counts_from == attempt.started_at => report.counts_from = at,
            end = &mut sent => return end,
        }
    }
}

fn log_broken_stream(endpoint: EndpointId, outcome: AttemptOutcome) {
    if !matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
        log::line(&format!("{:016x} broke off an answer that had begun: {}", endpoint.0, outcome.name()));
    }
}
