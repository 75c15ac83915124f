//! What an engine tells of itself: load, cache events, inventory.

use dahlia_types::{
    Bytes, Duration, EngineId, Generation, Incarnation, ModelId, ProgramId, Timestamp, Tokens,
};
use serde::{Deserialize, Serialize};

use super::EngineRole;

/// Asks for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportRequest {}

/// How far a model is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ModelState {
    /// Weights are on their way.
    Loading,
    /// Serves.
    Ready,
}

/// A model at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// The model.
    pub model: ModelId,
    /// How far it is.
    pub state: ModelState,
}

/// The load of an engine at a moment that may lie some time back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// When it was taken, by the engine's own clock.
    pub at: Timestamp,
    /// How old it was when it was sent.
    pub age: Duration,
    /// What the engine does with new work.
    pub role: EngineRole,
    /// The engine says that it will stop soon.
    pub leaving: bool,
    /// The newest generation that an order carried.
    pub generation: Generation,
    /// Attempts that wait for a place in the batch.
    pub queued: u32,
    /// Attempts in the batch.
    pub running: u32,
    /// Prompt tokens still to be computed.
    pub prefill_backlog: Tokens,
    /// KV tokens in use, by running attempts or as cache.
    pub kv_used: Tokens,
    /// The part that is pinned by running attempts.
    pub kv_pinned: Tokens,
    /// KV tokens in all.
    pub kv_capacity: Tokens,
    /// Size of one token's KV.
    pub kv_bytes_per_token: Bytes,
    /// Length of the last step; zero before the first.
    pub step: Duration,
    /// Attempts accepted in this life up to the report.
    pub accepted: u64,
    /// Models that it has or loads.
    pub models: Vec<ModelStatus>,
}

/// Asks for cache events after a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventsRequest {
    /// The last sequence number the caller has; 0 for all.
    pub after: u64,
}

/// Which way a program's cache changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// More is cached.
    Stored,
    /// Less is cached.
    Removed,
}

/// A change of what is cached for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one in a life; a jump shows a loss.
    pub sequence: u64,
    /// When, by the engine's own clock.
    pub at: Timestamp,
    /// The program.
    pub program: ProgramId,
    /// Which way.
    pub change: CacheChange,
    /// Tokens now cached for it. Absolute, so that the next event mends a lost one.
    pub resident: Tokens,
}

/// Cache events, late and perhaps with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's life; sequence numbers belong to it.
    pub incarnation: Incarnation,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// What a program occupies at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InventoryEntry {
    /// The program.
    pub program: ProgramId,
    /// KV tokens held for it, shared ones included.
    pub tokens: Tokens,
    /// The same in bytes.
    pub bytes: Bytes,
    /// How long a hold of it still lasts, if there is one.
    pub held_for: Option<Duration>,
}

/// Every program for which an engine holds anything. Exact at its moment, unlike cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// When it was taken, by the engine's own clock.
    pub at: Timestamp,
    /// The last cache event that it includes.
    pub sequence: u64,
    /// The programs, in order.
    pub entries: Vec<InventoryEntry>,
}
