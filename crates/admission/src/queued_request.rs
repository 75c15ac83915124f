//! A request that may have to wait.

use dahlia_types::{Timestamp, Tokens};

/// The stage of a request's program, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// Earlier turns of the program were answered. What they cost is lost if this one is refused.
    UnderWay,
    /// The program was told to come back, and does.
    Returning,
    /// A program's first turn, or a request without a program.
    First,
}

impl Stage {
    /// Whether the request belongs to a program that has started.
    pub fn is_under_way(self) -> bool {
        self == Self::UnderWay
    }
}

/// A hash of a tenant's name. Requests without a tenant share a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct TenantKey(pub u64);

/// Identifies a request in a queue. Later tickets are larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// A request that may have to wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The rank of its route. 0 goes first.
    pub rank: u32,
    /// The stage of its program.
    pub stage: Stage,
    /// The tenant that sent it.
    pub tenant: TenantKey,
    /// What it costs a server, or 1 if that is unknown.
    pub cost: Tokens,
    /// Bytes that are held for it while it waits.
    pub bytes: usize,
    /// The time until which it, or its program, must be over to be in time.
    pub due: Timestamp,
    /// The time until which it may wait. A later refusal leaves no time to be served elsewhere.
    pub leave_by: Timestamp,
}
