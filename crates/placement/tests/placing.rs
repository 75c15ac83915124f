//! Where calls go: policies, late reports, engines that leave and fail.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use dahlia_placement::{Action, AttemptFailure, Event, PolicyKind};
use dahlia_types::{Duration, Incarnation, Tokens};
use support::{Bench, call_id, call_ready, dispatches, engine, joined, refused, report};

#[test]
fn round_robin_goes_round() {
    let mut bench = Bench::new(PolicyKind::RoundRobin, 4);
    let engines: BTreeSet<_> =
        (0..4).flat_map(|program| dispatches(&bench.ready(program, 1))).map(|d| d.engine).collect();
    assert_eq!(engines.len(), 4);
}

#[test]
fn least_loaded_counts_its_own_dispatches_before_any_report() {
    let mut bench = Bench::new(PolicyKind::LeastLoaded, 4);
    let mut counts = BTreeMap::new();
    for program in 0..40 {
        for dispatched in dispatches(&bench.ready(program, 1)) {
            *counts.entry(dispatched.engine).or_insert(0) += 1;
        }
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [10, 10, 10, 10]);
}

#[test]
fn sticky_stays_with_its_engine_until_it_leaves() {
    let mut bench = Bench::new(PolicyKind::StickyFcfs, 4);
    let home = bench.run_call(1, 1);
    for number in 2..6 {
        assert_eq!(bench.run_call(1, number), home);
    }
    bench.tell(Event::EngineLeaving(home.clone()));
    assert_ne!(bench.run_call(1, 6), home);
}

#[test]
fn program_aware_goes_where_the_prefix_is() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 8);
    for program in 0..10 {
        let home = bench.run_call(program, 1);
        for number in 2..5 {
            assert_eq!(bench.run_call(program, number), home, "program {program}");
        }
    }
}

#[test]
fn program_aware_leaves_an_overloaded_engine_and_copies_the_prefix() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 4);
    let home = bench.run_call(1, 1);
    let number = (0..4).find(|number| engine(*number) == home).expect("an engine of the bench");
    let mut busy = report(number, bench.now);
    busy.prefill_backlog = Tokens(600_000);
    bench.tell(Event::EngineReport(busy));
    let actions = bench.ready(1, 2);
    let [Action::Dispatch { engine, copy_from, .. }] = actions.as_slice() else {
        panic!("one dispatch is expected: {actions:?}");
    };
    assert_ne!(*engine, home);
    assert_eq!(copy_from.as_ref().map(|source| &source.engine), Some(&home));
}

#[test]
fn program_aware_does_not_herd_between_reports() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 8);
    bench.report_all(8, 0);
    let mut counts = BTreeMap::new();
    for program in 0..16 {
        for dispatched in dispatches(&bench.ready(program, 1)) {
            *counts.entry(dispatched.engine).or_insert(0) += 1;
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
            scheduler.handle(Event::EngineJoined(joined(number)), now);
        }
        let actions = scheduler.handle(Event::CallReady(call_ready(1, 1)), now);
        dispatches(&actions).pop().map(|dispatched| dispatched.engine)
    };
    let distinct: BTreeSet<_> = (0..20).map(first_choices).collect();
    assert!(distinct.len() >= 4, "{distinct:?}");
}

#[test]
fn a_leaving_engine_gets_nothing_new_and_gives_back_what_is_silent() {
    for kind in PolicyKind::ALL {
        let mut bench = Bench::new(kind, 2);
        let mut on_zero = Vec::new();
        for program in 0..8 {
            let dispatched = dispatches(&bench.ready(program, 1));
            on_zero.extend(dispatched.into_iter().filter(|d| d.engine == engine(0)));
        }
        let answering = on_zero.pop().expect("some are on engine 0");
        bench.tell(Event::FirstToken(answering.attempt));
        let actions = bench.tell(Event::EngineLeaving(engine(0)));
        let recalled: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                Action::Recall { attempt, .. } => Some(*attempt),
                _ => None,
            })
            .collect();
        assert_eq!(recalled, on_zero.iter().map(|d| d.attempt).collect::<Vec<_>>(), "{kind:?}");
        for attempt in recalled {
            let again = dispatches(&bench.fail(attempt, AttemptFailure::Recalled));
            assert_eq!(again.len(), 1);
            assert_eq!(again[0].engine, engine(1));
            assert_eq!(again[0].attempt.attempt, 2);
        }
        for program in 100..120 {
            let after = dispatches(&bench.ready(program, 1));
            assert!(after.iter().all(|d| d.engine == engine(1)), "{kind:?}: {after:?}");
        }
    }
}

