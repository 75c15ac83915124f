//! Thousands of seeded schedules with faults, and the same checks failing without a mechanism.

mod support;

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use dahlia_replication::group::{Faults, GroupSettings};
use dahlia_types::Duration;
use support::nemesis::{Nemesis, Schedule};

const THREADS: usize = 4;

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
    Schedule {
        daemons,
        voters,
        length: Duration::from_secs(15),
        settings: settings(faults),
        loses_memory: true,
    }
}

/// Runs seeds on a few threads until one fails; returns the failing seed that is smallest
/// among those run, with its violation.
fn first_violation(schedule: &Schedule, seeds: std::ops::Range<u64>) -> Option<(u64, String)> {
    let next = AtomicU64::new(seeds.start);
    let found: Mutex<Option<(u64, String)>> = Mutex::new(None);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end || found.lock().expect("no panic").is_some() {
                        return;
                    }
                    let Some(violation) = Nemesis::new(schedule.clone(), seed).run() else {
                        continue;
                    };
                    let mut found = found.lock().expect("no panic");
                    if found.as_ref().is_none_or(|(first, _)| seed < *first) {
                        *found = Some((seed, violation));
                    }
                }
            });
        }
    });
    found.into_inner().expect("no panic")
}

fn assert_sound(schedule: &Schedule, seeds: std::ops::Range<u64>) {
    if let Some((seed, violation)) = first_violation(schedule, seeds) {
        panic!("seed {seed}, {} voters: {violation}", schedule.voters);
    }
}

#[test]
fn three_voters_hold_all_invariants() {
    assert_sound(&schedule(6, 3, Faults::default()), 0..4_000);
}

#[test]
fn five_voters_hold_all_invariants() {
    assert_sound(&schedule(8, 5, Faults::default()), 10_000..13_000);
}
