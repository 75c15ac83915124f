//! Random schedules of a group's commands against modelled engines, callers and a network that
//! delays and repeats; one checker per promise, judging by what engines and callers saw.

#[path = "../common/mod.rs"]
mod common;

mod checker;
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
fn every_promise_holds_in_every_schedule() {
    let mut seen = OutcomeCounts::default();
    for seed in 0..SEEDS {
        let world = run(seed, None).unwrap_or_else(|broken| panic!("{broken:?}"));
        seen.add(&world.checker);
    }
    // Schedules in which an outcome hardly comes about would prove little about it.
    let least = 2 * SEEDS;
    let rarest = seen.answered.min(seen.unknown).min(seen.not_run);
    assert!(rarest >= least, "some outcome is rare: {seen:?}");
}

#[test]
fn replicas_that_apply_the_same_commands_have_the_same_bytes() {
    for seed in 0..SEEDS {
        let world = run(seed, None).unwrap_or_else(|broken| panic!("{broken:?}"));
        assert!(world.restores > 0, "seed {seed}: no snapshot was restored");
        assert_eq!(world.state.snapshot(), world.replayed().snapshot(), "seed {seed}");
    }
}

/// Asserts that some schedule breaks `promise` once `mechanism` is off.
fn assert_needed(mechanism: Mechanism, promise: Promise) {
    let broken = (0..SEEDS).filter_map(|seed| run(seed, Some(mechanism)).err());
    let found: std::collections::BTreeSet<Promise> = broken.map(|(promise, _)| promise).collect();
    assert!(found.contains(&promise), "without {mechanism:?} only {found:?} broke");
}

#[test]
fn without_the_reservation_the_budget_is_overspent() {
    assert_needed(Mechanism::Reservation, Promise::Budget);
}

#[test]
fn without_the_limit_of_charges_the_budget_is_overspent() {
    assert_needed(Mechanism::ChargeLimit, Promise::Budget);
}

#[test]
fn without_the_rule_for_calls_at_most_once_a_call_runs_twice() {
    assert_needed(Mechanism::AtMostOnce, Promise::AtMostOnce);
}

#[test]
fn without_the_order_gate_calls_overtake() {
    assert_needed(Mechanism::OrderGate, Promise::Order);
}

#[test]
fn without_the_digest_check_a_caller_gets_another_requests_answer() {
    assert_needed(Mechanism::DigestCheck, Promise::OwnAnswer);
}

#[test]
fn without_the_match_of_attempts_a_late_answer_is_taken_for_another() {
    assert_needed(Mechanism::AttemptMatch, Promise::OwnAnswer);
}

#[test]
fn without_obligations_engines_keep_memory_that_nobody_frees() {
    assert_needed(Mechanism::Obligation, Promise::Release);
}

#[test]
fn without_the_cover_of_releases_engines_keep_memory_that_nobody_frees() {
    assert_needed(Mechanism::ReleaseCover, Promise::Release);
}

#[test]
fn without_the_rule_for_not_run_a_call_that_ran_is_told_as_not_run() {
    assert_needed(Mechanism::NotRunRule, Promise::NotRun);
}
