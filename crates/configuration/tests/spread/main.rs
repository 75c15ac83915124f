//! Tests that a generation reaches every daemon in time and is never replaced by an older one.

#[path = "../common/mod.rs"]
mod common;

mod network;

use common::DOCUMENT;
use dahlia_configuration::Mechanism;
use dahlia_types::{DaemonId, Duration, Generation};
use network::{Network, Revert};
use rand::Rng;
use rand::seq::IndexedRandom;

const DAEMONS: u32 = 370;
const ZONES: u32 = 7;
const SPREAD_BOUND: Duration = Duration::from_secs(7);
const STEP: Duration = Duration::from_millis(50);

/// Starts 370 daemons and waits until they serve generation 1.
fn start_fleet(seed: u64, disabled: Option<Mechanism>) -> Network {
    let mut network = Network::new(seed, DAEMONS, ZONES, disabled);
    network.loss = 0.01;
    network.service.accept("first", DOCUMENT);
    network.start().expect("no daemon reverts");
    network.run(Duration::from_secs(30)).expect("no daemon reverts");
    assert_eq!(network.serving(Generation(1)), DAEMONS as usize, "seed {seed}");
    network
}

/// Time until every daemon serves a change that is accepted now, after which the service fails.
/// None after three times the bound.
fn time_to_all(network: &mut Network) -> Option<Duration> {
    let start = network.now;
    let generation = network.accept_change(DaemonId(200), DOCUMENT).expect("no daemon reverts");
    network.begin_outage();
    while network.now.since(start) < SPREAD_BOUND.times(3) {
        network.run(STEP).expect("no daemon reverts");
        if network.serving(generation) == DAEMONS as usize {
            return Some(network.now.since(start));
        }
    }
    None
}

#[test]
fn a_change_reaches_370_daemons_in_time_if_the_service_fails_right_after_it() {
    for seed in 0..5 {
        let elapsed = time_to_all(&mut start_fleet(seed, None));
        assert!(elapsed.is_some_and(|elapsed| elapsed < SPREAD_BOUND), "seed {seed}: {elapsed:?}");
        println!("seed {seed}: in force on {DAEMONS} daemons after {elapsed:?} microseconds");
    }
}

#[test]
fn without_announcements_the_change_comes_too_late() {
    let elapsed = time_to_all(&mut start_fleet(0, Some(Mechanism::Announcements)));
    assert!(elapsed.is_none_or(|elapsed| elapsed >= SPREAD_BOUND), "{elapsed:?}");
}

#[test]
fn the_load_on_the_service_does_not_grow_with_the_daemons() {
    let mut network = start_fleet(0, None);
    let (reads, messages) = (network.service_reads, network.messages);
    network.run(Duration::from_secs(60)).expect("no daemon reverts");
    let (reads, messages) = (network.service_reads - reads, network.messages - messages);
    assert!((20..=90).contains(&reads), "{reads} reads in a minute");
    let each = messages as f64 / f64::from(DAEMONS) / 60.0;
    println!("{reads} reads of the service a minute, {each:.2} messages a second from each daemon");
    assert!(each < 2.0, "{each} messages a second from each daemon");
}

#[test]
fn a_fleet_that_starts_in_an_outage_serves_only_after_it() {
    let mut network = Network::new(1, 60, 3, None);
    network.service.accept("first", DOCUMENT);
    network.begin_outage();
    network.start().expect("no daemon reverts");
    network.run(Duration::from_secs(60)).expect("no daemon reverts");
    let serving = network.serving(Generation(0)) + network.serving(Generation(1));
    assert_eq!(serving, 0, "no daemon can know the generation");
    let each = network.service_reads / 60;
    assert!(each <= 12, "{each} reads of each daemon in a minute");
    network.outage = false;
    network.run(Duration::from_secs(20)).expect("no daemon reverts");
    assert_eq!(network.serving(Generation(1)), 60);
}

/// Partitions a zone from the others during a change. Returns whether its daemons get the change
/// after the partition heals, while the service is down.
fn zone_catches_up(disabled: Option<Mechanism>) -> bool {
    let mut network = Network::new(1, 21, 3, disabled);
    network.service.accept("first", DOCUMENT);
    network.start().expect("no daemon reverts");
    network.run(Duration::from_secs(30)).expect("no daemon reverts");
    network.partitioned_zone = Some(network.zone_of(DaemonId(0)));
    network.begin_outage();
    let generation = network.accept_change(DaemonId(1), DOCUMENT).expect("no daemon reverts");
    network.run(Duration::from_secs(20)).expect("no daemon reverts");
    assert_eq!(network.serving(generation), 14, "the zones on the other side of the partition");
    network.partitioned_zone = None;
    network.run(Duration::from_secs(10)).expect("no daemon reverts");
    network.serving(generation) == 21
}

