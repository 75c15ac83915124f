//! A program that continues in another group because its turns come to another region.

mod common;

use common::{RETENTION, TestLedger, completed, kept_turn, unkept_turn};
use dahlia_ledger::{
    ChargedChain, ImportCharged, ImportTurn, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn,
    ProgramName, TurnEnd, TurnId, TurnRefusal, group_in_region, group_of,
};
use dahlia_types::{GroupHomes, GroupId, Region, Timestamp, Tokens};

const BUDGET: u64 = 100;

fn default_ledger() -> TestLedger {
    TestLedger::new(LedgerLimits::default())
}

fn program() -> ProgramName {
    ProgramName::new(None, "p")
}

fn open_command(turn: &str, previous: Option<&str>, max_generated: u64) -> OpenTurn {
    let budget = unkept_turn("p", turn, BUDGET, max_generated);
    OpenTurn { input: kept_turn("p", turn, previous, "in").input, ..budget }
}

fn complete_turn(ledger: &mut TestLedger, name: &str, previous: Option<&str>, generated: u64) {
    ledger.open(open_command(name, previous, generated)).expect("opened");
    ledger.close("p", name, completed(generated, "out"));
}

fn read_charged(ledger: &mut TestLedger, turn: &str) -> ChargedChain {
    let turn = TurnId::new(None, turn);
    let command = LedgerCommand::ReadCharged { turn, program: program(), at: Timestamp::ZERO };
    match ledger.apply(command) {
        LedgerReply::ChargedChain(chain) => chain,
        other => panic!("expected a chain, found {other:?}"),
    }
}

fn transfer(from: &mut TestLedger, to: &mut TestLedger, turn: &str) {
    let ChargedChain { chain, charge } = read_charged(from, turn);
    let turn = TurnId::new(None, turn);
    let import = ImportTurn { program: program(), turn, chain, at: Timestamp::ZERO };
    let charge = charge.expect("the program is known there");
    let command = LedgerCommand::ImportCharged(Box::new(ImportCharged { import, charge }));
    assert_eq!(to.apply(command.clone()), LedgerReply::Imported);
    assert_eq!(to.apply(command), LedgerReply::Imported, "a repeat");
}

#[test]
fn a_programs_charge_is_transferred_with_its_chain() {
    let (mut here, mut there) = (default_ledger(), default_ledger());
    complete_turn(&mut here, "one", None, 60);
    transfer(&mut here, &mut there, "one");
    assert_eq!(there.used("p"), Some((60, 0)), "charged once");
    let refused = there.open(open_command("two", Some("one"), 41));
    let (budget, used) = (Tokens(BUDGET), Tokens(60));
    assert_eq!(refused, Err(TurnRefusal::BudgetSpent { budget, used }));
    let opened = there.open(open_command("two", Some("one"), 30)).expect("it fits");
    assert_eq!(opened.history, b"inout");
    assert_eq!(opened.last_served_by, read_charged(&mut here, "one").chain.served_by.into());
    there.close("p", "two", completed(30, "out"));
    // On the way back, the charge already includes what the program had used here.
    transfer(&mut there, &mut here, "two");
    assert_eq!(here.used("p"), Some((90, 0)));
    assert_eq!(
        here.open(open_command("three", Some("two"), 10)).expect("it fits").history,
        b"inoutinout"
    );
}

#[test]
fn reserved_tokens_count_as_used_in_the_other_ledger() {
    let (mut here, mut there) = (default_ledger(), default_ledger());
    complete_turn(&mut here, "one", None, 20);
    here.open(open_command("aside", None, 50)).expect("opened");
    transfer(&mut here, &mut there, "one");
    assert_eq!(there.used("p"), Some((70, 0)));
    here.close("p", "aside", TurnEnd::NotRun);
    transfer(&mut here, &mut there, "one");
    assert_eq!(there.used("p"), Some((70, 0)), "an imported charge never decreases");
}

#[test]
fn chains_in_two_ledgers_at_once_use_at_most_one_budget_in_each() {
    let (mut here, mut there) = (default_ledger(), default_ledger());
    complete_turn(&mut here, "one", None, 20);
    transfer(&mut here, &mut there, "one");
    complete_turn(&mut here, "two", Some("one"), 80);
    complete_turn(&mut there, "three", Some("one"), 80);
    for ledger in [&mut here, &mut there] {
        assert!(ledger.open(open_command("four", Some("one"), 1)).is_err());
    }
}

#[test]
fn a_transferred_program_is_kept_as_long_as_its_chain() {
    let (mut here, mut there) = (default_ledger(), default_ledger());
    complete_turn(&mut here, "one", None, 60);
    transfer(&mut here, &mut there, "one");
    there.advance(RETENTION);
    assert_eq!(there.used("p"), Some((60, 0)));
}

#[test]
fn commands_of_older_logs_can_be_decoded() {
    let config = bincode::config::standard();
    let decode = |bytes: &[u8]| -> LedgerCommand {
        bincode::serde::decode_from_slice(bytes, config).expect("a command").0
    };
    // Written before commands carried charges: the variant's index, then the fields in order.
    assert_eq!(decode(&[4, 7]), LedgerCommand::Expire { now: Timestamp(7) });
    let read = LedgerCommand::Read { turn: TurnId::new(None, "t"), at: Timestamp(7) };
    assert_eq!(decode(&[2, 1, b't', 7]), read);
}

#[test]
fn kept_turns_go_to_a_group_of_the_callers_region() {
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
