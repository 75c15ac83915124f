//! Order of a chain's calls, retries, and the history that they leave.

mod common;

use common::{MAIN, TestGroup, attempt_id, key, not_run, program_id};
use dahlia_program::{
    AttemptOutcome, BeginOutcome, CallOutcome, CommandEffect, CommandRefusal, NotRunReason,
};
use dahlia_types::{CallId, ChainId, Repeatability, Role, Tokens};

fn main_call(number: u32) -> CallId {
    CallId { program: program_id(1), chain: MAIN, number }
}

#[test]
fn a_turn_is_answered_and_charged_and_enters_the_history() {
    let mut group = TestGroup::with_program(100);
    let call = group.run_turn("code F23?", "check string 2");
    assert_eq!(call, main_call(1));
    assert_eq!(group.history(MAIN), ["code F23?", "check string 2"]);
    let budget = *group.program().budget();
    assert_eq!((budget.spent, budget.reserved), (Tokens(10), Tokens::ZERO));
    assert_eq!(budget.left(), Tokens(90));
}

#[test]
fn the_next_call_becomes_ready_only_after_the_final_outcome() {
    let mut group = TestGroup::with_program(100);
    let first = group.begin_ready(group.begin_command(MAIN, "one"));
    let second = group.begin(group.begin_command(MAIN, "two")).expect("accepted");
    assert_eq!(second, BeginOutcome::Waiting(main_call(2)));
    let early = group.record_intent(attempt_id(main_call(2), 1), "e1", 10);
    assert_eq!(early, Err(CommandRefusal::NotReady { call: main_call(2) }));

    group.record_intent(attempt_id(first, 1), "e1", 10).expect("first in its chain");
    let failed = group.record_outcome(attempt_id(first, 1), AttemptOutcome::NotRun).expect("open");
    assert_eq!(failed, CommandEffect::Retryable(first));
    let early = group.record_intent(attempt_id(main_call(2), 1), "e1", 10);
    assert_eq!(early, Err(CommandRefusal::NotReady { call: main_call(2) }));

    group.record_intent(attempt_id(first, 2), "e2", 10).expect("a second try");
    let CommandEffect::CallEnded { call, next, .. } =
        group.record_answer(attempt_id(first, 2), "ok").unwrap()
    else {
        panic!("an answer ends the call");
    };
    assert_eq!((call, next), (first, Some(main_call(2))));
    group.record_intent(attempt_id(main_call(2), 1), "e1", 10).expect("now first in its chain");
}

#[test]
fn a_retry_joins_an_open_call_and_replays_an_ended_one() {
    let mut group = TestGroup::with_program(100);
    let mut begun = group.begin_command(MAIN, "flash inverter 7");
    begun.key = key("flash-7");
    let call = group.begin_ready(begun.clone());
    assert_eq!(group.begin(begun.clone()), Ok(BeginOutcome::Joined(call)));
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    assert_eq!(group.begin(begun.clone()), Ok(BeginOutcome::Joined(call)));
    group.record_answer(attempt_id(call, 1), "done").unwrap();
    let replay = group.begin(begun.clone()).unwrap();
    let BeginOutcome::Replayed(replayed, CallOutcome::Answered { answer, .. }) = replay else {
        panic!("expected the answer again, found {replay:?}");
    };
    assert_eq!((replayed, answer.content.as_str()), (call, "done"));
    // The answer is replayed even after the program was closed.
    group.close_program().unwrap();
    assert!(matches!(group.begin(begun), Ok(BeginOutcome::Replayed(..))));
    assert_eq!(group.history(MAIN), ["flash inverter 7", "done"]);
}

