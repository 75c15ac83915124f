//! Budgets, kept turns and limits of one ledger.

mod common;

use common::{
    PAST_RETENTION, RETENTION, TestLedger, completed, kept_turn, no_such_turn, unkept_turn,
};
use dahlia_ledger::{
    ImportTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenedTurn, ProgramName, TurnEnd,
    TurnId, TurnRefusal, group_of,
};
use dahlia_types::{Bytes, Duration, GroupId, Timestamp, Tokens};

fn default_ledger() -> TestLedger {
    TestLedger::new(LedgerLimits::default())
}

fn budget_spent(budget: u64, used: u64) -> Result<OpenedTurn, TurnRefusal> {
    Err(TurnRefusal::BudgetSpent { budget: Tokens(budget), used: Tokens(used) })
}

#[test]
fn each_end_charges_what_the_turn_may_have_used() {
    let mut ledger = default_ledger();
    for turn in ["open", "whole", "not-run", "broken"] {
        ledger.open(unkept_turn("p", turn, 400, 100)).expect("opened");
    }
    assert_eq!(ledger.used("p"), Some((0, 400)));
    ledger.close("p", "whole", completed(30, ""));
    ledger.close("p", "not-run", TurnEnd::NotRun);
    ledger.close("p", "broken", TurnEnd::Incomplete);
    assert_eq!(ledger.used("p"), Some((130, 100)));
}

#[test]
fn a_turn_is_refused_exactly_when_its_maximum_exceeds_the_budget_left() {
    let mut ledger = default_ledger();
    ledger.open(unkept_turn("p", "a", 100, 60)).expect("fits");
    assert_eq!(ledger.open(unkept_turn("p", "b", 100, 41)), budget_spent(100, 60));
    ledger.open(unkept_turn("p", "c", 100, 40)).expect("fits exactly");
    assert_eq!(ledger.open(unkept_turn("p", "d", 100, 1)), budget_spent(100, 100));
    ledger.close("p", "a", completed(59, ""));
    ledger.open(unkept_turn("p", "d", 100, 1)).expect("a refused turn may be opened later");
    assert_eq!(ledger.open(unkept_turn("new", "e", 10, 11)), budget_spent(10, 0));
    assert_eq!(ledger.used("new"), None);
}

#[test]
fn the_first_budget_that_is_stated_counts() {
    let mut ledger = default_ledger();
    let unstated = |turn| dahlia_ledger::OpenTurn { budget: None, ..unkept_turn("p", turn, 0, 50) };
    ledger.open(unstated("a")).expect("no budget yet");
    ledger.open(unkept_turn("p", "b", 100, 50)).expect("fits");
    assert_eq!(ledger.open(unkept_turn("p", "c", 200, 1)), budget_spent(100, 100));
    assert_eq!(ledger.open(unstated("d")), budget_spent(100, 100));
}

#[test]
fn a_retried_command_gets_the_same_reply_and_is_charged_once() {
    let mut ledger = default_ledger();
    ledger.complete_turn("p", "one", None, ["input", "output"]);
    let first = ledger.open(kept_turn("p", "two", Some("one"), "more"));
    assert_eq!(ledger.open(kept_turn("p", "two", Some("one"), "more")), first);
    assert_eq!(ledger.used("p"), Some((1, 10)));
    ledger.close("p", "two", completed(5, "end"));
    ledger.close("p", "two", TurnEnd::Incomplete);
    assert_eq!(ledger.used("p"), Some((6, 0)));
    let again = ledger.open(kept_turn("p", "two", Some("one"), "more"));
    assert_eq!(again, Err(TurnRefusal::AlreadyEnded));
    let third =
        ledger.open(kept_turn("p", "three", Some("two"), "")).expect("the first end stands");
    assert_eq!(third.history, b"inputoutputmoreend");
}

#[test]
fn a_turn_cannot_be_opened_after_a_close_that_overtook_its_opening() {
    let mut ledger = default_ledger();
    ledger.close("p", "a", TurnEnd::NotRun);
    assert_eq!(ledger.open(unkept_turn("p", "a", 100, 50)), Err(TurnRefusal::AlreadyEnded));
    assert_eq!(ledger.used("p"), None);
}

#[test]
fn a_close_under_another_programs_name_changes_nothing() {
    let mut ledger = default_ledger();
    ledger.open(unkept_turn("p", "a", 100, 50)).expect("opened");
    ledger.close("q", "a", TurnEnd::NotRun);
    assert_eq!(ledger.used("p"), Some((0, 50)));
    assert_eq!(ledger.open(unkept_turn("q", "a", 100, 50)), Err(TurnRefusal::AlreadyEnded));
}

