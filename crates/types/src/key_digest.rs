//! Digests of tenants' keys. Daemons keep and exchange only these, so that no key is in memory, on
//! a disk, in a log or in a message to another daemon.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length to which the SHA-256 is cut. Two random keys share it with a probability of 2 in 10^38.
const DIGEST_BYTES: usize = 16;

/// The first bytes of a key's SHA-256.
///
/// It is a plain, fast hash, unlike that of a password: a key is long and random, so that it cannot
/// be guessed by trying, and a key is hashed for every request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        let digest = Sha256::digest(key);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes only the first bytes, which are enough to tell digests apart in an error.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [first, second, third, ..] = self.0;
        write!(f, "KeyDigest({first:02x}{second:02x}{third:02x}..)")
    }
}
