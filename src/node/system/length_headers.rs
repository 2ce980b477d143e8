//! Counts the Content-Length lines in request heads, to detect request smuggling.
//!
//! A request with both a Content-Length and a chunked body may be an attempt to smuggle a second request
//! past the node. For a chunked request, hyper drops the Content-Length header, so that the node would not
//! see it. The received bytes are therefore scanned for it.

/// The start of a Content-Length line, in lower case.
const CONTENT_LENGTH: &[u8] = b"content-length:";

/// Scans the bytes of request heads as they are received.
#[derive(Clone, Copy, Default)]
pub(super) struct LengthHeaderCounter {
    /// Content-Length lines in all heads so far.
    count: u64,
    /// Length of the current line so far, without its line break.
    line_bytes: usize,
    /// Whether each byte of the current line so far matches the byte of [`CONTENT_LENGTH`] at the same
    /// position. Bytes beyond the length of [`CONTENT_LENGTH`] are not compared. Without meaning while the
    /// line is empty.
    line_matches: bool,
    /// Whether the head has a line that is not empty. After that, an empty line ends the head.
    has_line: bool,
    /// Whether the head has ended.
    head_has_ended: bool,
}

impl LengthHeaderCounter {
    /// Returns a counter that scans the next head. Its count starts at the count of this counter.
    pub fn expect_head(self) -> LengthHeaderCounter {
        LengthHeaderCounter { count: self.count, ..LengthHeaderCounter::default() }
    }

    /// Returns the number of Content-Length lines in all heads so far.
    pub fn count(self) -> u64 {
        self.count
    }

    /// Scans the bytes that were received after those of the previous call. Ignores bytes after the end of
    /// the head.
    pub fn record(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.head_has_ended {
                return;
            }
            self.record_byte(*byte);
        }
    }

    fn record_byte(&mut self, byte: u8) {
        match byte {
            b'\n' if self.line_bytes == 0 && self.has_line => self.head_has_ended = true,
            b'\n' => self.line_bytes = 0,
            b'\r' => {}
            _ => {
                self.has_line = true;
                let expected = CONTENT_LENGTH.get(self.line_bytes);
                let byte_matches = expected.is_none_or(|expected| *expected == byte.to_ascii_lowercase());
                self.line_matches = (self.line_bytes == 0 || self.line_matches) && byte_matches;
                self.line_bytes += 1;
                let is_complete_match = self.line_matches && self.line_bytes == CONTENT_LENGTH.len();
                self.count += u64::from(is_complete_match);
            }
        }
    }
}
