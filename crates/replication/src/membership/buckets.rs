//! Incremental hashes of members and facts, by bucket.
//!
//! Two daemons with the same records and facts have the same hashes, in whatever order they got them.
//! The cost of a change does not depend on the number of entries.

use dahlia_types::DaemonId;

use super::{Fact, FactKey, Health, MemberRecord};

/// Number of buckets of members, and of facts. Each is one bit in a [`super::SyncChunk`].
pub(super) const BUCKETS: usize = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The hashes of a set, one for each bucket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Buckets([u32; BUCKETS]);

impl Default for Buckets {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

impl Buckets {
    /// Adds a record to the set, or removes it. Exclusive or is its own inverse and does not depend
    /// on the order.
    pub(super) fn toggle_member(&mut self, record: &MemberRecord) {
        // Dead members are left out: some daemons have removed them from their tables, others not.
        if record.health == Health::Dead {
            return;
        }
        let info = &record.info;
        let health = record.health as u64;
        let words = [u64::from(info.daemon.0), info.incarnation.0, record.version.into(), health];
        self.0[member_bucket(info.daemon)] ^= hash_words(&words) as u32;
    }

    /// Adds a fact to the set, or removes it.
    pub(super) fn toggle_fact(&mut self, fact: &Fact) {
        let [kind, number] = fact_key_words(&fact.key);
        self.0[fact_bucket(&fact.key)] ^= hash_words(&[kind, number, fact.version]) as u32;
    }

    /// Adds the facts of another set, which must have none in common with this one.
    pub(super) fn join(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own ^= other;
        }
    }

    pub(super) fn to_vec(&self) -> Vec<u32> {
        self.0.to_vec()
    }
}

/// The buckets in which two sets differ, by bit.
pub(super) fn differing_buckets(own: &[u32], other: &[u32]) -> u64 {
    let mut bits = 0;
    for bucket in 0..BUCKETS {
        if own.get(bucket) != other.get(bucket) {
            bits |= 1 << bucket;
        }
    }
    bits
}

pub(super) fn has_bit(bits: u64, bucket: usize) -> bool {
    bits & (1 << bucket) != 0
}

pub(super) fn member_bucket(daemon: DaemonId) -> usize {
    daemon.0 as usize % BUCKETS
}

pub(super) fn fact_bucket(key: &FactKey) -> usize {
    hash_words(&fact_key_words(key)) as usize % BUCKETS
}

fn fact_key_words(key: &FactKey) -> [u64; 2] {
    match key {
        FactKey::Configuration => [0, 0],
        FactKey::Group(group) => [1, u64::from(group.0)],
        FactKey::DaemonLoad(daemon) => [2, u64::from(daemon.0)],
        FactKey::Other(number) => [3, u64::from(*number)],
        FactKey::Document(number) => [5, u64::from(*number)],
        FactKey::EngineLoad(engine) => [4, hash_text(engine.as_str())],
        FactKey::BackendFailure { backend, reporter } => {
            [6, hash_text(backend) ^ u64::from(reporter.0)]
        }
    }
}

fn hash_text(text: &str) -> u64 {
    hash_words(&text.bytes().map(u64::from).collect::<Vec<u64>>())
}

/// FNV-1a over words, with a final mix so that all bits matter.
fn hash_words(words: &[u64]) -> u64 {
    let mut state = FNV_OFFSET;
    for word in words {
        for byte in word.to_le_bytes() {
            state = (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }
    state ^ (state >> 32)
}
