//! Settings of virtual daemons and engines: those of real ones, with shorter limits.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use dahlia_configuration::{Document, EngineEntry, EngineRole, ModelEntry};
use dahlia_engine_model::EngineParameters;
use dahlia_node::{HistorySettings, NodeFaults, NodeSettings};
use dahlia_placement::{PlacementSettings, PolicyKind};
use dahlia_program::ProgramLimits;
use dahlia_replication::group::GroupSettings;
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_replication::membership::MembershipSettings;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_types::{
    DaemonId, Duration, EngineId, Incarnation, ModelId, Region, ReplicaId, Timestamp, Tokens, Zone,
};

use crate::switches::{Switch, Switches};
use crate::trace::Deployment;

/// The beginning of virtual time. Not zero: zero stands for "never" in some places.
pub(crate) const ORIGIN: Timestamp = Timestamp(3_600_000_000);
/// The model that all programs use.
pub(crate) const MODEL: &str = "agent-8b/base@1";
/// Port of each virtual daemon; its number is in the address.
const PORT: u16 = 7_000;
/// Records outlive a run: late repeats find their calls.
const KEEP_RECORDS: Duration = Duration::from_secs(3_600);
const ATTEMPTS_PER_CALL: u32 = 5;

/// Where a daemon listens.
pub(crate) fn address_of(daemon: DaemonId) -> SocketAddr {
    let [_, _, high, low] = daemon.0.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), PORT)
}

/// The daemon that listens at an address.
pub(crate) fn daemon_at(address: SocketAddr) -> Option<DaemonId> {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            Some(DaemonId(u32::from_be_bytes([0, 0, high, low])))
        }
        IpAddr::V6(_) => None,
    }
}

/// An engine's name.
pub(crate) fn engine_name(engine: u32) -> EngineId {
    EngineId::new(format!("e{engine}"))
}

/// An engine's number from its name.
pub(crate) fn engine_number(engine: &EngineId) -> Option<u32> {
    engine.as_str().strip_prefix('e')?.parse().ok()
}

/// The model's identifier.
pub(crate) fn model() -> ModelId {
    ModelId::new(MODEL)
}

/// The zone of the process with this number.
pub(crate) fn zone_index(deployment: &Deployment, number: u32) -> usize {
    (number.saturating_sub(1) as usize) % deployment.zones.len().max(1)
}

pub(crate) fn node_settings(
    deployment: &Deployment,
    switches: &Switches,
    daemon: DaemonId,
    incarnation: Incarnation,
    seed: u64,
) -> NodeSettings {
    let zone = &deployment.zones[zone_index(deployment, daemon.0)];
    let seeds = (1..=deployment.daemons.min(3)).map(|number| address_of(DaemonId(number)));
    NodeSettings {
        own: ReplicaId { daemon, incarnation },
        zone: Zone::new(zone.clone()),
        region: Region::new("gulf-south"),
        address: address_of(daemon),
        seeds: seeds.collect(),
        group_count: deployment.groups,
        tolerance: LossTolerance::of_machines(deployment.replicas.saturating_sub(1) / 2),
        bootstrap_daemons: Some(deployment.daemons),
        holds_groups: true,
        is_first_start: true,
        start_count: 0,
        group: group_settings(switches),
        membership: MembershipSettings::default(),
        feed: None,
        load_sharing: None,
        zone_liveness: None,
        rate_limits: Default::default(),
        maintenance: MaintenanceSettings {
            voters: deployment.replicas as usize,
            ..MaintenanceSettings::default()
        },
        has_store: false,
        history: HistorySettings::default(),
        limits: ProgramLimits::default(),
        ledger_memory: None,
        placement: PlacementSettings::default(),
        policy: PolicyKind::default(),
        attempts_per_call: ATTEMPTS_PER_CALL,
        attempt_limit: deployment.attempt_limit,
        keep_records: KEEP_RECORDS,
        configuration: dahlia_configuration::ConfigurationSettings::default(),
        follows_configuration: true,
        first_document: Some(document(deployment, FIRST_OPEN_CALLS)),
        seed,
        faults: node_faults(switches),
    }
}

