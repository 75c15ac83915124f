//! Errors of requests to an engine.

use dahlia_types::AttemptId;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::EngineRefusal;
use crate::{Certainty, TransportError};

/// A request to an engine that failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum EngineError {
    /// The engine refused.
    #[snafu(display("{step}: {peer} refused: {refusal}"))]
    Refused {
        /// The operation that failed.
        step: String,
        /// The engine and its address.
        peer: String,
        /// Reason of the refusal.
        refusal: EngineRefusal,
    },
    /// The peer gave no usable answer.
    #[snafu(display("{error}"))]
    Transport {
        /// The transport error, which names the operation and the peer.
        error: TransportError,
    },
    /// A stream carried an event of another attempt. The stream is not read any further.
    #[snafu(display("{step}: {peer} sent an event of {actual} instead of {expected}"))]
    #[serde(rename = "Crossed")]
    WrongAttempt {
        /// The operation that failed.
        step: String,
        /// The engine and its address.
        peer: String,
        /// The attempt that was asked for.
        expected: AttemptId,
        /// The attempt of the event.
        actual: AttemptId,
    },
    /// A stream lost or repeated a piece of the answer. The stream is not read any further.
    #[snafu(display("{step}: {peer} sent offset {actual} where {expected} comes next"))]
    #[serde(rename = "OutOfPlace")]
    WrongOffset {
        /// The operation that failed.
        step: String,
        /// The engine and its address.
        peer: String,
        /// The offset that comes next.
        expected: u64,
        /// The offset received.
        actual: u64,
    },
}

impl EngineError {
    /// Whether the attempt may have run in spite of the error.
    pub fn certainty(&self) -> Certainty {
        match self {
            Self::Refused { refusal, .. } => refusal.certainty(),
            Self::Transport { error } => error.certainty(),
            Self::WrongAttempt { .. } | Self::WrongOffset { .. } => Certainty::Unknown,
        }
    }

    /// The engine's refusal, if it is one.
    pub fn refusal(&self) -> Option<&EngineRefusal> {
        match self {
            Self::Refused { refusal, .. } => Some(refusal),
            _ => None,
        }
    }
}

impl From<TransportError> for EngineError {
    fn from(error: TransportError) -> Self {
        Self::Transport { error }
    }
}
