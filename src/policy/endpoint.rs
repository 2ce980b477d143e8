//! Defines the data about endpoints that the host exchanges with the balancer: identity, location, the
//! updates that discovery sends, and the snapshots that a process hands over to its successor.

/// Identity of an endpoint. The host chooses the number; it must be the same at every node, as a hash of the
/// endpoint's name is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// Lifecycle state of an endpoint, as reported by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Active,
    /// The endpoint completes the requests that it has and accepts no new ones.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// Location of an endpoint. Deduplication of repeated requests may be limited to one zone or one cell, see
/// [`DeduplicationScope`](super::DeduplicationScope).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Number of the zone, chosen by the host.
    pub zone: u16,
    /// Number of the cell, a group of endpoints that share the idempotency keys they have seen.
    pub cell: u32,
}

/// One endpoint in an update of the endpoint list, as reported by discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Identity of the endpoint that the update is about.
    pub endpoint: EndpointId,
    /// Zone of the endpoint, see [`Location::zone`].
    pub zone: u16,
    /// Cell of the endpoint, see [`Location::cell`].
    pub cell: u32,
    /// Lifecycle state at the time of the update.
    pub state: EndpointState,
    /// Capacity relative to the other endpoints. A weight that is not a positive finite number counts as 1.
    pub weight: f64,
    /// When the endpoint last started, in milliseconds on the balancer's clock; 0 if that was long ago or is
    /// not known. Values that are not positive finite numbers count as 0.
    pub started_at_ms: f64,
}

impl EndpointUpdate {
    /// Returns the zone and the cell as one value.
    pub fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }
}

/// State of one endpoint that a process of a node hands over to the next process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// Identity of the endpoint that the state belongs to.
    pub endpoint: EndpointId,
    /// When the endpoint started, in milliseconds on the balancer's clock; `None` if its slow start is over.
    pub started_at_ms: Option<f64>,
    /// Proxy retry-at time (PRAT): when the next trial may be sent, in milliseconds on the balancer's clock;
    /// `None` if the endpoint is not congested.
    pub prat_ms: Option<f64>,
    /// Concurrency limit that the process had learned for this node, in requests in flight.
    pub concurrency_limit: f64,
    /// Requests of this node that the endpoint answered within their latency objective, per second, averaged
    /// over about the last second.
    pub served_per_second: f64,
}
