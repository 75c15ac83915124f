//! Why a request is sent to a further server, or why it is not.

use crate::repeat_budget::RepeatPermit;

/// Why the answer of a server is lost although the server may have run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The server's end of the connection closed or was reset before the whole answer came.
    Disconnected,
    /// The system of the server acknowledged nothing until the connection timed out.
    ConnectionTimeout,
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
            Self::ConnectionTimeout => "the connection timed out",
            Self::InvalidAnswer => "the answer is not valid",
            Self::Unresponsive => "the server fell silent",
            Self::Restarted => "the server has started again",
        }
    }

    /// The cause in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Disconnected => "disconnected",
            Self::ConnectionTimeout => "connection-timeout",
            Self::InvalidAnswer => "invalid-answer",
            Self::Unresponsive => "unresponsive",
            Self::Restarted => "restarted",
        }
    }
}

/// The answer of a server that may have run a request is lost.
#[derive(Debug)]
pub(crate) struct Loss {
    pub(crate) cause: LossCause,
    /// The repeat for which the request left its server, if it left a server that does not respond.
    pub(crate) permit: Option<RepeatPermit>,
}

impl From<LossCause> for Loss {
    fn from(cause: LossCause) -> Self {
        Self { cause, permit: None }
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

/// Why a request whose answer is lost is not sent to a further server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WithheldReason {
    /// It must not run twice.
    RunsOnce,
    /// As many servers may have run it as its route allows.
    AttemptLimit,
    /// Its service has had too many repeats of late.
    Budget,
    /// Too many servers ended under it, or might end.
    EndedServers,
}

impl WithheldReason {
    /// The reason in metrics and logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RunsOnce => "runs-once",
            Self::AttemptLimit => "attempt-limit",
            Self::Budget => "budget",
            Self::EndedServers => "ended-servers",
        }
    }
}
