//! What a scheduler decides.

use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, Incarnation, ProgramId, Timestamp,
};
use serde::{Deserialize, Serialize};

/// Why a call was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The expected wait exceeds what the call may wait.
    Overloaded,
    /// The tenant has as many calls under way or waiting as it may have.
    TenantLimit,
    /// No engine serves the model now.
    NoEngine,
    /// Attempts failed and the budget for retries is spent.
    RetriesExhausted,
    /// The attempt failed and may not be tried again.
    NotRetryable,
}

/// Why an engine gives up a program's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// The program ended. The engine must confirm; see [`crate::Event::Released`].
    ProgramEnded,
    /// The pause is not worth the memory.
    PauseTooCostly,
    /// The program's cache is on another engine now.
    Moved,
}

/// Where KV lies that can be copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheTier {
    /// In the engine's own memory: it is exported there, then imported.
    Engine,
    /// In the memory of the engine's host, exported there earlier: it is imported only.
    Host,
}

/// KV that can be copied to another engine, or back to the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySource {
    /// The engine.
    pub engine: EngineId,
    /// In which of its memories.
    pub tier: CacheTier,
}

/// A decision for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send the attempt to the engine, once its intent is recorded.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// The life that is meant.
        incarnation: Incarnation,
        /// Urgency at the engine; a smaller value is served first.
        priority: u64,
        /// Copy the chain's cache from here first; without success go on all the same.
        copy_from: Option<CopySource>,
    },
    /// Answer the call as not run, now.
    Refuse {
        /// The call.
        call: CallId,
        /// When the caller may come back, from now.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
    /// Cancel the attempt at the engine if it has not started there, and report
    /// [`crate::AttemptFailure::Recalled`]; a new attempt follows. If it has started, nothing.
    Recall {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
    },
    /// Free the program's cache at the engine.
    Release {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// Why.
        reason: ReleaseReason,
    },
    /// Hold the program's cache at the engine, which frees it by itself at the end.
    Hold {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// When the hold lapses.
        until: Timestamp,
    },
    /// Export the chain's cache into the memory of the engine's host, and report
    /// [`crate::Event::Offloaded`]. The copy goes when the program ends or the chain calls again.
    Offload {
        /// The program.
        program: ProgramId,
        /// The chain.
        chain: ChainId,
        /// The engine.
        engine: EngineId,
    },
    /// Ask the engine for its inventory: cache events were lost.
    FetchInventory(EngineId),
}
