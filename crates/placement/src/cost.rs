//! What it would cost, in seconds, to run a call on an engine.
//!
//! Queue delay + recomputation of the prefix + slower generation in a larger batch + the useful
//! cache of others that has to go (prefix-aware placement weighed against load: Preble 2024,
//! Mooncake 2024). Nothing here knows how long the program will be.

use dahlia_types::Timestamp;

use crate::view::EngineEntry;
use crate::{CacheTier, CostSettings};

/// Time to set a transfer of KV up, in seconds.
const TRANSFER_SETUP: f64 = 0.02;

/// A call as far as the cost depends on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens that it will probably generate.
    pub generated: f64,
}

/// The parts of a cost, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Cost {
    /// Time in the engine's queue.
    pub queue: f64,
    /// All parts together.
    pub total: f64,
}

/// The cost of running `demand` on `entry` when `cached` tokens of its prompt are there.
pub(crate) fn cost(
    settings: &CostSettings,
    entry: &EngineEntry,
    demand: Demand,
    cached: u64,
    now: Timestamp,
) -> Cost {
    let queue = queue_delay(settings, entry, demand, now);
    let missing = demand.prompt.saturating_sub(cached);
    let recompute = recompute_time(entry, missing) * settings.recompute_weight;
    let generate = demand.generated * entry.step_seconds();
    let evict = eviction_cost(entry, missing, demand) * settings.eviction_weight;
    let travel = 2.0 * entry.one_way_delay.as_secs_f64();
    Cost { queue, total: queue + recompute + generate + evict + travel }
}

/// Seconds that an engine takes to compute `tokens` of a prompt.
pub(crate) fn recompute_time(entry: &EngineEntry, tokens: u64) -> f64 {
    tokens as f64 / entry.capacity.prefill_per_second.max(1.0)
}

/// Seconds to copy `tokens` of KV to the engine; none when it cannot.
pub(crate) fn transfer_time(entry: &EngineEntry, tokens: u64, tier: CacheTier) -> Option<f64> {
    let speed = entry.capacity.transfer_per_second;
    let transfers = match tier {
        CacheTier::Engine => 2.0,
        CacheTier::Host => 1.0,
    };
    (speed > 0.0).then(|| transfers * (TRANSFER_SETUP + tokens as f64 / speed))
}

fn queue_delay(
    settings: &CostSettings,
    entry: &EngineEntry,
    demand: Demand,
    now: Timestamp,
) -> f64 {
    let prefill = entry.expected_backlog(now) / entry.capacity.prefill_per_second.max(1.0);
    let slots = f64::from(entry.capacity.max_batch);
    let attempts = entry.expected_attempts();
    let memory_full = entry.pinned_fraction() > settings.full_fraction;
    let ahead = if memory_full { entry.waiting() + 1.0 } else { attempts - slots + 1.0 };
    if ahead <= 0.0 {
        return prefill;
    }
    // Places become free as the batch's attempts end, one generation's length apart in all.
    let running = entry.running().max(1.0);
    let between_ends = demand.generated * entry.step_seconds() / running;
    prefill + ahead * between_ends
}

/// Seconds that others lose when their cache makes room for this call.
fn eviction_cost(entry: &EngineEntry, missing: u64, demand: Demand) -> f64 {
    let needed = missing + demand.generated as u64;
    let shortage = needed.saturating_sub(entry.free_tokens());
    recompute_time(entry, shortage)
}
