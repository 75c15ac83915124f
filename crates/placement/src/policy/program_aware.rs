//! Chooses the engine with the least expected cost, among those with a cached prefix and a few
//! drawn at random.
//!
//! Many schedulers see the same late reports. If each took the best engine, all would take the same
//! one. A random sample (the power of d choices, Mitzenmacher 2001) and a random choice among
//! nearly equal candidates avoid this.

use dahlia_types::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{KvSource, Placement, PlacementRequest, Policy};
use crate::cost::{CostEstimate, estimate_cost, recompute_seconds, transfer_seconds};
use crate::engine_table::{EngineSlot, EngineTable};
use crate::{CacheTier, CostSettings};

/// The policy of least expected cost.
#[derive(Debug)]
pub(super) struct ProgramAware {
    settings: CostSettings,
}

/// An engine and the estimated cost of running the call there.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    slot: EngineSlot,
    cost: CostEstimate,
    copy_from: Option<KvSource>,
}

impl ProgramAware {
    pub(super) fn new(settings: CostSettings) -> Self {
        Self { settings }
    }

    /// Estimates an engine's cost, with a copy of cache if that is cheaper.
    fn estimate(
        &self,
        slot: EngineSlot,
        request: &PlacementRequest<'_>,
        engines: &EngineTable,
        now: Timestamp,
    ) -> Candidate {
        let entry = engines.entry(slot);
        let own_cached = cached_tokens_on(request, slot);
        let mut candidate = Candidate {
            slot,
            cost: estimate_cost(&self.settings, entry, request.demand, own_cached, now),
            copy_from: None,
        };
        let max_cached = request.cached.iter().map(|cached| cached.tokens).max().unwrap_or(0);
        if own_cached < max_cached {
            candidate.cost.total_seconds += self.settings.move_penalty.as_secs_f64();
        }
        for source in copy_sources(request) {
            let Some(copied) = self.with_copy(source, candidate, request, engines, now) else {
                continue;
            };
            if copied.cost.total_seconds < candidate.cost.total_seconds {
                candidate = copied;
            }
        }
        candidate
    }

    /// The candidate with a copy from `source`; none when the copy gains too few tokens or takes
    /// longer than to compute them.
    fn with_copy(
        &self,
        source: KvSource,
        candidate: Candidate,
        request: &PlacementRequest<'_>,
        engines: &EngineTable,
        now: Timestamp,
    ) -> Option<Candidate> {
        let entry = engines.entry(candidate.slot);
        let gained = source.tokens.saturating_sub(cached_tokens_on(request, candidate.slot));
        let is_own_cache = source.slot == candidate.slot && source.tier == CacheTier::Engine;
        if is_own_cache || gained < self.settings.least_copied {
            return None;
        }
        let transfer = transfer_seconds(entry, source.tokens, source.tier)?;
        if transfer >= recompute_seconds(entry, gained) {
            return None;
        }
        let copied = estimate_cost(&self.settings, entry, request.demand, source.tokens, now);
        let moved = source.slot != candidate.slot;
        let penalty = if moved { self.settings.move_penalty.as_secs_f64() } else { 0.0 };
        let total_seconds = copied.total_seconds + transfer + penalty;
        let cost = CostEstimate { total_seconds, ..copied };
        Some(Candidate { slot: candidate.slot, cost, copy_from: Some(source) })
    }

    /// Chooses at random among the candidates whose cost is close to the lowest.
    fn choose(&self, candidates: &[Candidate], random: &mut ChaCha8Rng) -> Option<Candidate> {
        let totals = candidates.iter().map(|candidate| candidate.cost.total_seconds);
        let lowest = totals.fold(f64::INFINITY, f64::min);
        let limit = lowest + self.settings.tie.as_secs_f64();
        let close: Vec<&Candidate> =
            candidates.iter().filter(|candidate| candidate.cost.total_seconds <= limit).collect();
        if close.is_empty() {
            return None;
        }
        Some(*close[random.random_range(0..close.len())])
    }
}

impl Policy for ProgramAware {
    fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        engines: &EngineTable,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        examined: &mut u64,
    ) -> Placement {
        let mut slots = engines.sample(request.model, self.settings.sample_size, random, now);
        for cached in request.cached.iter().chain(&request.offloaded) {
            if !slots.contains(&cached.slot) && engines.is_usable(cached.slot, request.model, now) {
                slots.push(cached.slot);
            }
        }
        *examined += slots.len() as u64;
        let candidates: Vec<Candidate> =
            slots.iter().map(|slot| self.estimate(*slot, request, engines, now)).collect();
        let Some(chosen) = self.choose(&candidates, random) else { return Placement::NoEngine };
        let horizon = if request.is_first {
            self.settings.first_call_horizon
        } else {
            self.settings.dispatch_horizon
        };
        if chosen.cost.queue_seconds > horizon.as_secs_f64() {
            return Placement::Wait;
        }
        Placement::Engine { slot: chosen.slot, copy_from: chosen.copy_from }
    }
}

/// The possible sources of a copy: the engine with the most cached tokens, and a host's memory.
fn copy_sources(request: &PlacementRequest<'_>) -> impl Iterator<Item = KvSource> {
    let largest = request.cached.iter().max_by_key(|cached| cached.tokens);
    let on_engine = largest.map(|cached| (cached, CacheTier::Engine));
    let on_host = request.offloaded.as_ref().map(|cached| (cached, CacheTier::Host));
    let both = on_engine.into_iter().chain(on_host);
    both.map(|(cached, tier)| KvSource { slot: cached.slot, tier, tokens: cached.tokens })
}

/// Tokens of the prompt that the engine has cached.
fn cached_tokens_on(request: &PlacementRequest<'_>, slot: EngineSlot) -> u64 {
    let found = request.cached.iter().find(|cached| cached.slot == slot);
    found.map_or(0, |cached| cached.tokens)
}
