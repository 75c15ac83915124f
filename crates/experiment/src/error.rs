//! Errors of experiments.

use std::path::PathBuf;

use dahlia_types::InvalidSetting;
use snafu::Snafu;

/// An error that prevents running an experiment or writing its results.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ExperimentError {
    /// A workload file cannot be read.
    #[snafu(display("reading workload {}: {source}", path.display()))]
    ReadWorkload {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A workload file is not valid TOML or has unknown or missing fields.
    #[snafu(display("parsing workload {}: {source}", path.display()))]
    ParseWorkload {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[snafu(display("checking the workload: {source}"))]
    CheckWorkload {
        /// The field, the value and what is allowed.
        source: InvalidSetting,
    },
    /// A policy's name is unknown.
    #[snafu(display("policy {name:?} is not known; allowed: {allowed}"))]
    UnknownPolicy {
        /// The name.
        name: String,
        /// The allowed names.
        allowed: String,
    },
    /// A report or plot cannot be written.
    #[snafu(display("writing {}: {source}", path.display()))]
    WriteFile {
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A report cannot be encoded.
    #[snafu(display("encoding the report: {source}"))]
    EncodeReport {
        /// The cause.
        source: serde_json::Error,
    },
    /// A plot cannot be drawn.
    #[snafu(display("drawing {}: {cause}", path.display()))]
    DrawPlot {
        /// The file.
        path: PathBuf,
        /// The error message of the plotting library.
        cause: String,
    },
}
