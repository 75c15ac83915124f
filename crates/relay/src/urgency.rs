//! How urgent a request is to servers: by its route's rank, then by its program's remaining time.

use dahlia_types::Duration;

/// Levels that servers know, 0 first.
const LEVELS: u32 = 10;
/// Remaining time of a program at which it stands in the middle of its rank. An estimate, about
/// the time of a few turns; only the order among programs rests on it.
const MIDDLE: Duration = Duration::from_secs(8);

/// The place of a route's rank among the ranks of all routes in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankPosition {
    /// Ranks before it.
    pub earlier: u32,
    /// All different ranks; one at least.
    pub total: u32,
}

impl RankPosition {
    /// The place of a rank among others, itself included.
    pub fn new<R: Ord>(rank: R, ranks: impl Iterator<Item = R>) -> Self {
        let mut ranks: Vec<R> = ranks.collect();
        ranks.sort_unstable();
        ranks.dedup();
        let earlier = ranks.partition_point(|other| *other < rank) as u32;
        Self { earlier, total: ranks.len().max(1) as u32 }
    }
}

/// The level of a request. Each rank has a band of levels; no request passes one of an earlier
/// rank. Inside the band, programs with less time left go first. Requests without a program stand
/// in the middle, and so do programs whose time is over: most of their worth is lost, and putting
/// them first would make others late as well.
pub fn priority_level(place: RankPosition, time_left: Option<Duration>) -> u32 {
    let (first, end) = (edge(place.earlier, place.total), edge(place.earlier + 1, place.total));
    let width = end.saturating_sub(first).max(1);
    let time_left = time_left.filter(|left| *left > Duration::ZERO).unwrap_or(MIDDLE);
    let left = time_left.as_secs_f64();
    let share = left / (left + MIDDLE.as_secs_f64());
    let step = (share * f64::from(width)) as u32;
    (first + step.min(width - 1)).min(LEVELS - 1)
}

/// The first level of the band behind this many ranks.
fn edge(ranks: u32, of: u32) -> u32 {
    (ranks * LEVELS).div_ceil(of)
}
