//! The replicated state of the programs of one group: order of calls, budget, intents, outcomes,
//! history and release obligations.
//!
//! [`GroupState::apply`] is deterministic: it takes committed commands in log order, reads no
//! clock and draws no random number, so that every replica reaches the same state. It does no
//! I/O; the owner reads the state and acts, and records what it did as further commands.

mod command;
mod outcome;
mod refusal;

pub use command::{
    AbandonCall, AttemptOutcome, BeginCall, CloseProgram, CloseReason, Command, ConfirmRelease,
    CreateProgram, ExpirePrograms, ProgramSpecification, RaiseBudget, RecordIntent, RecordOutcome,
};
pub use outcome::{Applied, Begun, CallOutcome, IntentRecorded};
pub use refusal::Refusal;
