//! Small opaque facts that are replicated to every daemon. The newest version of each wins.

use std::collections::BTreeMap;

use bytes::Bytes;
use dahlia_types::{DaemonId, Duration, EngineId, GroupId, Timestamp};
use serde::{Deserialize, Serialize};

use super::buckets::Buckets;

/// The subject of a fact.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FactKey {
    /// The operators' configuration; the version is its generation.
    Configuration,
    /// A group's members and leader; see [`crate::directory::GroupDescription::version`].
    Group(GroupId),
    /// A load report of an engine. Expires unless it is renewed, and is not compared.
    EngineLoad(EngineId),
    /// A load report of a daemon. Expires unless it is renewed, and is not compared.
    DaemonLoad(DaemonId),
    /// Failed attempts at a back end, as one daemon observed them. Expires unless it is renewed, and
    /// is not compared.
    BackendFailure {
        /// The back end's identifier.
        backend: String,
        /// The daemon that observed them.
        reporter: DaemonId,
    },
    /// Any other fact, by a number that the driver assigns.
    Other(u32),
    /// A document that every daemon usually reads from another source, by a number that the driver
    /// assigns. It spreads by comparison, with a few members as soon as it changes: gossip would send
    /// every daemon a document that it already has.
    Document(u32),
}

/// Documents with this number or a higher one are holder documents: only daemons that hold groups
/// ("holders") store them. They are long and change often, and other daemons have a cheaper source
/// for them. A daemon whose source fails requests them from a holder.
pub const FIRST_HOLDER_DOCUMENT: u32 = 1 << 16;

impl FactKey {
    /// Whether it is a document that only daemons with groups store.
    pub fn is_holder_document(&self) -> bool {
        matches!(self, Self::Document(number) if *number >= FIRST_HOLDER_DOCUMENT)
    }

    /// Whether the fact is replaced often. Such facts spread by gossip only.
    pub fn is_load(&self) -> bool {
        matches!(self, Self::EngineLoad(_) | Self::DaemonLoad(_) | Self::BackendFailure { .. })
    }

    /// Whether a new version of the fact spreads by gossip.
    pub(super) fn is_gossiped(&self) -> bool {
        !matches!(self, Self::Document(_))
    }
}

/// A versioned fact, as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Its subject.
    pub key: FactKey,
    /// Its version; the newest wins.
    pub version: u64,
    /// Its content, in the driver's encoding.
    pub bytes: Bytes,
}

impl Fact {
    /// An upper bound of the encoded size in bytes (bincode, standard configuration).
    pub(super) fn wire_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 24;
        let name = match &self.key {
            FactKey::EngineLoad(engine) => engine.as_str().len(),
            FactKey::BackendFailure { backend, .. } => backend.len(),
            _ => 0,
        };
        FIXED_BYTES + name + self.bytes.len()
    }
}

#[derive(Debug, Clone)]
struct StoredFact {
    fact: Fact,
    stored_at: Timestamp,
}

/// All known facts.
#[derive(Debug, Clone, Default)]
pub(super) struct Facts {
    stored: BTreeMap<FactKey, StoredFact>,
    /// Hashes of the facts that are compared with every member.
    hashes: Buckets,
    /// Hashes of the holder documents.
    holder_document_hashes: Buckets,
}

impl Facts {
    /// Stores a fact if it is newer than the stored one. Returns whether it was stored.
    pub fn merge(&mut self, fact: Fact, max_facts: usize, now: Timestamp) -> bool {
        let known = self.stored.get(&fact.key);
        if known.is_some_and(|stored| stored.fact.version >= fact.version) {
            return false;
        }
        if known.is_none() && self.stored.len() >= max_facts {
            return false;
        }
        if !fact.key.is_load() {
            let is_holder_document = fact.key.is_holder_document();
            let hashes = if is_holder_document {
                &mut self.holder_document_hashes
            } else {
                &mut self.hashes
            };
            if let Some(stored) = known {
                hashes.toggle_fact(&stored.fact);
            }
            hashes.toggle_fact(&fact);
        }
        self.stored.insert(fact.key.clone(), StoredFact { fact, stored_at: now });
        true
    }

    /// Hashes of the facts that are compared: with every member, or among holders.
    pub fn hashes(&self, with_holder_documents: bool) -> Buckets {
        let mut hashes = self.hashes.clone();
        if with_holder_documents {
            hashes.join(&self.holder_document_hashes);
        }
        hashes
    }

    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        self.stored.get(key).map(|stored| &stored.fact)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Fact> {
        self.stored.values().map(|stored| &stored.fact)
    }

    /// The facts that are compared: with every member, or among holders.
    pub fn compared(&self, with_holder_documents: bool) -> impl Iterator<Item = &Fact> {
        self.iter().filter(move |fact| {
            !fact.key.is_load() && (with_holder_documents || !fact.key.is_holder_document())
        })
    }

    /// Removes load facts that were not renewed within `lifetime`.
    pub fn expire(&mut self, lifetime: Duration, now: Timestamp) {
        self.stored.retain(|key, stored| !key.is_load() || now.since(stored.stored_at) < lifetime);
    }
}
