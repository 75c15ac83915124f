//! Tests of the choice of engines: policies, late reports, and engines that drain or fail.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dahlia_placement::{Action, AttemptFailure, Event, PolicyKind};
use dahlia_types::{Duration, Incarnation, Tokens};
use support::{
    Harness, call_id, dispatches, engine_description, engine_id, engine_report, ready_call,
    refusals,
};

#[test]
fn round_robin_uses_every_engine() {
    let mut harness = Harness::new(PolicyKind::RoundRobin, 4);
    let engines: BTreeSet<_> = (0..4)
        .flat_map(|program| dispatches(&harness.submit_call(program, 1)))
        .map(|dispatch| dispatch.engine)
        .collect();
    assert_eq!(engines.len(), 4);
}

#[test]
fn least_loaded_counts_its_own_dispatches_before_any_report() {
    let mut harness = Harness::new(PolicyKind::LeastLoaded, 4);
    let mut counts = BTreeMap::new();
    for program in 0..40 {
        for dispatch in dispatches(&harness.submit_call(program, 1)) {
            *counts.entry(dispatch.engine).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [10, 10, 10, 10]);
}

#[test]
fn sticky_keeps_a_program_on_its_engine_until_the_engine_drains() {
    let mut harness = Harness::new(PolicyKind::StickyFcfs, 4);
    let first_engine = harness.run_call(1, 1);
    for number in 2..6 {
        assert_eq!(harness.run_call(1, number), first_engine);
    }
    harness.handle(Event::EngineLeaving(first_engine.clone()));
    assert_ne!(harness.run_call(1, 6), first_engine);
}

#[test]
fn program_aware_chooses_the_engine_with_the_prefix() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 8);
    for program in 0..10 {
        let first_engine = harness.run_call(program, 1);
        for number in 2..5 {
            assert_eq!(harness.run_call(program, number), first_engine, "program {program}");
        }
    }
}

#[test]
fn program_aware_leaves_an_overloaded_engine_and_copies_the_prefix() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 4);
    let first_engine = harness.run_call(1, 1);
    let number =
        (0..4).find(|number| engine_id(*number) == first_engine).expect("an engine of the harness");
    let mut busy = engine_report(number, harness.now);
    busy.prefill_backlog = Tokens(600_000);
    harness.handle(Event::EngineReport(busy));
    let actions = harness.submit_call(1, 2);
    let [Action::Dispatch { engine, copy_from, .. }] = actions.as_slice() else {
        panic!("expected one dispatch: {actions:?}");
    };
    assert_ne!(*engine, first_engine);
    assert_eq!(copy_from.as_ref().map(|source| &source.engine), Some(&first_engine));
}

#[test]
fn program_aware_does_not_herd_between_reports() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 8);
    harness.report_all(8, 0);
    let mut counts = BTreeMap::new();
    for program in 0..16 {
        for dispatch in dispatches(&harness.submit_call(program, 1)) {
            *counts.entry(dispatch.engine).or_insert(0) += 1;
        }
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(counts.len() >= 6, "{counts:?}");
    assert!(most <= 4, "{counts:?}");
}

#[test]
fn different_seeds_break_ties_differently() {
    let first_choices = |seed| {
        let settings = dahlia_placement::PlacementSettings::default();
        let mut scheduler =
            dahlia_placement::Scheduler::new(settings, PolicyKind::ProgramAware, seed);
        let now = dahlia_types::Timestamp(1);
        for number in 0..8 {
            scheduler.handle(Event::EngineJoined(engine_description(number)), now);
        }
        let actions = scheduler.handle(Event::CallReady(ready_call(1, 1)), now);
        dispatches(&actions).pop().map(|dispatch| dispatch.engine)
    };
    let distinct: BTreeSet<_> = (0..20).map(first_choices).collect();
    assert!(distinct.len() >= 4, "{distinct:?}");
}

#[test]
fn a_draining_engine_gets_no_new_attempts_and_unanswered_ones_are_recalled() {
    for kind in PolicyKind::ALL {
        let mut harness = Harness::new(kind, 2);
        let mut on_zero = Vec::new();
        for program in 0..8 {
            let dispatch = dispatches(&harness.submit_call(program, 1));
            on_zero.extend(dispatch.into_iter().filter(|dispatch| dispatch.engine == engine_id(0)));
        }
        let answering = on_zero.pop().expect("some are on engine 0");
        harness.handle(Event::FirstToken(answering.attempt));
        let actions = harness.handle(Event::EngineLeaving(engine_id(0)));
        let recalled: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                Action::Recall { attempt, .. } => Some(*attempt),
                _ => None,
            })
            .collect();
        assert_eq!(
            recalled,
            on_zero.iter().map(|dispatch| dispatch.attempt).collect::<Vec<_>>(),
            "{kind:?}"
        );
        for attempt in recalled {
            let repeated = dispatches(&harness.fail(attempt, AttemptFailure::Recalled));
            assert_eq!(repeated.len(), 1);
            assert_eq!(repeated[0].engine, engine_id(1));
            assert_eq!(repeated[0].attempt.attempt, 2);
        }
        for program in 100..120 {
            let after = dispatches(&harness.submit_call(program, 1));
            assert!(
                after.iter().all(|dispatch| dispatch.engine == engine_id(1)),
                "{kind:?}: {after:?}"
            );
        }
    }
}

