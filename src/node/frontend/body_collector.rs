//! Reads the bodies of clients' requests into memory, as far as they are buffered.
//!
//! The buffered bytes of all open requests share a fixed amount of memory. A body that is too long to be buffered
//! is read up to its first part, and streamed from then on.

use crate::system::memory::MemoryBudget;
use crate::system::socket::Socket;
use crate::upstream::{MAX_BUFFERED_BODY_BYTES, MinimumRate, RequestBody, StreamedRequestBody};
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A body of which nothing has been read.
pub(super) struct IncomingBody {
    /// The body.
    pub body: Incoming,
    /// The announced length. `None` if the body is sent in chunks.
    pub length: Option<u64>,
    /// When the head was complete. The minimum rate of the body counts from then.
    pub started_at: Instant,
}

/// A complete body, or a streamed body of which the first part has been read.
pub(super) struct CollectedBody {
    /// The body.
    pub body: RequestBody,
    /// One permit per buffered byte. `None` if no byte is buffered.
    pub memory: Option<OwnedSemaphorePermit>,
}

/// A failure to read a body.
pub(super) enum BodyReadError {
    /// The bodies of open requests take up the memory reserved for them.
    NoMemory,
    /// The client disconnected, or the body is not valid HTTP.
    Broken,
    /// The client sends more slowly than [`MinimumRate`] allows.
    TooSlow,
}

/// Reads bodies, and limits the memory that they take up together.
pub(super) struct BodyCollector {
    /// One permit per byte that the bodies of all open requests together may still take up.
    permits: Arc<Semaphore>,
    memory: Rc<MemoryBudget>,
}

impl BodyCollector {
    /// Creates a collector whose bodies may take up `body_memory_bytes` together, and no more than `memory`
    /// allows. A value below [`MAX_BUFFERED_BODY_BYTES`] counts as [`MAX_BUFFERED_BODY_BYTES`].
    pub fn new(body_memory_bytes: usize, memory: Rc<MemoryBudget>) -> BodyCollector {
        let permits = body_memory_bytes.clamp(MAX_BUFFERED_BODY_BYTES, Semaphore::MAX_PERMITS);
        BodyCollector { permits: Arc::new(Semaphore::new(permits)), memory }
    }

    /// Takes the permits for bytes that have been received.
    fn reserve(&self, bytes: usize) -> Result<OwnedSemaphorePermit, BodyReadError> {
        if !self.memory.allows_buffering() {
            return Err(BodyReadError::NoMemory);
        }
        let permits = self.permits.clone().try_acquire_many_owned(bytes as u32);
        permits.map_err(|_| BodyReadError::NoMemory)
    }

    /// Reads a complete body, or the first part of a body that is too long to be buffered. Memory is reserved
    /// for the bytes received, so that a client that announces a long body and sends nothing takes none from
    /// others.
    pub async fn collect(
        &self,
        incoming: IncomingBody,
        socket: &Socket,
    ) -> Result<CollectedBody, BodyReadError> {
        let IncomingBody { mut body, length, started_at } = incoming;
        let mut buffered = BytesMut::new();
        let mut memory: Option<OwnedSemaphorePermit> = None;
        let minimum_rate = MinimumRate::new(started_at);
        let mut last_data_at = started_at;
        loop {
            let deadline = minimum_rate.deadline(buffered.len() as u64, last_data_at);
            let frame = tokio::time::timeout_at(deadline.into(), body.frame()).await;
            let Some(frame) = frame.map_err(|_| BodyReadError::TooSlow)? else {
                return Ok(CollectedBody { body: RequestBody::Buffered(buffered.freeze()), memory });
            };
            // Trailers concern only the client's connection and are not forwarded.
            let Ok(data) = frame.map_err(|_| BodyReadError::Broken)?.into_data() else { continue };
            last_data_at = Instant::now();
            let permits = self.reserve(data.len())?;
            match &mut memory {
                Some(memory) => memory.merge(permits),
                None => memory = Some(permits),
            }
            buffered.extend_from_slice(&data);
            let is_complete = length == Some(buffered.len() as u64);
            if buffered.len() > MAX_BUFFERED_BODY_BYTES && !is_complete {
                let prefix = buffered.freeze();
                let client_reads = socket.peer_observer();
                let streamed = StreamedRequestBody::new(prefix, body, length, minimum_rate, client_reads);
                return Ok(CollectedBody { body: RequestBody::Streamed(streamed), memory });
            }
        }
    }
}
