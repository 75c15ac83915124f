//! Behaviour of one engine: batching, cache, fences, holds, transfers and orders.

mod support;

use dahlia_engine_model::{
    AfterHold, AttemptStatus, Cancel, EngineCommand, EngineEvent, EngineOrder, EngineRefusal,
    EngineReply, EngineRole, Export, Fence, Hold, Import, OrderKind, Priority, Release,
};
use dahlia_types::{Duration, Generation, Incarnation, Term, Timestamp, Tokens};
use support::{Bench, attempt, finished, model, prompt, segment, submit, tenant};

#[test]
fn an_attempt_generates_every_token_once_and_ends_with_its_usage() {
    let mut bench = Bench::new();
    assert_eq!(bench.submit(submit(1, 1, prompt(1, 3000), 40)), EngineReply::Accepted);
    let events = bench.run();
    let mut next = 0;
    for event in &events {
        if let EngineEvent::Generated { offset, count, .. } = event {
            assert_eq!(offset.0, next, "tokens come without gap or repetition");
            next += count.0;
        }
    }
    assert_eq!(next, 40);
    let usage = finished(&events, attempt(1, 1));
    assert_eq!((usage.prompt.0, usage.cached.0, usage.generated.0), (3000, 0, 40));
    assert_eq!(bench.engine.status(attempt(1, 1)), AttemptStatus::Finished(usage));
}

#[test]
fn leaps_over_decode_steps_end_at_the_same_moment_as_single_steps() {
    let end = |leap| {
        let mut bench = Bench::with(|parameters| {
            parameters.max_leap_steps = leap;
            parameters.report_progress = false;
        });
        bench.submit(submit(1, 1, prompt(1, 3000), 200));
        bench.until(Timestamp(700_000));
        bench.submit(submit(2, 1, prompt(2, 500), 30));
        bench.run();
        bench.now
    };
    // A leap prices all its steps at the context of the first, so it is slightly early.
    let (single, leaps) = (end(1).0 as f64, end(256).0 as f64);
    assert!((single - leaps).abs() / single < 0.01, "{single} against {leaps}");
}

#[test]
fn the_next_turn_finds_prompt_and_answer_in_the_cache() {
    let mut bench = Bench::new();
    let first = prompt(1, 3000);
    bench.submit(submit(1, 1, first.clone(), 100));
    bench.run();
    let mut second = first;
    second.extend([segment(support::answer_hash(1, 1), 100), segment(77, 50)]);
    bench.submit(submit(1, 2, second, 10));
    let events = bench.run();
    assert_eq!(finished(&events, attempt(1, 2)).cached, Tokens(3100));
}

#[test]
fn tenants_never_share_cache() {
    let mut bench = Bench::new();
    bench.submit(submit(1, 1, prompt(1, 3000), 10));
    bench.run();
    let mut other = submit(2, 1, prompt(1, 3000), 10);
    other.tenant = tenant("other");
    bench.submit(other);
    let events = bench.run();
    assert_eq!(finished(&events, attempt(2, 1)).cached, Tokens::ZERO);
}

#[test]
fn a_shared_prefix_is_found_by_another_program_of_the_tenant() {
    let mut bench = Bench::new();
    let shared = segment(5, 2000);
    bench.submit(submit(1, 1, vec![shared, segment(6, 500)], 10));
    bench.run();
    bench.submit(submit(2, 1, vec![shared, segment(7, 500)], 10));
    let events = bench.run();
    assert_eq!(finished(&events, attempt(2, 1)).cached, Tokens(2000));
}

#[test]
fn urgent_attempts_go_first() {
    let mut bench = Bench::with(|parameters| parameters.max_batch = 1);
    bench.submit(submit(1, 1, prompt(1, 1000), 50));
    for (program, priority) in [(2, 9), (3, 5), (4, 1)] {
        let mut waiting = submit(program, 1, prompt(program, 1000), 5);
        waiting.priority = Priority(priority);
        bench.submit(waiting);
    }
    let events = bench.run();
    let order: Vec<u64> = events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Started { attempt, .. } => Some(attempt.call.program.number),
            _ => None,
        })
        .collect();
    assert_eq!(order, [1, 4, 3, 2]);
}

#[test]
fn short_memory_preempts_the_least_urgent_and_all_end_whole() {
    let mut bench = Bench::with(|parameters| parameters.kv_capacity = Tokens(4096));
    for program in 1..=3 {
        let mut one = submit(program, 1, prompt(program, 1000), 900);
        one.priority = Priority(program);
        bench.submit(one);
    }
    let events = bench.run();
    let preempted: Vec<u64> = events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Preempted { attempt, .. } => Some(attempt.call.program.number),
            _ => None,
        })
        .collect();
    assert!(preempted.contains(&3), "the least urgent is preempted: {preempted:?}");
    assert!(!preempted.contains(&1), "the most urgent is not: {preempted:?}");
    for program in 1..=3 {
        assert_eq!(finished(&events, attempt(program, 1)).generated, Tokens(900));
    }
    assert!(bench.engine.load_report(bench.now).resident <= Tokens(4096));
}

