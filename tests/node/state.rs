//! Creates the folder of the state files that one process of a node leaves for the next, and writes such files.

use std::path::{Path, PathBuf};

/// Creates an empty folder for state files. `name` is unique among the tests of one test binary.
pub fn create_state_dir(name: &str) -> PathBuf {
    let name = format!("wheelpath-node-state-{}-{name}", std::process::id());
    let state_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&state_dir);
    std::fs::create_dir_all(&state_dir).unwrap();
    state_dir
}

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
