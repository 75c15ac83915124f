//! Errors as callers and operators see them, and the one map from errors to statuses.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The name of an error. Stable: callers and scripts match on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// A field is missing, malformed or over its limit. Not run.
    InvalidRequest,
    /// The credential is missing, malformed or not valid here. Not run.
    Unauthorized,
    /// The program, call or configuration generation does not exist for this credential. Not run.
    NotFound,
    /// The program has ended. Not run.
    ProgramClosed,
    /// The stated call number is not the chain's next one. Not run.
    OutOfOrder,
    /// The key or number was used by a call with other content. Not run.
    KeyReused,
    /// What is left of the budget does not cover the call. Not run.
    BudgetExhausted,
    /// The body is over its limit. Not run.
    TooLarge,
    /// The tenant or program is over a limit of its own. Not run.
    LimitReached,
    /// The system has more work than it can serve in time. Not run.
    Overloaded,
    /// It did not run and never will; the reason is in the message.
    NotRun,
    /// It may have run; it will not run again.
    Unknown,
    /// Text that was read came from an attempt that was lost; another one answered differently.
    AnswerReplaced,
    /// An operator's change was made from a generation that is no longer the newest.
    ConfigurationConflict,
    /// No owner of the program can be reached at present. For a call: it may have begun; asking
    /// again with the same key or number joins it.
    Unavailable,
    /// A fault of this system.
    Internal,
}

impl ErrorKind {
    /// The name as it stands in answers.
    pub fn name(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::ProgramClosed => "program_closed",
            Self::OutOfOrder => "out_of_order",
            Self::KeyReused => "key_reused",
            Self::BudgetExhausted => "budget_exhausted",
            Self::TooLarge => "too_large",
            Self::LimitReached => "limit_reached",
            Self::Overloaded => "overloaded",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::AnswerReplaced => "answer_replaced",
            Self::ConfigurationConflict => "configuration_conflict",
            Self::Unavailable => "unavailable",
            Self::Internal => "internal",
        }
    }

    /// The HTTP status (RFC 9110; 402, 424 and 429 as registered by IANA).
    ///
    /// `Unknown` takes 424, which OpenAI's clients do not send again by themselves.
    pub fn http_status(self) -> u16 {
        match self {
            Self::InvalidRequest => 400,
            Self::Unauthorized => 401,
            Self::BudgetExhausted => 402,
            Self::NotFound => 404,
            Self::OutOfOrder | Self::AnswerReplaced | Self::ConfigurationConflict => 409,
            Self::ProgramClosed => 410,
            Self::TooLarge => 413,
            Self::KeyReused => 422,
            Self::Unknown => 424,
            Self::LimitReached => 429,
            Self::Internal => 500,
            Self::Overloaded | Self::NotRun | Self::Unavailable => 503,
        }
    }

    /// The RPC status.
    pub fn rpc_code(self) -> tonic::Code {
        match self {
            Self::InvalidRequest | Self::TooLarge => tonic::Code::InvalidArgument,
            Self::Unauthorized => tonic::Code::Unauthenticated,
            Self::NotFound => tonic::Code::NotFound,
            Self::ProgramClosed | Self::BudgetExhausted | Self::OutOfOrder => {
                tonic::Code::FailedPrecondition
            }
            Self::KeyReused => tonic::Code::AlreadyExists,
            Self::ConfigurationConflict | Self::AnswerReplaced => tonic::Code::Aborted,
            Self::LimitReached | Self::Overloaded => tonic::Code::ResourceExhausted,
            Self::NotRun | Self::Unavailable => tonic::Code::Unavailable,
            Self::Unknown => tonic::Code::Unknown,
            Self::Internal => tonic::Code::Internal,
        }
    }

    /// Whether the same request can succeed when sent again unchanged.
    pub fn should_retry(self) -> bool {
        matches!(self, Self::LimitReached | Self::Overloaded | Self::NotRun | Self::Unavailable)
    }
}

/// An error answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{}: {message}", kind.name()))]
pub struct ApiError {
    /// Its name.
    pub kind: ErrorKind,
    /// One or two sentences for a person.
    pub message: String,
    /// The field that is wrong, if one is.
    pub field: Option<String>,
    /// When to come back, if that can help.
    pub retry_after: Option<Duration>,
}

/// When a caller may come back after an error that can be retried, unless a better estimate
/// exists.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

impl ApiError {
    /// An error without field. One that can be retried always says when to come back: a client
    /// that is told nothing asks again at once.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let retry_after = kind.should_retry().then_some(DEFAULT_RETRY);
        Self { kind, message: message.into(), field: None, retry_after }
    }

    /// The same error naming the wrong field.
    pub fn with_field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// The same error with the time to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The same error for a request that fails again however often it is sent unchanged.
    pub fn without_retry(mut self) -> Self {
        self.retry_after = None;
        self
    }

    /// The value of the HTTP `Retry-After` header: whole seconds, rounded up, at least 1.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_millis().div_ceil(1000).max(1) as u64)
    }

    /// The JSON body, in the shape OpenAI's clients read.
    pub fn body(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "type": self.kind.name(),
                "code": self.kind.name(),
                "message": self.message,
                "param": self.field,
                "retry_after_ms": self.retry_after.map(|after| after.as_millis() as u64),
            }
        })
    }
}