#[test]
fn a_partitioned_zone_catches_up() {
    assert!(zone_catches_up(None));
}

#[test]
fn without_comparison_a_partitioned_zone_stays_behind() {
    assert!(!zone_catches_up(Some(Mechanism::Comparison)));
}

/// Runs 12 daemons with random faults for five minutes. In the end every daemon must serve the
/// newest generation.
fn run_random_faults(seed: u64, disabled: Option<Mechanism>) -> Result<(), Revert> {
    let mut network = Network::new(seed, 12, 3, disabled);
    network.loss = 0.05;
    network.service.accept("first", DOCUMENT);
    network.start()?;
    network.run(Duration::from_secs(20))?;
    for _ in 0..100 {
        match network.random.random_range(0..10) {
            0..3 if !network.outage => {
                let daemon = any_daemon(&mut network);
                network.accept_change(daemon, DOCUMENT)?;
            }
            0..3 => network.outage = false,
            3..6 => {
                let daemon = any_daemon(&mut network);
                network.restart(daemon)?;
            }
            6 => network.begin_outage(),
            7 => network.versions_behind = network.random.random_range(0..3),
            8 => network.partitioned_zone = None,
            _ => network.partitioned_zone = Some(any_zone(&mut network)),
        }
        let millis = network.random.random_range(0..6_000);
        network.run(Duration::from_millis(millis))?;
    }
    (network.outage, network.versions_behind, network.partitioned_zone) = (false, 0, None);
    network.run(Duration::from_secs(60))?;
    let newest = network.service.values.len() as u64;
    assert_eq!(network.serving(Generation(newest)), 12, "seed {seed}");
    Ok(())
}

fn any_daemon(network: &mut Network) -> DaemonId {
    let daemons = network.daemons();
    *daemons.choose(&mut network.random).expect("there are daemons")
}

fn any_zone(network: &mut Network) -> dahlia_types::Zone {
    let daemon = any_daemon(network);
    network.zone_of(daemon)
}

const RANDOM_FAULT_SEEDS: u64 = 40;

#[test]
fn no_daemon_reverts_under_random_faults() {
    for seed in 0..RANDOM_FAULT_SEEDS {
        run_random_faults(seed, None).unwrap_or_else(|revert| panic!("seed {seed}: {revert:?}"));
    }
}

/// Asserts that a daemon reverts for some seed if `mechanism` is disabled.
fn assert_needed(mechanism: Mechanism) {
    let reverts = |seed| run_random_faults(seed, Some(mechanism)).is_err();
    assert!((0..RANDOM_FAULT_SEEDS).any(reverts), "no daemon reverted without {mechanism:?}");
}

#[test]
fn without_the_generation_check_a_daemon_reverts() {
    assert_needed(Mechanism::GenerationCheck);
}

#[test]
fn without_asking_peers_a_daemon_reverts() {
    assert_needed(Mechanism::AskPeers);
}

/// Restarts the daemon that wrote a change at once, with the service down. Few other daemons have
/// the change when it asks them.
fn restart_after_change(seed: u64, disabled: Option<Mechanism>) -> Result<(), Revert> {
    let mut network = Network::new(seed, 60, 3, disabled);
    network.service.accept("first", DOCUMENT);
    network.start()?;
    network.run(Duration::from_secs(20))?;
    let generation = network.accept_change(DaemonId(7), DOCUMENT)?;
    network.begin_outage();
    network.run(Duration::from_millis(1))?;
    network.restart(DaemonId(7))?;
    network.run(Duration::from_secs(10))?;
    assert_eq!(network.serving(generation), 60, "seed {seed}");
    Ok(())
}

#[test]
fn a_daemon_that_restarts_at_once_after_its_change_does_not_revert() {
    for seed in 0..20 {
        assert_eq!(restart_after_change(seed, None), Ok(()), "seed {seed}");
    }
}

#[test]
fn without_the_wait_for_the_spread_a_daemon_reverts() {
    let reverts = |seed| restart_after_change(seed, Some(Mechanism::SpreadWait)).is_err();
    assert!((0..20).any(reverts), "no daemon reverted without the wait");
}
