//! A TCP socket that counts the bytes that it transfers and observes the request heads that it receives.

use super::descriptors::DescriptorPermit;
use super::length_headers::LengthHeaderCounter;
use super::syscall_errors::{is_interrupted, is_out_of_buffers};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of unsent bytes in the system's send buffer of a client's connection. The slowest legitimate
/// clients receive 64 kB per second, so it takes them two seconds to receive this many bytes.
const MAX_UNSENT_BYTES: u32 = 128 * 1024;

/// The maximum number of bytes that are read ahead of the owner of a socket.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;
/// The number of bytes that are read ahead at a time.
const READ_AHEAD_PART_BYTES: usize = 4096;

/// Whether the owner of a socket holds bytes that the system has not taken yet.
#[derive(Clone, Copy)]
enum WriteBacklog {
    /// The system has taken all bytes. The time is that of the last one that it did not take at once; `None`
    /// if it has taken every byte at once.
    Empty { since: Option<Instant> },
    /// The system did not take all bytes, and the rest waits until the socket is writable.
    Waiting,
}

/// What [`PeerObserver::read_ahead`] found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadAhead {
    /// There was nothing to read, and the peer has not closed the connection.
    Nothing,
    /// There were bytes to read. More may follow them at once, now that the system has room for them.
    Bytes,
    /// As many bytes as may be kept have been read ahead, and there may be others behind them.
    Full,
    /// The peer has closed its sending side or reset the connection.
    Closed,
}

struct Inner {
    stream: TcpStream,
    /// Bytes that were read before the owner of the socket asked for them.
    read_ahead: RefCell<BytesMut>,
    bytes_read: Cell<u64>,
    bytes_written: Cell<u64>,
    /// Whether the last read found no bytes.
    awaits_bytes: Cell<bool>,
    /// When bytes were last read that the previous read had not found.
    awaited_bytes_read_at: Cell<Option<Instant>>,
    backlog: Cell<WriteBacklog>,
    /// When the first byte of the current head was read; `None` if none of it has been read.
    head_started_at: Cell<Option<Instant>>,
    /// `None` until the first call of [`Socket::expect_head`]. On connections other than those of clients,
    /// that method is never called, and Content-Length lines are not counted.
    length_headers: Cell<Option<LengthHeaderCounter>>,
    _permit: DescriptorPermit,
}

impl Inner {
    /// Takes up to `max_bytes` of the bytes that were read ahead. Returns `None` if there are none.
    fn take_read_ahead(&self, max_bytes: usize) -> Option<BytesMut> {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let length = read_ahead.len().min(max_bytes);
        let bytes = (length > 0).then(|| read_ahead.split_to(length));
        if read_ahead.is_empty() {
            // Frees the memory, which only clients that pipeline requests take up.
            *read_ahead = BytesMut::new();
        }
        bytes
    }

    /// See [`PeerObserver::read_ahead`].
    fn read_ahead(&self) -> ReadAhead {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let length_before = read_ahead.len();
        let mut part = [0; READ_AHEAD_PART_BYTES];
        while read_ahead.len() < MAX_READ_AHEAD_BYTES {
            // Asks the system, because the poller may not have reported the latest state yet.
            match (&*socket2::SockRef::from(&self.stream)).read(&mut part) {
                Ok(0) => return ReadAhead::Closed,
                Ok(length) => read_ahead.extend_from_slice(&part[..length]),
                Err(e) if is_interrupted(&e) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_out_of_buffers(&e) => break,
                Err(_) => return ReadAhead::Closed,
            }
        }
        if read_ahead.len() >= MAX_READ_AHEAD_BYTES {
            ReadAhead::Full
        } else if read_ahead.len() > length_before {
            ReadAhead::Bytes
        } else {
            ReadAhead::Nothing
        }
    }
}

/// A TCP socket with its descriptor permit. Clones refer to the same socket, which is closed with the last
/// clone.
#[derive(Clone)]
pub struct Socket(Rc<Inner>);

