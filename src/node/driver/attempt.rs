//! Sends the attempts that the decisions order, and reports how each ended.

use super::event::AttemptReport;
use super::{Driver, DriverEvent, DriverState};
use crate::observability::counters::CounterKind;
use crate::observability::log;
use crate::observability::request_trace::WithheldReason;
use crate::system::clock::span;
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
pub(super) struct AttemptParameters {
    pub id: RequestId,
    pub endpoint: EndpointId,
    pub timeout_ms: f64,
    pub begin_within_ms: f64,
}

/// Reports the end of an attempt exactly once, when dropped, even if its task ends unexpectedly.
struct AttemptReporter {
    driver: Rc<Driver>,
    id: RequestId,
    attempt: u32,
    endpoint: EndpointId,
    /// From when on the attempt's time counts.
    timing_start: Instant,
    result: Option<AttemptResult>,
}

impl AttemptReporter {
    fn report(&mut self) -> AttemptReport {
        // An attempt that ended without a result may have run.
        let result = self.result.take().unwrap_or_else(|| AttemptOutcome::ConnectionReset.into());
        AttemptReport {
            id: self.id,
            attempt: self.attempt,
            endpoint: self.endpoint,
            result,
            elapsed_ms: self.timing_start.elapsed().as_secs_f64() * 1000.0,
        }
    }
}

impl Drop for AttemptReporter {
    fn drop(&mut self) {
        let report = self.report();
        self.driver.handle(DriverEvent::AttemptEnded(report));
    }
}

impl Driver {
    /// The one place in which an attempt begins. One that may not is reported as not sent.
    pub(super) fn send_attempt(
        self: &Rc<Self>,
        state: &mut DriverState,
        now_ms: f64,
        parameters: AttemptParameters,
    ) {
        let AttemptParameters { id, endpoint, timeout_ms, begin_within_ms } = parameters;
        let target = state.attempt_target(endpoint);
        let Some(open_request) = state.requests.get_mut(id) else { return };
        let mut reporter = AttemptReporter {
            driver: self.clone(),
            id,
            attempt: open_request.next_attempt(),
            endpoint,
            timing_start: Instant::now(),
            result: Some(AttemptOutcome::NotSent.into()),
        };
        let permission = state.guard.may_send(now_ms, &open_request.facts(), &target);
        let (cancel_handle, cancellation) = oneshot::channel();
        open_request.add_attempt(endpoint, target.location, now_ms, cancel_handle);
        if let Err(violation) = permission {
            return state.counters.violation(violation, open_request.trace.id());
        }
        if !open_request.proxied.is_sendable() {
            open_request.trace.withheld(WithheldReason::BodySpent);
            return state.counters.count(CounterKind::Withheld, WithheldReason::BodySpent.name());
        }
        let Some(address) = state.endpoints.address(endpoint) else { return };
        reporter.result = None;
        let begun_at = reporter.timing_start;
        let attempt = Attempt {
            endpoint,
            address,
            proxied: open_request.proxied.clone(),
            until: begun_at + span(timeout_ms, MAX_SPAN_MS),
            begin_by: begun_at + span(begin_within_ms, MAX_SPAN_MS),
            begun_at,
        };
        spawn_local(run_attempt(attempt, reporter, cancellation));
    }

    /// Keeps a connection unless its endpoint has drained, gone or moved meanwhile.
    fn return_connection_to_pool(
        &self,
        endpoint: EndpointId,
        address: SocketAddr,
        connection: Option<UpstreamConnection>,
    ) {
        let state = self.state.borrow();
        let is_reusable = state.is_routable(endpoint) && state.endpoints.address(endpoint) == Some(address);
        if let Some(connection) = connection.filter(|_| is_reusable) {
            self.upstream.keep(endpoint, connection);
        }
    }

    /// Checks again right before the first byte of an attempt is sent, because connecting took time.
    fn check_before_send(&self, id: RequestId, attempt: &Attempt) -> Result<(), WithheldReason> {
        let mut state = self.state.borrow_mut();
        let is_routable = state.is_routable(attempt.endpoint);
        let Some(open_request) = state.requests.get_mut(id) else {
            return Err(WithheldReason::RequestOver);
        };
        let check_result = if !open_request.awaits_answer() {
            Err(WithheldReason::RequestOver)
        } else if !is_routable {
            Err(WithheldReason::EndpointWithdrawn)
        } else if Instant::now() >= attempt.begin_by {
            Err(WithheldReason::RepeatTooLate)
        } else {
            Ok(())
        };
        if let Err(reason) = check_result {
            open_request.trace.withheld(reason);
            state.counters.count(CounterKind::Withheld, reason.name());
        }
        check_result
    }
}

/// Carries an attempt out until it ends or is cancelled. The task that runs this ends by itself, at the
/// latest with the attempt's timeout and, for a streamed response, with that; the end of the process ends
/// it too.
async fn run_attempt(
    attempt: Attempt,
    mut reporter: AttemptReporter,
    mut cancellation: oneshot::Receiver<()>,
) {
    let driver = reporter.driver.clone();
    let end = drive_attempt(&driver, &attempt, &mut reporter, &mut cancellation).await;
    let (result, connection) = match end {
        AttemptEnd::Complete(result, connection) => (result, connection),
        AttemptEnd::Streaming(result, stream_end) => {
            reporter.result = Some(result);
            let report = reporter.report();
            driver.handle(DriverEvent::ResponseStarted(report));
            let (outcome, connection) = stream_end.await.unwrap_or((AttemptOutcome::Cancelled, None));
            log_broken_stream(attempt.endpoint, outcome);
            (outcome.into(), connection)
        }
    };
    reporter.result = Some(result);
    drop(reporter);
    driver.return_connection_to_pool(attempt.endpoint, attempt.address, connection);
}

/// Waits for the end of an attempt or the beginning of a streamed response, while the request's body goes
/// on.
async fn drive_attempt(
    driver: &Rc<Driver>,
    attempt: &Attempt,
    reporter: &mut AttemptReporter,
    cancellation: &mut oneshot::Receiver<()>,
) -> AttemptEnd {
    let id = reporter.id;
    let mut attempt_end = pin!(driver.upstream.attempt(attempt, || driver.check_before_send(id, attempt)));
    let body_complete = async {
        match attempt.proxied.body_complete().await {
            Some(completed_at) => {
                driver.handle(DriverEvent::RequestBodyComplete(id));
                completed_at
            }
            None => std::future::pending().await,
        }
    };
    let mut body_complete = pin!(body_complete);
    loop {
        tokio::select! {
            biased;
            _ = &mut *cancellation => return AttemptEnd::Complete(AttemptOutcome::Cancelled.into(), None),
            completed_at = &mut body_complete, if reporter.timing_start == attempt.begun_at => {
                reporter.timing_start = completed_at;
            }
            end = &mut attempt_end => return end,
        }
    }
}

fn log_broken_stream(endpoint: EndpointId, outcome: AttemptOutcome) {
    if !matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
        log::line(&format!("{:016x} broke off an answer that had begun: {}", endpoint.0, outcome.name()));
    }
}
