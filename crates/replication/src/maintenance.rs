//! The next member change or leadership transfer of a group, decided by its leader.
//!
//! With `n` voters of which `a` answer, a group survives `a - (n / 2 + 1)` further deaths. The
//! steps are ordered so that no step lowers that number:
//!
//! 1. Removing a voter that does not answer keeps the number (odd `n`) or raises it (even `n`).
//!    A voter whose daemon runs in a later incarnation has certainly lost its state, so it is
//!    removed at once. A lost voter, which may be cut off and come back, stays until a learner has
//!    caught up, unless its removal raises the number; then the group survives the next death before
//!    any learner has caught up. A replaceable voter, which only does not answer while another daemon
//!    has room for its replica, always stays that long: each acknowledged entry is on as many voters
//!    after the replacement as before, whatever the replaced voter still has.
//! 2. Promoting a learner keeps the number (odd `n`) or raises it (even `n`), but its commit
//!    depends on the learner if another voter is dead. The dead voter is therefore removed first, so
//!    that the existing voters can commit the promotion without the learner.
//! 3. Removing a voter that answers lowers the number. A leaving or badly placed voter is
//!    removed only when its replacement votes.
//!
//! A new leader continues the work of the last one: every decision depends only on the present
//! configuration and view, and no state is kept. The platform's list of machines may make a daemon
//! [`Liveness::Leaving`], which starts a replacement, but never counts as a death.

mod balance;
mod candidates;
mod plan;
mod view;

use dahlia_types::{Duration, GroupHomes, InvalidSetting, ReplicaId, Timestamp, check_range};
use serde::{Deserialize, Serialize};

use crate::group::{GroupStatus, MemberChange};

pub use balance::BalanceRateLimit;
pub use view::{ClusterView, DaemonView, Liveness};

/// Settings of the maintenance of groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MaintenanceSettings {
    /// Initial target number of voters of a group; see [`Maintenance::set_voters`].
    pub voters: usize,
    /// Whether a lost voter keeps its vote until another voter can replace it. Needed if its disk may
    /// recover what it acknowledged: without its vote, the group tolerates fewer lost disks.
    pub keeps_lost_voters: bool,
    /// Learners that are kept caught up in addition to the voters, so that a replacement needs only two
    /// commits.
    pub standby_learners: usize,
    /// Milliseconds without an answer to the leader after which a member that membership declares
    /// dead is lost.
    pub dead_grace_ms: u64,
    /// Milliseconds without an answer to the leader after which any member is lost.
    pub silent_grace_ms: u64,
    /// Milliseconds without an answer to the leader after which a voter is replaced, whatever its
    /// health in membership, if a daemon with less than its even share of replicas can replace it.
    pub replace_grace_ms: u64,
    /// Least milliseconds between two leadership transfers for balance by one daemon, over all its
    /// groups.
    pub balance_interval_ms: u64,
    /// The home region of each group. Set from the table of regions.
    #[serde(skip)]
    pub homes: GroupHomes,
}

impl Default for MaintenanceSettings {
    fn default() -> Self {
        Self {
            voters: 3,
            keeps_lost_voters: false,
            standby_learners: 0,
            dead_grace_ms: 3_000,
            silent_grace_ms: 60_000,
            // Ten heartbeats. Membership takes 7 to 8.5 s to declare a death, and a removed machine
            // may stop counting as lost 4 s after its successor's start.
            replace_grace_ms: 1_500,
            balance_interval_ms: 1_000,
            homes: GroupHomes::default(),
        }
    }
}

impl MaintenanceSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is out of range.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("maintenance.voters", self.voters, 1, 9)?;
        check_range("maintenance.standby_learners", self.standby_learners, 0, 4)?;
        check_range("maintenance.dead_grace_ms", self.dead_grace_ms, 100, 3_600_000)?;
        let shortest = self.dead_grace_ms;
        check_range("maintenance.silent_grace_ms", self.silent_grace_ms, shortest, 86_400_000)?;
        check_range("maintenance.replace_grace_ms", self.replace_grace_ms, 100, 86_400_000)?;
        check_range("maintenance.balance_interval_ms", self.balance_interval_ms, 100, 86_400_000)
    }

    fn dead_grace(&self) -> Duration {
        Duration::from_millis(self.dead_grace_ms)
    }

    fn silent_grace(&self) -> Duration {
        Duration::from_millis(self.silent_grace_ms)
    }

    fn replace_grace(&self) -> Duration {
        Duration::from_millis(self.replace_grace_ms)
    }
}

/// A step that the driver should request from the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceStep {
    /// [`Replica::change_members`](crate::group::Replica::change_members).
    Change(MemberChange),
    /// [`Replica::transfer_leadership`](crate::group::Replica::transfer_leadership).
    Transfer(ReplicaId),
}

/// Decides the maintenance steps of one group. The leader's driver calls it about once a second and
/// after each committed change.
#[derive(Debug, Clone)]
pub struct Maintenance {
    settings: MaintenanceSettings,
}

impl Maintenance {
    /// Creates the maintenance of one group.
    pub fn new(settings: MaintenanceSettings) -> Self {
        Self { settings }
    }

    /// Sets the target number of voters. It takes effect with the next step.
    pub fn set_voters(&mut self, voters: usize) {
        self.settings.voters = voters;
    }

    /// Returns the next step, if any. If the replica rejects the step, a later call returns it again.
    /// `rate_limit` is shared by all groups that the daemon leads.
    pub fn next_step(
        &mut self,
        status: &GroupStatus,
        view: &ClusterView,
        rate_limit: &mut BalanceRateLimit,
        now: Timestamp,
    ) -> Option<MaintenanceStep> {
        if !status.ready || status.change_in_progress || status.transferring {
            return None;
        }
        let plan = plan::MaintenancePlan::new(&self.settings, status, view, now);
        if let Some(step) = plan.next_step() {
            return Some(step);
        }
        if !rate_limit.allows_transfer(now) {
            return None;
        }
        let target = plan.balance_target()?;
        rate_limit.record_transfer(now);
        Some(MaintenanceStep::Transfer(target))
    }
}
