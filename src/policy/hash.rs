//! Hashes request keys and endpoint ids. These are arbitrary numbers, so two of them may differ in only a few
//! bits.

/// Returns a hash of a number, computed by the finalizer of SplitMix64: a change of one bit of the number
/// changes about half of the bits of the hash.
pub(super) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
