//! Hashes of idempotency keys, which replicas keep instead of the keys.

use dahlia_types::IdempotencyKey;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length to which the hash of a key is cut.
const KEY_HASH_BYTES: usize = 16;

/// The first 128 bits of the SHA-256 of a caller's key.
///
/// A key may be long, and each replica keeps one for each call of a long program. Two keys of one
/// program have the same hash by chance with a probability below 2^-100. A caller could make them
/// collide on purpose, but only for its own calls, and the digest check then refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyHash([u8; KEY_HASH_BYTES]);

impl KeyHash {
    pub(crate) fn of(key: &IdempotencyKey) -> Self {
        let hash = Sha256::digest(key.as_str().as_bytes());
        let mut kept = [0; KEY_HASH_BYTES];
        kept.copy_from_slice(&hash[..KEY_HASH_BYTES]);
        Self(kept)
    }
}