impl Socket {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Socket {
        // Disables Nagle's algorithm, with which small responses wait for acknowledgements. If this fails,
        // the socket still works.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(Inner {
            stream,
            read_ahead: RefCell::default(),
            bytes_read: Cell::new(0),
            bytes_written: Cell::new(0),
            awaits_bytes: Cell::new(false),
            awaited_bytes_read_at: Cell::new(None),
            backlog: Cell::new(WriteBacklog::Empty { since: None }),
            head_started_at: Cell::new(None),
            length_headers: Cell::new(None),
            _permit: permit,
        }))
    }

    /// Returns the number of bytes that the owner has read through this socket so far, without those that were
    /// read ahead, peeked at or discarded.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Returns the number of bytes handed to the system for sending so far.
    pub fn bytes_written(&self) -> u64 {
        self.0.bytes_written.get()
    }

    /// Returns whether the owner of the socket holds bytes that the system has not taken yet. They are lost if
    /// the socket is closed now.
    pub fn has_write_backlog(&self) -> bool {
        matches!(self.0.backlog.get(), WriteBacklog::Waiting)
    }

    /// Returns since when there is no write backlog. Returns `None` if there was never one, or if there is one
    /// now.
    pub fn write_backlog_ended_at(&self) -> Option<Instant> {
        match self.0.backlog.get() {
            WriteBacklog::Empty { since } => since,
            WriteBacklog::Waiting => None,
        }
    }

    /// Declares that the next byte that is read begins a request head.
    pub fn expect_head(&self) {
        self.0.head_started_at.set(None);
        let counter = self.0.length_headers.get().unwrap_or_default();
        self.0.length_headers.set(Some(counter.expect_head()));
    }

    /// Returns when the first byte of the current head was read, or `None` if none of it has been read.
    pub fn head_started_at(&self) -> Option<Instant> {
        self.0.head_started_at.get()
    }

    /// Returns the number of Content-Length lines in all heads since the first call of
    /// [`Socket::expect_head`].
    pub fn length_header_count(&self) -> u64 {
        self.0.length_headers.get().map_or(0, LengthHeaderCounter::count)
    }

    /// Returns an observer of the peer, which does not keep the socket open.
    pub fn peer_observer(&self) -> PeerObserver {
        PeerObserver(Rc::downgrade(&self.0))
    }

    fn record_read(&self, bytes: &[u8]) {
        if self.0.awaits_bytes.replace(false) {
            self.0.awaited_bytes_read_at.set(Some(Instant::now()));
        }
        self.0.bytes_read.set(self.0.bytes_read.get() + bytes.len() as u64);
        if !bytes.is_empty() && self.0.head_started_at.get().is_none() {
            self.0.head_started_at.set(Some(Instant::now()));
        }
        if let Some(mut counter) = self.0.length_headers.get() {
            counter.record(bytes);
            self.0.length_headers.set(Some(counter));
        }
    }

    /// Reads and discards bytes until the peer closes the connection, an error occurs, or `max_bytes` have
    /// been discarded. The last read may exceed `max_bytes`.
    pub async fn discard(&self, mut max_bytes: usize) {
        let mut discarded = [0; 4096];
        self.0.read_ahead.take();
        while max_bytes > 0 && self.0.stream.readable().await.is_ok() {
            match self.0.stream.try_read(&mut discarded) {
                Ok(0) => return,
                Ok(n) => max_bytes = max_bytes.saturating_sub(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_interrupted(&e) => {}
                Err(_) => return,
            }
        }
    }

    /// Limits the unsent bytes in the system's send buffer. The socket then becomes writable again soon after
    /// a slow client has read some bytes, so that the node notices the client's progress. Without the limit,
    /// megabytes wait in that buffer, and nothing can be written for many seconds although the client is
    /// reading.
    pub fn limit_unsent_bytes(&self) {
        // If this fails, a slow client is harder to distinguish from a stalled one.
        let _ = socket2::SockRef::from(&self.0.stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    }

    /// Sets the socket option with which closing the socket resets the connection. The peer then does not take
    /// the close for the regular end of a message, and bytes that the system has not sent yet are discarded.
    pub fn reset_on_close(&self) {
        // If this fails, the close is a regular one. An HTTP/1.1 peer can still detect that a message is shorter
        // than its Content-Length or lacks its last chunk.
        let _ = socket2::SockRef::from(&self.0.stream).set_linger(Some(Duration::ZERO));
    }

    /// Waits until the peer has closed its sending side or reset the connection, even if bytes that it sent
    /// before are still unread.
    pub async fn wait_until_peer_closed(&self) {
        // With interest in urgent data alone, unread bytes do not end this wait, but a close or reset does.
        match self.0.stream.ready(Interest::PRIORITY).await {
            Ok(ready) if !ready.is_read_closed() => std::future::pending().await,
            _ => {}
        }
    }

    /// Returns `true` if the socket has no unread bytes and the peer has neither closed nor reset the
    /// connection. Asks the system, because the poller may not have reported the latest state yet.
    pub fn is_open_without_unread_bytes(&self) -> bool {
        if !self.0.read_ahead.borrow().is_empty() {
            return false;
        }
        let mut byte = [std::mem::MaybeUninit::uninit()];
        loop {
            match socket2::SockRef::from(&self.0.stream).peek(&mut byte) {
                Err(e) if is_interrupted(&e) => {}
                peeked => return matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock),
            }
        }
    }
}

