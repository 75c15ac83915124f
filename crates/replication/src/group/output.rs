//! Outputs of a replica to its driver, and the results of proposals.

use bytes::Bytes;
use dahlia_types::{LogIndex, ReplicaId, Term};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{GroupMessage, Members};

/// The present role of a replica in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// Not a voter in the configuration that it knows: joining, catching up, or removed.
    Learner,
    /// A voter that follows a leader or waits for one.
    Follower,
    /// A voter that asks by pre-vote whether it could win an election.
    PreCandidate,
    /// A voter that requests votes in an election.
    Candidate,
    /// The leader of its term, which owns the group's programs.
    Leader,
}

/// A committed command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its index in the log. Indices of entries without a command are skipped.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: Term,
    /// The command as it was proposed.
    pub payload: Bytes,
}

/// The state of the state machine after applying every entry up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it includes.
    pub index: LogIndex,
    /// That entry's term.
    pub term: Term,
    /// The members after that entry.
    pub members: Members,
    /// The state machine's encoded state.
    pub data: Bytes,
}

/// An action for the driver. Actions must be carried out in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send to the daemon `message.to`. Messages may be lost, duplicated and reordered.
    Send(GroupMessage),
    /// Apply to the state machine. Indices are strictly increasing.
    Committed(Entry),
    /// Replace the state machine by this snapshot. Proposals at or below its index that were not
    /// reported as committed have an unknown outcome.
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
    /// A configuration of the group was committed.
    MembersChanged {
        /// The entry that set it.
        index: LogIndex,
        /// The members.
        members: Members,
    },
    /// A peer needs older entries than the log retains. The driver should call
    /// [`Replica::provide_snapshot`](super::Replica::provide_snapshot) when convenient.
    SnapshotWanted,
    /// A committed configuration removed this replica. The driver drops the state machine and calls
    /// [`Replica::retire`](super::Replica::retire). It keeps the replica itself, because its vote must
    /// be remembered for the lifetime of its identifier.
    Removed {
        /// The entry that removed it, or a later one.
        index: LogIndex,
    },
}

/// A proposal in the leader's log, not committed yet.
///
/// It is committed when [`Output::Committed`] reports its index with its term. It is lost when
/// [`Output::Committed`] reports its index, or a later one, with a later term and did not report this
/// proposal before. After its leader steps down, its outcome is unknown until one of the two happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proposal {
    /// Its index in the log.
    pub index: LogIndex,
    /// The leader's term.
    pub term: Term,
}

/// Why a proposal was rejected. It was not appended and will never be committed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This replica does not lead, or is transferring its leadership.
    #[snafu(display("not the leader in term {term}"))]
    NotLeader {
        /// The leader, or the target of the transfer, when known.
        leader: Option<ReplicaId>,
        /// The term.
        term: Term,
    },
    /// Too many bytes are uncommitted, because followers are slow or unreachable.
    #[snafu(display("{uncommitted} bytes wait to be committed, the limit is {limit}"))]
    Overloaded {
        /// Uncommitted payload bytes.
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
