//! Whole nodes in virtual time: the voters of groups follow from the losses to be borne, at the
//! first layout, when daemons join, when the setting changes and after lost disks.

mod stores;

use dahlia_node::Event;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_types::Duration;
use stores::{GROUPS, Stores};

/// What the users' grown deployments allow for a lost machine to count as lost (`sync_s`).
const SYNC_BOUND: Duration = Duration::from_secs(6);

#[test]
fn the_first_layout_gives_each_group_the_voters_that_the_losses_need() {
    let mut stores = Stores::started(&[1, 2, 3, 4, 5, 6, 7, 8], LossTolerance::of_machines(2));
    stores.wait_until_whole(Duration::from_secs(10));
    assert_eq!(stores.voters_at_first(), vec![5; GROUPS as usize]);
    let held = stores.groups_held();
    let (least, most) = (held.iter().min().copied(), held.iter().max().copied());
    assert!(most <= least.map(|least| least + 2), "replicas are spread over all stores: {held:?}");
}

#[test]
fn with_fewer_daemons_than_needed_groups_are_laid_out_and_grow_when_others_join() {
    let mut stores = Stores::started(&[1, 2, 3], LossTolerance::of_machines(2));
    stores.wait_until_whole(Duration::from_secs(10));
    assert_eq!(stores.voters_at_first(), vec![3; GROUPS as usize], "an even number bears no more");
    stores.start(4);
    stores.start(5);
    stores.wait_until_held(5 * GROUPS as usize, Duration::from_secs(20));
}

#[test]
fn a_raised_tolerance_is_taken_over_while_the_system_runs() {
    let mut stores = Stores::started(&[1, 2, 3, 4, 5], LossTolerance::of_machines(1));
    stores.wait_until_whole(Duration::from_secs(10));
    assert_eq!(stores.voters_at_first(), vec![3; GROUPS as usize]);
    stores.tell_all(|| Event::ToleranceChanged(LossTolerance::of_machines(2)));
    stores.wait_until_held(5 * GROUPS as usize, Duration::from_secs(20));
}

#[test]
fn two_stores_that_lose_their_disks_are_voters_again_before_they_stop_counting_as_lost() {
    for seed in 0..8 {
        let mut stores =
            Stores::started_with(&[1, 2, 3, 4, 5, 6], LossTolerance::of_machines(2), seed);
        stores.wait_until_whole(Duration::from_secs(10));
        for losses in [[1, 2], [3, 4], [5, 6], [1, 4]] {
            let lost = stores.now;
            losses.into_iter().for_each(|store| stores.lose_disk(store));
            stores.pass(Duration::from_secs(1));
            losses.into_iter().for_each(|store| stores.start(store));
            stores.wait_until_whole(SYNC_BOUND);
            let took = stores.now.since(lost);
            assert!(took <= SYNC_BOUND, "seed {seed}, {losses:?}: whole again after {took:?}");
            stores.pass(SYNC_BOUND);
        }
    }
}

/// What the users' strictest deployment allows from a successor's start until the machine that it
/// replaces stops counting as lost (`sync_s`): then the next one may be lost.
const SHORTEST_SYNC_BOUND: Duration = Duration::from_secs(4);

#[test]
fn a_store_that_is_gone_for_good_is_replaced_before_it_stops_counting_as_lost() {
    for seed in 0..8 {
        let mut stores = Stores::started_with(&[1, 2, 3], LossTolerance::of_machines(1), seed);
        stores.wait_until_whole(Duration::from_secs(10));
        // One machine after the other is removed, and another one comes at another address.
        for (lost, successor) in [(1, 4), (2, 5), (3, 6)] {
            stores.lose_disk(lost);
            stores.pass(Duration::from_secs(1));
            stores.start(successor);
            stores.wait_until_held(3 * GROUPS as usize, SHORTEST_SYNC_BOUND);
            stores.pass(SYNC_BOUND);
        }
    }
}
