//! Identifies a request by what a server gets of it, over attempts, callers and gateways.

use std::fmt;
use std::str::FromStr;
use std::sync::{Mutex, OnceLock, PoisonError};

use bytes::Bytes;
use dahlia_types::TenantId;
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::HeaderNames;
use crate::request::RequestHead;

/// The longest body that is hashed although no request is suspect, in bytes.
const MAX_SHORT_BODY_BYTES: usize = 4 * 1024;

/// Identifies a request by a hash of what a server gets: tenant, method, host, target and body, which begins with the
/// history of a turn. All gateways compute the same one.
///
/// The hash is cryptographic, so that no caller can make up a request with the fingerprint of another's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint {
    /// The first half of a SHA-256 hash.
    pub digest: u128,
    /// The length of the body. A request with a body of another length need not be hashed to be told apart.
    pub body_bytes: u64,
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}-{}", self.digest, self.body_bytes)
    }
}

impl FromStr for RequestFingerprint {
    type Err = InvalidFingerprint;

    /// Reads the form that logs have.
    fn from_str(text: &str) -> Result<Self, InvalidFingerprint> {
        let (digest, body_bytes) = text.split_once('-').ok_or(InvalidFingerprint)?;
        let digest = u128::from_str_radix(digest, 16).map_err(|_| InvalidFingerprint)?;
        let body_bytes = body_bytes.parse().map_err(|_| InvalidFingerprint)?;
        Ok(Self { digest, body_bytes })
    }
}

/// The text is no hash of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display(
    "a hash of a request has 32 hexadecimal digits, a dash and the length of its body"
))]
pub struct InvalidFingerprint;

/// What a server gets of a request. It is hashed only when its fingerprint is needed.
#[derive(Debug)]
pub(crate) struct RequestContent {
    /// The hash of everything before the body.
    head: Sha256,
    body: Mutex<Bytes>,
    body_bytes: u64,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl RequestContent {
    pub(crate) fn new(
        tenant: Option<&TenantId>,
        head: &RequestHead,
        names: &HeaderNames,
        body: Bytes,
    ) -> Self {
        // Without a body, the prompt of a model server is what its header names.
        let prompt = head.headers.get(&names.prompt_parts).filter(|_| body.is_empty());
        let parts = [
            tenant.map_or("", TenantId::as_str).as_bytes(),
            head.method.as_str().as_bytes(),
            head.host.as_bytes(),
            head.target.as_str().as_bytes(),
            prompt.map_or(&[], |prompt| prompt.as_bytes()),
        ];
        let mut hash = Sha256::new();
        for part in parts {
            // Lengths keep the parts apart.
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let body_bytes = body.len() as u64;
        Self { head: hash, body: Mutex::new(body), body_bytes, fingerprint: OnceLock::new() }
    }

    pub(crate) fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Whether hashing it costs next to nothing.
    pub(crate) fn is_short(&self) -> bool {
        self.body_bytes <= MAX_SHORT_BODY_BYTES as u64
    }

    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| {
            let body = self.body.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let hash: [u8; 32] = self.head.clone().chain_update(&body).finalize().into();
            let (first, _) = hash.split_first_chunk().expect("a hash of 32 bytes");
            RequestFingerprint { digest: u128::from_le_bytes(*first), body_bytes: self.body_bytes }
        })
    }

    /// The fingerprint, if it was needed before.
    pub(crate) fn known_fingerprint(&self) -> Option<RequestFingerprint> {
        self.fingerprint.get().copied()
    }

    /// Frees the body. The fingerprint stays known.
    pub(crate) fn release_body(&self) {
        self.fingerprint();
        *self.body.lock().unwrap_or_else(PoisonError::into_inner) = Bytes::new();
    }
}
