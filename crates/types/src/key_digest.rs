//! What is kept of a tenant's key: a digest, so that no key stands in memory, on a disk, in a log or
//! on its way to another daemon.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes that are kept of the digest: two random keys share them with a chance of 2 in 10^38.
const BYTES: usize = 16;

/// The first bytes of a key's SHA-256.
///
/// Plain and fast, unlike a digest of a password: a key is long and random, so that nobody can
/// guess it by trying, and one is digested for every request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let whole = Sha256::digest(key);
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&whole[..BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    /// The first bytes only: enough to tell digests apart in an error.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, ..] = self.0;
        write!(f, "KeyDigest({first:02x}{second:02x}{third:02x}..)")
    }
}
