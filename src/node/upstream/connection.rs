//! One connection to an endpoint or to discovery.

use super::request_body::UpstreamBody;
use super::{MAX_BODY, MAX_BUFFERED_BODY};
use crate::system::connect::{self, ConnectError};
use crate::system::descriptors::DescriptorPermit;
use crate::system::socket::Socket;
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

/// A short response of which nothing more comes for this time counts as never complete.
const SHORT_RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(200);
/// A response of unknown length is passed on from then on: it may be a long one.
const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(100);

/// Why there is no complete response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection broke or ended.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// Something came that is no response. The sender is there, and may have run the request.
    #[error("what came is no answer")]
    Malformed,
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        // In a body, what is no chunk comes as an error of reading.
        let reading = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let is_garbled =
            reading.is_some_and(|e| matches!(e.kind(), ErrorKind::InvalidInput | ErrorKind::InvalidData));
        if error.is_parse() || is_garbled { ExchangeError::Malformed } else { ExchangeError::Broken(error) }
    }
}

/// A response: its head, its body as far as it is buffered, and the rest if there is one.
pub(super) struct ReceivedResponse {
    pub head: Parts,
    pub prefix: Bytes,
    pub rest: Option<Incoming>,
}

/// The first part of a body, and whether that is all of it.
struct FirstPart {
    bytes: Bytes,
    is_complete: bool,
}

type HttpConnection = Pin<Box<Connection<TokioIo<Socket>, UpstreamBody>>>;

/// A connection whose reading and writing happen only while somebody exchanges on it: nothing is left
/// running behind an idle one, and dropping it closes the socket at once.
pub struct UpstreamConnection {
    sender: SendRequest<UpstreamBody>,
    connection: Option<HttpConnection>,
    pub(super) socket: Socket,
}

impl UpstreamConnection {
    /// Connects by `deadline`. `buffer` is what it reads ahead, in bytes.
    ///
    /// # Errors
    /// No connection was made in time, or this machine could not begin one.
    pub async fn open(
        address: SocketAddr,
        deadline: Instant,
        permit: DescriptorPermit,
        buffer: usize,
    ) -> Result<UpstreamConnection, ConnectError> {
        let socket = Socket::new(connect::connect(address, deadline).await?, permit);
        let io = TokioIo::new(socket.clone());
        let handshake = http1::Builder::new().max_buf_size(buffer).handshake(io).await;
        let (sender, connection) =
            handshake.map_err(|error| ConnectError::Remote(io::Error::other(error)))?;
        Ok(UpstreamConnection { sender, connection: Some(Box::pin(connection)), socket })
    }

    /// Runs `wanted` together with the connection's own reading and writing.
    async fn drive<F: Future>(connection: &mut Option<HttpConnection>, wanted: F) -> F::Output {
        let mut wanted = pin!(wanted);
        poll_fn(|cx| {
            if let Poll::Ready(value) = wanted.as_mut().poll(cx) {
                return Poll::Ready(value);
            }
            UpstreamConnection::poll(connection, cx);
            wanted.as_mut().poll(cx)
        })
        .await
    }

    fn poll(connection: &mut Option<HttpConnection>, cx: &mut Context<'_>) {
        if connection.as_mut().is_some_and(|connection| connection.as_mut().poll(cx).is_ready()) {
            *connection = None;
        }
    }

    /// Lets the connection read and write what it can. At the end of a response it sees that it is ready
    /// for the next, or that more came than belongs to it.
    pub(super) fn turn(&mut self, cx: &mut Context<'_>) {
        UpstreamConnection::poll(&mut self.connection, cx);
    }

    async fn turn_once(&mut self) {
        poll_fn(|cx| {
            self.turn(cx);
            Poll::Ready(())
        })
        .await;
    }

    /// Sends one request and reads the head of its response, whose body may hold `max_body` bytes.
    async fn send(
        &mut self,
        request: Request<UpstreamBody>,
        max_body: usize,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let sent = self.sender.send_request(request);
        let response = UpstreamConnection::drive(&mut self.connection, sent).await?;
        check_framing(response.headers(), response.body(), max_body)?;
        Ok(response)
    }

    /// Sends one request and reads its response, as far as that is buffered.
    pub(super) async fn request(
        &mut self,
        request: Request<UpstreamBody>,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let (head, mut body) = self.send(request, MAX_BODY).await?.into_parts();
        let first = self.first_part(&mut body).await?;
        Ok(ReceivedResponse { head, prefix: first.bytes, rest: Some(body).filter(|_| !first.is_complete) })
    }

    /// Reads a body to its end, or as far as it is buffered and for as long as it is waited for.
    async fn first_part(&mut self, body: &mut Incoming) -> Result<FirstPart, ExchangeError> {
        let has_unknown_length = body.size_hint().exact().is_none();
        if body.size_hint().lower() > MAX_BUFFERED_BODY as u64 {
            return Ok(FirstPart { bytes: Bytes::new(), is_complete: false });
        }
        let begun_at = Instant::now();
        let mut buffered = BytesMut::new();
        loop {
            let frame = UpstreamConnection::drive(&mut self.connection, body.frame());
            let frame = tokio::time::timeout(SHORT_RESPONSE_STALL_TIMEOUT, frame).await;
            let Some(frame) = frame.map_err(|_| ExchangeError::Malformed)? else { break };
            if let Ok(data) = frame?.into_data() {
                buffered.extend_from_slice(&data);
            }
            let is_late = has_unknown_length && begun_at.elapsed() > UNKNOWN_LENGTH_BUFFER_TIME;
            if buffered.len() > MAX_BUFFERED_BODY || is_late {
                return Ok(FirstPart { bytes: buffered.freeze(), is_complete: false });
            }
        }
        self.turn_once().await;
        Ok(FirstPart { bytes: buffered.freeze(), is_complete: true })
    }

    /// Sends one request and reads its complete response, with a body of `max_body` bytes at most, which is
    /// there within `body_timeout` after the head.
    ///
    /// # Errors
    /// The connection broke, or what came is no complete response.
    pub async fn exchange(
        &mut self,
        request: Request<UpstreamBody>,
        max_body: usize,
        body_timeout: Duration,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let (head, body) = self.send(request, max_body).await?.into_parts();
        let limited = Limited::<Incoming>::new(body, max_body);
        let whole = UpstreamConnection::drive(&mut self.connection, limited.collect());
        let body = match tokio::time::timeout(body_timeout, whole).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                let broken = error.downcast::<hyper::Error>();
                return Err(broken.map_or(ExchangeError::Malformed, |error| (*error).into()));
            }
            Err(_) => return Err(ExchangeError::Malformed),
        };
        self.turn_once().await;
        Ok(Response::from_parts(head, body))
    }

    /// Open at both ends and with nothing unread, which would be its close.
    pub fn is_alive(&self) -> bool {
        self.connection.is_some() && !self.sender.is_closed() && self.socket.quiet()
    }

    /// Ready for another request.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Whether the end of a response is recognizable: by a length within the limit, or chunks, or the
/// connection's end, and not both of the first.
fn check_framing(headers: &HeaderMap, body: &Incoming, max_body: usize) -> Result<(), ExchangeError> {
    let has_both = headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH);
    let is_framed = !has_both || body.size_hint().exact() == Some(0);
    let fits = body.size_hint().lower() <= max_body as u64;
    if is_framed && fits { Ok(()) } else { Err(ExchangeError::Malformed) }
}
