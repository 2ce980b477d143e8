//! Tests which transfer codings the node takes for the one that it can undo.

use super::*;

fn coding_of(lines: &[&'static str]) -> Result<TransferCoding, TransferCodingError> {
    let mut headers = HeaderMap::new();
    for line in lines {
        headers.append(TRANSFER_ENCODING, HeaderValue::from_static(line));
    }
    transfer_coding(&headers)
}

/// Guards against a body that the receiver gets in a coding that nothing tells it about.
#[test]
fn only_chunked_once_is_accepted_in_any_spelling() {
    assert_eq!(coding_of(&[]), Ok(TransferCoding::Identity));
    for lines in [
        &["chunked"][..],
        &["Chunked"],
        &["CHUNKED"],
        &[" chunked "],
        &["chunked\t"],
        &[", chunked"],
        &["chunked, ,"],
        &["", "chunked"],
        &["chunked", ","],
    ] {
        assert_eq!(coding_of(lines), Ok(TransferCoding::Chunked), "{lines:?}");
    }
    for lines in [
        &["gzip, chunked"][..],
        &["GZIP,CHUNKED"],
        &["gzip\t,\tchunked"],
        &["gzip", "chunked"],
        &["chunked", "gzip"],
        &["chunked, gzip"],
        &["gzip"],
        &["x-gzip, chunked"],
        &["deflate, gzip, chunked"],
        &["identity, chunked"],
        &["chunked;q=1"],
        &["gzip;a=\"x,chunked\""],
        &["gzip;a=\", chunked"],
        &["chunked, gzip, chunked"],
        &["chunkedx"],
    ] {
        assert_eq!(coding_of(lines), Err(TransferCodingError::Unknown), "{lines:?}");
    }
    let mut opaque = HeaderMap::new();
    opaque.append(TRANSFER_ENCODING, HeaderValue::from_bytes(b"\xff, chunked").unwrap());
    assert_eq!(transfer_coding(&opaque), Err(TransferCodingError::Unknown));
    for lines in [&[""][..], &[","], &["chunked, chunked"], &["chunked", "Chunked"]] {
        assert_eq!(coding_of(lines), Err(TransferCodingError::Malformed), "{lines:?}");
    }
}
