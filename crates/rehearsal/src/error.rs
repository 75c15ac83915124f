//! Why a rehearsal could not go on.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// A failure of a rehearsal, with the step and the peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RehearsalError {
    /// A process could not be started or talked to.
    #[snafu(display("{step} {name}: {source}"))]
    Process {
        /// What was done.
        step: &'static str,
        /// The process.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// A process did not say that it was ready.
    #[snafu(display("{name} did not become ready: {reason}"))]
    NotReady {
        /// The process.
        name: String,
        /// What it said instead.
        reason: String,
    },
    /// A file could not be written.
    #[snafu(display("writing {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A caller's request failed for good.
    #[snafu(display("{step}: {message}"))]
    Caller {
        /// What was asked.
        step: String,
        /// What came back.
        message: String,
    },
    /// An operator's request failed.
    #[snafu(display("{step}: {source}"))]
    Operator {
        /// What was asked.
        step: &'static str,
        /// The status.
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    /// A daemon's operators' side could not be reached.
    #[snafu(display("connecting to the operators' side of {address}: {source}"))]
    Connect {
        /// The address.
        address: String,
        /// Cause.
        source: tonic::transport::Error,
    },
    /// What was seen is not what was promised.
    #[snafu(display("{message}"))]
    Failed {
        /// What was observed.
        message: String,
    },
    /// The user ended the rehearsal.
    #[snafu(display("interrupted"))]
    Interrupted,
}
