//! A client's request as the decisions see it.

/// Identity of one client request, which is one try of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Its id; never repeated.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes); one that is not there falls under the
    /// strictest rules.
    pub class: usize,
    /// Stable hash of the object that it is about; requests for one key go to the same endpoints where
    /// possible.
    pub key: Option<u64>,
    /// When the client gives this try up, in milliseconds on the balancer's clock.
    pub deadline_ms: f64,
    /// An estimate of its work, in milliseconds of processor time.
    pub estimated_cost_ms: Option<f64>,
    /// The client marks it as a further try.
    pub is_retry: bool,
    /// How long it waited before this node took it, in milliseconds, out of the time that its client
    /// allows.
    pub queued_ms: f64,
}
