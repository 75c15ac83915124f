//! The table of all daemons known, except the own one.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, Duration, Region, Timestamp, Zone};
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};
use rand_chacha::ChaCha8Rng;

use super::buckets::Buckets;
use super::{Health, Member, MemberRecord};

/// Fewer members than this in the own region are not enough to detect failures there.
const FEWEST_PROBED: usize = 3;

/// All daemons known but the own one.
#[derive(Debug, Clone, Default)]
pub(super) struct Members {
    table: BTreeMap<DaemonId, Member>,
    /// Of what is held of them.
    hashes: Buckets,
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

    /// Takes a statement in when it overrides the one held. Returns whether it does.
    pub fn merge(&mut self, record: &MemberRecord, now: Timestamp) -> bool {
        let known = self.table.get(&record.info.daemon);
        let is_news = match known {
            Some(member) => record.overrides(&member.record),
            // The dead are forgotten after a while and must not come back as news.
            None => record.health != Health::Dead,
        };
        if !is_news {
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

    /// Drops the dead of long ago.
    pub fn forget_dead(&mut self, after: Duration, now: Timestamp) {
        self.table.retain(|_, member| {
            member.record.health != Health::Dead || now.since(member.health_since) < after
        });
    }

    /// Suspects whose time to object is over.
    pub fn overdue_suspects(&self, timeout: Duration, now: Timestamp) -> Vec<MemberRecord> {
        let overdue = self.table.values().filter(|member| {
            member.record.health == Health::Suspect && now.since(member.health_since) >= timeout
        });
        overdue.map(|member| member.record.clone()).collect()
    }

    /// Gives suspects more time, because the own process did not run for `pause`.
    pub fn extend_suspicions(&mut self, pause: Duration) {
        for member in self.table.values_mut() {
            if member.record.health == Health::Suspect {
                member.health_since = member.health_since + pause;
            }
        }
    }

    /// The next member to probe: each once, in random order, then anew (SWIM, section 4.3).
    pub fn next_probed(&mut self, region: &Region, random: &mut ChaCha8Rng) -> Option<DaemonId> {
        while let Some(daemon) = self.probe_order.pop() {
            if self.is_present(daemon) {
                return Some(daemon);
            }
        }
        let near = self.present().filter(|member| member.record.info.region == *region);
        let near: Vec<DaemonId> = near.map(|member| member.record.info.daemon).collect();
        self.probe_order = if near.len() >= FEWEST_PROBED {
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
            let place = random.random_range(0..side.len());
            chosen.push(side.swap_remove(place));
        }
        chosen
    }

    /// How many present members a zone has.
    pub fn count_of(&self, zone: &Zone) -> usize {
        self.present().filter(|member| member.record.info.zone == *zone).count()
    }

    /// Up to `count` different present members of a zone.
    pub fn choose_of(&self, zone: &Zone, count: usize, random: &mut ChaCha8Rng) -> Vec<DaemonId> {
        let there = self.present().filter(|member| member.record.info.zone == *zone);
        there.map(|member| member.record.info.daemon).choose_multiple(random, count)
    }

    /// A dead member that may have come back behind a healed cut.
    pub fn choose_dead(&self, random: &mut ChaCha8Rng) -> Option<DaemonId> {
        let dead = self.table.values().filter(|member| member.record.health == Health::Dead);
        let dead: Vec<DaemonId> = dead.map(|member| member.record.info.daemon).collect();
        if dead.is_empty() {
            return None;
        }
        Some(dead[random.random_range(0..dead.len())])
    }
}
