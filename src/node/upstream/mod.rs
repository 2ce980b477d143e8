//! Connections to endpoints, and the attempts on them. One request at a time on each.
//!
//! [`attempt`] sends one attempt and reports how it ended, on a connection of the [`pool`]. [`connection`]
//! is one such connection. Bodies of up to [`MAX_BUFFERED_BODY`] bytes are buffered and can be sent
//! again; longer ones are passed on as they come, by [`request_body`] and [`response_body`].

mod attempt;
mod connection;
mod idle_age;
mod pool;
mod request_body;
mod response_body;

pub use attempt::{Attempt, AttemptEnd, AttemptResult, UpstreamResponse};
pub use connection::{ExchangeError, UpstreamConnection};
pub use pool::Upstream;
pub use request_body::{MinimumRate, ProxiedRequest, RequestBody, StreamedRequestBody, UpstreamBody};
pub use response_body::ResponseBody;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use thiserror::Error;

/// Bodies up to this many bytes are buffered, and can be sent again; longer ones are passed on as they
/// come.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Bodies hold at most this many bytes, either way.
pub const MAX_BODY: usize = 32 * 1024 * 1024;

/// Why the rest of a body will not come.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The side that it comes from ended or broke.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// It is too long.
    #[error("the body is over {MAX_BODY} bytes")]
    TooLong,
    /// Nothing came for too long.
    #[error("nothing more of the body came")]
    Stalled,
}

/// The next piece of a buffered body, which cannot fail.
fn poll_buffered(
    body: &mut Full<Bytes>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    Pin::new(body).poll_frame(cx).map_err(|never| match never {})
}
