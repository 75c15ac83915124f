//! Failures of commands, and the stable exit codes for scripts.

use dahlia_api::headers;
use snafu::Snafu;
use tonic::Status;

/// The failure of a command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// Description of the error.
        message: String,
    },
    /// The daemon could not be reached.
    #[snafu(display("connecting to {address}: {message}"))]
    Connect {
        /// The daemon's address.
        address: String,
        /// The cause.
        message: String,
    },
    /// A file could not be read.
    #[snafu(display("reading {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file is not a valid document.
    #[snafu(display("{path}: {source}"))]
    Document {
        /// The file.
        path: String,
        /// The error in the document.
        source: dahlia_configuration::DocumentError,
    },
    /// It is unknown whether a change was accepted.
    #[snafu(display(
        "the change may have been accepted: {message}; find out by the same command with --change \
         {change} --expected {expected}"
    ))]
    OutcomeUnknown {
        /// The change's identity.
        change: String,
        /// The generation that it was made from.
        expected: u64,
        /// The last error message.
        message: String,
    },
    /// The daemon ended a watch, as it does when it stops.
    #[snafu(display("the daemon ended the watch; generations printed: {printed}"))]
    WatchEnded {
        /// Number of generations that were printed.
        printed: u32,
    },
    /// The daemon refused.
    #[snafu(display("{step}: {name}: {message}{}", format_retry_delay(*retry_after_ms)))]
    Refused {
        /// The operation that the daemon refused.
        step: &'static str,
        /// The error's name.
        name: String,
        /// Human-readable message.
        message: String,
        /// Delay before a retry.
        retry_after_ms: Option<u64>,
    },
    /// An answer could not be encoded as JSON.
    #[snafu(display("writing the answer as JSON: {source}"))]
    EncodeJson {
        /// The cause.
        source: serde_json::Error,
    },
}

fn format_retry_delay(retry_after_ms: Option<u64>) -> String {
    retry_after_ms.map(|millis| format!(" (retry in {millis} ms)")).unwrap_or_default()
}

/// Builds the failure for a daemon's status.
pub(crate) fn status_failure(step: &'static str, status: &Status) -> Failure {
    let text = |key: &str| status.metadata().get(key).and_then(|value| value.to_str().ok());
    let name = match text(headers::RPC_ERROR) {
        Some(name) => name.to_owned(),
        None => format!("{:?}", status.code()).to_lowercase(),
    };
    let retry_after_ms = text(headers::RPC_RETRY_AFTER).and_then(|value| value.parse().ok());
    Failure::Refused { step, name, message: status.message().to_owned(), retry_after_ms }
}

/// Returns the exit code of a failure: 2 usage error, 3 unreachable or retryable, 4 not found,
/// 5 conflict, 6 unauthorized, 7 refused by a limit or a budget, 8 the outcome of a change is
/// unknown, 1 any other error.
pub fn exit_code(failure: &Failure) -> u8 {
    match failure {
        Failure::Usage { .. } | Failure::Read { .. } | Failure::Document { .. } => 2,
        Failure::OutcomeUnknown { .. } => 8,
        Failure::Connect { .. } | Failure::WatchEnded { .. } => 3,
        Failure::EncodeJson { .. } => 1,
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
