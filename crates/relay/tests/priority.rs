//! Priority levels of requests at servers.

use dahlia_relay::{RankPosition, priority_level};
use dahlia_types::Duration;

#[test]
fn earlier_ranks_go_first_and_within_a_rank_less_time_left() {
    for total in 1..=12 {
        let mut earlier_last = None;
        for earlier in 0..total {
            let place = RankPosition { earlier, total };
            let millis = [1, 500, 4_000, 8_000, 20_000, 60_000, 3_600_000];
            let levels =
                millis.map(|millis| priority_level(place, Some(Duration::from_millis(millis))));
            assert!(levels.is_sorted() && levels[6] <= 9, "{place:?}: {levels:?}");
            assert!(total > 5 || levels[0] < levels[6], "{place:?}: {levels:?}");
            let is_behind = earlier_last.is_none_or(|last| last < levels[0]);
            assert!(is_behind || total > 10, "{place:?}: {levels:?}");
            earlier_last = Some(levels[6]);
        }
    }
}

#[test]
fn a_request_without_a_program_or_without_time_left_gets_the_middle_level() {
    let place = |earlier| RankPosition { earlier, total: 2 };
    assert_eq!([priority_level(place(0), None), priority_level(place(1), None)], [2, 7]);
    assert_eq!(priority_level(place(1), Some(Duration::ZERO)), 7);
    assert_eq!(priority_level(RankPosition { earlier: 0, total: 1 }, None), 5);
}

#[test]
fn a_rank_is_positioned_among_the_ranks_in_force() {
    let ranks = [7, 1, 7, 4];
    let places = ranks.map(|rank| RankPosition::new(rank, ranks.into_iter()).earlier);
    assert_eq!(places, [2, 0, 2, 1]);
    assert_eq!(RankPosition::new(7, ranks.into_iter()).total, 3);
}
