//! Requests that a gateway or an operators' server puts to the owner of a program, and the
//! responses. They travel inside one daemon or between two; the meaning is the same.

use std::time::Duration;

use dahlia_api::{ApiError, CallRequest, ErrorKind};
use dahlia_ledger::{LedgerCommand, LedgerReply};
use dahlia_limits::{LimitCommand, LimitReply};
use dahlia_program::{CallOutcome, CommandRefusal, NotRunReason, ProgramSpecification};
use dahlia_types::{
    AttemptId, Bytes, CallId, DaemonId, EngineId, GroupId, Incarnation, ProgramId, TenantId, Term,
    Tokens, Usage,
};
use serde::{Deserialize, Serialize};

/// Names a request on the daemon that issued it. Never reused in one life of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// What is asked of a program's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Put a call into its chain's order and run it. Answered when it has its place.
    Submit {
        /// Whose credential the request carried.
        tenant: TenantId,
        /// The validated request.
        call: CallRequest,
        /// Whether it may run again after an attempt of unknown outcome.
        repeatable: bool,
    },
    /// Answered when the call has its final outcome.
    AwaitOutcome {
        /// Whose credential the request carried.
        tenant: TenantId,
        /// The call.
        call: CallId,
    },
    /// Create a program.
    Create {
        /// The new program's identifier, drawn by the asking daemon so that a repeat is harmless.
        program: ProgramId,
        /// What the operator stated.
        specification: ProgramSpecification,
    },
    /// Show a program.
    Show {
        /// The program.
        program: ProgramId,
        /// With the calls of each chain.
        with_calls: bool,
    },
    /// List the programs of a group.
    List {
        /// The group.
        group: GroupId,
        /// Only this tenant's.
        tenant: Option<TenantId>,
        /// Also those that have ended.
        include_closed: bool,
        /// At most so many.
        limit: u32,
    },
    /// Raise a budget.
    RaiseBudget {
        /// The program.
        program: ProgramId,
        /// The new total.
        total: Tokens,
    },
    /// End a program.
    Close {
        /// The program.
        program: ProgramId,
        /// Whose credential the request carried; none for an operator's.
        tenant: Option<TenantId>,
    },
    /// Put a command to a ledger of caller-named programs. Answered when it is durable.
    Ledger {
        /// The group that holds the ledger.
        group: GroupId,
        /// The command. The owner stamps it with its own time; the asker's is ignored.
        command: LedgerCommand,
    },
    /// Put a command to the keeper of tenants' rate limits. Nothing of it is durable.
    Limits {
        /// The group whose owner is the keeper.
        group: GroupId,
        /// The command.
        command: LimitCommand,
    },
}

impl Request {
    /// The group whose owner answers.
    pub fn group(&self) -> GroupId {
        match self {
            Self::Submit { call, .. } => call.program.group,
            Self::AwaitOutcome { call, .. } => call.program.group,
            Self::Create { program, .. }
            | Self::Show { program, .. }
            | Self::RaiseBudget { program, .. }
            | Self::Close { program, .. } => program.group,
            Self::List { group, .. } | Self::Ledger { group, .. } | Self::Limits { group, .. } => {
                *group
            }
        }
    }

    /// Whether the owner answers only after an event that may take long.
    pub fn waits(&self) -> bool {
        matches!(self, Self::AwaitOutcome { .. })
    }

    /// Whether a caller's turn waits for the answer, and would rather be refused than wait long.
    pub fn is_urgent(&self) -> bool {
        matches!(self, Self::Ledger { .. } | Self::Limits { .. })
    }
}

/// An owner's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The call has its place and will run; its text can be read at the owner.
    Begun {
        /// The call.
        call: CallId,
    },
    /// The call's final outcome.
    Ended {
        /// The call.
        call: CallId,
        /// The attempt that ended it; 0 when there was none.
        attempt: u32,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// One program.
    Program(Box<ProgramView>),
    /// Several programs.
    Programs(Vec<ProgramView>),
    /// What a ledger says, its refusals included.
    Ledger(LedgerReply),
    /// What a keeper of rate limits says.
    Limits(LimitReply),
    /// This daemon does not own the group; nothing was done.
    NotOwner {
        /// Who may own it.
        hint: Option<DaemonId>,
    },
    /// Refused or failed.
    Failed(ApiError),
}

/// A program as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// What the operator stated.
    pub specification: ProgramSpecification,
    /// `open`, `closed` or `expired`.
    pub state: ProgramStateName,
    /// The budget's total.
    pub total: Tokens,
    /// Charged so far.
    pub spent: Tokens,
    /// Held for open attempts and for attempts of unknown outcome.
    pub reserved: Tokens,
    /// Chains, with the main one.
    pub chains: u32,
    /// Calls that were answered.
    pub turns: u32,
    /// Engines that may hold its context.
    pub cache_holders: Vec<CacheHolderView>,
    /// The owner.
    pub owner: DaemonId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Calls, if asked for.
    pub calls: Vec<CallView>,
}

