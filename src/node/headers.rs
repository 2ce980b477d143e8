//! Names the HTTP headers that clients, this node and endpoints exchange.

use hyper::header::HeaderName;

/// Request header, required: the id that the client assigns to the request. Log lines identify the request
/// by this id.
pub const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
/// Request header, required: the name of the request's class in the settings.
pub const CLASS: HeaderName = HeaderName::from_static("x-qos");
/// Request header, optional: the object that the request is about. The hash of this value is the request's
/// key; requests with the same key go to the same endpoints if possible.
pub const OBJECT: HeaderName = HeaderName::from_static("x-object");
/// Request header: for how long the sender waits for the response, in milliseconds. Optional in requests of
/// clients: if the header is absent, or exceeds the limit of the request's class, that limit applies. The
/// node always sets the header in requests to endpoints.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-expires-in-ms");
/// Request header, optional: the client's estimate of the processor time that the request needs, in
/// microseconds.
pub const COST_ESTIMATE_US: HeaderName = HeaderName::from_static("x-size-hint");
/// Request header, optional: `1` if the client has sent the same request before.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-second-try");
/// Request header: the idempotency key, by which endpoints recognize and drop repeats of a request. It is
/// required for classes that have a deduplication window, and not allowed for classes that are not
/// idempotent.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Response header, optional: `1` if the endpoint rejected the request without executing it.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-never-ran");
/// Response header, optional: the endpoint's load report.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("endpoint-load-metrics");
