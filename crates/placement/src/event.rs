//! Events that a scheduler handles.

use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, Incarnation, ModelId, ProgramId, TenantId,
    Timestamp, Tokens, Usage, Zone,
};
use serde::{Deserialize, Serialize};

/// A segment of a chain's history: the hash of its content and its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistorySegment {
    /// Hash of the content, e.g. of a message. Equal hashes mean equal content.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// An engine's speeds and sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// Size of the KV cache in tokens.
    pub kv_tokens: Tokens,
    /// Tokens prefilled per second while other sequences decode.
    pub prefill_per_second: f64,
    /// Time of a decode step with a batch of one.
    pub step_base: Duration,
    /// Time that each sequence in the batch adds to a step.
    pub step_per_sequence: Duration,
    /// Largest batch, in attempts.
    pub max_batch: u32,
    /// Tokens of KV cache that an export or import moves per second; zero when the engine supports
    /// neither.
    pub transfer_per_second: f64,
    /// Tokens of KV cache that fit into the host's memory; zero when the host keeps none.
    pub host_tokens: Tokens,
}

/// Describes an engine that may be used. A later description replaces the earlier one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineDescription {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// One-way network delay to the engine.
    pub one_way_delay: Duration,
    /// Models that it serves.
    pub models: Vec<ModelId>,
    /// Its speeds and sizes.
    pub capacity: EngineCapacity,
}

/// A load report of an engine. It may arrive late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// The reporting incarnation. A newer one than known means that the engine restarted empty.
    pub incarnation: Incarnation,
    /// When the load was measured.
    pub reported_at: Timestamp,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts in the engine's queue.
    pub waiting: u32,
    /// Tokens still to be prefilled.
    pub prefill_backlog: Tokens,
    /// Tokens of KV cache in use.
    pub resident: Tokens,
    /// The part of `resident` that running attempts use.
    pub pinned: Tokens,
    /// Loaded models.
    pub models: Vec<ModelId>,
    /// Whether the engine takes no new work.
    pub draining: bool,
}

/// A call that may be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyCall {
    /// The call.
    pub call: CallId,
    /// Number of its next attempt, from 1.
    pub attempt: u32,
    /// The model that must serve it.
    pub model: ModelId,
    /// The tenant that owns the program.
    pub tenant: TenantId,
    /// The whole prompt, oldest segment first.
    pub history: Vec<HistorySegment>,
    /// Most tokens that may be generated.
    pub max_generated: Tokens,
    /// Service that the program's longest path of calls attained so far, as recorded with the
    /// program. The scheduler uses the larger of this and its own record.
    pub attained_service: Duration,
    /// Nesting depth of the chain in sub-agents; 0 for the main chain.
    pub depth: u32,
    /// Weight of the program. The default is 100; programs with a larger weight are served earlier.
    pub weight: u32,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptFailure {
    /// The engine confirmed that it did not start and never will, after a recall.
    Recalled,
    /// The engine refused it as overloaded.
    Overloaded,
    /// The engine refused it for another reason: it drains, no longer has the model, or restarted.
    Refused,
    /// The engine failed or cannot be reached.
    EngineLost,
}

/// An attempt that ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why it failed.
    pub failure: AttemptFailure,
    /// Whether the call may be retried; false for an at-most-once call that may have run.
    pub retryable: bool,
}

/// A pause of a chain: it waits for something other than an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainPause {
    /// The program.
    pub program: ProgramId,
    /// The chain.
    pub chain: ChainId,
    /// The tool that it waits for, if known.
    pub tool: Option<String>,
    /// Length of the chain's history in tokens.
    pub context: Tokens,
}

/// A cache event: the cache that an engine has for a program changed. It may arrive late or be
/// lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheNotice {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence number among the events that this incarnation sends to this scheduler, without
    /// gaps.
    pub sequence: u64,
    /// The program.
    pub program: ProgramId,
    /// Tokens now cached for it.
    pub resident: Tokens,
}

/// The cache that an engine has for all programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInventory {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of the last cache event that it includes.
    pub sequence: u64,
    /// Programs with their cached tokens.
    pub programs: Vec<(ProgramId, Tokens)>,
}

/// An event that a scheduler handles.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An engine joined or its description changed.
    EngineJoined(EngineDescription),
    /// A load report of an engine arrived.
    EngineReport(EngineReport),
    /// An engine drains: it takes no new work, and attempts that wait there are recalled.
    EngineLeaving(EngineId),
    /// An engine is gone, and its cache with it. The driver reports its open attempts as failed one
    /// by one.
    EngineGone(EngineId),
    /// A call is ready to be dispatched.
    CallReady(ReadyCall),
    /// The first token of an attempt arrived.
    FirstToken(AttemptId),
    /// An attempt ended with its answer.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens used.
        usage: Usage,
    },
    /// An attempt ended without an answer.
    Failed(FailedAttempt),
    /// An attempt was not sent because its intent could not be recorded.
    AttemptWithdrawn(AttemptId),
    /// A waiting call is no longer needed.
    CallWithdrawn(CallId),
    /// A chain began to wait for a tool, a sub-agent or a person.
    PauseBegan(ChainPause),
    /// An export for [`crate::Action::Offload`] ended.
    Offloaded {
        /// The program.
        program: ProgramId,
        /// The chain.
        chain: ChainId,
        /// The engine whose host has the copy.
        engine: EngineId,
        /// Tokens in the copy; zero when nothing could be exported.
        tokens: Tokens,
    },
    /// A sub-agent's chain issues no more calls.
    ChainEnded {
        /// The program.
        program: ProgramId,
        /// The chain.
        chain: ChainId,
    },
    /// A program ended: it was closed or expired.
    ProgramClosed(ProgramId),
    /// Another scheduler owns the program now and releases its cache. This scheduler drops the
    /// program's calls and attempts.
    ProgramWithdrawn(ProgramId),
    /// A cache event arrived.
    Cache(CacheNotice),
    /// An inventory arrived, requested by [`crate::Action::FetchInventory`] or unsolicited.
    Inventory(EngineInventory),
    /// An engine confirmed that it has no cache of an ended program.
    Released {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
    },
    /// Time has passed. The driver sends it a few times per second.
    Tick,
}
