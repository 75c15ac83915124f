//! The members of a group and changes to them, one replica at a time (Ongaro 2014, section 4).

use std::collections::BTreeSet;

use dahlia_types::{Duration, LogIndex, ReplicaId};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::replica::Replica;
use super::{EntryData, Role};

/// A voter counts as in contact for a member change if it answered within this many heartbeat
/// intervals.
const RECENT_CONTACT_HEARTBEATS: u64 = 2;

/// The members of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    /// Replicas that vote and count for a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not vote.
    pub learners: BTreeSet<ReplicaId>,
}

impl Members {
    /// Creates members with voters and no learners.
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

    /// Returns these members after a change.
    ///
    /// # Errors
    /// [`ChangeError`] if the change does not apply to these members.
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

/// Why a member change was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ChangeError {
    /// This replica does not lead.
    #[snafu(display("not the leader"))]
    NotLeader {
        /// The leader, when known.
        leader: Option<ReplicaId>,
    },
    /// The leader has not committed an entry of its own term yet, or is transferring its leadership.
    #[snafu(display("the leader is not ready to change members"))]
    NotReady,
    /// An earlier change is not committed yet.
    #[snafu(display("the change at entry {index} is not committed yet"))]
    InProgress {
        /// The entry of the earlier change.
        index: LogIndex,
    },
    /// The replica to add is a member already.
    #[snafu(display("replica {replica} is already a member"))]
    AlreadyMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// The replica to promote is not a learner.
    #[snafu(display("replica {replica} is not a learner"))]
    NotLearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// The replica to remove is not a member.
    #[snafu(display("replica {replica} is not a member"))]
    NotMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// The learner to promote lags or did not answer recently.
    #[snafu(display("learner {replica} lags {lag} entries or did not answer recently"))]
    NotCaughtUp {
        /// The replica.
        replica: ReplicaId,
        /// Entries it lacks.
        lag: u64,
    },
    /// A leader does not remove itself. It must transfer its leadership first.
    #[snafu(display("a leader cannot remove itself"))]
    IsLeader,
    /// Fewer voters are in contact than the quorum after the change needs.
    #[snafu(display("{in_contact} voters are in contact, but the change needs {needed}"))]
    QuorumAtRisk {
        /// Voters that answered recently. For a promotion, only those that vote already.
        in_contact: usize,
        /// The quorum after the change.
        needed: usize,
    },
}

/// Why a leadership transfer was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(context(suffix(TransferSnafu)), visibility(pub(super)))]
pub enum TransferError {
    /// This replica does not lead, is not ready, or is transferring its leadership already.
    #[snafu(display("not a ready leader"))]
    NotReady,
    /// The target is not another voter.
    #[snafu(display("replica {to} is not another voter"))]
    NotVoter {
        /// The target.
        to: ReplicaId,
    },
}

impl Replica {
    /// Appends a change of one member. It takes effect at once and is final when committed.
    ///
    /// # Errors
    /// [`ChangeError`]; nothing was appended.
    pub fn change_members(&mut self, change: MemberChange) -> Result<LogIndex, ChangeError> {
        if self.role != Role::Leader {
            return NotLeaderSnafu { leader: self.leader }.fail();
        }
        // Without a committed entry of their own terms, two leaders could each append a change to the
        // same configuration and reach quorums that do not overlap (Ongaro 2015).
        if !self.is_leader_ready() || self.leader_state.transfer.is_some() {
            return NotReadySnafu.fail();
        }
        if let Some(index) = self.uncommitted_change() {
            return InProgressSnafu { index }.fail();
        }
        let changed = self.members().changed(change)?;
        self.check_change(change, &changed)?;
        let index = self.append_in_own_term(EntryData::Members(changed));
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
        // The contact must be recent: otherwise a voter that died a moment ago would count, and the
        // change could neither be committed nor reverted.
        let max_age = self.recent_contact_age();
        let is_in_contact = |voter: &&ReplicaId| self.was_in_contact_within(**voter, max_age);
        // A promotion must not depend on the learner's answer: a learner that died a moment ago would
        // stop the group. Only in a group of one voter is the answer needed.
        let voters = &self.members().voters;
        let is_promotion = matches!(change, MemberChange::Promote(_)) && voters.len() > 1;
        let counted = if is_promotion { voters } else { &changed.voters };
        let in_contact = counted.iter().filter(is_in_contact).count();
        let needed = changed.quorum();
        if in_contact < needed {
            return QuorumAtRiskSnafu { in_contact, needed }.fail();
        }
        Ok(())
    }

    fn recent_contact_age(&self) -> Duration {
        self.settings.heartbeat_interval().times(RECENT_CONTACT_HEARTBEATS)
    }

    fn check_caught_up(&self, replica: ReplicaId) -> Result<(), ChangeError> {
        let last = self.log.last_index().0;
        let matched = self.leader_state.peers.get(&replica).map_or(0, |peer| peer.matched.0);
        let lag = last.saturating_sub(matched);
        let is_unreachable = !self.was_in_contact_within(replica, self.recent_contact_age());
        if lag > self.settings.promotion_lag_entries || is_unreachable {
            return NotCaughtUpSnafu { replica, lag }.fail();
        }
        Ok(())
    }

    /// The index of a member change that is appended but not committed.
    pub(super) fn uncommitted_change(&self) -> Option<LogIndex> {
        let index = self.configuration_index();
        (index > self.committed).then_some(index)
    }

    /// The index of the entry that set the members in force.
    pub(super) fn configuration_index(&self) -> LogIndex {
        self.configurations.last().map_or(LogIndex(0), |(index, _)| *index)
    }
}
