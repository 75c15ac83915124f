//! Records of daemons: identity, state, health and version.

use std::net::SocketAddr;

use dahlia_types::{DaemonId, Incarnation, Region, ReplicaId, Timestamp, Zone};
use serde::{Deserialize, Serialize};

/// The state that a daemon reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// Starting: accepts no work yet.
    Joining,
    /// Accepts work.
    Live,
    /// Planned stop: accepts no new work.
    Leaving,
}

/// The health that other daemons attribute to a daemon. At the same version, a later variant
/// overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// It answers probes.
    Alive,
    /// It did not answer a probe, and may refute that until the suspicion timeout.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
}

/// A daemon's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The daemon's identifier.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The address on which it listens for other daemons.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// The state that it reports.
    pub state: MemberState,
    /// Whether replicas of groups may be placed on it.
    pub holds_groups: bool,
}

impl MemberInfo {
    /// The identifier of the replicas of this incarnation.
    pub fn replica(&self) -> ReplicaId {
        ReplicaId { daemon: self.daemon, incarnation: self.incarnation }
    }
}

/// A versioned record of a daemon, as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The daemon's own description.
    pub info: MemberInfo,
    /// Increases within an incarnation whenever the daemon changes its state, refutes a suspicion
    /// or is started again. Only the daemon itself increases it.
    pub version: u32,
    /// The health that the sender attributes to it.
    pub health: Health,
}

impl MemberRecord {
    /// Whether this record overrides another record of the same daemon.
    pub fn overrides(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> (Incarnation, u32, Health) {
        (self.info.incarnation, self.version, self.health)
    }

    /// An upper bound of the encoded size in bytes (bincode, standard configuration).
    pub(super) fn wire_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 50;
        FIXED_BYTES + self.info.zone.as_str().len() + self.info.region.as_str().len()
    }
}

/// An entry of the local membership table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The newest known record.
    pub record: MemberRecord,
    /// When the daemon got its present health, by the local clock.
    pub health_since: Timestamp,
}

impl Member {
    /// Whether it is alive and accepts work.
    pub fn takes_work(&self) -> bool {
        self.record.health == Health::Alive && self.record.info.state == MemberState::Live
    }
}
