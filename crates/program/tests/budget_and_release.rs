//! Budget, release obligations, the end of programs, limits, stored turns and snapshots.

mod common;

use common::{GROUP, MAIN, TestGroup, attempt_id, key, not_run, program_id, seconds, usage};
use dahlia_program::{
    AttemptOutcome, BeginOutcome, CallOutcome, ChunkReference, Command, CommandEffect,
    CommandRefusal, ExpirePrograms, GroupState, HistoryPart, NotRunReason, ProgramLimits,
    SNAPSHOT_VERSION, SetLimits, SnapshotError, TokenReservation, decode_chunk, encode_chunk,
};
use dahlia_types::{
    Bytes, CallKind, ChainId, Duration, EngineId, GroupId, LogIndex, ProgramId, Role, Term, Tokens,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[test]
fn the_generation_is_capped_by_the_remaining_budget_that_sub_agents_share() {
    let mut group = TestGroup::with_program(30);
    let main = group.begin_ready(group.begin_command(MAIN, "one"));
    let sub_agent = group.begin_ready(group.begin_command(ChainId(1), "two"));
    group.record_intent(attempt_id(main, 1), "e1", 10).unwrap();
    let capped = group.record_intent(attempt_id(sub_agent, 1), "e2", 7).unwrap();
    let terms = TokenReservation { reserved: Tokens(10), generated_cap: Tokens(3) };
    assert_eq!(capped, CommandEffect::IntentRecorded(terms));
    assert_eq!(group.program().budget().left(), Tokens::ZERO);
    let other = group.begin_ready(group.begin_command(ChainId(2), "three"));
    let refused = group.record_intent(attempt_id(other, 1), "e3", 0);
    assert!(matches!(refused, Err(CommandRefusal::BudgetExhausted { .. })), "{refused:?}");
    assert_eq!(
        group.raise_budget(29),
        Err(CommandRefusal::BudgetLowered { program: program_id(1), total: Tokens(30) })
    );
    group.raise_budget(31).unwrap();
    group.record_intent(attempt_id(other, 1), "e3", 0).expect("one token is left");
}

#[test]
fn an_engine_that_overreports_is_charged_its_reservation_and_counted() {
    let mut group = TestGroup::with_program(100);
    let call = group.begin_ready(group.begin_command(MAIN, "one"));
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    let answer = common::message(Role::Assistant, "long");
    let usage = usage(u64::MAX, u64::MAX);
    group.record_outcome(attempt_id(call, 1), AttemptOutcome::Ran { answer, usage }).unwrap();
    let budget = *group.program().budget();
    assert_eq!((budget.spent, budget.reserved), (Tokens(20), Tokens::ZERO));
    assert_eq!((budget.overreports, budget.overreported), (1, Tokens(u64::MAX - 20)));
}

#[test]
fn a_tool_call_needs_no_budget_and_creates_no_obligation() {
    let mut group = TestGroup::with_program(1);
    let mut begun = group.begin_command(MAIN, "look up warranty 4711");
    begun.kind = CallKind::Tool("warranty".to_owned());
    let call = group.begin_ready(begun);
    let recorded = group.record_intent_for(attempt_id(call, 1), "warranty", 0, 0).unwrap();
    let terms = TokenReservation { reserved: Tokens::ZERO, generated_cap: Tokens::ZERO };
    assert_eq!(recorded, CommandEffect::IntentRecorded(terms));
    assert_eq!(group.program().obligations().count(), 0);
}

#[test]
fn a_confirmation_ends_only_the_obligations_that_it_covers() {
    let mut group = TestGroup::with_program(1_000);
    group.run_turn("one", "first answer");
    let stale = group.program().release_requests().remove(0);
    let call = group.begin_ready(group.begin_command(MAIN, "two"));
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    let renewed = CommandRefusal::ObligationRenewed {
        program: program_id(1),
        engine: EngineId::new("e1"),
        last_intent: LogIndex(group.index),
    };
    assert_eq!(group.confirm_release("e1", 1, stale.covers), Err(renewed.clone()));
    // A confirmation of the latest intent is refused too while its attempt may be in flight.
    assert_eq!(group.program().release_requests(), []);
    assert_eq!(group.confirm_release("e1", 1, LogIndex(group.index)), { Err(renewed.clone()) });
    group.record_answer(attempt_id(call, 1), "second answer").unwrap();
    assert_eq!(group.confirm_release("e1", 1, stale.covers), Err(renewed));
    let request = group.program().release_requests().remove(0);
    assert_eq!(group.confirm_release("e1", 1, request.covers), Ok(CommandEffect::ReleaseConfirmed));
    let none = CommandRefusal::NoObligation { program: program_id(1), engine: EngineId::new("e1") };
    assert_eq!(group.confirm_release("e1", 1, request.covers), Err(none));
}

#[test]
fn a_newer_incarnation_ends_the_obligation_and_an_older_one_takes_no_intent() {
    let mut group = TestGroup::with_program(1_000);
    let call = group.begin_ready(group.begin_command(MAIN, "one"));
    group.record_intent_for(attempt_id(call, 1), "e1", 5, 10).unwrap();
    group.record_outcome(attempt_id(call, 1), AttemptOutcome::NotRun).unwrap();
    let stale = group.record_intent_for(attempt_id(call, 2), "e1", 4, 10);
    assert!(matches!(stale, Err(CommandRefusal::StaleIncarnation { .. })), "{stale:?}");
    let older = group.confirm_release("e1", 4, LogIndex(u64::MAX));
    assert!(matches!(older, Err(CommandRefusal::NoObligation { .. })), "{older:?}");
    assert_eq!(group.confirm_release("e1", 6, LogIndex(0)), Ok(CommandEffect::ReleaseConfirmed));
}

#[test]
fn a_close_ends_calls_without_an_open_attempt_and_keeps_the_obligations() {
    let mut group = TestGroup::with_program(1_000);
    let running = group.begin_ready(group.begin_command(MAIN, "one"));
    group.record_intent(attempt_id(running, 1), "e1", 10).unwrap();
    let BeginOutcome::Waiting(waiting) = group.begin(group.begin_command(MAIN, "two")).unwrap()
    else {
        panic!("the first call is open");
    };
    let attempted = group.begin_ready(group.begin_command(ChainId(1), "three"));
    group.record_intent(attempt_id(attempted, 1), "e2", 10).unwrap();
    group.record_outcome(attempt_id(attempted, 1), AttemptOutcome::Unknown).unwrap();
    let closed = group.close_program().unwrap();
    let ended = vec![waiting, attempted];
    assert_eq!(closed, CommandEffect::Closed { program: program_id(1), ended });
    let outcome = |call| group.program().outcome(call);
    let inline = dahlia_program::RecordedOutcome::Inline;
    assert_eq!(outcome(waiting), Some(inline(not_run(NotRunReason::ProgramClosed))));
    assert_eq!(outcome(attempted), Some(inline(CallOutcome::Unknown)), "it may have run");
    let refusal = CommandRefusal::ProgramClosed { program: program_id(1) };
    assert_eq!(group.begin(group.begin_command(MAIN, "four")), Err(refusal));
    assert_eq!(group.state.releases_due().len(), 1, "an attempt is open on e1");
    group.record_answer(attempt_id(running, 1), "whole").expect("a running attempt is not cut");
    assert_eq!(group.state.releases_due().len(), 2);
}

#[test]
fn an_idle_program_expires_and_is_removed_once_it_has_no_obligations() {
    let mut group = TestGroup::with_program(1_000);
    let keep = Duration::from_secs(3_600);
    let call = group.run_turn("one", "first answer");
    let open = group.begin_ready(group.begin_command(MAIN, "two"));
    group.now = seconds(10_000);
    let nothing = CommandEffect::Expired { closed: vec![], forgotten: vec![] };
    assert_eq!(group.expire_programs(keep), nothing, "a call is in progress");
    let due = ExpirePrograms { now: group.now, keep_records: keep };
    assert!(!group.state.has_programs_to_expire(&due));
    group.abandon(open, not_run(NotRunReason::Overloaded)).unwrap();
    group.now = seconds(10_600);
    let due = ExpirePrograms { now: group.now, keep_records: keep };
    assert!(group.state.has_programs_to_expire(&due));
    let closed = vec![program_id(1)];
    assert_eq!(group.expire_programs(keep), CommandEffect::Expired { closed, forgotten: vec![] });
    assert!(group.program().outcome(call).is_some(), "records outlive the program");
    group.now = seconds(50_000);
    assert_eq!(group.expire_programs(keep), nothing, "e1 still holds the program's cache");
    let request = group.state.releases_due().remove(0);
    group.confirm_release("e1", 1, request.covers).unwrap();
    let forgotten = vec![program_id(1)];
    assert_eq!(group.expire_programs(keep), CommandEffect::Expired { closed: vec![], forgotten });
    let gone = CommandRefusal::NoSuchProgram { program: program_id(1) };
    assert_eq!(group.close_program(), Err(gone));
}

#[test]
fn an_attempt_that_is_never_settled_keeps_the_program_for_a_limited_time() {
    let mut group = TestGroup::with_program(1_000);
    let mut begun = group.begin_command(MAIN, "flash");
    begun.kind = CallKind::Tool("flasher".to_owned());
    let call = group.begin_ready(begun);
    group.record_intent_for(attempt_id(call, 1), "flasher", 0, 0).unwrap();
    group.record_outcome(attempt_id(call, 1), AttemptOutcome::Unknown).unwrap();
    group.close_program().unwrap();
    let keep_unknown = group.state.limits().keep_unknown;
    let nothing = CommandEffect::Expired { closed: vec![], forgotten: vec![] };
    group.now = seconds(7_200);
    assert_eq!(group.expire_programs(Duration::from_secs(3_600)), nothing);
    group.now = seconds(1) + keep_unknown;
    let forgotten = vec![program_id(1)];
    let expired = group.expire_programs(Duration::from_secs(3_600));
    assert_eq!(expired, CommandEffect::Expired { closed: vec![], forgotten });
}

#[test]
fn each_limit_is_named_in_its_refusal() {
    let limits = ProgramLimits {
        programs: 1,
        open_calls: 2,
        chains: 2,
        calls: 4,
        turns: 2,
        history_bytes: Bytes(40),
        history_tokens: Tokens(50),
        ..ProgramLimits::default()
    };
    let limit_name = |refusal: Result<BeginOutcome, CommandRefusal>| match refusal {
        Err(CommandRefusal::LimitReached { what, .. }) => what,
        other => panic!("expected a limit, found {other:?}"),
    };
    let mut group = TestGroup::new(limits);
    group.create_program(1, 1_000).unwrap();
    let second = group.create_program(2, 1_000).map(|_| BeginOutcome::Ready(Default::default()));
    assert_eq!(limit_name(second), "programs");
    assert_eq!(
        limit_name(group.begin(group.begin_command(MAIN, &"x".repeat(41)))),
        "history bytes"
    );
    let first = group.begin_ready(group.begin_command(MAIN, "one"));
    let long = group.record_intent(attempt_id(first, 1), "e1", 51);
    assert_eq!(limit_name(long.map(|_| BeginOutcome::Ready(first))), "history tokens");
    group.begin_ready(group.begin_command(ChainId(1), "two"));
    assert_eq!(limit_name(group.begin(group.begin_command(MAIN, "three"))), "open calls");
    group.abandon(first, not_run(NotRunReason::Overloaded)).unwrap();
    assert_eq!(limit_name(group.begin(group.begin_command(ChainId(2), "three"))), "chains");
    group.run_turn("three", "answer");
    assert_eq!(limit_name(group.begin(group.begin_command(MAIN, "four"))), "turns");
    let raised = ProgramLimits { turns: 9, ..limits };
    group.apply(Command::SetLimits(SetLimits { limits: raised })).unwrap();
    group.begin(group.begin_command(MAIN, "four")).expect("the limit was raised");
    assert_eq!(limit_name(group.begin(group.begin_command(MAIN, "five"))), "calls");
}

#[test]
fn a_turn_moved_to_the_store_is_replaced_by_its_reference_only() {
    let mut group = TestGroup::with_program(1_000);
    let mut begun = group.begin_command(MAIN, "one");
    begun.key = key("first");
    let call = group.begin_ready(begun.clone());
    group.record_intent(attempt_id(call, 1), "e1", 10).unwrap();
    group.record_answer(attempt_id(call, 1), "first answer").unwrap();
    group.run_turn("two", "second answer");
    let messages: Vec<_> = group.program().history(MAIN).unwrap().into_iter().cloned().collect();
    let chunk = ChunkReference::of(&messages[..2], Tokens(10));
    let other = ChunkReference::of(&messages[2..], Tokens(10));
    let mismatch = CommandRefusal::TurnMismatch { program: program_id(1), chain: 0, turn: 0 };
    assert_eq!(group.move_turn(MAIN, 0, other), Err(mismatch));
    assert_eq!(group.move_turn(MAIN, 0, chunk), Ok(CommandEffect::TurnMoved));
    assert_eq!(
        group.move_turn(MAIN, 0, chunk),
        Ok(CommandEffect::TurnMoved),
        "a repeat is accepted"
    );

    let missing = group.program().history(MAIN).expect_err("a turn is on the store daemons");
    assert_eq!(missing.chunks, [chunk]);
    let parts = group.program().history_parts(MAIN);
    assert_eq!(parts, [HistoryPart::Chunk(&chunk), HistoryPart::Messages(&messages[2..])]);
    let inline: Vec<_> = group.program().inline_turns().collect();
    assert_eq!(inline, [(MAIN, 1, &messages[2..])]);
    let bytes = encode_chunk(&messages[..2]);
    assert_eq!(decode_chunk(&chunk, &bytes).as_deref(), Ok(&messages[..2]));
    assert!(decode_chunk(&other, &bytes).is_err(), "another chunk must not enter the history");
    let replay = group.begin(begun).unwrap();
    let BeginOutcome::ReplayedFromStore(replayed, answer) = replay else {
        panic!("expected a stored answer, found {replay:?}");
    };
    assert_eq!((replayed, answer.chunk), (call, chunk));
}

#[test]
fn a_snapshot_restores_the_same_state_and_damage_is_refused() {
    let mut group = TestGroup::with_program(1_000);
    group.run_turn("one", "first answer");
    group.begin(group.begin_command(MAIN, "two")).unwrap();
    let bytes = group.state.snapshot();
    let restored = GroupState::restore(&bytes).expect("whole");
    assert_eq!(restored, group.state);
    for length in 0..bytes.len() {
        assert!(GroupState::restore(&bytes[..length]).is_err(), "cut at {length}");
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..2_000 {
        let mut damaged = bytes.clone();
        damaged[random.random_range(0..bytes.len())] = random.random();
        // It must neither panic nor hang. A damaged text may still decode as a text.
        let _ = GroupState::restore(&damaged);
    }
    let mut newer = bytes.clone();
    newer[0] += 1;
    let refused = GroupState::restore(&newer);
    let next = SNAPSHOT_VERSION + 1;
    let is_named = matches!(refused, Err(SnapshotError::OtherVersion { found }) if found == next);
    assert!(is_named, "{refused:?}");
}

#[test]
fn entries_before_the_snapshot_and_programs_of_other_groups_are_refused() {
    let mut group = TestGroup::with_program(1_000);
    let command = SetLimits { limits: ProgramLimits::default() };
    let repeated = group.state.apply(LogIndex(1), Term(1), &Command::SetLimits(command));
    assert_eq!(repeated, Err(CommandRefusal::AlreadyApplied { index: LogIndex(1) }));
    let foreign = ProgramId { group: GroupId(99), number: 1 };
    let created = Command::CreateProgram(dahlia_program::CreateProgram {
        program: foreign,
        specification: common::specification(1),
        at: seconds(1),
    });
    assert_eq!(
        group.apply(created),
        Err(CommandRefusal::WrongGroup { program: foreign, group: GROUP })
    );
    group.create_program(1, 1_000).expect("the same specification again");
    let changed = group.create_program(1, 999);
    assert_eq!(changed, Err(CommandRefusal::ProgramExists { program: program_id(1) }));
}
