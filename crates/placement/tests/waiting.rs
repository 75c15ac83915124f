//! Tests of queueing, refusals and fairness.

mod support;

use std::collections::BTreeSet;

use dahlia_placement::{Action, AttemptFailure, Event, PolicyKind, RefusalReason};
use dahlia_types::{Duration, TenantId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use support::{Harness, call_id, dispatches, program_id, ready_call, refusals};

/// Prefill backlog of an engine under heavy overload, in tokens.
const OVERLOAD_BACKLOG: u64 = 3_000_000;

#[test]
fn under_overload_new_programs_are_refused_at_once_with_a_retry_delay() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 4);
    harness.report_all(4, OVERLOAD_BACKLOG);
    let mut refusal_count = 0;
    for program in 0..200 {
        let actions = harness.submit_call(program, 1);
        let found = refusals(&actions);
        assert!(found.iter().all(|(call, _)| *call == call_id(program, 1)));
        assert!(found.iter().all(|(_, after)| *after >= Duration::from_secs(1)));
        refusal_count += found.len();
    }
    assert!(refusal_count > 150, "{refusal_count} of 200 were refused");
}

#[test]
fn a_waiting_call_is_never_refused_later() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 4);
    harness.report_all(4, OVERLOAD_BACKLOG);
    let waiting: BTreeSet<_> = (0..50)
        .filter(|program| harness.submit_call(*program, 1).is_empty())
        .map(|program| call_id(program, 1))
        .collect();
    assert!(!waiting.is_empty());
    for _ in 0..1200 {
        let actions = harness.advance(Duration::from_millis(250));
        assert!(refusals(&actions).is_empty(), "a waiting call was refused: {actions:?}");
        harness.report_all(4, OVERLOAD_BACKLOG);
    }
    let served: BTreeSet<_> = (0..3)
        .flat_map(|_| harness.report_all(4, 0))
        .filter_map(|action| match action {
            Action::Dispatch { attempt, .. } => Some(attempt.call),
            _ => None,
        })
        .collect();
    assert_eq!(served, waiting);
}

#[test]
fn the_retry_delay_grows_with_the_queue() {
    let mut harness = Harness::with_settings(PolicyKind::ProgramAware, 1, |settings| {
        settings.admission.new_program_wait = Duration::from_secs(60);
        settings.admission.retry_after = (Duration(1), Duration::from_secs(600));
    });
    harness.report_all(1, OVERLOAD_BACKLOG);
    let mut program = 0;
    let (mut waiting, first) = loop {
        program += 1;
        if let Some((_, after)) = refusals(&harness.submit_call(program, 1)).pop() {
            break (program - 1, after);
        }
    };
    assert!(waiting > 20, "only {waiting} calls were queued");
    assert!(first >= Duration::from_secs(30), "{first:?}");
    // Without a queue the expected wait is short.
    while waiting > 0 {
        harness.handle(Event::CallWithdrawn(call_id(waiting, 1)));
        waiting -= 1;
    }
    assert!(harness.submit_call(1000, 1).is_empty(), "the call is queued again");
}

#[test]
fn programs_under_way_go_before_new_ones() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 1);
    harness.run_call(1, 1);
    harness.report_all(1, OVERLOAD_BACKLOG);
    assert!(harness.submit_call(2, 1).is_empty(), "the new program waits");
    harness.now = harness.now + Duration::from_secs(1);
    assert!(harness.submit_call(1, 2).is_empty(), "the program under way waits too");
    harness.now = harness.now + Duration::from_secs(1);
    let order: Vec<_> = dispatches(&harness.report_all(1, 0))
        .iter()
        .map(|dispatch| dispatch.attempt.call.program)
        .collect();
    assert_eq!(order.first(), Some(&program_id(1)));
}

#[test]
fn priorities_lie_between_readiness_and_the_largest_setback() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 4);
    let setback = dahlia_placement::PlacementSettings::default().priority.most_setback;
    for number in 1..60 {
        harness.now = harness.now + Duration::from_secs(10);
        let found = dispatches(&harness.submit_call(1, number));
        let priority = found[0].priority;
        assert!(priority >= harness.now.0 && priority <= (harness.now + setback).0);
        harness.finish(found[0].attempt);
    }
}

#[test]
fn attained_service_sets_a_program_back_but_waiting_makes_up_for_it() {
    let mut harness = Harness::new(PolicyKind::ProgramAware, 1);
    let mut old = ready_call(1, 1);
    old.attained_service = Duration::from_secs(1000);
    let mut new = ready_call(2, 1);
    new.attained_service = Duration::from_secs(1);
    let priority = |harness: &mut Harness, ready| {
        dispatches(&harness.handle(Event::CallReady(ready)))[0].priority
    };
    let old_priority = priority(&mut harness, old);
    let new_priority = priority(&mut harness, new);
    assert!(new_priority < old_priority);
    harness.now = harness.now + Duration::from_secs(61);
    let mut later = ready_call(3, 1);
    later.attained_service = Duration::from_secs(1);
    assert!(
        priority(&mut harness, later) > old_priority,
        "a later call still overtakes the older one"
    );
}

