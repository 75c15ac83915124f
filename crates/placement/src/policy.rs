//! The policies that choose an engine for a call.

mod least_loaded;
mod program_aware;
mod round_robin;
mod sticky;

use dahlia_types::{ModelId, Timestamp};
use rand_chacha::ChaCha8Rng;

use self::least_loaded::LeastLoaded;
use self::program_aware::ProgramAware;
use self::round_robin::RoundRobin;
use self::sticky::StickyFcfs;
use crate::cost::TokenDemand;
use crate::engine_table::{EngineSlot, EngineTable};
use crate::programs::CacheLocation;
use crate::{CacheTier, CostSettings, PolicyKind};

/// KV cache that can be copied to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KvSource {
    pub slot: EngineSlot,
    pub tier: CacheTier,
    pub tokens: u64,
}

/// What a policy knows of a call that needs an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementRequest<'a> {
    pub model: &'a ModelId,
    pub demand: TokenDemand,
    /// Engines that have part of the prompt cached.
    pub cached: &'a [CacheLocation],
    /// A copy of the prompt's start in a host's memory.
    pub offloaded: Option<CacheLocation>,
    /// The engine that served the program last.
    pub last_engine: Option<EngineSlot>,
    /// Whether it is queued as its program's first call.
    pub is_first: bool,
}

/// A policy's decision for a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Placement {
    /// Dispatch to this engine, possibly after copying cache to it.
    Engine { slot: EngineSlot, copy_from: Option<KvSource> },
    /// Keep the call in the scheduler's queue: all engines are too busy.
    Wait,
    /// No usable engine serves the model.
    NoEngine,
}

/// Chooses engines for calls.
pub(crate) trait Policy: std::fmt::Debug + Send {
    /// Chooses an engine for a call. Adds the number of engines examined to `examined`, which
    /// measures the work of a decision.
    fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        engines: &EngineTable,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        examined: &mut u64,
    ) -> Placement;
}

/// Builds the policy of a kind.
pub(crate) fn build_policy(kind: PolicyKind, cost: &CostSettings) -> Box<dyn Policy> {
    match kind {
        PolicyKind::RoundRobin => Box::new(RoundRobin::default()),
        PolicyKind::LeastLoaded => Box::new(LeastLoaded),
        PolicyKind::StickyFcfs => Box::new(StickyFcfs),
        PolicyKind::ProgramAware => Box::new(ProgramAware::new(cost.clone())),
    }
}
