//! What a replica asks of its driver, and the answers to its callers.

use bytes::Bytes;
use dahlia_types::{LogIndex, ReplicaId, Term};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{GroupMessage, Members};

/// What a replica is in its group at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Not a voter of the configuration it knows: joining, being caught up, or removed.
    Learner,
    /// A voter that follows a leader or waits for one.
    Follower,
    /// A voter that asks whether it could win an election.
    PreCandidate,
    /// A voter that stands for election.
    Candidate,
    /// The leader of its term: the owner of the group's programs.
    Leader,
}

/// A committed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its place in the log. Places of entries without a command are skipped.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// The command as it was proposed.
    pub payload: Bytes,
}

/// The state after applying every entry up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it includes.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// The members after that entry.
    pub members: Members,
    /// The state machine's own encoding.
    pub data: Bytes,
}

/// What the driver must do, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send to the daemon `message.to`. May be lost, doubled and reordered.
    Send(GroupMessage),
    /// Apply to the state machine. Each index comes once, rising.
    Committed(Entry),
    /// Replace the state machine by this one. Proposals at or below its index that were not
    /// seen committed have an unknown outcome.
    Restore(Snapshot),
    /// The role, the term or the known leader changed.
    RoleChanged {
        /// The role now.
        role: Role,
        /// The term now.
        term: Term,
        /// The leader of the term, when known.
        leader: Option<ReplicaId>,
    },
    /// A committed configuration of the group.
    MembersChanged {
        /// The entry that set it.
        index: LogIndex,
        /// The members.
        members: Members,
    },
    /// A peer needs older entries than the log keeps. Answer with
    /// [`Replica::provide_snapshot`](super::Replica::provide_snapshot) when convenient.
    SnapshotWanted,
    /// This replica was removed by a committed configuration. The driver drops the state
    /// machine and calls [`Replica::retire`](super::Replica::retire); it keeps the replica
    /// itself, because its vote must be remembered for the life of its identifier.
    Removed {
        /// The entry that removed it, or a later one.
        index: LogIndex,
    },
}

/// A proposal in the leader's log, not committed yet.
///
/// It is committed when [`Output::Committed`] shows its index with its term, and lost when it
/// shows its index, or a later one, with a later term and without having shown this one. A
/// leader that steps down does not know; its proposals are unknown until one of the two.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proposal {
    /// Its place in the log.
    pub index: LogIndex,
    /// The leader's term.
    pub term: Term,
}

/// Why a proposal was not taken. It is in no log and will never be committed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This replica does not lead, or hands its leadership over.
    #[snafu(display("not the leader in term {term}"))]
    NotLeader {
        /// The leader, or the one that takes over, when known.
        leader: Option<ReplicaId>,
        /// The term.
        term: Term,
    },
    /// Too many bytes wait to be committed; followers are slow or away.
    #[snafu(display("{uncommitted} bytes wait to be committed, the limit is {limit}"))]
    Overloaded {
        /// Bytes waiting.
        uncommitted: usize,
        /// The limit.
        limit: usize,
    },
    /// The payload is larger than the settings allow.
    #[snafu(display("the payload has {size} bytes, the limit is {limit}"))]
    TooLarge {
        /// Its size in bytes.
        size: usize,
        /// The limit.
        limit: usize,
    },
}
