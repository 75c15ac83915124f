//! A program that goes on in another group, as one does whose turns come to another region.

mod common;

use common::{Bench, RETENTION, kept, plain, whole};
use dahlia_ledger::{
    ChargedChain, ImportCharged, ImportTurn, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn,
    ProgramName, TurnEnd, TurnId, TurnRefusal, group_in_region, group_of,
};
use dahlia_types::{GroupHomes, GroupId, Region, Timestamp, Tokens};

const BUDGET: u64 = 100;

fn bench() -> Bench {
    Bench::new(LedgerLimits::default())
}

fn program() -> ProgramName {
    ProgramName::new(None, "p")
}

fn turn(turn: &str, previous: Option<&str>, most: u64) -> OpenTurn {
    let budget = plain("p", turn, BUDGET, most);
    OpenTurn { input: kept("p", turn, previous, "in").input, ..budget }
}

fn run(bench: &mut Bench, name: &str, previous: Option<&str>, generated: u64) {
    bench.open(turn(name, previous, generated)).expect("opened");
    bench.close("p", name, whole(generated, "out"));
}

fn read(bench: &mut Bench, turn: &str) -> ChargedChain {
    let turn = TurnId::new(None, turn);
    let command = LedgerCommand::ReadCharged { turn, program: program(), at: Timestamp::ZERO };
    match bench.apply(command) {
        LedgerReply::ChargedChain(chain) => chain,
        other => panic!("no chain: {other:?}"),
    }
}

fn carry(from: &mut Bench, to: &mut Bench, turn: &str) {
    let ChargedChain { chain, charge } = read(from, turn);
    let turn = TurnId::new(None, turn);
    let import = ImportTurn { program: program(), turn, chain, at: Timestamp::ZERO };
    let charge = charge.expect("the program is known there");
    let command = LedgerCommand::ImportCharged(Box::new(ImportCharged { import, charge }));
    assert_eq!(to.apply(command.clone()), LedgerReply::Imported);
    assert_eq!(to.apply(command), LedgerReply::Imported, "a repeat");
}

#[test]
fn what_a_program_used_goes_with_its_chain() {
    let (mut here, mut there) = (bench(), bench());
    run(&mut here, "one", None, 60);
    carry(&mut here, &mut there, "one");
    assert_eq!(there.used("p"), Some((60, 0)), "charged once");
    let refused = there.open(turn("two", Some("one"), 41));
    let (budget, used) = (Tokens(BUDGET), Tokens(60));
    assert_eq!(refused, Err(TurnRefusal::BudgetSpent { budget, used }));
    let opened = there.open(turn("two", Some("one"), 30)).expect("it fits");
    assert_eq!(opened.history, b"inout");
    assert_eq!(opened.last_served_by, read(&mut here, "one").chain.served_by.into());
    there.close("p", "two", whole(30, "out"));
    // And back: what it had used here is counted there already.
    carry(&mut there, &mut here, "two");
    assert_eq!(here.used("p"), Some((90, 0)));
    assert_eq!(here.open(turn("three", Some("two"), 10)).expect("it fits").history, b"inoutinout");
}

#[test]
fn what_is_reserved_counts_as_used_elsewhere() {
    let (mut here, mut there) = (bench(), bench());
    run(&mut here, "one", None, 20);
    here.open(turn("aside", None, 50)).expect("opened");
    carry(&mut here, &mut there, "one");
    assert_eq!(there.used("p"), Some((70, 0)));
    here.close("p", "aside", TurnEnd::NotRun);
    carry(&mut here, &mut there, "one");
    assert_eq!(there.used("p"), Some((70, 0)), "what it was never grows less");
}

#[test]
fn lines_in_two_places_at_once_use_a_budget_in_each_at_most() {
    let (mut here, mut there) = (bench(), bench());
    run(&mut here, "one", None, 20);
    carry(&mut here, &mut there, "one");
    run(&mut here, "two", Some("one"), 80);
    run(&mut there, "three", Some("one"), 80);
    for bench in [&mut here, &mut there] {
        assert!(bench.open(turn("four", Some("one"), 1)).is_err());
    }
}

#[test]
fn a_program_that_is_carried_is_kept_as_long_as_its_chain() {
    let (mut here, mut there) = (bench(), bench());
    run(&mut here, "one", None, 60);
    carry(&mut here, &mut there, "one");
    there.pass(RETENTION);
    assert_eq!(there.used("p"), Some((60, 0)));
}

#[test]
fn commands_of_earlier_logs_are_read_as_before() {
    let config = bincode::config::standard();
    let decode = |bytes: &[u8]| -> LedgerCommand {
        bincode::serde::decode_from_slice(bytes, config).expect("a command").0
    };
    // Written before commands carried charges: kind, fields in order.
    assert_eq!(decode(&[4, 7]), LedgerCommand::Expire { now: Timestamp(7) });
    let read = LedgerCommand::Read { turn: TurnId::new(None, "t"), at: Timestamp(7) };
    assert_eq!(decode(&[2, 1, b't', 7]), read);
}

#[test]
fn kept_turns_go_to_groups_at_home() {
    const GROUPS: u32 = 8;
    let homes = GroupHomes::new(["b", "a", "c", "a"].map(Region::new));
    for number in 0..200 {
        let name = ProgramName::new(None, &format!("program-{number}"));
        for (place, region) in ["a", "b", "c"].into_iter().enumerate() {
            let group = group_in_region(&name, &homes, &Region::new(region), GROUPS);
            assert_eq!(group.0 as usize % 3, place, "{name} in {region}");
            assert!(group < GroupId(GROUPS));
        }
        let anywhere = group_of(&name, GROUPS);
        let one = GroupHomes::new([Region::new("a")]);
        for (case, homes, region, groups) in [
            ("no table", &GroupHomes::default(), "a", GROUPS),
            ("one region", &one, "a", GROUPS),
            ("an unknown region", &homes, "d", GROUPS),
        ] {
            assert_eq!(
                group_in_region(&name, homes, &Region::new(region), groups),
                anywhere,
                "{case}"
            );
        }
        let few = group_in_region(&name, &homes, &Region::new("c"), 2);
        assert_eq!(few, group_of(&name, 2), "more regions than groups");
    }
}
