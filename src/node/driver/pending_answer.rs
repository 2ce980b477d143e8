//! Delivers the answer of a request from the driver to the client's connection.
//!
//! Each request gets exactly one answer, even if the driver never sends one, and the driver must learn
//! when the client stops waiting. A [`Responder`] can send one answer, and fails the request when it is
//! dropped without one. A [`PendingAnswer`] waits for the answer until the request expires, and tells
//! the driver when it is dropped.

use super::{Driver, DriverEvent};
use crate::observability::request_trace::RequestEnding;
use crate::upstream::{ProxiedRequest, UpstreamResponse};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use wheelpath::policy::RequestId;

/// The final answer to a client's request.
pub enum Answer {
    /// The response of an endpoint.
    Served(UpstreamResponse),
    /// A rejection. The client may safely send the request again.
    Rejected {
        /// Time after which the client should retry, in milliseconds; 0 if no time is advised.
        retry_after_ms: f64,
    },
    /// A failure. An endpoint may have executed the request.
    Failed,
}

/// The driver's side of a pending answer. Sending the answer consumes the responder, so there is no
/// second answer. Dropping the responder fails the request.
pub struct Responder(oneshot::Sender<Answer>);

impl Responder {
    pub(super) fn new(sender: oneshot::Sender<Answer>) -> Responder {
        Responder(sender)
    }

    pub(super) fn respond(self, answer: Answer) {
        // The send fails if the client has left, and there is nobody to answer then.
        let _ = self.0.send(answer);
    }
}

/// The client's side of a pending answer. Dropping it reports [`DriverEvent::ClientWaitEnded`] to the
/// driver, which has no effect if the request already has its answer.
pub struct PendingAnswer {
    driver: Rc<Driver>,
    id: RequestId,
    proxied: Rc<ProxiedRequest>,
    answer: oneshot::Receiver<Answer>,
    submitted_at: Instant,
    /// The time at which a request with a buffered body expires. A request with a streamed body expires
    /// later: the time from `submitted_at` until the client had sent the body is added.
    expires_at: Instant,
    /// Whether the request expired before it had an answer.
    has_expired: bool,
}

impl PendingAnswer {
    pub(super) fn new(
        driver: Rc<Driver>,
        id: RequestId,
        proxied: Rc<ProxiedRequest>,
        answer: oneshot::Receiver<Answer>,
        submitted_at: Instant,
        expires_at: Instant,
    ) -> PendingAnswer {
        PendingAnswer { driver, id, proxied, answer, submitted_at, expires_at, has_expired: false }
    }

    /// Waits for the answer. Returns [`Answer::Failed`] when the request expires, even if attempts are in
    /// flight.
    pub async fn answer(mut self) -> Answer {
        let proxied = self.proxied.clone();
        let expiry = proxied.wait_until_due(self.submitted_at, self.expires_at);
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Answer::Failed),
            () = expiry => {
                self.has_expired = true;
                Answer::Failed
            }
        }
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        // After a delivered answer, the ending is `ClientLeft` too; the driver then ignores the event.
        let ending = if self.has_expired { RequestEnding::Expired } else { RequestEnding::ClientLeft };
        self.driver.handle(DriverEvent::ClientWaitEnded(self.id, ending));
    }
}
