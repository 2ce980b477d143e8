//! Defines the properties of a client's request that the balancer decides by.

/// Identifies one client request. A retry by the client is another request with another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client's request, without its content.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Assigned by the host, which must not use the same id for two requests.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes). If the index is out of range, the class is
    /// unknown and the strictest rules apply: the request must not run twice.
    pub class: usize,
    /// Stable hash of the object that the request concerns. Requests with the same key go to the same few
    /// endpoints if possible; a request without a key is placed at random.
    pub key: Option<u64>,
    /// When the client stops waiting for an answer, in milliseconds on the balancer's clock.
    pub deadline_ms: f64,
    /// Estimate of the work, in milliseconds of processor time. If absent, the mean of the class is used.
    pub estimated_cost_ms: Option<f64>,
    /// The client has marked the request as a retry. Ignored unless
    /// [`Settings::clients_mark_retries`](super::Settings::clients_mark_retries) is set.
    pub is_retry: bool,
    /// How long the request waited before this node accepted it, in milliseconds. This time is part of the
    /// time that the client allows for an answer.
    pub queued_ms: f64,
}
