//! Tests of holding, offloading and releasing cache.

mod support;

use dahlia_placement::{Action, CacheNotice, EngineInventory, Event, PolicyKind};
use dahlia_types::{ChainId, Duration, EngineId, Incarnation, Tokens};
use support::{Harness, engine_description, engine_id, program_id, releases};

/// Records 60 pauses of a tool with the given length. With none, the programs end during the pause.
fn record_pauses(harness: &mut Harness, tool: &str, length: Option<Duration>) {
    for program in 10_000..10_060 {
        harness.run_call(program, 1);
        harness.pause_chain(program, tool);
        if let Some(length) = length {
            harness.now = harness.now + length;
            harness.run_call(program, 2);
        }
        harness.handle(Event::ProgramClosed(program_id(program)));
    }
    for number in 0..4 {
        for program in 10_000..10_060 {
            let program = program_id(program);
            harness.handle(Event::Released { program, engine: engine_id(number) });
        }
    }
}

/// When the first hold among `actions` expires.
fn hold_until(actions: &[Action]) -> Option<dahlia_types::Timestamp> {
    actions.iter().find_map(|action| match action {
        Action::Hold { until, .. } => Some(*until),
        _ => None,
    })
}

#[test]
fn cache_is_held_during_a_short_pause() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 4);
    record_pauses(&mut harness, "lookup", Some(Duration::from_secs(2)));
    harness.run_call(1, 1);
    let until = hold_until(&harness.pause_chain(1, "lookup")).expect("the cache is held");
    let length = until.since(harness.now);
    assert!(length >= Duration::from_secs(2) && length < Duration::from_secs(10), "{length:?}");
}

#[test]
fn cache_is_not_held_during_a_pause_that_never_ends() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 4);
    record_pauses(&mut harness, "gone", None);
    let first_engine = harness.run_call(1, 1);
    let actions = harness.pause_chain(1, "gone");
    assert_eq!(releases(&actions), [(program_id(1), first_engine)]);
}

#[test]
fn cache_is_offloaded_during_a_long_pause_and_copied_back() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 0);
    let mut with_memory = engine_description(0);
    with_memory.capacity.host_tokens = Tokens(1_000_000);
    harness.handle(Event::EngineJoined(with_memory));
    record_pauses(&mut harness, "person", Some(Duration::from_secs(120)));
    harness.run_call(1, 1);
    let mut actions = harness.pause_chain(1, "person");
    actions.extend(harness.advance(Duration::from_secs(1)));
    let offload =
        Action::Offload { program: program_id(1), chain: ChainId(0), engine: engine_id(0) };
    assert!(actions.contains(&offload), "{actions:?}");
    let done = Event::Offloaded {
        program: program_id(1),
        chain: ChainId(0),
        engine: engine_id(0),
        tokens: Tokens(5300),
    };
    assert_eq!(releases(&harness.handle(done)), [(program_id(1), engine_id(0))]);
    harness.advance(Duration::from_secs(100));
    let actions = harness.submit_call(1, 2);
    let copied = actions.iter().any(|action| {
        matches!(action, Action::Dispatch { copy_from: Some(source), .. } if source.engine == engine_id(0))
    });
    assert!(copied, "{actions:?}");
}

#[test]
fn baselines_leave_pauses_to_the_engines() {
    for kind in [PolicyKind::RoundRobin, PolicyKind::LeastLoaded, PolicyKind::StickyFcfs] {
        let mut harness = Harness::new(kind, 4);
        harness.run_call(1, 1);
        assert!(harness.pause_chain(1, "lookup").is_empty());
    }
}

#[test]
fn releases_of_an_ended_program_are_repeated_until_each_engine_confirms() {
    for kind in PolicyKind::ALL {
        let mut harness = Harness::new(kind, 4);
        let mut used_engines: Vec<EngineId> =
            (1..9).map(|number| harness.run_call(1, number)).collect();
        used_engines.sort();
        used_engines.dedup();
        let close = |harness: &mut Harness| harness.handle(Event::ProgramClosed(program_id(1)));
        let mut requested: Vec<EngineId> =
            releases(&close(&mut harness)).into_iter().map(|(_, engine)| engine).collect();
        requested.sort();
        assert_eq!(requested, used_engines, "{kind:?}");
        let confirmed = used_engines.pop().expect("at least one engine");
        let event = Event::Released { program: program_id(1), engine: confirmed };
        harness.handle(event);
        let repeated = releases(&harness.advance(Duration::from_secs(6)));
        let mut repeated: Vec<EngineId> = repeated.into_iter().map(|(_, engine)| engine).collect();
        repeated.sort();
        assert_eq!(repeated, used_engines, "{kind:?}");
        for engine in used_engines {
            harness.handle(Event::Released { program: program_id(1), engine });
        }
        assert_eq!(harness.scheduler.stats().releases_unconfirmed, 0);
        assert!(harness.advance(Duration::from_secs(60)).is_empty());
    }
}

#[test]
fn a_program_that_ends_in_the_middle_of_an_attempt_is_released_there() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 4);
    let actions = harness.submit_call(1, 1);
    let dispatch = support::dispatches(&actions).pop().expect("the call is dispatched");
    let actions = harness.handle(Event::ProgramClosed(program_id(1)));
    assert_eq!(releases(&actions), [(program_id(1), dispatch.engine)]);
}

#[test]
fn an_inventory_repeats_a_lost_release_and_leaves_unknown_programs_alone() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 1);
    harness.run_call(1, 1);
    harness.handle(Event::ProgramClosed(program_id(1)));
    let inventory = EngineInventory {
        engine: engine_id(0),
        incarnation: Incarnation(1),
        sequence: 9,
        programs: vec![(program_id(1), Tokens(5000)), (program_id(777), Tokens(5000))],
    };
    let actions = harness.handle(Event::Inventory(inventory));
    assert_eq!(releases(&actions), [(program_id(1), engine_id(0))]);
}

#[test]
fn a_gap_in_cache_events_requests_the_inventory_once() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 1);
    let notice = |sequence| {
        Event::Cache(CacheNotice {
            engine: engine_id(0),
            incarnation: Incarnation(1),
            sequence,
            program: program_id(1),
            resident: Tokens(10),
        })
    };
    assert!(harness.handle(notice(1)).is_empty());
    assert!(harness.handle(notice(2)).is_empty());
    assert_eq!(harness.handle(notice(5)), [Action::FetchInventory(engine_id(0))]);
    assert!(harness.handle(notice(9)).is_empty(), "no second request within the interval");
    assert_eq!(harness.scheduler.stats().cache_event_gaps, 2);
}

#[test]
fn superseded_cache_on_another_engine_is_released() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 2);
    let first_engine = harness.run_call(1, 1);
    harness.handle(Event::EngineLeaving(first_engine.clone()));
    let actions = harness.submit_call(1, 2);
    let moved = support::dispatches(&actions).pop().expect("the call is dispatched");
    assert_ne!(moved.engine, first_engine);
    let actions = harness.finish(moved.attempt);
    assert_eq!(releases(&actions), [(program_id(1), first_engine)]);
}
