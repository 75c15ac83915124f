//! Why a command changed nothing.

use dahlia_types::{CallId, EngineId, GroupId, Incarnation, LogIndex, ProgramId, Tokens};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A command that was applied and changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum CommandRefusal {
    /// No such program here.
    #[snafu(display("program {program} does not exist"))]
    NoSuchProgram {
        /// The program.
        program: ProgramId,
    },
    /// A program of this identifier exists with another specification.
    #[snafu(display("program {program} exists with another specification"))]
    ProgramExists {
        /// The program.
        program: ProgramId,
    },
    /// The program has ended.
    #[snafu(display("program {program} is closed"))]
    ProgramClosed {
        /// The program.
        program: ProgramId,
    },
    /// The stated number leaves a gap: calls before it have not arrived.
    #[snafu(display("call {call} is early: the chain's next call is {expected}"))]
    OutOfOrder {
        /// The call refused.
        call: CallId,
        /// The number that would be accepted.
        expected: u32,
    },
    /// The key or number belongs to a call with other content.
    #[snafu(display("call {call} exists with other content"))]
    DigestMismatch {
        /// The call that has the key or number.
        call: CallId,
    },
    /// The parent of a new chain does not exist.
    #[snafu(display("program {program} has no chain {chain} to branch off from"))]
    NoSuchChain {
        /// The program.
        program: ProgramId,
        /// The missing parent.
        chain: u32,
    },
    /// What is left of the budget does not cover the prompt and one generated token.
    #[snafu(display("program {program} has {left} left and the call needs at least {needed}"))]
    BudgetExhausted {
        /// The program.
        program: ProgramId,
        /// Unspent and unreserved.
        left: Tokens,
        /// Smallest reservation that would do.
        needed: Tokens,
    },
    /// The program has as many open calls or chains as it may have.
    #[snafu(display("program {program} has reached its limit of {limit} {what}"))]
    LimitReached {
        /// The program.
        program: ProgramId,
        /// What is limited: `open calls`, `chains` or `turns`.
        what: String,
        /// The limit.
        limit: u64,
    },
    /// No such call, or it has ended, or the attempt is not the call's open one.
    #[snafu(display("call {call} has no such open attempt"))]
    StaleAttempt {
        /// The call.
        call: CallId,
    },
    /// The call is not first in its chain.
    #[snafu(display("call {call} waits for an earlier one of its chain"))]
    NotReady {
        /// The call.
        call: CallId,
    },
    /// A budget's total may only rise.
    #[snafu(display("the budget of {program} is {total}; a lower total is refused"))]
    BudgetLowered {
        /// The program.
        program: ProgramId,
        /// The total in force.
        total: Tokens,
    },
    /// The program belongs to another group.
    #[snafu(display("program {program} does not belong to group {group}"))]
    WrongGroup {
        /// The program.
        program: ProgramId,
        /// The group that was asked.
        group: GroupId,
    },
    /// The entry was applied before.
    #[snafu(display("log entry {index} was applied before"))]
    AlreadyApplied {
        /// The entry.
        index: LogIndex,
    },
    /// An attempt may have run: the call may not be run again, or may not end as not run.
    #[snafu(display("an attempt of call {call} may have run"))]
    MayHaveRun {
        /// The call.
        call: CallId,
    },
    /// The call cannot be abandoned with this outcome: no attempt of it can have run, so that it
    /// ends as not run, or the outcome is an answer.
    #[snafu(display("call {call} can be abandoned as not run only"))]
    InvalidAbandonOutcome {
        /// The call.
        call: CallId,
    },
    /// The attempt of the call is open: its outcome has to be recorded first.
    #[snafu(display("call {call} has an open attempt"))]
    AttemptOpen {
        /// The call.
        call: CallId,
    },
    /// The intent names a life of the engine that is over.
    #[snafu(display("engine {engine} has had incarnation {known} since"))]
    StaleIncarnation {
        /// The engine.
        engine: EngineId,
        /// The newest life that the program has an obligation at.
        known: Incarnation,
    },
    /// The program owes nothing at this life of the engine.
    #[snafu(display("program {program} holds nothing at engine {engine}"))]
    NoObligation {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
    },
    /// The confirmation does not cover the engine's last intent or an attempt is open there.
    #[snafu(display("program {program} was dispatched to engine {engine} again"))]
    ObligationRenewed {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// The last intent there.
        last_intent: LogIndex,
    },
    /// No such turn, or it has other content than the chunk.
    #[snafu(display("chain {chain} of {program} has no turn {turn} of this content"))]
    TurnMismatch {
        /// The program.
        program: ProgramId,
        /// The chain.
        chain: u32,
        /// Position of the turn.
        turn: u32,
    },
}
