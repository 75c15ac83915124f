//! Behaviour of one engine: batching, cache, fences, holds, transfers and orders.

mod support;

use dahlia_engine_model::{
    AfterHold, AttemptStatus, Cancel, EngineCommand, EngineEvent, EngineOrder, EngineRefusal,
    EngineReply, EngineRole, Export, Fence, Hold, Import, OrderKind, Priority, Release,
};
use dahlia_types::{Duration, Generation, Incarnation, Term, Timestamp, Tokens};
use support::{
    Harness, attempt_id, finished_usage, model_id, one_segment_prompt, segment, submit_command,
    tenant_id,
};

#[test]
fn an_attempt_generates_every_token_once_and_ends_with_its_usage() {
    let mut harness = Harness::new();
    assert_eq!(
        harness.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 40)),
        EngineReply::Accepted
    );
    let events = harness.run_until_idle();
    let mut next = 0;
    for event in &events {
        if let EngineEvent::Generated { offset, count, .. } = event {
            assert_eq!(offset.0, next, "tokens must have no gap or repetition");
            next += count.0;
        }
    }
    assert_eq!(next, 40);
    let usage = finished_usage(&events, attempt_id(1, 1));
    assert_eq!((usage.prompt.0, usage.cached.0, usage.generated.0), (3000, 0, 40));
    assert_eq!(harness.engine.status(attempt_id(1, 1)), AttemptStatus::Finished(usage));
}

#[test]
fn leaps_over_decode_steps_end_within_one_percent_of_single_steps() {
    let end_of_run = |max_leap_steps| {
        let mut harness = Harness::with_parameters(|parameters| {
            parameters.max_leap_steps = max_leap_steps;
            parameters.report_progress = false;
        });
        harness.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 200));
        harness.run_until(Timestamp(700_000));
        harness.submit(submit_command(2, 1, one_segment_prompt(2, 500), 30));
        harness.run_until_idle();
        harness.now
    };
    // A leap computes the duration of all its steps from the context of the first, so it ends
    // slightly early.
    let (single, leaps) = (end_of_run(1).0 as f64, end_of_run(256).0 as f64);
    assert!((single - leaps).abs() / single < 0.01, "single steps: {single}, leaps: {leaps}");
}

#[test]
fn the_next_turn_finds_prompt_and_answer_in_the_cache() {
    let mut harness = Harness::new();
    let first = one_segment_prompt(1, 3000);
    harness.submit(submit_command(1, 1, first.clone(), 100));
    harness.run_until_idle();
    let mut second = first;
    second.extend([segment(support::answer_hash(1, 1), 100), segment(77, 50)]);
    harness.submit(submit_command(1, 2, second, 10));
    let events = harness.run_until_idle();
    assert_eq!(finished_usage(&events, attempt_id(1, 2)).cached, Tokens(3100));
}

#[test]
fn tenants_never_share_cache() {
    let mut harness = Harness::new();
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 10));
    harness.run_until_idle();
    let mut other = submit_command(2, 1, one_segment_prompt(1, 3000), 10);
    other.tenant = tenant_id("other");
    harness.submit(other);
    let events = harness.run_until_idle();
    assert_eq!(finished_usage(&events, attempt_id(2, 1)).cached, Tokens::ZERO);
}

#[test]
fn a_shared_prefix_is_found_by_another_program_of_the_tenant() {
    let mut harness = Harness::new();
    let shared = segment(5, 2000);
    harness.submit(submit_command(1, 1, vec![shared, segment(6, 500)], 10));
    harness.run_until_idle();
    harness.submit(submit_command(2, 1, vec![shared, segment(7, 500)], 10));
    let events = harness.run_until_idle();
    assert_eq!(finished_usage(&events, attempt_id(2, 1)).cached, Tokens(2000));
}

#[test]
fn urgent_attempts_start_first() {
    let mut harness = Harness::with_parameters(|parameters| parameters.max_batch = 1);
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 1000), 50));
    for (program, priority) in [(2, 9), (3, 5), (4, 1)] {
        let mut waiting = submit_command(program, 1, one_segment_prompt(program, 1000), 5);
        waiting.priority = Priority(priority);
        harness.submit(waiting);
    }
    let events = harness.run_until_idle();
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
fn memory_shortage_preempts_the_least_urgent_and_all_attempts_finish() {
    let mut harness = Harness::with_parameters(|parameters| parameters.kv_capacity = Tokens(4096));
    for program in 1..=3 {
        let mut submit = submit_command(program, 1, one_segment_prompt(program, 1000), 900);
        submit.priority = Priority(program);
        harness.submit(submit);
    }
    let events = harness.run_until_idle();
    let preempted: Vec<u64> = events
        .iter()
        .filter_map(|event| match event {
            EngineEvent::Preempted { attempt, .. } => Some(attempt.call.program.number),
            _ => None,
        })
        .collect();
    assert!(preempted.contains(&3), "the least urgent must be preempted: {preempted:?}");
    assert!(!preempted.contains(&1), "the most urgent must not be preempted: {preempted:?}");
    for program in 1..=3 {
        assert_eq!(finished_usage(&events, attempt_id(program, 1)).generated, Tokens(900));
    }
    assert!(harness.engine.load_report(harness.now).resident <= Tokens(4096));
}

