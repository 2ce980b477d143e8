//! Hashes the names of endpoints and request keys to the numbers that identify them.
//!
//! Nodes must agree on these numbers, and snapshots store them. The hash therefore must not depend on the
//! process, the build or the release of the standard library, as the standard hasher may.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// Odd multiplier of the final mixing step.
const MIX_MULTIPLIER: u64 = 0xd6e8_feb8_6659_fd93;

/// Returns the 64-bit FNV-1a hash of a name, mixed once more by two xor-shifts and a multiplication.
///
/// The result is the same on every node and in every build. It must never change: nodes have to agree on it,
/// and stored snapshots identify endpoints by it.
pub fn stable_hash(name: &str) -> u64 {
    stable_hash_bytes(name.as_bytes())
}

/// Returns the hash of a name that need not be valid UTF-8. See [`stable_hash`].
pub fn stable_hash_bytes(name: &[u8]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(MIX_MULTIPLIER);
    hash ^ (hash >> 32)
}
