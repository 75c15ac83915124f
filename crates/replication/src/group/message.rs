//! Messages between replicas of a group.

use bytes::Bytes;
use dahlia_types::{GroupId, LogIndex, ReplicaId, Term, Timestamp};
use serde::{Deserialize, Serialize};

use super::{LogEntry, Members};

/// A message between two replicas. A replica whose identifier is not `to` drops it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMessage {
    /// The group.
    pub group: GroupId,
    /// The sender.
    pub from: ReplicaId,
    /// The receiver, in exactly this incarnation.
    pub to: ReplicaId,
    /// The sender's term; in a pre-vote and its grant, the term the candidate would take.
    pub term: Term,
    /// The message itself.
    pub body: GroupBody,
}

/// A message with a counter at or above this is damaged, because no real group reaches it.
const MAX_COUNTER: u64 = 1 << 62;

impl GroupMessage {
    /// Whether a correct replica could have sent it: its counters are in range and its entries in order.
    pub(super) fn is_plausible(&self) -> bool {
        let in_range = |index: LogIndex| index.0 < MAX_COUNTER;
        let is_body_plausible = match &self.body {
            GroupBody::Append(append) => {
                let mut expected = append.previous_index.0;
                in_range(append.previous_index)
                    && append.entries.iter().all(|entry| {
                        expected += 1;
                        entry.index.0 == expected && entry.term <= self.term
                    })
            }
            GroupBody::SnapshotChunk(chunk) => in_range(chunk.index),
            GroupBody::Heartbeat(heartbeat) => in_range(heartbeat.committed),
            GroupBody::AppendResponse(response) => match response.result {
                AppendResult::Matched { index } => in_range(index),
                AppendResult::Rejected { previous_index, hint } => {
                    in_range(previous_index) && in_range(hint)
                }
            },
            _ => true,
        };
        self.term.0 < MAX_COUNTER && is_body_plausible
    }
}

/// The body of a message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupBody {
    /// Asks whether the receiver would vote for the sender.
    PreVote(VoteRequest),
    /// The answer to a pre-vote.
    PreVoteResponse {
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests the receiver's vote.
    Vote(VoteRequest),
    /// The answer to a vote request.
    VoteResponse {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries of the leader's log.
    Append(Append),
    /// The answer to an append.
    AppendResponse(AppendResponse),
    /// The leader's heartbeat.
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat.
    HeartbeatResponse(HeartbeatResponse),
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The answer to a snapshot chunk.
    SnapshotResponse(SnapshotResponse),
    /// Asks the receiver to start an election at once: the leader transfers its leadership.
    TimeoutNow,
    /// Informs the receiver that a committed entry removed it from the group.
    Removed {
        /// The entry, or a later one.
        index: LogIndex,
    },
}

/// A candidate's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The candidate's last entry.
    pub last_index: LogIndex,
    /// That entry's term.
    pub last_term: Term,
    /// Whether the leader asked the candidate to start the election. In that case, voters grant the
    /// vote although they are in contact with the leader.
    pub transfer: bool,
}

/// Entries that follow `previous_index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The leader's configuration index when the receiver last became a member; echoed.
    pub session: LogIndex,
    /// The leader's time when it sent this; echoed.
    pub sent: Timestamp,
    /// The entry before the first of `entries`.
    pub previous_index: LogIndex,
    /// That entry's term.
    pub previous_term: Term,
    /// The leader's last committed entry.
    pub committed: LogIndex,
    /// The entries, bounded in number and bytes.
    pub entries: Vec<LogEntry>,
}

/// The answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendResponse {
    /// The session of the request.
    pub session: LogIndex,
    /// The sending time of the request.
    pub sent: Timestamp,
    /// The result.
    pub result: AppendResult,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The receiver's log equals the leader's up to this entry.
    Matched {
        /// The entry.
        index: LogIndex,
    },
    /// The receiver does not have the entry at `previous_index`.
    Rejected {
        /// The `previous_index` of the append.
        previous_index: LogIndex,
        /// The last entry up to which the logs may agree.
        hint: LogIndex,
    },
}

/// The leader's heartbeat to one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader's configuration index when the receiver last became a member; echoed.
    pub session: LogIndex,
    /// The leader's time when it sent this; echoed.
    pub sent: Timestamp,
    /// The last committed entry that the receiver is known to have.
    pub committed: LogIndex,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The session of the request.
    pub session: LogIndex,
    /// The sending time of the request.
    pub sent: Timestamp,
}

/// A chunk of a snapshot. Chunks are sent in order, each one after the answer to the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's configuration index when the receiver last became a member; echoed.
    pub session: LogIndex,
    /// The leader's time when it sent this; echoed.
    pub sent: Timestamp,
    /// The last entry that the snapshot includes.
    pub index: LogIndex,
    /// That entry's term.
    pub last_term: Term,
    /// The members after that entry.
    pub members: Members,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// The offset of `data` in the snapshot.
    pub offset: u64,
    /// The bytes of this chunk.
    pub data: Bytes,
}

/// The answer to a snapshot chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// The session of the request.
    pub session: LogIndex,
    /// The sending time of the request.
    pub sent: Timestamp,
    /// The last entry that the snapshot includes.
    pub index: LogIndex,
    /// Bytes received in order; the next chunk starts here.
    pub received: u64,
}
