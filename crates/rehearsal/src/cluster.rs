//! Starts the stand-ins and daemons of one rehearsal as child processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dahlia_adapters::{ClientSettings, EngineClient, EngineEndpoint};
use dahlia_api::RequestLimits;
use dahlia_daemon::logging::LogSettings;
use dahlia_daemon::settings::{
    CallsSettings, CredentialSettings, DaemonSettings, EngineSettings, LayoutSettings,
    PlatformSettings, Settings,
};
use dahlia_durable::DurableSettings;
use dahlia_node::HistorySettings;
use dahlia_placement::{PlacementSettings, PolicyKind};
use dahlia_replication::group::GroupSettings;
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_replication::membership::MembershipSettings;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_store::StoreSettings;
use dahlia_types::{DaemonId, EngineId, ModelId, ProgramId, Region, TenantId, TenantKey, Zone};
use reqwest::Client;
use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use crate::RehearsalError;
use crate::error::FileSnafu;
use crate::processes::ChildProcess;

/// The key that signs tenants' credentials in rehearsals.
const TENANT_KEY: &str = "rehearsal-tenant-key";
/// The operators' token in rehearsals.
pub const OPERATOR_TOKEN: &str = "rehearsal-operator-token";
const PEER_KEY: &str = "rehearsal-peer-key";
const DRAIN_MS: u64 = 20_000;
/// Up to this number of daemons, a generation spreads within [`SMALL_CLUSTER_SPREAD_TIME`].
const SMALL_CLUSTER_DAEMONS: u32 = 16;
const SMALL_CLUSTER_SPREAD_TIME: dahlia_types::Duration = dahlia_types::Duration::from_secs(1);
/// Timeout for a cluster to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The processes of a cluster and their settings.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// Region of all zones.
    pub region: String,
    /// Zone of each daemon, in the order of their numbers.
    pub daemon_zones: Vec<String>,
    /// Zone of each engine.
    pub engine_zones: Vec<String>,
    /// The model that all engines serve.
    pub model: String,
    /// How much faster than real the engines' clocks run.
    pub speed: f64,
    /// Number of replica groups.
    pub groups: u32,
    /// Voters of each group.
    pub voters: u32,
    /// Daemons that must be live before the groups are laid out.
    pub bootstrap_daemons: u32,
    /// Requests a second that the key-value service takes.
    pub key_value_rate: u64,
    /// Placement policy.
    pub policy: PolicyKind,
    /// Level of the daemons' logs.
    pub log_level: String,
    /// The number of daemons that have a data folder, counted from the first.
    pub data_folders: usize,
    /// Bulk history.
    pub history: HistorySettings,
}

impl ClusterPlan {
    /// Bayou Current's four zones with one daemon each, and eight engines (BRIEF, sizes of today).
    pub fn bayou_current() -> Self {
        let zones = ["hall-a", "hall-b", "hall-c", "hall-d"].map(str::to_owned);
        Self {
            region: "gulf-south".to_owned(),
            daemon_zones: zones.to_vec(),
            engine_zones: zones.iter().cycle().take(8).cloned().collect(),
            model: "agent-llm".to_owned(),
            speed: 4.0,
            groups: 8,
            voters: 3,
            bootstrap_daemons: 4,
            key_value_rate: 200,
            policy: PolicyKind::ProgramAware,
            log_level: "info".to_owned(),
            data_folders: 3,
            history: HistorySettings { inline_bytes: 256, ..HistorySettings::default() },
        }
    }
}

impl ClusterPlan {
    /// Returns the plan with at least `count` daemons, more of them in the first zones.
    pub fn with_daemons(mut self, count: usize) -> Self {
        let zones = self.daemon_zones.clone();
        let missing = count.saturating_sub(zones.len());
        self.daemon_zones.extend(zones.into_iter().cycle().take(missing));
        self.bootstrap_daemons = self.daemon_zones.len() as u32;
        self
    }
}

