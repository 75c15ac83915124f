//! Budgets, kept turns and limits of one ledger.

mod common;

use common::{Bench, RETENTION, WELL_OVER, kept, no_such_turn, plain, whole};
use dahlia_ledger::{
    ImportTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenedTurn, ProgramName, TurnEnd,
    TurnId, TurnRefusal, group_of,
};
use dahlia_types::{Bytes, Duration, GroupId, Timestamp, Tokens};

fn bench() -> Bench {
    Bench::new(LedgerLimits::default())
}

fn spent(budget: u64, used: u64) -> Result<OpenedTurn, TurnRefusal> {
    Err(TurnRefusal::BudgetSpent { budget: Tokens(budget), used: Tokens(used) })
}

#[test]
fn each_end_charges_what_the_turn_may_have_cost() {
    let mut bench = bench();
    for turn in ["open", "whole", "not-run", "broken"] {
        bench.open(plain("p", turn, 400, 100)).expect("opened");
    }
    assert_eq!(bench.used("p"), Some((0, 400)));
    bench.close("p", "whole", whole(30, ""));
    bench.close("p", "not-run", TurnEnd::NotRun);
    bench.close("p", "broken", TurnEnd::Incomplete);
    assert_eq!(bench.used("p"), Some((130, 100)));
}

#[test]
fn a_turn_is_refused_exactly_when_its_most_does_not_fit() {
    let mut bench = bench();
    bench.open(plain("p", "a", 100, 60)).expect("fits");
    assert_eq!(bench.open(plain("p", "b", 100, 41)), spent(100, 60));
    bench.open(plain("p", "c", 100, 40)).expect("fits exactly");
    assert_eq!(bench.open(plain("p", "d", 100, 1)), spent(100, 100));
    bench.close("p", "a", whole(59, ""));
    bench.open(plain("p", "d", 100, 1)).expect("a refused turn may be opened later");
    assert_eq!(bench.open(plain("new", "e", 10, 11)), spent(10, 0));
    assert_eq!(bench.used("new"), None);
}

#[test]
fn the_first_budget_that_is_stated_counts() {
    let mut bench = bench();
    let unstated = |turn| dahlia_ledger::OpenTurn { budget: None, ..plain("p", turn, 0, 50) };
    bench.open(unstated("a")).expect("no budget yet");
    bench.open(plain("p", "b", 100, 50)).expect("fits");
    assert_eq!(bench.open(plain("p", "c", 200, 1)), spent(100, 100));
    assert_eq!(bench.open(unstated("d")), spent(100, 100));
}

#[test]
fn a_repeat_gets_the_same_answer_and_is_charged_once() {
    let mut bench = bench();
    bench.turn("p", "one", None, ["input", "output"]);
    let first = bench.open(kept("p", "two", Some("one"), "more"));
    assert_eq!(bench.open(kept("p", "two", Some("one"), "more")), first);
    assert_eq!(bench.used("p"), Some((1, 10)));
    bench.close("p", "two", whole(5, "end"));
    bench.close("p", "two", TurnEnd::Incomplete);
    assert_eq!(bench.used("p"), Some((6, 0)));
    let again = bench.open(kept("p", "two", Some("one"), "more"));
    assert_eq!(again, Err(TurnRefusal::AlreadyEnded));
    let third = bench.open(kept("p", "three", Some("two"), "")).expect("the first end stands");
    assert_eq!(third.history, b"inputoutputmoreend");
}

#[test]
fn an_end_that_overtakes_its_opening_keeps_it_shut() {
    let mut bench = bench();
    bench.close("p", "a", TurnEnd::NotRun);
    assert_eq!(bench.open(plain("p", "a", 100, 50)), Err(TurnRefusal::AlreadyEnded));
    assert_eq!(bench.used("p"), None);
}

#[test]
fn an_end_under_another_programs_name_changes_nothing() {
    let mut bench = bench();
    bench.open(plain("p", "a", 100, 50)).expect("opened");
    bench.close("q", "a", TurnEnd::NotRun);
    assert_eq!(bench.used("p"), Some((0, 50)));
    assert_eq!(bench.open(plain("q", "a", 100, 50)), Err(TurnRefusal::AlreadyEnded));
}