/// Where a program stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramStateName {
    /// Takes calls.
    Open,
    /// Ended by a caller or an operator.
    Closed,
    /// Ended by itself.
    Expired,
}

/// An engine that may hold a program's context.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheHolderView {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// A call as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallView {
    /// The call.
    pub call: CallId,
    /// Where it stands.
    pub state: CallStateName,
    /// Attempts so far.
    pub attempts: u32,
    /// The last attempt's engine.
    pub engine: Option<EngineId>,
    /// Tokens used by the attempt that answered.
    pub usage: Usage,
}

/// Where a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallStateName {
    /// Behind another call of its chain.
    Waiting,
    /// May be dispatched.
    Ready,
    /// An attempt is open.
    Running,
    /// Answered.
    Answered,
    /// Will not run.
    NotRun,
    /// May have run.
    Unknown,
}

/// What kept an attempt from running. Placement judges engines by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunCause {
    /// Its engine could not be reached, leaves, or refused it for another reason of its own.
    Engine,
    /// Its engine has too much work.
    Overloaded,
    /// The call is too large for the engine's memory or its own reservation: another engine of the
    /// model would refuse it too, and the engine is not to blame.
    Call,
}

/// How an attempt ended, as seen by the part of the daemon that talks to engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// Whole answer.
    Ran {
        /// The text.
        text: String,
        /// Tokens used.
        usage: Usage,
    },
    /// The engine confirmed that it did not start and never will.
    NotRun {
        /// What kept it from running.
        cause: NotRunCause,
        /// Why.
        reason: String,
        /// The engine's hint when to come back.
        retry_after: Option<Duration>,
    },
    /// The engine cut it and said what it used.
    Cut {
        /// Tokens used.
        usage: Usage,
    },
    /// Nobody can say.
    Unknown {
        /// What was seen.
        reason: String,
    },
}

/// What came of asking an engine to free a program's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseEnd {
    /// Free; this life of the engine holds nothing of it.
    Confirmed {
        /// The engine's life.
        incarnation: Incarnation,
        /// What was freed.
        freed: Bytes,
    },
    /// Not confirmed; ask again.
    Failed,
}

/// Makes the error that a caller sees when a call ended as not run or unknown.
pub fn outcome_error(outcome: &CallOutcome) -> Option<ApiError> {
    match outcome {
        CallOutcome::Answered { .. } => None,
        CallOutcome::NotRun { reason, retry_after } => {
            let (kind, message) = not_run_error(*reason);
            let mut error = ApiError::new(kind, message);
            let hint = retry_after.map(|after| Duration::from_micros(after.as_micros()));
            if kind.should_retry() {
                error = error.with_retry_after(hint.unwrap_or(NOT_RUN_RETRY_DELAY));
            }
            Some(error)
        }
        CallOutcome::Unknown => Some(ApiError::new(
            ErrorKind::Unknown,
            "the call may have run; it will not be run again under this key",
        )),
    }
}

fn not_run_error(reason: NotRunReason) -> (ErrorKind, &'static str) {
    match reason {
        NotRunReason::ProgramClosed => {
            (ErrorKind::ProgramClosed, "the program was closed before the call could run")
        }
        NotRunReason::BudgetExhausted => (
            ErrorKind::BudgetExhausted,
            "what is left of the program's budget does not cover the call",
        ),
        NotRunReason::LimitReached => {
            (ErrorKind::LimitReached, "the program or its tenant is at a limit")
        }
        NotRunReason::Overloaded => {
            (ErrorKind::Overloaded, "the call would have to wait for too long; it was not run")
        }
        NotRunReason::AttemptsFailed => {
            (ErrorKind::NotRun, "every engine that was tried refused the call unrun")
        }
    }
}

/// Makes the error that an asker sees when a command was refused.
pub fn refusal_error(refusal: &CommandRefusal) -> ApiError {
    let kind = match refusal {
        CommandRefusal::NoSuchProgram { .. } | CommandRefusal::WrongGroup { .. } => {
            ErrorKind::NotFound
        }
        CommandRefusal::ProgramExists { .. } | CommandRefusal::DigestMismatch { .. } => {
            ErrorKind::KeyReused
        }
        CommandRefusal::ProgramClosed { .. } => ErrorKind::ProgramClosed,
        CommandRefusal::OutOfOrder { .. } | CommandRefusal::NotReady { .. } => {
            ErrorKind::OutOfOrder
        }
        CommandRefusal::BudgetExhausted { .. } => ErrorKind::BudgetExhausted,
        CommandRefusal::LimitReached { .. } => ErrorKind::LimitReached,
        CommandRefusal::NoSuchChain { .. } | CommandRefusal::BudgetLowered { .. } => {
            ErrorKind::InvalidRequest
        }
        _ => ErrorKind::Internal,
    };
    ApiError::new(kind, refusal.to_string())
}

/// When a caller whose call did not run may come back, unless a better estimate exists.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The answer of an attempt that is being generated, by attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AnswerPosition {
    /// The attempt whose text is read.
    pub attempt: AttemptId,
    /// Bytes already received.
    pub offset: u64,
}
