//! Errors by name, and exit codes that scripts can rely on.

use dahlia_api::headers;
use snafu::Snafu;
use tonic::Status;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong.
        message: String,
    },
    /// The daemon could not be reached.
    #[snafu(display("connecting to {address}: {message}"))]
    Connect {
        /// The daemon.
        address: String,
        /// Cause.
        message: String,
    },
    /// A file could not be read.
    #[snafu(display("reading {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A file is not a valid document.
    #[snafu(display("{path}: {source}"))]
    Document {
        /// The file.
        path: String,
        /// What is wrong.
        source: dahlia_configuration::DocumentError,
    },
    /// Nobody can say whether a change was accepted.
    #[snafu(display(
        "the change may have been accepted: {message}; find out by the same command with --change \
         {change} --expected {expected}"
    ))]
    Undecided {
        /// The change's identity.
        change: String,
        /// The generation that it was made from.
        expected: u64,
        /// What was heard last.
        message: String,
    },
    /// The daemon refused.
    #[snafu(display("{step}: {name}: {message}{}", come_back(*retry_after_ms)))]
    Refused {
        /// What was asked.
        step: &'static str,
        /// The error's name.
        name: String,
        /// For a person.
        message: String,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// An answer could not be shown.
    #[snafu(display("writing the answer as JSON: {source}"))]
    Show {
        /// Cause.
        source: serde_json::Error,
    },
}

fn come_back(retry_after_ms: Option<u64>) -> String {
    retry_after_ms.map(|millis| format!(" (come back in {millis} ms)")).unwrap_or_default()
}

/// Reads a daemon's status.
pub(crate) fn refused(step: &'static str, status: &Status) -> Failure {
    let text = |key: &str| status.metadata().get(key).and_then(|value| value.to_str().ok());
    let name = match text(headers::RPC_ERROR) {
        Some(name) => name.to_owned(),
        None => format!("{:?}", status.code()).to_lowercase(),
    };
    let retry_after_ms = text(headers::RPC_RETRY_AFTER).and_then(|value| value.parse().ok());
    Failure::Refused { step, name, message: status.message().to_owned(), retry_after_ms }
}

/// The exit code of a failure: 2 wrong use, 3 not reached or to be tried again, 4 not found,
/// 5 conflict, 6 not allowed, 7 refused by a limit or a budget, 8 a change's outcome is unknown,
/// 1 anything else.
pub fn exit_code(failure: &Failure) -> u8 {
    match failure {
        Failure::Usage { .. } | Failure::Read { .. } | Failure::Document { .. } => 2,
        Failure::Undecided { .. } => 8,
        Failure::Connect { .. } => 3,
        Failure::Show { .. } => 1,
        Failure::Refused { name, .. } => match name.as_str() {
            "invalid_request" | "too_large" => 2,
            "unavailable" | "overloaded" | "not_run" => 3,
            "not_found" | "program_closed" => 4,
            "configuration_conflict" | "key_reused" => 5,
            "unauthorized" => 6,
            "limit_reached" | "budget_exhausted" => 7,
            _ => 1,
        },
    }
}
