//! The names of the protocol's HTTP headers.

use hyper::header::HeaderName;

/// The id that a client gives a request.
pub const TRACE_ID: HeaderName = HeaderName::from_static("x-trace-id");
/// The class of a request.
pub const CLASS: HeaderName = HeaderName::from_static("x-qos");
/// The object that a request is about, whose hash is its key.
pub const OBJECT: HeaderName = HeaderName::from_static("x-object");
/// How long the sender will wait for the answer, in milliseconds.
pub const TIMEOUT_MS: HeaderName = HeaderName::from_static("x-expires-in-ms");
/// A client's estimate of a request's work, in microseconds.
pub const COST_ESTIMATE_US: HeaderName = HeaderName::from_static("x-size-hint");
/// Set to 1 by clients on a further try.
pub const CLIENT_RETRY: HeaderName = HeaderName::from_static("x-second-try");
/// By this key endpoints drop repeats of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Set to 1 by an endpoint that rejected a request without running it.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-never-ran");
/// An endpoint's report of its load.
pub const LOAD_REPORT: HeaderName = HeaderName::from_static("endpoint-load-metrics");
