//! What the engine tells: progress of attempts, cache events, reports and inventories.

use dahlia_types::{AttemptId, Incarnation, ModelId, ProgramId, Timestamp, Tokens, Usage};
use serde::{Deserialize, Serialize};

use crate::{EngineRole, KvImage};

/// Where an attempt stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The engine has no record of it.
    Unknown,
    /// Waits for a place in the batch.
    Waiting,
    /// Runs; this many tokens are generated.
    Running {
        /// Tokens generated so far.
        generated: Tokens,
    },
    /// Ran to its end.
    Finished(Usage),
    /// Was cut while running.
    Cut(Usage),
    /// Did not start and never will.
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
        /// When.
        at: Timestamp,
    },
    /// Tokens were generated. Sent for first tokens always, for later ones when
    /// [`crate::EngineParameters::report_progress`] is set.
    Generated {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens generated before these.
        offset: Tokens,
        /// How many.
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
        /// When.
        at: Timestamp,
    },
    /// Memory ran short: the attempt went back to waiting and keeps what it generated.
    Preempted {
        /// The attempt.
        attempt: AttemptId,
        /// When.
        at: Timestamp,
    },
    /// An attempt that waited will not start here (its model was unloaded).
    Evicted {
        /// The attempt.
        attempt: AttemptId,
        /// When.
        at: Timestamp,
    },
    /// The cache changed. The driver may delay or drop these; the sequence shows gaps.
    Cache(CacheEvent),
    /// An export is complete.
    Exported {
        /// What was exported.
        image: KvImage,
        /// When.
        at: Timestamp,
    },
    /// An import is complete.
    Imported {
        /// The program it was for.
        program: ProgramId,
        /// Tokens that are now cached.
        tokens: Tokens,
        /// When.
        at: Timestamp,
    },
    /// A model became ready.
    ModelLoaded {
        /// The model.
        model: ModelId,
        /// When.
        at: Timestamp,
    },
    /// A hold lapsed and its cache was freed.
    HoldLapsed {
        /// The program.
        program: ProgramId,
        /// Tokens freed.
        freed: Tokens,
        /// When.
        at: Timestamp,
    },
}

/// A change of what is cached for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one for each event of this engine's life; a gap shows a loss.
    pub sequence: u64,
    /// The program whose cache changed.
    pub program: ProgramId,
    /// What changed.
    pub change: CacheChange,
    /// Tokens now cached for the program. Absolute, so that the next event mends a lost one.
    pub resident: Tokens,
    /// When.
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

/// The load of an engine at a moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// When it was taken.
    pub at: Timestamp,
    /// Whether it takes new work.
    pub role: EngineRole,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts waiting for a place.
    pub waiting: u32,
    /// Tokens still to be prefilled, of waiting and running attempts.
    pub prefill_backlog: Tokens,
    /// KV in use, cached or by running attempts.
    pub resident: Tokens,
    /// The part of it that is pinned by running attempts.
    pub pinned: Tokens,
    /// KV in all.
    pub capacity: Tokens,
    /// Duration of the last step, in microseconds; zero before the first.
    pub step_micros: u64,
    /// Attempts finished in this life.
    pub finished: u64,
    /// Models that are loaded.
    pub models: Vec<ModelId>,
}

/// What a program occupies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldProgram {
    /// The program.
    pub program: ProgramId,
    /// Tokens of KV that are cached for it, shared ones included.
    pub tokens: Tokens,
    /// When a hold of it lapses, if there is one.
    pub held_until: Option<Timestamp>,
}

/// Every program for which the engine holds anything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// When it was taken.
    pub at: Timestamp,
    /// Sequence number of the last cache event it includes.
    pub sequence: u64,
    /// The programs.
    pub programs: Vec<HeldProgram>,
}

/// What a span of held cache was good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SpanKind {
    /// A running attempt used it.
    Active,
    /// It lay idle and was used again afterwards.
    Reused,
    /// It lay idle until it was evicted or freed.
    Wasted,
}

/// KV that was held over a length of time, for the measure of wasted cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSpan {
    /// Tokens held.
    pub tokens: Tokens,
    /// Since when.
    pub from: Timestamp,
    /// Until when.
    pub to: Timestamp,
    /// What it was good for.
    pub kind: SpanKind,
}
