//! Sends requests on one connection to an endpoint or to discovery, and reads the responses.
//!
//! A connection has no task of its own: it reads and writes only while a request is in progress on it.

use super::request_body::UpstreamBody;
use super::{MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES};
use crate::system::connect::{self, ConnectError};
use crate::system::descriptors::DescriptorPermit;
use crate::system::memory::MemoryBudget;
use crate::system::socket::Socket;
use crate::transfer_coding::transfer_coding;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::error::Error as _;
use std::future::{Future, poll_fn};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::time::error::Elapsed;

/// A response of unknown length is buffered for at most this time, whether or not data arrives. After that, it
/// is streamed to the client, since it may be a long one.
const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(100);

/// The reason why an exchange brought no complete response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection broke, or the other side closed it, before the response was complete.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The response is not valid HTTP, or is too long. The other side is reachable, and may have executed the
    /// request.
    #[error("the response is malformed or too long")]
    Malformed,
    /// The body of the response was not complete in time, or no data of it arrived for too long. The other
    /// side is reachable, and may have executed the request.
    #[error("the response is incomplete")]
    Stalled,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        // hyper reports an invalid chunk in a body as an I/O error, not as a parse error.
        let io_error = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let has_invalid_chunk =
            io_error.is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData));
        if error.is_parse() || has_invalid_chunk {
            ExchangeError::Malformed
        } else {
            ExchangeError::Broken(error)
        }
    }
}

/// Why the node no longer waits for the response to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitEnd {
    /// The time of the attempt is over.
    Overdue,
    /// The request's own body is sent or accepted too slowly.
    RequestStalled,
}

/// A response of an endpoint whose body has been read completely or in part.
pub(super) struct ReceivedResponse {
    pub head: Parts,
    /// The buffered first part of the body, which may be empty.
    pub prefix: Bytes,
    /// The part of the body after `prefix`. `None` if `prefix` is the complete body.
    pub rest: Option<Incoming>,
}

/// How much and for how long a response body is buffered.
#[derive(Clone, Copy, Debug)]
pub(super) struct BufferLimits<'a> {
    /// A body is buffered only while this allows it.
    pub memory: &'a MemoryBudget,
    /// A body of known length up to [`MAX_BUFFERED_BODY_BYTES`] is given up if no data of it arrives for this
    /// time. `None` if it may take as long as the wait for the response.
    pub stall_timeout: Option<Duration>,
}

/// Why the buffering of a response body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BufferingEnd {
    /// The body is complete.
    Complete,
    /// The body may be long, and its rest is to be streamed.
    Stream,
}

type HttpConnection = Pin<Box<Connection<TokioIo<Socket>, UpstreamBody>>>;

/// An HTTP/1.1 connection that reads and writes only while a caller awaits or polls one of its methods.
///
/// No task runs for an idle connection, so dropping the connection closes the socket at once.
pub struct UpstreamConnection {
    sender: SendRequest<UpstreamBody>,
    /// hyper's side of the connection, which does the I/O. `None` once it has ended.
    connection: Option<HttpConnection>,
    pub(super) socket: Socket,
}

impl UpstreamConnection {
    /// Connects by `deadline`. `max_buffer_bytes` is the maximum size of the connection's buffer.
    ///
    /// # Errors
    /// Returns an error if the connection is refused or is not established in time, or if this machine
    /// cannot start one.
    pub async fn open(
        address: SocketAddr,
        deadline: Instant,
        permit: DescriptorPermit,
        max_buffer_bytes: usize,
    ) -> Result<UpstreamConnection, ConnectError> {
        let socket = Socket::new(connect::connect(address, deadline).await?, permit);
        let io = TokioIo::new(socket.clone());
        let handshake = http1::Builder::new().max_buf_size(max_buffer_bytes).handshake(io).await;
        let (sender, connection) =
            handshake.map_err(|error| ConnectError::Remote(io::Error::other(error)))?;
        Ok(UpstreamConnection { sender, connection: Some(Box::pin(connection)), socket })
    }

