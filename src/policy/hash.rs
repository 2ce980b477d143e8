//! Hashes request keys and endpoint ids, which may differ in a few bits only, to evenly distributed numbers.

/// Returns a hash of a number in which each bit depends on all bits of the number; a bijection. This is the
/// finalizer of SplitMix64.
pub(super) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
