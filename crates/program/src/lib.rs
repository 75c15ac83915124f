//! The replicated state of the programs of one group: the order of calls, budgets, intents,
//! outcomes, history and release obligations.
//!
//! [`GroupState::apply`] is deterministic: it takes committed commands in log order, reads no
//! clock and draws no random numbers, so that every replica reaches the same state. It does no
//! I/O: the owner reads the state, acts on it, and records its actions as further commands.

mod attempt;
mod begin;
mod budget;
mod call;
mod chain;
mod closing;
mod command;
mod history;
mod key;
mod limits;
mod outcome;
mod program;
mod recovery;
mod refusal;
mod snapshot;
mod state;
mod switches;

pub use budget::Budget;
pub use call::{Call, CallState, EndedCall, OpenAttempt, OpenCall, UnknownAttempt};
pub use chain::{BranchPoint, Chain};
pub use command::{
    AbandonCall, AttemptOutcome, BeginCall, CloseProgram, CloseReason, Command, ConfirmRelease,
    CreateProgram, ExpirePrograms, MoveTurnToStore, ProgramSpecification, RaiseBudget,
    RecordIntent, RecordOutcome, SetLimits,
};
pub use history::{
    ChunkError, ChunkReference, HistoryPart, MissingChunks, Turn, TurnText, decode_chunk,
    encode_chunk,
};
pub use limits::ProgramLimits;
pub use outcome::{
    BeginOutcome, CallOutcome, CommandEffect, NotRunReason, RecordedOutcome, StoredAnswer,
    TokenReservation,
};
pub use program::{EngineIncarnation, Lifecycle, Program, ReleaseObligation, ReleaseRequest};
pub use recovery::UnfinishedCall;
pub use refusal::CommandRefusal;
pub use snapshot::{SNAPSHOT_VERSION, SnapshotError};
pub use state::GroupState;
pub use switches::Mechanism;
