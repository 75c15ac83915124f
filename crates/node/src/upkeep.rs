//! Upkeep of the members of groups that this daemon leads: replicas that are gone or leave are
//! replaced, one step at a time.

use dahlia_replication::maintenance::{ClusterView, MaintenanceStep};
use dahlia_replication::membership::Member;
use dahlia_replication::tolerance::{HolderCounts, LossTolerance};
use dahlia_types::{Duration, ReplicaId, Timestamp};

use crate::group::Group;
use crate::node::Node;

/// How often a leader looks after the members of its group.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often it looks while the group lacks voters, exchanges one, or a member has begun another
/// life: until it is whole again, the next death may stop it.
const REPAIR_INTERVAL: Duration = Duration::from_millis(200);

impl Node {
    /// Replaces members of groups that are gone, one step at a time.
    pub(crate) fn upkeep(&mut self, now: Timestamp) {
        if now < self.next_upkeep {
            return;
        }
        self.next_upkeep = now + UPKEEP_INTERVAL;
        if !self.groups.values().any(|group| group.is_serving()) {
            return;
        }
        let members = self.membership.members();
        self.update_voter_target(&members);
        let voters = self.voter_target.voters;
        let wanted = self.settings.tolerance.wanted_voters();
        let view = ClusterView::new(&members, &self.directory);
        for group in self.groups.values_mut().filter(|group| group.is_serving()) {
            let status = group.replica.status();
            // A lack of daemons is no reason to do with fewer voters than there are: membership may
            // know too few after a start, and one that is to be emptied stays until it is replaced.
            let min_voters = status.members.voters.len().min(wanted);
            group.maintenance.set_voters(voters.max(min_voters));
            let has_learners = !status.members.learners.is_empty();
            if status.members.voters.len() < voters || has_learners {
                self.next_upkeep = now + REPAIR_INTERVAL;
            }
            let step =
                group.maintenance.next_step(&status, &view, &mut self.balance_rate_limit, now);
            if matches!(step, Some(MaintenanceStep::Change(_))) {
                self.next_upkeep = now + REPAIR_INTERVAL;
            }
            let refused = match step {
                None => continue,
                Some(MaintenanceStep::Change(change)) => {
                    let id = group.replica.group();
                    log::info!(target: "groups", group:% = id, change:? = change; "Members change.");
                    group.replica.change_members(change).err().map(|error| error.to_string())
                }
                Some(MaintenanceStep::Transfer(to)) => {
                    let id = group.replica.group();
                    log::info!(target: "groups", group:% = id, to:% = to; "Leadership handed over.");
                    group.replica.transfer_leadership(to).err().map(|error| error.to_string())
                }
            };
            // A refused step is asked for again: nothing is remembered of it.
            if let Some(error) = refused {
                log::debug!(target: "groups", "{}: {error}.", group.replica.group());
            }
            self.dirty.insert(group.replica.group());
        }
    }

    /// Takes over what may be lost at once; groups get or give up voters one at a time.
    pub(crate) fn change_tolerance(&mut self, tolerance: LossTolerance, now: Timestamp) {
        if self.settings.tolerance == tolerance {
            return;
        }
        log::info!(target: "groups", "Losses to be borne at once are now {tolerance:?}.");
        self.settings.tolerance = tolerance;
        self.next_upkeep = self.next_upkeep.min(now);
    }

    /// Works out the voters of each group anew, and says when a declared loss cannot be borne.
    fn update_voter_target(&mut self, members: &[Member]) {
        let target = self.settings.tolerance.target(&HolderCounts::of_members(members));
        if target.shortfalls != self.voter_target.shortfalls {
            for shortfall in &target.shortfalls {
                log::warn!(target: "groups", "{shortfall}.");
            }
        }
        self.voter_target = target;
    }

    /// Whether a group has all its voters, none of them in an earlier life of its daemon.
    pub(crate) fn is_whole(&self, group: &Group) -> bool {
        let voters = &group.replica.members().voters;
        let is_present = |voter: &ReplicaId| {
            let member = self.membership.member(voter.daemon);
            member.is_none_or(|member| member.record.info.replica() == *voter)
        };
        voters.len() >= self.voter_target.voters && voters.iter().all(is_present)
    }
}
