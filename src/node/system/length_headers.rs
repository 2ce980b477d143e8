//! Counts the header lines of request heads that state a body's length.
//!
//! A request that states its length in two ways may be meant to smuggle another past the node. hyper drops
//! the length of a request that comes in chunks too, so the bytes themselves are scanned.

/// The start of a header line that states a body's length, in small letters.
const CONTENT_LENGTH: &[u8] = b"content-length:";

/// Scans the bytes of a head as they come.
#[derive(Clone, Copy, Default)]
pub(super) struct LengthHeaderCounter {
    /// Content-Length lines.
    seen: u64,
    /// How much of the line has come that the last byte belongs to, without its end.
    line_bytes: usize,
    /// All of that agrees with `CONTENT_LENGTH`, as far as that goes.
    line_agrees: bool,
    /// A line with something in it has come: an empty one ends the head.
    has_begun: bool,
    /// The head is over.
    is_in_body: bool,
}

impl LengthHeaderCounter {
    /// For the next head, with the count so far.
    pub fn expect_head(self) -> LengthHeaderCounter {
        LengthHeaderCounter { seen: self.seen, ..LengthHeaderCounter::default() }
    }

    /// Content-Length lines, in all heads.
    pub fn seen(self) -> u64 {
        self.seen
    }

    /// Scans what was read.
    pub fn record(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.is_in_body {
                return;
            }
            self.record_byte(*byte);
        }
    }

    fn record_byte(&mut self, byte: u8) {
        match byte {
            b'\n' if self.line_bytes == 0 && self.has_begun => self.is_in_body = true,
            b'\n' => self.line_bytes = 0,
            b'\r' => {}
            _ => {
                self.has_begun = true;
                let wanted = CONTENT_LENGTH.get(self.line_bytes);
                let agrees = wanted.is_none_or(|wanted| *wanted == byte.to_ascii_lowercase());
                self.line_agrees = (self.line_bytes == 0 || self.line_agrees) && agrees;
                self.line_bytes += 1;
                let is_told = self.line_agrees && self.line_bytes == CONTENT_LENGTH.len();
                self.seen += u64::from(is_told);
            }
        }
    }
}
