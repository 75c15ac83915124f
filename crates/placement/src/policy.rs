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
use crate::cost::Demand;
use crate::programs::CachedOn;
use crate::view::{EngineSlot, EngineTable};
use crate::{CacheTier, CostSettings, PolicyKind};

/// KV that can be copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Source {
    pub slot: EngineSlot,
    pub tier: CacheTier,
    pub tokens: u64,
}

/// A call that wants an engine, as a policy sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request<'a> {
    pub model: &'a ModelId,
    pub demand: Demand,
    /// Engines that have part of the prompt.
    pub cached: &'a [CachedOn],
    /// A copy of the prompt's start in a host's memory.
    pub offloaded: Option<CachedOn>,
    /// The engine that served the program last.
    pub last_engine: Option<EngineSlot>,
    /// Whether it is its program's first call.
    pub first: bool,
}

/// What a policy chose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Placement {
    /// This engine, perhaps after copying the cache from another.
    Engine { slot: EngineSlot, copy_from: Option<Source> },
    /// All engines are too busy: the call waits here.
    Wait,
    /// No engine may be used.
    NoEngine,
}

/// Chooses engines. `examined` counts the engines looked at, as a measure of the work.
pub(crate) trait Policy: std::fmt::Debug + Send {
    /// Chooses an engine for a call.
    fn place(
        &mut self,
        request: &Request<'_>,
        engines: &EngineTable,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        examined: &mut u64,
    ) -> Placement;
}

/// Makes the policy of a kind.
pub(crate) fn make(kind: PolicyKind, cost: &CostSettings) -> Box<dyn Policy> {
    match kind {
        PolicyKind::RoundRobin => Box::new(RoundRobin::default()),
        PolicyKind::LeastLoaded => Box::new(LeastLoaded),
        PolicyKind::StickyFcfs => Box::new(StickyFcfs),
        PolicyKind::ProgramAware => Box::new(ProgramAware::new(cost.clone())),
    }
}
