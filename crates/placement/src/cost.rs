//! Estimated cost, in seconds, of running a call on an engine.
//!
//! The cost is the sum of the queue delay, the prefill of the uncached prompt, the generation,
//! which is slower in a larger batch, the useful cache of other programs that is evicted, and the
//! network round trip. Weighing cached prefixes against load follows Preble (2024) and Mooncake
//! (2024). The length of the program is unknown and plays no part.

use dahlia_types::Timestamp;

use crate::engine_table::EngineEntry;
use crate::{CacheTier, CostSettings};

/// Time to set up a transfer of KV cache.
const TRANSFER_SETUP_SECONDS: f64 = 0.02;

/// Tokens that a call needs from an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenDemand {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Expected tokens of the answer.
    pub generated: f64,
}

/// An estimated cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct CostEstimate {
    /// Part of it that is spent in the engine's queue.
    pub queue_seconds: f64,
    /// The whole cost.
    pub total_seconds: f64,
}

/// Estimates the cost of a call on an engine that has `cached` tokens of its prompt.
pub(crate) fn estimate_cost(
    settings: &CostSettings,
    entry: &EngineEntry,
    demand: TokenDemand,
    cached: u64,
    now: Timestamp,
) -> CostEstimate {
    let queue = queue_seconds(settings, entry, demand, now);
    let missing = demand.prompt.saturating_sub(cached);
    let recompute = recompute_seconds(entry, missing) * settings.recompute_weight;
    let generate = demand.generated * entry.step_seconds();
    let evict = eviction_seconds(entry, missing, demand) * settings.eviction_weight;
    let round_trip = 2.0 * entry.one_way_delay.as_secs_f64();
    CostEstimate {
        queue_seconds: queue,
        total_seconds: queue + recompute + generate + evict + round_trip,
    }
}

/// Seconds that an engine takes to prefill `tokens`.
pub(crate) fn recompute_seconds(entry: &EngineEntry, tokens: u64) -> f64 {
    tokens as f64 / entry.capacity.prefill_per_second.max(1.0)
}

/// Seconds to copy `tokens` of KV cache to the engine; none when it supports no transfers.
///
/// A copy from another engine is exported and imported, one from a host's memory is imported only.
pub(crate) fn transfer_seconds(entry: &EngineEntry, tokens: u64, tier: CacheTier) -> Option<f64> {
    let tokens_per_second = entry.capacity.transfer_per_second;
    let transfer_count = match tier {
        CacheTier::Engine => 2.0,
        CacheTier::Host => 1.0,
    };
    (tokens_per_second > 0.0)
        .then(|| transfer_count * (TRANSFER_SETUP_SECONDS + tokens as f64 / tokens_per_second))
}

fn queue_seconds(
    settings: &CostSettings,
    entry: &EngineEntry,
    demand: TokenDemand,
    now: Timestamp,
) -> f64 {
    let prefill = entry.expected_backlog(now) / entry.capacity.prefill_per_second.max(1.0);
    let batch_limit = f64::from(entry.capacity.max_batch);
    let attempts = entry.expected_attempts();
    let memory_full = entry.pinned_fraction() > settings.full_fraction;
    let attempts_ahead =
        if memory_full { entry.waiting() + 1.0 } else { attempts - batch_limit + 1.0 };
    if attempts_ahead <= 0.0 {
        return prefill;
    }
    // Places in the batch become free as its attempts end: all of them within the time of one
    // generation.
    let running = entry.running().max(1.0);
    let seconds_between_ends = demand.generated * entry.step_seconds() / running;
    prefill + attempts_ahead * seconds_between_ends
}

/// Seconds of prefill that other programs need again when their cache is evicted for this call.
fn eviction_seconds(entry: &EngineEntry, missing: u64, demand: TokenDemand) -> f64 {
    let needed = missing + demand.generated as u64;
    let evicted = needed.saturating_sub(entry.free_tokens());
    recompute_seconds(entry, evicted)
}
