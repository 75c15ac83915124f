//! Where groups are: who holds them, who leads them, and their first layout.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, GroupId, LogIndex, ReplicaId, Term};
use serde::{Deserialize, Serialize};

use crate::group::Members;

mod layout;

pub use layout::{initial_layout, initial_layout_with_homes};

/// Bits of a description's version that hold the entry's index; the term is above them.
const INDEX_BITS: u32 = 40;

/// Where one group is, as its leader of `term` said.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDescription {
    /// The group.
    pub group: GroupId,
    /// Its voters. In a first layout, the first one is to lead.
    pub members: Vec<ReplicaId>,
    /// Its leader at the time.
    pub leader: Option<ReplicaId>,
    /// The leader's term; 0 in a first layout.
    pub term: Term,
    /// The entry that set the members; 0 in a first layout.
    pub index: LogIndex,
}

impl GroupDescription {
    /// What a leader says of its group, with the last committed configuration.
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

    /// Orders descriptions of one group: by term, then by the entry that set the members.
    ///
    /// A later leader has every committed configuration of the earlier ones, so a description
    /// with a later term is newer in both parts. 24 bits hold the term and 40 the index.
    pub fn version(&self) -> u64 {
        const MOST_INDEX: u64 = (1 << INDEX_BITS) - 1;
        const MOST_TERM: u64 = (1 << (u64::BITS - INDEX_BITS)) - 1;
        (self.term.0.min(MOST_TERM) << INDEX_BITS) | self.index.0.min(MOST_INDEX)
    }
}

/// All groups known. The newest description of each wins.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    groups: BTreeMap<GroupId, GroupDescription>,
}

impl Directory {
    /// An empty one.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a description in. Returns whether it is newer than the one held.
    pub fn merge(&mut self, description: GroupDescription) -> bool {
        let known = self.groups.get(&description.group);
        if known.is_some_and(|held| held.version() >= description.version()) {
            return false;
        }
        self.groups.insert(description.group, description);
        true
    }

    /// One group.
    pub fn get(&self, group: GroupId) -> Option<&GroupDescription> {
        self.groups.get(&group)
    }

    /// All groups, by number.
    pub fn iter(&self) -> impl Iterator<Item = &GroupDescription> {
        self.groups.values()
    }

    /// Who probably leads a group.
    pub fn leader(&self, group: GroupId) -> Option<ReplicaId> {
        self.groups.get(&group)?.leader
    }

    /// Whom to ask about a group, the likely leader first, then the other voters.
    pub fn route(&self, group: GroupId) -> Vec<ReplicaId> {
        let Some(description) = self.groups.get(&group) else { return Vec::new() };
        let mut route: Vec<ReplicaId> = description.leader.into_iter().collect();
        let others = description.members.iter().filter(|member| !route.contains(member));
        let others: Vec<ReplicaId> = others.copied().collect();
        route.extend(others);
        route
    }

    /// Replicas that each daemon holds, by the descriptions known.
    pub fn replica_counts(&self) -> BTreeMap<DaemonId, u32> {
        let members = self.groups.values().flat_map(|description| &description.members);
        count(members.map(|member| member.daemon))
    }

    /// Groups that each daemon leads, by the descriptions known.
    pub fn leader_counts(&self) -> BTreeMap<DaemonId, u32> {
        let leaders = self.groups.values().filter_map(|description| description.leader);
        count(leaders.map(|leader| leader.daemon))
    }
}

fn count(daemons: impl Iterator<Item = DaemonId>) -> BTreeMap<DaemonId, u32> {
    let mut counts = BTreeMap::new();
    for daemon in daemons {
        *counts.entry(daemon).or_insert(0) += 1;
    }
    counts
}
