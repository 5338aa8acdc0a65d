//! Hashes of API keys.

use std::sync::LazyLock;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use siphasher::sip128::SipHasher13;

/// The secret of this process. Without it nobody can find a key with a given hash, nor two keys that
/// collide.
static HASH_SECRET: LazyLock<[u8; 16]> = LazyLock::new(|| SmallRng::from_os_rng().random());

/// The hash of an API key, which stands for the key within a process.
///
/// Keys are looked up and compared by their hashes only, so that neither logs nor the time of a
/// comparison tell anything about them.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyHash(u128);

impl KeyHash {
    /// Hashes a key with the secret of this process.
    pub fn of(key: &[u8]) -> Self {
        Self(SipHasher13::new_with_key(&HASH_SECRET).hash(key).as_u128())
    }
}
