//! One TCP socket that counts what goes through it.

use super::descriptors::DescriptorPermit;
use super::length_headers::LengthHeaderCounter;
use super::syscall_errors::{is_interrupted, is_out_of_buffers};
use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// What the system may hold unsent of a streamed response, in bytes: a client at the slowest rate allowed
/// takes as much in two seconds.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;

struct Inner {
    stream: TcpStream,
    read: Cell<u64>,
    written: Cell<u64>,
    /// When the first byte of the present head was read.
    head_begun_at: Cell<Option<Instant>>,
    /// None where nobody wants to know.
    length_headers: Cell<Option<LengthHeaderCounter>>,
    _permit: DescriptorPermit,
}

/// A counted socket. Clones are the same socket; it closes with the last of them.
#[derive(Clone)]
pub struct Socket(Rc<Inner>);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Socket {
        // Without this small answers wait for acknowledgements; a socket that refuses it still works.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(Inner {
            stream,
            read: Cell::new(0),
            written: Cell::new(0),
            head_begun_at: Cell::new(None),
            length_headers: Cell::new(None),
            _permit: permit,
        }))
    }

    /// Bytes read so far.
    pub fn read(&self) -> u64 {
        self.0.read.get()
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// The next byte that is read begins a head.
    pub fn expect_head(&self) {
        self.0.head_begun_at.set(None);
        let counter = self.0.length_headers.get().unwrap_or_default();
        self.0.length_headers.set(Some(counter.expect_head()));
    }

    /// When the present head began.
    pub fn head_begun_at(&self) -> Option<Instant> {
        self.0.head_begun_at.get()
    }

    /// How many Content-Length lines have come since heads were first expected.
    pub fn length_headers(&self) -> u64 {
        self.0.length_headers.get().map_or(0, LengthHeaderCounter::seen)
    }

    fn record_read(&self, bytes: &[u8]) {
        self.0.read.set(self.0.read.get() + bytes.len() as u64);
        if !bytes.is_empty() && self.0.head_begun_at.get().is_none() {
            self.0.head_begun_at.set(Some(Instant::now()));
        }
        if let Some(mut counter) = self.0.length_headers.get() {
            counter.record(bytes);
            self.0.length_headers.set(Some(counter));
        }
    }

    /// Reads so many bytes, or to the end, without keeping any.
    pub async fn discard(&self, mut max_bytes: usize) {
        let mut discarded = [0; 4096];
        while max_bytes > 0 && self.0.stream.readable().await.is_ok() {
            match self.0.stream.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(n) => max_bytes = max_bytes.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_interrupted(&e) => {}
                Err(_) => return,
            }
        }
    }

    /// Has the system hold little of what is written: however slow the other side takes it, that shows in
    /// what can still be written. Otherwise megabytes wait there, and nothing moves here for many seconds.
    pub fn limit_unsent(&self) {
        // Where the system refuses, a slow client is harder to distinguish from a stalled one.
        let _ = socket2::SockRef::from(&self.0.stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    }

    /// Its close will not look like an orderly end.
    pub fn reset(&self) {
        // If this fails, the other side still has no complete response.
        let _ = socket2::SockRef::from(&self.0.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the other side has ended its sending or reset the connection, also where what it sent
    /// before that is not read yet.
    pub async fn left(&self) {
        // What waits to be read does not end a wait for urgent data, and the end of reading does.
        match self.0.stream.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => std::future::pending().await,
            _ => {}
        }
    }

    /// Asks the system, not the poller: nothing to read and no end in sight.
    pub fn quiet(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        loop {
            match socket2::SockRef::from(&self.0.stream).peek(&mut byte) {
                Err(e) if is_interrupted(&e) => {}
                peeked => return matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock),
            }
        }
    }
}

/// The connection is intact, but the system's buffers are full for the moment: the task is polled again.
fn try_later<T>(cx: &Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    let all = buf.filled();
                    self.record_read(all.get(all.len() - n..).unwrap_or_default());
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_interrupted(&e) => {}
                Err(e) if is_out_of_buffers(&e) => return try_later(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Socket {
    fn poll_counted(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Ok(n) => {
                    self.0.written.set(self.0.written.get() + n as u64);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_interrupted(&e) => {}
                Err(e) if is_out_of_buffers(&e) => return try_later(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_counted(cx, |s| s.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_counted(cx, |s| s.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
