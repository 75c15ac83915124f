//! The priority of a request at servers: by its route's rank, then by its program's remaining time.

use dahlia_types::Duration;

/// Number of priority levels that servers know; level 0 goes first.
const LEVEL_COUNT: u32 = 10;
/// Remaining time of a program that puts its requests in the middle of their rank's levels. This is
/// an estimate, about the duration of a few turns; it affects only the order among programs.
const MIDDLE_TIME_LEFT: Duration = Duration::from_secs(8);

/// The position of a route's rank among the ranks of all routes in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankPosition {
    /// Number of ranks before it.
    pub earlier: u32,
    /// Number of different ranks; at least one.
    pub total: u32,
}

impl RankPosition {
    /// Finds the position of a rank among others, itself included.
    pub fn new<R: Ord>(rank: R, ranks: impl Iterator<Item = R>) -> Self {
        let mut ranks: Vec<R> = ranks.collect();
        ranks.sort_unstable();
        ranks.dedup();
        let earlier = ranks.partition_point(|other| *other < rank) as u32;
        Self { earlier, total: ranks.len().max(1) as u32 }
    }
}

/// The priority level of a request. Each rank has a band of levels, so that no request overtakes
/// one of an earlier rank. Within the band, programs with less time left go first. Requests without
/// a program are in the middle, and so are programs whose time is over: most of their value is
/// lost, and putting them first would delay others as well.
pub fn priority_level(position: RankPosition, time_left: Option<Duration>) -> u32 {
    let (first, end) = (
        band_start(position.earlier, position.total),
        band_start(position.earlier + 1, position.total),
    );
    let width = end.saturating_sub(first).max(1);
    let time_left = time_left.filter(|left| *left > Duration::ZERO).unwrap_or(MIDDLE_TIME_LEFT);
    let left = time_left.as_secs_f64();
    let share = left / (left + MIDDLE_TIME_LEFT.as_secs_f64());
    let step = (share * f64::from(width)) as u32;
    (first + step.min(width - 1)).min(LEVEL_COUNT - 1)
}

/// The first level of the band after this many ranks.
fn band_start(ranks: u32, total: u32) -> u32 {
    (ranks * LEVEL_COUNT).div_ceil(total)
}
