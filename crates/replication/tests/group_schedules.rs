//! Thousands of seeded random schedules with faults. Without any one of the safety mechanisms, the
//! same checks fail.

mod support;

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use dahlia_replication::group::{Faults, GroupSettings};
use dahlia_types::Duration;
use support::cluster::Counts;
use support::fault_injector::{FaultInjector, Schedule};

const THREADS: usize = 3;

/// Settings with few retained entries and small chunks, so that snapshots are frequent.
fn settings(faults: Faults) -> GroupSettings {
    GroupSettings {
        heartbeat_interval_ms: 100,
        election_timeout_ms: 400,
        retransmit_timeout_ms: 150,
        max_append_entries: 4,
        max_in_flight_appends: 3,
        snapshot_chunk_bytes: 200,
        retained_entries: 8,
        promotion_lag_entries: 4,
        faults,
        ..GroupSettings::default()
    }
}

fn schedule(daemons: u32, voters: u32, faults: Faults) -> Schedule {
    let length = Duration::from_secs(15);
    Schedule { daemons, voters, length, settings: settings(faults) }
}

/// The results of a range of seeds.
#[derive(Default)]
struct SeedResults {
    /// The smallest failing seed, with its violation.
    violation: Option<(u64, String)>,
    /// The event counts of each run.
    counts: Vec<Counts>,
}

/// Runs seeds on a few threads until one fails.
fn run_seeds(schedule: &Schedule, seeds: Range<u64>) -> SeedResults {
    let next = AtomicU64::new(seeds.start);
    let results = Mutex::new(SeedResults::default());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    let is_over = results.lock().expect("no panic").violation.is_some();
                    if seed >= seeds.end || is_over {
                        return;
                    }
                    let mut injector = FaultInjector::new(schedule.clone(), seed);
                    let violation = injector.run();
                    let mut results = results.lock().expect("no panic");
                    results.counts.push(injector.counts());
                    let first = results.violation.as_ref().map_or(u64::MAX, |(first, _)| *first);
                    if let Some(violation) = violation.filter(|_| seed < first) {
                        results.violation = Some((seed, violation));
                    }
                }
            });
        }
    });
    results.into_inner().expect("no panic")
}

fn assert_invariants_hold(schedule: &Schedule, seeds: Range<u64>) {
    let runs = seeds.end - seeds.start;
    let results = run_seeds(schedule, seeds);
    if let Some((seed, violation)) = results.violation {
        panic!("seed {seed}, {} voters: {violation}", schedule.voters);
    }
    let sum = |field: fn(&Counts) -> u64| results.counts.iter().map(field).sum::<u64>();
    let at_least = |name: &str, count: u64, least: u64| {
        println!("{runs} schedules with {} voters: {name} {count}", schedule.voters);
        assert!(count > least, "too few {name}: {count}");
    };
    at_least("elections", sum(|counts| counts.leaders), 3 * runs);
    at_least("snapshots", sum(|counts| counts.restored), runs);
    at_least("member changes", sum(|counts| counts.member_changes), 5 * runs);
    at_least("lost memories", sum(|counts| counts.memory_losses), runs);
    let proposed = sum(|counts| counts.proposed);
    at_least("committed proposals", sum(|counts| counts.committed), proposed * 8 / 10);
}

/// Runs seeds with a disabled mechanism until one fails, and checks that the violation is an expected one.
fn assert_violation(faults: Faults, expected: &[&str]) {
    const SEEDS: Range<u64> = 0..2_000;
    for (daemons, voters) in [(6, 3), (8, 5)] {
        let results = run_seeds(&schedule(daemons, voters, faults), SEEDS);
        let (seed, violation) = results.violation.expect("a violation");
        println!("{voters} voters, seed {seed}: {}", violation.lines().next().unwrap_or_default());
        let is_expected = expected.iter().any(|part| violation.contains(part));
        assert!(is_expected, "{voters} voters, seed {seed}: {violation}");
    }
}

#[test]
fn three_voters_hold_all_invariants() {
    assert_invariants_hold(&schedule(6, 3, Faults::default()), 0..2_000);
}

#[test]
fn five_voters_hold_all_invariants() {
    assert_invariants_hold(&schedule(8, 5, Faults::default()), 10_000..11_000);
}

#[test]
fn a_quorum_must_be_a_majority() {
    let expected = ["lacks committed entry", "both lead", "without contact to a quorum"];
    assert_violation(Faults { short_quorum: true, ..Faults::default() }, &expected);
}

#[test]
fn a_restarted_replica_must_not_answer_as_its_earlier_incarnation() {
    let expected =
        ["earlier incarnation", "votes twice", "lacks", "votes although its incarnation ended"];
    assert_violation(Faults { accept_any_incarnation: true, ..Faults::default() }, &expected);
}

#[test]
fn an_append_must_compare_the_entry_before_it() {
    // A snapshot of a replica with a wrong log differs as well.
    let expected =
        ["logs differ", "applies another command", "lacks", "differs from what was committed"];
    assert_violation(Faults { no_previous_check: true, ..Faults::default() }, &expected);
}

#[test]
fn a_leader_without_a_quorum_must_step_down() {
    let expected = ["still leads without contact to a quorum"];
    assert_violation(Faults { no_check_quorum: true, ..Faults::default() }, &expected);
}

#[test]
fn a_vote_must_compare_logs() {
    let expected = ["lacks", "applies another command", "logs differ"];
    assert_violation(Faults { no_log_comparison: true, ..Faults::default() }, &expected);
}
