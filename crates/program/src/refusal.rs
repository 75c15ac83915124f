//! Refusals of commands.

use dahlia_types::{CallId, EngineId, GroupId, Incarnation, LogIndex, ProgramId, Tokens};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a command was refused. A refused command changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum CommandRefusal {
    /// The group has no such program.
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
        /// The refused call.
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
        /// The parent that does not exist.
        chain: u32,
    },
    /// The tokens left in the budget do not cover the prompt and one generated token.
    #[snafu(display("program {program} has {left} left and the call needs at least {needed}"))]
    BudgetExhausted {
        /// The program.
        program: ProgramId,
        /// Tokens neither spent nor reserved.
        left: Tokens,
        /// The smallest reservation that suffices.
        needed: Tokens,
    },
    /// The program or its group has reached a limit.
    #[snafu(display("program {program} has reached its limit of {limit} {what}"))]
    LimitReached {
        /// The program.
        program: ProgramId,
        /// The limited quantity, e.g. `open calls`, `chains` or `turns`.
        what: String,
        /// The limit.
        limit: u64,
    },
    /// The call does not exist or has ended, or the attempt is not its open one.
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
    /// The new total of a budget is lower than the one in force.
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
        /// The group that applied the command.
        group: GroupId,
    },
    /// The log entry was applied before.
    #[snafu(display("log entry {index} was applied before"))]
    AlreadyApplied {
        /// The entry.
        index: LogIndex,
    },
    /// An attempt may have run, so the call may not run again or may not end as not run.
    #[snafu(display("an attempt of call {call} may have run"))]
    MayHaveRun {
        /// The call.
        call: CallId,
    },
    /// The call cannot be abandoned with this outcome: either no attempt of it can have run, so
    /// that it must end as not run, or the outcome is an answer.
    #[snafu(display("call {call} can be abandoned as not run only"))]
    InvalidAbandonOutcome {
        /// The call.
        call: CallId,
    },
    /// The call has an open attempt, whose outcome must be recorded first.
    #[snafu(display("call {call} has an open attempt"))]
    AttemptOpen {
        /// The call.
        call: CallId,
    },
    /// The intent names an incarnation of the engine that has ended.
    #[snafu(display("engine {engine} has had incarnation {known} since"))]
    StaleIncarnation {
        /// The engine.
        engine: EngineId,
        /// The newest incarnation for which the program has an obligation.
        known: Incarnation,
    },
    /// The program has no obligation for this incarnation of the engine.
    #[snafu(display("program {program} holds nothing at engine {engine}"))]
    NoObligation {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
    },
    /// The confirmation does not cover the last intent for the engine, or an attempt is open there.
    #[snafu(display("program {program} was dispatched to engine {engine} again"))]
    ObligationRenewed {
        /// The program.
        program: ProgramId,
        /// The engine.
        engine: EngineId,
        /// The last intent for the engine.
        last_intent: LogIndex,
    },
    /// The turn does not exist or has other content than the chunk.
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
