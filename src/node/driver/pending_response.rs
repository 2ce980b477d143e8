//! The answer that a request waits for, seen from both sides.

use super::{Driver, DriverEvent};
use crate::observability::request_trace::RequestEnding;
use crate::upstream::{ProxiedRequest, UpstreamResponse};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use wheelpath::policy::RequestId;

/// A request's final answer.
pub enum Answer {
    /// An endpoint's response.
    Served(UpstreamResponse),
    /// Rejected: trying again is harmless, best after this long.
    Rejected {
        /// In milliseconds; 0 for no advice.
        retry_after_ms: f64,
    },
    /// Failed, with no promise.
    Failed,
}

/// The one answer that each request gets. Responding uses it up, so there is no second; dropping it fails
/// the request.
pub struct Responder(oneshot::Sender<Answer>);

impl Responder {
    pub(super) fn new(sender: oneshot::Sender<Answer>) -> Responder {
        Responder(sender)
    }

    pub(super) fn respond(self, answer: Answer) {
        // A client that has gone wants none.
        let _ = self.0.send(answer);
    }
}

/// The client's side of a pending answer. Dropped before the answer came, it reports that the client has
/// gone.
pub struct PendingResponse {
    driver: Rc<Driver>,
    id: RequestId,
    proxied: Rc<ProxiedRequest>,
    answer: oneshot::Receiver<Answer>,
    submitted_at: Instant,
    expires_at: Instant,
    /// Its time was over before it was answered.
    has_expired: bool,
}

impl PendingResponse {
    pub(super) fn new(
        driver: Rc<Driver>,
        id: RequestId,
        proxied: Rc<ProxiedRequest>,
        answer: oneshot::Receiver<Answer>,
        submitted_at: Instant,
        expires_at: Instant,
    ) -> PendingResponse {
        PendingResponse { driver, id, proxied, answer, submitted_at, expires_at, has_expired: false }
    }

    /// Waits for the answer; past the deadline that is a failure, whatever attempts are in flight.
    pub async fn answer(mut self) -> Answer {
        let proxied = self.proxied.clone();
        let expired = async {
            // A streamed body that ends later than the request came moves the deadline by as much.
            let complete_at = proxied.body_complete().await;
            let delay = complete_at.map(|at| at.saturating_duration_since(self.submitted_at));
            tokio::time::sleep_until((self.expires_at + delay.unwrap_or_default()).into()).await;
        };
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Answer::Failed),
            () = expired => {
                self.has_expired = true;
                Answer::Failed
            }
        }
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        let ending = if self.has_expired { RequestEnding::Expired } else { RequestEnding::ClientLeft };
        self.driver.handle(DriverEvent::ClientDisconnected(self.id, ending));
    }
}
