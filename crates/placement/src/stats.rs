//! What a scheduler counts.

use serde::{Deserialize, Serialize};

/// Counters since the start, and sizes now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SchedulerStats {
    /// Times an engine was looked for.
    pub decisions: u64,
    /// Engines looked at in these decisions.
    pub engines_examined: u64,
    /// Attempts dispatched.
    pub dispatched: u64,
    /// Attempts that ended with an answer.
    pub finished: u64,
    /// Calls refused.
    pub refused: u64,
    /// Attempts that failed and were followed by another one.
    pub retried: u64,
    /// Attempts recalled from engines that leave.
    pub recalled: u64,
    /// Copies of KV asked for with a dispatch.
    pub fetches: u64,
    /// Pauses over which cache is held.
    pub pauses_held: u64,
    /// Pauses at whose start cache was given up.
    pub pauses_dropped: u64,
    /// Pauses during which cache was offloaded to a host's memory.
    pub pauses_offloaded: u64,
    /// Gaps found in cache events.
    pub cache_event_gaps: u64,
    /// Calls that wait here now.
    pub waiting: u64,
    /// Attempts under way now.
    pub in_flight: u64,
    /// Programs known now.
    pub programs: u64,
    /// Engines known now.
    pub engines: u64,
    /// Engines ejected now.
    pub engines_ejected: u64,
    /// Releases of ended programs that engines have not confirmed.
    pub releases_unconfirmed: u64,
}
