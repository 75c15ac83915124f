//! Destination, levels and limits of the logs.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::str::FromStr;

use dahlia_types::{InvalidSetting, check_range};
use log::LevelFilter;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Settings of the logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that is logged: `off`, `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Levels of single parts that differ from `level`, e.g. `peers = "debug"`.
    pub parts: BTreeMap<String, String>,
    /// The file to append to. None for standard output.
    pub file: Option<PathBuf>,
    /// Size of the buffer of lines in kilobytes. Lines that do not fit are dropped and counted.
    pub buffer_kb: usize,
    /// Milliseconds for which lines are gathered before they are written together. Together with
    /// `buffer_kb` this limits how much a process writes per second.
    pub gather_ms: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            parts: BTreeMap::new(),
            file: None,
            buffer_kb: 128,
            gather_ms: 100,
        }
    }
}

impl LogSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field whose value is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        parse_level("log.level", &self.level)?;
        for (part, level) in &self.parts {
            parse_level(&format!("log.parts.{part}"), level)?;
        }
        check_range("log.buffer_kb", self.buffer_kb, 4, 65_536)?;
        check_range("log.gather_ms", self.gather_ms, 0, 10_000)
    }
}

/// Why logging could not be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum LoggingError {
    /// The name of a level is unknown.
    #[snafu(display("{source}"))]
    Level {
        /// The invalid setting.
        source: InvalidSetting,
    },
    /// The log file could not be opened.
    #[snafu(display("opening the log file {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The writing thread could not be started.
    #[snafu(display("starting the thread that writes logs: {source}"))]
    Thread {
        /// The cause.
        source: io::Error,
    },
    /// A logger is already installed.
    #[snafu(display("installing the logger: {source}"))]
    Install {
        /// The cause.
        source: log::SetLoggerError,
    },
}

pub(crate) fn parse_level(field: &str, name: &str) -> Result<LevelFilter, InvalidSetting> {
    LevelFilter::from_str(name).map_err(|_| InvalidSetting {
        field: field.to_owned(),
        value: format!("{name:?}"),
        allowed: "off, error, warn, info, debug, trace".to_owned(),
    })
}