    /// Runs `operation` to its end while the connection reads and writes.
    async fn drive<F: Future>(connection: &mut Option<HttpConnection>, operation: F) -> F::Output {
        let mut operation = pin!(operation);
        poll_fn(|cx| {
            if let Poll::Ready(value) = operation.as_mut().poll(cx) {
                return Poll::Ready(value);
            }
            UpstreamConnection::poll_connection(connection, cx);
            operation.as_mut().poll(cx)
        })
        .await
    }

    fn poll_connection(connection: &mut Option<HttpConnection>, cx: &mut Context<'_>) {
        if connection.as_mut().is_some_and(|connection| connection.as_mut().poll(cx).is_ready()) {
            *connection = None;
        }
    }

    /// Reads and writes as much as is possible without waiting.
    ///
    /// Must be called after the end of a response: only then does the connection become ready for the next
    /// request, or notice that more bytes have arrived than belong to the response.
    pub(super) fn poll_io(&mut self, cx: &mut Context<'_>) {
        UpstreamConnection::poll_connection(&mut self.connection, cx);
    }

    async fn poll_io_once(&mut self) {
        poll_fn(|cx| {
            self.poll_io(cx);
            Poll::Ready(())
        })
        .await;
    }

    /// Sends one request and reads the head of its response.
    ///
    /// Returns an error if the end of the body is ambiguous, or if its announced length is over
    /// `max_body_bytes`.
    async fn send(
        &mut self,
        request: Request<UpstreamBody>,
        max_body_bytes: usize,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let sent = self.sender.send_request(request);
        let response = UpstreamConnection::drive(&mut self.connection, sent).await?;
        check_framing(response.headers(), response.body(), max_body_bytes)?;
        Ok(response)
    }

    /// Sends one request, reads the head of its response, and buffers the body or its first part.
    ///
    /// Stops waiting when `wait_end` completes. Returns `None` then, unless the head of a response has come
    /// that is streamed: what there is of the response is forwarded.
    pub(super) async fn request(
        &mut self,
        request: Request<UpstreamBody>,
        wait_end: impl Future<Output = WaitEnd>,
        limits: BufferLimits<'_>,
    ) -> Option<Result<ReceivedResponse, ExchangeError>> {
        let mut wait_end = pin!(wait_end);
        let response = tokio::select! {
            biased;
            response = self.send(request, MAX_BODY_BYTES) => response,
            _ = &mut wait_end => return None,
        };
        let (head, mut body) = match response {
            Ok(response) => response.into_parts(),
            Err(error) => return Some(Err(error)),
        };
        let is_length_known = body.size_hint().exact().is_some();
        let mut buffered = BytesMut::new();
        let end = tokio::select! {
            biased;
            end = self.buffer(&mut body, &mut buffered, limits) => end,
            reason = wait_end => match reason {
                WaitEnd::Overdue if !is_length_known => Ok(BufferingEnd::Stream),
                WaitEnd::Overdue | WaitEnd::RequestStalled => return None,
            },
        };
        Some(end.map(|end| ReceivedResponse {
            head,
            prefix: buffered.freeze(),
            rest: (end == BufferingEnd::Stream).then_some(body),
        }))
    }

