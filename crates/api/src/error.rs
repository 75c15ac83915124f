//! Errors as callers and operators see them, and the only mapping from errors to statuses.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Kind of an error. The names are stable, since callers and scripts match on them.
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
    /// The call number in the request is not the chain's next one. Not run.
    OutOfOrder,
    /// The key or number was used by a call with other content. Not run.
    KeyReused,
    /// The remaining budget does not cover the call. Not run.
    BudgetExhausted,
    /// The body is over its limit. Not run.
    TooLarge,
    /// The tenant or program exceeds one of its own limits. Not run.
    LimitReached,
    /// The system is overloaded and could not serve the call in time. Not run.
    Overloaded,
    /// The call did not run and never will; the message gives the reason.
    NotRun,
    /// The call may have run; it will not run again.
    Unknown,
    /// The caller has read text of an attempt that was lost, and another attempt gave a different
    /// answer.
    AnswerReplaced,
    /// An operator's change was made from a generation that is no longer the newest.
    ConfigurationConflict,
    /// No owner of the program can be reached at present. A call may have begun; a retry with the
    /// same key or number joins it.
    Unavailable,
    /// An internal error of this system.
    Internal,
}

impl ErrorKind {
    /// Returns the name used in answers.
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
    /// `Unknown` maps to 424, which OpenAI's clients do not retry automatically.
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

    /// Whether a retry of the unchanged request can succeed.
    pub fn should_retry(self) -> bool {
        matches!(self, Self::LimitReached | Self::Overloaded | Self::NotRun | Self::Unavailable)
    }
}

/// An error that is returned to a caller or operator.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(display("{}: {message}", kind.name()))]
pub struct ApiError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Human-readable message of one or two sentences.
    pub message: String,
    /// The invalid field, if the error concerns one.
    pub field: Option<String>,
    /// Delay before a retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
}

/// Delay before a retry of a retryable error, unless a better estimate exists.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

impl ApiError {
    /// Creates an error without field. A retryable error always has a delay, because clients retry
    /// immediately when none is given.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        let retry_after = kind.should_retry().then_some(DEFAULT_RETRY_AFTER);
        Self { kind, message: message.into(), field: None, retry_after }
    }

    /// Sets the invalid field.
    pub fn with_field(mut self, field: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self
    }

    /// Sets the delay before a retry.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Removes the delay, for a request that fails again whenever it is sent unchanged.
    pub fn without_retry(mut self) -> Self {
        self.retry_after = None;
        self
    }

    /// Returns the value of the HTTP `Retry-After` header: whole seconds, rounded up, at least 1.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after.map(|after| after.as_millis().div_ceil(1000).max(1) as u64)
    }

    /// Builds the JSON body in the form that OpenAI's clients parse.
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
