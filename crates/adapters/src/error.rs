//! Transport errors, and whether the request may have taken effect in spite of them.

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Whether a failed request may have had an effect at the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Certainty {
    /// The request was not sent or was refused: it certainly had no effect and never will.
    NotRun,
    /// The request may have had its effect, now or later.
    Unknown,
}

/// Error of a request that got no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum TransportError {
    /// No connection was made, so no byte of the request was sent.
    #[snafu(display("{step}: no connection to {peer}: {detail}"))]
    Connect {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The cause, as reported by the library.
        detail: String,
    },
    /// The request could not be built; it was not sent.
    #[snafu(display("{step}: the request to {peer} could not be built: {detail}"))]
    Build {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The cause.
        detail: String,
    },
    /// No answer began within the response timeout.
    #[snafu(display("{step}: {peer} did not answer within {limit_ms} ms"))]
    ResponseTimeout {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// A stream was silent for longer than the idle timeout.
    #[snafu(display("{step}: {peer} was silent for {limit_ms} ms in the middle of its answer"))]
    IdleTimeout {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The limit in milliseconds.
        limit_ms: u64,
    },
    /// The connection broke after the request may have been sent.
    #[snafu(display("{step}: the connection to {peer} broke: {detail}"))]
    Broken {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The cause, as reported by the library.
        detail: String,
    },
    /// A stream ended before its last event.
    #[snafu(display("{step}: the answer of {peer} ended before its last event"))]
    Truncated {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
    },
    /// The answer does not have the documented form.
    #[snafu(display("{step}: the answer of {peer} is malformed: {detail}"))]
    Malformed {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The problem, with its position in the text.
        detail: String,
    },
    /// The answer, or a line of it, is larger than allowed.
    #[snafu(display("{step}: the answer of {peer} exceeds `{field}` of {limit} bytes"))]
    TooLarge {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The setting that limits it.
        field: String,
        /// The limit in bytes.
        limit: u64,
    },
    /// The peer answered with an error status but without the typed body that the protocol requires.
    #[snafu(display("{step}: {peer} answered with status {status}: {detail}"))]
    Status {
        /// The operation that failed.
        step: String,
        /// The peer's name and address.
        peer: String,
        /// The HTTP status (RFC 9110, section 15).
        status: u16,
        /// The start of the body.
        detail: String,
    },
}

impl TransportError {
    /// Whether the request may have had an effect at the peer.
    pub fn certainty(&self) -> Certainty {
        match self {
            // Without a connection or a request, no byte can have reached the peer.
            Self::Connect { .. } | Self::Build { .. } => Certainty::NotRun,
            // All other errors occur after bytes may have been sent. A status without typed body
            // may come from an intermediary, after the peer acted.
            Self::ResponseTimeout { .. }
            | Self::IdleTimeout { .. }
            | Self::Broken { .. }
            | Self::Truncated { .. }
            | Self::Malformed { .. }
            | Self::TooLarge { .. }
            | Self::Status { .. } => Certainty::Unknown,
        }
    }
}
