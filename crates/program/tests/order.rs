//! Order of a chain's calls, retries, and the history that they leave.

mod common;

use common::{Group, MAIN, attempt, key, not_run, program_id};
use dahlia_program::{
    AttemptOutcome, BeginOutcome, CallOutcome, CommandEffect, CommandRefusal, NotRunReason,
};
use dahlia_types::{CallId, ChainId, Repeatability, Role, Tokens};

fn main_call(number: u32) -> CallId {
    CallId { program: program_id(1), chain: MAIN, number }
}

#[test]
fn a_turn_is_answered_and_charged_and_enters_the_history() {
    let mut group = Group::with_program(100);
    let call = group.turn("code F23?", "check string 2");
    assert_eq!(call, main_call(1));
    assert_eq!(group.history(MAIN), ["code F23?", "check string 2"]);
    let budget = *group.program().budget();
    assert_eq!((budget.spent, budget.reserved), (Tokens(10), Tokens::ZERO));
    assert_eq!(budget.left(), Tokens(90));
}

#[test]
fn the_next_call_becomes_ready_only_after_the_final_outcome() {
    let mut group = Group::with_program(100);
    let first = group.ready(group.call(MAIN, "one"));
    let second = group.begin(group.call(MAIN, "two")).expect("accepted");
    assert_eq!(second, BeginOutcome::Waiting(main_call(2)));
    let early = group.intent(attempt(main_call(2), 1), "e1", 10);
    assert_eq!(early, Err(CommandRefusal::NotReady { call: main_call(2) }));

    group.intent(attempt(first, 1), "e1", 10).expect("first in its chain");
    let failed = group.outcome(attempt(first, 1), AttemptOutcome::NotRun).expect("open");
    assert_eq!(failed, CommandEffect::Retryable(first));
    let early = group.intent(attempt(main_call(2), 1), "e1", 10);
    assert_eq!(early, Err(CommandRefusal::NotReady { call: main_call(2) }));

    group.intent(attempt(first, 2), "e2", 10).expect("a second try");
    let CommandEffect::CallEnded { call, next, .. } =
        group.answer(attempt(first, 2), "ok").unwrap()
    else {
        panic!("an answer ends the call");
    };
    assert_eq!((call, next), (first, Some(main_call(2))));
    group.intent(attempt(main_call(2), 1), "e1", 10).expect("now first in its chain");
}

#[test]
fn a_retry_joins_an_open_call_and_replays_an_ended_one() {
    let mut group = Group::with_program(100);
    let mut begun = group.call(MAIN, "flash inverter 7");
    begun.key = key("flash-7");
    let call = group.ready(begun.clone());
    assert_eq!(group.begin(begun.clone()), Ok(BeginOutcome::Joined(call)));
    group.intent(attempt(call, 1), "e1", 10).unwrap();
    assert_eq!(group.begin(begun.clone()), Ok(BeginOutcome::Joined(call)));
    group.answer(attempt(call, 1), "done").unwrap();
    let replay = group.begin(begun.clone()).unwrap();
    let BeginOutcome::Replayed(replayed, CallOutcome::Answered { answer, .. }) = replay else {
        panic!("expected the answer again, found {replay:?}");
    };
    assert_eq!((replayed, answer.content.as_str()), (call, "done"));
    // The answer outlives the program's close.
    group.close().unwrap();
    assert!(matches!(group.begin(begun), Ok(BeginOutcome::Replayed(..))));
    assert_eq!(group.history(MAIN), ["flash inverter 7", "done"]);
}

#[test]
fn a_number_or_key_with_other_content_is_refused() {
    let mut group = Group::with_program(100);
    let mut begun = group.call(MAIN, "enrol in MATH-101");
    begun.key = key("enrol");
    begun.number = Some(1);
    let call = group.ready(begun.clone());
    let refused = Err(CommandRefusal::DigestMismatch { call });

    let mut same_key = group.call(MAIN, "enrol in MATH-102");
    same_key.key = key("enrol");
    assert_eq!(group.begin(same_key), refused);
    let mut same_number = group.call(MAIN, "enrol in MATH-102");
    same_number.number = Some(1);
    assert_eq!(group.begin(same_number), refused);
    let mut other_place = begun.clone();
    other_place.number = Some(2);
    assert_eq!(group.begin(other_place), refused);
    let mut other_chain = begun.clone();
    other_chain.chain = ChainId(4);
    assert_eq!(group.begin(other_chain), refused);
    let mut other_key = begun;
    other_key.key = key("enrol-again");
    assert_eq!(group.begin(other_key), refused);
}

#[test]
fn a_key_that_comes_with_the_retry_is_remembered() {
    let mut group = Group::with_program(100);
    let mut by_number = group.call(MAIN, "one");
    by_number.number = Some(1);
    let call = group.ready(by_number.clone());
    by_number.key = key("late");
    assert_eq!(group.begin(by_number.clone()), Ok(BeginOutcome::Joined(call)));
    by_number.number = None;
    assert_eq!(group.begin(by_number), Ok(BeginOutcome::Joined(call)));
}

#[test]
fn a_gap_in_the_numbers_is_refused_with_the_number_expected() {
    let mut group = Group::with_program(100);
    for early in [0, 2, 9] {
        let mut begun = group.call(MAIN, "one");
        begun.number = Some(early);
        let refusal = CommandRefusal::OutOfOrder { call: main_call(early), expected: 1 };
        assert_eq!(group.begin(begun), Err(refusal));
    }
    assert_eq!(group.program().calls().count(), 0);
}

