//! A program's one budget over cuts between regions, restarts of groups, repeats elsewhere, and gateways of the build before.

mod ledger_groups;

use dahlia_ledger::{
    ChargedChain, CloseTurn, ImportCharged, ImportTurn, LedgerCommand, LedgerReply, TurnEnd,
    TurnRefusal,
};
use dahlia_node::request::Response;
use dahlia_types::{GroupId, Timestamp, Tokens};
use ledger_groups::{
    BUDGET, GROUPS, Lost, System, close, home_group, open, program, run_turn, submit, wait_until,
};

const TURN: u64 = 10;

/// Guards against a budget that is spent once on each side of a cut, and against turns that are told that it is spent: the
/// holder's side goes on, the other one is refused with a time, and after the cut the whole budget is there.
#[tokio::test]
async fn a_cut_between_regions_in_each_direction_leaves_one_budget() {
    let cases = [
        ("commands to the holder", Some(Lost::Commands), None),
        ("answers of the holder", Some(Lost::Answers), None),
        ("commands of the holder's region", None, Some(Lost::Commands)),
        ("answers to the holder's region", None, Some(Lost::Answers)),
        ("both ways", Some(Lost::Commands), Some(Lost::Commands)),
    ];
    for (name, to_holder, from_holder) in cases {
        let system = System::new();
        let (east, north) = (system.client_in("east"), system.client_in("north"));
        run_turn(&east, "first", None, TURN).await;
        run_turn(&north, "second", Some("first"), TURN).await;
        system.cut("north", "east", to_holder);
        system.cut("east", "north", from_holder);
        run_turn(&east, "third", Some("first"), TURN).await;
        let other = submit(&north, open("fourth", Some("second"), TURN)).await;
        let mut spent = 3 * TURN;
        match other {
            Ok(LedgerReply::Opened(_)) if to_holder.is_none() => {
                submit(&north, close("fourth", TURN)).await.expect("closed");
                spent += TURN;
            }
            Err(error) if to_holder.is_some() => {
                assert!(error.retry_after.is_some(), "{name}: {error:?}");
                // The relay closes what it may have opened.
                let _ = submit(&north, not_run("fourth")).await;
            }
            other => panic!("{name}: {other:?}"),
        }
        system.cut("north", "east", None);
        system.cut("east", "north", None);
        wait_until(|| system.used(home_group("east")) == Some(spent)).await;
        for number in 0..(BUDGET - spent) / TURN {
            let client = if number % 2 == 0 { &north } else { &east };
            run_turn(client, &format!("rest-{number}"), Some("first"), TURN).await;
        }
        for (turn, client) in [("over-north", &north), ("over-east", &east)] {
            let refused = submit(client, open(turn, Some("first"), 1)).await;
            let is_spent = Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent {
                budget: Tokens(BUDGET),
                used: Tokens(BUDGET),
            }));
            assert_eq!(refused, is_spent, "{name}");
        }
    }
}

fn not_run(turn: &str) -> LedgerCommand {
    match close(turn, 0) {
        LedgerCommand::Close(close) => {
            LedgerCommand::Close(CloseTurn { end: TurnEnd::NotRun, ..close })
        }
        other => other,
    }
}

/// Guards against a budget that begins anew with a group: groups continue from snapshots, with owners whose clocks are ahead
/// or behind, while turns are open and between them.
#[tokio::test]
async fn groups_that_restart_from_snapshots_keep_one_budget() {
    const HOUR: u64 = 3_600_000_000;
    let system = System::new();
    let mut spent = 0;
    for number in 0..20 {
        let region = ["east", "north", "south"][number % 3];
        // Each turn comes to a gateway that knows nothing.
        let (opening, closing) = (system.client_in(region), format!("t-{number}"));
        let reply = submit(&opening, open(&closing, None, TURN)).await;
        system.restart_groups(Timestamp([2, 1, 3][number % 3] * HOUR + number as u64));
        match reply {
            Ok(LedgerReply::Opened(_)) => {
                submit(&opening, close(&closing, TURN)).await.expect("closed");
                spent += TURN;
            }
            Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. })) => {}
            other => panic!("{other:?}"),
        }
        wait_until(|| system.used(home_group("east")) == Some(spent)).await;
    }
    assert_eq!(spent, BUDGET, "all of it, and no more");
}

