//! The decision on the next step of one group.

use dahlia_types::{ReplicaId, Timestamp};

use super::candidates::VoterPlacement;
use super::view::{ClusterView, Liveness};
use super::{MaintenanceSettings, MaintenanceStep};
use crate::group::{GroupStatus, MemberChange};

/// A leader transfers its leadership for balance only to a daemon that leads at least this many groups
/// fewer.
const MIN_LEADERSHIP_DIFFERENCE: u32 = 2;

/// The condition of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberCondition {
    /// It has the log and should stay a member.
    Healthy,
    /// It has the log and should be replaced.
    Leaving,
    /// Its daemon runs in a later incarnation, so its state is certainly lost.
    Gone,
    /// It has not answered the leader for the silent grace, or for the dead grace if membership declares
    /// it dead.
    Lost,
    /// It has not answered the leader for the replace grace, and another daemon can replace it.
    Replaceable,
}

/// The members of a group, sorted by condition.
pub(super) struct MaintenancePlan<'a> {
    settings: &'a MaintenanceSettings,
    status: &'a GroupStatus,
    view: &'a ClusterView,
    healthy: Vec<ReplicaId>,
    leaving: Vec<ReplicaId>,
    gone: Vec<ReplicaId>,
    lost: Vec<ReplicaId>,
    replaceable: Vec<ReplicaId>,
    healthy_learners: Vec<ReplicaId>,
    unhealthy_learners: Vec<ReplicaId>,
}

impl<'a> MaintenancePlan<'a> {
    pub fn new(
        settings: &'a MaintenanceSettings,
        status: &'a GroupStatus,
        view: &'a ClusterView,
        now: Timestamp,
    ) -> Self {
        let mut plan = Self {
            settings,
            status,
            view,
            healthy: Vec::new(),
            leaving: Vec::new(),
            gone: Vec::new(),
            lost: Vec::new(),
            replaceable: Vec::new(),
            healthy_learners: Vec::new(),
            unhealthy_learners: Vec::new(),
        };
        for voter in &status.members.voters {
            let side = match plan.condition(*voter, now) {
                MemberCondition::Healthy => &mut plan.healthy,
                MemberCondition::Leaving => &mut plan.leaving,
                MemberCondition::Gone => &mut plan.gone,
                MemberCondition::Lost => &mut plan.lost,
                MemberCondition::Replaceable => &mut plan.replaceable,
            };
            side.push(*voter);
        }
        for learner in &status.members.learners {
            let is_healthy = plan.condition(*learner, now) == MemberCondition::Healthy;
            let side =
                if is_healthy { &mut plan.healthy_learners } else { &mut plan.unhealthy_learners };
            side.push(*learner);
        }
        plan
    }

    fn condition(&self, member: ReplicaId, now: Timestamp) -> MemberCondition {
        let view = self.view.daemons.get(&member.daemon);
        if view.is_some_and(|view| view.incarnation > member.incarnation) {
            return MemberCondition::Gone;
        }
        // A daemon that should no longer hold groups keeps its replicas until they are replaced.
        let is_leaving =
            view.is_some_and(|view| view.liveness == Liveness::Leaving || !view.holds_groups);
        if member == self.status.id {
            return if is_leaving { MemberCondition::Leaving } else { MemberCondition::Healthy };
        }
        let Some(peer) = self.status.peers.get(&member) else { return MemberCondition::Healthy };
        let contact_age = now.since(peer.last_contact);
        let is_dead = view.is_none_or(|view| view.liveness == Liveness::Dead);
        let grace = if is_dead { self.settings.dead_grace() } else { self.settings.silent_grace() };
        if contact_age >= grace {
            return MemberCondition::Lost;
        }
        if contact_age >= self.settings.replace_grace() && self.has_replacement_daemon() {
            return MemberCondition::Replaceable;
        }
        if is_leaving { MemberCondition::Leaving } else { MemberCondition::Healthy }
    }