#[test]
fn what_is_not_held_is_evicted_before_what_is() {
    let mut bench = Bench::with(|parameters| parameters.kv_capacity = Tokens(8192));
    bench.submit(submit(1, 1, prompt(1, 3000), 10));
    bench.run();
    bench.submit(submit(2, 1, prompt(2, 3000), 10));
    bench.run();
    // Program 1 was used longest ago, but is held.
    let until = bench.now + Duration::from_secs(600);
    let hold = Hold { program: support::program(1), epoch: Term(1), until, after: AfterHold::Free };
    assert_eq!(bench.handle(EngineCommand::Hold(hold)), EngineReply::Accepted);
    bench.submit(submit(3, 1, prompt(3, 4000), 10));
    bench.until(until - Duration::from_secs(1));
    assert_eq!(bench.held(1), 3010);
    assert!(bench.held(2) < 3010);
}

#[test]
fn a_hold_frees_by_itself_when_it_lapses() {
    let mut bench = Bench::new();
    bench.submit(submit(1, 1, prompt(1, 3000), 10));
    bench.run();
    let until = bench.now + Duration::from_secs(5);
    let hold = Hold { program: support::program(1), epoch: Term(1), until, after: AfterHold::Free };
    bench.handle(EngineCommand::Hold(hold));
    let events = bench.until(until);
    let lapsed = events.iter().any(|event| matches!(event, EngineEvent::HoldLapsed { .. }));
    assert!(lapsed);
    assert_eq!(bench.held(1), 0);
    assert_eq!(bench.engine.load_report(bench.now).resident, Tokens::ZERO);
}

#[test]
fn a_program_that_is_back_does_not_lose_its_cache_to_an_old_hold() {
    let mut bench = Bench::new();
    bench.submit(submit(1, 1, prompt(1, 3000), 10));
    bench.run();
    let until = bench.now + Duration::from_millis(200);
    let hold = Hold { program: support::program(1), epoch: Term(1), until, after: AfterHold::Free };
    bench.handle(EngineCommand::Hold(hold));
    bench.submit(submit(1, 2, prompt(1, 3000), 100));
    bench.run();
    assert_eq!(bench.held(1), 3110);
}

#[test]
fn a_closing_release_cuts_attempts_frees_all_and_refuses_later_ones() {
    let mut bench = Bench::new();
    bench.submit(submit(1, 1, prompt(1, 3000), 500));
    bench.until(Timestamp(400_000));
    let release = Release { program: support::program(1), epoch: Term(1), closing: true };
    let reply = bench.handle(EngineCommand::Release(release));
    assert!(matches!(reply, EngineReply::Released { .. }));
    bench.run();
    assert_eq!(bench.held(1), 0);
    assert_eq!(bench.engine.load_report(bench.now).resident, Tokens::ZERO);
    assert!(matches!(bench.engine.status(attempt(1, 1)), AttemptStatus::Cut(_)));
    let late = bench.submit(submit(1, 2, prompt(1, 3000), 5));
    let program = support::program(1);
    assert_eq!(late, EngineReply::Refused(EngineRefusal::ProgramEnded { program }));
}

#[test]
fn a_cancelled_attempt_that_was_never_seen_never_starts() {
    let mut bench = Bench::new();
    let cancel = Cancel { attempt: attempt(1, 1), epoch: Term(1), only_waiting: false };
    assert_eq!(bench.handle(EngineCommand::Cancel(cancel)), EngineReply::NeverStarted);
    let late = bench.submit(submit(1, 1, prompt(1, 100), 5));
    assert_eq!(late, EngineReply::Known(AttemptStatus::NeverStarted));
    assert!(bench.run().iter().all(|event| !matches!(event, EngineEvent::Started { .. })));
}

#[test]
fn a_recall_leaves_a_running_attempt_alone() {
    let mut bench = Bench::new();
    bench.submit(submit(1, 1, prompt(1, 100), 50));
    bench.until(Timestamp(100_000));
    let recall = Cancel { attempt: attempt(1, 1), epoch: Term(1), only_waiting: true };
    let reply = bench.handle(EngineCommand::Cancel(recall));
    assert!(matches!(reply, EngineReply::Known(AttemptStatus::Running { .. })), "{reply:?}");
    assert_eq!(finished(&bench.run(), attempt(1, 1)).generated, Tokens(50));
}