/// A daemon's process and addresses.
pub struct DaemonProcess {
    /// The process; `None` after it was killed.
    pub process: Option<ChildProcess>,
    /// `d1`, `d2` …
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where callers connect.
    pub gateway_address: SocketAddr,
    /// Where operators connect.
    pub operators_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
}

/// An engine's process and address.
pub struct EngineProcess {
    /// The process.
    pub process: ChildProcess,
    /// The engine.
    pub id: EngineId,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub address: SocketAddr,
}

/// The running processes of a rehearsal.
pub struct Cluster {
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The engines.
    pub engines: Vec<EngineProcess>,
    /// The plan it was started from.
    pub plan: ClusterPlan,
    folder: PathBuf,
    key_value_address: SocketAddr,
    #[allow(dead_code)]
    key_value: ChildProcess,
}

impl Cluster {
    /// Starts the stand-ins, then the daemons. Files go to `folder`.
    ///
    /// # Errors
    /// [`RehearsalError`] when a process does not start.
    pub async fn start(plan: ClusterPlan, folder: &Path) -> Result<Self, RehearsalError> {
        let text = format!("standin kv --control --requests-per-second {}", plan.key_value_rate);
        let arguments = split_arguments(&text);
        let (key_value, line) = ChildProcess::start("kv", &arguments, folder).await?;
        let key_value_address = parse_address("kv", &line, "listening ")?;
        let mut engines = Vec::new();
        for (index, zone) in plan.engine_zones.iter().enumerate() {
            let id = format!("engine-{}", index + 1);
            let text = format!(
                "standin engine --control --engine {id} --model {} --speed {}",
                plan.model, plan.speed
            );
            let (process, line) = ChildProcess::start(&id, &split_arguments(&text), folder).await?;
            let address = parse_address(&id, &line, "listening ")?;
            engines.push(EngineProcess {
                process,
                id: EngineId::new(id),
                zone: zone.clone(),
                address,
            });
        }
        let mut cluster = Self {
            daemons: Vec::new(),
            engines,
            plan,
            folder: folder.to_owned(),
            key_value_address,
            key_value,
        };
        for index in 0..cluster.plan.daemon_zones.len() {
            let daemon = cluster.start_daemon(index).await?;
            cluster.daemons.push(daemon);
        }
        Ok(cluster)
    }

    /// Starts the daemon with this index; also restarts it after it was killed.
    ///
    /// # Errors
    /// [`RehearsalError`] when it does not start.
    pub async fn start_daemon(&self, index: usize) -> Result<DaemonProcess, RehearsalError> {
        let name = format!("d{}", index + 1);
        let zone = self.plan.daemon_zones[index].clone();
        let path = self.folder.join(format!("{name}.toml"));
        let settings = self.build_settings(index, &zone);
        let text = toml::to_string(&settings).map_err(|error| RehearsalError::Failed {
            message: format!("writing settings as TOML: {error}"),
        })?;
        std::fs::write(&path, text).context(FileSnafu { path: &path })?;
        let arguments =
            vec!["daemon".to_owned(), "--settings".to_owned(), path.display().to_string()];
        let (process, line) = ChildProcess::start(&name, &arguments, &self.folder).await?;
        Ok(DaemonProcess {
            process: Some(process),
            zone,
            gateway_address: parse_address(&name, &line, "gateway=")?,
            operators_address: parse_address(&name, &line, "operators=")?,
            peer_address: parse_address(&name, &line, "peers=")?,
            name,
        })
    }

    fn build_settings(&self, index: usize, zone: &str) -> Settings {
        let engines = self.engines.iter().map(|engine| EngineSettings {
            id: engine.id.clone(),
            address: engine.address,
            zone: Zone::new(&engine.zone),
            models: vec![ModelId::new(&self.plan.model)],
        });
        let plan = CommonSettings {
            key_value: Some(self.key_value_address),
            engines: engines.collect(),
            groups: self.plan.groups,
            voters: self.plan.voters,
            bootstrap_daemons: self.plan.bootstrap_daemons,
            policy: self.plan.policy,
            log_level: self.plan.log_level.clone(),
            history: self.plan.history.clone(),
            data_folder: (index < self.plan.data_folders)
                .then(|| self.folder.join(format!("data-d{}", index + 1))),
        };
        let seeds = self.daemons.iter().map(|daemon| daemon.peer_address).collect();
        build_daemon_settings(&plan, index as u32 + 1, &self.plan.region, zone, seeds)
    }

