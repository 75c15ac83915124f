//! Output of the engine: progress of attempts, cache events, load reports and inventories.

use dahlia_types::{AttemptId, Incarnation, ModelId, ProgramId, Timestamp, Tokens, Usage};
use serde::{Deserialize, Serialize};

use crate::{EngineRole, KvImage};

/// The status of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The engine has no record of it.
    Unknown,
    /// It waits for a place in the batch.
    Waiting,
    /// It is running.
    Running {
        /// Tokens generated so far.
        generated: Tokens,
    },
    /// It ran to its end.
    Finished(Usage),
    /// It was cut while running.
    Cut(Usage),
    /// It did not start and never will.
    NeverStarted,
}

/// Something that happened inside the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineEvent {
    /// The attempt got a place in the batch.
    Started {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of its prompt found in the prefix cache.
        cached: Tokens,
        /// When it happened.
        at: Timestamp,
    },
    /// Tokens were generated. Always sent for first tokens, and for later ones when
    /// [`crate::EngineParameters::report_progress`] is set.
    Generated {
        /// The attempt.
        attempt: AttemptId,
        /// Number of tokens generated before these.
        offset: Tokens,
        /// Number of tokens generated.
        count: Tokens,
        /// When the last of them was ready.
        at: Timestamp,
    },
    /// The attempt ran to its end.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens used.
        usage: Usage,
        /// When it happened.
        at: Timestamp,
    },
    /// Memory ran short. The attempt went back to waiting and keeps the tokens it generated.
    Preempted {
        /// The attempt.
        attempt: AttemptId,
        /// When it happened.
        at: Timestamp,
    },
    /// A waiting attempt will not start here, because its model was unloaded.
    Evicted {
        /// The attempt.
        attempt: AttemptId,
        /// When it happened.
        at: Timestamp,
    },
    /// The cache changed. The driver may delay or drop these events; gaps in the sequence numbers
    /// show it.
    Cache(CacheEvent),
    /// An export is complete.
    Exported {
        /// The exported image.
        image: KvImage,
        /// When it happened.
        at: Timestamp,
    },
    /// An import is complete.
    Imported {
        /// The program it was for.
        program: ProgramId,
        /// Tokens that the import cached; zero if memory was short or the program had ended.
        tokens: Tokens,
        /// When it happened.
        at: Timestamp,
    },
    /// A model became ready.
    ModelLoaded {
        /// The model.
        model: ModelId,
        /// When it happened.
        at: Timestamp,
    },
    /// A hold lapsed and its cache was freed.
    HoldLapsed {
        /// The program.
        program: ProgramId,
        /// Tokens freed.
        freed: Tokens,
        /// When it happened.
        at: Timestamp,
    },
}

/// A change of what is cached for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one for each event of this incarnation; a gap shows a loss.
    pub sequence: u64,
    /// The program whose cache changed.
    pub program: ProgramId,
    /// What changed.
    pub change: CacheChange,
    /// Tokens now cached for the program. The value is absolute, so that the next event makes up
    /// for a lost one.
    pub resident: Tokens,
    /// When it happened.
    pub at: Timestamp,
}

/// Which way a program's cache changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheChange {
    /// More is cached.
    Stored,
    /// Less is cached.
    Removed,
}

/// The load of an engine at one point in time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// When the report was made.
    pub at: Timestamp,
    /// Whether the engine accepts new work.
    pub role: EngineRole,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts waiting for a place in the batch.
    pub waiting: u32,
    /// Tokens of waiting and running attempts that are still to be prefilled.
    pub prefill_backlog: Tokens,
    /// KV in use, either cached or by running attempts.
    pub resident: Tokens,
    /// The part of `resident` that is pinned by running attempts.
    pub pinned: Tokens,
    /// Capacity of the KV cache.
    pub capacity: Tokens,
    /// Duration of the last step, in microseconds; zero before the first.
    pub step_micros: u64,
    /// Attempts finished in this incarnation.
    pub finished: u64,
    /// Models that are loaded.
    pub models: Vec<ModelId>,
}

/// The cache that a program occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldProgram {
    /// The program.
    pub program: ProgramId,
    /// Tokens of KV that are cached for the program, shared ones included.
    pub tokens: Tokens,
    /// When the program's hold lapses, if it has one.
    pub held_until: Option<Timestamp>,
}

/// Every program for which the engine has something cached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// When the inventory was made.
    pub at: Timestamp,
    /// Sequence number of the last cache event that the inventory includes.
    pub sequence: u64,
    /// The programs.
    pub programs: Vec<HeldProgram>,
}

/// How cached KV was used over a span of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpanKind {
    /// A running attempt used it.
    Active,
    /// It was idle and was used again afterwards.
    Reused,
    /// It was idle until it was evicted or freed.
    Wasted,
}

/// KV that stayed in memory over a span of time; the basis for measuring wasted cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSpan {
    /// Tokens in memory.
    pub tokens: Tokens,
    /// Start of the span.
    pub from: Timestamp,
    /// End of the span.
    pub to: Timestamp,
    /// How the KV was used.
    pub kind: SpanKind,
}
