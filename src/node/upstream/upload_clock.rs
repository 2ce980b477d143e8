//! Estimates until when a client was sending the body of a request.
//!
//! The time that a client waits counts from when it wrote the last byte of its request. A node that waits for
//! the client's bytes sees that byte at once. But while an endpoint accepts nothing, the node reads nothing, and
//! megabytes of a body, with the last byte, may wait in the buffers between the client and the node. Counted
//! from when the node reads it, the time would begin late, or never.
//!
//! The estimate is therefore the latest time at which the client certainly had not written the last byte. There
//! are two kinds of evidence: the node was waiting for bytes of the client, or more bytes were missing than the
//! buffers hold. Without evidence, the client may have finished, so the estimate is never late. It is early for
//! a client whose buffers are smaller than assumed.

use std::collections::VecDeque;
use std::time::Instant;

/// The bytes that a client's system takes from the client and has not sent yet, at most. Linux lets a send
/// buffer grow to 4 MiB by default.
const CLIENT_SEND_BUFFER_BYTES: u64 = 4 * 1024 * 1024;
/// The minimum distance between two samples of a body, in bytes.
const SAMPLE_INTERVAL_BYTES: u64 = 256 * 1024;

/// An upper bound for what the client had written at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    max_written_bytes: u64,
}

/// The evidence on one body.
#[derive(Debug)]
pub(super) struct UploadClock {
    /// The announced length of the body. `None` if the body is sent in chunks.
    length: Option<u64>,
    /// The latest time at which the client had not written the last byte.
    sending_until: Instant,
    /// Samples that are not evidence yet, because the client may have finished when they were taken. Both
    /// fields of the samples increase.
    samples: VecDeque<Sample>,
}

impl UploadClock {
    /// Creates the clock of a body that was incomplete at `started_at`.
    pub fn new(started_at: Instant, length: Option<u64>) -> UploadClock {
        UploadClock { length, sending_until: started_at, samples: VecDeque::new() }
    }

    /// Records that `received_bytes` of the body have been received by `now`. `max_unread_bytes` returns how many
    /// more may wait on this machine, or `None` if that is not known. It is called only if it matters.
    pub fn record_received(
        &mut self,
        now: Instant,
        received_bytes: u64,
        max_unread_bytes: impl FnOnce() -> Option<u64>,
    ) {
        let may_be_evidence =
            self.length.is_none_or(|length| received_bytes + CLIENT_SEND_BUFFER_BYTES < length);
        if may_be_evidence && let Some(max_unread_bytes) = max_unread_bytes() {
            self.add_sample(now, received_bytes + max_unread_bytes + CLIENT_SEND_BUFFER_BYTES);
        }
        // The client writes at least the announced length, or what has been received.
        self.apply_samples_below(self.length.unwrap_or(received_bytes));
    }

    fn add_sample(&mut self, now: Instant, max_written_bytes: u64) {
        let next_sample_bytes =
            self.samples.back().map_or(0, |last| last.max_written_bytes + SAMPLE_INTERVAL_BYTES);
        if max_written_bytes >= next_sample_bytes {
            self.samples.push_back(Sample { at: now, max_written_bytes });
        }
    }

    /// Takes the samples at which the client had not written `min_length` bytes as evidence.
    fn apply_samples_below(&mut self, min_length: u64) {
        while let Some(sample) = self.samples.front().filter(|sample| sample.max_written_bytes < min_length)
        {
            self.sending_until = self.sending_until.max(sample.at);
            self.samples.pop_front();
        }
    }

    /// Returns the estimate. `awaited_at` is the last time at which bytes arrived that the node was waiting
    /// for, if it ever was.
    pub fn sending_until(&self, awaited_at: Option<Instant>) -> Instant {
        awaited_at.map_or(self.sending_until, |at| at.max(self.sending_until))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/upload_clock.rs"]
mod tests;
