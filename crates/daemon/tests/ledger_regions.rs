//! The client of the ledgers in a system with regions: which groups hold a turn's text and its charge, programs that move
//! to another region, and regions that are lost.

mod ledger_groups;

use std::collections::BTreeSet;

use dahlia_ledger::{LedgerCommand, LedgerReply, OpenTurn, TurnRefusal, group_of};
use dahlia_relay::TurnLedger;
use dahlia_types::Tokens;
use ledger_groups::{
    BUDGET, GROUPS, System, TIMEOUT, close, home_group, new_program_registered_in, open, program,
    program_held_by, program_registered_in, run_turn, run_turn_of, submit, wait_until,
};

/// The text of a turn stays in the region in which it enters; its charge goes to the one group that
/// holds the budget.
#[tokio::test]
async fn retained_turns_are_kept_at_home_and_charged_in_the_group_that_holds_the_budget() {
    let system = System::new();
    let holder = home_group("east");
    for region in ["east", "north", "south"] {
        run_turn(&system.client_in(region), &format!("in-{region}"), None, 10).await;
        let asked = system.groups.lock().expect("not poisoned").asked.split_off(0);
        let (home, register) = (home_group(region), group_of(&program(), GROUPS));
        for kind in ["open", "close"] {
            let groups = asked.iter().filter(|(_, asked)| *asked == kind).map(|(group, _)| *group);
            let expected = BTreeSet::from([home, holder]);
            assert_eq!(groups.clone().collect::<BTreeSet<_>>(), expected, "{kind} in {region}");
            assert_eq!(groups.count(), expected.len(), "{kind} in {region}: once each");
        }
        let others = asked.iter().filter(|(_, kind)| !matches!(*kind, "open" | "close"));
        assert!(others.clone().all(|(group, _)| *group == register), "{asked:?}");
        assert_eq!(others.count(), 2, "the register is recorded and read once");
    }
    assert_eq!(system.used(holder), Some(30), "all turns are charged there");
}

/// A program that stays in its region costs no command more than its first turn's register.
#[tokio::test]
async fn a_program_that_stays_in_its_region_asks_its_own_group_alone() {
    let system = System::new();
    let east = system.client_in("east");
    run_turn(&east, "one", None, 10).await;
    system.asked("open");
    run_turn(&east, "two", Some("one"), 10).await;
    run_turn(&east, "three", Some("two"), 10).await;
    let asked = system.groups.lock().expect("not poisoned").asked.split_off(0);
    let home = home_group("east");
    assert_eq!(asked, [(home, "open"), (home, "close"), (home, "open"), (home, "close")]);
}

#[tokio::test]
async fn other_turns_and_systems_of_one_region_use_all_groups() {
    let system = System::new();
    let anywhere = group_of(&program(), GROUPS);
    let _ = system.client_in("east").submit(open("one", None, 10), TIMEOUT).await;
    assert_eq!(system.asked("open"), [anywhere], "a turn that is not retained");
    let _ = submit(&system.client, open("two", None, 10)).await;
    assert_eq!(system.asked("open"), [anywhere], "no regions");
}

#[tokio::test]
async fn a_program_continues_in_another_region_with_its_history_and_its_charge() {
    let system = System::new();
    let (east, north) = (system.client_in("east"), system.client_in("north"));
    run_turn(&east, "one", None, 60).await;
    let used = Tokens(60);
    let spent = TurnRefusal::BudgetSpent { budget: Tokens(BUDGET), used };
    let refused = submit(&north, open("too-long", Some("one"), 41)).await;
    assert_eq!(refused, Ok(LedgerReply::Refused(spent)));
    for _ in 0..2 {
        let reply = submit(&north, open("two", Some("one"), 30)).await;
        let Ok(LedgerReply::Opened(opened)) = reply else { panic!("not opened: {reply:?}") };
        assert_eq!(opened.history, b"inout");
        assert_eq!(opened.last_served_by.as_deref(), Some("server"));
    }
    assert_eq!(system.used(home_group("east")), Some(90), "a repeat is charged once");
    assert_eq!(submit(&north, close("two", 30)).await, Ok(LedgerReply::Closed));
    let back = run_turn(&east, "three", Some("two"), 10).await;
    assert_eq!(back.history, b"inoutinout");
    assert_eq!(system.used(home_group("east")), Some(100));
    assert!(matches!(
        submit(&east, open("four", Some("three"), 1)).await,
        Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. }))
    ));
}

#[tokio::test]
async fn turns_of_a_lost_region_are_not_reported_as_missing() {
    let system = System::new();
    let (east, north) = (system.client_in("east"), system.client_in("north"));
    run_turn(&east, "one", None, 10).await;
    run_turn(&north, "own", None, 10).await;
    let others = program_held_by("north");
    run_turn_of(&others, &north, "others", None, 10).await;
    system.cut_off_region("east");
    run_turn_of(&others, &north, "others-next", Some("others"), 10).await;
    let reply = submit(&north, open("two", Some("one"), 10)).await;
    assert!(reply.expect_err("it may be there").reason.contains("no owner"));
    let refused = submit(&east, open("three", None, 10)).await;
    assert!(refused.is_err(), "its own region cannot: {refused:?}");
    let refused = submit(&north, open("next", Some("own"), 10)).await;
    assert!(refused.is_err(), "its budget is held in the lost region: {refused:?}");
}

/// A region that is cut off from the register goes on with the programs whose budget it holds, through
/// gateways that do not know them too.
#[tokio::test]
async fn a_region_without_the_register_serves_what_it_holds_and_refuses_new_programs() {
    let system = System::new();
    let held = program_registered_in("south");
    let (east, other) = (system.client_in("east"), system.client_in("east"));
    run_turn_of(&held, &east, "one", None, 10).await;
    system.cut_off_region("south");
    run_turn_of(&held, &other, "two", Some("one"), 10).await;
    run_turn_of(&held, &system.client_in("east"), "line", None, 10).await;
    let new = new_program_registered_in("south");
    let LedgerCommand::Open(first) = open("first", None, 10) else { unreachable!() };
    let refused = submit(&east, LedgerCommand::Open(OpenTurn { program: new, ..first })).await;
    let error = refused.expect_err("another region may hold its budget");
    assert!(error.retry_after.is_some(), "{error:?}");
}

/// A program that the build before this one began has its budget in the group that charged it.
#[tokio::test]
async fn a_program_without_a_register_is_registered_where_its_budget_is() {
    let system = System::new();
    let (east, north) = (system.client_in("east"), system.client_in("north"));
    system.apply(home_group("east"), open("one", None, 60));
    system.apply(home_group("east"), close("one", 60));
    run_turn(&east, "two", Some("one"), 10).await;
    wait_until(|| system.is_registered()).await;
    assert!(matches!(
        submit(&north, open("three", None, 31)).await,
        Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. }))
    ));
    run_turn(&north, "four", None, 30).await;
}

/// One that goes on in another region first brings its charge along.
#[tokio::test]
async fn a_program_without_a_register_that_moves_brings_its_charge() {
    let system = System::new();
    system.apply(home_group("east"), open("one", None, 60));
    system.apply(home_group("east"), close("one", 60));
    let north = system.client_in("north");
    assert!(matches!(
        submit(&north, open("two", Some("one"), 41)).await,
        Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. }))
    ));
    run_turn(&north, "three", Some("one"), 40).await;
}
