//! The node's settings, derived from the daemon's.

use std::net::SocketAddr;

use dahlia_node::{NodeFaults, NodeSettings};
use dahlia_program::ProgramLimits;
use dahlia_replication::group::GroupSettings;
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_types::{Duration, ReplicaId};

use crate::clock::Clock;
use crate::first_document::first_document;
use crate::settings::Settings;

/// The settings of the node with the identifier `own`, which is reachable at `address`.
pub(crate) fn node_settings(
    settings: &Settings,
    own: ReplicaId,
    address: SocketAddr,
    clock: Clock,
) -> NodeSettings {
    let is_durable = settings.daemon.data_folder.is_some();
    let maintenance = MaintenanceSettings {
        voters: settings.tolerance.wanted_voters(),
        keeps_lost_voters: is_durable,
        ..settings.maintenance.clone()
    };
    NodeSettings {
        own,
        zone: settings.daemon.zone.clone(),
        region: settings.daemon.region.clone(),
        address,
        seeds: settings.daemon.seeds.clone(),
        group_count: settings.layout.groups,
        tolerance: settings.tolerance,
        bootstrap_daemons: settings.layout.bootstrap_daemons,
        holds_groups: settings.daemon.holds_groups,
        is_first_start: settings.daemon.first_start.unwrap_or(true),
        start_count: 0,
        group: GroupSettings { is_durable, ..settings.groups.clone() },
        has_store: settings.daemon.data_folder.is_some(),
        history: settings.history.clone(),
        membership: settings.membership.clone(),
        feed: settings.feed.clone(),
        load_sharing: settings.load_sharing.clone(),
        zone_liveness: settings.zone_liveness.clone(),
        rate_limits: settings.rate_limits.clone(),
        maintenance,
        limits: ProgramLimits::default(),
        ledger_memory: settings.machine.ledger_memory(),
        placement: settings.placement.clone(),
        policy: settings.policy,
        attempts_per_call: settings.calls.attempts,
        attempt_limit: Duration::from_millis(settings.calls.attempt_limit_ms),
        keep_records: Duration::from_millis(settings.calls.keep_records_ms),
        configuration: settings.configuration.clone(),
        follows_configuration: true,
        first_document: first_document(&settings.platform.engines),
        // The seed depends on the process and not on the replica, whose identifier may outlive it.
        seed: clock.incarnation().0 ^ (u64::from(own.daemon.0) << 40),
        faults: NodeFaults::default(),
    }
}
