//! Tenants' credentials: a keyed hash over the tenant's name (HMAC-SHA256, RFC 2104).
//!
//! A credential is `<tenant>.<64 hex digits>`. Daemons keep no table of the 42,000
//! tenants: the signing key in the settings is enough to check any credential.

use hmac::{Hmac, Mac};
use sha2::Sha256;
use snafu::Snafu;

use crate::TenantId;

/// Why a credential is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum CredentialError {
    /// It does not have the form `<tenant>.<hash>`.
    #[snafu(display("the credential is malformed: expected <tenant>.<64 hex digits>"))]
    Malformed,
    /// The hash was not made with this system's key.
    #[snafu(display("the credential is not valid here"))]
    Forged,
}

/// The key that signs and checks tenants' credentials.
#[derive(Clone)]
pub struct TenantKey {
    secret: Vec<u8>,
}

impl TenantKey {
    /// Creates a key from a secret of any length.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self { secret: secret.into() }
    }

    /// Issues the credential of `tenant`.
    pub fn issue(&self, tenant: &TenantId) -> String {
        let tag = self.mac(tenant).finalize().into_bytes();
        let hex: String = tag.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{tenant}.{hex}")
    }

    /// Checks `credential` and returns the tenant that it belongs to. The comparison takes constant
    /// time.
    ///
    /// # Errors
    /// [`CredentialError`] when the text is malformed or was not issued with this key.
    pub fn check(&self, credential: &str) -> Result<TenantId, CredentialError> {
        let (tenant, hex) = credential.rsplit_once('.').ok_or(CredentialError::Malformed)?;
        let tag = decode_hex(hex).ok_or(CredentialError::Malformed)?;
        let tenant = TenantId::new(tenant);
        let verified = self.mac(&tenant).verify_slice(&tag);
        verified.map_err(|_| CredentialError::Forged)?;
        Ok(tenant)
    }

    fn mac(&self, tenant: &TenantId) -> Hmac<Sha256> {
        keyed_hash(&self.secret, tenant.as_str().as_bytes())
    }
}

/// The key with which daemons authenticate to each other.
#[derive(Clone)]
pub struct PeerKey {
    secret: Vec<u8>,
}

impl PeerKey {
    /// Creates a key from a secret of any length.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self { secret: secret.into() }
    }

    /// Proves possession of this key by a keyed hash over `text`.
    pub fn prove(&self, text: &[u8]) -> [u8; 32] {
        self.mac(text).finalize().into_bytes().into()
    }

    /// Whether `proof` was made with this key over `text`. Takes constant time.
    pub fn verify(&self, text: &[u8], proof: &[u8; 32]) -> bool {
        self.mac(text).verify_slice(proof).is_ok()
    }

    fn mac(&self, text: &[u8]) -> Hmac<Sha256> {
        keyed_hash(&self.secret, text)
    }
}

fn keyed_hash(secret: &[u8], text: &[u8]) -> Hmac<Sha256> {
    // HMAC takes keys of any length, so this cannot fail.
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("HMAC takes any key");
    mac.update(text);
    mac
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs.map(|start| u8::from_str_radix(&text[start..start + 2], 16).ok()).collect()
}
