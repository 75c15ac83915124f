//! Messages between replicas of a group.

use bytes::Bytes;
use dahlia_types::{GroupId, LogIndex, ReplicaId, Term, Timestamp};
use serde::{Deserialize, Serialize};

use super::{LogEntry, Members};

/// A message between two replicas. A replica with another identifier than `to` drops it.
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
    /// What it says.
    pub body: GroupBody,
}

/// Counters above this are not reached in any real group; such a message is damaged.
const MOST_COUNTER: u64 = 1 << 62;

impl GroupMessage {
    /// Whether a well-behaved replica could have sent it: counters in range, entries in order.
    pub(super) fn is_plausible(&self) -> bool {
        let in_range = |index: LogIndex| index.0 < MOST_COUNTER;
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
        self.term.0 < MOST_COUNTER && is_body_plausible
    }
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupBody {
    /// Would you vote for me?
    PreVote(VoteRequest),
    /// The answer to a pre-vote.
    PreVoteResponse {
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me.
    Vote(VoteRequest),
    /// The answer to a vote.
    VoteResponse {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Entries of the leader's log.
    Append(Append),
    /// The answer to an append.
    AppendResponse(AppendResponse),
    /// The leader is there.
    Heartbeat(Heartbeat),
    /// The answer to a heartbeat.
    HeartbeatResponse(HeartbeatResponse),
    /// A part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// The answer to a part of a snapshot.
    SnapshotResponse(SnapshotResponse),
    /// Stand for election at once: the leader hands over to you.
    TimeoutNow,
    /// The receiver is no member since this committed entry.
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
    /// The leader asked the candidate to stand, so its contact does not speak against it.
    pub transfer: bool,
}

/// Entries that follow `previous_index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The leader's configuration when the receiver's present stay began; echoed.
    pub session: LogIndex,
    /// The leader's time; echoed.
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
    /// Echo.
    pub session: LogIndex,
    /// Echo.
    pub sent: Timestamp,
    /// What came of it.
    pub result: AppendResult,
}

/// What came of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The receiver's log equals the leader's up to this entry.
    Matched {
        /// The entry.
        index: LogIndex,
    },
    /// The receiver does not have the entry before.
    Rejected {
        /// The entry before that was asked for.
        previous_index: LogIndex,
        /// The last entry before which the logs may agree.
        hint: LogIndex,
    },
}

/// A sign of life of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader's configuration when the receiver's present stay began; echoed.
    pub session: LogIndex,
    /// The leader's time; echoed.
    pub sent: Timestamp,
    /// The last committed entry that the receiver is known to have.
    pub committed: LogIndex,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Echo.
    pub session: LogIndex,
    /// Echo.
    pub sent: Timestamp,
}

/// A part of a snapshot, in order; the next part is sent when this one is answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's configuration when the receiver's present stay began; echoed.
    pub session: LogIndex,
    /// The leader's time; echoed.
    pub sent: Timestamp,
    /// The last entry that the snapshot includes.
    pub index: LogIndex,
    /// That entry's term.
    pub last_term: Term,
    /// The members after that entry.
    pub members: Members,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Where `data` stands in it.
    pub offset: u64,
    /// The part.
    pub data: Bytes,
}

/// The answer to a part of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotResponse {
    /// Echo.
    pub session: LogIndex,
    /// Echo.
    pub sent: Timestamp,
    /// Which snapshot.
    pub index: LogIndex,
    /// Bytes received in order; the next part starts here.
    pub received: u64,
}
