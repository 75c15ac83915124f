//! The time of a ledger, derived from the timestamps of its owners.
//!
//! Owners' clocks may disagree by hours, and a turn must not be lost because the next owner's clock
//! is ahead. The ledger therefore adds up the *differences* between timestamps, each up to a bound:
//! a new owner's clock that is ahead advances the ledger's time by the bound at most, and one that
//! is behind does not advance it. A ledger that gets no timestamps for long keeps its turns longer.

use dahlia_types::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

/// The most that one timestamp advances the ledger's time. Owners send a timestamp at least this
/// often to a ledger that is not empty.
pub(crate) const MAX_CLOCK_ADVANCE: Duration = Duration::from_secs(10);
/// A timestamp this far behind the last one comes from another owner. Smaller differences come from
/// commands that were committed in another order than they got their timestamps.
const OTHER_CLOCK_LAG: Duration = Duration::from_secs(1);

/// Derives time from the timestamps of clocks that disagree.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerClock {
    last_timestamp: Option<Timestamp>,
    now: Timestamp,
}

impl LedgerClock {
    /// Records an owner's timestamp and returns the ledger's time.
    pub(crate) fn advance(&mut self, timestamp: Timestamp) -> Timestamp {
        let last = self.last_timestamp.unwrap_or(timestamp);
        let is_other_clock = last.since(timestamp) >= OTHER_CLOCK_LAG;
        if timestamp >= last || is_other_clock {
            self.now = self.now + timestamp.since(last).min(MAX_CLOCK_ADVANCE);
            self.last_timestamp = Some(timestamp);
        }
        self.now
    }
}