#[test]
fn a_call_that_did_not_run_leaves_its_record_and_no_history() {
    let mut group = Group::with_program(100);
    group.turn("one", "first answer");
    let mut begun = group.call(MAIN, "two");
    begun.key = key("two");
    let call = group.ready(begun.clone());
    group.abandon(call, not_run(NotRunReason::Overloaded)).expect("nothing ran");
    group.turn("three", "third answer");
    assert_eq!(group.history(MAIN), ["one", "first answer", "three", "third answer"]);
    // Behind a later call it would run out of order, so it stays unrun.
    let replayed = BeginOutcome::Replayed(call, not_run(NotRunReason::Overloaded));
    assert_eq!(group.begin(begun), Ok(replayed));
}

#[test]
fn a_caller_may_begin_its_last_call_again_after_it_did_not_run() {
    let mut group = Group::with_program(100);
    group.turn("one", "first answer");
    let mut begun = group.call(MAIN, "two");
    begun.key = key("two");
    begun.repeatability = Repeatability::AtMostOnce;
    let call = group.ready(begun.clone());
    group.intent(attempt(call, 1), "e1", 10).expect("in order");
    group.outcome(attempt(call, 1), AttemptOutcome::NotRun).expect("open");
    group.abandon(call, not_run(NotRunReason::Overloaded)).expect("nothing ran");
    assert_eq!(group.begin(begun.clone()), Ok(BeginOutcome::Ready(call)));
    assert_eq!(group.begin(begun), Ok(BeginOutcome::Joined(call)));
    // A late word on the earlier attempt does not touch the new one.
    let stale = Err(CommandRefusal::StaleAttempt { call });
    assert_eq!(group.intent(attempt(call, 1), "e1", 10), stale);
    group.intent(attempt(call, 2), "e1", 10).expect("attempts go on counting");
    assert_eq!(group.answer(attempt(call, 1), "late"), stale);
    group.answer(attempt(call, 2), "second answer").expect("open");
    assert_eq!(group.history(MAIN), ["one", "first answer", "two", "second answer"]);
}

#[test]
fn a_call_that_ended_with_its_program_is_not_begun_again() {
    let mut group = Group::with_program(100);
    let begun = group.call(MAIN, "one");
    let call = group.ready(begun.clone());
    group.close().expect("open");
    let mut again = begun;
    again.number = Some(1);
    let replayed = BeginOutcome::Replayed(call, not_run(NotRunReason::ProgramClosed));
    assert_eq!(group.begin(again), Ok(replayed));
}

#[test]
fn a_sub_agent_branches_off_the_history_it_saw() {
    let mut group = Group::with_program(1_000);
    group.turn("one", "first answer");
    let mut begun = group.call(ChainId(1), "prerequisites?");
    begun.parent = Some(MAIN);
    let sub_agent = group.ready(begun);
    group.turn("two", "second answer");
    group.intent(attempt(sub_agent, 1), "e2", 10).expect("chains do not wait for each other");
    group.answer(attempt(sub_agent, 1), "met").unwrap();
    assert_eq!(group.history(ChainId(1)), ["one", "first answer", "prerequisites?", "met"]);
    assert_eq!(group.history(MAIN), ["one", "first answer", "two", "second answer"]);

    let mut nested = group.call(ChainId(2), "seats?");
    nested.parent = Some(ChainId(1));
    group.ready(nested);
    let history = group.history(ChainId(2));
    assert_eq!(history, ["one", "first answer", "prerequisites?", "met"]);
}

#[test]
fn a_sub_agent_without_a_parent_starts_afresh_and_an_unknown_parent_is_refused() {
    let mut group = Group::with_program(100);
    group.turn("one", "first answer");
    group.ready(group.call(ChainId(1), "alone"));
    assert_eq!(group.history(ChainId(1)), Vec::<String>::new());
    let mut orphan = group.call(ChainId(2), "lost");
    orphan.parent = Some(ChainId(9));
    let refusal = CommandRefusal::NoSuchChain { program: program_id(1), chain: 9 };
    assert_eq!(group.begin(orphan), Err(refusal));
}

#[test]
fn an_answer_for_another_attempt_changes_nothing() {
    let mut group = Group::with_program(1_000);
    let call = group.ready(group.call(MAIN, "one"));
    group.intent(attempt(call, 1), "e1", 10).unwrap();
    group.outcome(attempt(call, 1), AttemptOutcome::NotRun).unwrap();
    group.intent(attempt(call, 2), "e2", 10).unwrap();
    let late = group.answer(attempt(call, 1), "late and crossed");
    assert_eq!(late, Err(CommandRefusal::StaleAttempt { call }));
    let unknown = group.answer(attempt(call, 3), "from nowhere");
    assert_eq!(unknown, Err(CommandRefusal::StaleAttempt { call }));
    group.answer(attempt(call, 2), "right").unwrap();
    assert_eq!(group.history(MAIN), ["one", "right"]);
    assert_eq!(group.answer(attempt(call, 2), "twice"), Err(CommandRefusal::StaleAttempt { call }));
}

#[test]
fn the_prompt_is_the_history_and_the_calls_own_messages() {
    let mut group = Group::with_program(100);
    group.turn("one", "first answer");
    let call = group.ready(group.call(MAIN, "two"));
    let prompt = group.program().prompt(call).expect("open").expect("held here");
    let roles: Vec<Role> = prompt.iter().map(|message| message.role).collect();
    assert_eq!(roles, [Role::User, Role::Assistant, Role::User]);
    assert_eq!(prompt[2].content, "two");
    assert!(group.program().prompt(main_call(1)).is_none(), "an ended call has no prompt");
}
