//! Forwards the body of a response to the client.
//!
//! A buffered body is complete before the client's response begins. A streamed body is read from the
//! endpoint's connection while the client receives it, so the outcome of its attempt is known only at its
//! end. The body reports this outcome through a channel, and returns the connection if it can be reused.

use super::connection::UpstreamConnection;
use super::{BodyError, MAX_BODY_BYTES, poll_buffered};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::time::Sleep;
use wheelpath::policy::AttemptOutcome;

/// A streamed response is aborted if no data arrives for this time. Endpoints sometimes pause for half a
/// second.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The outcome of an attempt with a streamed response, and its connection if the response is complete.
pub type StreamEnd = (AttemptOutcome, Option<UpstreamConnection>);

/// The body of a response as hyper sends it to the client.
pub enum ResponseBody {
    /// A body that is in memory.
    Buffered(Full<Bytes>),
    /// A body that is forwarded while the endpoint sends it.
    Streamed(Box<StreamedResponseBody>),
}

/// A body that is too long to be buffered, and is forwarded from an endpoint to a client.
pub struct StreamedResponseBody {
    /// The buffered first part of the body. `None` if it is empty or has been forwarded.
    prefix: Option<Bytes>,
    /// The part after the prefix.
    rest: Incoming,
    /// The announced length of the complete body. `None` if the endpoint does not announce it.
    length: Option<u64>,
    forwarded_bytes: u64,
    /// The connection to the endpoint. `None` after the end of the body.
    connection: Option<UpstreamConnection>,
    stall_timer: Pin<Box<Sleep>>,
    /// A value of the client's side that is dropped together with this body.
    guard: Option<Box<dyn Any>>,
    /// Reports the end of the stream. Dropping the sender without a message means that the client has
    /// disconnected. `None` after the report.
    end_sender: Option<oneshot::Sender<StreamEnd>>,
}

impl StreamedResponseBody {
    /// Creates a body of which `prefix` has been read and `rest` is still to be read from `connection`.
    /// Also returns the receiver for the end of the stream.
    pub(super) fn new(
        connection: UpstreamConnection,
        prefix: Bytes,
        rest: Incoming,
    ) -> (StreamedResponseBody, oneshot::Receiver<StreamEnd>) {
        let (end_sender, end_receiver) = oneshot::channel();
        let length = rest.size_hint().exact().map(|rest_length| rest_length + prefix.len() as u64);
        let body = StreamedResponseBody {
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest,
            length,
            forwarded_bytes: 0,
            connection: Some(connection),
            stall_timer: Box::pin(tokio::time::sleep(STREAM_STALL_TIMEOUT)),
            guard: None,
            end_sender: Some(end_sender),
        };
        (body, end_receiver)
    }

    /// Reports the outcome of the attempt, unless it has been reported. Closes the connection unless the
    /// response is complete.
    fn report_end(&mut self, outcome: AttemptOutcome) {
        let connection = self.connection.take().filter(|_| outcome == AttemptOutcome::Answered);
        if let Some(end_sender) = self.end_sender.take() {
            // The receiver may be gone if the node is shutting down.
            let _ = end_sender.send((outcome, connection));
        }
    }

    /// Ends the stream after a complete response.
    fn finish(&mut self, cx: &mut Context<'_>) {
        if let Some(connection) = &mut self.connection {
            // This lets the connection process the end of the response, so that it becomes ready for the
            // next request.
            connection.poll_io(cx);
        }
        self.report_end(AttemptOutcome::Answered);
    }

    /// Polls the next data after the prefix. Yields `None` at the end of the body.
    fn poll_rest(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let mut frame = Pin::new(&mut self.rest).poll_frame(cx);
            if frame.is_pending() {
                if let Some(connection) = &mut self.connection {
                    connection.poll_io(cx);
                }
                frame = Pin::new(&mut self.rest).poll_frame(cx);
            }
            return match frame {
                Poll::Pending => self.stall_timer.as_mut().poll(cx).map(|()| Some(Err(BodyError::Stalled))),
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error.into()))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    // Trailers are not forwarded.
                    Err(_) => continue,
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                },
            };
        }
    }

    /// Polls the next data of the body. Yields `None` at the end of the body.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let next = match self.prefix.take() {
            Some(prefix) => Some(Ok(prefix)),
            None => ready!(self.poll_rest(cx)),
        };
        Poll::Ready(match next {
            Some(Ok(data)) => Some(self.forward(data, cx)),
            Some(Err(error)) => {
                let is_stalled = matches!(error, BodyError::Stalled);
                self.report_end(if is_stalled {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::ConnectionReset
                });
                Some(Err(error))
            }
            None => {
                self.finish(cx);
                None
            }
        })
    }

    /// Counts data that goes to the client, and ends the stream if it is too long or complete.
    fn forward(&mut self, data: Bytes, cx: &mut Context<'_>) -> Result<Bytes, BodyError> {
        self.forwarded_bytes += data.len() as u64;
        self.stall_timer.as_mut().reset((Instant::now() + STREAM_STALL_TIMEOUT).into());
        if self.forwarded_bytes > MAX_BODY_BYTES as u64 {
            self.report_end(AttemptOutcome::ErrorResponse);
            return Err(BodyError::TooLong);
        }
        if Some(self.forwarded_bytes) == self.length {
            // hyper does not poll a body again once its announced length is reached.
            self.finish(cx);
        }
        Ok(data)
    }
}

impl ResponseBody {
    /// Creates a body that is in memory.
    pub fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes))
    }

    /// Returns whether the body is forwarded while the endpoint sends it.
    pub fn is_streamed(&self) -> bool {
        matches!(self, ResponseBody::Streamed(_))
    }

    /// Keeps `guard` until a streamed body is dropped, after its end or because the client has
    /// disconnected. Drops `guard` at once if the body is buffered.
    pub fn hold_until_end(&mut self, guard: impl Any) {
        if let ResponseBody::Streamed(body) = self {
            body.guard = Some(Box::new(guard));
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            ResponseBody::Buffered(body) => poll_buffered(body, cx),
            ResponseBody::Streamed(body) => {
                body.poll_data(cx).map(|next| next.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Buffered(body) if body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(body) => body.length.map_or_else(SizeHint::new, |length| {
                SizeHint::with_exact(length.saturating_sub(body.forwarded_bytes))
            }),
        }
    }
}
