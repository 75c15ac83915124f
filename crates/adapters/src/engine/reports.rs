//! Reports of an engine about itself: load, cache events, inventory.

use dahlia_types::{
    Bytes, Duration, EngineId, Generation, Incarnation, ModelId, ProgramId, Timestamp, Tokens,
};
use serde::{Deserialize, Serialize};

use super::EngineRole;

/// Asks for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportRequest {}

/// Loading state of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ModelState {
    /// The weights are being loaded.
    Loading,
    /// The model serves requests.
    Ready,
}

/// State of one model at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// The model.
    pub model: ModelId,
    /// Its loading state.
    pub state: ModelState,
}

/// Load of an engine, sampled some time before the report is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time of the sample by the engine's own clock.
    pub at: Timestamp,
    /// Age of the sample when the report was sent.
    pub age: Duration,
    /// What the engine does with new work.
    pub role: EngineRole,
    /// Whether the engine announces that it will shut down soon.
    pub leaving: bool,
    /// The newest configuration generation received in an order.
    pub generation: Generation,
    /// Attempts that wait to enter the batch.
    pub queued: u32,
    /// Attempts in the batch.
    pub running: u32,
    /// Prompt tokens still to be computed.
    pub prefill_backlog: Tokens,
    /// KV tokens in use, by running attempts or as cache.
    pub kv_used: Tokens,
    /// The part that is pinned by running attempts.
    pub kv_pinned: Tokens,
    /// Total capacity in KV tokens.
    pub kv_capacity: Tokens,
    /// Size of one token's KV.
    pub kv_bytes_per_token: Bytes,
    /// Duration of the last step; zero before the first.
    pub step: Duration,
    /// Attempts accepted by this incarnation up to the report.
    pub accepted: u64,
    /// Models that are loaded or being loaded.
    pub models: Vec<ModelStatus>,
}

/// Asks for cache events after a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsRequest {
    /// The last sequence number the caller has; 0 for all.
    pub after: u64,
}

/// Direction in which a program's cache changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// More tokens are cached.
    Stored,
    /// Fewer tokens are cached.
    Removed,
}

/// A change in the number of tokens cached for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event of an incarnation; a gap means that events were lost.
    pub sequence: u64,
    /// Time of the change by the engine's own clock.
    pub at: Timestamp,
    /// The program.
    pub program: ProgramId,
    /// Direction of the change.
    pub change: CacheChange,
    /// Tokens cached for it after the change. Absolute, so that the next event makes up for a
    /// lost one.
    pub resident: Tokens,
}

/// Cache events. They are delayed and may have gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation, within which sequence numbers count.
    pub incarnation: Incarnation,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// Memory that a program occupies at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryEntry {
    /// The program.
    pub program: ProgramId,
    /// KV tokens held for it, shared ones included.
    pub tokens: Tokens,
    /// The same in bytes.
    pub bytes: Bytes,
    /// Remaining time of its hold, if there is one.
    pub held_for: Option<Duration>,
}

/// Every program for which an engine holds memory. Exact at the time of the sample, unlike cache
/// events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Time of the sample by the engine's own clock.
    pub at: Timestamp,
    /// The last cache event that it includes.
    pub sequence: u64,
    /// The programs, in order.
    pub entries: Vec<InventoryEntry>,
}