    /// Where the key-value service listens.
    pub fn key_value_address(&self) -> SocketAddr {
        self.key_value_address
    }

    /// Waits until every daemon that runs can route calls, and every group has an owner.
    ///
    /// # Errors
    /// [`RehearsalError::NotReady`] after [`READY_TIMEOUT`].
    pub async fn wait_until_ready(&self) -> Result<(), RehearsalError> {
        let client = Client::new();
        let started = Instant::now();
        loop {
            let mut led_groups = 0;
            let mut ready = 0;
            for daemon in &self.daemons {
                let status = read_status(&client, daemon.gateway_address).await;
                led_groups += status["groups_led"].as_u64().unwrap_or(0);
                let engines = status["live_engines"].as_u64().unwrap_or(0);
                let is_ready = status["ready"].as_bool().unwrap_or(false);
                ready += usize::from(is_ready && engines == self.engines.len() as u64);
            }
            if ready == self.daemons.len() && led_groups == u64::from(self.plan.groups) {
                return Ok(());
            }
            if started.elapsed() > READY_TIMEOUT {
                let reason = format!("{ready} daemons ready, {led_groups} groups with an owner");
                return Err(RehearsalError::NotReady { name: "the cluster".to_owned(), reason });
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Kills a daemon by name.
    ///
    /// # Errors
    /// [`RehearsalError`] when there is no such daemon or it cannot be killed.
    pub async fn kill_daemon(&mut self, name: &str) -> Result<(), RehearsalError> {
        let found = self.daemons.iter_mut().find(|daemon| daemon.name == name);
        let process = found.and_then(|daemon| daemon.process.take());
        match process {
            Some(mut process) => process.kill().await,
            None => {
                let message = format!("there is no running daemon {name}");
                Err(RehearsalError::Failed { message })
            }
        }
    }

    /// Gateway addresses of all daemons. Killed ones are included, since callers do not know which
    /// daemons run.
    pub fn gateway_addresses(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.gateway_address).collect()
    }

    /// Operator API addresses of the running daemons.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter(|daemon| daemon.process.is_some());
        running.map(|daemon| daemon.operators_address).collect()
    }

    /// Issues the credential of a tenant.
    pub fn issue_credential(&self, tenant: &str) -> String {
        TenantKey::new(TENANT_KEY.as_bytes()).issue(&TenantId::new(tenant))
    }

    /// Reads from the engines' inventories how many tokens they hold for a program.
    ///
    /// # Errors
    /// [`RehearsalError::Failed`] when an engine does not answer.
    pub async fn read_held_tokens(&self, program: ProgramId) -> Result<u64, RehearsalError> {
        let mut tokens = 0;
        for engine in &self.engines {
            let endpoint =
                EngineEndpoint { engine: engine.id.clone(), address: engine.address.to_string() };
            let client = EngineClient::new(endpoint, ClientSettings::default());
            let inventory = client.inventory().await;
            let inventory = inventory.map_err(|error| RehearsalError::Failed {
                message: format!("reading the inventory of {}: {error}", engine.id),
            })?;
            let entries = inventory.entries.iter().filter(|entry| entry.program == program);
            tokens += entries.map(|entry| entry.tokens.0).sum::<u64>();
        }
        Ok(tokens)
    }
}

/// The settings that all daemons of a rehearsal share.
#[derive(Debug, Clone)]
pub struct CommonSettings {
    /// The key-value service.
    pub key_value: Option<SocketAddr>,
    /// The engines.
    pub engines: Vec<EngineSettings>,
    /// Number of replica groups.
    pub groups: u32,
    /// Voters of each group.
    pub voters: u32,
    /// Daemons that must be live before the groups are laid out.
    pub bootstrap_daemons: u32,
    /// Placement policy.
    pub policy: PolicyKind,
    /// Level of the logs.
    pub log_level: String,
    /// Bulk history.
    pub history: HistorySettings,
    /// The data folder, on machines that have a disk.
    pub data_folder: Option<PathBuf>,
}

impl Default for CommonSettings {
    fn default() -> Self {
        Self {
            key_value: None,
            engines: Vec::new(),
            groups: 8,
            voters: 3,
            bootstrap_daemons: 3,
            policy: PolicyKind::ProgramAware,
            log_level: "info".to_owned(),
            history: HistorySettings::default(),
            data_folder: None,
        }
    }
}

/// Builds the settings of one daemon; the operating system assigns its ports.
pub fn build_daemon_settings(
    plan: &CommonSettings,
    id: u32,
    region: &str,
    zone: &str,
    seeds: Vec<SocketAddr>,
) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        daemon: DaemonSettings {
            id: DaemonId(id),
            zone: Zone::new(zone),
            region: Region::new(region),
            peer_address: any_port,
            gateway_address: any_port,
            operators_address: any_port,
            seeds,
            data_folder: plan.data_folder.clone(),
            holds_groups: true,
            first_start: None,
            drain_ms: DRAIN_MS,
        },
        credentials: CredentialSettings {
            tenant_key: TENANT_KEY.to_owned(),
            operator_token: OPERATOR_TOKEN.to_owned(),
            peer_key: PEER_KEY.to_owned(),
        },
        platform: PlatformSettings {
            key_value: plan.key_value,
            engines: plan.engines.clone(),
            ..PlatformSettings::default()
        },
        configuration: build_configuration_settings(plan.bootstrap_daemons),
        limits: RequestLimits::default(),
        machine: Default::default(),
        zone_liveness: None,
        ledger_breaker: Default::default(),
        turn_away: Default::default(),
        tolerance: LossTolerance::of_machines(plan.voters.saturating_sub(1) / 2),
        layout: LayoutSettings {
            groups: plan.groups,
            bootstrap_daemons: Some(plan.bootstrap_daemons),
        },
        groups: GroupSettings::default(),
        history: plan.history.clone(),
        store: StoreSettings::default(),
        durable: DurableSettings::default(),
        membership: MembershipSettings::default(),
        feed: None,
        load_sharing: None,
        rate_limits: Default::default(),
        maintenance: MaintenanceSettings::default(),
        calls: CallsSettings::default(),
        policy: plan.policy,
        placement: PlacementSettings::default(),
        log: LogSettings { level: plan.log_level.clone(), ..LogSettings::default() },
    }
}

/// A generation spreads among a few daemons in one round; many daemons need the default time.
fn build_configuration_settings(daemons: u32) -> dahlia_configuration::ConfigurationSettings {
    let mut settings = dahlia_configuration::ConfigurationSettings::default();
    if daemons <= SMALL_CLUSTER_DAEMONS {
        settings.spread_within = SMALL_CLUSTER_SPREAD_TIME;
    }
    settings
}

/// Reads the status that a daemon reports; null when it does not answer.
pub(crate) async fn read_status(client: &Client, gateway: SocketAddr) -> serde_json::Value {
    let answer = client.get(format!("http://{gateway}/readyz")).send().await;
    match answer {
        Ok(answer) => answer.json().await.unwrap_or_default(),
        Err(_) => serde_json::Value::Null,
    }
}

fn split_arguments(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

/// Parses the address after `label` in the line with which a process announces that it is ready.
fn parse_address(name: &str, line: &str, label: &str) -> Result<SocketAddr, RehearsalError> {
    let found =
        line.split_once(label).and_then(|(_, rest)| rest.split_whitespace().next()?.parse().ok());
    found.ok_or_else(|| RehearsalError::NotReady {
        name: name.to_owned(),
        reason: format!("it printed {line:?}"),
    })
}
