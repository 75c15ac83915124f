//! What gateways and keepers say to each other.

use dahlia_types::{DaemonId, Duration, Incarnation, TenantId};
use serde::{Deserialize, Serialize};

use crate::RateLimit;

/// A tenant's limit as a gateway knows it. A keeper goes by the newest that it was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedLimit {
    /// The generation of the configuration that says so.
    pub generation: u64,
    /// The limit.
    pub limit: RateLimit,
}

/// A digest of a program's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ProgramKey(pub u64);

/// Names a keeper: another one counts anew. The term in which it owns its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeeperTerm(pub u64);

/// A request that waited for its turn and has passed. The keeper that gave it the turn has counted
/// it; one that came after has not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DelayedRequest {
    /// Who counted it.
    pub counted_by: KeeperTerm,
    /// Its program, if it has one.
    pub program: Option<ProgramKey>,
}

/// Requests that passed before a keeper began, which it cannot know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRequests {
    /// How long ago.
    pub age: Duration,
    /// How many. 0, as a tenant's first entry: an earlier life of the gateway may have let more pass
    /// before, which it has forgotten.
    pub requests: u32,
}

impl PastRequests {
    /// The gateway's life began so long ago.
    pub(crate) fn forgotten_before(age: Duration) -> Self {
        Self { age, requests: 0 }
    }

    pub(crate) fn is_forgotten(&self) -> bool {
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
    /// Without asking: one entry a request, its program if it has one.
    pub requests: Vec<Option<ProgramKey>>,
    /// After a wait.
    pub delayed: Vec<DelayedRequest>,
    /// Earlier requests, asked for or reported, that no server has run or will run, in the same way.
    pub refunded: Vec<Option<ProgramKey>>,
    /// What this keeper has not counted: what others before it counted and what this gateway has
    /// forgotten, in the first report that it gets, and what passed unasked some time ago.
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
    /// The gateway.
    pub gateway: DaemonId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Rises with each report of this life to this keeper. A report that comes twice counts once.
    pub sequence: u64,
    /// By tenant.
    pub usage: Vec<TenantUsage>,
}

/// What is put to a keeper.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitCommand {
    /// Count what was admitted.
    Report(UsageReport),
    /// Whether one more request may pass.
    Ask {
        /// The tenant.
        tenant: TenantId,
        /// Its limit.
        limit: VersionedLimit,
        /// The request's program.
        program: Option<ProgramKey>,
        /// How long it may wait for its turn.
        max_wait: Duration,
    },
}

/// What a keeper says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It may pass, and is counted.
    Pass {
        /// In so long: its permit is set aside, and until then it waits.
        after: Duration,
    },
    /// It may not.
    Refuse {
        /// When there will be room for it.
        retry_after: Duration,
    },
}

/// A keeper's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitReply {
    /// The report is counted.
    Counted {
        /// Tenants of the report of which permits are scarce: ask before each request.
        scarce: Vec<TenantId>,
        /// Who counted it.
        keeper: KeeperTerm,
    },
    /// The answer to a question.
    Answer {
        /// The verdict.
        verdict: Verdict,
        /// Whether permits are still scarce.
        is_scarce: bool,
        /// Who answers.
        keeper: KeeperTerm,
    },
}
