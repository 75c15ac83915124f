//! Who waits, who is refused, and that nobody starves.

mod support;

use std::collections::BTreeSet;

use dahlia_placement::{Action, AttemptFailure, Event, PolicyKind, RefusalReason};
use dahlia_types::{Duration, TenantId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use support::{Bench, call_id, call_ready, dispatches, program_id, refused};

/// Prefill backlog of an engine that is far past saturation.
const SWAMPED: u64 = 3_000_000;

#[test]
fn past_saturation_new_programs_are_refused_at_once_with_a_time_to_come_back() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 4);
    bench.report_all(4, SWAMPED);
    let mut refusals = 0;
    for program in 0..200 {
        let actions = bench.ready(program, 1);
        let found = refused(&actions);
        assert!(found.iter().all(|(call, _)| *call == call_id(program, 1)));
        assert!(found.iter().all(|(_, after)| *after >= Duration::from_secs(1)));
        refusals += found.len();
    }
    assert!(refusals > 150, "{refusals} of 200 were refused");
}

#[test]
fn a_call_that_waits_is_never_refused_later() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 4);
    bench.report_all(4, SWAMPED);
    let waiting: BTreeSet<_> = (0..50)
        .filter(|program| bench.ready(*program, 1).is_empty())
        .map(|program| call_id(program, 1))
        .collect();
    assert!(!waiting.is_empty());
    for _ in 0..1200 {
        let actions = bench.pass(Duration::from_millis(250));
        assert!(refused(&actions).is_empty(), "told late: {actions:?}");
        bench.report_all(4, SWAMPED);
    }
    let served: BTreeSet<_> = (0..3)
        .flat_map(|_| bench.report_all(4, 0))
        .filter_map(|action| match action {
            Action::Dispatch { attempt, .. } => Some(attempt.call),
            _ => None,
        })
        .collect();
    assert_eq!(served, waiting);
}

#[test]
fn the_time_to_come_back_grows_with_the_queue() {
    let mut bench = Bench::with(PolicyKind::ProgramAware, 1, |settings| {
        settings.admission.new_program_wait = Duration::from_secs(60);
        settings.admission.retry_after = (Duration(1), Duration::from_secs(600));
    });
    bench.report_all(1, SWAMPED);
    let mut program = 0;
    let (mut waiting, first) = loop {
        program += 1;
        if let Some((_, after)) = refused(&bench.ready(program, 1)).pop() {
            break (program - 1, after);
        }
    };
    assert!(waiting > 20, "{waiting} may wait");
    assert!(first >= Duration::from_secs(30), "{first:?}");
    // Without a queue the time is short.
    while waiting > 0 {
        bench.tell(Event::CallWithdrawn(call_id(waiting, 1)));
        waiting -= 1;
    }
    assert!(bench.ready(1000, 1).is_empty(), "there is room to wait again");
}

#[test]
fn programs_under_way_go_before_new_ones() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 1);
    bench.run_call(1, 1);
    bench.report_all(1, SWAMPED);
    assert!(bench.ready(2, 1).is_empty(), "the new program waits");
    bench.now = bench.now + Duration::from_secs(1);
    assert!(bench.ready(1, 2).is_empty(), "so does the one under way");
    bench.now = bench.now + Duration::from_secs(1);
    let order: Vec<_> =
        dispatches(&bench.report_all(1, 0)).iter().map(|d| d.attempt.call.program).collect();
    assert_eq!(order.first(), Some(&program_id(1)));
}

#[test]
fn priorities_lie_between_readiness_and_the_largest_setback() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 4);
    let setback = dahlia_placement::PlacementSettings::default().priority.most_setback;
    for number in 1..60 {
        bench.now = bench.now + Duration::from_secs(10);
        let found = dispatches(&bench.ready(1, number));
        let priority = found[0].priority;
        assert!(priority >= bench.now.0 && priority <= (bench.now + setback).0);
        bench.finish(found[0].attempt);
    }
}

#[test]
fn attained_service_sets_a_program_back_but_waiting_makes_up_for_it() {
    let mut bench = Bench::new(PolicyKind::ProgramAware, 1);
    let mut old = call_ready(1, 1);
    old.attained_service = Duration::from_secs(1000);
    let mut new = call_ready(2, 1);
    new.attained_service = Duration::from_secs(1);
    let priority =
        |bench: &mut Bench, ready| dispatches(&bench.tell(Event::CallReady(ready)))[0].priority;
    let of_old = priority(&mut bench, old);
    let of_new = priority(&mut bench, new);
    assert!(of_new < of_old);
    bench.now = bench.now + Duration::from_secs(61);
    let mut later = call_ready(3, 1);
    later.attained_service = Duration::from_secs(1);
    assert!(priority(&mut bench, later) > of_old, "an older call is passed for so long only");
}

