//! Files that one process of a node leaves to the next, written by a test.

use std::path::Path;

/// Writes what stood in such a file, changed: the checksum of its first line follows.
pub fn write_updating_checksum(path: &Path, text: &str) {
    let text = match text.split_once('\n') {
        Some((first, body)) if first.starts_with("node-state") => with_checksum(body),
        _ => text.to_owned(),
    };
    std::fs::write(path, text).unwrap();
}

/// A whole file with this body.
pub fn with_checksum(body: &str) -> String {
    format!("node-state 2 {:08x}\n{body}", crc32fast::hash(body.as_bytes()))
}
