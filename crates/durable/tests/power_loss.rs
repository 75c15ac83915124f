//! A group on durable logs whose machines lose power and disks at any disk operation.

mod support;

use dahlia_types::Duration;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::cluster::Cluster;
use support::machine::InjectedFaults;

const MACHINES: u32 = 4;
const VOTERS: u32 = 3;
const SEEDS: u64 = 60;
/// Seeds after which an injected fault counts as undetected.
const MAX_SEEDS: u64 = 1_000;
const POWER_LOSSES: u32 = 5;
/// Disk operations within which the power is lost: some frames, a new segment, a removal.
const MAX_OPERATIONS_BEFORE_LOSS: u64 = 12;

/// Runs a cluster whose machines lose power [`POWER_LOSSES`] times, in most cases all at once and
/// otherwise one alone. In most cases one of them also loses its disk.
fn run_with_power_losses(seed: u64, faults: InjectedFaults) -> Cluster {
    let mut random = ChaCha8Rng::seed_from_u64(!seed);
    let mut cluster = Cluster::new(MACHINES, VOTERS, seed, faults);
    cluster.run(Duration::from_secs(2));
    for _ in 0..POWER_LOSSES {
        let all: Vec<usize> = (0..MACHINES as usize).collect();
        let one = random.random_range(0..all.len());
        let machines = if random.random_bool(0.7) { all } else { vec![one] };
        let wiped = random.random_bool(0.6).then_some(one);
        cluster.lose_power(&machines, wiped, MAX_OPERATIONS_BEFORE_LOSS);
        if cluster.violation.is_some() {
            return cluster;
        }
        cluster.restore(&machines);
        cluster.run(Duration::from_millis(random.random_range(100..1_500)));
    }
    cluster.check_nothing_lost();
    cluster
}

#[test]
fn acknowledged_entries_survive_power_losses_and_a_lost_disk() {
    let (mut repair, mut commit_delay, mut entries) = (Duration::ZERO, Duration::ZERO, 0);
    for seed in 0..SEEDS {
        let cluster = run_with_power_losses(seed, InjectedFaults::default());
        assert_eq!(cluster.violation, None);
        repair = repair.max(cluster.max_repair_time);
        commit_delay = commit_delay.max(cluster.max_commit_delay);
        entries += cluster.committed.len();
    }
    println!(
        "{entries} entries; commits again after {commit_delay:?}, all voters again after {repair:?}"
    );
    assert!(commit_delay < Duration::from_secs(3), "commits again only after {commit_delay:?}");
    assert!(repair < Duration::from_secs(4), "all voters again only after {repair:?}");
}

fn assert_detected(what: &str, faults: InjectedFaults) {
    let detected =
        (0..MAX_SEEDS).filter_map(|seed| run_with_power_losses(seed, faults).violation).next();
    println!("{what}: {detected:?}");
    assert!(detected.is_some(), "{what} is not detected");
}

#[test]
fn an_acknowledgement_before_the_sync_is_detected() {
    let faults = InjectedFaults { acknowledge_before_sync: true, ..InjectedFaults::default() };
    assert_detected("an acknowledgement before the sync", faults);
}

#[test]
fn events_handled_during_the_sync_are_detected() {
    let faults = InjectedFaults { overlap_batches: true, ..InjectedFaults::default() };
    assert_detected("events handled during the sync", faults);
}

#[test]
fn an_identity_kept_after_a_lost_disk_is_detected() {
    let faults = InjectedFaults { keep_identity_after_wipe: true, ..InjectedFaults::default() };
    assert_detected("an identity kept after a lost disk", faults);
}
