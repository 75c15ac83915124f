//! Why a request to the key-value service failed.

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
        /// What was being done.
        step: String,
        /// The service and its address.
        peer: String,
        /// The key's version; none when it does not exist.
        actual: Option<Version>,
    },
    /// The change may have taken effect: read it back.
    #[snafu(display("unknown outcome: {error}"))]
    Unknown {
        /// What went wrong, with step and peer.
        error: TransportError,
    },
    /// The service could not be reached or does not serve; nothing changed.
    #[snafu(display("{step}: {peer} is unavailable: {detail}"))]
    Unavailable {
        /// What was being done.
        step: String,
        /// The service and its address.
        peer: String,
        /// The cause.
        detail: String,
    },
    /// Too many requests; nothing changed.
    #[snafu(display("{step}: {peer} limits the rate; come back in {} ms", retry_after.as_millis()))]
    RateLimited {
        /// What was being done.
        step: String,
        /// The service and its address.
        peer: String,
        /// When to come back at the earliest.
        retry_after: Duration,
    },
    /// Another refusal; nothing changed.
    #[snafu(display("{step}: {peer} refused: {refusal}"))]
    Refused {
        /// What was being done.
        step: String,
        /// The service and its address.
        peer: String,
        /// Why.
        refusal: KeyValueRefusal,
    },
}

impl KeyValueError {
    /// What the failure says about the change.
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
