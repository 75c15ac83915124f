//! What a scheduler is told.

use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, Incarnation, ModelId, ProgramId, TenantId,
    Timestamp, Tokens, Usage, Zone,
};
use serde::{Deserialize, Serialize};

/// One part of a chain's history: the hash of its content and its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistorySegment {
    /// Hash of the content, e.g. of a message. Equal hashes mean equal content.
    pub hash: u64,
    /// Length in tokens.
    pub tokens: Tokens,
}

/// What is known of an engine's speeds and sizes beforehand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineCapacity {
    /// KV cache, in tokens.
    pub kv_tokens: Tokens,
    /// Tokens prefilled a second while others decode.
    pub prefill_per_second: f64,
    /// Time of a decode step with a batch of one.
    pub step_base: Duration,
    /// What each sequence in the batch adds to a step.
    pub step_per_sequence: Duration,
    /// Most attempts in the batch.
    pub max_batch: u32,
    /// Tokens of KV moved a second by export and import; zero when there is no such transfer.
    pub transfer_per_second: f64,
    /// Tokens of KV that fit into the host's memory; zero when it keeps none.
    pub host_tokens: Tokens,
}

/// An engine that may be used from now on. Sent again, it replaces what was known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineDescription {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub zone: Zone,
    /// Time to it, one way.
    pub one_way_delay: Duration,
    /// Models that it serves.
    pub models: Vec<ModelId>,
    /// What it can do.
    pub capacity: EngineCapacity,
}

/// An engine's load, as it was some time ago.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// The life that reports. A newer one than known means an empty engine.
    pub incarnation: Incarnation,
    /// When the load was taken.
    pub reported_at: Timestamp,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts waiting.
    pub waiting: u32,
    /// Tokens still to be prefilled.
    pub prefill_backlog: Tokens,
    /// KV in use.
    pub resident: Tokens,
    /// The part of it that running attempts use.
    pub pinned: Tokens,
    /// Models that are loaded now.
    pub models: Vec<ModelId>,
    /// The engine says that it takes no new work.
    pub draining: bool,
}

/// A call that may be dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyCall {
    /// The call.
    pub call: CallId,
    /// Number that its next attempt has, from 1.
    pub attempt: u32,
    /// What must serve it.
    pub model: ModelId,
    /// Whose program it is.
    pub tenant: TenantId,
    /// The whole prompt, oldest first.
    pub history: Vec<HistorySegment>,
    /// Most tokens that may be generated.
    pub max_generated: Tokens,
    /// Service that the program's longest path of calls got so far, as recorded with the program.
    /// The scheduler takes the larger of this and its own record.
    pub attained_service: Duration,
    /// How many sub-agents deep the chain is; 0 for the main chain.
    pub depth: u32,
    /// Weight of the program; 100 is ordinary, a larger one is served earlier.
    pub weight: u32,
}

/// Why an attempt gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptFailure {
    /// The engine confirmed that it did not start and never will, after a recall.
    Recalled,
    /// The engine refused it as overloaded.
    Overloaded,
    /// The engine refused it for another reason (draining, model gone, other life).
    Refused,
    /// The engine died or cannot be reached.
    EngineLost,
}

/// An attempt that ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Why.
    pub failure: AttemptFailure,
    /// Whether the call may be tried again; false for a call at most once that may have run.
    pub retryable: bool,
}

/// A chain waits for something other than an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChainPause {
    /// The program.
    pub program: ProgramId,
    /// The chain.
    pub chain: ChainId,
    /// The tool it waits for, when that is known.
    pub tool: Option<String>,
    /// Tokens of the chain's history now.
    pub context: Tokens,
}

/// A change of what an engine has cached for a program; may come late or never.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheNotice {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts up by one for each event of that life that this scheduler is sent.
    pub sequence: u64,
    /// The program.
    pub program: ProgramId,
    /// Tokens now cached for it.
    pub resident: Tokens,
}

/// Everything that an engine has cached for programs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInventory {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Sequence number of the last cache event it includes.
    pub sequence: u64,
    /// Programs and their tokens.
    pub programs: Vec<(ProgramId, Tokens)>,
}

/// Something a scheduler has to know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// An engine may be used.
    EngineJoined(EngineDescription),
    /// An engine's load.
    EngineReport(EngineReport),
    /// An engine leaves: no new work; work that waits there is recalled.
    EngineLeaving(EngineId),
    /// An engine is gone; its cache with it. Its open attempts are reported as failed one by one.
    EngineGone(EngineId),
    /// A call wants an engine.
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
    /// An attempt ended without one.
    Failed(FailedAttempt),
    /// An attempt never left: its intent was refused.
    AttemptWithdrawn(AttemptId),
    /// A call that waits for an engine is no longer wanted.
    CallWithdrawn(CallId),
    /// A chain waits for a tool, a sub-agent or a person.
    PauseBegan(ChainPause),
    /// A chain's cache was exported as [`crate::Action::Offload`] asked.
    Offloaded {
        /// The program.
        program: ProgramId,
        /// The chain.
        chain: ChainId,
        /// The engine on whose host the copy lies.
        engine: EngineId,
        /// Tokens in it; zero when nothing could be exported.
        tokens: Tokens,
    },
    /// A sub-agent's chain issues no more calls.
    ChainEnded {
        /// The program.
        program: ProgramId,
        /// The chain.
        chain: ChainId,
    },
    /// The program ended: closed or expired.
    ProgramClosed(ProgramId),
    /// Another scheduler owns the program now. Its calls and attempts are forgotten here, and what
    /// engines hold for it is the other's to release.
    ProgramWithdrawn(ProgramId),
    /// A cache event.
    Cache(CacheNotice),
    /// An answer to [`crate::Action::FetchInventory`], or one sent unasked.
    Inventory(EngineInventory),
    /// An engine confirmed that it holds nothing of an ended program.
    Released {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
    },
    /// Time has passed. Wanted a few times a second.
    Tick,
}
