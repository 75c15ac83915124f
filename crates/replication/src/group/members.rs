//! The members of a group and changes to them, one replica at a time (Ongaro 2014, section 4).

use std::collections::BTreeSet;

use dahlia_types::{Duration, LogIndex, ReplicaId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::replica::Replica;
use super::{EntryData, Role};

/// A voter counts for a change when it answered within this many heartbeat intervals.
const FRESH_HEARTBEATS: u64 = 2;

/// The members of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count for a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log only.
    pub learners: BTreeSet<ReplicaId>,
}

impl Members {
    /// Voters without learners.
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.learners.contains(&replica)
    }

    /// All members, voters first.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// The smallest number of voters that is a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// These members after a change.
    ///
    /// # Errors
    /// [`ChangeError`] when the change does not fit.
    pub fn changed(&self, change: MemberChange) -> Result<Self, ChangeError> {
        let mut members = self.clone();
        match change {
            MemberChange::AddLearner(replica) => {
                if self.contains(replica) {
                    return AlreadyMemberSnafu { replica }.fail();
                }
                members.learners.insert(replica);
            }
            MemberChange::Promote(replica) => {
                if !members.learners.remove(&replica) {
                    return NotLearnerSnafu { replica }.fail();
                }
                members.voters.insert(replica);
            }
            MemberChange::Remove(replica) => {
                if !members.voters.remove(&replica) && !members.learners.remove(&replica) {
                    return NotMemberSnafu { replica }.fail();
                }
            }
        }
        Ok(members)
    }
}

/// A change of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica that receives the log without a vote.
    AddLearner(ReplicaId),
    /// Gives a caught-up learner a vote.
    Promote(ReplicaId),
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}

/// Why the members were not changed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// This replica does not lead.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, when known.
        leader: Option<ReplicaId>,
    },
    /// The leader has not committed an entry of its own term yet, or hands over.
    #[snafu(display("the leader is not ready to change members"))]
    NotReady,
    /// An earlier change is not committed yet.
    #[snafu(display("the change at entry {index} is not committed yet"))]
    InProgress {
        /// The entry of the earlier change.
        index: LogIndex,
    },
    /// To add: it is a member.
    #[snafu(display("replica {replica} is a member already"))]
    AlreadyMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// To promote: it is no learner.
    #[snafu(display("replica {replica} is no learner"))]
    NotLearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// To remove: it is no member.
    #[snafu(display("replica {replica} is no member"))]
    NotMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// To promote: it lags or was not heard from lately.
    #[snafu(display("learner {replica} lags {lag} entries or is silent"))]
    NotCaughtUp {
        /// The replica.
        replica: ReplicaId,
        /// Entries it lacks.
        lag: u64,
    },
    /// A leader does not remove itself; it hands over first.
    #[snafu(display("a leader does not remove itself"))]
    IsLeader,
    /// Fewer voters are in contact than the quorum after the change needs.
    #[snafu(display("{in_contact} voters are in contact, the change needs {needed}"))]
    QuorumAtRisk {
        /// Voters that answered of late; of a promotion, those that vote already.
        in_contact: usize,
        /// The quorum after the change.
        needed: usize,
    },
}

/// Why leadership is not handed over.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(context(suffix(TransferSnafu)), visibility(pub(super)))]
pub enum TransferError {
    /// This replica does not lead, or is not ready, or hands over already.
    #[snafu(display("not a ready leader"))]
    NotReady,
    /// The target is no other voter.
    #[snafu(display("replica {to} is no other voter"))]
    NotVoter {
        /// The target.
        to: ReplicaId,
    },
}

impl Replica {
    /// Appends a change of one member; it takes effect at once and counts when committed.
    ///
    /// # Errors
    /// [`ChangeError`]; nothing was appended.
    pub fn change_members(&mut self, change: MemberChange) -> Result<LogIndex, ChangeError> {
        if self.role != Role::Leader {
            return NotLeaderSnafu { leader: self.leader }.fail();
        }
        // Without an entry of its own term committed, two leaders could each append a change
        // to the same configuration and reach quorums that do not meet (Ongaro 2015).
        if !self.is_leader_ready() || self.leading.transfer.is_some() {
            return NotReadySnafu.fail();
        }
        if let Some(index) = self.uncommitted_change() {
            return InProgressSnafu { index }.fail();
        }
        let changed = self.members().changed(change)?;
        self.check_change(change, &changed)?;
        let index = self.append_own(EntryData::Members(changed));
        self.adopt_members();
        Ok(index)
    }

    fn check_change(&self, change: MemberChange, changed: &Members) -> Result<(), ChangeError> {
        match change {
            MemberChange::AddLearner(_) => return Ok(()),
            MemberChange::Promote(replica) => self.check_caught_up(replica)?,
            MemberChange::Remove(replica) if replica == self.id => return IsLeaderSnafu.fail(),
            MemberChange::Remove(replica) if self.members().learners.contains(&replica) => {
                return Ok(());
            }
            MemberChange::Remove(_) => {}
        }
        // The contact must be fresh: a voter that died a moment ago would count, and the change
        // could neither be committed nor taken back.
        let fresh = self.fresh_contact();
        let is_fresh = |voter: &&ReplicaId| self.was_heard_within(**voter, fresh);
        // A promotion must not need the learner's own answer: a learner that died a moment ago
        // would stop the group. Only a group of one cannot do without it.
        let voters = &self.members().voters;
        let is_promotion = matches!(change, MemberChange::Promote(_)) && voters.len() > 1;
        let counted = if is_promotion { voters } else { &changed.voters };
        let in_contact = counted.iter().filter(is_fresh).count();
        let needed = changed.quorum();
        if in_contact < needed {
            return QuorumAtRiskSnafu { in_contact, needed }.fail();
        }
        Ok(())
    }

    fn fresh_contact(&self) -> Duration {
        self.settings.heartbeat_interval().times(FRESH_HEARTBEATS)
    }

    fn check_caught_up(&self, replica: ReplicaId) -> Result<(), ChangeError> {
        let last = self.log.last_index().0;
        let matched = self.leading.peers.get(&replica).map_or(0, |peer| peer.matched.0);
        let lag = last.saturating_sub(matched);
        let is_silent = !self.was_heard_within(replica, self.fresh_contact());
        if lag > self.settings.promotion_lag_entries || is_silent {
            return NotCaughtUpSnafu { replica, lag }.fail();
        }
        Ok(())
    }

    /// The entry of a change that is appended and not committed.
    pub(super) fn uncommitted_change(&self) -> Option<LogIndex> {
        let index = self.configuration_index();
        (index > self.committed).then_some(index)
    }

    /// The entry that set the members in force.
    pub(super) fn configuration_index(&self) -> LogIndex {
        self.configurations.last().map_or(LogIndex(0), |(index, _)| *index)
    }
}