    /// Appends a body of up to [`MAX_BUFFERED_BODY_BYTES`] to `buffered`.
    ///
    /// The rest is to be streamed if the body is longer, if there is no memory for more of it, or if its length is unknown and it has not ended
    /// within [`UNKNOWN_LENGTH_BUFFER_TIME`]. Returns an error if a body of known length stalls for
    /// the time in `limits`.
    async fn buffer(
        &mut self,
        body: &mut Incoming,
        buffered: &mut BytesMut,
        limits: BufferLimits<'_>,
    ) -> Result<BufferingEnd, ExchangeError> {
        let is_length_known = body.size_hint().exact().is_some();
        if body.size_hint().lower() > MAX_BUFFERED_BODY_BYTES as u64 {
            return Ok(BufferingEnd::Stream);
        }
        let stream_from = Instant::now() + UNKNOWN_LENGTH_BUFFER_TIME;
        while buffered.len() <= MAX_BUFFERED_BODY_BYTES && limits.memory.allows_buffering() {
            let wait_until = match limits.stall_timeout {
                _ if !is_length_known => Some(stream_from),
                stall_timeout => stall_timeout.map(|timeout| Instant::now() + timeout),
            };
            let frame = UpstreamConnection::drive(&mut self.connection, body.frame());
            match timeout_at(wait_until, frame).await {
                Ok(None) => {
                    self.poll_io_once().await;
                    return Ok(BufferingEnd::Complete);
                }
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        buffered.extend_from_slice(&data);
                    }
                }
                Err(_) if is_length_known => return Err(ExchangeError::Stalled),
                Err(_) => break,
            }
        }
        Ok(BufferingEnd::Stream)
    }

    /// Sends one request and reads its complete response.
    ///
    /// # Errors
    /// Returns an error if the connection breaks, if the response is malformed, if its body is longer than
    /// `max_body_bytes`, or if the body is not complete within `body_timeout` after the head.
    pub async fn exchange(
        &mut self,
        request: Request<UpstreamBody>,
        max_body_bytes: usize,
        body_timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = self.send(request, max_body_bytes).await?.into_parts();
        let limited = Limited::<Incoming>::new(body, max_body_bytes);
        let complete_body = UpstreamConnection::drive(&mut self.connection, limited.collect());
        let body = match tokio::time::timeout(body_timeout, complete_body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                let hyper_error = error.downcast::<hyper::Error>();
                return Err(hyper_error.map_or(ExchangeError::Malformed, |error| (*error).into()));
            }
            Err(_) => return Err(ExchangeError::Stalled),
        };
        self.poll_io_once().await;
        Ok(Response::from_parts(head, body))
    }

    /// Returns whether the connection is open at both ends and has nothing to read. Anything to read on an
    /// idle connection is the other side's close, or bytes that belong to no response.
    pub fn is_alive(&self) -> bool {
        self.connection.is_some() && !self.sender.is_closed() && self.socket.is_open_without_unread_bytes()
    }

    /// Returns whether the previous response has ended and the connection can send the next request.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for UpstreamConnection {
    /// Resets the connection if a request is in progress on it, because the request was given up. A regular
    /// close would still deliver what the system holds of the request, and the other side would execute it.
    fn drop(&mut self) {
        if self.socket.bytes_written() > 0 && !self.is_ready() {
            self.socket.reset_on_close();
        }
    }
}

/// Waits for `operation`, at the longest until `deadline` if there is one.
async fn timeout_at<F: Future>(deadline: Option<Instant>, operation: F) -> Result<F::Output, Elapsed> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline.into(), operation).await,
        None => Ok(operation.await),
    }
}

/// Checks that the end of a response's body is unambiguous, and that its announced length is within the
/// limit.
///
/// The end is given by `Content-Length`, by `Transfer-Encoding`, or by the end of the connection. A
/// response with both headers, or with a transfer coding that the node cannot undo, is malformed unless it
/// has no body.
fn check_framing(headers: &HeaderMap, body: &Incoming, max_body_bytes: usize) -> Result<(), ExchangeError> {
    let has_both_headers = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    let is_decodable = !has_both_headers && transfer_coding(headers).is_ok();
    let has_no_body = body.size_hint().exact() == Some(0);
    let is_within_limit = body.size_hint().lower() <= max_body_bytes as u64;
    if (is_decodable || has_no_body) && is_within_limit { Ok(()) } else { Err(ExchangeError::Malformed) }
}