#[test]
fn lines_share_the_turns_that_they_branch_from() {
    let mut bench = bench();
    bench.turn("p", "root", None, ["a", "b"]);
    bench.turn("p", "left", Some("root"), ["c", "d"]);
    bench.turn("p", "right", Some("root"), ["e", "f"]);
    let left = bench.open(kept("p", "l2", Some("left"), "")).expect("opened");
    let right = bench.open(kept("q", "r2", Some("right"), "")).expect("of another program");
    assert_eq!((left.history.as_slice(), right.history.as_slice()), (&b"abcd"[..], &b"abef"[..]));
    assert_eq!(left.last_served_by.as_deref(), Some("server"));
    assert_eq!(bench.ledger.size().text_bytes, Bytes(6));
}

#[test]
fn a_program_without_kept_turns_remembers_its_last_back_end() {
    let mut bench = bench();
    assert_eq!(bench.open(plain("p", "a", 100, 10)).expect("opened").last_served_by, None);
    bench.close("p", "a", whole(1, ""));
    let second = bench.open(plain("p", "b", 100, 10)).expect("opened");
    assert_eq!(second.last_served_by.as_deref(), Some("server"));
}

#[test]
fn only_a_turn_that_ended_whole_can_be_gone_on_from() {
    let mut bench = bench();
    let follow = |bench: &mut Bench, turn: &str, previous: &str| {
        bench.open(kept("p", turn, Some(previous), "")).map(|opened| opened.history)
    };
    assert_eq!(follow(&mut bench, "x", "unknown"), Err(no_such_turn("unknown")));
    bench.open(kept("p", "a", None, "input")).expect("opened");
    let not_ended = TurnRefusal::NotEnded { previous: TurnId::new(None, "a") };
    assert_eq!(follow(&mut bench, "x", "a"), Err(not_ended));
    bench.close("p", "a", TurnEnd::Incomplete);
    assert_eq!(follow(&mut bench, "x", "a"), Err(no_such_turn("a")));
    bench.open(plain("p", "b", 100, 1)).expect("opened");
    bench.close("p", "b", whole(1, ""));
    assert_eq!(follow(&mut bench, "x", "b"), Err(no_such_turn("b")), "no text was kept");
    assert_eq!(bench.ledger.size().text_bytes, Bytes(0));
}

#[test]
fn a_turn_is_kept_for_its_retention_and_its_chain_with_it() {
    let mut bench = bench();
    bench.turn("p", "root", None, ["a", "b"]);
    bench.pass(RETENTION);
    bench.turn("p", "leaf", Some("root"), ["c", "d"]);
    bench.pass(RETENTION);
    let opened = bench.open(kept("p", "next", Some("leaf"), "")).expect("within its retention");
    assert_eq!(opened.history, b"abcd");
    bench.close("p", "next", TurnEnd::Incomplete);
    bench.pass(WELL_OVER);
    let late = bench.open(kept("p", "late", Some("leaf"), ""));
    assert_eq!(late, Err(no_such_turn("leaf")));
    assert_eq!(bench.ledger.size().text_bytes, Bytes(0));
    assert_eq!(bench.ledger.size().turns, 0);
}

#[test]
fn an_open_turn_keeps_what_it_goes_on_from() {
    let mut bench = bench();
    bench.turn("p", "root", None, ["a", "b"]);
    bench.open(kept("p", "leaf", Some("root"), "c")).expect("opened");
    bench.pass(RETENTION);
    bench.pass(WELL_OVER);
    bench.close("p", "leaf", whole(1, "d"));
    let opened = bench.open(kept("p", "next", Some("leaf"), "")).expect("just ended");
    assert_eq!(opened.history, b"abcd");
}

#[test]
fn the_charge_outlives_the_turns() {
    let mut bench = bench();
    bench.open(plain("p", "a", 100, 90)).expect("opened");
    bench.close("p", "a", whole(90, ""));
    bench.pass(Duration::from_secs(590));
    assert_eq!(bench.ledger.size().turns, 0);
    assert_eq!(bench.open(plain("p", "b", 100, 11)), spent(100, 90));
    // An opening keeps it for as long as the turn may stay open, besides.
    bench.pass(Duration::from_secs(310));
    assert!(bench.ledger.is_empty());
}

