//! What is known of a daemon.

use std::net::SocketAddr;

use dahlia_types::{DaemonId, Incarnation, Region, ReplicaId, Timestamp, Zone};
use serde::{Deserialize, Serialize};

/// What a daemon says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Starting: takes no work yet.
    Joining,
    /// Takes work.
    Live,
    /// Stopping as planned: takes no new work.
    Leaving,
}

/// What others think of a daemon. Later ones override earlier ones at the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// It answers.
    Alive,
    /// It did not answer a probe, and has some time to object.
    Suspect,
    /// It did not object in time.
    Dead,
}

/// A daemon's own description.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its number.
    pub daemon: DaemonId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Where it listens for other daemons.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// What it says of itself.
    pub state: MemberState,
    /// Whether replicas of groups may be placed on it.
    pub holds_groups: bool,
}

impl MemberInfo {
    /// The identifier of this life's replicas.
    pub fn replica(&self) -> ReplicaId {
        ReplicaId { daemon: self.daemon, incarnation: self.incarnation }
    }
}

/// A statement on a daemon as it spreads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon's own description.
    pub info: MemberInfo,
    /// Rises within an incarnation whenever the daemon changes its state, objects to a suspicion
    /// or is started again. Only the daemon itself raises it.
    pub version: u32,
    /// What the sender thinks of it.
    pub health: Health,
}

impl MemberRecord {
    /// Whether this statement overrides the other one on the same daemon.
    pub fn overrides(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (Incarnation, u32, Health) {
        (self.info.incarnation, self.version, self.health)
    }

    /// An upper bound of its encoded bytes (bincode, standard configuration).
    pub(super) fn wire_bytes(&self) -> usize {
        const FIXED: usize = 50;
        FIXED + self.info.zone.as_str().len() + self.info.region.as_str().len()
    }
}

/// A daemon as the local view holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its latest statement.
    pub record: MemberRecord,
    /// Since when, by the local clock, it has this health.
    pub health_since: Timestamp,
}

impl Member {
    /// Whether it is alive and takes work.
    pub fn takes_work(&self) -> bool {
        self.record.health == Health::Alive && self.record.info.state == MemberState::Live
    }
}
