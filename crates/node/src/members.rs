//! Which daemons this node knows, where they listen, and whether they live.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dahlia_types::{DaemonId, Duration, Region, ReplicaId, Timestamp, Zone};
use serde::{Deserialize, Serialize};

/// How often a daemon announces itself to each daemon that it knows.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// A daemon that was not heard of for so long does not count as live.
const LIVENESS: Duration = Duration::from_secs(3);

/// A daemon's word about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The daemon in its present life.
    pub replica: ReplicaId,
    /// Where it listens for other daemons.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// What is known of one daemon.
#[derive(Debug, Clone)]
pub(crate) struct KnownDaemon {
    pub(crate) announcement: Announcement,
    pub(crate) heard: Timestamp,
}

/// The daemons that this node knows, itself included.
pub(crate) struct Members {
    own: Announcement,
    seeds: Vec<SocketAddr>,
    known: BTreeMap<DaemonId, KnownDaemon>,
    next_announcement: Timestamp,
}

impl Members {
    /// Knows only itself and addresses to start from.
    pub(crate) fn new(own: Announcement, seeds: Vec<SocketAddr>) -> Self {
        Self { own, seeds, known: BTreeMap::new(), next_announcement: Timestamp::ZERO }
    }

    /// Takes in announcements that a peer passed on.
    pub(crate) fn learn(
        &mut self,
        from: ReplicaId,
        announcements: Vec<Announcement>,
        now: Timestamp,
    ) {
        for announcement in announcements {
            let daemon = announcement.replica.daemon;
            if daemon == self.own.replica.daemon {
                continue;
            }
            // Only a daemon's own word shows that it lives; others just introduce it.
            let direct = announcement.replica == from;
            let newer = self.known.get(&daemon).is_none_or(|known| {
                let held = known.announcement.replica.incarnation;
                held < announcement.replica.incarnation
                    || (direct && held == announcement.replica.incarnation)
            });
            if newer {
                self.known.insert(daemon, KnownDaemon { announcement, heard: now });
            }
        }
    }

    /// Where to announce and what, if it is time.
    pub(crate) fn announcements(
        &mut self,
        now: Timestamp,
    ) -> Option<(Vec<SocketAddr>, Vec<Announcement>)> {
        if now < self.next_announcement {
            return None;
        }
        self.next_announcement = now + ANNOUNCE_INTERVAL;
        let mut addresses: Vec<SocketAddr> =
            self.known.values().map(|known| known.announcement.address).collect();
        for seed in &self.seeds {
            if *seed != self.own.address && !addresses.contains(seed) {
                addresses.push(*seed);
            }
        }
        let live = self.live(now).into_iter().cloned().collect();
        Some((addresses, live))
    }

    /// Marks this daemon as about to stop.
    pub(crate) fn leave(&mut self) {
        self.own.leaving = true;
    }

    /// Where a daemon listens.
    pub(crate) fn address(&self, daemon: DaemonId) -> Option<SocketAddr> {
        if daemon == self.own.replica.daemon {
            return Some(self.own.address);
        }
        self.known.get(&daemon).map(|known| known.announcement.address)
    }

    /// Daemons heard of lately, this one first.
    pub(crate) fn live(&self, now: Timestamp) -> Vec<&Announcement> {
        let recent = self.known.values().filter(|known| now.since(known.heard) < LIVENESS);
        std::iter::once(&self.own).chain(recent.map(|known| &known.announcement)).collect()
    }
}
