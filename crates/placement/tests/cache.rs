//! What is held, offloaded, dropped and released.

mod support;

use dahlia_placement::{Action, CacheNotice, EngineInventory, Event, PolicyKind};
use dahlia_types::{ChainId, Duration, EngineId, Incarnation, Tokens};
use support::{Bench, engine, joined, program_id, released};

/// Teaches the scheduler how long a tool's pauses last; none means that it never returns.
fn teach(bench: &mut Bench, tool: &str, length: Option<Duration>) {
    for program in 10_000..10_060 {
        bench.run_call(program, 1);
        bench.pause(program, tool);
        if let Some(length) = length {
            bench.now = bench.now + length;
            bench.run_call(program, 2);
        }
        bench.tell(Event::ProgramClosed(program_id(program)));
    }
    for number in 0..4 {
        for program in 10_000..10_060 {
            let program = program_id(program);
            bench.tell(Event::Released { program, engine: engine(number) });
        }
    }
}

fn hold_until(actions: &[Action]) -> Option<dahlia_types::Timestamp> {
    actions.iter().find_map(|action| match action {
        Action::Hold { until, .. } => Some(*until),
        _ => None,
    })
}

#[test]
fn a_short_pause_is_held_through() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 4);
    teach(&mut bench, "lookup", Some(Duration::from_secs(2)));
    bench.run_call(1, 1);
    let until = hold_until(&bench.pause(1, "lookup")).expect("the cache is held");
    let length = until.since(bench.now);
    assert!(length >= Duration::from_secs(2) && length < Duration::from_secs(10), "{length:?}");
}

#[test]
fn a_pause_that_never_ends_is_not_held() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 4);
    teach(&mut bench, "gone", None);
    let home = bench.run_call(1, 1);
    let actions = bench.pause(1, "gone");
    assert_eq!(released(&actions), [(program_id(1), home)]);
}

#[test]
fn a_long_pause_goes_to_the_hosts_memory_and_comes_back_from_there() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 0);
    let mut with_memory = joined(0);
    with_memory.capacity.host_tokens = Tokens(1_000_000);
    bench.tell(Event::EngineJoined(with_memory));
    teach(&mut bench, "person", Some(Duration::from_secs(120)));
    bench.run_call(1, 1);
    let mut actions = bench.pause(1, "person");
    actions.extend(bench.pass(Duration::from_secs(1)));
    let offload = Action::Offload { program: program_id(1), chain: ChainId(0), engine: engine(0) };
    assert!(actions.contains(&offload), "{actions:?}");
    let done = Event::Offloaded {
        program: program_id(1),
        chain: ChainId(0),
        engine: engine(0),
        tokens: Tokens(5300),
    };
    assert_eq!(released(&bench.tell(done)), [(program_id(1), engine(0))]);
    bench.pass(Duration::from_secs(100));
    let actions = bench.ready(1, 2);
    let copied = actions.iter().any(|action| {
        matches!(action, Action::Dispatch { copy_from: Some(source), .. } if source.engine == engine(0))
    });
    assert!(copied, "{actions:?}");
}

#[test]
fn baselines_leave_pauses_to_the_engines() {
    for kind in [PolicyKind::RoundRobin, PolicyKind::LeastLoaded, PolicyKind::StickyFcfs] {
        let mut bench = Bench::new(kind, 4);
        bench.run_call(1, 1);
        assert!(bench.pause(1, "lookup").is_empty());
    }
}

#[test]
fn the_end_of_a_program_releases_every_engine_until_each_confirms() {
    for kind in PolicyKind::ALL {
        let mut bench = Bench::new(kind, 4);
        let mut touched: Vec<EngineId> = (1..9).map(|number| bench.run_call(1, number)).collect();
        touched.sort();
        touched.dedup();
        let close = |bench: &mut Bench| bench.tell(Event::ProgramClosed(program_id(1)));
        let mut asked: Vec<EngineId> =
            released(&close(&mut bench)).into_iter().map(|(_, engine)| engine).collect();
        asked.sort();
        assert_eq!(asked, touched, "{kind:?}");
        let confirmed = touched.pop().expect("one engine at least");
        let event = Event::Released { program: program_id(1), engine: confirmed };
        bench.tell(event);
        let again = released(&bench.pass(Duration::from_secs(6)));
        let mut again: Vec<EngineId> = again.into_iter().map(|(_, engine)| engine).collect();
        again.sort();
        assert_eq!(again, touched, "{kind:?}");
        for engine in touched {
            bench.tell(Event::Released { program: program_id(1), engine });
        }
        assert_eq!(bench.scheduler.stats().releases_unconfirmed, 0);
        assert!(bench.pass(Duration::from_secs(60)).is_empty());
    }
}

#[test]
fn a_program_that_ends_in_the_middle_of_an_attempt_is_released_there() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 4);
    let actions = bench.ready(1, 1);
    let dispatched = support::dispatches(&actions).pop().expect("it is dispatched");
    let actions = bench.tell(Event::ProgramClosed(program_id(1)));
    assert_eq!(released(&actions), [(program_id(1), dispatched.engine)]);
}

#[test]
fn an_inventory_shows_a_lost_release_and_leaves_others_programs_alone() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 1);
    bench.run_call(1, 1);
    bench.tell(Event::ProgramClosed(program_id(1)));
    let inventory = EngineInventory {
        engine: engine(0),
        incarnation: Incarnation(1),
        sequence: 9,
        programs: vec![(program_id(1), Tokens(5000)), (program_id(777), Tokens(5000))],
    };
    let actions = bench.tell(Event::Inventory(inventory));
    assert_eq!(released(&actions), [(program_id(1), engine(0))]);
}

#[test]
fn a_gap_in_cache_events_asks_for_the_inventory_once() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 1);
    let notice = |sequence| {
        Event::Cache(CacheNotice {
            engine: engine(0),
            incarnation: Incarnation(1),
            sequence,
            program: program_id(1),
            resident: Tokens(10),
        })
    };
    assert!(bench.tell(notice(1)).is_empty());
    assert!(bench.tell(notice(2)).is_empty());
    assert_eq!(bench.tell(notice(5)), [Action::FetchInventory(engine(0))]);
    assert!(bench.tell(notice(9)).is_empty(), "not again so soon");
    assert_eq!(bench.scheduler.stats().cache_event_gaps, 2);
}

#[test]
fn a_copy_that_is_no_longer_the_newest_is_released() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 2);
    let home = bench.run_call(1, 1);
    bench.tell(Event::EngineLeaving(home.clone()));
    let actions = bench.ready(1, 2);
    let moved = support::dispatches(&actions).pop().expect("it is dispatched");
    assert_ne!(moved.engine, home);
    let actions = bench.finish(moved.attempt);
    assert_eq!(released(&actions), [(program_id(1), home)]);
}
