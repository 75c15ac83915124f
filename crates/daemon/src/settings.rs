//! The settings file of a daemon (TOML), checked as a whole before anything starts.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use dahlia_api::RequestLimits;
use dahlia_durable::DurableSettings;
use dahlia_limits::LimitSettings;
use dahlia_node::{FeedSettings, HistorySettings, LoadSharingSettings, ZoneLivenessSettings};
use dahlia_replication::group::GroupSettings;
use dahlia_replication::maintenance::MaintenanceSettings;
use dahlia_replication::membership::MembershipSettings;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_store::StoreSettings;
use dahlia_types::{Bytes, DaemonId, EngineId, InvalidSetting, ModelId, Region, Zone, check_range};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::first_document::first_document;
use crate::ledger_breaker::LedgerBreakerSettings;
use crate::logging::LogSettings;
use crate::turn_away::TurnAwaySettings;

/// All settings of one daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity and addresses.
    pub daemon: DaemonSettings,
    /// Keys and tokens.
    pub credentials: CredentialSettings,
    /// Addresses of the platform's services.
    #[serde(default)]
    pub platform: PlatformSettings,
    /// Acceptance and distribution of the operators' configuration.
    #[serde(default)]
    pub configuration: dahlia_configuration::ConfigurationSettings,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: RequestLimits,
    /// What the machine gives this process.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Simultaneous losses to tolerate. They determine the voters of each replica group.
    #[serde(default)]
    pub tolerance: LossTolerance,
    /// The first layout of replica groups.
    #[serde(default)]
    pub layout: LayoutSettings,
    /// Timing and bounds of replica groups.
    #[serde(default)]
    pub groups: GroupSettings,
    /// How owners store bulk history.
    #[serde(default)]
    pub history: HistorySettings,
    /// The store under `daemon.data_folder`, if there is one.
    #[serde(default)]
    pub store: StoreSettings,
    /// The log of replica groups under `daemon.data_folder`, if there is one.
    #[serde(default)]
    pub durable: DurableSettings,
    /// Timing and bounds of membership.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Sharing of an external source that a few daemons read. Absent where no source is followed.
    #[serde(default)]
    pub feed: Option<FeedSettings>,
    /// Sharing of server loads with other daemons. Absent where this one takes no part.
    #[serde(default)]
    pub load_sharing: Option<LoadSharingSettings>,
    /// Distinguishing cut-off zones from unresponsive daemons. Absent where this is not used.
    pub zone_liveness: Option<ZoneLivenessSettings>,
    /// Enforcing tenants' rate limits across all gateways.
    #[serde(default)]
    pub rate_limits: LimitSettings,
    /// Maintenance of groups' members. `voters` and `keeps_lost_voters` are computed.
    #[serde(default)]
    pub maintenance: MaintenanceSettings,
    /// The circuit breaker for groups whose ledger does not answer.
    #[serde(default)]
    pub ledger_breaker: LedgerBreakerSettings,
    /// Refusing callers while this daemon is cut off.
    #[serde(default)]
    pub turn_away: TurnAwaySettings,
    /// Calls and their attempts.
    #[serde(default)]
    pub calls: CallsSettings,
    /// Placement policy: `program-aware`, or a baseline for comparison.
    #[serde(default)]
    pub policy: dahlia_placement::PolicyKind,
    /// Placement of calls.
    #[serde(default)]
    pub placement: dahlia_placement::PlacementSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Identity and addresses.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Number of this daemon. Unique in the system, and the same after a restart.
    pub id: DaemonId,
    /// Zone, e.g. `hall-a`.
    pub zone: Zone,
    /// Region, e.g. `gulf-south`.
    pub region: Region,
    /// Where other daemons connect. Must be reachable by IP number as written here.
    pub peer_address: SocketAddr,
    /// Where callers connect (HTTP).
    pub gateway_address: SocketAddr,
    /// Where operators connect (RPC).
    pub operators_address: SocketAddr,
    /// Peer addresses of daemons to contact first. May include this one.
    pub seeds: Vec<SocketAddr>,
    /// Folder for bulk data. Absent on machines that store nothing.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Whether replicas of groups may be placed here. A daemon without replicas can still reach their
    /// owners.
    #[serde(default = "default_holds_groups")]
    pub holds_groups: bool,
    /// Whether the whole system starts for the first time; none if that is not known. The driver sets it: a daemon that starts
    /// again learns from others which software versions served before.
    #[serde(skip)]
    pub first_start: Option<bool>,
    /// Milliseconds that a planned stop may take before remaining requests are aborted.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
}

