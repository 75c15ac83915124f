//! What is asked of the choice of servers, and what comes out.

use dahlia_types::Duration;

use crate::{BackendAddress, BackendId, ServiceName};

/// Asks for a server.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Hash of what should stay together, e.g. of a program; none when nothing should.
    pub affinity: Option<u64>,
    /// A server that is known to hold what the request needs.
    pub preferred: Option<&'a BackendId>,
    /// Servers that the request was sent to before.
    pub tried: &'a [BackendId],
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this server. The attempt counts as begun.
    Use(BackendAddress),
    /// Every server has as much work as it takes.
    Full {
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// No server that was not tried takes work.
    NoBackend {
        /// When it is worth coming back.
        retry_after: Duration,
    },
}

/// How an attempt ended, as far as the server's fitness is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It answered, whatever the answer, unless that tells of its own failure.
    Answered,
    /// It answered that it failed itself.
    Failed,
    /// It said that it did not run the attempt because it is full.
    Refused,
    /// It said that it did not run the attempt because it leaves or is another server.
    Leaving,
    /// It could not be reached; nothing was sent.
    Unreachable,
    /// The answer broke off, was not whole, or belonged to another attempt.
    Broken,
    /// It was sent on a kept connection that the server had dropped: that says nothing of its
    /// fitness.
    Dropped,
    /// The caller left.
    Cancelled,
}
