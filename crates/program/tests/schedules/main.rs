//! Random schedules of a group's commands against modelled engines, callers and a network that
//! delays and repeats; one checker per promise, judging by what engines and callers saw.

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

/// Runs one schedule; gives the broken promise with its description.
fn run(seed: u64, off: Option<Mechanism>) -> Result<World, (Promise, String)> {
    let mut world = World::new(seed, off);
    for step in 0..STEPS {
        if step == STEPS / 2 {
            world.hand_over().expect("a hand-over checks nothing");
        }
        let broken = world.step().and_then(|()| world.check());
        broken.map_err(|(promise, text)| (promise, format!("seed {seed}, step {step}: {text}")))?;
    }
    Ok(world)
}

#[test]
fn every_promise_holds_and_all_comes_to_an_end_in_every_schedule() {
    let mut seen = OutcomeCounts::default();
    for seed in 0..SEEDS {
        let mut world = run(seed, None).unwrap_or_else(|broken| panic!("{broken:?}"));
        let left = world.settle().unwrap_or_else(|broken| panic!("seed {seed}: {broken:?}"));
        assert_eq!(left, [], "seed {seed}: kept though all has ended");
        // One replica was restored from snapshots on the way, the other applied the whole log.
        assert_eq!(world.state.snapshot(), world.replayed().snapshot(), "seed {seed}");
        seen.add(&world.checker);
    }
    // Schedules in which an outcome hardly comes about would prove little about it.
    let least = 2 * SEEDS;
    let rarest = seen.answered.min(seen.unknown).min(seen.not_run);
    assert!(rarest >= least, "some outcome is rare: {seen:?}");
    assert!(seen.begun_again >= SEEDS, "calls are hardly begun again: {seen:?}");
}

/// Asserts that some schedule breaks `promise` once `mechanism` is off.
fn assert_needed(mechanism: Mechanism, promise: Promise) {
    let breaks = |seed| run(seed, Some(mechanism)).is_err_and(|(broken, _)| broken == promise);
    assert!((0..SEEDS).any(breaks), "no schedule breaks {promise:?} without {mechanism:?}");
}

#[test]
fn the_budget_needs_the_reservation_and_the_limit_of_charges() {
    assert_needed(Mechanism::Reservation, Promise::Budget);
    assert_needed(Mechanism::ChargeLimit, Promise::Budget);
}

#[test]
fn calls_at_most_once_need_their_rule() {
    assert_needed(Mechanism::AtMostOnce, Promise::AtMostOnce);
}

#[test]
fn the_order_needs_its_gate() {
    assert_needed(Mechanism::OrderGate, Promise::Order);
}

#[test]
fn a_callers_own_answer_needs_the_digest_check_and_the_match_of_attempts() {
    assert_needed(Mechanism::DigestCheck, Promise::OwnAnswer);
    assert_needed(Mechanism::AttemptMatch, Promise::OwnAnswer);
}

#[test]
fn the_release_of_memory_needs_obligations_and_their_cover() {
    assert_needed(Mechanism::Obligation, Promise::Release);
    assert_needed(Mechanism::ReleaseCover, Promise::Release);
}

#[test]
fn not_run_needs_its_rule() {
    assert_needed(Mechanism::NotRunRule, Promise::NotRun);
}
