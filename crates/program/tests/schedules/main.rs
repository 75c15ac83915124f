//! Random schedules of a group's commands with simulated engines, callers and a network that delays
//! and duplicates messages. Each promise is checked against what engines and callers observed.

#[path = "../common/mod.rs"]
mod common;

mod callers;
mod checker;
mod engine;
mod world;

use checker::{OutcomeCounts, Promise};
use dahlia_program::Mechanism;
use world::World;

const SEEDS: u64 = 400;
const STEPS: usize = 300;

/// Runs one schedule. Fails with the first broken promise and its description.
fn run_schedule(seed: u64, disabled: Option<Mechanism>) -> Result<World, (Promise, String)> {
    let mut world = World::new(seed, disabled);
    for step in 0..STEPS {
        if step == STEPS / 2 {
            world.change_owner().expect("a change of owner checks nothing");
        }
        let broken = world.step().and_then(|()| world.check());
        broken.map_err(|(promise, text)| (promise, format!("seed {seed}, step {step}: {text}")))?;
    }
    Ok(world)
}

#[test]
fn every_schedule_keeps_the_promises_and_leaves_no_program() {
    let mut counts = OutcomeCounts::default();
    for seed in 0..SEEDS {
        let mut world = run_schedule(seed, None).unwrap_or_else(|broken| panic!("{broken:?}"));
        let left = world.finish_all().unwrap_or_else(|broken| panic!("seed {seed}: {broken:?}"));
        assert_eq!(left, [], "seed {seed}: kept although every program has ended");
        // One replica was restored from snapshots during the run, the other applied the entire log.
        assert_eq!(world.state.snapshot(), world.replayed().snapshot(), "seed {seed}");
        counts.add(&world.checker);
    }
    // Schedules in which an outcome is rare would prove little about it.
    let least = 2 * SEEDS;
    let rarest = counts.answered.min(counts.unknown).min(counts.not_run);
    assert!(rarest >= least, "some outcome is rare: {counts:?}");
    assert!(counts.begun_again >= SEEDS, "calls are hardly begun again: {counts:?}");
}

/// Asserts that some schedule breaks `promise` once `mechanism` is disabled.
fn assert_needed(mechanism: Mechanism, promise: Promise) {
    let breaks =
        |seed| run_schedule(seed, Some(mechanism)).is_err_and(|(broken, _)| broken == promise);
    assert!((0..SEEDS).any(breaks), "no schedule breaks {promise:?} without {mechanism:?}");
}

#[test]
fn the_budget_needs_the_reservation_and_the_limit_of_charges() {
    assert_needed(Mechanism::Reservation, Promise::Budget);
    assert_needed(Mechanism::ChargeLimit, Promise::Budget);
}

#[test]
fn at_most_once_calls_need_their_rule() {
    assert_needed(Mechanism::AtMostOnce, Promise::AtMostOnce);
}

#[test]
fn the_order_needs_the_order_gate() {
    assert_needed(Mechanism::OrderGate, Promise::Order);
}

#[test]
fn matching_answers_need_the_digest_check_and_the_attempt_match() {
    assert_needed(Mechanism::DigestCheck, Promise::MatchingAnswer);
    assert_needed(Mechanism::AttemptMatch, Promise::MatchingAnswer);
}

#[test]
fn the_release_of_memory_needs_obligations_and_the_check_of_their_cover() {
    assert_needed(Mechanism::Obligation, Promise::Release);
    assert_needed(Mechanism::ReleaseCover, Promise::Release);
}

#[test]
fn the_not_run_outcome_needs_its_rule() {
    assert_needed(Mechanism::NotRunRule, Promise::NotRun);
}
