//! When refused callers come back. Each is given a time of its own, one after the other at the rate at
//! which slots become free, so that they do not come back all at once. A caller is given the time after
//! those of its own and earlier ranks, whatever callers of later ranks were given before.

use std::collections::BTreeMap;

use dahlia_types::Timestamp;

/// Return times that are remembered for each rank. Callers above this number are given the latest time.
const MAX_RETURNS_PER_RANK: usize = 1_024;

/// The times at which refused callers are expected back.
#[derive(Debug, Clone, Default)]
pub(crate) struct ScheduledReturns {
    by_rank: BTreeMap<u32, Vec<Timestamp>>,
}

impl ScheduledReturns {
    /// Returns how many callers of this rank and earlier ones are still expected.
    pub(crate) fn count_ahead(&mut self, rank: u32, now: Timestamp) -> usize {
        let ranks = self.by_rank.range_mut(..=rank);
        let counts = ranks.map(|(_, times)| {
            times.retain(|time| *time > now);
            times.len()
        });
        counts.sum()
    }

    /// Records the time at which a caller is expected back.
    pub(crate) fn record(&mut self, rank: u32, time: Timestamp) {
        let times = self.by_rank.entry(rank).or_default();
        if times.len() < MAX_RETURNS_PER_RANK {
            times.push(time);
        }
    }
}
