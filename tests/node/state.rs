//! Writes the state files that one process of a node leaves for the next.

use std::path::Path;

/// Writes a state file. If `text` begins with the header line of a state file, the line is replaced by one with the
/// checksum of the rest, so that a test can change the body of an existing file.
pub fn write_updating_checksum(path: &Path, text: &str) {
    let text = match text.split_once('\n') {
        Some((header, body)) if header.starts_with("node-state") => with_checksum(body),
        _ => text.to_owned(),
    };
    std::fs::write(path, text).unwrap();
}

/// A complete state file of version 2 with this body.
pub fn with_checksum(body: &str) -> String {
    format!("node-state 2 {:08x}\n{body}", crc32fast::hash(body.as_bytes()))
}
