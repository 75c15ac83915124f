//! Least expected cost among the engines with a prefix and a few drawn at random.
//!
//! Many schedulers see the same late reports. If each took the best engine they would all take
//! the same one; a random sample (the power of d choices, Mitzenmacher 2001) and random choice
//! among nearly equal ones keep them apart.

use dahlia_types::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Placement, Policy, Request};
use crate::CostSettings;
use crate::cost::{Cost, cost, recompute_time, transfer_time};
use crate::view::{EngineSlot, EngineTable};

/// The policy and its settings.
#[derive(Debug)]
pub(super) struct ProgramAware {
    settings: CostSettings,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    slot: EngineSlot,
    cost: Cost,
    fetch_from: Option<EngineSlot>,
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
            fetch_from: None,
        };
        let Some(source) = request.cached.iter().max_by_key(|cached| cached.tokens) else {
            return found;
        };
        let gained = source.tokens.saturating_sub(own);
        let Some(transfer) = transfer_time(entry, source.tokens) else { return found };
        if source.slot == slot || transfer >= recompute_time(entry, gained) {
            return found;
        }
        let fetched = cost(&self.settings, entry, request.demand, source.tokens, now);
        let total = fetched.total + transfer;
        if total < found.cost.total {
            found.cost = Cost { total, ..fetched };
            found.fetch_from = Some(source.slot);
        }
        found
    }

    /// One of the candidates whose cost is close to the least, at random.
    fn choose(&self, candidates: &[Candidate], random: &mut ChaCha8Rng) -> Option<Candidate> {
        let totals = candidates.iter().map(|candidate| candidate.cost.total);
        let least = totals.fold(f64::INFINITY, f64::min);
        let limit = least * (1.0 + self.settings.tie_fraction);
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
        for cached in request.cached {
            if !slots.contains(&cached.slot) && engines.usable(cached.slot, request.model, now) {
                slots.push(cached.slot);
            }
        }
        *examined += slots.len() as u64;
        let candidates: Vec<Candidate> =
            slots.iter().map(|slot| self.candidate(*slot, request, engines, now)).collect();
        let Some(chosen) = self.choose(&candidates, random) else { return Placement::NoEngine };
        if chosen.cost.queue > self.settings.dispatch_horizon.as_secs_f64() {
            return Placement::Wait;
        }
        Placement::Engine { slot: chosen.slot, fetch_from: chosen.fetch_from }
    }
}

fn cached_on(request: &Request<'_>, slot: EngineSlot) -> u64 {
    let found = request.cached.iter().find(|cached| cached.slot == slot);
    found.map_or(0, |cached| cached.tokens)
}
