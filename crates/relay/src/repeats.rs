//! Why a request is sent to a further server, and which servers count against its route's limit.

use dahlia_backends::BackendAddress;

/// Why the answer of a server is lost although the server may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The server's end of the connection closed or was reset before the whole answer came.
    Disconnected,
    /// What came is no whole answer to this request.
    InvalidAnswer,
    /// The server does not respond.
    Unresponsive,
    /// The server has restarted.
    Restarted,
}

impl LossCause {
    /// What happened, as the lines about failed attempts have it.
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Self::Disconnected => "the connection ended",
            Self::InvalidAnswer => "the answer is not valid",
            Self::Unresponsive => "the server fell silent",
            Self::Restarted => "the server has started again",
        }
    }

    /// The cause in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Disconnected => "disconnected",
            Self::InvalidAnswer => "invalid-answer",
            Self::Unresponsive => "unresponsive",
            Self::Restarted => "restarted",
        }
    }
}

/// Why a request is sent to a further server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RepeatCause {
    /// A server may have run it, and its answer is lost.
    Lost(LossCause),
    /// A server did not run it.
    NotRun,
}

impl RepeatCause {
    /// The cause in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Lost(cause) => cause.name(),
            Self::NotRun => "not-run",
        }
    }
}

/// Why a server that may have run a request does not count against the limit of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExclusionReason {
    /// Discovery or the server itself reports that it leaves, or discovery does not list it.
    LeavingOrUnlisted,
    /// A probe connection timed out, and nothing came from the server since.
    Unresponsive,
    /// A probe connection was refused.
    Refused,
    /// A probe connection timed out now.
    ProbeTimeout,
}

impl ExclusionReason {
    /// The reason in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::LeavingOrUnlisted => "leaving-or-unlisted",
            Self::Unresponsive => "unresponsive",
            Self::Refused => "refused",
            Self::ProbeTimeout => "probe-timeout",
        }
    }
}

/// Why a request whose answer is lost is not sent to a further server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WithheldReason {
    /// It must not run twice.
    RunsOnce,
    /// As many servers may have run it as its route allows.
    AttemptLimit,
}

impl WithheldReason {
    /// The reason in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RunsOnce => "runs-once",
            Self::AttemptLimit => "attempt-limit",
        }
    }
}

/// A server that may have run a request.
#[derive(Debug, Clone)]
pub(crate) struct PossibleRun {
    pub(crate) server: BackendAddress,
    pub(crate) cause: LossCause,
}
