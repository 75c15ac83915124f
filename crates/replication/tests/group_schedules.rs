//! Thousands of seeded schedules with faults; without one mechanism the same checks fail.

mod support;

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use dahlia_replication::group::{Faults, GroupSettings};
use dahlia_types::Duration;
use support::cluster::Counts;
use support::nemesis::{Nemesis, Schedule};

const THREADS: usize = 3;

/// Few entries are kept and parts are small, so that snapshots happen all the time.
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

/// What came of a range of seeds.
#[derive(Default)]
struct Verdict {
    /// Smallest failing seed among those run, with its violation.
    violation: Option<(u64, String)>,
    /// What happened in each run.
    counts: Vec<Counts>,
}

/// Runs seeds on a few threads until one fails.
fn run_seeds(schedule: &Schedule, seeds: Range<u64>) -> Verdict {
    let next = AtomicU64::new(seeds.start);
    let verdict = Mutex::new(Verdict::default());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    let is_over = verdict.lock().expect("no panic").violation.is_some();
                    if seed >= seeds.end || is_over {
                        return;
                    }
                    let mut nemesis = Nemesis::new(schedule.clone(), seed);
                    let violation = nemesis.run();
                    let mut verdict = verdict.lock().expect("no panic");
                    verdict.counts.push(nemesis.counts());
                    let first = verdict.violation.as_ref().map_or(u64::MAX, |(first, _)| *first);
                    if let Some(violation) = violation.filter(|_| seed < first) {
                        verdict.violation = Some((seed, violation));
                    }
                }
            });
        }
    });
    verdict.into_inner().expect("no panic")
}

fn assert_sound(schedule: &Schedule, seeds: Range<u64>) {
    let runs = seeds.end - seeds.start;
    let verdict = run_seeds(schedule, seeds);
    if let Some((seed, violation)) = verdict.violation {
        panic!("seed {seed}, {} voters: {violation}", schedule.voters);
    }
    let sum = |field: fn(&Counts) -> u64| verdict.counts.iter().map(field).sum::<u64>();
    let at_least = |name: &str, count: u64, least: u64| {
        println!("{runs} schedules with {} voters: {name} {count}", schedule.voters);
        assert!(count > least, "too few {name}: {count}");
    };
    at_least("elections", sum(|counts| counts.leaders), 3 * runs);
    at_least("snapshots", sum(|counts| counts.restored), runs);
    at_least("member changes", sum(|counts| counts.member_changes), 5 * runs);
    at_least("lost memories", sum(|counts| counts.memories_lost), runs);
    let proposed = sum(|counts| counts.proposed);
    at_least("committed proposals", sum(|counts| counts.committed), proposed * 8 / 10);
}

/// Runs until the removed mechanism is missed, and checks that it shows as stated.
fn assert_missed(faults: Faults, expected: &[&str]) {
    const SEEDS: Range<u64> = 0..2_000;
    for (daemons, voters) in [(6, 3), (8, 5)] {
        let verdict = run_seeds(&schedule(daemons, voters, faults), SEEDS);
        let (seed, violation) = verdict.violation.expect("a violation");
        println!("{voters} voters, seed {seed}: {}", violation.lines().next().unwrap_or_default());
        let is_expected = expected.iter().any(|part| violation.contains(part));
        assert!(is_expected, "{voters} voters, seed {seed}: {violation}");
    }
}

#[test]
fn three_voters_hold_all_invariants() {
    assert_sound(&schedule(6, 3, Faults::default()), 0..2_000);
}

#[test]
fn five_voters_hold_all_invariants() {
    assert_sound(&schedule(8, 5, Faults::default()), 10_000..11_000);
}

#[test]
fn a_quorum_must_be_a_majority() {
    let expected = ["lacks committed entry", "both lead", "without contact to a quorum"];
    assert_missed(Faults { short_quorum: true, ..Faults::default() }, &expected);
}

#[test]
fn a_restarted_replica_must_not_answer_as_its_former_self() {
    let expected = ["former self", "votes twice", "lacks", "votes but is no more"];
    assert_missed(Faults { accept_any_incarnation: true, ..Faults::default() }, &expected);
}

#[test]
fn an_append_must_compare_the_entry_before_it() {
    // A snapshot of a replica whose log went wrong differs as well.
    let expected =
        ["logs differ", "applies another command", "lacks", "differs from what was committed"];
    assert_missed(Faults { no_previous_check: true, ..Faults::default() }, &expected);
}

#[test]
fn a_leader_without_a_quorum_must_step_down() {
    let expected = ["still leads without contact to a quorum"];
    assert_missed(Faults { no_check_quorum: true, ..Faults::default() }, &expected);
}

#[test]
fn a_vote_must_compare_logs() {
    let expected = ["lacks", "applies another command", "logs differ"];
    assert_missed(Faults { no_log_comparison: true, ..Faults::default() }, &expected);
}
