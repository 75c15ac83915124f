//! Maintains the members of groups that this daemon leads: replaces lost or leaving replicas, one step
//! at a time.

use dahlia_replication::maintenance::{ClusterView, MaintenanceStep};
use dahlia_replication::membership::Member;
use dahlia_replication::tolerance::{HolderCounts, LossTolerance};
use dahlia_types::{Duration, ReplicaId, Timestamp};

use crate::group::Group;
use crate::node::Node;

/// How often a leader checks the members of its groups.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How often it checks while a group lacks voters, replaces one, or has a member with a new
/// incarnation. Until the group is complete again, the next failure may stop it.
const REPAIR_INTERVAL: Duration = Duration::from_millis(200);

impl Node {
    /// Replaces lost members of groups, one step at a time.
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
            // A lack of daemons must not reduce the present voters: membership may know too few daemons
            // after a start, and a daemon to be emptied stays until it is replaced.
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
                    log::info!(target: "groups", group:% = id, to:% = to; "Leadership is transferred.");
                    group.replica.transfer_leadership(to).err().map(|error| error.to_string())
                }
            };
            // A refused step is computed again later, because nothing of it is stored.
            if let Some(error) = refused {
                log::debug!(target: "groups", "{}: {error}.", group.replica.group());
            }
            self.dirty.insert(group.replica.group());
        }
    }

    /// Applies new losses to tolerate. Groups add or remove voters one at a time.
    pub(crate) fn change_tolerance(&mut self, tolerance: LossTolerance, now: Timestamp) {
        if self.settings.tolerance == tolerance {
            return;
        }
        log::info!(target: "groups", "Losses to tolerate at the same time are now {tolerance:?}.");
        self.settings.tolerance = tolerance;
        self.next_upkeep = self.next_upkeep.min(now);
    }

    /// Recomputes the number of voters of each group, and warns if a declared loss cannot be tolerated.
    fn update_voter_target(&mut self, members: &[Member]) {
        let target = self.settings.tolerance.target(&HolderCounts::of_members(members));
        if target.shortfalls != self.voter_target.shortfalls {
            for shortfall in &target.shortfalls {
                log::warn!(target: "groups", "{shortfall}.");
            }
        }
        self.voter_target = target;
    }

    /// Whether a group has all its voters, none of them a previous incarnation of its daemon.
    pub(crate) fn is_complete(&self, group: &Group) -> bool {
        let voters = &group.replica.members().voters;
        let is_present = |voter: &ReplicaId| {
            let member = self.membership.member(voter.daemon);
            member.is_none_or(|member| member.record.info.replica() == *voter)
        };
        voters.len() >= self.voter_target.voters && voters.iter().all(is_present)
    }
}
