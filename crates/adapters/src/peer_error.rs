//! The error of a request to a peer, which is either a typed refusal or a transport error.

use std::error::Error;
use std::fmt::{self, Debug, Display};

use serde::{Deserialize, Serialize};

use crate::{Certainty, TransportError};

/// A peer's typed refusal.
pub trait TypedRefusal: Display + Debug {
    /// Whether the requested work may have run in spite of the refusal.
    fn certainty(&self) -> Certainty;
}

/// A failed request to a peer with refusals of type `R`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerError<R> {
    /// The peer refused.
    Refused {
        /// The operation that failed.
        step: String,
        /// The peer and its address.
        peer: String,
        /// Reason of the refusal.
        refusal: R,
    },
    /// The peer gave no usable answer.
    Transport {
        /// The transport error, which names the operation and the peer.
        error: TransportError,
    },
}

impl<R: TypedRefusal> PeerError<R> {
    /// Whether the requested work may have run in spite of the error.
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
