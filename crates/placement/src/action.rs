//! Actions that a scheduler decides on.

use dahlia_types::{
    AttemptId, CallId, ChainId, Duration, EngineId, Incarnation, ProgramId, Timestamp,
};
use serde::{Deserialize, Serialize};

/// Why a call was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The expected wait exceeds the call's wait limit, or the queue is full.
    Overloaded,
    /// The tenant has reached its limit of open or waiting calls.
    TenantLimit,
    /// No engine serves the model now.
    NoEngine,
    /// An attempt failed, and the retry budget or the attempts per call are exhausted.
    RetriesExhausted,
    /// An attempt failed and the call may not be retried.
    NotRetryable,
}

/// Why a program's cache is released on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReason {
    /// The program ended. The engine must confirm; see [`crate::Event::Released`].
    ProgramEnded,
    /// Holding the cache during a pause costs more than computing it again.
    PauseTooCostly,
    /// Another engine has the newer cache of the program.
    Moved,
}

/// The memory that holds KV cache to be copied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheTier {
    /// The engine's own memory. A copy is exported there and then imported.
    Engine,
    /// The memory of the engine's host, to which the cache was exported earlier. A copy is imported
    /// only.
    Host,
}

/// KV cache that can be copied to another engine, or back to the same one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySource {
    /// The engine.
    pub engine: EngineId,
    /// The memory that holds the cache.
    pub tier: CacheTier,
}

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Send the attempt to the engine after recording its intent.
    Dispatch {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
        /// The incarnation of the engine that is meant.
        incarnation: Incarnation,
        /// Priority in the engine's queue. Lower values are served first.
        priority: u64,
        /// Where to copy the chain's cache from first. If the copy fails, send the attempt anyway.
        copy_from: Option<CopySource>,
    },
    /// Refuse the call: answer that it was not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Delay after which the caller may retry.
        retry_after: Duration,
        /// Why.
        reason: RefusalReason,
    },
    /// Cancel the attempt if the engine has not started it, and report
    /// [`crate::AttemptFailure::Recalled`]. A new attempt follows. If it has started, do nothing.
    Recall {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EngineId,
    },
    /// Free the program's cache on the engine.
    Release {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// Why.
        reason: ReleaseReason,
    },
    /// Hold the program's cache on the engine. The engine frees it when the hold expires.
    Hold {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// When the hold expires.
        until: Timestamp,
    },
    /// Export the chain's cache into the memory of the engine's host, and report
    /// [`crate::Event::Offloaded`]. The copy is dropped when the program ends or the chain makes
    /// its next call.
    Offload {
        /// The program.
        program: ProgramId,
        /// The chain.
        chain: ChainId,
        /// The engine.
        engine: EngineId,
    },
    /// Request the engine's inventory because cache events were lost.
    FetchInventory(EngineId),
}
