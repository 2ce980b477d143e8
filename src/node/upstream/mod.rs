//! Sends attempts to endpoints and receives their responses.
//!
//! [`attempt`] sends one attempt on a connection of the [`pool`], and determines its outcome. A
//! [`connection`] carries one request at a time. [`idle_age`] estimates for how long idle connections can
//! be reused.
//!
//! A request can be sent again only while its complete body is in memory. Bodies of up to
//! [`MAX_BUFFERED_BODY_BYTES`] are therefore buffered. [`request_body`] and [`response_body`] stream longer
//! bodies between client and endpoint. [`upload_clock`] estimates when a client had sent a streamed body.

mod attempt;
mod connection;
mod idle_age;
mod minimum_rate;
mod pool;
mod proxied_request;
mod request_body;
mod response_body;
mod upload_clock;

pub use attempt::{Attempt, AttemptEnd, AttemptResult, UpstreamResponse};
pub use connection::{ExchangeError, UpstreamConnection};
pub use minimum_rate::MinimumRate;
pub use pool::{ConnectionTimeouts, Upstream};
pub use proxied_request::{ProxiedRequest, RequestBody};
pub use request_body::{BodyCompletion, StreamedRequestBody, UpstreamBody};
pub use response_body::ResponseBody;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;

/// The length up to which the bodies of requests and responses are buffered, in bytes. Longer bodies are
/// streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The maximum length of a request's or response's body, in bytes.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// The reason why a body ended before it was complete.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The sender of the body closed the connection, the connection broke, or the body is malformed.
    #[error("the body ended early: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is longer than {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// No data of the body arrived in time.
    #[error("the body stalled")]
    Stalled,
}

/// Polls the next frame of a buffered body. Reading from memory cannot fail.
fn poll_buffered(
    body: &mut Full<Bytes>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    Pin::new(body).poll_frame(cx).map_err(|never| match never {})
}
