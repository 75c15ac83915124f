//! Small opaque facts that every daemon gets to know; the newest version of each wins.

use std::collections::BTreeMap;

use bytes::Bytes;
use dahlia_types::{DaemonId, Duration, EngineId, GroupId, Timestamp};
use serde::{Deserialize, Serialize};

use super::buckets::Buckets;

/// What a fact is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FactKey {
    /// The operators' configuration; the version is its generation.
    Configuration,
    /// A group's members and leader; see [`crate::directory::GroupDescription::version`].
    Group(GroupId),
    /// A load report of an engine. Dropped when it is not renewed, and not compared.
    EngineLoad(EngineId),
    /// A load report of a daemon. Dropped when it is not renewed, and not compared.
    DaemonLoad(DaemonId),
    /// Failed attempts at a back end, as one daemon saw them. Dropped when it is not renewed, and
    /// not compared.
    BackendFailure {
        /// The back end's identifier.
        backend: String,
        /// Who saw them.
        reporter: DaemonId,
    },
    /// Anything else, by a number that the driver assigns.
    Other(u32),
    /// A document that every daemon reads elsewhere as a rule, by a number that the driver assigns.
    /// Spread by comparison, with a few members as soon as it changes: gossip would send everybody
    /// what everybody has.
    Document(u32),
}

/// Documents with a number from here on are kept by daemons that hold groups only: they are long, they
/// change often, and others get them by a better way. Whoever lacks them asks.
pub const FIRST_HOLDER_DOCUMENT: u32 = 1 << 16;

impl FactKey {
    /// Whether it is a document that only daemons with groups keep.
    pub fn is_holder_document(&self) -> bool {
        matches!(self, Self::Document(number) if *number >= FIRST_HOLDER_DOCUMENT)
    }

    /// Whether the fact is soon replaced: such facts spread by gossip only.
    pub fn is_load(&self) -> bool {
        matches!(self, Self::EngineLoad(_) | Self::DaemonLoad(_) | Self::BackendFailure { .. })
    }

    /// Whether news of the fact is passed on at once.
    pub(super) fn is_gossiped(&self) -> bool {
        !matches!(self, Self::Document(_))
    }
}

/// A fact as it spreads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// What it is about.
    pub key: FactKey,
    /// The newest wins.
    pub version: u64,
    /// The driver's encoding.
    pub bytes: Bytes,
}

impl Fact {
    /// An upper bound of its encoded bytes (bincode, standard configuration).
    pub(super) fn wire_bytes(&self) -> usize {
        const FIXED: usize = 24;
        let name = match &self.key {
            FactKey::EngineLoad(engine) => engine.as_str().len(),
            FactKey::BackendFailure { backend, .. } => backend.len(),
            _ => 0,
        };
        FIXED + name + self.bytes.len()
    }
}

#[derive(Debug, Clone)]
struct Held {
    fact: Fact,
    since: Timestamp,
}

/// All facts known.
#[derive(Debug, Clone, Default)]
pub(super) struct Facts {
    held: BTreeMap<FactKey, Held>,
    /// Of those that are compared with every other member.
    hashes: Buckets,
    /// Of the documents that daemons with groups keep.
    kept_hashes: Buckets,
}

impl Facts {
    /// Takes a fact in when it is newer than the one held. Returns whether it is.
    pub fn merge(&mut self, fact: Fact, max_facts: usize, now: Timestamp) -> bool {
        let known = self.held.get(&fact.key);
        if known.is_some_and(|held| held.fact.version >= fact.version) {
            return false;
        }
        if known.is_none() && self.held.len() >= max_facts {
            return false;
        }
        if !fact.key.is_load() {
            let is_kept = fact.key.is_holder_document();
            let hashes = if is_kept { &mut self.kept_hashes } else { &mut self.hashes };
            if let Some(held) = known {
                hashes.toggle_fact(&held.fact);
            }
            hashes.toggle_fact(&fact);
        }
        self.held.insert(fact.key.clone(), Held { fact, since: now });
        true
    }

    /// Of the facts that are compared: with every member, or among daemons that hold groups.
    pub fn hashes(&self, with_kept: bool) -> Buckets {
        let mut hashes = self.hashes.clone();
        if with_kept {
            hashes.join(&self.kept_hashes);
        }
        hashes
    }

    pub fn get(&self, key: &FactKey) -> Option<&Fact> {
        self.held.get(key).map(|held| &held.fact)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Fact> {
        self.held.values().map(|held| &held.fact)
    }

    /// Facts that are compared: with every member, or among daemons that hold groups.
    pub fn lasting(&self, with_kept: bool) -> impl Iterator<Item = &Fact> {
        self.iter().filter(move |fact| {
            !fact.key.is_load() && (with_kept || !fact.key.is_holder_document())
        })
    }

    /// Drops load facts that were not renewed.
    pub fn expire(&mut self, lifetime: Duration, now: Timestamp) {
        self.held.retain(|key, held| !key.is_load() || now.since(held.since) < lifetime);
    }
}