#[test]
fn cache_without_a_hold_is_evicted_before_held_cache() {
    let mut harness = Harness::with_parameters(|parameters| parameters.kv_capacity = Tokens(8192));
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 10));
    harness.run_until_idle();
    harness.submit(submit_command(2, 1, one_segment_prompt(2, 3000), 10));
    harness.run_until_idle();
    // Program 1 is the least recently used, but it is held.
    let until = harness.now + Duration::from_secs(600);
    let hold =
        Hold { program: support::program_id(1), epoch: Term(1), until, after: AfterHold::Free };
    assert_eq!(harness.handle(EngineCommand::Hold(hold)), EngineReply::Accepted);
    harness.submit(submit_command(3, 1, one_segment_prompt(3, 4000), 10));
    harness.run_until(until - Duration::from_secs(1));
    assert_eq!(harness.cached_tokens(1), 3010);
    assert!(harness.cached_tokens(2) < 3010);
}

#[test]
fn a_lapsed_hold_frees_the_cache() {
    let mut harness = Harness::new();
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 10));
    harness.run_until_idle();
    let until = harness.now + Duration::from_secs(5);
    let hold =
        Hold { program: support::program_id(1), epoch: Term(1), until, after: AfterHold::Free };
    harness.handle(EngineCommand::Hold(hold));
    let events = harness.run_until(until);
    let lapsed = events.iter().any(|event| matches!(event, EngineEvent::HoldLapsed { .. }));
    assert!(lapsed);
    assert_eq!(harness.cached_tokens(1), 0);
    assert_eq!(harness.engine.load_report(harness.now).resident, Tokens::ZERO);
}

#[test]
fn an_old_hold_does_not_free_the_cache_of_a_returning_program() {
    let mut harness = Harness::new();
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 10));
    harness.run_until_idle();
    let until = harness.now + Duration::from_millis(200);
    let hold =
        Hold { program: support::program_id(1), epoch: Term(1), until, after: AfterHold::Free };
    harness.handle(EngineCommand::Hold(hold));
    harness.submit(submit_command(1, 2, one_segment_prompt(1, 3000), 100));
    harness.run_until_idle();
    assert_eq!(harness.cached_tokens(1), 3110);
}

#[test]
fn a_closing_release_cuts_attempts_frees_the_cache_and_refuses_later_attempts() {
    let mut harness = Harness::new();
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 500));
    harness.run_until(Timestamp(400_000));
    let release = Release { program: support::program_id(1), epoch: Term(1), closing: true };
    let reply = harness.handle(EngineCommand::Release(release));
    assert!(matches!(reply, EngineReply::Released { .. }));
    harness.run_until_idle();
    assert_eq!(harness.cached_tokens(1), 0);
    assert_eq!(harness.engine.load_report(harness.now).resident, Tokens::ZERO);
    assert!(matches!(harness.engine.status(attempt_id(1, 1)), AttemptStatus::Cut(_)));
    let late = harness.submit(submit_command(1, 2, one_segment_prompt(1, 3000), 5));
    let program = support::program_id(1);
    assert_eq!(late, EngineReply::Refused(EngineRefusal::ProgramEnded { program }));
}

#[test]
fn an_unknown_attempt_that_is_cancelled_never_starts() {
    let mut harness = Harness::new();
    let cancel = Cancel { attempt: attempt_id(1, 1), epoch: Term(1), only_waiting: false };
    assert_eq!(harness.handle(EngineCommand::Cancel(cancel)), EngineReply::NeverStarted);
    let late = harness.submit(submit_command(1, 1, one_segment_prompt(1, 100), 5));
    assert_eq!(late, EngineReply::Known(AttemptStatus::NeverStarted));
    assert!(
        harness.run_until_idle().iter().all(|event| !matches!(event, EngineEvent::Started { .. }))
    );
}

#[test]
fn a_recall_leaves_a_running_attempt_alone() {
    let mut harness = Harness::new();
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 100), 50));
    harness.run_until(Timestamp(100_000));
    let recall = Cancel { attempt: attempt_id(1, 1), epoch: Term(1), only_waiting: true };
    let reply = harness.handle(EngineCommand::Cancel(recall));
    assert!(matches!(reply, EngineReply::Known(AttemptStatus::Running { .. })), "{reply:?}");
    assert_eq!(finished_usage(&harness.run_until_idle(), attempt_id(1, 1)).generated, Tokens(50));
}

