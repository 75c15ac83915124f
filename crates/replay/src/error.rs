//! Why traces could not be replayed.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

use crate::trace::TraceError;

/// A failure of the replay itself; broken promises are no errors but verdicts.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ReplayError {
    /// A file or folder could not be read or written.
    #[snafu(display("{step} {}: {source}", path.display()))]
    File {
        /// What was done.
        step: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A trace is malformed.
    #[snafu(display("{}: {source}", path.display()))]
    Trace {
        /// The file.
        path: PathBuf,
        /// Names line and field.
        source: TraceError,
    },
    /// A folder holds no trace.
    #[snafu(display("no trace in {}", path.display()))]
    Empty {
        /// The folder.
        path: PathBuf,
    },
    /// The report could not be encoded.
    #[snafu(display("encoding the report: {source}"))]
    Encode {
        /// Cause.
        source: serde_json::Error,
    },
}