/// Tells whether the owner of a socket waits for the peer's bytes, or the peer's bytes wait for the owner, and
/// whether the peer has closed the connection.
#[derive(Clone)]
pub struct PeerObserver(Weak<Inner>);

impl PeerObserver {
    /// Returns whether the last read found no bytes. Returns `false` if the socket is closed.
    pub fn awaits_bytes(&self) -> bool {
        self.0.upgrade().is_some_and(|inner| inner.awaits_bytes.get())
    }

    /// Returns when bytes were last read that the read before had not found, so that they had just arrived.
    /// Returns `None` if there were none, or if the socket is closed.
    pub fn awaited_bytes_read_at(&self) -> Option<Instant> {
        self.0.upgrade()?.awaited_bytes_read_at.get()
    }

    /// Reads the bytes of the peer that the system holds, and keeps them for the owner of the socket.
    ///
    /// The system does not see that the peer closes the connection while bytes before the close fill its receive
    /// buffer. The buffer may be full with few bytes, so their number tells nothing.
    pub fn read_ahead(&self) -> ReadAhead {
        self.0.upgrade().map_or(ReadAhead::Closed, |inner| inner.read_ahead())
    }

    /// Returns the size of the receive buffer, in bytes, which unread bytes cannot exceed. Returns `None` if the
    /// socket is closed or the system does not tell.
    pub fn receive_buffer_bytes(&self) -> Option<u64> {
        let inner = self.0.upgrade()?;
        let bytes = socket2::SockRef::from(&inner.stream).recv_buffer_size().ok()?;
        u64::try_from(bytes).ok()
    }
}

/// Returns [`Poll::Pending`] and wakes the task, so that it is polled again. Used when the system lacks
/// buffers for the moment while the connection is intact.
fn poll_again<T>(cx: &Context<'_>) -> Poll<T> {
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(bytes) = self.0.take_read_ahead(buf.remaining()) {
            buf.put_slice(&bytes);
            self.record_read(&bytes);
            return Poll::Ready(Ok(()));
        }
        loop {
            if self.0.stream.poll_read_ready(cx)?.is_pending() {
                self.0.awaits_bytes.set(true);
                return Poll::Pending;
            }
            match self.0.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    let all = buf.filled();
                    self.record_read(all.get(all.len() - n..).unwrap_or_default());
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_interrupted(&e) => {}
                Err(e) if is_out_of_buffers(&e) => return poll_again(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl Socket {
    /// Calls `write` when the socket is writable, and counts the bytes that were written.
    fn poll_counted_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let written = self.poll_write_when_ready(cx, write);
        if written.is_pending() {
            self.0.backlog.set(WriteBacklog::Waiting);
        }
        written
    }

    fn poll_write_when_ready(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match write(&self.0.stream) {
                Ok(n) => {
                    self.0.bytes_written.set(self.0.bytes_written.get() + n as u64);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock || is_interrupted(&e) => {}
                Err(e) if is_out_of_buffers(&e) => return poll_again(cx),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_counted_write(cx, |s| s.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_counted_write(cx, |s| s.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The caller flushes only after it has written all its bytes, so this ends a write backlog.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.has_write_backlog() {
            self.0.backlog.set(WriteBacklog::Empty { since: Some(Instant::now()) });
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
