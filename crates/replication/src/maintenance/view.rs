//! The view of all daemons on which maintenance decides.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Incarnation, Region, ReplicaId, Zone};

use crate::directory::Directory;
use crate::membership::{Health, Member, MemberState};

/// The liveness of a daemon, as maintenance uses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It answers and accepts work.
    Live,
    /// It is still starting, or membership suspects it.
    NotReady,
    /// It reports that it is leaving, or the platform's list of machines does.
    Leaving,
    /// Membership declares it dead.
    Dead,
}

/// The view of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonView {
    /// Its present incarnation.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Its liveness.
    pub liveness: Liveness,
    /// Whether replicas may be placed on it.
    pub holds_groups: bool,
    /// The number of replicas that it holds.
    pub replicas: u32,
    /// The number of groups that it leads.
    pub leaderships: u32,
}

impl DaemonView {
    /// Whether a replica may be placed on it now.
    pub(super) fn is_available(&self) -> bool {
        self.liveness == Liveness::Live && self.holds_groups
    }
}

/// The view of all known daemons.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClusterView {
    /// The daemons by identifier.
    pub daemons: BTreeMap<DaemonId, DaemonView>,
}

impl ClusterView {
    /// Creates the view from membership and the directory.
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

    /// Marks a daemon as leaving, as the platform's list of machines reports. The list never makes a
    /// daemon dead.
    pub fn mark_leaving(&mut self, daemon: DaemonId) {
        if let Some(view) = self.daemons.get_mut(&daemon)
            && view.liveness != Liveness::Dead
        {
            view.liveness = Liveness::Leaving;
        }
    }

    /// The number of replicas that each available daemon would have if they were evenly distributed,
    /// rounded down. At least 1, so that a daemon without replicas always has room.
    pub(super) fn even_share(&self) -> u32 {
        let replicas: u32 = self.daemons.values().map(|daemon| daemon.replicas).sum();
        let available = self.daemons.values().filter(|daemon| daemon.is_available()).count();
        (replicas / (available as u32).max(1)).max(1)
    }

    /// The number of daemons in a region that hold groups, whatever their liveness.
    pub(super) fn holder_count_in(&self, region: &Region) -> usize {
        let daemons = self.daemons.values().filter(|daemon| daemon.holds_groups);
        daemons.filter(|daemon| daemon.region == *region).count()
    }

    /// The number of daemons in a region on which a replica may be placed now.
    pub(super) fn available_count_in(&self, region: &Region) -> usize {
        let daemons = self.daemons.values().filter(|daemon| daemon.is_available());
        daemons.filter(|daemon| daemon.region == *region).count()
    }

    /// The identifier of replicas in the daemon's present incarnation.
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
