//! Reasons for which the key-value service refuses a request.

use dahlia_types::Duration;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{LeaseId, Revision, Version};

/// The service's typed refusal: the request changed nothing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum KeyValueRefusal {
    /// The key is in another state than expected.
    #[snafu(display("the key's version is {actual:?}, not the expected one"))]
    Conflict {
        /// The key's version; `None` when it does not exist.
        actual: Option<Version>,
    },
    /// The service cannot handle requests.
    #[snafu(display("the service is unavailable"))]
    Unavailable,
    /// The rate limit was exceeded.
    #[snafu(display("the rate limit is reached"))]
    RateLimited {
        /// Minimum delay before a retry.
        retry_after: Duration,
    },
    /// The watch's start was compacted away. The caller must list the keys and watch from the
    /// revision of that answer.
    #[snafu(display("changes are kept only after revision {oldest}"))]
    Compacted {
        /// The oldest revision from which a watch may start.
        oldest: Revision,
    },
    /// The lease does not exist or has expired.
    #[snafu(display("lease {lease} does not exist"))]
    NoSuchLease {
        /// The lease.
        lease: LeaseId,
    },
    /// The request is malformed or exceeds a limit.
    #[snafu(display("`{field}` is not acceptable: {detail}"))]
    Invalid {
        /// The field.
        field: String,
        /// What is wrong, with the limit if there is one.
        detail: String,
    },
}
