//! Index of the engines that computed prefixes that several programs share, e.g. a tenant's
//! instructions.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, ProgramId, Timestamp};

use crate::call::Call;
use crate::engine_table::EngineSlot;
use crate::programs::CacheLocation;

/// Most segments at the start of a history that count as shared.
const MAX_SHARED_SEGMENTS: usize = 2;
/// Most prefixes in the index.
const MAX_PREFIXES: usize = 4096;
/// Most engines recorded per prefix.
const MAX_ENGINES: usize = 8;
/// An engine that has not computed the prefix for this long has probably evicted it.
const PREFIX_MAX_AGE: Duration = Duration::from_secs(60);

/// A prefix and the engines that computed it.
#[derive(Debug)]
struct PrefixEntry {
    /// The first program with this prefix.
    program: ProgramId,
    /// Whether another program had the prefix since. The cache of an unshared prefix is lost when
    /// its program's cache is released.
    is_shared: bool,
    /// Engines and when each last computed the prefix.
    engines: Vec<(EngineSlot, Timestamp)>,
    last_computed: Timestamp,
}

/// Index of shared prefixes, bounded in size.
#[derive(Debug, Default)]
pub(crate) struct SharedPrefixes {
    entries: BTreeMap<u64, PrefixEntry>,
    by_last_computed: BTreeSet<(Timestamp, u64)>,
}

impl SharedPrefixes {
    /// Records that an engine computed the first prefixes of the call's prompt.
    pub(crate) fn record(&mut self, slot: EngineSlot, call: &Call, now: Timestamp) {
        for hash in call.prefix_hashes.iter().take(MAX_SHARED_SEGMENTS) {
            let program = call.id().program;
            let new =
                PrefixEntry { program, is_shared: false, engines: Vec::new(), last_computed: now };
            let entry = self.entries.entry(*hash).or_insert(new);
            entry.is_shared |= entry.program != program;
            self.by_last_computed.remove(&(entry.last_computed, *hash));
            entry.last_computed = now;
            self.by_last_computed.insert((now, *hash));
            entry.engines.retain(|(other, _)| *other != slot);
            if entry.engines.len() >= MAX_ENGINES {
                entry.engines.remove(0);
            }
            entry.engines.push((slot, now));
        }
        while self.entries.len() > MAX_PREFIXES {
            let Some((_, oldest)) = self.by_last_computed.pop_first() else { break };
            self.entries.remove(&oldest);
        }
    }

    /// The engines that probably still have a shared prefix of the call's prompt cached.
    pub(crate) fn cached_for(&self, call: &Call, now: Timestamp) -> Vec<CacheLocation> {
        let shared = call.prefix_hashes.iter().zip(&call.prefix_lengths).take(MAX_SHARED_SEGMENTS);
        let mut found: Vec<CacheLocation> = Vec::new();
        for (hash, tokens) in shared.rev() {
            let Some(entry) = self.entries.get(hash).filter(|entry| entry.is_shared) else {
                continue;
            };
            for (slot, computed_at) in &entry.engines {
                let is_listed = found.iter().any(|cached| cached.slot == *slot);
                if !is_listed && now.since(*computed_at) <= PREFIX_MAX_AGE {
                    found.push(CacheLocation { slot: *slot, tokens: *tokens });
                }
            }
        }
        found
    }

    /// Removes an engine whose cache is lost.
    pub(crate) fn remove_engine(&mut self, slot: EngineSlot) {
        for entry in self.entries.values_mut() {
            entry.engines.retain(|(other, _)| *other != slot);
        }
    }
}