    /// Whether another daemon has room for a replica of this group, or is already receiving one. A
    /// daemon that was started in place of a removed machine holds no replicas yet. Groups move their
    /// replicas to it one after the other, so it has room while it holds less than the even share.
    fn has_replacement_daemon(&self) -> bool {
        let members = &self.status.members;
        if !members.learners.is_empty() {
            return true;
        }
        let share = self.view.even_share();
        self.view.daemons.iter().any(|(daemon, view)| {
            let is_member = members.all().any(|member| member.daemon == *daemon);
            view.is_available() && view.replicas < share && !is_member
        })
    }

    /// The next leadership transfer or member change that is needed.
    pub fn next_step(&self) -> Option<MaintenanceStep> {
        self.transfer_when_leaving()
            .map(MaintenanceStep::Transfer)
            .or_else(|| self.next_change().map(MaintenanceStep::Change))
    }

    fn next_change(&self) -> Option<MemberChange> {
        self.remove_unavailable_voter()
            .or_else(|| self.unhealthy_learners.first().copied().map(MemberChange::Remove))
            .or_else(|| self.promote())
            .or_else(|| self.remove_replaced())
            .or_else(|| self.remove_surplus_learner())
            .or_else(|| self.add_learner())
    }

    /// A leaving leader transfers its leadership first. The next leader then replaces it.
    fn transfer_when_leaving(&self) -> Option<ReplicaId> {
        if !self.leaving.contains(&self.status.id) {
            return None;
        }
        self.healthy.iter().copied().find(|voter| self.is_caught_up(*voter))
    }

    fn is_caught_up(&self, member: ReplicaId) -> bool {
        self.status.peers.get(&member).is_some_and(|peer| peer.caught_up)
    }

    fn in_contact(&self, member: ReplicaId) -> bool {
        member == self.status.id
            || self.status.peers.get(&member).is_some_and(|peer| peer.in_contact)
    }

    /// Removes a voter that is gone, or a lost or replaceable one if keeping it has no more use.
    fn remove_unavailable_voter(&self) -> Option<MemberChange> {
        let first = self.gone.first().or(self.lost.first()).or(self.replaceable.first());
        let voter = first.copied()?;
        let should_remove = !self.gone.is_empty()
            || (!self.settings.keeps_lost_voters
                && !self.lost.is_empty()
                && self.removal_improves_survival())
            || self.has_caught_up_learner()
            || !self.lacks_voters();
        should_remove.then_some(MemberChange::Remove(voter))
    }

    /// Whether the group survives more deaths without the gone and lost voters than with them.
    fn removal_improves_survival(&self) -> bool {
        let voters = &self.status.members.voters;
        let answering = voters.iter().filter(|voter| self.in_contact(**voter)).count();
        let rest = voters.len() - self.gone.len() - self.lost.len();
        survivable_deaths(answering.min(rest), rest) > survivable_deaths(answering, voters.len())
    }

    fn has_caught_up_learner(&self) -> bool {
        self.healthy_learners.iter().any(|learner| self.is_caught_up(*learner))
    }

    /// Promotes a learner that has caught up and is needed as a voter.
    fn promote(&self) -> Option<MemberChange> {
        let caught_up = self.healthy_learners.iter().copied().filter(|l| self.is_caught_up(*l));
        let needed = caught_up.into_iter().find(|learner| self.is_vote_needed(*learner));
        needed.map(MemberChange::Promote)
    }

    fn is_vote_needed(&self, learner: ReplicaId) -> bool {
        self.lacks_voters() || self.placement().improves_spread(learner.daemon)
    }

    fn lacks_voters(&self) -> bool {
        self.healthy.len() < self.settings.voters
    }

