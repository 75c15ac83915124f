//! What applying a command gives.

use dahlia_ledger::LedgerReply;
use dahlia_types::{AttemptId, CallId, Duration, Message, ProgramId, Tokens, Usage};
use serde::{Deserialize, Serialize};

use crate::ChunkReference;

/// Why a call did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunReason {
    /// Its program was closed before it could run.
    ProgramClosed,
    /// What was left of the budget did not cover it.
    BudgetExhausted,
    /// It broke a limit of its program or tenant.
    LimitReached,
    /// The expected wait was too long, or no engine served its model.
    Overloaded,
    /// Every attempt was refused unrun.
    AttemptsFailed,
}

/// The outcome of a call. An answer or an unknown outcome is final. A call that did not run may be
/// begun again by its caller while it is the last of its chain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// It ran; this is the whole answer.
    Answered {
        /// The answer.
        answer: Message,
        /// Tokens used by the attempt that answered.
        usage: Usage,
    },
    /// No attempt of it ran and none ever will, unless its caller begins it again.
    NotRun {
        /// Why, for the caller.
        reason: NotRunReason,
        /// When the caller may come back, from the moment of the outcome.
        retry_after: Option<Duration>,
    },
    /// It may have run; it will not run again.
    Unknown,
}

/// An answer whose text was moved to store daemons: the last message of the chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredAnswer {
    /// Tokens used by the attempt that answered.
    pub usage: Usage,
    /// The chunk that holds the turn.
    pub chunk: ChunkReference,
}

/// A call's final outcome, as far as this replica holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordedOutcome {
    /// The whole outcome.
    Inline(CallOutcome),
    /// Answered; the text is to be fetched from a store daemon.
    Stored(StoredAnswer),
}

/// Where a call stands after [`crate::BeginCall`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginOutcome {
    /// New, or begun again after it did not run, and first in its chain: may be dispatched.
    Ready(CallId),
    /// New, or begun again, behind another call of its chain that is not finished.
    Waiting(CallId),
    /// The same call as an earlier one that is still open.
    Joined(CallId),
    /// The same call as an earlier one that has ended so.
    Replayed(CallId, CallOutcome),
    /// The same call as an earlier one whose answer was moved to store daemons.
    ReplayedFromStore(CallId, StoredAnswer),
}

/// The terms of a recorded intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenReservation {
    /// Tokens reserved: the prompt's bound and the cap.
    pub reserved: Tokens,
    /// Most tokens the attempt may generate: the caller's wish, capped by what is left.
    pub generated_cap: Tokens,
}

/// What an accepted command changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommandEffect {
    /// The program exists.
    Created(ProgramId),
    /// The call has its place.
    Begun(BeginOutcome),
    /// The attempt may be dispatched.
    IntentRecorded(TokenReservation),
    /// The call ended; the next call of its chain that may run now, if any.
    CallEnded {
        /// The call that ended.
        call: CallId,
        /// Its final outcome.
        outcome: CallOutcome,
        /// The chain's next call, now ready.
        next: Option<CallId>,
    },
    /// The attempt ended without an answer and the call may be tried again.
    Retryable(CallId),
    /// An attempt that had been recorded as unknown has been accounted for; its call's outcome
    /// is what it was.
    Settled(AttemptId),
    /// The budget's new total.
    BudgetRaised(Tokens),
    /// The program is closed. Ready calls without an intent ended as not run.
    Closed {
        /// The program.
        program: ProgramId,
        /// Calls that ended with it.
        ended: Vec<CallId>,
    },
    /// One obligation less.
    ReleaseConfirmed,
    /// Programs closed and programs forgotten.
    Expired {
        /// Closed just now.
        closed: Vec<ProgramId>,
        /// Removed with all their records.
        forgotten: Vec<ProgramId>,
    },
    /// The turn's text is on the store daemons only.
    TurnMoved,
    /// The new limits hold.
    LimitsSet,
    /// What the ledger of caller-named programs says. Its refusals are replies as well.
    Ledger(LedgerReply),
}
