//! Errors of requests to the key-value service.

use dahlia_types::Duration;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{KeyValueRefusal, Version};
use crate::{Certainty, TransportError};

/// A request to the key-value service that failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(crate)))]
pub enum KeyValueError {
    /// The key is in another state than expected; nothing changed.
    #[snafu(display("{step}: conflict at {peer}: the key's version is {actual:?}"))]
    Conflict {
        /// The operation that failed.
        step: String,
        /// The service and its address.
        peer: String,
        /// The key's version; `None` when it does not exist.
        actual: Option<Version>,
    },
    /// The change may have taken effect: read it back.
    #[snafu(display("unknown outcome: {error}"))]
    Unknown {
        /// The transport error, which names the operation and the peer.
        error: TransportError,
    },
    /// The service could not be reached or does not accept requests; nothing changed.
    #[snafu(display("{step}: {peer} is unavailable: {detail}"))]
    Unavailable {
        /// The operation that failed.
        step: String,
        /// The service and its address.
        peer: String,
        /// The cause.
        detail: String,
    },
    /// The rate limit was exceeded; nothing changed.
    #[snafu(display("{step}: {peer} limits the rate; retry in {} ms", retry_after.as_millis()))]
    RateLimited {
        /// The operation that failed.
        step: String,
        /// The service and its address.
        peer: String,
        /// Minimum delay before a retry.
        retry_after: Duration,
    },
    /// The service refused for another reason; nothing changed.
    #[snafu(display("{step}: {peer} refused: {refusal}"))]
    Refused {
        /// The operation that failed.
        step: String,
        /// The service and its address.
        peer: String,
        /// Reason of the refusal.
        refusal: KeyValueRefusal,
    },
}

impl KeyValueError {
    /// Whether the change may have taken effect.
    pub fn certainty(&self) -> Certainty {
        match self {
            Self::Unknown { .. } => Certainty::Unknown,
            _ => Certainty::NotRun,
        }
    }

    pub(super) fn from_transport(step: &str, peer: &str, error: TransportError) -> Self {
        match error.certainty() {
            Certainty::Unknown => Self::Unknown { error },
            Certainty::NotRun => {
                let detail = error.to_string();
                Self::Unavailable { step: step.to_owned(), peer: peer.to_owned(), detail }
            }
        }
    }

    pub(super) fn from_refusal(step: &str, peer: &str, refusal: KeyValueRefusal) -> Self {
        match refusal {
            KeyValueRefusal::Conflict { actual } => ConflictSnafu { step, peer, actual }.build(),
            KeyValueRefusal::RateLimited { retry_after } => {
                RateLimitedSnafu { step, peer, retry_after }.build()
            }
            KeyValueRefusal::Unavailable => {
                UnavailableSnafu { step, peer, detail: refusal.to_string() }.build()
            }
            refusal => RefusedSnafu { step, peer, refusal }.build(),
        }
    }
}
