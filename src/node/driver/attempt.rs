//! Sends the attempts that the balancer decides on, and reports how each of them ends.
//!
//! The state may change between the decision and the first byte of the attempt, because connecting takes
//! time. So the driver checks an attempt against the invariants before it connects, and checks once it
//! has a connection that the attempt may still begin. An [`AttemptReporter`] guarantees that the balancer
//! learns the end of each attempt, whatever happens to the task that sends it.

use super::event::AttemptReport;
use super::{Driver, DriverEvent, DriverState};
use crate::observability::counters::CounterKind;
use crate::observability::log;
use crate::observability::request_trace::{WithheldReason, trace_id_text};
use crate::system::clock::clamped_duration;
use crate::system::socket::ReadAhead;
use crate::upstream::{Attempt, AttemptEnd, AttemptResult, BodyCompletion, UpstreamConnection};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use wheelpath::policy::{AttemptOutcome, EndpointId, RequestId};

/// Upper bound of the times in [`AttemptParameters`], in milliseconds. The balancer may set an infinite
/// time.
const MAX_DURATION_MS: f64 = 1e9;

/// The parameters of an attempt, from [`Action::SendAttempt`](wheelpath::policy::Action::SendAttempt).
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptParameters {
    pub id: RequestId,
    pub endpoint: EndpointId,
    /// Timeout of the attempt, in milliseconds.
    pub timeout_ms: f64,
    /// Time within which the first byte may be sent, in milliseconds; may be infinite.
    pub begin_within_ms: f64,
}

/// A guard that reports the end of one attempt when it is dropped, so exactly once, even if the task of
/// the attempt ends unexpectedly.
struct AttemptReporter {
    driver: Rc<Driver>,
    id: RequestId,
    /// Number of the attempt within its request, from 0.
    attempt: u32,
    endpoint: EndpointId,
    /// When the measured duration of the attempt starts: when it was decided on, or when the request's
    /// body had been forwarded if that was later.
    timing_start: Instant,
    /// The result to report; `None` until it is known.
    result: Option<AttemptResult>,
}

impl AttemptReporter {
    fn report(&mut self) -> AttemptReport {
        // If the task ended without a result, the endpoint may have executed the request.
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
    /// Starts an attempt in a task of its own. All attempts start here. An attempt that an invariant
    /// forbids, whose body cannot be sent again, or whose endpoint has no known address is reported as not
    /// sent.
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
            return state.counters.record_violation(violation, open_request.trace.id());
        }
        if !open_request.proxied.is_sendable() {
            open_request.trace.record_withheld(WithheldReason::BodySpent);
            return state.counters.count(CounterKind::Withheld, WithheldReason::BodySpent.name());
        }
        let Some(address) = state.endpoints.address(endpoint) else { return };
        reporter.result = None;
        let started_at = reporter.timing_start;
        let attempt = Attempt {
            endpoint,
            address,
            proxied: open_request.proxied.clone(),
            deadline: started_at + clamped_duration(timeout_ms, MAX_DURATION_MS),
            send_by: started_at + clamped_duration(begin_within_ms, MAX_DURATION_MS),
            started_at,
            may_be_repeated: state.guard.allows_repeats(open_request.facts().class),
        };
        spawn_local(run_attempt(attempt, reporter, cancellation));
    }

    /// Returns the connection of an attempt to the pool, unless the endpoint has left service or changed
    /// its address since the attempt started.
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

    /// Checks that an attempt may still begin. The upstream calls this right before it sends the first
    /// byte.
    fn check_before_send(&self, id: RequestId, attempt: &Attempt) -> Result<(), WithheldReason> {
        let mut state = self.state.borrow_mut();
        let is_routable = state.is_routable(attempt.endpoint);
        let Some(open_request) = state.requests.get_mut(id) else {
            return Err(WithheldReason::RequestOver);
        };
        let client = open_request.proxied.look_for_close();
        let check_result = if !open_request.awaits_answer() || client == ReadAhead::Closed {
            Err(WithheldReason::RequestOver)
        } else if client == ReadAhead::Full {
            Err(WithheldReason::ClientUnknown)
        } else if !is_routable {
            Err(WithheldReason::EndpointWithdrawn)
        } else if Instant::now() >= attempt.send_by {
            Err(WithheldReason::RepeatTooLate)
        } else {
            Ok(())
        };
        if let Err(reason) = check_result {
            open_request.trace.record_withheld(reason);
            state.counters.count(CounterKind::Withheld, reason.name());
        }
        check_result
    }
}

/// Runs an attempt until it ends or is cancelled, and returns its connection to the pool. The task that
/// runs this function ends by the attempt's timeout or, if the response is streamed, with the response.
/// The end of the process also ends it.
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
            log_broken_stream(&attempt, outcome);
            (outcome.into(), connection)
        }
    };
    reporter.result = Some(result);
    drop(reporter);
    driver.return_connection_to_pool(attempt.endpoint, attempt.address, connection);
}

/// Sends an attempt, and waits until it ends or a streamed response starts. Reports to the driver when
/// the request's streamed body is complete.
async fn drive_attempt(
    driver: &Rc<Driver>,
    attempt: &Attempt,
    reporter: &mut AttemptReporter,
    cancellation: &mut oneshot::Receiver<()>,
) -> AttemptEnd {
    let id = reporter.id;
    let mut attempt_end =
        pin!(driver.upstream.send_attempt(attempt, || driver.check_before_send(id, attempt)));
    let body_complete = async {
        match attempt.proxied.wait_until_body_complete().await {
            Some(BodyCompletion { sent_by_client_at, forwarded_at }) => {
                driver.handle(DriverEvent::RequestBodyComplete { id, sent_by_client_at });
                forwarded_at
            }
            None => std::future::pending().await,
        }
    };
    let mut body_complete = pin!(body_complete);
    loop {
        tokio::select! {
            biased;
            _ = &mut *cancellation => return AttemptEnd::Complete(AttemptOutcome::Cancelled.into(), None),
            forwarded_at = &mut body_complete, if reporter.timing_start == attempt.started_at => {
                reporter.timing_start = forwarded_at;
            }
            end = &mut attempt_end => return end,
        }
    }
}

fn log_broken_stream(attempt: &Attempt, outcome: AttemptOutcome) {
    if matches!(outcome, AttemptOutcome::Answered | AttemptOutcome::Cancelled) {
        return;
    }
    let trace_id = trace_id_text(attempt.proxied.trace_id());
    log::line(&format!(
        "endpoint {:016x} did not complete a response that had started: {}, request {trace_id}",
        attempt.endpoint.0,
        outcome.name()
    ));
}
