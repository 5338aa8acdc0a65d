//! Hashes that are equal in every process.

use xxhash_rust::xxh3::Xxh3Default;
use xxhash_rust::xxh3::xxh3_64;

/// Hashes a string; the result is the same in every process and version.
pub fn stable_hash(text: &str) -> u64 {
    stable_hash_bytes(text.as_bytes())
}

/// Hashes bytes like `stable_hash`.
pub fn stable_hash_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Hashes pieces of bytes like `stable_hash_bytes` hashes them in one piece.
pub fn stable_hash_pieces<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = Xxh3Default::new();
    pieces.into_iter().for_each(|piece| hasher.update(piece));
    hasher.digest()
}

/// Combines two hashes into one, such as the score of a pair in rendezvous hashing.
pub const fn mix_hashes(left: u64, right: u64) -> u64 {
    // The SplitMix64 finalizer makes every output bit depend on every input bit.
    let mut x = left ^ right.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