#[test]
fn branches_share_the_turns_before_them() {
    let mut ledger = default_ledger();
    ledger.complete_turn("p", "root", None, ["a", "b"]);
    ledger.complete_turn("p", "left", Some("root"), ["c", "d"]);
    ledger.complete_turn("p", "right", Some("root"), ["e", "f"]);
    let left = ledger.open(kept_turn("p", "l2", Some("left"), "")).expect("opened");
    let right = ledger.open(kept_turn("q", "r2", Some("right"), "")).expect("of another program");
    assert_eq!((left.history.as_slice(), right.history.as_slice()), (&b"abcd"[..], &b"abef"[..]));
    assert_eq!(left.last_served_by.as_deref(), Some("server"));
    assert_eq!(ledger.inner.size().text_bytes, Bytes(6));
}

#[test]
fn a_program_without_kept_turns_remembers_its_last_backend() {
    let mut ledger = default_ledger();
    assert_eq!(ledger.open(unkept_turn("p", "a", 100, 10)).expect("opened").last_served_by, None);
    ledger.close("p", "a", completed(1, ""));
    let second = ledger.open(unkept_turn("p", "b", 100, 10)).expect("opened");
    assert_eq!(second.last_served_by.as_deref(), Some("server"));
}

#[test]
fn only_a_completed_turn_with_kept_text_can_be_continued() {
    let mut ledger = default_ledger();
    let follow = |ledger: &mut TestLedger, turn: &str, previous: &str| {
        ledger.open(kept_turn("p", turn, Some(previous), "")).map(|opened| opened.history)
    };
    assert_eq!(follow(&mut ledger, "x", "unknown"), Err(no_such_turn("unknown")));
    ledger.open(kept_turn("p", "a", None, "input")).expect("opened");
    let not_ended = TurnRefusal::NotEnded { previous: TurnId::new(None, "a") };
    assert_eq!(follow(&mut ledger, "x", "a"), Err(not_ended));
    ledger.close("p", "a", TurnEnd::Incomplete);
    assert_eq!(follow(&mut ledger, "x", "a"), Err(no_such_turn("a")));
    ledger.open(unkept_turn("p", "b", 100, 1)).expect("opened");
    ledger.close("p", "b", completed(1, ""));
    assert_eq!(follow(&mut ledger, "x", "b"), Err(no_such_turn("b")), "no text was kept");
    assert_eq!(ledger.inner.size().text_bytes, Bytes(0));
}

#[test]
fn a_turn_and_its_chain_are_kept_for_its_retention() {
    let mut ledger = default_ledger();
    ledger.complete_turn("p", "root", None, ["a", "b"]);
    ledger.advance(RETENTION);
    ledger.complete_turn("p", "leaf", Some("root"), ["c", "d"]);
    ledger.advance(RETENTION);
    let opened =
        ledger.open(kept_turn("p", "next", Some("leaf"), "")).expect("within its retention");
    assert_eq!(opened.history, b"abcd");
    ledger.close("p", "next", TurnEnd::Incomplete);
    ledger.advance(PAST_RETENTION);
    let late = ledger.open(kept_turn("p", "late", Some("leaf"), ""));
    assert_eq!(late, Err(no_such_turn("leaf")));
    assert_eq!(ledger.inner.size().text_bytes, Bytes(0));
    assert_eq!(ledger.inner.size().turns, 0);
}

#[test]
fn an_open_turn_keeps_the_chain_that_it_continues() {
    let mut ledger = default_ledger();
    ledger.complete_turn("p", "root", None, ["a", "b"]);
    ledger.open(kept_turn("p", "leaf", Some("root"), "c")).expect("opened");
    ledger.advance(RETENTION);
    ledger.advance(PAST_RETENTION);
    ledger.close("p", "leaf", completed(1, "d"));
    let opened = ledger.open(kept_turn("p", "next", Some("leaf"), "")).expect("just ended");
    assert_eq!(opened.history, b"abcd");
}

#[test]
fn the_charge_outlives_the_turns() {
    let mut ledger = default_ledger();
    ledger.open(unkept_turn("p", "a", 100, 90)).expect("opened");
    ledger.close("p", "a", completed(90, ""));
    ledger.advance(Duration::from_secs(590));
    assert_eq!(ledger.inner.size().turns, 0);
    assert_eq!(ledger.open(unkept_turn("p", "b", 100, 11)), budget_spent(100, 90));
    // Opening a turn extends the charge's retention by the time for which the turn may stay open.
    ledger.advance(Duration::from_secs(310));
    assert!(ledger.inner.is_empty());
}

#[test]
fn a_turn_that_is_never_settled_stays_charged() {
    let mut ledger = default_ledger();
    ledger.open(kept_turn("p", "a", None, "input")).expect("opened");
    ledger.advance(Duration::from_secs(305));
    assert_eq!(ledger.used("p"), Some((10, 0)));
    assert_eq!(ledger.inner.size().text_bytes, Bytes(0));
    ledger.close("p", "a", completed(1, "late"));
    assert_eq!(ledger.used("p"), Some((10, 0)));
}