fn group_settings(switches: &Switches) -> GroupSettings {
    let mut settings = GroupSettings::default();
    settings.faults.short_quorum = !switches.is_on(Switch::QuorumAcknowledgement);
    settings.faults.no_log_comparison = !switches.is_on(Switch::LogComparison);
    settings
}

fn node_faults(switches: &Switches) -> NodeFaults {
    NodeFaults {
        send_before_intent: !switches.is_on(Switch::IntentBeforeSend),
        no_enquiry: !switches.is_on(Switch::Enquiry),
        ignore_leaving: !switches.is_on(Switch::LeavingReports),
        dispatch_waiting: !switches.is_on(Switch::OrderGate),
        #[cfg(feature = "test-switches")]
        program: program_mechanisms(switches),
        #[cfg(feature = "test-switches")]
        configuration: configuration_mechanisms(switches),
    }
}

#[cfg(feature = "test-switches")]
fn program_mechanisms(switches: &Switches) -> Vec<dahlia_program::Mechanism> {
    use dahlia_program::Mechanism;
    let pairs = [
        (Switch::OrderGate, Mechanism::OrderGate),
        (Switch::Reservation, Mechanism::Reservation),
        (Switch::Obligation, Mechanism::Obligation),
        (Switch::NotRunRule, Mechanism::NotRunRule),
        (Switch::AtMostOnce, Mechanism::AtMostOnce),
    ];
    let off = pairs.into_iter().filter(|(switch, _)| !switches.is_on(*switch));
    off.map(|(_, mechanism)| mechanism).collect()
}

#[cfg(feature = "test-switches")]
fn configuration_mechanisms(switches: &Switches) -> Vec<dahlia_configuration::Mechanism> {
    use dahlia_configuration::Mechanism;
    let pairs = [
        (Switch::GenerationCheck, Mechanism::GenerationCheck),
        (Switch::AskPeers, Mechanism::AskPeers),
        (Switch::SpreadWait, Mechanism::SpreadWait),
    ];
    let off = pairs.into_iter().filter(|(switch, _)| !switches.is_on(*switch));
    off.map(|(_, mechanism)| mechanism).collect()
}

/// Open calls that each tenant may have by the first document; changes set other numbers.
const FIRST_OPEN_CALLS: u32 = 1_000;

/// A configuration that names every engine; documents differ by one limit.
pub(crate) fn document(deployment: &Deployment, open_calls: u32) -> String {
    let mut document = Document::default();
    document.tenant_defaults.open_calls = open_calls;
    let engines = (1..=deployment.engines).map(engine_name);
    for number in 1..=deployment.engines {
        let zone = &deployment.zones[zone_index(deployment, number)];
        let entry = EngineEntry {
            role: EngineRole::Serving,
            slots: 1,
            // Virtual engines have no address; it tells daemons only that the engine is there.
            address: Some(address_of(DaemonId(number))),
            zone: Some(Zone::new(zone.clone())),
        };
        document.engines.insert(engine_name(number), entry);
    }
    let entry = ModelEntry {
        base: MODEL.split('@').next().unwrap_or_default().to_owned(),
        adapter: None,
        version: "1".to_owned(),
        engines: engines.collect(),
        least_serving: 1,
        weight_bytes: 0,
    };
    document.models.insert(model(), entry);
    document.to_text()
}

/// A small engine: its memory fills in a run of seconds.
pub(crate) fn engine_parameters(deployment: &Deployment) -> EngineParameters {
    EngineParameters {
        kv_capacity: Tokens(deployment.cache),
        max_batch: deployment.batch,
        step_jitter: 0.2,
        ..EngineParameters::default()
    }
}
