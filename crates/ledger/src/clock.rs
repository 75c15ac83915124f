//! Time as a ledger counts it, by the stamps of its owners.
//!
//! Owners' clocks may disagree by hours, and a turn must not be lost because the next owner's
//! clock is ahead. So the ledger takes only *differences* between stamps as time, and each
//! difference up to a bound: a new owner's clock that is ahead moves it by the bound at most, and
//! one that is behind moves it by nothing. What nobody stamps for long is kept longer.

use dahlia_types::{Duration, Timestamp};
use serde::{Deserialize, Serialize};

/// The most that one stamp moves the ledger's time. Owners stamp a ledger that holds something
/// at least as often.
pub(crate) const LONGEST_STEP: Duration = Duration::from_secs(10);
/// A stamp so far behind the last one is another owner's. Smaller differences come from commands
/// that were stamped in another order than they were committed.
const OTHER_CLOCK: Duration = Duration::from_secs(1);

/// Counts time from stamps of clocks that disagree.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerClock {
    last_stamp: Option<Timestamp>,
    now: Timestamp,
}

impl LedgerClock {
    /// Takes in a stamp and gives the ledger's time.
    pub(crate) fn advance(&mut self, stamp: Timestamp) -> Timestamp {
        let last = self.last_stamp.unwrap_or(stamp);
        let is_other_clock = last.since(stamp) >= OTHER_CLOCK;
        if stamp >= last || is_other_clock {
            self.now = self.now + stamp.since(last).min(LONGEST_STEP);
            self.last_stamp = Some(stamp);
        }
        self.now
    }
}
