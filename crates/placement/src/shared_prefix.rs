//! Which engines have seen the prefixes that programs share, e.g. a tenant's instructions.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, ProgramId, Timestamp};

use crate::call::Call;
use crate::programs::CachedOn;
use crate::view::EngineSlot;

/// Segments at the start of a history that may be shared.
const SHARED_SEGMENTS: usize = 2;
/// Prefixes remembered.
const MOST_PREFIXES: usize = 4096;
/// Engines remembered for each.
const MOST_ENGINES: usize = 8;
/// An engine that did not compute the prefix for this long has probably evicted it.
const REMEMBERED: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Seen {
    /// The program that had it first, and whether another one had it since. What only one
    /// program has goes when its cache goes.
    program: ProgramId,
    shared: bool,
    engines: Vec<(EngineSlot, Timestamp)>,
    last: Timestamp,
}

/// A bounded index of shared prefixes.
#[derive(Debug, Default)]
pub(crate) struct SharedPrefixes {
    seen: BTreeMap<u64, Seen>,
    by_age: BTreeSet<(Timestamp, u64)>,
}

impl SharedPrefixes {
    /// Notes that an engine computed the start of the call's prompt.
    pub(crate) fn computed(&mut self, slot: EngineSlot, call: &Call, now: Timestamp) {
        for hash in call.prefixes.iter().take(SHARED_SEGMENTS) {
            let program = call.id().program;
            let new = Seen { program, shared: false, engines: Vec::new(), last: now };
            let seen = self.seen.entry(*hash).or_insert(new);
            seen.shared |= seen.program != program;
            self.by_age.remove(&(seen.last, *hash));
            seen.last = now;
            self.by_age.insert((now, *hash));
            seen.engines.retain(|(other, _)| *other != slot);
            if seen.engines.len() >= MOST_ENGINES {
                seen.engines.remove(0);
            }
            seen.engines.push((slot, now));
        }
        while self.seen.len() > MOST_PREFIXES {
            let Some((_, oldest)) = self.by_age.pop_first() else { break };
            self.seen.remove(&oldest);
        }
    }

    /// Engines that probably still have the start of the call's prompt.
    pub(crate) fn cached_for(&self, call: &Call, now: Timestamp) -> Vec<CachedOn> {
        let shared = call.prefixes.iter().zip(&call.lengths).take(SHARED_SEGMENTS);
        let mut found: Vec<CachedOn> = Vec::new();
        for (hash, tokens) in shared.rev() {
            let Some(seen) = self.seen.get(hash).filter(|seen| seen.shared) else { continue };
            for (slot, at) in &seen.engines {
                let known = found.iter().any(|cached| cached.slot == *slot);
                if !known && now.since(*at) <= REMEMBERED {
                    found.push(CachedOn { slot: *slot, tokens: *tokens });
                }
            }
        }
        found
    }

    /// Forgets an engine whose cache is gone.
    pub(crate) fn forget_engine(&mut self, slot: EngineSlot) {
        for seen in self.seen.values_mut() {
            seen.engines.retain(|(other, _)| *other != slot);
        }
    }
}
