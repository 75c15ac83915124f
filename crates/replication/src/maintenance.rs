//! What the leader of a group should change about its members next.
//!
//! With `n` voters of which `a` answer, a group survives `a - (n / 2 + 1)` further deaths. The
//! order of steps never lets a step of its own lower that number:
//!
//! 1. Removing a voter that does not answer keeps the number (odd `n`) or raises it (even `n`).
//!    A voter that is gone for certain, because its daemon runs in a later life, is therefore
//!    removed at once. A lost one, which may be cut off and come back, stays until a learner is
//!    caught up, unless its removal raises the number; then the next death is survived before
//!    any learner has caught up. One that is only silent, while another daemon has room for it,
//!    always stays that long: each acknowledged entry is on as many voters after the exchange as
//!    before, whatever the silent one still holds.
//! 2. Promoting a learner keeps the number (odd `n`) or raises it (even `n`), but its commit
//!    depends on the learner when another voter is dead. So the dead voter goes first: then the
//!    voters that were there already can commit the promotion without the learner.
//! 3. Removing a voter that answers lowers the number. A leaving or badly placed voter goes
//!    only when its replacement votes.
//!
//! A new leader continues where the last one stopped: every decision is made from the present
//! configuration and view, and nothing is remembered. The list of machines of the platform may
//! make a daemon [`Liveness::Leaving`], which starts a replacement, but never counts as a death.

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
    /// Voters that a group should have at first; see [`Maintenance::set_voters`].
    pub voters: usize,
    /// Whether a lost voter keeps its vote until another one can take its place. Needed where its
    /// disk may bring back what it acknowledged: without its vote the group bears fewer lost disks.
    pub keeps_lost_voters: bool,
    /// Learners kept caught up beside them, so that a replacement takes two commits only.
    pub standby_learners: usize,
    /// Milliseconds of silence towards the leader after which a member that membership holds
    /// for dead is lost.
    pub dead_grace_ms: u64,
    /// Milliseconds of silence towards the leader after which any member is lost.
    pub silent_grace_ms: u64,
    /// Milliseconds of silence towards the leader after which a voter is replaced, whatever
    /// membership holds of it, where a daemon with less than its even share of replicas can take
    /// its place.
    pub replace_grace_ms: u64,
    /// Least milliseconds between two hand-overs for balance by one daemon, over all its groups.
    pub balance_interval_ms: u64,
    /// Which region each group is at home in. Told by the table of regions.
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
            // Ten heartbeats. Membership takes 7 to 8.5 s for its verdict, and a removed machine
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
    /// The first field with a value that is not allowed.
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

/// What the driver should ask of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MaintenanceStep {
    /// [`Replica::change_members`](crate::group::Replica::change_members).
    Change(MemberChange),
    /// [`Replica::transfer_leadership`](crate::group::Replica::transfer_leadership).
    Transfer(ReplicaId),
}

/// Decides for one group. Asked by the leader's driver, about once a second and after each
/// committed change.
#[derive(Debug, Clone)]
pub struct Maintenance {
    settings: MaintenanceSettings,
}

impl Maintenance {
    /// For one group.
    pub fn new(settings: MaintenanceSettings) -> Self {
        Self { settings }
    }

    /// Sets how many voters the group should have. Takes effect with the next step.
    pub fn set_voters(&mut self, voters: usize) {
        self.settings.voters = voters;
    }

    /// The next step, if any. The replica may refuse it; it is then asked for again. `pace` is
    /// shared by all groups that the daemon leads.
    pub fn next_step(
        &mut self,
        status: &GroupStatus,
        view: &ClusterView,
        pace: &mut BalanceRateLimit,
        now: Timestamp,
    ) -> Option<MaintenanceStep> {
        if !status.ready || status.change_in_progress || status.transferring {
            return None;
        }
        let plan = plan::Plan::new(&self.settings, status, view, now);
        if let Some(step) = plan.next() {
            return Some(step);
        }
        if !pace.is_due(now) {
            return None;
        }
        let target = plan.balance()?;
        pace.handed_over(now);
        Some(MaintenanceStep::Transfer(target))
    }
}