#[test]
fn a_turn_that_nobody_settles_stays_charged() {
    let mut bench = bench();
    bench.open(kept("p", "a", None, "input")).expect("opened");
    bench.pass(Duration::from_secs(305));
    assert_eq!(bench.used("p"), Some((10, 0)));
    assert_eq!(bench.ledger.size().text_bytes, Bytes(0));
    bench.close("p", "a", whole(1, "late"));
    assert_eq!(bench.used("p"), Some((10, 0)));
}

#[test]
fn owners_whose_clocks_disagree_lose_no_turn() {
    const HOUR: Duration = Duration::from_secs(3_600);
    let mut bench = bench();
    bench.turn("p", "a", None, ["in", "out"]);
    let start = bench.now;
    for stamp in [start + HOUR, start, start + HOUR.times(24)] {
        bench.now = stamp;
        bench.apply(LedgerCommand::Expire { now: stamp });
    }
    bench.pass(RETENTION);
    bench.open(kept("p", "b", Some("a"), "")).expect("no more than its retention has passed");
    bench.close("p", "b", TurnEnd::NotRun);
    bench.now = Timestamp(1);
    bench.pass(WELL_OVER);
    let late = bench.open(kept("p", "c", Some("a"), ""));
    assert_eq!(late, Err(no_such_turn("a")), "a clock that is behind does not keep it for ever");
}

#[test]
fn each_limit_refuses_by_name() {
    let limits = LedgerLimits {
        programs: 2,
        turns: 5,
        text_bytes: Bytes(12),
        chain_bytes: Bytes(8),
        chain_turns: 2,
        ..LedgerLimits::default()
    };
    let mut bench = Bench::new(limits);
    let named = |refusal: Result<OpenedTurn, TurnRefusal>| match refusal {
        Err(TurnRefusal::LimitReached { limit }) => limit,
        other => panic!("expected a limit, found {other:?}"),
    };
    let long = "x".repeat(129);
    assert_eq!(named(bench.open(plain(&long, "a", 10, 1))), "name_bytes");
    bench.turn("p", "a", None, ["1234", "56"]);
    assert_eq!(named(bench.open(kept("p", "b", Some("a"), "789"))), "chain_bytes");
    bench.turn("p", "b", Some("a"), ["7", ""]);
    assert_eq!(named(bench.open(kept("p", "c", Some("b"), ""))), "chain_turns");
    bench.turn("q", "c", None, ["12345", "67890"]);
    assert_eq!(named(bench.open(kept("q", "d", None, "1"))), "text_bytes");
    assert_eq!(named(bench.open(plain("r", "d", 10, 1))), "programs");
    bench.open(plain("q", "d", 10, 1)).expect("opened");
    bench.open(plain("q", "e", 10, 1)).expect("opened");
    assert_eq!(named(bench.open(plain("q", "f", 10, 1))), "turns");
    assert_eq!(bench.used("r"), None);
}

#[test]
fn a_chain_moves_to_another_ledger() {
    let (mut here, mut there) = (bench(), bench());
    here.turn("p", "a", None, ["1", "2"]);
    here.turn("p", "b", Some("a"), ["3", "4"]);
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
    let opened = there.open(kept("q", "c", Some("b"), "5")).expect("held here now");
    assert_eq!(opened.history, b"1234");
    assert_eq!(opened.last_served_by.as_deref(), Some("server"));
    let unknown = LedgerCommand::Read { turn: TurnId::new(None, "x"), at };
    assert_eq!(here.apply(unknown), LedgerReply::Refused(no_such_turn("x")));
}

#[test]
fn a_ledger_survives_its_encoding() {
    let mut bench = bench();
    bench.turn("p", "a", None, ["in\n", "out\n"]);
    bench.open(kept("p", "b", Some("a"), "open")).expect("opened");
    let config = bincode::config::standard();
    let bytes = bincode::serde::encode_to_vec(&bench.ledger, config).expect("encodes");
    let (decoded, _): (Ledger, usize) =
        bincode::serde::decode_from_slice(&bytes, config).expect("decodes");
    assert_eq!(decoded, bench.ledger);
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
