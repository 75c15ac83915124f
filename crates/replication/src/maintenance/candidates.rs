//! The choice of the daemon for a new replica of a group, and of the voter to remove.

use std::collections::BTreeMap;

use dahlia_types::{DaemonId, GroupId, Region, ReplicaId, Zone};

use super::view::{ClusterView, DaemonView};

/// The placement of the voters that a group keeps.
pub(super) struct VoterPlacement<'a> {
    view: &'a ClusterView,
    kept: Vec<ReplicaId>,
    leader: ReplicaId,
    home: Option<&'a Region>,
    target_voters: usize,
    /// Whether the home region has too few available daemons for a majority at present.
    lacks_available_majority_at_home: bool,
}

impl<'a> VoterPlacement<'a> {
    /// `home` is the configured home region of the group. A region without enough daemons for a
    /// majority, counting lost ones, is not used as home: then the region with most voters is, as for
    /// a group without a configured home. If two regions have equally many, the leader's region is
    /// preferred.
    pub fn new(
        view: &'a ClusterView,
        kept: Vec<ReplicaId>,
        leader: ReplicaId,
        target_voters: usize,
        home: Option<&'a Region>,
    ) -> Self {
        let majority = target_voters / 2 + 1;
        if let Some(region) = home
            && view.holder_count_in(region) >= majority
        {
            let lacks_available_majority_at_home = view.available_count_in(region) < majority;
            return Self {
                view,
                kept,
                leader,
                home,
                target_voters,
                lacks_available_majority_at_home,
            };
        }
        let mut counts: BTreeMap<&Region, usize> = BTreeMap::new();
        for voter in &kept {
            if let Some(daemon) = view.daemons.get(&voter.daemon) {
                *counts.entry(&daemon.region).or_insert(0) += 1;
            }
        }
        let of_leader = view.daemons.get(&leader.daemon).map(|daemon| &daemon.region);
        let home =
            counts.iter().max_by_key(|(region, count)| (**count, Some(**region) == of_leader));
        let home = home.map(|(region, _)| *region).or(of_leader);
        Self { view, kept, leader, home, target_voters, lacks_available_majority_at_home: false }
    }

    fn daemon(&self, daemon: DaemonId) -> Option<&'a DaemonView> {
        self.view.daemons.get(&daemon)
    }

    fn is_home(&self, daemon: &DaemonView) -> bool {
        self.home == Some(&daemon.region)
    }

    /// The number of kept voters in a zone.
    fn voters_in_zone(&self, zone: &Zone) -> usize {
        let zones = self.kept.iter().filter_map(|voter| self.daemon(voter.daemon));
        zones.filter(|daemon| daemon.zone == *zone).count()
    }

    fn home_voters(&self) -> usize {
        let daemons = self.kept.iter().filter_map(|voter| self.daemon(voter.daemon));
        daemons.filter(|daemon| self.is_home(daemon)).count()
    }

    /// The best daemon that is not a member: in the home region, in the zone with the fewest voters, with
    /// few replicas.
    pub fn best_candidate(&self, group: GroupId, members: &[ReplicaId]) -> Option<ReplicaId> {
        let is_member = |replica: &ReplicaId| members.contains(replica);
        let mut best = None;
        for (daemon, view) in &self.view.daemons {
            let replica = ReplicaId { daemon: *daemon, incarnation: view.incarnation };
            if !view.is_available() || is_member(&replica) || !self.may_hold(view) {
                continue;
            }
            let rank = (
                !self.is_home(view),
                self.voters_in_zone(&view.zone),
                view.replicas,
                tie_break(group, *daemon),
            );
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, replica));
            }
        }
        best.map(|(_, replica)| replica)
    }

    /// Whether a daemon may get a replica. A daemon of another region may only if the home region has a
    /// majority, or cannot have one at present.
    fn may_hold(&self, daemon: &DaemonView) -> bool {
        self.is_home(daemon) || self.has_home_majority() || self.lacks_available_majority_at_home
    }

    fn has_home_majority(&self) -> bool {
        self.home_voters() > self.target_voters / 2
    }

    /// Whether the region of a voter allows it to lead: once the home region has a majority of the
    /// voters, only voters there.
    pub fn may_lead_by_region(&self, voter: ReplicaId) -> bool {
        !self.has_home_majority() || self.daemon(voter.daemon).is_some_and(|to| self.is_home(to))
    }

    /// Whether a voter on this daemon, instead of one in the zone with most voters, improves the spread.
    pub fn improves_spread(&self, daemon: DaemonId) -> bool {
        let Some(view) = self.daemon(daemon) else { return false };
        if !self.is_home(view) {
            return false;
        }
        let zones = self.kept.iter().filter_map(|voter| self.daemon(voter.daemon));
        let fullest = zones.map(|daemon| self.voters_in_zone(&daemon.zone)).max().unwrap_or(0);
        // The leader is not removed, so a leader in another region cannot be replaced.
        let others = self.kept.iter().filter(|voter| **voter != self.leader);
        let mut daemons = others.filter_map(|voter| self.daemon(voter.daemon));
        let has_far = daemons.any(|daemon| !self.is_home(daemon));
        has_far || fullest >= self.voters_in_zone(&view.zone) + 2
    }

    /// The best voter to remove: in another region, then in the zone with most voters, then with most
    /// replicas.
    pub fn removal_candidate(&self) -> Option<ReplicaId> {
        let others = self.kept.iter().copied().filter(|voter| *voter != self.leader);
        others.max_by_key(|voter| {
            let daemon = self.daemon(voter.daemon);
            let is_far = daemon.is_none_or(|daemon| !self.is_home(daemon));
            let zone_voters = daemon.map_or(usize::MAX, |daemon| self.voters_in_zone(&daemon.zone));
            (is_far, zone_voters, daemon.map_or(0, |daemon| daemon.replicas), *voter)
        })
    }
}

/// Breaks ties differently for each group, but alike on every daemon.
fn tie_break(group: GroupId, daemon: DaemonId) -> u64 {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let key = (u64::from(group.0) << 32) | u64::from(daemon.0);
    let mixed = (key ^ MULTIPLIER).wrapping_mul(MULTIPLIER);
    (mixed ^ (mixed >> 29)).wrapping_mul(MULTIPLIER) >> 16
}
