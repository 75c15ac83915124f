//! Counters of a scheduler.

use serde::{Deserialize, Serialize};

/// Counters since the start and current sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct SchedulerStats {
    /// Placement decisions made.
    pub decisions: u64,
    /// Engines examined in these decisions.
    pub engines_examined: u64,
    /// Attempts dispatched.
    pub dispatched: u64,
    /// Attempts that ended with an answer.
    pub finished: u64,
    /// Calls refused.
    pub refused: u64,
    /// Attempts that failed or were recalled and were followed by another one.
    pub retried: u64,
    /// Attempts recalled from draining engines.
    pub recalled: u64,
    /// Dispatches with a copy of KV cache.
    pub fetches: u64,
    /// Pauses for which cache was held or was to be offloaded.
    pub pauses_held: u64,
    /// Pauses at whose start cache was dropped.
    pub pauses_dropped: u64,
    /// Pauses during which cache was offloaded to a host's memory.
    pub pauses_offloaded: u64,
    /// Gaps found in cache events.
    pub cache_event_gaps: u64,
    /// Calls waiting now.
    pub waiting: u64,
    /// Attempts in flight now.
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
