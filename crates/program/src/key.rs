//! Idempotency keys as replicas keep them.

use dahlia_types::IdempotencyKey;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes kept of a key's hash.
const LENGTH: usize = 16;

/// The first 128 bits of the SHA-256 of a caller's key.
///
/// A key may be long and each replica keeps one for each call of a long program. Two keys of one
/// program share 128 bits by chance with a probability below 2^-100; by intent only when the
/// caller wants its own calls to be taken for each other, and then the digest check refuses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KeyHash([u8; LENGTH]);

impl KeyHash {
    pub(crate) fn of(key: &IdempotencyKey) -> Self {
        let hash = Sha256::digest(key.as_str().as_bytes());
        let mut kept = [0; LENGTH];
        kept.copy_from_slice(&hash[..LENGTH]);
        Self(kept)
    }
}
