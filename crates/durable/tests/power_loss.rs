//! A group on durable logs, whose machines lose power and disks at any durable step.

mod support;

use dahlia_types::Duration;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::cluster::Cluster;
use support::machine::Switches;

const MACHINES: u32 = 4;
const VOTERS: u32 = 3;
const SEEDS: u64 = 60;
/// Days after which a missing mechanism counts as unnoticed.
const MOST_SEEDS: u64 = 1_000;
const LOSSES: u32 = 5;
/// Disk operations within which the power goes: some frames, a new segment, a removal.
const STEPS: u64 = 12;

/// One day: all machines lose power again and again, one of them its disk; now and then a single
/// machine does.
fn day(seed: u64, switches: Switches) -> Cluster {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let mut cluster = Cluster::new(MACHINES, VOTERS, seed, switches);
    cluster.run(Duration::from_secs(2));
    for _ in 0..LOSSES {
        let all: Vec<usize> = (0..MACHINES as usize).collect();
        let one = random.random_range(0..all.len());
        let places = if random.random_bool(0.7) { all } else { vec![one] };
        let wiped = random.random_bool(0.6).then_some(one);
        cluster.lose_power(&places, wiped, STEPS);
        if cluster.violation.is_some() {
            return cluster;
        }
        cluster.restore(&places);
        cluster.run(Duration::from_millis(random.random_range(100..1_500)));
    }
    cluster.check_nothing_lost();
    cluster
}

#[test]
fn nothing_acknowledged_is_lost_by_losses_of_power_and_one_disk() {
    let (mut repair, mut lead, mut entries) = (Duration::ZERO, Duration::ZERO, 0);
    for seed in 0..SEEDS {
        let cluster = day(seed, Switches::default());
        assert_eq!(cluster.violation, None);
        repair = repair.max(cluster.slowest_repair);
        lead = lead.max(cluster.slowest_lead);
        entries += cluster.committed.len();
    }
    println!("{entries} entries; led again after {lead:?}, whole again after {repair:?}");
    assert!(lead < Duration::from_secs(3), "led again only after {lead:?}");
    assert!(repair < Duration::from_secs(4), "whole again only after {repair:?}");
}

fn assert_noticed(what: &str, switches: Switches) {
    let noticed = (0..MOST_SEEDS).filter_map(|seed| day(seed, switches).violation).next();
    println!("{what}: {noticed:?}");
    assert!(noticed.is_some(), "{what} is not noticed");
}

#[test]
fn an_acknowledgement_before_the_sync_is_noticed() {
    let switches = Switches { acknowledge_before_sync: true, ..Switches::default() };
    assert_noticed("an acknowledgement before the sync", switches);
}

#[test]
fn events_handled_during_the_sync_are_noticed() {
    let switches = Switches { overlap_batches: true, ..Switches::default() };
    assert_noticed("events handled during the sync", switches);
}

#[test]
fn a_kept_identity_without_its_disk_is_noticed() {
    let switches = Switches { keep_identity_after_wipe: true, ..Switches::default() };
    assert_noticed("a kept identity without its disk", switches);
}
