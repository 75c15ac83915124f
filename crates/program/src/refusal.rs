//! Why a command changed nothing.

use dahlia_types::{CallId, ProgramId, Tokens};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A command that was applied and changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum Refusal {
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
    TooMany {
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
}
