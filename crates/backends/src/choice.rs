//! What is asked of the choice of servers, and what comes out.

use dahlia_types::Duration;

use crate::{BackendAddress, BackendId, Distance, ServiceName, TurnSize};

/// Asks for a server.
#[derive(Debug, Clone)]
pub struct ChoiceRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// What the request should stay together with; none when nothing.
    pub affinity: Option<Affinity>,
    /// A server that is known to hold what the request needs.
    pub preferred: Option<&'a BackendId>,
    /// Servers that the request was sent to before.
    pub tried: &'a [BackendId],
    /// For model servers: how large the request is; none when it does not say.
    pub size: Option<TurnSize>,
}

/// What requests should stay together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Affinity {
    /// Those of one program or session, by a hash of its name: one server holds what they need.
    Program(u64),
    /// Those that concern one object, by a hash of its name: a server that has seen it works faster.
    Object(u64),
    /// Those whose prompts begin with the same parts. A few servers hold these, as many as their
    /// share of the load needs; the shorter they are, the more.
    SharedPrompt(SharedPrompt),
}

/// The parts that prompts begin with and that other requests have too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrompt {
    /// A hash of the last part; those before it are the same wherever it stands.
    pub hash: u64,
    /// Tokens of all of them.
    pub tokens: u64,
}

/// By what a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is known to hold what the request needs.
    Preferred,
    /// All daemons prefer it for this affinity.
    Affinity,
    /// It is the least loaded of those that all daemons prefer for these parts of a prompt.
    SharedPrompt,
    /// Those preferred have far more than the mean load: it is the least loaded.
    LeastLoaded,
    /// Nothing ties the request to a server: it is the least loaded, its zone considered.
    Load,
    /// The service has room to spare: it is the first free one of the few that this daemon uses.
    Subset,
    /// The request is expected to end there first, or nearly so.
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

/// What a choice rested on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChoiceBasis {
    /// By what it was chosen.
    pub reason: ChoiceReason,
    /// Servers of the service that discovery lists.
    pub listed: usize,
    /// Of these, servers that take the request now; where there are many, of those looked at.
    pub usable: usize,
    /// Of these, servers that neither failed of late nor are slow.
    pub healthy: usize,
    /// Attempts of this daemon that the chosen one had before.
    pub in_flight: u32,
    /// How far away the chosen one is.
    pub distance: Distance,
    /// What was expected of the chosen one, where that decided.
    pub estimate: Option<TurnEstimate>,
}

/// What is expected of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnEstimate {
    /// Until the end of its answer.
    pub duration: Duration,
    /// Attempts there, this daemon's and others'.
    pub attempts: u32,
    /// How long a token takes there.
    pub time_per_token: Duration,
    /// Whether the server holds what the request needs.
    pub holds_prompt: bool,
    /// How old the news of others' attempts are; none when there are none that count.
    pub view_age: Option<Duration>,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this server. The attempt counts as begun.
    Use {
        /// The server.
        server: BackendAddress,
        /// Why this one.
        basis: ChoiceBasis,
    },
    /// Every server has as much work as it takes.
    Full {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// No server that was not tried takes work.
    NoBackend {
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

/// How an attempt ended, as far as the server's fitness is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It answered, whatever the answer, unless that tells of its own failure.
    Answered,
    /// It answered that it failed itself.
    Failed,
    /// It said that it did not run the attempt because it is full.
    Refused,
    /// It said that it did not run the attempt because it leaves or is another server.
    Leaving,
    /// It could not be reached; nothing was sent.
    Unreachable,
    /// The answer broke off, was not whole, or belonged to another attempt.
    Broken,
    /// It was sent on a kept connection that the server had dropped: that says nothing of its
    /// fitness.
    Dropped,
    /// The caller left.
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
