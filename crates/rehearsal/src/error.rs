//! Errors that end a rehearsal.

use std::io;
use std::path::PathBuf;

use snafu::Snafu;

/// An error of a rehearsal, with the failed step and the peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum RehearsalError {
    /// Starting, signalling or reading a process failed.
    #[snafu(display("{step} {name}: {source}"))]
    Process {
        /// The operation.
        step: &'static str,
        /// The process.
        name: String,
        /// Cause.
        source: io::Error,
    },
    /// A process did not report that it is ready, or did not end in time.
    #[snafu(display("{name} did not become ready: {reason}"))]
    NotReady {
        /// The process.
        name: String,
        /// What happened instead.
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
    /// A caller's request failed and is not retried.
    #[snafu(display("{step}: {message}"))]
    Caller {
        /// The request.
        step: String,
        /// The error that was returned.
        message: String,
    },
    /// An operator's request failed.
    #[snafu(display("{step}: {source}"))]
    Operator {
        /// The request.
        step: &'static str,
        /// The gRPC status.
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    /// The operator API of a daemon could not be reached.
    #[snafu(display("connecting to the operator API at {address}: {source}"))]
    Connect {
        /// The address.
        address: String,
        /// Cause.
        source: tonic::transport::Error,
    },
    /// A result differs from what is promised, or a step without an error of its own failed.
    #[snafu(display("{message}"))]
    Failed {
        /// What failed.
        message: String,
    },
    /// The user interrupted the rehearsal.
    #[snafu(display("interrupted"))]
    Interrupted,
}
