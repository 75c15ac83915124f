//! Settings of a node.

use std::net::SocketAddr;

use dahlia_limits::LimitSettings;
use dahlia_placement::{PlacementSettings, PolicyKind};
use dahlia_program::{GroupState, ProgramLimits};
use dahlia_replication::group::GroupSettings;
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_replication::membership::MembershipSettings;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_types::{Bytes, Duration, GroupId, Region, ReplicaId, Zone};

use crate::feed::FeedSettings;
use crate::history::HistorySettings;
use crate::load_sharing::LoadSharingSettings;
use crate::zone_liveness::ZoneLivenessSettings;

/// The settings of a node, fixed at its start.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// This daemon and its current incarnation.
    pub own: ReplicaId,
    /// Its zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// The address at which other daemons reach it.
    pub address: SocketAddr,
    /// Addresses of daemons to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Number of groups in the system.
    pub group_count: u32,
    /// The losses to tolerate at the same time, which determine the number of voters of each group.
    pub tolerance: LossTolerance,
    /// Number of daemons that must be live before the groups are laid out; none derives it from
    /// `tolerance`.
    pub bootstrap_daemons: Option<u32>,
    /// Whether replicas of groups may be placed on this daemon.
    pub holds_groups: bool,
    /// Whether no process of this system ran before this one started. One that starts later does not know what happened.
    pub is_first_start: bool,
    /// Number of process starts of this incarnation, from 1; 0 if no incarnation outlives its process.
    pub start_count: u32,
    /// Timing and limits of replica groups.
    pub group: GroupSettings,
    /// Timing and limits of membership.
    pub membership: MembershipSettings,
    /// Sharing of an external source that only a few daemons read; none if this daemon does not follow
    /// it.
    pub feed: Option<FeedSettings>,
    /// Load sharing with other daemons; none if this daemon does not share loads.
    pub load_sharing: Option<LoadSharingSettings>,
    /// Detection of cut-off zones; none if they are not distinguished from silent daemons.
    pub zone_liveness: Option<ZoneLivenessSettings>,
    /// Rate limits of tenants.
    pub rate_limits: LimitSettings,
    /// Maintenance of group members.
    pub maintenance: MaintenanceSettings,
    /// Whether this daemon stores bulk history.
    pub has_store: bool,
    /// Bulk history.
    pub history: HistorySettings,
    /// Limits on programs.
    pub limits: ProgramLimits,
    /// Memory for the texts of the ledgers of all groups here; none if it is not limited. It may differ between
    /// replicas, so the owner applies it to what it proposes.
    pub ledger_memory: Option<Bytes>,
    /// Placement.
    pub placement: PlacementSettings,
    /// The placement policy.
    pub policy: PolicyKind,
    /// Maximum number of attempts per call.
    pub attempts_per_call: u32,
    /// How long an attempt may run before it is cancelled.
    pub attempt_limit: Duration,
    /// How long the records of an ended program are kept, for late retries of its calls.
    pub keep_records: Duration,
    /// Settings for following and changing the operators' configuration.
    pub configuration: dahlia_configuration::ConfigurationSettings,
    /// Whether the daemons keep the operators' configuration. If not, a node serves from its start, and
    /// its driver is responsible for the configuration.
    pub follows_configuration: bool,
    /// The document to propose if the system has none; none leaves that to operators.
    pub first_document: Option<String>,
    /// Seed of all random choices.
    pub seed: u64,
    /// Mechanisms that tests disable.
    #[doc(hidden)]
    pub faults: NodeFaults,
}

impl NodeSettings {
    /// Returns the state of a group before its first command.
    pub(crate) fn empty_state(&self, group: GroupId) -> GroupState {
        self.with_faults(GroupState::new(group, self.limits))
    }

    /// Disables mechanisms in `state` for a test. Snapshots do not contain these switches.
    #[cfg(feature = "test-switches")]
    pub(crate) fn with_faults(&self, mut state: GroupState) -> GroupState {
        self.faults.program.iter().for_each(|mechanism| state.disable(*mechanism));
        state
    }

    /// Returns `state` unchanged: mechanisms can be disabled only in test builds.
    #[cfg(not(feature = "test-switches"))]
    pub(crate) fn with_faults(&self, state: GroupState) -> GroupState {
        state
    }
}

/// Mechanisms disabled in a node, so that tests can show that each is needed. All are enabled by
/// default, and settings files cannot disable them.
#[doc(hidden)]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeFaults {
    /// Attempts are sent to their engine before their intent is durable.
    pub send_before_intent: bool,
    /// A new owner treats interrupted attempts as not run instead of querying the engine.
    pub no_enquiry: bool,
    /// Reports of leaving engines are treated like those of serving engines.
    pub ignore_leaving: bool,
    /// Calls are passed to placement before the earlier calls of their chain have ended.
    pub dispatch_waiting: bool,
    /// Disabled mechanisms of the program state.
    #[cfg(feature = "test-switches")]
    pub program: Vec<dahlia_program::Mechanism>,
    /// Disabled mechanisms of the configuration.
    #[cfg(feature = "test-switches")]
    pub configuration: Vec<dahlia_configuration::Mechanism>,
}