#[test]
fn a_tenant_at_its_limit_does_not_block_others() {
    let mut bench = Bench::with(PolicyKind::ProgramAware, 8, |settings| {
        settings.admission.tenant_in_flight_limit = 2;
        settings.admission.tenant_queue_limit = 2;
    });
    let of = |program, tenant: &str| {
        let mut ready = call_ready(program, 1);
        ready.tenant = TenantId::new(tenant);
        Event::CallReady(ready)
    };
    let mut attempts = Vec::new();
    for program in 0..2 {
        attempts.extend(dispatches(&bench.tell(of(program, "greedy"))));
    }
    assert_eq!(attempts.len(), 2);
    for program in 2..4 {
        assert!(bench.tell(of(program, "greedy")).is_empty(), "the tenant's next calls wait");
    }
    let actions = bench.tell(of(4, "greedy"));
    let refusal = actions.iter().find_map(|action| match action {
        Action::Refuse { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(refusal, Some(RefusalReason::TenantLimit));
    assert_eq!(dispatches(&bench.tell(of(5, "modest"))).len(), 1);
    let after = dispatches(&bench.finish(attempts[0].attempt));
    assert_eq!(after.len(), 1, "an end lets the tenant's next call go");
}

#[test]
fn every_call_ends_once_whatever_happens() {
    for kind in PolicyKind::ALL {
        for seed in 0..20 {
            run_at_random(kind, seed);
        }
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    for kind in PolicyKind::ALL {
        assert_eq!(run_at_random(kind, 7), run_at_random(kind, 7));
    }
}

/// Random calls, reports and failures; gives everything that was decided.
fn run_at_random(kind: PolicyKind, seed: u64) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bench = Bench::new(kind, 3);
    let mut decided = Vec::new();
    let mut issued = BTreeSet::new();
    let mut ended = BTreeSet::new();
    let mut open = Vec::new();
    for program in 0..300 {
        bench.now = bench.now + Duration::from_millis(random.random_range(0..200));
        let actions = match random.random_range(0..6) {
            0 => {
                let load = if random.random() { SWAMPED } else { 0 };
                bench.report_all(3, load)
            }
            1 | 2 if !open.is_empty() => {
                let attempt = open.swap_remove(random.random_range(0..open.len()));
                let failures = [
                    AttemptFailure::Overloaded,
                    AttemptFailure::EngineLost,
                    AttemptFailure::Recalled,
                ];
                bench.fail(attempt, failures[random.random_range(0..3)])
            }
            3 if !open.is_empty() => {
                let attempt: dahlia_types::AttemptId =
                    open.swap_remove(random.random_range(0..open.len()));
                assert!(ended.insert(attempt.call), "seed {seed}: {attempt} ended twice");
                bench.finish(attempt)
            }
            _ => {
                issued.insert(call_id(program, 1));
                bench.ready(program, 1)
            }
        };
        settle(&actions, &mut open, &mut ended, seed);
        decided.extend(actions);
    }
    for _ in 0..2000 {
        let mut actions = bench.pass(Duration::from_millis(250));
        actions.extend(bench.report_all(3, 0));
        settle(&actions, &mut open, &mut ended, seed);
        decided.extend(actions);
        while let Some(attempt) = open.pop() {
            assert!(ended.insert(attempt.call), "seed {seed}: {attempt} ended twice");
            let actions = bench.finish(attempt);
            settle(&actions, &mut open, &mut ended, seed);
            decided.extend(actions);
        }
        if ended.len() == issued.len() {
            break;
        }
    }
    assert_eq!(ended, issued, "{kind:?}, seed {seed}");
    assert_eq!(bench.scheduler.stats().in_flight, 0);
    assert_eq!(bench.scheduler.stats().waiting, 0);
    assert!(bench.now > Timestamp::ZERO);
    decided
}

fn settle(
    actions: &[Action],
    open: &mut Vec<dahlia_types::AttemptId>,
    ended: &mut BTreeSet<dahlia_types::CallId>,
    seed: u64,
) {
    open.extend(dispatches(actions).into_iter().map(|dispatched| dispatched.attempt));
    for (call, _) in refused(actions) {
        assert!(ended.insert(call), "seed {seed}: {call} ended twice");
    }
}