#[test]
fn a_second_submission_does_not_run_the_attempt_again() {
    let mut harness = Harness::new();
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 100), 5));
    let again = harness.submit(submit_command(1, 1, one_segment_prompt(1, 100), 5));
    assert!(matches!(again, EngineReply::Known(_)));
    let ends = harness
        .run_until_idle()
        .iter()
        .filter(|e| matches!(e, EngineEvent::Finished { .. }))
        .count();
    assert_eq!(ends, 1);
}

#[test]
fn an_older_epoch_is_refused() {
    let mut harness = Harness::new();
    let program = support::program_id(1);
    harness.handle(EngineCommand::Fence(Fence { program, epoch: Term(7) }));
    let reply = harness.submit(submit_command(1, 1, one_segment_prompt(1, 100), 5));
    let refusal = EngineRefusal::StaleEpoch { program, epoch: Term(1), seen: Term(7) };
    assert_eq!(reply, EngineReply::Refused(refusal));
}

#[test]
fn a_submission_for_another_incarnation_is_refused() {
    let mut harness = Harness::new();
    let mut wrong = submit_command(1, 1, one_segment_prompt(1, 100), 5);
    wrong.incarnation = Some(Incarnation(99));
    let reply = harness.submit(wrong);
    assert!(matches!(
        reply,
        EngineReply::Refused(EngineRefusal::OtherIncarnation { expected: Incarnation(99), .. })
    ));
}

#[test]
fn orders_are_fenced_by_generation_and_a_draining_engine_refuses_attempts() {
    let mut harness = Harness::new();
    let order = |generation, role| {
        let kind = OrderKind::SetRole(role);
        EngineCommand::Order(EngineOrder { generation: Generation(generation), kind })
    };
    assert_eq!(harness.handle(order(5, EngineRole::Draining)), EngineReply::Accepted);
    let stale = harness.handle(order(4, EngineRole::Serving));
    let refusal = EngineRefusal::StaleGeneration { generation: Generation(4), seen: Generation(5) };
    assert_eq!(stale, EngineReply::Refused(refusal));
    let reply = harness.submit(submit_command(1, 1, one_segment_prompt(1, 100), 5));
    assert_eq!(reply, EngineReply::Refused(EngineRefusal::Draining));
}

#[test]
fn unloading_a_model_evicts_its_waiting_attempts() {
    let mut harness = Harness::with_parameters(|parameters| parameters.max_batch = 1);
    harness.submit(submit_command(1, 1, one_segment_prompt(1, 100), 50));
    harness.submit(submit_command(2, 1, one_segment_prompt(2, 100), 50));
    let kind = OrderKind::Unload(model_id());
    let order = EngineOrder { generation: Generation(1), kind };
    harness.handle(EngineCommand::Order(order));
    let events = harness.run_until_idle();
    assert_eq!(finished_usage(&events, attempt_id(1, 1)).generated, Tokens(50));
    assert_eq!(harness.engine.status(attempt_id(2, 1)), AttemptStatus::NeverStarted);
}

#[test]
fn an_imported_prefix_is_cached() {
    let mut source = Harness::new();
    source.submit(submit_command(1, 1, one_segment_prompt(1, 3000), 10));
    source.run_until_idle();
    let export = Export {
        program: support::program_id(1),
        epoch: Term(1),
        tenant: tenant_id("tenant"),
        model: model_id(),
        segments: one_segment_prompt(1, 3000),
    };
    source.handle(EngineCommand::Export(export));
    let events = source.run_until_idle();
    let image = events.into_iter().find_map(|event| match event {
        EngineEvent::Exported { image, .. } => Some(image),
        _ => None,
    });
    let image = image.expect("the export must end");
    let mut target = Harness::new();
    target.handle(EngineCommand::Import(Import { epoch: Term(1), image }));
    target.run_until_idle();
    target.submit(submit_command(1, 2, one_segment_prompt(1, 3000), 10));
    assert_eq!(finished_usage(&target.run_until_idle(), attempt_id(1, 2)).cached, Tokens(3000));
}

#[test]
fn cache_event_sequences_have_no_gaps_and_match_the_inventory() {
    let mut harness = Harness::with_parameters(|parameters| parameters.kv_capacity = Tokens(8192));
    let mut reported = std::collections::BTreeMap::new();
    let mut last = 0;
    for program in 1..=6 {
        harness.submit(submit_command(program, 1, one_segment_prompt(program, 2000), 20));
        for event in harness.run_until_idle() {
            if let EngineEvent::Cache(change) = event {
                assert_eq!(change.sequence, last + 1);
                last = change.sequence;
                reported.insert(change.program, change.resident);
            }
        }
    }
    reported.retain(|_, tokens| tokens.0 > 0);
    let inventory = harness.engine.inventory(harness.now);
    assert_eq!(inventory.sequence, last);
    let held: std::collections::BTreeMap<_, _> =
        inventory.programs.iter().map(|held| (held.program, held.tokens)).collect();
    assert_eq!(held, reported);
}
