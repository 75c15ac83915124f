//! Messages between gateways and keepers.

use dahlia_types::{DaemonId, Duration, Incarnation, TenantId};
use serde::{Deserialize, Serialize};

use crate::{ProgramHandover, ProgramMeans, ProgramProgress, RateLimit};

/// A tenant's limit as a gateway knows it. A keeper applies the one with the highest generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedLimit {
    /// The generation of the configuration that sets the limit.
    pub generation: u64,
    /// The limit.
    pub limit: RateLimit,
}

/// A digest of a program's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgramKey(pub u64);

/// A request of a program, as a gateway decides it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgramRequest {
    /// The program.
    pub program: ProgramKey,
    /// Whether the request names an earlier one of the program, which must have passed.
    pub continues: bool,
}

/// Identifies a keeper by the term in which it owns its group. Each new keeper starts its own count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeeperTerm(pub u64);

/// A request that waited for its turn and has now passed. The keeper that gave it the turn has counted
/// it; a later keeper has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelayedRequest {
    /// The keeper that counted it.
    pub counted_by: KeeperTerm,
    /// Its program, if it has one.
    pub program: Option<ProgramKey>,
}

/// Requests that passed some time ago and that the receiving keeper has not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRequests {
    /// The time since they passed.
    pub age: Duration,
    /// The number of requests. 0 in a tenant's first entry marks a restart of the gateway: before it,
    /// the gateway may have admitted requests of which it has no record.
    pub requests: u32,
}

impl PastRequests {
    /// Creates the entry which says that the gateway restarted this long ago.
    pub(crate) fn restart_marker(age: Duration) -> Self {
        Self { age, requests: 0 }
    }

    pub(crate) fn is_restart_marker(&self) -> bool {
        self.requests == 0
    }
}

/// Requests of one tenant that a gateway admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantId,
    /// Its limit.
    pub limit: VersionedLimit,
    /// Requests admitted without asking: one entry for each, with its program if it has one.
    pub requests: Vec<Option<ProgramKey>>,
    /// Requests that passed after a wait.
    pub delayed: Vec<DelayedRequest>,
    /// Requests that were asked for or reported before and that no server has run or will run. One entry
    /// for each, as in `requests`.
    pub refunded: Vec<Option<ProgramKey>>,
    /// Requests that this keeper has not counted: those admitted some time ago without asking, and, in
    /// its first report, those that earlier keepers counted and a marker if the gateway has restarted.
    pub past: Vec<PastRequests>,
}

impl TenantUsage {
    pub(crate) fn is_empty(&self) -> bool {
        let Self { requests, delayed, refunded, past, .. } = self;
        requests.is_empty() && delayed.is_empty() && refunded.is_empty() && past.is_empty()
    }
}

/// What a gateway admitted since its last report to a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The gateway that reports.
    pub gateway: DaemonId,
    /// The gateway's incarnation.
    pub incarnation: Incarnation,
    /// Rises with each report of this incarnation to this keeper. A report that arrives twice counts once.
    pub sequence: u64,
    /// The usage of each tenant.
    pub usage: Vec<TenantUsage>,
    /// What the gateway tells a keeper that is new to it. The wire format carries it beside the command.
    #[serde(skip)]
    pub handover: ProgramHandover,
}

/// A command to a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitCommand {
    /// Counts requests that were admitted.
    Report(UsageReport),
    /// Asks whether one more request may pass.
    Ask {
        /// The tenant.
        tenant: TenantId,
        /// Its limit.
        limit: VersionedLimit,
        /// The request's program.
        program: Option<ProgramKey>,
        /// The longest time that the request may wait for its turn.
        max_wait: Duration,
        /// What passed of the program at the gateway. None if the gateway does not know it: it restarted
        /// recently, counts in no window, or is of a build that does not tell. The wire format carries
        /// it beside the command.
        #[serde(skip)]
        progress: Option<ProgramProgress>,
    },
}

/// A keeper's decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may pass, and is counted.
    Pass {
        /// The time that it must wait first. Its permit is reserved.
        after: Duration,
    },
    /// The request may not pass.
    Refuse {
        /// The time after which there will be room for it.
        retry_after: Duration,
    },
}

/// A keeper's reply to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitReply {
    /// The report is counted.
    Counted {
        /// Tenants in the report whose permits are scarce: gateways must ask before each request.
        scarce: Vec<TenantId>,
        /// The keeper that counted it.
        keeper: KeeperTerm,
        /// What programs of the keeper's tenants need, for its successor. None as long as it does not know.
        /// The wire format carries it beside the reply.
        #[serde(skip)]
        means: Option<ProgramMeans>,
    },
    /// The answer to [`LimitCommand::Ask`].
    Answer {
        /// The verdict.
        verdict: Verdict,
        /// Whether permits are still scarce.
        is_scarce: bool,
        /// The keeper that answers.
        keeper: KeeperTerm,
    },
}
