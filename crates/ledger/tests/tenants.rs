//! Programs and turns of one tenant, as another tenant finds them.

mod common;

use common::{Bench, kept, plain, whole};
use dahlia_ledger::{
    CloseTurn, ImportTurn, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, ProgramName,
    TurnEnd, TurnId, TurnRefusal,
};
use dahlia_types::{TenantId, Timestamp, Tokens};

/// The same command with names of a tenant.
fn of(tenant: &str, open: OpenTurn) -> OpenTurn {
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

fn close(bench: &mut Bench, open: &OpenTurn, end: TurnEnd) {
    let (program, turn) = (open.program.clone(), open.turn.clone());
    let close = CloseTurn { program, turn, end, at: Timestamp::ZERO };
    assert_eq!(bench.apply(LedgerCommand::Close(close)), LedgerReply::Closed);
}

/// A ledger in which a tenant's turn `a` of program `p` is kept.
fn with_turn_of_oak() -> Bench {
    let mut bench = Bench::new(LedgerLimits::default());
    let open = of("oak", kept("p", "a", None, "secret"));
    bench.open(open.clone()).expect("opened");
    close(&mut bench, &open, whole(1, "answer"));
    bench
}

#[test]
fn a_turn_cannot_be_gone_on_from_by_another_tenant() {
    let mut bench = with_turn_of_oak();
    for other in [of("elm", kept("p", "b", Some("a"), "")), kept("p", "b", Some("a"), "")] {
        let previous = other.input.as_ref().and_then(|input| input.previous.clone());
        let refusal = bench.open(other).expect_err("it is not theirs");
        assert_eq!(refusal, TurnRefusal::NoSuchTurn { previous: previous.expect("named") });
    }
    let opened = bench.open(of("oak", kept("p", "b", Some("a"), ""))).expect("its own");
    assert_eq!(opened.history, b"secretanswer");
}

#[test]
fn a_turn_cannot_be_read_for_another_tenants_group() {
    let mut bench = with_turn_of_oak();
    let read = |tenant: Option<&TenantId>| LedgerCommand::Read {
        turn: TurnId::new(tenant, "a"),
        at: Timestamp::ZERO,
    };
    let (oak, elm) = (TenantId::new("oak"), TenantId::new("elm"));
    assert!(matches!(bench.apply(read(Some(&oak))), LedgerReply::Chain(_)));
    for other in [Some(&elm), None] {
        let reply = bench.apply(read(other));
        assert!(matches!(reply, LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. })), "{reply:?}");
    }
}

#[test]
fn an_imported_chain_takes_no_other_tenants_place() {
    let mut bench = with_turn_of_oak();
    let elm = TenantId::new("elm");
    let LedgerReply::Chain(chain) = bench.apply(LedgerCommand::Read {
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
    assert_eq!(bench.apply(LedgerCommand::Import(import)), LedgerReply::Imported);
    let own = bench.open(of("elm", kept("q", "c", Some("a"), ""))).expect("its own");
    let oaks = bench.open(of("oak", kept("p", "c", Some("a"), ""))).expect("its own");
    assert_eq!(
        (own.history.as_slice(), oaks.history.as_slice()),
        (&b"own"[..], &b"secretanswer"[..])
    );
}

#[test]
fn budgets_of_equal_names_are_apart() {
    let mut bench = Bench::new(LedgerLimits::default());
    bench.open(of("oak", plain("p", "a", 10, 10))).expect("all of its budget");
    bench.open(of("elm", plain("p", "a", 10, 10))).expect("another program");
    let refusal = bench.open(of("oak", plain("p", "b", 10, 1))).expect_err("spent");
    assert_eq!(refusal, TurnRefusal::BudgetSpent { budget: Tokens(10), used: Tokens(10) });
}

#[test]
fn names_written_before_there_were_tenants_are_those_of_no_tenant() {
    let encode = |name: &TurnId| bincode::serde::encode_to_vec(name, bincode::config::standard());
    let plain = bincode::serde::encode_to_vec("t-1", bincode::config::standard());
    let name = TurnId::new(None, "t-1");
    assert_eq!(encode(&name).expect("encoded"), plain.expect("encoded"));
    let tenant = TenantId::new("oak");
    let scoped = TurnId::new(Some(&tenant), "t-1");
    assert_ne!(scoped, name);
    assert_eq!((scoped.name(), name.name()), ("t-1", "t-1"));
}
