//! Results of applying a command.

use dahlia_ledger::LedgerReply;
use dahlia_types::{AttemptId, CallId, Duration, Message, ProgramId, Tokens, Usage};
use serde::{Deserialize, Serialize};

use crate::ChunkReference;

/// Why a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// Its program was closed before it could run.
    ProgramClosed,
    /// The tokens left in the budget did not cover it.
    BudgetExhausted,
    /// It exceeded a limit of its program or tenant.
    LimitReached,
    /// The expected wait was too long, or no engine served its model.
    Overloaded,
    /// Every attempt was refused without running.
    AttemptsFailed,
}

/// The outcome of a call. An answer and an unknown outcome are final. A call that did not run may
/// be begun again by its caller while it is the last call of its chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// It ran to completion.
    Answered {
        /// The complete answer.
        answer: Message,
        /// Tokens used by the attempt that answered.
        usage: Usage,
    },
    /// No attempt of it ran and none ever will, unless its caller begins it again.
    NotRun {
        /// Why, for the caller.
        reason: NotRunReason,
        /// Delay after which the caller may retry, counted from the outcome.
        retry_after: Option<Duration>,
    },
    /// It may have run; it will not run again.
    Unknown,
}

/// An answer whose text was moved to store daemons, as the last message of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Tokens used by the attempt that answered.
    pub usage: Usage,
    /// The chunk that holds the turn.
    pub chunk: ChunkReference,
}

/// A call's final outcome as this replica holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The complete outcome.
    Inline(CallOutcome),
    /// An answer whose text must be fetched from a store daemon.
    Stored(StoredAnswer),
}

/// The state of a call after [`crate::BeginCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// The call is new, or begun again after it did not run, and first in its chain. It may be
    /// dispatched.
    Ready(CallId),
    /// The call is new, or begun again, and waits for an unfinished call of its chain.
    Waiting(CallId),
    /// The command repeats a call that is still open.
    Joined(CallId),
    /// The command repeats a call that has ended with this outcome.
    Replayed(CallId, CallOutcome),
    /// The command repeats a call whose answer was moved to store daemons.
    ReplayedFromStore(CallId, StoredAnswer),
}

/// The tokens reserved by a recorded intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenReservation {
    /// Tokens reserved: the bound of the prompt plus `generated_cap`.
    pub reserved: Tokens,
    /// Most tokens the attempt may generate: the caller's maximum, limited by the tokens left.
    pub generated_cap: Tokens,
}

/// What an accepted command changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandEffect {
    /// The program exists.
    Created(ProgramId),
    /// The call has its position in the chain, or repeats an earlier call.
    Begun(BeginOutcome),
    /// The attempt may be dispatched.
    IntentRecorded(TokenReservation),
    /// The call ended.
    CallEnded {
        /// The call that ended.
        call: CallId,
        /// Its final outcome.
        outcome: CallOutcome,
        /// The next call of its chain, if that may run now.
        next: Option<CallId>,
    },
    /// The attempt ended without an answer and the call may be tried again.
    Retryable(CallId),
    /// An attempt that had been recorded as unknown was settled. Its call's outcome does not
    /// change.
    Settled(AttemptId),
    /// The budget has this new total.
    BudgetRaised(Tokens),
    /// The program is closed. Ready calls without an intent ended as not run.
    Closed {
        /// The program.
        program: ProgramId,
        /// Calls that ended with it.
        ended: Vec<CallId>,
    },
    /// The obligation was removed.
    ReleaseConfirmed,
    /// Idle programs were closed and ended ones removed.
    Expired {
        /// Programs that this command closed.
        closed: Vec<ProgramId>,
        /// Programs that were removed with all their records.
        forgotten: Vec<ProgramId>,
    },
    /// The turn's text is on the store daemons only.
    TurnMoved,
    /// The new limits are in force.
    LimitsSet,
    /// The reply of the ledger of caller-named programs. Its refusals are replies as well.
    Ledger(LedgerReply),
}
