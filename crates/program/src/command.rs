//! Commands: what a group's owner proposes to the replicated log.
//!
//! A command may be refused when it is applied. A refusal is as durable and deterministic as an
//! acceptance. Proposers get the result from [`crate::GroupState::apply`].

use dahlia_ledger::LedgerCommand;
use dahlia_types::{
    AttemptId, Bytes, CallId, CallKind, ChainId, Duration, EngineId, IdempotencyKey, Incarnation,
    LogIndex, Message, ModelId, ProgramId, Repeatability, TenantId, Timestamp, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

use crate::{CallOutcome, ChunkReference, ProgramLimits};

/// The specification that an operator gives when creating a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSpecification {
    /// The tenant that the program belongs to.
    pub tenant: TenantId,
    /// The model, adapter and version that serve it.
    pub model: ModelId,
    /// Token budget, prompt and generated together, over all its calls and sub-agents.
    pub budget: Tokens,
    /// The program ends after this long without a call in progress.
    pub idle_expiry: Duration,
}

/// Creates a program. Idempotent for the same specification.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreateProgram {
    /// The new program.
    pub program: ProgramId,
    /// The operator's specification.
    pub specification: ProgramSpecification,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// Appends a call to its chain. Nothing runs yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// The chain. An unused number starts a sub-agent's chain.
    pub chain: ChainId,
    /// The chain that a new chain branches off from; ignored unless the call starts a chain.
    pub parent: Option<ChainId>,
    /// The position in the chain that the caller stated, from 1; none for the next one.
    pub number: Option<u32>,
    /// The caller's idempotency key. A second call with it joins or replays the first.
    pub key: Option<IdempotencyKey>,
    /// Hash of the request. A key or number that is used again with another digest is refused.
    pub digest: u64,
    /// What serves the call.
    pub kind: CallKind,
    /// Whether it may run again.
    pub repeatability: Repeatability,
    /// The messages that the call adds to the history before the answer.
    pub messages: Vec<Message>,
    /// Most tokens to generate.
    pub max_generated: Tokens,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// Records the intent to dispatch an attempt, reserves its tokens and records the obligation to
/// release.
///
/// Must be committed before the first byte leaves for the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordIntent {
    /// The attempt. Its number must be one above that of the call's last attempt.
    pub attempt: AttemptId,
    /// The engine or tool service.
    pub engine: EngineId,
    /// The incarnation of the engine; zero for a tool service.
    pub incarnation: Incarnation,
    /// Upper bound of the prompt in tokens. The engine refuses a longer prompt without running it.
    pub prompt_bound: Tokens,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// Records the outcome of an attempt and settles its reservation, unless the outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOutcome {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its outcome.
    pub outcome: AttemptOutcome,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// The outcome of an attempt, as its owner knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran to completion.
    Ran {
        /// The complete answer.
        answer: Message,
        /// Tokens used.
        usage: Usage,
    },
    /// It was cut off while running: it used tokens and gave no complete answer.
    Cut {
        /// Tokens used.
        usage: Usage,
    },
    /// The engine confirmed that it did not start and never will.
    NotRun,
    /// It is not known whether it ran. The reservation stays, and an at-most-once call ends as
    /// unknown.
    Unknown,
}

/// Ends a call without an engine's answer. Refused while an attempt is open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbandonCall {
    /// The call.
    pub call: CallId,
    /// Its final outcome: not run or unknown.
    pub outcome: CallOutcome,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// Raises a program's budget to a new total. A lower total is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaiseBudget {
    /// The program.
    pub program: ProgramId,
    /// The new total in tokens.
    pub total: Tokens,
}

/// Why a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CloseReason {
    /// A caller or operator closed it.
    Closed,
    /// It was idle for longer than its specification allows.
    Expired,
}

/// Ends a program. Later calls are refused; obligations stay until engines confirm the release.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseProgram {
    /// The program.
    pub program: ProgramId,
    /// Why.
    pub reason: CloseReason,
    /// When the owner proposed the command, by the owner's clock.
    pub at: Timestamp,
}

/// Records an engine's confirmation that it holds nothing for the program, or that it has a new
/// incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRelease {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineId,
    /// The incarnation of the engine that holds nothing for the program.
    pub incarnation: Incarnation,
    /// The last intent that the confirmation covers, from [`crate::ReleaseRequest::covers`]. An
    /// obligation with a later intent stays.
    pub covers: LogIndex,
    /// Bytes that the engine reported as freed, for measuring wasted cache.
    pub freed: Bytes,
}

/// Closes the programs that have been idle for their expiry time, and removes ended ones whose
/// records have been kept for `keep_records` and that have no obligation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpirePrograms {
    /// The time by the owner's clock.
    pub now: Timestamp,
    /// How long records are kept after their program ended.
    pub keep_records: Duration,
}

/// Replaces a turn's text by a reference to a chunk that store daemons hold durably.
///
/// It must be proposed only after the store daemons confirmed the chunk, because replicas drop
/// their copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveTurnToStore {
    /// The program.
    pub program: ProgramId,
    /// The chain that the turn belongs to.
    pub chain: ChainId,
    /// Position of the turn in the chain's own turns, from 0.
    pub turn: u32,
    /// The chunk. The command is refused unless its digest is that of the turn's messages.
    pub chunk: ChunkReference,
}

/// Sets the limits for later commands of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetLimits {
    /// The new limits. Anything already above them stays.
    pub limits: ProgramLimits,
}

/// A command to a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Command {
    CreateProgram(CreateProgram),
    BeginCall(BeginCall),
    RecordIntent(RecordIntent),
    RecordOutcome(RecordOutcome),
    AbandonCall(AbandonCall),
    RaiseBudget(RaiseBudget),
    CloseProgram(CloseProgram),
    ConfirmRelease(ConfirmRelease),
    ExpirePrograms(ExpirePrograms),
    MoveTurnToStore(MoveTurnToStore),
    SetLimits(SetLimits),
    Ledger(LedgerCommand),
}
