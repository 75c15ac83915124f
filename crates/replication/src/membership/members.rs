//! The table of all known daemons except the own one.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Duration, Region, Timestamp, Zone};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::buckets::Buckets;
use super::{Health, Member, MemberRecord};

/// With fewer members than this in the own region, members of all regions are probed, because
/// too few would detect failures there.
const MIN_PROBED_IN_REGION: usize = 3;

/// All known daemons except the own one.
#[derive(Debug, Clone, Default)]
pub(super) struct Members {
    table: BTreeMap<DaemonId, Member>,
    /// Hashes of the records.
    hashes: Buckets,
    /// Members still to be probed in this round.
    probe_order: Vec<DaemonId>,
}

impl Members {
    pub fn get(&self, daemon: DaemonId) -> Option<&Member> {
        self.table.get(&daemon)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.values()
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }

    pub fn hashes(&self) -> &Buckets {
        &self.hashes
    }

    /// Members that are not dead.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.table.values().filter(|member| member.record.health != Health::Dead)
    }

    pub fn present_count(&self) -> usize {
        self.present().count()
    }

    /// Stores a record if it overrides the stored one. Returns whether it does.
    pub fn merge(&mut self, record: &MemberRecord, now: Timestamp) -> bool {
        let known = self.table.get(&record.info.daemon);
        let is_newer = match known {
            Some(member) => record.overrides(&member.record),
            // Dead members are removed after a while and must not be added again.
            None => record.health != Health::Dead,
        };
        if !is_newer {
            return false;
        }
        let same_health = known.filter(|member| {
            member.record.health == record.health
                && member.record.info.incarnation == record.info.incarnation
        });
        let health_since = same_health.map_or(now, |member| member.health_since);
        if let Some(member) = known {
            self.hashes.toggle_member(&member.record);
        }
        self.hashes.toggle_member(record);
        self.table.insert(record.info.daemon, Member { record: record.clone(), health_since });
        true
    }

    /// Removes members that have been dead for longer than `after`.
    pub fn forget_dead(&mut self, after: Duration, now: Timestamp) {
        self.table.retain(|_, member| {
            member.record.health != Health::Dead || now.since(member.health_since) < after
        });
    }

    /// Suspects whose suspicion timeout has expired.
    pub fn expired_suspects(&self, timeout: Duration, now: Timestamp) -> Vec<MemberRecord> {
        let overdue = self.table.values().filter(|member| {
            member.record.health == Health::Suspect && now.since(member.health_since) >= timeout
        });
        overdue.map(|member| member.record.clone()).collect()
    }

    /// Gives suspects `pause` more time, because the own process did not run for that long.
    pub fn extend_suspicions(&mut self, pause: Duration) {
        for member in self.table.values_mut() {
            if member.record.health == Health::Suspect {
                member.health_since = member.health_since + pause;
            }
        }
    }

    /// The next member to probe. Each round probes every member once, in random order (SWIM,
    /// section 4.3).
    pub fn next_probe_target(
        &mut self,
        region: &Region,
        random: &mut ChaCha8Rng,
    ) -> Option<DaemonId> {
        while let Some(daemon) = self.probe_order.pop() {
            if self.is_present(daemon) {
                return Some(daemon);
            }
        }
        let near = self.present().filter(|member| member.record.info.region == *region);
        let near: Vec<DaemonId> = near.map(|member| member.record.info.daemon).collect();
        self.probe_order = if near.len() >= MIN_PROBED_IN_REGION {
            near
        } else {
            self.present().map(|member| member.record.info.daemon).collect()
        };
        self.probe_order.shuffle(random);
        self.probe_order.pop()
    }

    fn is_present(&self, daemon: DaemonId) -> bool {
        self.table.get(&daemon).is_some_and(|member| member.record.health != Health::Dead)
    }

    /// Up to `count` different present members, mostly of the own region.
    pub fn choose(
        &self,
        count: usize,
        region: &Region,
        cross_region_share: f64,
        random: &mut ChaCha8Rng,
    ) -> Vec<DaemonId> {
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for member in self.present() {
            let info = &member.record.info;
            let side = if info.region == *region { &mut near } else { &mut far };
            side.push(info.daemon);
        }
        let mut chosen = Vec::new();
        while chosen.len() < count && !(near.is_empty() && far.is_empty()) {
            let is_far =
                near.is_empty() || (!far.is_empty() && random.random_bool(cross_region_share));
            let side = if is_far { &mut far } else { &mut near };
            let index = random.random_range(0..side.len());
            chosen.push(side.swap_remove(index));
        }
        chosen
    }

    /// The number of present members in a zone.
    pub fn count_in_zone(&self, zone: &Zone) -> usize {
        self.present().filter(|member| member.record.info.zone == *zone).count()
    }

    /// Up to `count` different present members of a zone.
    pub fn choose_in_zone(
        &self,
        zone: &Zone,
        count: usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<DaemonId> {
        let there = self.present().filter(|member| member.record.info.zone == *zone);
        there.map(|member| member.record.info.daemon).choose_multiple(random, count)
    }

    /// A random dead member, which may be reachable again after a partition.
    pub fn choose_dead_member(&self, random: &mut ChaCha8Rng) -> Option<DaemonId> {
        let dead = self.table.values().filter(|member| member.record.health == Health::Dead);
        let dead: Vec<DaemonId> = dead.map(|member| member.record.info.daemon).collect();
        if dead.is_empty() {
            return None;
        }
        Some(dead[random.random_range(0..dead.len())])
    }
}
