//! The hash by which names of endpoints and keys become numbers.

/// A stable hash of a name, the same at every node and in every build: FNV-1a, then mixed.
///
/// Nodes have to agree on it, and stored snapshots name endpoints by it, so it must never change.
pub fn stable_hash(text: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^ (hash >> 32)
}