fn default_holds_groups() -> bool {
    true
}

fn default_drain() -> u64 {
    60_000
}

/// Keys and tokens. The same on every daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialSettings {
    /// Key that signs tenants' credentials; at least 16 characters.
    pub tenant_key: String,
    /// Bearer token of the operators' side; at least 16 characters.
    pub operator_token: String,
    /// Key that daemons prove to each other; at least 16 characters.
    pub peer_key: String,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// The key-value service, `host:port`.
    pub key_value: Option<SocketAddr>,
    /// The list of machines, `host:port`.
    pub machines: Option<SocketAddr>,
    /// The weight store, `host:port`.
    pub weights: Option<SocketAddr>,
    /// The model engines that the system's first configuration names. Not read once a
    /// configuration exists.
    pub engines: Vec<EngineSettings>,
    /// Tool and application services.
    pub tools: Vec<ToolSettings>,
}

/// One model engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Its identifier.
    pub id: EngineId,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Models, adapters and versions that it serves.
    pub models: Vec<ModelId>,
}

/// One tool or application service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolSettings {
    /// The name that callers use.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// The first layout of replica groups; read once, when the first daemons lay them out.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LayoutSettings {
    /// Number of groups in the system.
    pub groups: u32,
    /// Daemons that must be live before the groups are laid out. If absent, as many as `tolerance` needs,
    /// or those present once no further daemon has joined for 3 s.
    pub bootstrap_daemons: Option<u32>,
}

impl Default for LayoutSettings {
    fn default() -> Self {
        Self { groups: 8, bootstrap_daemons: None }
    }
}

/// What the machine gives this process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MachineSettings {
    /// Megabytes of memory that the process may use; absent: nothing is derived from it.
    pub memory_mb: Option<u64>,
    /// The share of the memory that the texts of kept turns may take, over all groups of this daemon.
    pub ledger_share: f64,
}

impl Default for MachineSettings {
    fn default() -> Self {
        Self { memory_mb: None, ledger_share: 0.65 }
    }
}

impl MachineSettings {
    /// The memory for the texts of kept turns; none if it is not limited.
    pub fn ledger_memory(&self) -> Option<Bytes> {
        const BYTES_PER_MB: f64 = 1_048_576.0;
        let share = |memory_mb: u64| memory_mb as f64 * BYTES_PER_MB * self.ledger_share;
        self.memory_mb.map(|memory_mb| Bytes(share(memory_mb) as u64))
    }

    fn check(&self) -> Result<(), InvalidSetting> {
        if let Some(memory_mb) = self.memory_mb {
            check_range("machine.memory_mb", memory_mb, 16, 1 << 20)?;
        }
        check_range("machine.ledger_share", self.ledger_share, 0.01, 0.8)
    }
}

/// Calls and their attempts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallsSettings {
    /// Most attempts of one call.
    pub attempts: u32,
    /// Milliseconds that an attempt may run before it is cancelled.
    pub attempt_limit_ms: u64,
    /// Milliseconds that the records of an ended program are kept for late repeats of its calls.
    pub keep_records_ms: u64,
}

impl Default for CallsSettings {
    fn default() -> Self {
        Self { attempts: 5, attempt_limit_ms: 600_000, keep_records_ms: 3_600_000 }
    }
}

impl CallsSettings {
    fn check(&self) -> Result<(), InvalidSetting> {
        check_range("calls.attempts", self.attempts, 1, 100)?;
        check_range("calls.attempt_limit_ms", self.attempt_limit_ms, 100, 86_400_000)?;
        check_range("calls.keep_records_ms", self.keep_records_ms, 0, 30 * 86_400_000)
    }
}

