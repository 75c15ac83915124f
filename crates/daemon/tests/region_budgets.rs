//! A program has one budget, however its turns come to regions, and all of it.

mod ledger_groups;

use dahlia_ledger::{LedgerCommand, LedgerReply, OpenTurn, TurnId, TurnRefusal, group_of};
use dahlia_relay::TurnLedger;
use dahlia_types::Tokens;
use ledger_groups::{
    BUDGET, GROUPS, System, TIMEOUT, close, home_group, open, program, run_turn, submit, wait_until,
};

/// How the turns after a program's first one come to regions.
struct Entry {
    name: &'static str,
    regions: &'static [&'static str],
    /// Every n-th turn starts a line of its own.
    starts_every: usize,
}

const ENTRIES: [Entry; 5] = [
    Entry { name: "one region", regions: &["east"], starts_every: usize::MAX },
    Entry { name: "moves once", regions: &["north"], starts_every: usize::MAX },
    Entry { name: "two in turn", regions: &["east", "north"], starts_every: usize::MAX },
    Entry { name: "three in turn", regions: &["north", "south", "east"], starts_every: usize::MAX },
    Entry { name: "two, half of them new lines", regions: &["north", "east"], starts_every: 2 },
];

/// Guards against a budget that is spent once in each region: sub-agents that continue from the first
/// turn of their program, or start lines of their own, come to several regions.
#[tokio::test]
async fn a_budget_is_spent_once_however_its_turns_come_to_regions() {
    const TURN: u64 = 20;
    for Entry { name, regions, starts_every } in ENTRIES {
        let system = System::new();
        run_turn(&system.client_in("east"), "first", None, TURN).await;
        let mut spent = TURN;
        for number in 1..=20 {
            let client = system.client_in(regions[number % regions.len()]);
            let previous = (number % starts_every != 0).then_some("first");
            let turn = format!("t-{number}");
            match submit(&client, open(&turn, previous, TURN)).await {
                Ok(LedgerReply::Opened(_)) => {
                    submit(&client, close(&turn, TURN)).await.expect("closed");
                    spent += TURN;
                }
                Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. })) => {}
                other => panic!("{name}: {other:?}"),
            }
        }
        assert_eq!(spent, BUDGET, "{name}: all of the budget, and no more");
    }
}

/// Guards against a budget that is spent once in each region: two regions see a first turn of one program
/// at the same time.
#[tokio::test]
async fn first_turns_in_all_regions_at_once_share_one_budget() {
    let system = System::new();
    let clients = ["east", "north", "south"].map(|region| system.client_in(region));
    let calls = (0..30).map(|number| {
        let client = &clients[number % clients.len()];
        async move { submit(client, open(&format!("t-{number}"), None, 10)).await }
    });
    let replies = futures::future::join_all(calls).await;
    let opened = replies.iter().filter(|reply| matches!(reply, Ok(LedgerReply::Opened(_))));
    assert_eq!(opened.count() as u64, BUDGET / 10, "{replies:?}");
}

/// Guards against a budget that is spent once for each kind of route: some turns of a program are kept
/// and some are not.
#[tokio::test]
async fn turns_that_are_kept_and_turns_that_are_not_share_one_budget() {
    let system = System::new();
    let (east, north) = (system.client_in("east"), system.client_in("north"));
    run_turn(&east, "kept", None, 40).await;
    let LedgerCommand::Open(kept) = open("plain", None, 40) else { unreachable!() };
    let plain = OpenTurn { input: None, ..kept };
    for client in [&north, &east] {
        let reply = client.submit(LedgerCommand::Open(plain.clone()), TIMEOUT).await;
        assert!(matches!(reply, Ok(LedgerReply::Opened(_))), "{reply:?}");
    }
    assert_eq!(system.used(home_group("east")), Some(80), "a repeat is charged once");
    let turn = TurnId::new(None, "other");
    let reply = north.submit(LedgerCommand::Open(OpenTurn { turn, ..plain }), TIMEOUT).await;
    let refused =
        LedgerReply::Refused(TurnRefusal::BudgetSpent { budget: Tokens(BUDGET), used: Tokens(80) });
    assert_eq!(reply, Ok(refused));
    assert_eq!(north.submit(close("plain", 10), TIMEOUT).await, Ok(LedgerReply::Closed));
    wait_until(|| system.used(home_group("east")) == Some(50)).await;
}