/// Guards against turns that are charged twice: one that was opened in one region is opened again in another.
#[tokio::test]
async fn a_turn_that_is_repeated_in_another_region_is_charged_once() {
    let regions = [("north", "south"), ("south", "north"), ("east", "north"), ("north", "east")];
    for (opened, repeated) in regions {
        let system = System::new();
        run_turn(&system.client_in("east"), "first", None, TURN).await;
        for region in [opened, repeated] {
            let reply = submit(&system.client_in(region), open("second", None, 40)).await;
            assert!(matches!(reply, Ok(LedgerReply::Opened(_))), "{reply:?}");
        }
        let used = system.used(home_group("east"));
        assert_eq!(used, Some(TURN + 40), "opened in {opened}, repeated in {repeated}");
    }
}

/// What a gateway of the build before does with a turn: it asks its own region's group, and brings chain and charge there when
/// that does not have the turn before.
fn open_by_build_before(
    system: &System,
    region: &str,
    turn: &str,
    previous: Option<&str>,
) -> LedgerReply {
    let own = home_group(region);
    let mut groups = system.groups.lock().expect("not poisoned");
    let mut ask = |group, command| match groups.answer(group, command) {
        Response::Ledger(reply) => reply,
        other => panic!("{other:?}"),
    };
    let reply = ask(own, open(turn, previous, TURN));
    let LedgerReply::Refused(TurnRefusal::NoSuchTurn { previous }) = reply else { return reply };
    let (program, at) = (program(), Timestamp::ZERO);
    for group in (0..GROUPS).map(GroupId).filter(|group| *group != own) {
        let (turn, program) = (previous.clone(), program.clone());
        let read = LedgerCommand::ReadCharged { turn, program: program.clone(), at };
        if let LedgerReply::ChargedChain(ChargedChain { chain, charge }) = ask(group, read) {
            let import = ImportTurn { program, turn: previous.clone(), chain, at };
            let import = match charge {
                Some(charge) => {
                    LedgerCommand::ImportCharged(Box::new(ImportCharged { import, charge }))
                }
                None => LedgerCommand::Import(import),
            };
            assert_eq!(ask(own, import), LedgerReply::Imported);
        }
    }
    ask(own, open(turn, Some(previous.name()), TURN))
}

/// Runs turns through gateways of both builds in turn until each has been refused, and returns the tokens.
async fn spend_with_both_builds(system: &System, ways: &[(&str, bool)]) -> u64 {
    let mut spent = 0;
    let mut first: Option<String> = None;
    for number in 0..40 {
        let (region, is_new) = ways[number % ways.len()];
        let turn = format!("t-{number}");
        let client = system.client_in(region);
        let reply = match is_new {
            true => submit(&client, open(&turn, first.as_deref(), TURN)).await.expect("a reply"),
            false => open_by_build_before(system, region, &turn, first.as_deref()),
        };
        match reply {
            LedgerReply::Opened(_) if is_new => {
                submit(&client, close(&turn, TURN)).await.expect("closed");
            }
            LedgerReply::Opened(_) => system.apply(home_group(region), close(&turn, TURN)),
            LedgerReply::Refused(TurnRefusal::BudgetSpent { .. }) => continue,
            other => panic!("{other:?}"),
        }
        spent += TURN;
        first.get_or_insert(turn);
    }
    spent
}

/// Machines are replaced one after the other, and back: gateways of both builds in a region share the program's budget.
#[tokio::test]
async fn gateways_of_both_builds_in_one_region_share_one_budget() {
    for ways in [[("east", true), ("east", false)], [("east", false), ("east", true)]] {
        let system = System::new();
        assert_eq!(spend_with_both_builds(&system, &ways).await, BUDGET, "{ways:?}");
    }
}

/// Guards against a budget that is spent once in each region while both builds run.
#[tokio::test]
async fn gateways_of_both_builds_in_two_regions_share_one_budget() {
    for ways in [[("east", true), ("north", false)], [("east", false), ("north", true)]] {
        let system = System::new();
        assert_eq!(spend_with_both_builds(&system, &ways).await, BUDGET, "{ways:?}");
    }
}
