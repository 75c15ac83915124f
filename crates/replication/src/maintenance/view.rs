//! The daemons as a leader's daemon sees them.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Incarnation, Region, ReplicaId, Zone};

use crate::directory::Directory;
use crate::membership::{Health, Member, MemberState};

/// What is thought of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It answers and takes work.
    Live,
    /// It answers and takes no new work, or does not answer of late.
    NotReady,
    /// It, or the platform's list of machines, says that it leaves.
    Leaving,
    /// Membership holds it for dead.
    Dead,
}

/// A daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonView {
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// What is thought of it.
    pub liveness: Liveness,
    /// Whether replicas may be placed on it.
    pub holds_groups: bool,
    /// Replicas it holds.
    pub replicas: u32,
    /// Groups it leads.
    pub leaderships: u32,
}

impl DaemonView {
    /// Whether a replica may be placed on it now.
    pub(super) fn is_free(&self) -> bool {
        self.liveness == Liveness::Live && self.holds_groups
    }
}

/// All daemons known.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClusterView {
    /// By number.
    pub daemons: BTreeMap<DaemonId, DaemonView>,
}

impl ClusterView {
    /// From membership and the directory.
    pub fn new(members: &[Member], directory: &Directory) -> Self {
        let replicas = directory.replica_counts();
        let leaderships = directory.leader_counts();
        let mut daemons = BTreeMap::new();
        for member in members {
            let info = &member.record.info;
            let view = DaemonView {
                incarnation: info.incarnation,
                zone: info.zone.clone(),
                region: info.region.clone(),
                liveness: liveness(member),
                holds_groups: info.holds_groups,
                replicas: replicas.get(&info.daemon).copied().unwrap_or(0),
                leaderships: leaderships.get(&info.daemon).copied().unwrap_or(0),
            };
            daemons.insert(info.daemon, view);
        }
        Self { daemons }
    }

    /// Notes that the platform's list calls a daemon leaving. It never makes one dead.
    pub fn mark_leaving(&mut self, daemon: DaemonId) {
        if let Some(view) = self.daemons.get_mut(&daemon)
            && view.liveness != Liveness::Dead
        {
            view.liveness = Liveness::Leaving;
        }
    }

    /// Replicas that each daemon which may take one would have if all had equally many, rounded
    /// down; 1 at least, so that one without replicas always has room.
    pub(super) fn even_share(&self) -> u32 {
        let replicas: u32 = self.daemons.values().map(|daemon| daemon.replicas).sum();
        let free = self.daemons.values().filter(|daemon| daemon.is_free()).count();
        (replicas / (free as u32).max(1)).max(1)
    }

    /// Daemons of a region that hold groups, whatever is thought of them now.
    pub(super) fn holders_in(&self, region: &Region) -> usize {
        let daemons = self.daemons.values().filter(|daemon| daemon.holds_groups);
        daemons.filter(|daemon| daemon.region == *region).count()
    }

    /// Daemons of a region on which a replica may be placed now.
    pub(super) fn free_in(&self, region: &Region) -> usize {
        let daemons = self.daemons.values().filter(|daemon| daemon.is_free());
        daemons.filter(|daemon| daemon.region == *region).count()
    }

    /// The daemon's present replica identifier.
    pub fn replica(&self, daemon: DaemonId) -> Option<ReplicaId> {
        let incarnation = self.daemons.get(&daemon)?.incarnation;
        Some(ReplicaId { daemon, incarnation })
    }
}

fn liveness(member: &Member) -> Liveness {
    match (member.record.health, member.record.info.state) {
        (Health::Dead, _) => Liveness::Dead,
        (_, MemberState::Leaving) => Liveness::Leaving,
        (Health::Alive, MemberState::Live) => Liveness::Live,
        (Health::Suspect, _) | (Health::Alive, MemberState::Joining) => Liveness::NotReady,
    }
}
