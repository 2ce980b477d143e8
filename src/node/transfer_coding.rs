//! Checks the transfer codings of a message whose framing the node takes off.
//!
//! The node receives a body without its framing, and forwards it in a framing of its own and without the
//! header `Transfer-Encoding`. The HTTP library undoes the coding `chunked` once, but accepts every list of
//! codings that ends in `chunked`, and in a response any list. What other codings did to the body would
//! stay, and nothing would tell the receiver about it: a gzip file would pass for the body that was
//! compressed.
//!
//! The node knows no coding other than `chunked`. It therefore accepts only messages without a transfer
//! coding, or with `chunked` exactly once. An unknown coding is refused, as RFC 9112, section 6.1, asks.

use hyper::header::{HeaderMap, HeaderValue, TRANSFER_ENCODING};
use thiserror::Error;

/// The name of the transfer coding that the node can undo. Names of codings are case-insensitive.
const CHUNKED: &str = "chunked";

/// The framing that the header `Transfer-Encoding` of a message tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferCoding {
    /// The message has no such header.
    Identity,
    /// The body is sent in chunks.
    Chunked,
}

/// Why the node cannot restore the body of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum TransferCodingError {
    /// The list names a coding other than `chunked`, or a parameter.
    #[error("the transfer coding is not known")]
    Unknown,
    /// The header names no coding, or `chunked` more than once.
    #[error("the transfer coding is malformed")]
    Malformed,
}

/// Returns the transfer coding of a message. The codings of several header lines form one list, and empty
/// elements of the list are skipped.
///
/// # Errors
/// The node cannot undo the codings.
pub fn transfer_coding(headers: &HeaderMap) -> Result<TransferCoding, TransferCodingError> {
    if !headers.contains_key(TRANSFER_ENCODING) {
        return Ok(TransferCoding::Identity);
    }
    let mut chunked_count = 0;
    for line in headers.get_all(TRANSFER_ENCODING) {
        chunked_count += count_chunked(line)?;
    }
    if chunked_count == 1 { Ok(TransferCoding::Chunked) } else { Err(TransferCodingError::Malformed) }
}

/// Returns how often a header line names `chunked`. Returns an error if the line names another coding.
fn count_chunked(line: &HeaderValue) -> Result<usize, TransferCodingError> {
    // A comma in a quoted parameter splits the parameter. The parts are no names of codings, so the line is
    // refused.
    let line = line.to_str().map_err(|_| TransferCodingError::Unknown)?;
    let codings = line.split(',').map(str::trim).filter(|coding| !coding.is_empty());
    let mut count = 0;
    for coding in codings {
        if !coding.eq_ignore_ascii_case(CHUNKED) {
            return Err(TransferCodingError::Unknown);
        }
        count += 1;
    }
    Ok(count)
}

#[cfg(test)]
#[path = "../../tests/unit/transfer_coding.rs"]
mod tests;
