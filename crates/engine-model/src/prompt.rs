//! Prompts as lists of segments, and the hashes under which their prefixes are cached.

use dahlia_types::{Bytes, ModelId, ProgramId, TenantId, Tokens};
use serde::{Deserialize, Serialize};

/// One part of a prompt, e.g. a message: the hash of its content and its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// Hash of the content. Equal hashes mean equal tokens.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// Hash of a prefix: the tenant, the model and all segments of the prefix.
///
/// Published caches chain block hashes the same way (vLLM, "Automatic Prefix Caching"). The
/// tenant salts the chain, so that no block is ever shared between two tenants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChainHash(pub u64);

impl ChainHash {
    /// Returns the start of the chain for a tenant's prompts to a model.
    pub fn root(tenant: &TenantId, model: &ModelId) -> Self {
        let salted = hash_bytes(FNV_OFFSET, tenant.as_str().as_bytes());
        let separated = hash_bytes(salted, &[0]);
        Self(hash_bytes(separated, model.as_str().as_bytes()))
    }

    /// Returns the hash of this prefix with one more segment.
    pub fn extend(self, segment: Segment) -> Self {
        let with_content = hash_bytes(self.0, &segment.hash.to_le_bytes());
        Self(hash_bytes(with_content, &segment.tokens.0.to_le_bytes()))
    }
}

/// Returns the hash of every prefix of `segments`, shortest first.
pub fn chain_hashes(tenant: &TenantId, model: &ModelId, segments: &[Segment]) -> Vec<ChainHash> {
    let root = ChainHash::root(tenant, model);
    let extended = segments.iter().scan(root, |chain, segment| {
        *chain = chain.extend(*segment);
        Some(*chain)
    });
    extended.collect()
}

/// Urgency of an attempt at the engine; a smaller value is served first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u64);

/// Description of an exported part of the KV cache. The driver keeps the bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvImage {
    /// The program it was exported for.
    pub program: ProgramId,
    /// The tenant that salts its hashes.
    pub tenant: TenantId,
    /// The model that computed it.
    pub model: ModelId,
    /// The exported prefix.
    pub segments: Vec<Segment>,
    /// Length of the prefix.
    pub tokens: Tokens,
    /// Size of the image.
    pub bytes: Bytes,
}

/// Offset basis of 64-bit FNV-1a (draft-eastlake-fnv), a hash that is stable across platforms and
/// builds.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn hash_bytes(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME))
}
