//! Endpoints as the world outside sees them: identity, location, and what discovery and snapshots say of
//! them.

/// Identity of an endpoint: any number that is the same at every node, such as a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// State of an endpoint as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new requests.
    Active,
    /// It completes the requests that it has and takes no new ones.
    Draining,
    /// It is gone.
    Removed,
}

/// Where an endpoint stands; deduplication of repeated requests may be limited to one zone or one cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// Number of its zone.
    pub zone: u16,
    /// Number of its cell, a group of endpoints that share what they remember.
    pub cell: u32,
}

/// One endpoint as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Number of its zone.
    pub zone: u16,
    /// Number of its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its capacity in relation to the others; what is not positive counts as 1.
    pub weight: f64,
    /// When it last started, in milliseconds on the balancer's clock; 0 if that was long ago.
    pub started_at_ms: f64,
}

impl EndpointUpdate {
    /// Its zone and cell.
    pub fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }
}

/// What one process of a node hands to the next about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// When it started, in milliseconds on the balancer's clock; none once its slow start is over.
    pub started_at_ms: Option<f64>,
    /// When it may be tried again (PRAT), in milliseconds on the balancer's clock; none if it is not
    /// congested.
    pub prat_ms: Option<f64>,
    /// Its learned concurrency limit, in requests in flight.
    pub concurrency_limit: f64,
    /// Requests that it answered within their latency objective in the last second.
    pub served_per_second: f64,
}
