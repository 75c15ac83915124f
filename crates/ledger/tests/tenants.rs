//! Isolation of the programs and turns of different tenants.

mod common;

use common::{TestLedger, completed, kept_turn, unkept_turn};
use dahlia_ledger::{
    CloseTurn, ImportTurn, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, ProgramName,
    TurnEnd, TurnId, TurnRefusal,
};
use dahlia_types::{TenantId, Timestamp, Tokens};

/// The same command with names scoped to a tenant.
fn scoped_to(tenant: &str, open: OpenTurn) -> OpenTurn {
    let tenant = TenantId::new(tenant);
    let turn = |turn: &TurnId| TurnId::new(Some(&tenant), turn.name());
    let input = open.input.map(|mut input| {
        input.previous = input.previous.as_ref().map(turn);
        input
    });
    OpenTurn {
        program: ProgramName::new(Some(&tenant), open.program.name()),
        turn: turn(&open.turn),
        input,
        ..open
    }
}

fn close(ledger: &mut TestLedger, open: &OpenTurn, end: TurnEnd) {
    let (program, turn) = (open.program.clone(), open.turn.clone());
    let close = CloseTurn { program, turn, end, at: Timestamp::ZERO };
    assert_eq!(ledger.apply(LedgerCommand::Close(close)), LedgerReply::Closed);
}

/// A ledger that keeps turn `a` of program `p` of the tenant `oak`.
fn ledger_with_turn_of_oak() -> TestLedger {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    let open = scoped_to("oak", kept_turn("p", "a", None, "secret"));
    ledger.open(open.clone()).expect("opened");
    close(&mut ledger, &open, completed(1, "answer"));
    ledger
}

#[test]
fn another_tenant_cannot_continue_a_turn() {
    let mut ledger = ledger_with_turn_of_oak();
    for other in
        [scoped_to("elm", kept_turn("p", "b", Some("a"), "")), kept_turn("p", "b", Some("a"), "")]
    {
        let previous = other.input.as_ref().and_then(|input| input.previous.clone());
        let refusal = ledger.open(other).expect_err("it is not theirs");
        assert_eq!(refusal, TurnRefusal::NoSuchTurn { previous: previous.expect("named") });
    }
    let opened =
        ledger.open(scoped_to("oak", kept_turn("p", "b", Some("a"), ""))).expect("its own");
    assert_eq!(opened.history, b"secretanswer");
}

#[test]
fn another_tenant_cannot_read_a_turn() {
    let mut ledger = ledger_with_turn_of_oak();
    let read = |tenant: Option<&TenantId>| LedgerCommand::Read {
        turn: TurnId::new(tenant, "a"),
        at: Timestamp::ZERO,
    };
    let (oak, elm) = (TenantId::new("oak"), TenantId::new("elm"));
    assert!(matches!(ledger.apply(read(Some(&oak))), LedgerReply::Chain(_)));
    for other in [Some(&elm), None] {
        let reply = ledger.apply(read(other));
        assert!(matches!(reply, LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. })), "{reply:?}");
    }
}

#[test]
fn an_imported_chain_does_not_replace_another_tenants_turn() {
    let mut ledger = ledger_with_turn_of_oak();
    let elm = TenantId::new("elm");
    let LedgerReply::Chain(chain) = ledger.apply(LedgerCommand::Read {
        turn: TurnId::new(Some(&TenantId::new("oak")), "a"),
        at: Timestamp::ZERO,
    }) else {
        panic!("it is kept");
    };
    let import = ImportTurn {
        program: ProgramName::new(Some(&elm), "q"),
        turn: TurnId::new(Some(&elm), "a"),
        chain: dahlia_ledger::KeptChain { text: b"own".to_vec(), ..chain },
        at: Timestamp::ZERO,
    };
    assert_eq!(ledger.apply(LedgerCommand::Import(import)), LedgerReply::Imported);
    let own = ledger.open(scoped_to("elm", kept_turn("q", "c", Some("a"), ""))).expect("its own");
    let oaks = ledger.open(scoped_to("oak", kept_turn("p", "c", Some("a"), ""))).expect("its own");
    assert_eq!(
        (own.history.as_slice(), oaks.history.as_slice()),
        (&b"own"[..], &b"secretanswer"[..])
    );
}

#[test]
fn equal_program_names_of_two_tenants_have_separate_budgets() {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    ledger.open(scoped_to("oak", unkept_turn("p", "a", 10, 10))).expect("all of its budget");
    ledger.open(scoped_to("elm", unkept_turn("p", "a", 10, 10))).expect("another program");
    let refusal = ledger.open(scoped_to("oak", unkept_turn("p", "b", 10, 1))).expect_err("spent");
    assert_eq!(refusal, TurnRefusal::BudgetSpent { budget: Tokens(10), used: Tokens(10) });
}

#[test]
fn names_written_before_tenants_existed_have_no_tenant() {
    let encode = |name: &TurnId| bincode::serde::encode_to_vec(name, bincode::config::standard());
    let plain = bincode::serde::encode_to_vec("t-1", bincode::config::standard());
    let name = TurnId::new(None, "t-1");
    assert_eq!(encode(&name).expect("encoded"), plain.expect("encoded"));
    let tenant = TenantId::new("oak");
    let scoped = TurnId::new(Some(&tenant), "t-1");
    assert_ne!(scoped, name);
    assert_eq!((scoped.name(), name.name()), ("t-1", "t-1"));
}