#[test]
fn a_draining_report_is_as_good_as_the_list() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 2);
    let mut draining = report(0, bench.now);
    draining.draining = true;
    bench.tell(Event::EngineReport(draining));
    for program in 0..10 {
        let found = dispatches(&bench.ready(program, 1));
        assert!(found.iter().all(|d| d.engine == engine(1)));
    }
}

#[test]
fn without_an_engine_calls_are_refused_at_once() {
    for kind in PolicyKind::ALL {
        let mut bench = Bench::new(kind, 0);
        let actions = bench.ready(1, 1);
        assert_eq!(refused(&actions).len(), 1, "{kind:?}: {actions:?}");
    }
}

#[test]
fn a_failing_engine_is_ejected_and_probed() {
    let mut bench = Bench::new(PolicyKind::RoundRobin, 2);
    let mut program = 0;
    while bench.scheduler.stats().engines_ejected == 0 {
        program += 1;
        assert!(program < 40, "engine 0 should be ejected by now");
        for dispatched in dispatches(&bench.ready(program, 1)) {
            if dispatched.engine == engine(0) {
                bench.fail(dispatched.attempt, AttemptFailure::EngineLost);
            } else {
                bench.finish(dispatched.attempt);
            }
        }
    }
    for program in 100..110 {
        assert_eq!(bench.run_call(program, 1), engine(1));
    }
    bench.pass(Duration::from_secs(3));
    let probes: Vec<_> = (200..210)
        .flat_map(|program| dispatches(&bench.ready(program, 1)))
        .filter(|dispatched| dispatched.engine == engine(0))
        .collect();
    assert_eq!(probes.len(), 1, "one probe and no more: {probes:?}");
    bench.finish(probes[0].attempt);
    assert_eq!(bench.scheduler.stats().engines_ejected, 0);
}

#[test]
fn retries_are_bounded_by_the_budget() {
    let mut bench = Bench::with(PolicyKind::LeastLoaded, 4, |settings| {
        settings.failure.retry_burst = 10.0;
        settings.failure.eject_after = 1000;
    });
    let mut attempts = 0;
    let mut refusals = 0;
    for program in 0..100 {
        let mut open = dispatches(&bench.ready(program, 1));
        while let Some(dispatched) = open.pop() {
            attempts += 1;
            let actions = bench.fail(dispatched.attempt, AttemptFailure::EngineLost);
            refusals += refused(&actions).len();
            open.extend(dispatches(&actions));
        }
    }
    assert_eq!(attempts, 110, "a hundred calls and ten retries");
    assert_eq!(refusals, 100);
}

#[test]
fn a_new_life_of_an_engine_has_no_cache() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 2);
    let home = bench.run_call(1, 1);
    let number = (0..2).find(|number| engine(*number) == home).expect("an engine of the bench");
    let mut other = report(1 - number, bench.now);
    other.prefill_backlog = Tokens(60_000);
    bench.tell(Event::EngineReport(other));
    let mut restarted = report(number, bench.now);
    restarted.incarnation = Incarnation(2);
    restarted.prefill_backlog = Tokens(90_000);
    bench.tell(Event::EngineReport(restarted));
    let found = dispatches(&bench.ready(1, 2));
    assert_eq!(found[0].engine, engine(1 - number), "the old prefix counts no more");
}

#[test]
fn a_call_told_twice_is_dispatched_once() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 2);
    assert_eq!(dispatches(&bench.ready(1, 1)).len(), 1);
    assert!(bench.ready(1, 1).is_empty());
    assert_eq!(call_id(1, 1).number, 1);
}

#[test]
fn a_decision_looks_at_a_bounded_number_of_engines() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 600);
    for program in 0..500 {
        bench.run_call(program, 1);
        bench.run_call(program, 2);
    }
    let stats = bench.scheduler.stats();
    let most = 8 + 2;
    assert!(stats.engines_examined <= most * stats.decisions, "{stats:?}");
}