#[test]
fn a_second_submission_joins_the_first() {
    let mut bench = Bench::new();
    bench.submit(submit(1, 1, prompt(1, 100), 5));
    let again = bench.submit(submit(1, 1, prompt(1, 100), 5));
    assert!(matches!(again, EngineReply::Known(_)));
    let ends = bench.run().iter().filter(|e| matches!(e, EngineEvent::Finished { .. })).count();
    assert_eq!(ends, 1);
}

#[test]
fn an_older_epoch_is_refused() {
    let mut bench = Bench::new();
    let program = support::program(1);
    bench.handle(EngineCommand::Fence(Fence { program, epoch: Term(7) }));
    let reply = bench.submit(submit(1, 1, prompt(1, 100), 5));
    let refusal = EngineRefusal::StaleEpoch { program, epoch: Term(1), seen: Term(7) };
    assert_eq!(reply, EngineReply::Refused(refusal));
}

#[test]
fn another_incarnation_is_refused() {
    let mut bench = Bench::new();
    let mut wrong = submit(1, 1, prompt(1, 100), 5);
    wrong.incarnation = Some(Incarnation(99));
    let reply = bench.submit(wrong);
    assert!(matches!(
        reply,
        EngineReply::Refused(EngineRefusal::OtherIncarnation { expected: Incarnation(99), .. })
    ));
}

#[test]
fn orders_are_fenced_by_generation_and_a_draining_engine_takes_nothing_new() {
    let mut bench = Bench::new();
    let order = |generation, role| {
        let kind = OrderKind::SetRole(role);
        EngineCommand::Order(EngineOrder { generation: Generation(generation), kind })
    };
    assert_eq!(bench.handle(order(5, EngineRole::Draining)), EngineReply::Accepted);
    let stale = bench.handle(order(4, EngineRole::Serving));
    let refusal = EngineRefusal::StaleGeneration { generation: Generation(4), seen: Generation(5) };
    assert_eq!(stale, EngineReply::Refused(refusal));
    let reply = bench.submit(submit(1, 1, prompt(1, 100), 5));
    assert_eq!(reply, EngineReply::Refused(EngineRefusal::Draining));
}

#[test]
fn an_unloaded_model_ends_what_waits_unrun() {
    let mut bench = Bench::with(|parameters| parameters.max_batch = 1);
    bench.submit(submit(1, 1, prompt(1, 100), 50));
    bench.submit(submit(2, 1, prompt(2, 100), 50));
    let kind = OrderKind::Unload(model());
    let order = EngineOrder { generation: Generation(1), kind };
    bench.handle(EngineCommand::Order(order));
    let events = bench.run();
    assert_eq!(finished(&events, attempt(1, 1)).generated, Tokens(50));
    assert_eq!(bench.engine.status(attempt(2, 1)), AttemptStatus::NeverStarted);
}

#[test]
fn an_exported_prefix_is_warm_where_it_is_imported() {
    let mut source = Bench::new();
    source.submit(submit(1, 1, prompt(1, 3000), 10));
    source.run();
    let export = Export {
        program: support::program(1),
        epoch: Term(1),
        tenant: tenant("tenant"),
        model: model(),
        segments: prompt(1, 3000),
    };
    source.handle(EngineCommand::Export(export));
    let events = source.run();
    let image = events.into_iter().find_map(|event| match event {
        EngineEvent::Exported { image, .. } => Some(image),
        _ => None,
    });
    let image = image.expect("the export ends");
    let mut target = Bench::new();
    target.handle(EngineCommand::Import(Import { epoch: Term(1), image }));
    target.run();
    target.submit(submit(1, 2, prompt(1, 3000), 10));
    assert_eq!(finished(&target.run(), attempt(1, 2)).cached, Tokens(3000));
}

#[test]
fn cache_events_count_up_and_agree_with_the_inventory() {
    let mut bench = Bench::with(|parameters| parameters.kv_capacity = Tokens(8192));
    let mut told = std::collections::BTreeMap::new();
    let mut last = 0;
    for program in 1..=6 {
        bench.submit(submit(program, 1, prompt(program, 2000), 20));
        for event in bench.run() {
            if let EngineEvent::Cache(change) = event {
                assert_eq!(change.sequence, last + 1);
                last = change.sequence;
                told.insert(change.program, change.resident);
            }
        }
    }
    told.retain(|_, tokens| tokens.0 > 0);
    let inventory = bench.engine.inventory(bench.now);
    assert_eq!(inventory.sequence, last);
    let held: std::collections::BTreeMap<_, _> =
        inventory.programs.iter().map(|held| (held.program, held.tokens)).collect();
    assert_eq!(held, told);
}
