//! Least expected cost among the engines with a prefix and a few drawn at random.
//!
//! Many schedulers see the same late reports. If each took the best engine they would all take
//! the same one; a random sample (the power of d choices, Mitzenmacher 2001) and random choice
//! among nearly equal ones keep them apart.

use dahlia_types::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Placement, Policy, Request, Source};
use crate::cost::{Cost, cost, recompute_time, transfer_time};
use crate::view::{EngineSlot, EngineTable};
use crate::{CacheTier, CostSettings};

/// The policy and its settings.
#[derive(Debug)]
pub(super) struct ProgramAware {
    settings: CostSettings,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    slot: EngineSlot,
    cost: Cost,
    copy_from: Option<Source>,
}

impl ProgramAware {
    pub(super) fn new(settings: CostSettings) -> Self {
        Self { settings }
    }

    fn candidate(
        &self,
        slot: EngineSlot,
        request: &Request<'_>,
        engines: &EngineTable,
        now: Timestamp,
    ) -> Candidate {
        let entry = engines.entry(slot);
        let own = cached_on(request, slot);
        let mut found = Candidate {
            slot,
            cost: cost(&self.settings, entry, request.demand, own, now),
            copy_from: None,
        };
        let most_cached = request.cached.iter().map(|cached| cached.tokens).max().unwrap_or(0);
        if own < most_cached {
            found.cost.total += self.settings.move_penalty.as_secs_f64();
        }
        for source in sources(request) {
            let Some(copied) = self.copied(source, found, request, engines, now) else { continue };
            if copied.cost.total < found.cost.total {
                found = copied;
            }
        }
        found
    }

    /// The candidate when it copies from `source` first; none when that is not worth while.
    fn copied(
        &self,
        source: Source,
        found: Candidate,
        request: &Request<'_>,
        engines: &EngineTable,
        now: Timestamp,
    ) -> Option<Candidate> {
        let entry = engines.entry(found.slot);
        let gained = source.tokens.saturating_sub(cached_on(request, found.slot));
        let useless = source.slot == found.slot && source.tier == CacheTier::Engine;
        if useless || gained < self.settings.least_copied {
            return None;
        }
        let transfer = transfer_time(entry, source.tokens, source.tier)?;
        if transfer >= recompute_time(entry, gained) {
            return None;
        }
        let copied = cost(&self.settings, entry, request.demand, source.tokens, now);
        let moved = source.slot != found.slot;
        let penalty = if moved { self.settings.move_penalty.as_secs_f64() } else { 0.0 };
        let total = copied.total + transfer + penalty;
        let cost = Cost { total, ..copied };
        Some(Candidate { slot: found.slot, cost, copy_from: Some(source) })
    }

    /// One of the candidates whose cost is close to the least, at random.
    fn choose(&self, candidates: &[Candidate], random: &mut ChaCha8Rng) -> Option<Candidate> {
        let totals = candidates.iter().map(|candidate| candidate.cost.total);
        let least = totals.fold(f64::INFINITY, f64::min);
        let limit = least + self.settings.tie.as_secs_f64();
        let close: Vec<&Candidate> =
            candidates.iter().filter(|candidate| candidate.cost.total <= limit).collect();
        if close.is_empty() {
            return None;
        }
        Some(*close[random.random_range(0..close.len())])
    }
}

impl Policy for ProgramAware {
    fn place(
        &mut self,
        request: &Request<'_>,
        engines: &EngineTable,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        examined: &mut u64,
    ) -> Placement {
        let mut slots = engines.sample(request.model, self.settings.sample_size, random, now);
        for cached in request.cached.iter().chain(&request.offloaded) {
            if !slots.contains(&cached.slot) && engines.usable(cached.slot, request.model, now) {
                slots.push(cached.slot);
            }
        }
        *examined += slots.len() as u64;
        let candidates: Vec<Candidate> =
            slots.iter().map(|slot| self.candidate(*slot, request, engines, now)).collect();
        let Some(chosen) = self.choose(&candidates, random) else { return Placement::NoEngine };
        let horizon = if request.first {
            self.settings.first_call_horizon
        } else {
            self.settings.dispatch_horizon
        };
        if chosen.cost.queue > horizon.as_secs_f64() {
            return Placement::Wait;
        }
        Placement::Engine { slot: chosen.slot, copy_from: chosen.copy_from }
    }
}

/// The largest copies that could be fetched: from an engine, and from a host's memory.
fn sources(request: &Request<'_>) -> impl Iterator<Item = Source> {
    let largest = request.cached.iter().max_by_key(|cached| cached.tokens);
    let on_engine = largest.map(|cached| (cached, CacheTier::Engine));
    let on_host = request.offloaded.as_ref().map(|cached| (cached, CacheTier::Host));
    let both = on_engine.into_iter().chain(on_host);
    both.map(|(cached, tier)| Source { slot: cached.slot, tier, tokens: cached.tokens })
}

fn cached_on(request: &Request<'_>, slot: EngineSlot) -> u64 {
    let found = request.cached.iter().find(|cached| cached.slot == slot);
    found.map_or(0, |cached| cached.tokens)
}
