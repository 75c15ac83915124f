//! Requests from a gateway or an operators' server to the owner of a program, and the responses.
//! They have the same meaning within one daemon and between two daemons.

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

/// Identifies a request on the daemon that issued it. Never reused within one incarnation of the
/// daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A request to the owner of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Append a call to its chain and run it. Answered when the call is recorded in the chain's order.
    Submit {
        /// The tenant of the request's credential.
        tenant: TenantId,
        /// The validated request.
        call: CallRequest,
        /// Whether the call may run again after an attempt with an unknown outcome.
        repeatable: bool,
    },
    /// Wait for a call's outcome. Answered when the outcome is final.
    AwaitOutcome {
        /// The tenant of the request's credential.
        tenant: TenantId,
        /// The call.
        call: CallId,
    },
    /// Create a program.
    Create {
        /// The new program's identifier. The requesting daemon draws it, so that a retry is
        /// idempotent.
        program: ProgramId,
        /// The operator's specification.
        specification: ProgramSpecification,
    },
    /// Show a program.
    Show {
        /// The program.
        program: ProgramId,
        /// Whether to include the calls of each chain.
        with_calls: bool,
    },
    /// List the programs of a group.
    List {
        /// The group.
        group: GroupId,
        /// List only this tenant's programs; none lists all.
        tenant: Option<TenantId>,
        /// Whether to include programs that have ended.
        include_closed: bool,
        /// Maximum number of programs to list.
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
        /// The tenant of the request's credential; none for an operator.
        tenant: Option<TenantId>,
    },
    /// Apply a command to a ledger of caller-named programs. Answered when it is durable.
    Ledger {
        /// The group that holds the ledger.
        group: GroupId,
        /// The command. The owner sets its timestamp; the requester's is ignored.
        command: LedgerCommand,
    },
    /// Send a command to the keeper of tenants' rate limits. Nothing of it is durable.
    Limits {
        /// The group whose owner is the keeper.
        group: GroupId,
        /// The command.
        command: LimitCommand,
    },
}

impl Request {
    /// Returns the group whose owner answers.
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

    /// Whether the owner may answer only after a long time.
    pub fn waits(&self) -> bool {
        matches!(self, Self::AwaitOutcome { .. })
    }

    /// Whether a caller's turn waits for the answer, so that a quick refusal is better than a long
    /// wait.
    pub fn is_urgent(&self) -> bool {
        matches!(self, Self::Ledger { .. } | Self::Limits { .. })
    }
}

/// The response of an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Response {
    /// The call is recorded in its chain and will run. Its text can be read at the owner.
    Begun {
        /// The call.
        call: CallId,
    },
    /// The call's final outcome.
    Ended {
        /// The call.
        call: CallId,
        /// The attempt that ended it; 0 if there was none.
        attempt: u32,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// One program.
    Program(Box<ProgramView>),
    /// Several programs.
    Programs(Vec<ProgramView>),
    /// The reply of a ledger, which may be a refusal.
    Ledger(LedgerReply),
    /// The reply of a keeper of rate limits.
    Limits(LimitReply),
    /// This daemon does not own the group; nothing was done.
    NotOwner {
        /// The probable owner.
        hint: Option<DaemonId>,
    },
    /// The request was refused or failed.
    Failed(ApiError),
}

/// A program as reported to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgramView {
    /// The program.
    pub program: ProgramId,
    /// The operator's specification.
    pub specification: ProgramSpecification,
    /// `open`, `closed` or `expired`.
    pub state: ProgramStateName,
    /// The budget's total.
    pub total: Tokens,
    /// Tokens charged so far.
    pub spent: Tokens,
    /// Tokens reserved for open attempts and for attempts with an unknown outcome.
    pub reserved: Tokens,
    /// Number of chains, including the main chain.
    pub chains: u32,
    /// Number of answered calls.
    pub turns: u32,
    /// Engines that may hold its context in their caches.
    pub cache_holders: Vec<CacheHolderView>,
    /// The owner.
    pub owner: DaemonId,
    /// The owner's epoch.
    pub epoch: Term,
    /// Its calls, if requested.
    pub calls: Vec<CallView>,
}

/// The state of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProgramStateName {
    /// It accepts calls.
    Open,
    /// A caller or an operator ended it.
    Closed,
    /// It ended by expiry.
    Expired,
}

/// An engine that may hold a program's context.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheHolderView {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A call as reported to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallView {
    /// The call.
    pub call: CallId,
    /// Its state.
    pub state: CallStateName,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The last attempt's engine.
    pub engine: Option<EngineId>,
    /// Tokens used by the attempt that answered it.
    pub usage: Usage,
}

/// The state of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallStateName {
    /// It waits for an earlier call of its chain.
    Waiting,
    /// It may be dispatched.
    Ready,
    /// It has an open attempt.
    Running,
    /// It was answered.
    Answered,
    /// It will not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why an attempt did not run. Placement uses it to judge engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotRunCause {
    /// Its engine could not be reached, is leaving, or refused it for another reason of its own.
    Engine,
    /// Its engine has too much work.
    Overloaded,
    /// The call is too large for the engine's memory or its own reservation. Other engines of the
    /// model would refuse it too, so the engine is not at fault.
    Call,
}

/// How an attempt ended, as reported by the daemon's engine client.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// It ran to a complete answer.
    Ran {
        /// The text.
        text: String,
        /// Tokens used.
        usage: Usage,
    },
    /// The engine confirmed that it did not start and never will.
    NotRun {
        /// Why it did not run.
        cause: NotRunCause,
        /// The reason as text.
        reason: String,
        /// The engine's hint when to retry.
        retry_after: Option<Duration>,
    },
    /// The engine cancelled it and reported its usage.
    Cut {
        /// Tokens used.
        usage: Usage,
    },
    /// It cannot be determined whether it ran.
    Unknown {
        /// What was observed.
        reason: String,
    },
}

/// The result of a request to free a program's memory at an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseEnd {
    /// The memory is free; this incarnation of the engine holds nothing of the program.
    Confirmed {
        /// The engine's incarnation.
        incarnation: Incarnation,
        /// Bytes that were freed.
        freed: Bytes,
    },
    /// The release was not confirmed and must be retried.
    Failed,
}

/// Returns the error for the caller of a call that ended as not run or unknown.
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
            (ErrorKind::NotRun, "every engine that was tried refused the call without running it")
        }
    }
}

/// Returns the error for the requester of a command that was refused.
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

/// The retry delay for a call that did not run, unless a better estimate exists.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A read position in the answer of a running attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AnswerPosition {
    /// The attempt whose answer is read.
    pub attempt: AttemptId,
    /// Number of bytes already received.
    pub offset: u64,
}
