//! The location of groups: their replicas, their leaders, and their initial layout.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, GroupId, LogIndex, ReplicaId, Term};
use serde::{Deserialize, Serialize};

use crate::group::Members;

mod layout;

pub use layout::{initial_layout, initial_layout_with_homes};

/// Low bits of a description's version, which hold the index of the entry. The term is in the bits
/// above.
const INDEX_BITS: u32 = 40;

/// The location of one group, as its leader of `term` reported it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDescription {
    /// The group.
    pub group: GroupId,
    /// Its voters. In an initial layout, the first one should lead.
    pub members: Vec<ReplicaId>,
    /// Its leader in that term.
    pub leader: Option<ReplicaId>,
    /// The leader's term; 0 in an initial layout.
    pub term: Term,
    /// The entry that set the members; 0 in an initial layout.
    pub index: LogIndex,
}

impl GroupDescription {
    /// Creates a leader's description of its group, with the last committed configuration.
    pub fn of_leader(
        group: GroupId,
        members: &Members,
        index: LogIndex,
        leader: ReplicaId,
        term: Term,
    ) -> Self {
        let members = members.voters.iter().copied().collect();
        Self { group, members, leader: Some(leader), term, index }
    }

    /// A version that orders descriptions of one group by term, then by the entry that set the members.
    ///
    /// A later leader has every committed configuration of earlier leaders, so a description with a
    /// later term has newer members and a newer leader. 24 bits hold the term and 40 the index.
    pub fn version(&self) -> u64 {
        const MAX_INDEX: u64 = (1 << INDEX_BITS) - 1;
        const MAX_TERM: u64 = (1 << (u64::BITS - INDEX_BITS)) - 1;
        (self.term.0.min(MAX_TERM) << INDEX_BITS) | self.index.0.min(MAX_INDEX)
    }
}

/// The newest known description of each group.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    groups: BTreeMap<GroupId, GroupDescription>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a description if it is newer than the stored one. Returns whether it is.
    pub fn merge(&mut self, description: GroupDescription) -> bool {
        let known = self.groups.get(&description.group);
        if known.is_some_and(|known| known.version() >= description.version()) {
            return false;
        }
        self.groups.insert(description.group, description);
        true
    }

    /// The description of one group.
    pub fn get(&self, group: GroupId) -> Option<&GroupDescription> {
        self.groups.get(&group)
    }

    /// The descriptions of all groups, ordered by group.
    pub fn iter(&self) -> impl Iterator<Item = &GroupDescription> {
        self.groups.values()
    }

    /// The probable leader of a group.
    pub fn leader(&self, group: GroupId) -> Option<ReplicaId> {
        self.groups.get(&group)?.leader
    }

    /// The replicas to send a request about a group to: the probable leader first, then the other voters.
    pub fn route(&self, group: GroupId) -> Vec<ReplicaId> {
        let Some(description) = self.groups.get(&group) else { return Vec::new() };
        let mut route: Vec<ReplicaId> = description.leader.into_iter().collect();
        let others = description.members.iter().filter(|member| !route.contains(member));
        let others: Vec<ReplicaId> = others.copied().collect();
        route.extend(others);
        route
    }

    /// The number of replicas on each daemon, by the known descriptions.
    pub fn replica_counts(&self) -> BTreeMap<DaemonId, u32> {
        let members = self.groups.values().flat_map(|description| &description.members);
        count_by_daemon(members.map(|member| member.daemon))
    }

    /// The number of groups that each daemon leads, by the known descriptions.
    pub fn leader_counts(&self) -> BTreeMap<DaemonId, u32> {
        let leaders = self.groups.values().filter_map(|description| description.leader);
        count_by_daemon(leaders.map(|leader| leader.daemon))
    }
}

fn count_by_daemon(daemons: impl Iterator<Item = DaemonId>) -> BTreeMap<DaemonId, u32> {
    let mut counts = BTreeMap::new();
    for daemon in daemons {
        *counts.entry(daemon).or_insert(0) += 1;
    }
    counts
}