#[test]
fn a_draining_report_takes_the_engine_out_of_service() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 2);
    let mut draining = engine_report(0, harness.now);
    draining.draining = true;
    harness.handle(Event::EngineReport(draining));
    for program in 0..10 {
        let found = dispatches(&harness.submit_call(program, 1));
        assert!(found.iter().all(|dispatch| dispatch.engine == engine_id(1)));
    }
}

#[test]
fn without_an_engine_calls_are_refused_at_once() {
    for kind in PolicyKind::ALL {
        let mut harness = Harness::new(kind, 0);
        let actions = harness.submit_call(1, 1);
        assert_eq!(refusals(&actions).len(), 1, "{kind:?}: {actions:?}");
    }
}

#[test]
fn a_failing_engine_is_ejected_and_probed() {
    let mut harness = Harness::new(PolicyKind::RoundRobin, 2);
    let mut program = 0;
    while harness.scheduler.stats().engines_ejected == 0 {
        program += 1;
        assert!(program < 40, "engine 0 is not ejected after 40 programs");
        for dispatch in dispatches(&harness.submit_call(program, 1)) {
            if dispatch.engine == engine_id(0) {
                harness.fail(dispatch.attempt, AttemptFailure::EngineLost);
            } else {
                harness.finish(dispatch.attempt);
            }
        }
    }
    for program in 100..110 {
        assert_eq!(harness.run_call(program, 1), engine_id(1));
    }
    harness.advance(Duration::from_secs(3));
    let probes: Vec<_> = (200..210)
        .flat_map(|program| dispatches(&harness.submit_call(program, 1)))
        .filter(|dispatch| dispatch.engine == engine_id(0))
        .collect();
    assert_eq!(probes.len(), 1, "expected one probe: {probes:?}");
    harness.finish(probes[0].attempt);
    assert_eq!(harness.scheduler.stats().engines_ejected, 0);
}

#[test]
fn retries_are_bounded_by_the_budget() {
    let mut harness = Harness::with_settings(PolicyKind::LeastLoaded, 4, |settings| {
        settings.failure.retry_burst = 10.0;
        settings.failure.eject_after = 1000;
    });
    let mut attempts = 0;
    let mut refusal_count = 0;
    for program in 0..100 {
        let mut open = dispatches(&harness.submit_call(program, 1));
        while let Some(dispatch) = open.pop() {
            attempts += 1;
            let actions = harness.fail(dispatch.attempt, AttemptFailure::EngineLost);
            refusal_count += refusals(&actions).len();
            open.extend(dispatches(&actions));
        }
    }
    assert_eq!(attempts, 110, "100 calls and 10 retries");
    assert_eq!(refusal_count, 100);
}

#[test]
fn a_restarted_engine_has_no_cache() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 2);
    let first_engine = harness.run_call(1, 1);
    let number =
        (0..2).find(|number| engine_id(*number) == first_engine).expect("an engine of the harness");
    let mut other = engine_report(1 - number, harness.now);
    other.prefill_backlog = Tokens(60_000);
    harness.handle(Event::EngineReport(other));
    let mut restarted = engine_report(number, harness.now);
    restarted.incarnation = Incarnation(2);
    restarted.prefill_backlog = Tokens(90_000);
    harness.handle(Event::EngineReport(restarted));
    let found = dispatches(&harness.submit_call(1, 2));
    assert_eq!(
        found[0].engine,
        engine_id(1 - number),
        "the prefix from before the restart still counts"
    );
}

#[test]
fn a_duplicate_call_is_dispatched_once() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 2);
    assert_eq!(dispatches(&harness.submit_call(1, 1)).len(), 1);
    assert!(harness.submit_call(1, 1).is_empty());
    assert_eq!(call_id(1, 1).number, 1);
}

#[test]
fn a_decision_examines_a_bounded_number_of_engines() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 600);
    for program in 0..500 {
        harness.run_call(program, 1);
        harness.run_call(program, 2);
    }
    let stats = harness.scheduler.stats();
    let most = 8 + 2;
    assert!(stats.engines_examined <= most * stats.decisions, "{stats:?}");
}
