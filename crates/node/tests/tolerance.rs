//! Tests in virtual time that the voters of groups follow from the losses to tolerate: at the first
//! layout, when daemons join, when the setting changes and after lost disks.

mod stores;

use dahlia_node::Event;
use dahlia_replication::tolerance::LossTolerance;
use dahlia_types::Duration;
use stores::{GROUP_COUNT, Stores};

/// How long a lost machine counts as lost in the users' large deployments (`sync_s`).
const SYNC_BOUND: Duration = Duration::from_secs(6);

#[test]
fn the_first_layout_has_the_voters_that_the_tolerance_needs() {
    let mut stores = Stores::start_all(&[1, 2, 3, 4, 5, 6, 7, 8], LossTolerance::of_machines(2));
    stores.wait_until_complete(Duration::from_secs(10));
    assert_eq!(stores.initial_voter_counts(), vec![5; GROUP_COUNT as usize]);
    let replicas = stores.groups_held();
    let (min, max) = (replicas.iter().min().copied(), replicas.iter().max().copied());
    assert!(max <= min.map(|min| min + 2), "replicas are spread over all stores: {replicas:?}");
}

#[test]
fn groups_laid_out_on_too_few_daemons_grow_when_others_join() {
    let mut stores = Stores::start_all(&[1, 2, 3], LossTolerance::of_machines(2));
    stores.wait_until_complete(Duration::from_secs(10));
    assert_eq!(
        stores.initial_voter_counts(),
        vec![3; GROUP_COUNT as usize],
        "an even number of voters tolerates no more losses"
    );
    stores.start(4);
    stores.start(5);
    stores.wait_until_replicas(5 * GROUP_COUNT as usize, Duration::from_secs(20));
}

#[test]
fn a_raised_tolerance_adds_voters_while_the_system_runs() {
    let mut stores = Stores::start_all(&[1, 2, 3, 4, 5], LossTolerance::of_machines(1));
    stores.wait_until_complete(Duration::from_secs(10));
    assert_eq!(stores.initial_voter_counts(), vec![3; GROUP_COUNT as usize]);
    stores.send_event_to_all(|| Event::ToleranceChanged(LossTolerance::of_machines(2)));
    stores.wait_until_replicas(5 * GROUP_COUNT as usize, Duration::from_secs(20));
}

#[test]
fn two_stores_that_lose_their_disks_are_voters_again_within_the_sync_bound() {
    for seed in 0..8 {
        let mut stores =
            Stores::start_all_with_seed(&[1, 2, 3, 4, 5, 6], LossTolerance::of_machines(2), seed);
        stores.wait_until_complete(Duration::from_secs(10));
        for losses in [[1, 2], [3, 4], [5, 6], [1, 4]] {
            let lost = stores.now;
            losses.into_iter().for_each(|store| stores.lose_disk(store));
            stores.advance(Duration::from_secs(1));
            losses.into_iter().for_each(|store| stores.start(store));
            stores.wait_until_complete(SYNC_BOUND);
            let elapsed = stores.now.since(lost);
            assert!(
                elapsed <= SYNC_BOUND,
                "seed {seed}, {losses:?}: complete again after {elapsed:?}"
            );
            stores.advance(SYNC_BOUND);
        }
    }
}

/// In the users' strictest deployment, the time from a successor's start until the replaced machine no
/// longer counts as lost (`sync_s`). After that, the next machine may be lost.
const SHORTEST_SYNC_BOUND: Duration = Duration::from_secs(4);

#[test]
fn a_store_lost_for_good_is_replaced_within_the_sync_bound() {
    for seed in 0..8 {
        let mut stores =
            Stores::start_all_with_seed(&[1, 2, 3], LossTolerance::of_machines(1), seed);
        stores.wait_until_complete(Duration::from_secs(10));
        // One machine after another is replaced by a machine with another address.
        for (lost, successor) in [(1, 4), (2, 5), (3, 6)] {
            stores.lose_disk(lost);
            stores.advance(Duration::from_secs(1));
            stores.start(successor);
            stores.wait_until_replicas(3 * GROUP_COUNT as usize, SHORTEST_SYNC_BOUND);
            stores.advance(SYNC_BOUND);
        }
    }
}
