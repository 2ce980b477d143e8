//! The body of a response on its way to the client, buffered or streamed.

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

/// A streamed response on which nothing moves for so long is given up. Endpoints stand still for half a
/// second at times.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// How a streamed response ended, with its connection if that can be reused.
pub type StreamEnd = (AttemptOutcome, Option<UpstreamConnection>);

/// The body of a response that goes to the client.
pub enum ResponseBody {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// One that is passed on as it comes.
    Streamed(Box<StreamedResponseBody>),
}

/// A long response on its way from an endpoint to a client.
pub struct StreamedResponseBody {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed_bytes: u64,
    connection: Option<UpstreamConnection>,
    stall: Pin<Box<Sleep>>,
    /// What the client's side keeps for as long as this lasts.
    held: Option<Box<dyn Any>>,
    /// Receives how it ended; dropped without a message, it means that the client has left.
    ended: Option<oneshot::Sender<StreamEnd>>,
}

impl StreamedResponseBody {
    /// A body of which `first` has been read and `rest` comes on a connection; and what reports how it
    /// ended.
    pub(super) fn new(
        connection: UpstreamConnection,
        first: Bytes,
        rest: Incoming,
    ) -> (StreamedResponseBody, oneshot::Receiver<StreamEnd>) {
        let (ended, end) = oneshot::channel();
        let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
        let body = StreamedResponseBody {
            first: Some(first).filter(|first| !first.is_empty()),
            rest,
            length,
            passed_bytes: 0,
            connection: Some(connection),
            stall: Box::pin(tokio::time::sleep(STREAM_STALL_TIMEOUT)),
            held: None,
            ended: Some(ended),
        };
        (body, end)
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        let connection = self.connection.take().filter(|_| outcome == AttemptOutcome::Answered);
        if let Some(ended) = self.ended.take() {
            // The node may be about to end.
            let _ = ended.send((outcome, connection));
        }
    }

    fn finish(&mut self, cx: &mut Context<'_>) {
        if let Some(connection) = &mut self.connection {
            // The connection sees that the response is over and is ready for the next.
            connection.poll_io(cx);
        }
        self.end(AttemptOutcome::Answered);
    }

    /// The next piece behind the first; none at the end.
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
                Poll::Pending => self.stall.as_mut().poll(cx).map(|()| Some(Err(BodyError::Stalled))),
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(error))) => Poll::Ready(Some(Err(error.into()))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Err(_) => continue,
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                },
            };
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        let next = match self.first.take() {
            Some(first) => Some(Ok(first)),
            None => ready!(self.poll_rest(cx)),
        };
        Poll::Ready(match next {
            Some(Ok(data)) => Some(self.pass(data, cx)),
            Some(Err(error)) => {
                let is_stalled = matches!(error, BodyError::Stalled);
                self.end(if is_stalled {
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

    /// Counts a piece that goes on to the client.
    fn pass(&mut self, data: Bytes, cx: &mut Context<'_>) -> Result<Bytes, BodyError> {
        self.passed_bytes += data.len() as u64;
        self.stall.as_mut().reset((Instant::now() + STREAM_STALL_TIMEOUT).into());
        if self.passed_bytes > MAX_BODY_BYTES as u64 {
            self.end(AttemptOutcome::ErrorResponse);
            return Err(BodyError::TooLong);
        }
        if Some(self.passed_bytes) == self.length {
            // Nothing reads beyond that.
            self.finish(cx);
        }
        Ok(data)
    }
}

impl ResponseBody {
    /// A body that is here.
    pub fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered(Full::new(bytes))
    }

    /// More of it is to come.
    pub fn is_streamed(&self) -> bool {
        matches!(self, ResponseBody::Streamed(_))
    }

    /// Keeps `held` until a streamed response has ended; drops it at once where there is nothing to wait
    /// for.
    pub fn hold_until_end(&mut self, held: impl Any) {
        if let ResponseBody::Streamed(body) = self {
            body.held = Some(Box::new(held));
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
                body.poll_piece(cx).map(|next| next.map(|piece| piece.map(Frame::data)))
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
                SizeHint::with_exact(length.saturating_sub(body.passed_bytes))
            }),
        }
    }
}
