//! Registers of the group that holds a program's budget.

mod common;

use common::{TestLedger, completed, unkept_turn};
use dahlia_ledger::{
    LedgerCommand, LedgerLimits, LedgerReply, ProgramName, REGISTER_RETENTION,
    RENEW_REGISTER_BELOW, TurnId, read_holder, record_holder, recorded_holder, renew_register,
};
use dahlia_types::{Duration, GroupId, TenantId};

fn default_ledger() -> TestLedger {
    TestLedger::new(LedgerLimits::default())
}

fn program() -> ProgramName {
    ProgramName::new(None, "p")
}

/// The recorded holder, and for how long it is kept.
fn read(ledger: &mut TestLedger, program: &ProgramName) -> Option<(GroupId, Duration)> {
    match ledger.apply(read_holder(program)) {
        LedgerReply::Chain(chain) => Some((recorded_holder(&chain)?, chain.retention)),
        _ => None,
    }
}

#[test]
fn the_first_recorded_holder_stands() {
    let mut ledger = default_ledger();
    assert_eq!(read(&mut ledger, &program()), None);
    for holder in [5, 3, 5] {
        let reply = ledger.apply(record_holder(&program(), GroupId(holder)));
        assert_eq!(reply, LedgerReply::Imported);
        assert_eq!(read(&mut ledger, &program()), Some((GroupId(5), REGISTER_RETENTION)));
    }
}

#[test]
fn registers_of_tenants_and_callers_turns_are_apart() {
    let mut ledger = default_ledger();
    let tenant = TenantId::new("t");
    let others = ProgramName::new(Some(&tenant), "p");
    ledger.apply(record_holder(&program(), GroupId(1)));
    assert_eq!(read(&mut ledger, &others), None);
    ledger.apply(record_holder(&others, GroupId(2)));
    assert_eq!(read(&mut ledger, &program()).map(|(holder, _)| holder), Some(GroupId(1)));
    // A caller's turn of the program's name is none of them.
    ledger.complete_turn("p", "p", None, ["in", "out"]);
    assert_eq!(read(&mut ledger, &program()).map(|(holder, _)| holder), Some(GroupId(1)));
    assert_ne!(TurnId::new(None, "p").charge(), TurnId::new(None, "p"));
}

/// Guards against a second holder: a register that expired before the charge that it leads to would let
/// another group begin with the whole budget.
#[test]
fn a_register_outlives_the_charge_of_its_program() {
    let mut ledger = default_ledger();
    ledger.apply(record_holder(&program(), GroupId(1)));
    // The last turn is opened just before the register has to be renewed, and never settled.
    ledger.advance(Duration(REGISTER_RETENTION.0 - RENEW_REGISTER_BELOW.0));
    ledger.open(unkept_turn("p", "t", 100, 10)).expect("opened");
    while ledger.used("p").is_some() {
        assert!(read(&mut ledger, &program()).is_some(), "at {:?}", ledger.now);
        ledger.advance(Duration::from_secs(5));
    }
}

#[test]
fn a_renewed_register_is_kept_for_its_whole_retention_again() {
    let mut ledger = default_ledger();
    ledger.apply(record_holder(&program(), GroupId(1)));
    for nonce in 0..3 {
        ledger.advance(Duration(REGISTER_RETENTION.0 - Duration::from_secs(10).0));
        let [open, close] = renew_register(&program(), nonce);
        assert!(matches!(ledger.apply(open), LedgerReply::Opened(_)));
        assert_eq!(ledger.apply(close), LedgerReply::Closed);
    }
    ledger.advance(Duration(REGISTER_RETENTION.0 - Duration::from_secs(10).0));
    assert_eq!(read(&mut ledger, &program()).map(|(holder, _)| holder), Some(GroupId(1)));
    ledger.advance(Duration::from_secs(120));
    assert_eq!(read(&mut ledger, &program()), None, "it is removed in the end");
}

#[test]
fn a_renewal_charges_nothing_and_needs_a_register() {
    let mut ledger = default_ledger();
    let [open, _] = renew_register(&program(), 1);
    assert!(matches!(ledger.apply(open), LedgerReply::Refused(_)), "there is none");
    ledger.apply(record_holder(&program(), GroupId(1)));
    ledger.open(unkept_turn("p", "t", 10, 10)).expect("opened");
    ledger.close("p", "t", completed(10, ""));
    let [open, close] = renew_register(&program(), 2);
    assert!(matches!(ledger.apply(open), LedgerReply::Opened(_)), "the budget is spent");
    ledger.apply(close);
    assert_eq!(ledger.used("p"), Some((10, 0)));
}

/// A name of the greatest length that callers may give has a charge and a register too.
#[test]
fn names_of_the_system_do_not_shorten_those_of_callers() {
    let mut ledger = default_ledger();
    let longest = "x".repeat(128);
    let mut open = unkept_turn(&longest, &longest, 10, 10);
    open.turn = open.turn.charge();
    assert!(matches!(ledger.apply(LedgerCommand::Open(open)), LedgerReply::Opened(_)));
    let program = ProgramName::new(None, &longest);
    ledger.apply(record_holder(&program, GroupId(1)));
    let [open, _] = renew_register(&program, 1);
    assert!(matches!(ledger.apply(open), LedgerReply::Opened(_)));
}
