//! Unfinished calls that a new owner finds, and attempts of unknown outcome.

mod common;

use common::{MAIN, TestGroup, attempt_id, not_run, program_id, usage};
use dahlia_program::{
    AttemptOutcome, CallOutcome, CommandEffect, CommandRefusal, NotRunReason, UnfinishedCall,
};
use dahlia_types::{CallId, ChainId, Repeatability, Term, Tokens};

/// Begins an at-most-once call and records the intent of its first attempt.
fn dispatch_at_most_once_call(group: &mut TestGroup) -> CallId {
    let mut begun = group.begin_command(MAIN, "flash inverter 7");
    begun.repeatability = Repeatability::AtMostOnce;
    let call = group.begin_ready(begun);
    group.record_intent(attempt_id(call, 1), "e1", 10).expect("the budget is large enough");
    call
}

#[test]
fn a_new_owner_finds_interrupted_and_ready_calls_and_no_waiting_ones() {
    let mut group = TestGroup::with_program(1_000);
    let interrupted = dispatch_at_most_once_call(&mut group);
    group.begin(group.begin_command(MAIN, "waits")).unwrap();
    let ready = group.begin_ready(group.begin_command(ChainId(1), "not sent yet"));
    let unfinished = group.state.unfinished_calls();
    let [UnfinishedCall::Interrupted { attempt: found, open, repeatability }, second] =
        unfinished.as_slice()
    else {
        panic!("expected an interrupted and a ready call, found {unfinished:?}");
    };
    assert_eq!(*found, attempt_id(interrupted, 1));
    assert_eq!((open.engine.as_str(), open.epoch), ("e1", Term(1)));
    assert_eq!(*repeatability, Repeatability::AtMostOnce);
    assert_eq!(*second, UnfinishedCall::Ready(attempt_id(ready, 1)));
}

#[test]
fn an_unknown_attempt_ends_an_at_most_once_call_and_keeps_its_reservation() {
    let mut group = TestGroup::with_program(1_000);
    let call = dispatch_at_most_once_call(&mut group);
    let ended = group.record_outcome(attempt_id(call, 1), AttemptOutcome::Unknown).unwrap();
    let expected = CommandEffect::CallEnded { call, outcome: CallOutcome::Unknown, next: None };
    assert_eq!(ended, expected);
    assert_eq!(group.program().budget().reserved, Tokens(20));
    let again = group.record_intent(attempt_id(call, 2), "e2", 10);
    assert_eq!(again, Err(CommandRefusal::StaleAttempt { call }));
    assert_eq!(group.history(MAIN), ["flash inverter 7"], "it may have been seen");

    // The engine is back and reports the outcome. The caller has been answered, so only the budget
    // changes.
    let answer = common::message(dahlia_types::Role::Assistant, "flashed");
    let late_outcome = AttemptOutcome::Ran { answer, usage: usage(8, 4) };
    let settled = group.record_outcome(attempt_id(call, 1), late_outcome.clone()).unwrap();
    assert_eq!(settled, CommandEffect::Settled(attempt_id(call, 1)));
    let budget = *group.program().budget();
    assert_eq!((budget.spent, budget.reserved), (Tokens(12), Tokens::ZERO));
    assert_eq!(group.history(MAIN), ["flash inverter 7"]);
    let twice = group.record_outcome(attempt_id(call, 1), late_outcome);
    assert_eq!(twice, Err(CommandRefusal::StaleAttempt { call }));
}

#[test]
fn an_at_most_once_call_that_was_cut_off_is_not_attempted_again() {
    let mut group = TestGroup::with_program(1_000);
    let call = dispatch_at_most_once_call(&mut group);
    let cut = AttemptOutcome::Cut { usage: usage(10, 2) };
    let ended = group.record_outcome(attempt_id(call, 1), cut).unwrap();
    assert!(matches!(ended, CommandEffect::CallEnded { outcome: CallOutcome::Unknown, .. }));
    assert_eq!(group.program().budget().spent, Tokens(12));
}

#[test]
fn an_at_most_once_call_that_was_fenced_before_it_ran_may_be_attempted_again() {
    let mut group = TestGroup::with_program(1_000);
    let call = dispatch_at_most_once_call(&mut group);
    group.record_outcome(attempt_id(call, 1), AttemptOutcome::NotRun).unwrap();
    assert_eq!(group.program().budget().reserved, Tokens::ZERO);
    group.record_intent(attempt_id(call, 2), "e2", 10).expect("no attempt ran");
}

#[test]
fn a_repeatable_call_is_attempted_again_while_the_unknown_attempt_keeps_its_reservation() {
    let mut group = TestGroup::with_program(50);
    let call = group.begin_ready(group.begin_command(MAIN, "fault codes?"));
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    let after = group.record_outcome(attempt_id(call, 1), AttemptOutcome::Unknown).unwrap();
    assert_eq!(after, CommandEffect::Retryable(call));
    group.record_intent(attempt_id(call, 2), "e2", 10).expect("30 are left");
    assert_eq!(group.program().budget().reserved, Tokens(40));
    group.record_outcome(attempt_id(call, 2), AttemptOutcome::Unknown).unwrap();
    let third = group.record_intent(attempt_id(call, 3), "e3", 10);
    let refusal = CommandRefusal::BudgetExhausted {
        program: program_id(1),
        left: Tokens(10),
        needed: Tokens(11),
    };
    assert_eq!(third, Err(refusal));
    assert_eq!(
        group.abandon(call, not_run(NotRunReason::BudgetExhausted)),
        Err(CommandRefusal::MayHaveRun { call })
    );
    group.abandon(call, CallOutcome::Unknown).expect("this is what is known");
}

#[test]
fn an_unknown_attempt_that_is_later_fenced_before_it_ran_allows_not_run_again() {
    let mut group = TestGroup::with_program(1_000);
    let call = group.begin_ready(group.begin_command(MAIN, "fault codes?"));
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    group.record_outcome(attempt_id(call, 1), AttemptOutcome::Unknown).unwrap();
    let settled = group.record_outcome(attempt_id(call, 1), AttemptOutcome::NotRun).unwrap();
    assert_eq!(settled, CommandEffect::Settled(attempt_id(call, 1)));
    assert_eq!(group.program().budget().reserved, Tokens::ZERO);
    let refused = group.abandon(call, CallOutcome::Unknown);
    assert_eq!(refused, Err(CommandRefusal::InvalidAbandonOutcome { call }));
    group.abandon(call, not_run(NotRunReason::Overloaded)).expect("no attempt ran");
}

#[test]
fn a_call_is_not_abandoned_while_an_attempt_is_open_nor_with_an_answer() {
    let mut group = TestGroup::with_program(1_000);
    let call = group.begin_ready(group.begin_command(MAIN, "one"));
    let answer = common::message(dahlia_types::Role::Assistant, "made up");
    let made_up = CallOutcome::Answered { answer, usage: usage(1, 1) };
    assert_eq!(group.abandon(call, made_up), Err(CommandRefusal::InvalidAbandonOutcome { call }));
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    assert_eq!(
        group.abandon(call, not_run(NotRunReason::Overloaded)),
        Err(CommandRefusal::AttemptOpen { call })
    );
}