/// Why settings were rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file could not be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The text is not TOML, or a field is missing, unknown or of the wrong type.
    #[snafu(display("{}: {message}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Names line, field and what is expected.
        message: String,
    },
    /// A value is out of its bounds.
    #[snafu(display("{}: {source}", path.display()))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The field, its value and what is allowed.
        source: InvalidSetting,
    },
}

/// Reads and checks a settings file.
///
/// # Errors
/// [`SettingsError`] naming the file, the field, the value and what is allowed.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let settings: Settings = toml::from_str(&text)
        .map_err(|error| SettingsError::Parse { path: path.into(), message: error.to_string() })?;
    settings.check().context(InvalidSnafu { path })?;
    Ok(settings)
}

/// Shortest key or token, in bytes.
const MIN_SECRET_BYTES: usize = 16;

impl Settings {
    /// Checks every field that has bounds.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the first one out of its bounds.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_text("daemon.zone", self.daemon.zone.as_str())?;
        check_text("daemon.region", self.daemon.region.as_str())?;
        check_range("daemon.id", self.daemon.id.0, 1, u32::MAX)?;
        check_range("daemon.drain_ms", self.daemon.drain_ms, 100, 3_600_000)?;
        check_secret("credentials.tenant_key", &self.credentials.tenant_key)?;
        check_secret("credentials.operator_token", &self.credentials.operator_token)?;
        check_secret("credentials.peer_key", &self.credentials.peer_key)?;
        self.check_engines()?;
        self.configuration.check()?;
        self.limits.check()?;
        self.machine.check()?;
        self.tolerance.check()?;
        self.layout.check()?;
        self.groups.check()?;
        self.history.check()?;
        self.store.check()?;
        self.durable.check()?;
        self.membership.check()?;
        self.feed.as_ref().map_or(Ok(()), FeedSettings::check)?;
        self.load_sharing.as_ref().map_or(Ok(()), LoadSharingSettings::check)?;
        self.zone_liveness.as_ref().map_or(Ok(()), ZoneLivenessSettings::check)?;
        self.rate_limits.check()?;
        self.maintenance.check()?;
        self.ledger_breaker.check()?;
        self.turn_away.check()?;
        self.calls.check()?;
        self.placement.check()?;
        self.log.check()
    }
}

impl Settings {
    /// Checks that the engines produce a valid first document.
    fn check_engines(&self) -> Result<(), InvalidSetting> {
        let engines = &self.platform.engines;
        let document = first_document(engines)
            .map_or(Ok(()), |text| dahlia_configuration::Document::parse(&text).map(drop));
        document.map_err(|error| InvalidSetting {
            field: "platform.engines".to_owned(),
            value: format!("{} engines", engines.len()),
            allowed: format!("engines that make a valid first document: {error}"),
        })
    }
}

impl LayoutSettings {
    fn check(&self) -> Result<(), InvalidSetting> {
        check_range("layout.groups", self.groups, 1, 100_000)?;
        let daemons = self.bootstrap_daemons.unwrap_or(1);
        check_range("layout.bootstrap_daemons", daemons, 1, 10_000)
    }
}

fn check_text(field: &str, text: &str) -> Result<(), InvalidSetting> {
    let plain = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if !text.is_empty() && text.len() <= 64 && text.chars().all(plain) {
        return Ok(());
    }
    Err(InvalidSetting {
        field: field.to_owned(),
        value: format!("{text:?}"),
        allowed: "1 to 64 letters, digits, '-', '_' or '.'".to_owned(),
    })
}

fn check_secret(field: &str, secret: &str) -> Result<(), InvalidSetting> {
    if secret.len() >= MIN_SECRET_BYTES {
        return Ok(());
    }
    Err(InvalidSetting {
        field: field.to_owned(),
        value: format!("{} characters long", secret.len()),
        allowed: format!("at least {MIN_SECRET_BYTES} characters"),
    })
}