#[test]
fn a_tenant_at_its_limit_does_not_block_others() {
    let mut harness = Harness::with_settings(PolicyKind::ProgramAware, 8, |settings| {
        settings.admission.tenant_in_flight_limit = 2;
        settings.admission.tenant_queue_limit = 2;
    });
    let call_of = |program, tenant: &str| {
        let mut ready = ready_call(program, 1);
        ready.tenant = TenantId::new(tenant);
        Event::CallReady(ready)
    };
    let mut attempts = Vec::new();
    for program in 0..2 {
        attempts.extend(dispatches(&harness.handle(call_of(program, "greedy"))));
    }
    assert_eq!(attempts.len(), 2);
    for program in 2..4 {
        assert!(
            harness.handle(call_of(program, "greedy")).is_empty(),
            "the tenant's next calls wait"
        );
    }
    let actions = harness.handle(call_of(4, "greedy"));
    let refusal = actions.iter().find_map(|action| match action {
        Action::Refuse { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(refusal, Some(RefusalReason::TenantLimit));
    assert_eq!(dispatches(&harness.handle(call_of(5, "modest"))).len(), 1);
    let after = dispatches(&harness.finish(attempts[0].attempt));
    assert_eq!(after.len(), 1, "the end of a call lets the tenant's next one go");
}

#[test]
fn every_call_ends_exactly_once() {
    for kind in PolicyKind::ALL {
        for seed in 0..20 {
            run_random_events(kind, seed);
        }
    }
}

#[test]
fn the_same_events_result_in_the_same_actions() {
    for kind in PolicyKind::ALL {
        assert_eq!(run_random_events(kind, 7), run_random_events(kind, 7));
    }
}

/// Submits random calls, reports, answers and failures until all calls have ended. Returns all
/// actions.
fn run_random_events(kind: PolicyKind, seed: u64) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut harness = Harness::new(kind, 3);
    let mut all_actions = Vec::new();
    let mut submitted = BTreeSet::new();
    let mut ended = BTreeSet::new();
    let mut open = Vec::new();
    for program in 0..300 {
        harness.now = harness.now + Duration::from_millis(random.random_range(0..200));
        let actions = match random.random_range(0..6) {
            0 => {
                let load = if random.random() { OVERLOAD_BACKLOG } else { 0 };
                harness.report_all(3, load)
            }
            1 | 2 if !open.is_empty() => {
                let attempt = open.swap_remove(random.random_range(0..open.len()));
                let failures = [
                    AttemptFailure::Overloaded,
                    AttemptFailure::EngineLost,
                    AttemptFailure::Recalled,
                ];
                harness.fail(attempt, failures[random.random_range(0..3)])
            }
            3 if !open.is_empty() => {
                let attempt: dahlia_types::AttemptId =
                    open.swap_remove(random.random_range(0..open.len()));
                assert!(ended.insert(attempt.call), "seed {seed}: {attempt} ended twice");
                harness.finish(attempt)
            }
            _ => {
                submitted.insert(call_id(program, 1));
                harness.submit_call(program, 1)
            }
        };
        record_outcomes(&actions, &mut open, &mut ended, seed);
        all_actions.extend(actions);
    }
    for _ in 0..2000 {
        let mut actions = harness.advance(Duration::from_millis(250));
        actions.extend(harness.report_all(3, 0));
        record_outcomes(&actions, &mut open, &mut ended, seed);
        all_actions.extend(actions);
        while let Some(attempt) = open.pop() {
            assert!(ended.insert(attempt.call), "seed {seed}: {attempt} ended twice");
            let actions = harness.finish(attempt);
            record_outcomes(&actions, &mut open, &mut ended, seed);
            all_actions.extend(actions);
        }
        if ended.len() == submitted.len() {
            break;
        }
    }
    assert_eq!(ended, submitted, "{kind:?}, seed {seed}");
    assert_eq!(harness.scheduler.stats().in_flight, 0);
    assert_eq!(harness.scheduler.stats().waiting, 0);
    assert!(harness.now > Timestamp::ZERO);
    all_actions
}

/// Records the dispatched and the refused calls. No call may end twice.
fn record_outcomes(
    actions: &[Action],
    open: &mut Vec<dahlia_types::AttemptId>,
    ended: &mut BTreeSet<dahlia_types::CallId>,
    seed: u64,
) {
    open.extend(dispatches(actions).into_iter().map(|dispatch| dispatch.attempt));
    for (call, _) in refusals(actions) {
        assert!(ended.insert(call), "seed {seed}: {call} ended twice");
    }
}
