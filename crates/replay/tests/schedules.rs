//! Random schedules of workload and faults: every promise holds in each.
//!
//! Set by seed: a failure prints the seed and the shortest schedule that still fails.

use dahlia_replay::schedules::{FaultCount, draw};
use dahlia_replay::{Switches, run, shrink, trace};

const SCHEDULES_OF_EACH: u64 = 60;

fn check(count: FaultCount, seeds: std::ops::Range<u64>) {
    let switches = Switches::all_on();
    for seed in seeds {
        let schedule = draw(seed, count);
        let judgement = run(&schedule, seed, &switches).judgement;
        if let Some(first) = judgement.violations.first() {
            let shortest = trace::write(&shrink(&schedule, seed, first, &switches));
            panic!("seed {seed}: {}: {}\n{shortest}", first.promise, first.what);
        }
        assert!(judgement.figures.calls > 0, "seed {seed} has no work");
    }
}

#[test]
fn without_faults() {
    check(FaultCount::None, 0..20);
}

#[test]
fn with_one_fault() {
    check(FaultCount::Single, 1_000..1_000 + SCHEDULES_OF_EACH);
}

#[test]
fn with_two_faults_together() {
    check(FaultCount::Pair, 2_000..2_000 + SCHEDULES_OF_EACH);
}

#[test]
fn with_the_same_fault_twice_in_a_row() {
    check(FaultCount::Twice, 3_000..3_000 + SCHEDULES_OF_EACH);
}

#[test]
fn with_many_faults() {
    check(FaultCount::Many, 4_000..4_000 + SCHEDULES_OF_EACH);
}
