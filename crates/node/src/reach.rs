//! Connects zone liveness to the node: which daemons it probes, and what it does when a zone falls silent or
//! the node is cut off.

use std::collections::BTreeMap;

use dahlia_replication::membership::{Event as MembershipEvent, Health, Membership};
use dahlia_types::{DaemonId, Duration, Timestamp, Zone};

use crate::Action;
use crate::node::Node;
use crate::zone_liveness::{GroupCount, Reachability, ZoneLiveness};

/// How long the lists of daemons are reused before they are rebuilt: thousands may join within a second.
const LIST_LIFETIME: Duration = Duration::from_millis(500);

/// A heartbeat is late when it is overdue by its interval divided by this. Zones are probed for it only if all
/// their daemons are silent by then, which is rare.
const LATE_HEARTBEAT_DIVISOR: u64 = 4;

/// The other daemons known of each zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneLists {
    zones: BTreeMap<Zone, Vec<DaemonId>>,
    listed_at: Option<Timestamp>,
}

impl Node {
    /// Records that a message of a daemon arrived.
    pub(crate) fn record_zone_message(&mut self, daemon: DaemonId, now: Timestamp) {
        let Some(zone_liveness) = &mut self.zone_liveness else { return };
        if let Some(member) = self.membership.member(daemon) {
            zone_liveness.record_message(&member.record.info.zone, now);
        }
    }

    /// Probes zones, and reports the reachability to the driver when it has changed.
    pub(crate) fn check_zones(&mut self, now: Timestamp) {
        if self.zone_liveness.is_none() {
            return;
        }
        self.list_zones(now);
        self.suspect_late_owners(now);
        let Some(zone_liveness) = &mut self.zone_liveness else { return };
        for daemon in zone_liveness.tick(&self.zone_lists.zones, now) {
            self.membership_event(MembershipEvent::PingRequested(daemon), now);
        }
        let groups = self.count_groups();
        let Some(zone_liveness) = &mut self.zone_liveness else { return };
        let Some(reach) = zone_liveness.update_reachability(groups, now) else { return };
        log::warn!(
            target: "members",
            silent_zones:? = reach.silent_zones,
            is_cut_off = reach.cut_off.is_some(),
            is_alone = reach.cut_off.is_some_and(|cut| cut.is_alone),
            groups = groups.total,
            out_of_reach = groups.out_of_reach;
            "The reachability of zones has changed."
        );
        self.router
            .retry_silent(|daemon| is_in_silent_zone(&self.membership, zone_liveness, daemon), now);
        self.disconnect_lost_leaders(&reach, now);
        self.actions.push(Action::ReachChanged(reach));
    }

    /// Suspects the zones of owners whose heartbeat is late.
    fn suspect_late_owners(&mut self, now: Timestamp) {
        let heartbeat_ms = self.settings.group.heartbeat_interval_ms;
        let timeout = Duration::from_millis(heartbeat_ms + heartbeat_ms / LATE_HEARTBEAT_DIVISOR);
        let own = self.settings.own;
        let leaders = self.groups.values().filter_map(|group| group.replica.leader());
        for leader in leaders.filter(|leader| *leader != own) {
            let member = self.membership.member(leader.daemon);
            if let (Some(zone_liveness), Some(member)) = (&mut self.zone_liveness, member) {
                zone_liveness.suspect_if_quiet(&member.record.info.zone, timeout, now);
            }
        }
    }

    /// Treats leaders in silent zones as disconnected. A whole silent zone is lost for now, so its followers
    /// need not wait as long as for a single daemon that may only be paused. Each voter decides by the
    /// messages that it receives itself, and a voter that hears from its leader votes for no other.
    fn disconnect_lost_leaders(&mut self, reach: &Reachability, now: Timestamp) {
        for group in self.groups.values_mut() {
            let Some(leader) = group.replica.leader() else { continue };
            let member = self.membership.member(leader.daemon);
            let is_lost =
                member.is_some_and(|member| reach.silent_zones.contains(&member.record.info.zone));
            if is_lost && leader != self.settings.own {
                log::warn!(
                    target: "groups",
                    group:% = group.id(), leader:% = leader;
                    "The zone of a group's leader is silent."
                );
                group.replica.peer_disconnected(leader, now);
                self.dirty.insert(group.id());
            }
        }
    }

    /// Suspects all zones, because an answer to a command is overdue.
    pub(crate) fn suspect_all_zones(&mut self, now: Timestamp) {
        if let Some(zone_liveness) = &mut self.zone_liveness {
            zone_liveness.suspect(None, now);
        }
    }

    /// Whether a zone counts as silent.
    pub(crate) fn is_silent_zone(&self, zone: &Zone) -> bool {
        self.zone_liveness.as_ref().is_some_and(|zone_liveness| zone_liveness.is_silent(zone))
    }

    /// Whether the zone of a daemon counts as silent.
    pub(crate) fn is_in_silent_zone(&self, daemon: DaemonId) -> bool {
        let zone_liveness = self.zone_liveness.as_ref();
        zone_liveness
            .is_some_and(|zone_liveness| is_in_silent_zone(&self.membership, zone_liveness, daemon))
    }

    fn list_zones(&mut self, now: Timestamp) {
        if self.zone_lists.listed_at.is_some_and(|listed_at| now.since(listed_at) < LIST_LIFETIME) {
            return;
        }
        let own = self.settings.own.daemon;
        let mut zones: BTreeMap<Zone, (Vec<DaemonId>, Vec<DaemonId>)> = BTreeMap::new();
        for member in self.membership.members() {
            let info = member.record.info;
            if info.daemon == own {
                continue;
            }
            let (present, dead) = zones.entry(info.zone).or_default();
            let list = if member.record.health == Health::Dead { dead } else { present };
            list.push(info.daemon);
        }
        // Membership considers all daemons of a zone dead that is cut off for long. Such a zone is still
        // probed.
        let to_probe = |(present, dead): (Vec<DaemonId>, Vec<DaemonId>)| {
            if present.is_empty() { dead } else { present }
        };
        let zones = zones.into_iter().map(|(zone, daemons)| (zone, to_probe(daemons))).collect();
        self.zone_lists = ZoneLists { zones, listed_at: Some(now) };
    }

    fn count_groups(&self) -> GroupCount {
        let homes = &self.settings.maintenance.homes;
        let at_home = homes.groups_at(&self.settings.region, self.settings.group_count);
        let is_silent = |daemon| self.is_in_silent_zone(daemon);
        GroupCount::count(self.directory.iter(), &at_home, is_silent)
    }
}

fn is_in_silent_zone(
    membership: &Membership,
    zone_liveness: &ZoneLiveness,
    daemon: DaemonId,
) -> bool {
    membership
        .member(daemon)
        .is_some_and(|member| zone_liveness.is_silent(&member.record.info.zone))
}
