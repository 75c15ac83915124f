//! Settings of a node.

use std::net::SocketAddr;

use dahlia_limits::LimitSettings;
use dahlia_placement::{PlacementSettings, PolicyKind};
use dahlia_program::{GroupState, ProgramLimits};
use dahlia_replication::group::GroupSettings;
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_replication::membership::MembershipSettings;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_types::{Duration, GroupId, Region, ReplicaId, Zone};

use crate::feed::FeedSettings;
use crate::history::HistorySettings;
use crate::load_sharing::LoadSharingSettings;
use crate::zone_liveness::ZoneLivenessSettings;

/// What a node is told at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// This daemon, in this life.
    pub own: ReplicaId,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// Addresses of daemons to start from.
    pub seeds: Vec<SocketAddr>,
    /// Number of groups in the system.
    pub group_count: u32,
    /// What may be lost at once; the voters of each group follow from it.
    pub tolerance: LossTolerance,
    /// Daemons that must be live before the groups are laid out; none leaves that to `tolerance`.
    pub bootstrap_daemons: Option<u32>,
    /// Whether replicas of groups may be placed on this daemon.
    pub holds_groups: bool,
    /// Which process of this incarnation runs, from 1; 0 where no incarnation outlives its
    /// process.
    pub start_count: u32,
    /// Timing and bounds of replica groups.
    pub group: GroupSettings,
    /// Timing and bounds of membership.
    pub membership: MembershipSettings,
    /// Sharing what few daemons read of an outside source; none where this one does not follow it.
    pub feed: Option<FeedSettings>,
    /// Sharing loads with other daemons; none where this one has no part in it.
    pub load_sharing: Option<LoadSharingSettings>,
    /// Telling cut-off zones from silent daemons; none where nothing is to be made of it.
    pub zone_liveness: Option<ZoneLivenessSettings>,
    /// Keeping tenants' rate limits.
    pub rate_limits: LimitSettings,
    /// Upkeep of groups' members.
    pub maintenance: MaintenanceSettings,
    /// Whether this daemon has a store for bulk history.
    pub has_store: bool,
    /// Bulk history.
    pub history: HistorySettings,
    /// Limits on programs.
    pub limits: ProgramLimits,
    /// Placement.
    pub placement: PlacementSettings,
    /// Which placement policy.
    pub policy: PolicyKind,
    /// Attempts of one call before it is given up.
    pub attempts_per_call: u32,
    /// Longest an attempt may run before it is cancelled.
    pub attempt_limit: Duration,
    /// How long the records of an ended program are kept, for late repeats of its calls.
    pub keep_records: Duration,
    /// How the operators' configuration spreads and is accepted.
    pub configuration: dahlia_configuration::ConfigurationSettings,
    /// Whether the operators' configuration is kept by the daemons. Without it a node serves from
    /// its start, and whatever drives it answers for the configuration.
    pub follows_configuration: bool,
    /// The document that is offered when the system has none; none leaves that to operators.
    pub first_document: Option<String>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Mechanisms removed by tests.
    #[doc(hidden)]
    pub faults: NodeFaults,
}

impl NodeSettings {
    /// The state of a group before its first command.
    pub(crate) fn empty_state(&self, group: GroupId) -> GroupState {
        self.with_faults(GroupState::new(group, self.limits))
    }

    /// Switches off in `state` what a test wants to be off. Switches are part of no snapshot.
    #[cfg(feature = "test-switches")]
    pub(crate) fn with_faults(&self, mut state: GroupState) -> GroupState {
        self.faults.program.iter().for_each(|mechanism| state.disable(*mechanism));
        state
    }

    /// Outside of test builds nothing can be switched off.
    #[cfg(not(feature = "test-switches"))]
    pub(crate) fn with_faults(&self, state: GroupState) -> GroupState {
        state
    }
}

/// Mechanisms removed from a node, so that tests can show that each is needed. All are present by
/// default; settings files cannot name them.
#[doc(hidden)]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeFaults {
    /// Attempts leave for their engine before their intent is durable.
    pub send_before_intent: bool,
    /// A new owner takes interrupted attempts for not run instead of asking about them.
    pub no_enquiry: bool,
    /// Reports of engines that leave are taken as those of serving ones.
    pub ignore_leaving: bool,
    /// Calls are handed to placement before the earlier ones of their chain have ended.
    pub dispatch_waiting: bool,
    /// Mechanisms of the program state that are switched off.
    #[cfg(feature = "test-switches")]
    pub program: Vec<dahlia_program::Mechanism>,
    /// Mechanisms of the configuration that are switched off.
    #[cfg(feature = "test-switches")]
    pub configuration: Vec<dahlia_configuration::Mechanism>,
}
