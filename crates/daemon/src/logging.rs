//! Logs: one line per event, `time level part: sentence`. The part is the `log` target.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::SystemTime;

use dahlia_types::InvalidSetting;
use log::LevelFilter;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

/// The parts of a daemon that log; each is a prefix of its lines.
pub mod part {
    /// Start, stop and assembly.
    pub const DAEMON: &str = "daemon";
    /// Callers' HTTP.
    pub const GATEWAY: &str = "gateway";
    /// Operators' RPC.
    pub const OPERATORS: &str = "operators";
    /// Connections between daemons.
    pub const PEERS: &str = "peers";
    /// Model engines.
    pub const ENGINES: &str = "engines";
    /// The data folder.
    pub const STORE: &str = "store";
    /// The key-value service and the configuration.
    pub const CONFIGURATION: &str = "configuration";
}

/// Where logs go and how much is said.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Another level for single parts, e.g. `peers = "debug"`.
    pub parts: BTreeMap<String, String>,
    /// A file to append to; absent means standard error.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), parts: BTreeMap::new(), file: None }
    }
}

impl LogSettings {
    /// Checks the names of all levels.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the field with an unknown level.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        parse_level("log.level", &self.level)?;
        for (part, level) in &self.parts {
            parse_level(&format!("log.parts.{part}"), level)?;
        }
        Ok(())
    }
}

/// Why logging could not be set up.
#[derive(Debug, Snafu)]
pub enum LoggingError {
    /// A level's name is unknown.
    #[snafu(display("{source}"))]
    Level {
        /// The field.
        source: InvalidSetting,
    },
    /// The log file could not be opened.
    #[snafu(display("opening the log file {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A logger is installed already.
    #[snafu(display("installing the logger: {source}"))]
    Install {
        /// Cause.
        source: log::SetLoggerError,
    },
}

/// Installs the process's logger.
///
/// # Errors
/// [`LoggingError`] when a level is unknown, the file cannot be opened or a logger exists.
pub fn install(settings: &LogSettings) -> Result<(), LoggingError> {
    let level = parse_level("log.level", &settings.level).context(LevelSnafu)?;
    let mut dispatch = fern::Dispatch::new().level(level).format(|out, message, record| {
        let time = humantime(SystemTime::now());
        out.finish(format_args!("{time} {:5} {}: {message}", record.level(), record.target()));
    });
    // Libraries speak up only when something is wrong.
    for library in ["hyper", "salvo", "salvo_core", "reqwest", "h2", "tonic", "tower", "hyper_util"]
    {
        dispatch = dispatch.level_for(library, level.min(LevelFilter::Warn));
    }
    for (part, name) in &settings.parts {
        let part_level = parse_level(&format!("log.parts.{part}"), name).context(LevelSnafu)?;
        dispatch = dispatch.level_for(part.clone(), part_level);
    }
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path).context(FileSnafu { path })?),
        None => dispatch.chain(io::stderr()),
    };
    dispatch.apply().context(InstallSnafu)
}

fn parse_level(field: &str, name: &str) -> Result<LevelFilter, InvalidSetting> {
    LevelFilter::from_str(name).map_err(|_| InvalidSetting {
        field: field.to_owned(),
        value: format!("{name:?}"),
        allowed: "off, error, warn, info, debug, trace".to_owned(),
    })
}

/// Time of day as seconds since 1970 with milliseconds: sortable, and independent of zones.
fn humantime(now: SystemTime) -> String {
    let since = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    format!("{}.{:03}", since.as_secs(), since.subsec_millis())
}
