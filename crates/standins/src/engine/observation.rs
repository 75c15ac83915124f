//! What an engine saw: the outside evidence on what ran.

use dahlia_adapters::attempt_text;
use dahlia_adapters::engine::{EngineOrder, ReleaseScope, StopReason};
use dahlia_types::{
    AttemptId, Bytes, Generation, Incarnation, ModelId, ProgramId, TenantId, Term, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

/// Something that an engine saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineObservation {
    /// A life began.
    LifeBegan {
        /// The life.
        incarnation: Incarnation,
    },
    /// An attempt was taken into the queue.
    Accepted {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
        /// The owner's epoch.
        epoch: Term,
        /// Whose program it is.
        tenant: TenantId,
        /// The model.
        model: ModelId,
        /// Length of the prompt.
        prompt: Tokens,
        /// Number of messages in the prompt.
        messages: u32,
        /// The answer that it gets, as far as it says whose it is.
        answer_begins: String,
    },
    /// An attempt was refused.
    Refused {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
        /// Why.
        reason: String,
    },
    /// An attempt got its place in the batch: from here on it has run.
    Started {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
        /// Tokens of its prompt found in the cache.
        cached: Tokens,
    },
    /// An attempt that had started ended.
    Ended {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
        /// What it used.
        usage: Usage,
        /// Why it ended.
        stop: StopReason,
    },
    /// An attempt left unrun and never starts.
    NeverStarted {
        /// The attempt.
        #[serde(with = "attempt_text")]
        attempt: AttemptId,
    },
    /// A program's memory was freed by request.
    Released {
        /// The program.
        program: ProgramId,
        /// How far.
        scope: ReleaseScope,
        /// What became free.
        freed: Bytes,
    },
    /// A hold lapsed and the memory was freed.
    HoldLapsed {
        /// The program.
        program: ProgramId,
        /// What became free.
        freed: Bytes,
    },
    /// An order was taken.
    Ordered {
        /// Its generation.
        generation: Generation,
        /// The order.
        order: EngineOrder,
    },
    /// An order was refused as stale.
    OrderRefused {
        /// Its generation.
        generation: Generation,
        /// The order.
        order: EngineOrder,
    },
    /// A model is ready.
    ModelReady {
        /// The model.
        model: ModelId,
    },
}
