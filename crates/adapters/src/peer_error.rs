//! The error of a request to a peer that either refuses by type or gives no usable answer.

use std::error::Error;
use std::fmt::{self, Debug, Display};

use serde::{Deserialize, Serialize};

use crate::{Certainty, TransportError};

/// A typed refusal: what it says of the work that was asked for.
pub trait TypedRefusal: Display + Debug {
    /// Whether that work certainly did not run.
    fn certainty(&self) -> Certainty;
}

/// A failed request to a peer with refusals of type `R`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerError<R> {
    /// The peer refused.
    Refused {
        /// What was being done.
        step: String,
        /// The peer and its address.
        peer: String,
        /// Why.
        refusal: R,
    },
    /// No usable answer.
    Transport {
        /// What went wrong, with step and peer.
        error: TransportError,
    },
}

impl<R: TypedRefusal> PeerError<R> {
    /// What the failure says about the work that was asked for.
    pub fn certainty(&self) -> Certainty {
        match self {
            Self::Refused { refusal, .. } => refusal.certainty(),
            Self::Transport { error } => error.certainty(),
        }
    }

    /// The peer's refusal, if it is one.
    pub fn refusal(&self) -> Option<&R> {
        match self {
            Self::Refused { refusal, .. } => Some(refusal),
            Self::Transport { .. } => None,
        }
    }
}

impl<R> PeerError<R> {
    pub(crate) fn refused(step: &str, peer: &str, refusal: R) -> Self {
        Self::Refused { step: step.to_owned(), peer: peer.to_owned(), refusal }
    }
}

impl<R: Display> Display for PeerError<R> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused { step, peer, refusal } => {
                write!(formatter, "{step}: {peer} refused: {refusal}")
            }
            Self::Transport { error } => Display::fmt(error, formatter),
        }
    }
}

impl<R: Display + Debug> Error for PeerError<R> {}

impl<R> From<TransportError> for PeerError<R> {
    fn from(error: TransportError) -> Self {
        Self::Transport { error }
    }
}
