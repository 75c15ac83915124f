//! What this node makes of the zones that it hears: whom it asks for a sign, whom it takes for
//! silent, and when it says that it is cut off.

use std::collections::BTreeMap;

use dahlia_replication::membership::{Event as MembershipEvent, Health, Membership};
use dahlia_types::{DaemonId, Duration, Timestamp, Zone};

use crate::Action;
use crate::node::Node;
use crate::zone_liveness::{GroupCount, Reachability, ZoneLiveness};

/// How long the list of each zone's daemons is used: thousands may join within a second.
const LIST_LIFETIME: Duration = Duration::from_millis(500);

/// A heartbeat is late after this part of its interval more. All daemons of its owner's zone are silent by
/// then, so asking them is rare.
const LATE_HEARTBEAT_PART: u64 = 4;

/// The other daemons known of each zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneLists {
    zones: BTreeMap<Zone, Vec<DaemonId>>,
    made: Option<Timestamp>,
}

impl Node {
    /// A message of a daemon came.
    pub(crate) fn hear(&mut self, daemon: DaemonId, now: Timestamp) {
        let Some(zone_liveness) = &mut self.zone_liveness else { return };
        if let Some(member) = self.membership.member(daemon) {
            zone_liveness.heard(&member.record.info.zone, now);
        }
    }

    /// Asks zones for a sign, and tells whom this node reaches when that has changed.
    pub(crate) fn listen(&mut self, now: Timestamp) {
        if self.zone_liveness.is_none() {
            return;
        }
        self.list_zones(now);
        self.doubt_owners(now);
        let Some(zone_liveness) = &mut self.zone_liveness else { return };
        for daemon in zone_liveness.tick(&self.zone_lists.zones, now) {
            self.membership_event(MembershipEvent::PingRequested(daemon), now);
        }
        let groups = self.count_groups();
        let Some(zone_liveness) = &mut self.zone_liveness else { return };
        let Some(reach) = zone_liveness.judge(groups, now) else { return };
        log::warn!(
            target: "members",
            silent_zones:? = reach.silent_zones,
            is_cut_off = reach.cut_off.is_some(),
            is_alone = reach.cut_off.is_some_and(|cut| cut.is_alone),
            groups = groups.all,
            out_of_reach = groups.out_of_reach;
            "Whom this daemon reaches has changed."
        );
        self.router
            .pass_over(|daemon| is_in_silent_zone(&self.membership, zone_liveness, daemon), now);
        self.give_up_owners(&reach, now);
        self.actions.push(Action::ReachChanged(reach));
    }

    /// Zones of owners that missed a heartbeat are asked for a sign.
    fn doubt_owners(&mut self, now: Timestamp) {
        let heartbeat_ms = self.settings.group.heartbeat_interval_ms;
        let patience = Duration::from_millis(heartbeat_ms + heartbeat_ms / LATE_HEARTBEAT_PART);
        let own = self.settings.own;
        let leaders = self.groups.values().filter_map(|group| group.replica.leader());
        for leader in leaders.filter(|leader| *leader != own) {
            let member = self.membership.member(leader.daemon);
            if let (Some(zone_liveness), Some(member)) = (&mut self.zone_liveness, member) {
                zone_liveness.doubt_quiet(&member.record.info.zone, patience, now);
            }
        }
    }

    /// A whole zone that falls silent is lost for now: its owners' followers need not wait as long as
    /// for a daemon that may just stand still. Each voter judges by what it hears itself, and one that
    /// hears its leader votes for nobody else.
    fn give_up_owners(&mut self, reach: &Reachability, now: Timestamp) {
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

    /// An answer to a command is overdue.
    pub(crate) fn doubt_zones(&mut self, now: Timestamp) {
        if let Some(zone_liveness) = &mut self.zone_liveness {
            zone_liveness.doubt(None, now);
        }
    }

    /// Whether nobody of a zone answers.
    pub(crate) fn is_silent_zone(&self, zone: &Zone) -> bool {
        self.zone_liveness.as_ref().is_some_and(|zone_liveness| zone_liveness.is_silent(zone))
    }

    /// Whether nobody of a daemon's zone answers.
    pub(crate) fn is_in_silent_zone(&self, daemon: DaemonId) -> bool {
        let zone_liveness = self.zone_liveness.as_ref();
        zone_liveness
            .is_some_and(|zone_liveness| is_in_silent_zone(&self.membership, zone_liveness, daemon))
    }

    fn list_zones(&mut self, now: Timestamp) {
        if self.zone_lists.made.is_some_and(|made| now.since(made) < LIST_LIFETIME) {
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
        // A zone that is cut off for long is dead to membership, and no less silent for that.
        let askable = |(present, dead): (Vec<DaemonId>, Vec<DaemonId>)| {
            if present.is_empty() { dead } else { present }
        };
        let zones = zones.into_iter().map(|(zone, daemons)| (zone, askable(daemons))).collect();
        self.zone_lists = ZoneLists { zones, made: Some(now) };
    }

    fn count_groups(&self) -> GroupCount {
        let homes = &self.settings.maintenance.homes;
        let at_home = homes.groups_at(&self.settings.region, self.settings.group_count);
        let is_silent = |daemon| self.is_in_silent_zone(daemon);
        GroupCount::of(self.directory.iter(), &at_home, is_silent)
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
