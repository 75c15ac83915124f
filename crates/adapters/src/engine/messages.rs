//! Requests to an engine that concern one program, and their answers.

use dahlia_types::{
    Attempt, AttemptId, Bytes, Duration, EngineId, Incarnation, Message, ModelId, ProgramId,
    TenantId, Term, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

use crate::attempt_text;

/// Asks an engine to run one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt with its fences. A known attempt is refused, not run again.
    pub attempt: Attempt,
    /// Whose program it is; salts the prefix cache.
    pub tenant: TenantId,
    /// Model, adapter and version.
    pub model: ModelId,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Upper bound that was reserved for the prompt; the engine refuses a longer one unrun.
    pub prompt_bound: Tokens,
    /// Most tokens that may be generated.
    pub max_generated: Tokens,
    /// Urgency; a smaller value is served first.
    pub priority: u64,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum StopReason {
    /// The model ended its answer.
    End,
    /// `max_generated` was reached.
    Length,
    /// It was cancelled.
    Cancelled,
}

/// One event of a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GenerateEvent {
    /// This life of the engine knows the attempt. Always first.
    Accepted {
        /// The engine's life.
        incarnation: Incarnation,
    },
    /// The attempt has its place in the batch: from here on it has run.
    Started {
        /// Tokens of the prompt that were found in the prefix cache.
        cached: Tokens,
    },
    /// A sign of life while nothing else is to tell.
    Alive,
    /// A piece of the answer.
    Token {
        /// Bytes of the answer before this piece.
        offset: u64,
        /// The piece, one or more tokens.
        text: String,
    },
    /// The attempt ended. Always last.
    Finished {
        /// Tokens used.
        usage: Usage,
        /// Why it ended.
        stop: StopReason,
    },
    /// The attempt left the queue unrun and never starts. Always last.
    NeverStarted,
}

impl GenerateEvent {
    /// Whether nothing follows it.
    pub fn is_last(&self) -> bool {
        matches!(self, Self::Finished { .. } | Self::NeverStarted)
    }
}

/// One line of a generation's stream: the event with the attempt that it belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateLine {
    /// The attempt. Lines of other attempts are errors, never data.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The event.
    pub event: GenerateEvent,
}

/// Follows a known attempt from a place in its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// Bytes of the answer that the caller already has.
    pub from_offset: u64,
}

/// Ends an attempt, and keeps it from starting if it has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Leave it alone if it has started.
    #[serde(default)]
    pub only_waiting: bool,
}

/// Asks where an attempt stands, without changing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStateRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
}

/// Where an attempt stands at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// This life has not seen it. It may still arrive: only a cancel makes this final.
    Unseen,
    /// It did not start in this life and never will.
    NeverStarted,
    /// Accepted and waiting.
    Queued,
    /// Running.
    Running {
        /// Tokens generated so far.
        generated: Tokens,
    },
    /// Ended.
    Finished {
        /// Tokens used.
        usage: Usage,
        /// Why it ended.
        stop: StopReason,
    },
    /// The engine's record of it has been dropped: it cannot say.
    Forgotten,
}

/// Raises a program's epoch at an engine; requests with an older one are refused from then on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceRequest {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
}

/// The fence is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceConfirmed {
    /// The engine's life: fences last as long as it.
    pub incarnation: Incarnation,
}

/// What becomes of held cache when the hold lapses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AfterHold {
    /// It is freed.
    Free,
    /// It stays until the memory is needed.
    Cache,
}

/// Keeps a program's cache over a tool pause, for a time the engine itself bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// How long from its arrival.
    pub length: Duration,
    /// What then happens.
    pub after: AfterHold,
}

/// How far a release goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseScope {
    /// Cached prefixes only; the program may come back.
    Cache,
    /// The program has ended: its attempts are cut and later ones are refused.
    Ended,
}

/// Frees what an engine holds for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// How far.
    pub scope: ReleaseScope,
}

/// The engine holds nothing of the program any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseConfirmed {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// What became free by this request.
    pub freed: Bytes,
}

/// Asks for a program's cached prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportRequest {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Whose program it is.
    pub tenant: TenantId,
    /// The model that computed the cache.
    pub model: ModelId,
    /// The prefix wanted.
    pub messages: Vec<Message>,
}

/// One segment of an exported prefix: the hash of a message and its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImageSegment {
    /// Hash of the message.
    pub hash: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// An exported prefix. Names what is held; the bytes travel between the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheImage {
    /// The engine that holds the bytes.
    pub source: EngineId,
    /// Its life; another life no longer has them.
    pub source_incarnation: Incarnation,
    /// The program.
    pub program: ProgramId,
    /// The tenant whose salt the hashes carry.
    pub tenant: TenantId,
    /// The model that computed it.
    pub model: ModelId,
    /// The prefix.
    pub segments: Vec<ImageSegment>,
    /// Its length.
    pub tokens: Tokens,
    /// Its size.
    pub bytes: Bytes,
}

/// Takes an exported prefix in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportRequest {
    /// The owner's epoch.
    pub epoch: Term,
    /// What to take in.
    pub image: CacheImage,
}

/// The prefix is cached here now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportConfirmed {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// Tokens cached of it.
    pub tokens: Tokens,
}
