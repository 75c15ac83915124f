//! Requests to an engine about one program, and their answers.

use dahlia_types::{
    Attempt, AttemptId, Bytes, Duration, EngineId, Incarnation, Message, ModelId, ProgramId,
    TenantId, Term, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

use crate::attempt_text;

/// Asks an engine to run one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt with its owner's epoch and engine incarnation, which the engine checks. A known
    /// attempt is refused, not run again.
    pub attempt: Attempt,
    /// Tenant that owns the program; salts the prefix cache.
    pub tenant: TenantId,
    /// Model, adapter and version.
    pub model: ModelId,
    /// The whole prompt.
    pub messages: Vec<Message>,
    /// Upper bound that was reserved for the prompt; the engine refuses a longer one without
    /// running it.
    pub prompt_bound: Tokens,
    /// Maximum number of tokens to generate.
    pub max_generated: Tokens,
    /// Priority; a smaller value is served first.
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
    /// This incarnation of the engine knows the attempt. Always the first event.
    Accepted {
        /// The engine's incarnation.
        incarnation: Incarnation,
    },
    /// The attempt entered the batch; from here on it counts as run.
    Started {
        /// Tokens of the prompt that were found in the prefix cache.
        cached: Tokens,
    },
    /// Heartbeat, sent while there is no other event.
    Alive,
    /// A piece of the answer.
    Token {
        /// Offset of this piece in the answer, in bytes.
        offset: u64,
        /// Text of the piece, one or more tokens.
        text: String,
    },
    /// The attempt ended. Always the last event.
    Finished {
        /// Tokens used.
        usage: Usage,
        /// Reason why it ended.
        stop: StopReason,
    },
    /// The attempt left the queue before it ran and never starts. Always the last event.
    NeverStarted,
}

impl GenerateEvent {
    /// Whether this is the last event of its stream.
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

/// Follows a known attempt from an offset in its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// Bytes of the answer that the caller already has.
    pub from_offset: u64,
}

/// Ends an attempt, and prevents it from starting if it has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Leaves the attempt running if it has started.
    #[serde(default)]
    pub only_waiting: bool,
}

/// Asks for the state of an attempt without changing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptStateRequest {
    /// The attempt.
    #[serde(with = "attempt_text")]
    pub attempt: AttemptId,
}

/// State of an attempt at its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// This incarnation has not seen it. It may still arrive: only a cancel makes this final.
    Unseen,
    /// It did not start in this incarnation and never will.
    NeverStarted,
    /// It was accepted and waits in the queue.
    Queued,
    /// It is running.
    Running {
        /// Tokens generated so far.
        generated: Tokens,
    },
    /// It has ended.
    Finished {
        /// Tokens used.
        usage: Usage,
        /// Reason why it ended.
        stop: StopReason,
    },
    /// The engine dropped its record, so the state is unknown.
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

/// Confirms that the fence is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceConfirmed {
    /// The engine's incarnation. Fences last only as long as it.
    pub incarnation: Incarnation,
}

/// What happens to held cache when the hold expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AfterHold {
    /// It is freed.
    Free,
    /// It stays until the memory is needed.
    Cache,
}

/// Keeps a program's cache during a tool call, for a time that the engine itself limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldRequest {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Length of the hold, from the arrival of the request.
    pub length: Duration,
    /// What happens to the cache afterwards.
    pub after: AfterHold,
}

/// Scope of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseScope {
    /// Cached prefixes only; the program may come back.
    Cache,
    /// The program has ended: its attempts are cut off and later ones are refused.
    Ended,
}

/// Frees what an engine holds for a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Scope of the release.
    pub scope: ReleaseScope,
}

/// Confirms that the engine holds no memory for the program any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseConfirmed {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Memory that this request freed.
    pub freed: Bytes,
}

/// Asks for a program's cached prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportRequest {
    /// The program.
    pub program: ProgramId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Tenant that owns the program.
    pub tenant: TenantId,
    /// The model that computed the cache.
    pub model: ModelId,
    /// Messages of the requested prefix.
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

/// Describes an exported prefix. The bytes themselves go directly between the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheImage {
    /// The engine that holds the bytes.
    pub source: EngineId,
    /// The source's incarnation; a later one no longer has the bytes.
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

/// Imports an exported prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportRequest {
    /// The owner's epoch.
    pub epoch: Term,
    /// The prefix to import.
    pub image: CacheImage,
}

/// Confirms that the prefix is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportConfirmed {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Number of its tokens that are cached.
    pub tokens: Tokens,
}