#[test]
fn a_number_or_key_with_other_content_is_refused() {
    let mut group = TestGroup::with_program(100);
    let mut begun = group.begin_command(MAIN, "enrol in MATH-101");
    begun.key = key("enrol");
    begun.number = Some(1);
    let call = group.begin_ready(begun.clone());
    let refused = Err(CommandRefusal::DigestMismatch { call });

    let mut same_key = group.begin_command(MAIN, "enrol in MATH-102");
    same_key.key = key("enrol");
    assert_eq!(group.begin(same_key), refused);
    let mut same_number = group.begin_command(MAIN, "enrol in MATH-102");
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
fn a_key_that_is_first_sent_with_a_retry_is_recorded() {
    let mut group = TestGroup::with_program(100);
    let mut by_number = group.begin_command(MAIN, "one");
    by_number.number = Some(1);
    let call = group.begin_ready(by_number.clone());
    by_number.key = key("late");
    assert_eq!(group.begin(by_number.clone()), Ok(BeginOutcome::Joined(call)));
    by_number.number = None;
    assert_eq!(group.begin(by_number), Ok(BeginOutcome::Joined(call)));
}

#[test]
fn a_gap_in_the_numbers_is_refused_with_the_number_expected() {
    let mut group = TestGroup::with_program(100);
    for early in [0, 2, 9] {
        let mut begun = group.begin_command(MAIN, "one");
        begun.number = Some(early);
        let refusal = CommandRefusal::OutOfOrder { call: main_call(early), expected: 1 };
        assert_eq!(group.begin(begun), Err(refusal));
    }
    assert_eq!(group.program().calls().count(), 0);
}

#[test]
fn a_call_that_did_not_run_leaves_its_record_and_no_history() {
    let mut group = TestGroup::with_program(100);
    group.run_turn("one", "first answer");
    let mut begun = group.begin_command(MAIN, "two");
    begun.key = key("two");
    let call = group.begin_ready(begun.clone());
    group.abandon(call, not_run(NotRunReason::Overloaded)).expect("nothing ran");
    group.run_turn("three", "third answer");
    assert_eq!(group.history(MAIN), ["one", "first answer", "three", "third answer"]);
    // After a later call it would run out of order, so it does not run.
    let replayed = BeginOutcome::Replayed(call, not_run(NotRunReason::Overloaded));
    assert_eq!(group.begin(begun), Ok(replayed));
}

#[test]
fn a_caller_may_begin_its_last_call_again_after_it_did_not_run() {
    let mut group = TestGroup::with_program(100);
    group.run_turn("one", "first answer");
    let mut begun = group.begin_command(MAIN, "two");
    begun.key = key("two");
    begun.repeatability = Repeatability::AtMostOnce;
    let call = group.begin_ready(begun.clone());
    group.record_intent(attempt_id(call, 1), "e1", 10).expect("in order");
    group.record_outcome(attempt_id(call, 1), AttemptOutcome::NotRun).expect("open");
    group.abandon(call, not_run(NotRunReason::Overloaded)).expect("nothing ran");
    assert_eq!(group.begin(begun.clone()), Ok(BeginOutcome::Ready(call)));
    assert_eq!(group.begin(begun), Ok(BeginOutcome::Joined(call)));
    // A late outcome of the earlier attempt does not affect the new one.
    let stale = Err(CommandRefusal::StaleAttempt { call });
    assert_eq!(group.record_intent(attempt_id(call, 1), "e1", 10), stale);
    group.record_intent(attempt_id(call, 2), "e1", 10).expect("attempts go on counting");
    assert_eq!(group.record_answer(attempt_id(call, 1), "late"), stale);
    group.record_answer(attempt_id(call, 2), "second answer").expect("open");
    assert_eq!(group.history(MAIN), ["one", "first answer", "two", "second answer"]);
}

#[test]
fn a_call_that_ended_with_its_program_is_not_begun_again() {
    let mut group = TestGroup::with_program(100);
    let begun = group.begin_command(MAIN, "one");
    let call = group.begin_ready(begun.clone());
    group.close_program().expect("open");
    let mut again = begun;
    again.number = Some(1);
    let replayed = BeginOutcome::Replayed(call, not_run(NotRunReason::ProgramClosed));
    assert_eq!(group.begin(again), Ok(replayed));
}

#[test]
fn a_sub_agent_branches_off_the_history_at_its_start() {
    let mut group = TestGroup::with_program(1_000);
    group.run_turn("one", "first answer");
    let mut begun = group.begin_command(ChainId(1), "prerequisites?");
    begun.parent = Some(MAIN);
    let sub_agent = group.begin_ready(begun);
    group.run_turn("two", "second answer");
    group
        .record_intent(attempt_id(sub_agent, 1), "e2", 10)
        .expect("chains do not wait for each other");
    group.record_answer(attempt_id(sub_agent, 1), "met").unwrap();
    assert_eq!(group.history(ChainId(1)), ["one", "first answer", "prerequisites?", "met"]);
    assert_eq!(group.history(MAIN), ["one", "first answer", "two", "second answer"]);

    let mut nested = group.begin_command(ChainId(2), "seats?");
    nested.parent = Some(ChainId(1));
    group.begin_ready(nested);
    let history = group.history(ChainId(2));
    assert_eq!(history, ["one", "first answer", "prerequisites?", "met"]);
}

#[test]
fn a_sub_agent_without_a_parent_has_no_history_and_an_unknown_parent_is_refused() {
    let mut group = TestGroup::with_program(100);
    group.run_turn("one", "first answer");
    group.begin_ready(group.begin_command(ChainId(1), "alone"));
    assert_eq!(group.history(ChainId(1)), Vec::<String>::new());
    let mut orphan = group.begin_command(ChainId(2), "lost");
    orphan.parent = Some(ChainId(9));
    let refusal = CommandRefusal::NoSuchChain { program: program_id(1), chain: 9 };
    assert_eq!(group.begin(orphan), Err(refusal));
}

#[test]
fn an_answer_for_another_attempt_changes_nothing() {
    let mut group = TestGroup::with_program(1_000);
    let call = group.begin_ready(group.begin_command(MAIN, "one"));
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    group.record_outcome(attempt_id(call, 1), AttemptOutcome::NotRun).unwrap();
    group.record_intent(attempt_id(call, 2), "e2", 10).unwrap();
    let late = group.record_answer(attempt_id(call, 1), "late and crossed");
    assert_eq!(late, Err(CommandRefusal::StaleAttempt { call }));
    let unknown = group.record_answer(attempt_id(call, 3), "from nowhere");
    assert_eq!(unknown, Err(CommandRefusal::StaleAttempt { call }));
    group.record_answer(attempt_id(call, 2), "right").unwrap();
    assert_eq!(group.history(MAIN), ["one", "right"]);
    assert_eq!(
        group.record_answer(attempt_id(call, 2), "twice"),
        Err(CommandRefusal::StaleAttempt { call })
    );
}

#[test]
fn the_prompt_is_the_history_and_the_calls_own_messages() {
    let mut group = TestGroup::with_program(100);
    group.run_turn("one", "first answer");
    let call = group.begin_ready(group.begin_command(MAIN, "two"));
    let prompt = group.program().prompt(call).expect("open").expect("held here");
    let roles: Vec<Role> = prompt.iter().map(|message| message.role).collect();
    assert_eq!(roles, [Role::User, Role::Assistant, Role::User]);
    assert_eq!(prompt[2].content, "two");
    assert!(group.program().prompt(main_call(1)).is_none(), "an ended call has no prompt");
}
