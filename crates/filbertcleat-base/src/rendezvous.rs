//! Hashes that every process computes alike.

use xxhash_rust::xxh3::xxh3_64;

/// Hashes a text.
pub fn stable_hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Mixes two hashes into the score of a pair, as rendezvous hashing needs it.
pub const fn mix_hashes(left: u64, right: u64) -> u64 {
    // The finalizer of SplitMix64 spreads every input bit over the result.
    let mut x = left ^ right.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
