//! The status of a group as its leader sees it, for maintenance, metrics and operators.

use std::collections::BTreeMap;

use dahlia_types::{GroupId, LogIndex, ReplicaId, Term, Timestamp};

use super::replica::Replica;
use super::{Members, Role};

/// The status of one peer of the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Last entry that is known to be equal in both logs.
    pub matched: LogIndex,
    /// The latest sending time, by the leader's clock, of a message that the peer answered.
    pub last_contact: Timestamp,
    /// Whether it answered a message that was sent within the last election timeout.
    pub in_contact: bool,
    /// Whether it lags so little that it could be promoted.
    pub caught_up: bool,
}

/// The status of a group as one replica sees it. Only a leader knows peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// The replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Whether it leads and has committed an entry of its own term.
    pub ready: bool,
    /// The members, from the last configuration appended.
    pub members: Members,
    /// Whether that configuration is not committed yet.
    pub change_in_progress: bool,
    /// Whether a leadership transfer is in progress.
    pub transferring: bool,
    /// The other members.
    pub peers: BTreeMap<ReplicaId, PeerStatus>,
}

impl Replica {
    /// Returns the present status of the group.
    pub fn status(&self) -> GroupStatus {
        GroupStatus {
            group: self.group,
            id: self.id,
            role: self.role,
            term: self.term,
            ready: self.is_leader_ready(),
            members: self.members().clone(),
            change_in_progress: self.uncommitted_change().is_some(),
            transferring: self.leader_state.transfer.is_some(),
            peers: self.peer_statuses(),
        }
    }

    fn peer_statuses(&self) -> BTreeMap<ReplicaId, PeerStatus> {
        let last = self.log.last_index().0;
        let mut statuses = BTreeMap::new();
        for (replica, peer) in &self.leader_state.peers {
            let in_contact = self.in_contact(*replica);
            let lag = last.saturating_sub(peer.matched.0);
            let status = PeerStatus {
                matched: peer.matched,
                last_contact: peer.last_contact,
                in_contact,
                caught_up: in_contact && lag <= self.settings.promotion_lag_entries,
            };
            statuses.insert(*replica, status);
        }
        statuses
    }
}