#[test]
fn owners_whose_clocks_disagree_lose_no_turn() {
    const HOUR: Duration = Duration::from_secs(3_600);
    let mut ledger = default_ledger();
    ledger.complete_turn("p", "a", None, ["in", "out"]);
    let start = ledger.now;
    for timestamp in [start + HOUR, start, start + HOUR.times(24)] {
        ledger.now = timestamp;
        ledger.apply(LedgerCommand::Expire { now: timestamp });
    }
    ledger.advance(RETENTION);
    ledger.open(kept_turn("p", "b", Some("a"), "")).expect("no more than its retention has passed");
    ledger.close("p", "b", TurnEnd::NotRun);
    ledger.now = Timestamp(1);
    ledger.advance(PAST_RETENTION);
    let late = ledger.open(kept_turn("p", "c", Some("a"), ""));
    assert_eq!(late, Err(no_such_turn("a")), "a clock that is behind does not keep it for ever");
}

#[test]
fn each_limit_is_named_in_its_refusal() {
    let limits = LedgerLimits {
        programs: 2,
        turns: 5,
        text_bytes: Bytes(12),
        chain_bytes: Bytes(8),
        chain_turns: 2,
        ..LedgerLimits::default()
    };
    let mut ledger = TestLedger::new(limits);
    let limit_name = |refusal: Result<OpenedTurn, TurnRefusal>| match refusal {
        Err(TurnRefusal::LimitReached { limit }) => limit,
        other => panic!("expected a limit, found {other:?}"),
    };
    let long = "x".repeat(129);
    assert_eq!(limit_name(ledger.open(unkept_turn(&long, "a", 10, 1))), "name_bytes");
    ledger.complete_turn("p", "a", None, ["1234", "56"]);
    assert_eq!(limit_name(ledger.open(kept_turn("p", "b", Some("a"), "789"))), "chain_bytes");
    ledger.complete_turn("p", "b", Some("a"), ["7", ""]);
    assert_eq!(limit_name(ledger.open(kept_turn("p", "c", Some("b"), ""))), "chain_turns");
    ledger.complete_turn("q", "c", None, ["12345", "67890"]);
    assert_eq!(limit_name(ledger.open(kept_turn("q", "d", None, "1"))), "text_bytes");
    assert_eq!(limit_name(ledger.open(unkept_turn("r", "d", 10, 1))), "programs");
    ledger.open(unkept_turn("q", "d", 10, 1)).expect("opened");
    ledger.open(unkept_turn("q", "e", 10, 1)).expect("opened");
    assert_eq!(limit_name(ledger.open(unkept_turn("q", "f", 10, 1))), "turns");
    assert_eq!(ledger.used("r"), None);
}

#[test]
fn a_chain_can_be_imported_by_another_ledger() {
    let (mut here, mut there) = (default_ledger(), default_ledger());
    here.complete_turn("p", "a", None, ["1", "2"]);
    here.complete_turn("p", "b", Some("a"), ["3", "4"]);
    let (turn, at) = (TurnId::new(None, "b"), Timestamp::ZERO);
    let chain = match here.apply(LedgerCommand::Read { turn: turn.clone(), at }) {
        LedgerReply::Chain(chain) => chain,
        other => panic!("expected a chain, found {other:?}"),
    };
    assert!(chain.retention >= RETENTION);
    let program = ProgramName::new(None, "q");
    let import = LedgerCommand::Import(ImportTurn { program, turn: turn.clone(), chain, at });
    assert_eq!(there.apply(import.clone()), LedgerReply::Imported);
    assert_eq!(there.apply(import), LedgerReply::Imported);
    let opened = there.open(kept_turn("q", "c", Some("b"), "5")).expect("held here now");
    assert_eq!(opened.history, b"1234");
    assert_eq!(opened.last_served_by.as_deref(), Some("server"));
    let unknown = LedgerCommand::Read { turn: TurnId::new(None, "x"), at };
    assert_eq!(here.apply(unknown), LedgerReply::Refused(no_such_turn("x")));
}

#[test]
fn a_ledger_is_equal_after_encoding_and_decoding() {
    let mut ledger = default_ledger();
    ledger.complete_turn("p", "a", None, ["in\n", "out\n"]);
    ledger.open(kept_turn("p", "b", Some("a"), "open")).expect("opened");
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&ledger.inner, config).expect("encodes");
    let (decoded, _): (Ledger, usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("decodes");
    assert_eq!(decoded, ledger.inner);
}

#[test]
fn every_build_finds_a_program_in_the_same_group() {
    let group = |name: &str, groups| group_of(&ProgramName::new(None, name), groups);
    let found: Vec<GroupId> =
        ["", "3fa81c", "program"].iter().map(|name| group(name, 16)).collect();
    // FNV-1a of the empty text is its offset basis, 0xcbf29ce484222325.
    let folded: u64 = 0xcbf2_9ce4_8422_2325 ^ 0xcbf2_9ce4;
    assert_eq!(found[0], GroupId((folded % 16) as u32));
    let mut counts = [0_u32; 16];
    (0..16_000).for_each(|number| counts[group(&format!("{number:06x}"), 16).0 as usize] += 1);
    assert!(counts.iter().all(|count| (900..1_100).contains(count)), "{counts:?}");
    assert_eq!(group("anything", 1), GroupId(0));
}
