//! Why a request to an engine failed.

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
        /// What was being done.
        step: String,
        /// The engine and its address.
        peer: String,
        /// Why.
        refusal: EngineRefusal,
    },
    /// No usable answer.
    #[snafu(display("{error}"))]
    Transport {
        /// What went wrong, with step and peer.
        error: TransportError,
    },
    /// A stream carried an event of another attempt. The stream is not read any further.
    #[snafu(display("{step}: {peer} sent an event of {actual} instead of {expected}"))]
    #[serde(rename = "Crossed")]
    WrongAttempt {
        /// What was being done.
        step: String,
        /// The engine and its address.
        peer: String,
        /// The attempt that was asked for.
        expected: AttemptId,
        /// The attempt of the event.
        actual: AttemptId,
    },
    /// A stream lost or repeated a piece. The stream is not read any further.
    #[snafu(display("{step}: {peer} sent offset {actual} where {expected} comes next"))]
    #[serde(rename = "OutOfPlace")]
    WrongOffset {
        /// What was being done.
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
    /// What the failure says about the attempt.
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