/// Guards against programs that are told that their budget is spent while it is not: a command whose turn was refused
/// reached the group once more when there was room, and reserved tokens for a turn that nobody would end.
#[tokio::test]
async fn a_refused_turn_is_not_opened_by_a_repeat_of_its_command() {
    for region in ["east", "north", ""] {
        let system = System::new();
        let client = match region {
            "" => system.client.clone(),
            region => system.client_in(region),
        };
        let holder =
            if region.is_empty() { group_of(&program(), GROUPS) } else { home_group("east") };
        let first = if region.is_empty() { client.clone() } else { system.client_in("east") };
        submit(&first, open("long", None, 90)).await.expect("opened");
        let refused = submit(&client, open("refused", None, 20)).await;
        assert!(matches!(refused, Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. }))));
        wait_until(|| system.asked("close").contains(&holder)).await;
        submit(&first, close("long", 10)).await.expect("closed");
        system.repeat_opens();
        assert_eq!(system.used(holder), Some(10), "in {region:?}");
        run_turn(&first, "next", None, 90).await;
    }
}

/// What a turn elsewhere did not use is free again.
#[tokio::test]
async fn a_turn_in_another_region_is_charged_what_it_generated() {
    let system = System::new();
    let (east, north) = (system.client_in("east"), system.client_in("north"));
    run_turn(&east, "one", None, 10).await;
    assert!(matches!(
        submit(&north, open("two", Some("one"), 90)).await,
        Ok(LedgerReply::Opened(_))
    ));
    assert!(matches!(
        submit(&east, open("three", Some("one"), 1)).await,
        Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. }))
    ));
    submit(&north, close("two", 30)).await.expect("closed");
    wait_until(|| system.used(home_group("east")) == Some(40)).await;
    run_turn(&east, "four", Some("one"), 60).await;
}

/// A turn that is refused in one of its two groups leaves nothing reserved in the other.
#[tokio::test]
async fn a_turn_that_one_group_refuses_is_not_charged_in_the_other() {
    let system = System::new();
    let (east, north) = (system.client_in("east"), system.client_in("north"));
    run_turn(&east, "one", None, 10).await;
    let refused = submit(&north, open("two", Some("unknown"), 50)).await;
    assert!(matches!(refused, Ok(LedgerReply::Refused(TurnRefusal::NoSuchTurn { .. }))));
    wait_until(|| system.used(home_group("east")) == Some(10)).await;
    let refused = submit(&north, open("three", Some("one"), 91)).await;
    assert!(matches!(refused, Ok(LedgerReply::Refused(TurnRefusal::BudgetSpent { .. }))));
    wait_until(|| system.used(home_group("north")) == Some(0)).await;
}

/// Guards against programs that are refused as spent in vain: a turn whose text cannot be opened reserves nothing.
#[tokio::test]
async fn a_turn_whose_region_is_silent_is_not_charged() {
    let system = System::new();
    let (east, north) = (system.client_in("east"), system.client_in("north"));
    run_turn(&east, "one", None, 10).await;
    run_turn(&north, "two", Some("one"), 10).await;
    system.cut_off_region("north");
    system.asked("open");
    assert!(submit(&north, open("three", Some("one"), 80)).await.is_err());
    assert_eq!(system.asked("open"), [home_group("north")]);
    run_turn(&east, "four", Some("one"), 80).await;
}

/// Guards against a budget that is spent once in each region: sub-agents start from one turn at the same time.
#[tokio::test]
async fn sub_agents_in_several_regions_at_once_share_one_budget() {
    for regions in [&["east", "north"][..], &["north", "south"], &["east", "north", "south"]] {
        let system = System::new();
        run_turn(&system.client_in("east"), "first", None, 10).await;
        let clients: Vec<_> = regions.iter().map(|region| system.client_in(region)).collect();
        let calls = (0..30).map(|number| {
            let client = &clients[number % clients.len()];
            async move { submit(client, open(&format!("t-{number}"), Some("first"), 10)).await }
        });
        let replies = futures::future::join_all(calls).await;
        let opened = replies.iter().filter(|reply| matches!(reply, Ok(LedgerReply::Opened(_))));
        assert_eq!(opened.count() as u64, BUDGET / 10 - 1, "{regions:?}: {replies:?}");
    }
}
