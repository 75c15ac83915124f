//! The request for a choice of a server, and its result.

use dahlia_types::Duration;

use crate::{
    BackendAddress, BackendId, BackendRecord, Distance, ServiceName, TurnSize, VersionDigest,
};

/// A request for a server.
#[derive(Debug, Clone)]
pub struct ChoiceRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// What the request should share a server with, if anything.
    pub affinity: Option<Affinity>,
    /// A server that is known to hold what the request needs.
    pub preferred: Option<&'a BackendId>,
    /// Servers that the request was already sent to.
    pub tried: &'a [BackendId],
    /// For model servers: the size of the request, if the request states it.
    pub size: Option<TurnSize>,
    /// The software version at which the request must run; none if it may run at any.
    pub version: Option<VersionDigest>,
}

impl ChoiceRequest<'_> {
    /// Whether the request may go to a server: it was not sent there before, and the server has the version at which
    /// it must run.
    pub(crate) fn allows(&self, record: &BackendRecord) -> bool {
        let has_version = self.version.is_none_or(|it| record.version.digest() == Some(it));
        has_version && !self.tried.contains(&record.id)
    }
}

/// Which requests should go to the same server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Affinity {
    /// Requests of one program or session, by a hash of its name. One server holds what they need.
    Program(u64),
    /// Requests for one object, by a hash of its name. A server that has seen the object works
    /// faster.
    Object(u64),
    /// Requests whose prompts begin with the same parts. A few servers hold these parts, as many as
    /// their share of the load needs; the shorter the parts, the more servers.
    SharedPrompt(SharedPrompt),
}

/// The parts at the beginning of a prompt that other requests have too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrompt {
    /// A hash of the last part. The same last part always follows the same earlier parts.
    pub hash: u64,
    /// The tokens of all parts.
    pub tokens: u64,
}

/// The rule by which a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// The server is known to hold what the request needs.
    Preferred,
    /// All daemons prefer the server for this affinity.
    Affinity,
    /// The least loaded of the servers that all daemons prefer for this shared prompt.
    SharedPrompt,
    /// The preferred servers have far more than the mean load, so the least loaded server was
    /// chosen.
    LeastLoaded,
    /// The request has no affinity: the least loaded server was chosen, taking zones into account.
    Load,
    /// The service has spare capacity: the first idle server of the few that this daemon uses was
    /// chosen.
    Subset,
    /// The request is expected to end first at this server, or nearly so.
    ExpectedEnd,
}

impl ChoiceReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Preferred => "preferred",
            Self::Affinity => "affinity",
            Self::SharedPrompt => "shared-prompt",
            Self::LeastLoaded => "least-loaded",
            Self::Load => "load",
            Self::Subset => "subset",
            Self::ExpectedEnd => "expected-end",
        }
    }
}

/// The details of a choice, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChoiceBasis {
    /// The rule by which the server was chosen.
    pub reason: ChoiceReason,
    /// The number of servers that discovery lists for the service.
    pub listed: usize,
    /// How many of these take the request now. In a large service, only examined servers are
    /// counted.
    pub usable: usize,
    /// How many of these neither failed recently nor are slow.
    pub healthy: usize,
    /// This daemon's attempts at the chosen server before this one.
    pub in_flight: u32,
    /// The distance of the chosen server.
    pub distance: Distance,
    /// The estimate for the chosen server, if the choice was made by estimates.
    pub estimate: Option<TurnEstimate>,
    /// How long ago the list of servers was complete; none if that was never known.
    pub list_age: Option<Duration>,
    /// How long ago discovery listed the chosen server again after it had disappeared, or may have; none if it never had.
    pub listed_again: Option<Duration>,
}

/// The estimate for a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnEstimate {
    /// The time until the end of the answer.
    pub duration: Duration,
    /// Attempts at the server, of this daemon and of others.
    pub attempts: u32,
    /// The time per token at the server.
    pub time_per_token: Duration,
    /// Whether the server holds what the request needs.
    pub holds_prompt: bool,
    /// The age of the report of other daemons' attempts, if there is a recent one.
    pub view_age: Option<Duration>,
}

/// The result of a choice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this server. The attempt counts as begun.
    Use {
        /// The server.
        server: BackendAddress,
        /// The reasons for the choice.
        basis: ChoiceBasis,
    },
    /// Every server has the maximum work that it takes.
    Full {
        /// The delay after which a retry is worthwhile.
        retry_after: Duration,
    },
    /// No server takes work, apart from those already tried.
    NoBackend {
        /// The delay after which a retry is worthwhile.
        retry_after: Duration,
    },
}

/// How an attempt ended, as far as it concerns the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered. The content does not matter unless it reports a failure of the server.
    Answered,
    /// The server answered that it failed.
    Failed,
    /// The server reported that it did not run the attempt because it is full.
    Refused,
    /// The server reported that it did not run the attempt because it is leaving, or because it is
    /// another server.
    Leaving,
    /// The server could not be reached, and nothing was sent.
    Unreachable,
    /// The answer broke off, was incomplete, or belonged to another attempt.
    Broken,
    /// The request was sent on an idle connection that the server had closed, which says nothing
    /// about its health.
    Dropped,
    /// The caller disconnected.
    Cancelled,
}

impl AttemptEnd {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Dropped => "dropped",
            Self::Cancelled => "cancelled",
        }
    }
}
