//! A hash of names whose upper bits differ also for similar names.

use model::fingerprint;

/// Odd number whose bits are spread evenly: the golden ratio in 64 bits.
const SPREAD_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hash of some parts. The fingerprints of similar names differ most in the low bits, so these
/// are spread over all bits.
pub(crate) fn spread_hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let hash = fingerprint(parts);
    (hash ^ (hash >> 32)).wrapping_mul(SPREAD_FACTOR)
}
