//! What this node knows of engines: their last reports and its own dispatches since.

use std::collections::BTreeMap;

use dahlia_types::{Duration, EngineId, Incarnation, ModelId, Timestamp, Tokens, Zone};
use serde::{Deserialize, Serialize};

/// A report older than this does not count: the engine may be gone.
const REPORT_LIFE: Duration = Duration::from_secs(10);

/// An engine's word about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// When the engine made the report.
    pub at: Timestamp,
    /// Models, adapters and versions that are loaded.
    pub models: Vec<ModelId>,
    /// Attempts that generate.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// Cache in use.
    pub cache_used: Tokens,
    /// Cache in all.
    pub cache_capacity: Tokens,
    /// Whether it takes no new work.
    pub leaving: bool,
}