    fn placement(&self) -> VoterPlacement<'_> {
        let kept: Vec<ReplicaId> = if self.healthy.is_empty() {
            self.status.members.voters.iter().copied().collect()
        } else {
            self.healthy.clone()
        };
        let home = self.settings.homes.home_of(self.status.group);
        VoterPlacement::new(self.view, kept, self.status.id, self.settings.voters, home)
    }

    /// Removes a leaving or surplus voter once there are enough healthy voters.
    fn remove_replaced(&self) -> Option<MemberChange> {
        let own = self.status.id;
        if self.lacks_voters() {
            return None;
        }
        let leaving = self.leaving.iter().copied().find(|voter| *voter != own);
        if leaving.is_some() {
            return leaving.map(MemberChange::Remove);
        }
        if self.healthy.len() == self.settings.voters {
            return None;
        }
        self.placement().removal_candidate().map(MemberChange::Remove)
    }

    fn remove_surplus_learner(&self) -> Option<MemberChange> {
        let unneeded: Vec<ReplicaId> =
            self.healthy_learners.iter().copied().filter(|l| !self.is_vote_needed(*l)).collect();
        let surplus = unneeded.len() > self.settings.standby_learners;
        surplus.then(|| unneeded.last().copied().map(MemberChange::Remove)).flatten()
    }

    fn add_learner(&self) -> Option<MemberChange> {
        let placement = self.placement();
        let members: Vec<ReplicaId> = self.status.members.all().collect();
        let candidate = placement.best_candidate(self.status.group, &members)?;
        let has_spare = !self.healthy_learners.is_empty();
        let wants_replacement = self.lacks_voters() && !has_spare;
        let wants_standby = self.healthy_learners.len() < self.settings.standby_learners;
        let wants_spread = !has_spare && placement.improves_spread(candidate.daemon);
        (wants_replacement || wants_standby || wants_spread)
            .then_some(MemberChange::AddLearner(candidate))
    }

    /// The target of a leadership transfer for balance: a voter in the home region if the leader is not
    /// there, or a voter whose daemon leads clearly fewer groups.
    pub fn balance_target(&self) -> Option<ReplicaId> {
        let targets = self.healthy.iter().copied().filter(|voter| self.can_take_leadership(*voter));
        if self.settings.homes.home_of(self.status.group).is_none() {
            return self.target_leading_fewer(targets);
        }
        let placement = self.placement();
        let targets = targets.filter(|voter| placement.may_lead_by_region(*voter));
        if placement.may_lead_by_region(self.status.id) {
            return self.target_leading_fewer(targets);
        }
        // Missing voters are replaced first, and a transfer may cost an election.
        if self.lacks_voters() {
            return None;
        }
        targets.min_by_key(|voter| (self.leaderships(*voter), *voter))
    }

    fn target_leading_fewer(&self, targets: impl Iterator<Item = ReplicaId>) -> Option<ReplicaId> {
        let own = self.leaderships(self.status.id)?;
        let counted = targets.filter_map(|voter| Some((self.leaderships(voter)?, voter)));
        let (count, target) = counted.min()?;
        (count + MIN_LEADERSHIP_DIFFERENCE <= own).then_some(target)
    }

    fn leaderships(&self, replica: ReplicaId) -> Option<u32> {
        self.view.daemons.get(&replica.daemon).map(|daemon| daemon.leaderships)
    }

    /// Whether a leadership transfer to a voter would succeed at once. A failed transfer stops the group
    /// for an election timeout.
    fn can_take_leadership(&self, voter: ReplicaId) -> bool {
        let view = self.view.daemons.get(&voter.daemon);
        let is_live = view.is_some_and(|view| view.liveness == Liveness::Live);
        is_live && voter != self.status.id && self.is_caught_up(voter) && self.in_contact(voter)
    }
}

/// The number of deaths that a group survives if `answering` of its `voters` voters answer. Negative
/// if it has no quorum already.
fn survivable_deaths(answering: usize, voters: usize) -> i64 {
    answering as i64 - (voters as i64 / 2 + 1)
}
