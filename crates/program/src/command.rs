//! Commands: what a group's owner proposes to the replicated log.
//!
//! A command may be refused when it is applied; the refusal is as durable and as deterministic
//! as an acceptance. Proposers learn the result from [`crate::GroupState::apply`].

use dahlia_ledger::LedgerCommand;
use dahlia_types::{
    AttemptId, Bytes, CallId, CallKind, ChainId, Duration, EngineId, IdempotencyKey, Incarnation,
    LogIndex, Message, ModelId, ProgramId, Repeatability, TenantId, Timestamp, Tokens, Usage,
};
use serde::{Deserialize, Serialize};

use crate::{CallOutcome, ChunkReference, ProgramLimits};

/// What an operator states when creating a program.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramSpecification {
    /// Whose program it is.
    pub tenant: TenantId,
    /// Model, adapter and version that serve it.
    pub model: ModelId,
    /// Tokens, prompt and generated together, over all its calls and sub-agents.
    pub budget: Tokens,
    /// It ends by itself after this long without a call in progress.
    pub idle_expiry: Duration,
}

/// Creates a program. Repeating it with the same specification is accepted and changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreateProgram {
    /// The new program.
    pub program: ProgramId,
    /// What the operator stated.
    pub specification: ProgramSpecification,
    /// The owner's time.
    pub at: Timestamp,
}

/// Puts a call into its chain's order. Nothing runs yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeginCall {
    /// The program.
    pub program: ProgramId,
    /// The chain. An unused number opens a sub-agent's chain.
    pub chain: ChainId,
    /// The chain that the new chain branches off from; read only when the call opens a chain.
    pub parent: Option<ChainId>,
    /// The place in the chain that the caller stated, from 1; none takes the next place.
    pub number: Option<u32>,
    /// The caller's key. A second call with it joins or replays the first.
    pub key: Option<IdempotencyKey>,
    /// Hash of the request; a key or number used again with another digest is refused.
    pub digest: u64,
    /// What serves the call.
    pub kind: CallKind,
    /// Whether it may run again.
    pub repeatability: Repeatability,
    /// What is new in the history before the answer.
    pub messages: Vec<Message>,
    /// Most tokens the caller wants generated.
    pub max_generated: Tokens,
    /// The owner's time.
    pub at: Timestamp,
}

/// The intent to dispatch an attempt. Reserves budget and records the obligation to release.
///
/// Must be committed before the first byte leaves for the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordIntent {
    /// The attempt; its number must be one above the call's last.
    pub attempt: AttemptId,
    /// The engine or tool service.
    pub engine: EngineId,
    /// The life of that engine. Zero for a tool service.
    pub incarnation: Incarnation,
    /// Upper bound of the prompt in tokens; the engine refuses a longer one unrun.
    pub prompt_bound: Tokens,
    /// The owner's time.
    pub at: Timestamp,
}

/// What came of an attempt. Settles the reservation except when the outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordOutcome {
    /// The attempt.
    pub attempt: AttemptId,
    /// What came of it.
    pub outcome: AttemptOutcome,
    /// The owner's time.
    pub at: Timestamp,
}

/// What an owner knows of an attempt's end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// It ran to its end.
    Ran {
        /// The whole answer.
        answer: Message,
        /// Tokens used.
        usage: Usage,
    },
    /// It was cut while running: it cost tokens and gave no whole answer.
    Cut {
        /// Tokens used.
        usage: Usage,
    },
    /// The engine confirmed that it did not start and never will.
    NotRun,
    /// Nobody can say. The reservation stays; a call at most once ends as unknown.
    Unknown,
}

/// Ends a call with a final answer that is not an engine's. Refused while an attempt is open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbandonCall {
    /// The call.
    pub call: CallId,
    /// Its final outcome: not run or unknown.
    pub outcome: CallOutcome,
    /// The owner's time.
    pub at: Timestamp,
}

/// Raises a program's budget to a total. A lower total is refused.
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

/// Ends a program. Refuses later calls; obligations stay until engines confirm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseProgram {
    /// The program.
    pub program: ProgramId,
    /// Why.
    pub reason: CloseReason,
    /// The owner's time.
    pub at: Timestamp,
}

/// An engine confirmed that it holds nothing of the program, or has a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmRelease {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub engine: EngineId,
    /// The life of the engine that is free of the program.
    pub incarnation: Incarnation,
    /// The last intent that the confirmation covers, from [`crate::ReleaseRequest::covers`]. An
    /// obligation that a later intent renewed stays.
    pub covers: LogIndex,
    /// Bytes that the engine said it freed, for the measure of wasted cache.
    pub freed: Bytes,
}

/// Closes the programs that are idle past their expiry, and forgets ended ones whose records
/// have been kept for the stated time and that hold no obligation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpirePrograms {
    /// The owner's time.
    pub now: Timestamp,
    /// How long an ended program's records outlive it.
    pub keep_records: Duration,
}

/// Replaces a turn's text by a reference to a chunk that store daemons hold durably.
///
/// Propose it only after the store daemons confirmed the chunk: replicas drop their copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveTurnToStore {
    /// The program.
    pub program: ProgramId,
    /// The chain that the turn belongs to.
    pub chain: ChainId,
    /// Position of the turn in the chain's own turns, from 0.
    pub turn: u32,
    /// The chunk. Refused unless its digest is that of the turn's messages.
    pub chunk: ChunkReference,
}

/// Sets the limits that later commands of the group are judged by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetLimits {
    /// The new limits. What is already above them stays.
    pub limits: ProgramLimits,
}

/// Any command.
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
