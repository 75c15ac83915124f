//! Ledgers in replica groups, asked through a gateway, in virtual time.

mod cluster;

use cluster::{Cluster, GATEWAY, LINK, OTHER_GATEWAYS, STORES, replica, settings};
use dahlia_ledger::{
    CloseTurn, LedgerCommand, LedgerReply, OpenTurn, OpenedTurn, ProgramName, TurnEnd, TurnId,
    TurnInput, TurnRefusal,
};
use dahlia_node::request::Response;
use dahlia_node::{Node, NodeSettings};
use dahlia_replication::group::{DurableReplica, GroupSettings, HardState, Members, Snapshot};
use dahlia_types::{Duration, GroupId, LogIndex, Term, Timestamp, Tokens};

const BUDGET: u64 = 100;
const RETENTION: Duration = Duration::from_secs(60);
/// A ledger's asker is told after this time that nobody answered, and a tick may be in between.
const REQUEST_LIMIT: Duration = Duration::from_millis(3_520);
/// From the gateway to the owner, to its followers and back, and back to the gateway.
const FOUR_LINKS: Duration = Duration::from_micros(4 * LINK.as_micros());

fn program() -> ProgramName {
    ProgramName::new(None, "program")
}

fn open(turn: &str, previous: Option<&str>, most: u64) -> LedgerCommand {
    LedgerCommand::Open(OpenTurn {
        program: program(),
        turn: TurnId::new(None, turn),
        budget: Some(Tokens(BUDGET)),
        max_generated: Tokens(most),
        input: Some(TurnInput {
            previous: previous.map(|previous| TurnId::new(None, previous)),
            new_input: format!("<{turn}").into_bytes(),
            retention: RETENTION,
        }),
        at: Timestamp::ZERO,
    })
}

fn close(turn: &str, generated: u64) -> LedgerCommand {
    let output = format!("{turn}>").into_bytes();
    let served_by = "server".to_owned();
    let end = TurnEnd::Completed { generated: Tokens(generated), output, served_by };
    let turn = TurnId::new(None, turn);
    LedgerCommand::Close(CloseTurn { program: program(), turn, end, at: Timestamp::ZERO })
}

fn opened(reply: LedgerReply) -> OpenedTurn {
    match reply {
        LedgerReply::Opened(opened) => opened,
        other => panic!("not opened: {other:?}"),
    }
}

fn spent(used: u64) -> LedgerReply {
    let (budget, used) = (Tokens(BUDGET), Tokens(used));
    LedgerReply::Refused(TurnRefusal::BudgetSpent { budget, used })
}

#[test]
fn an_answer_takes_four_links_and_no_tick() {
    let mut cluster = Cluster::started(GroupSettings::default());
    // The first may find a log that its followers are still being sent.
    opened(cluster.insist(&open("first", None, 1)));
    for (turn, offset) in [("a", 0), ("b", 7), ("c", 13), ("d", 19)] {
        cluster.pass(Duration::from_millis(40 + offset));
        let before = cluster.messages;
        let id = cluster.ask(open(turn, None, 1));
        let (response, took) = cluster.answer(id);
        assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
        assert_eq!(took, FOUR_LINKS);
        assert_eq!(cluster.messages.requests - before.requests, 1);
        assert_eq!(cluster.messages.responses - before.responses, 1);
    }
}

#[test]
fn budget_and_turns_survive_their_owner() {
    let mut cluster = Cluster::started(GroupSettings::default());
    opened(cluster.insist(&open("one", None, 40)));
    assert_eq!(cluster.insist(&close("one", 30)), LedgerReply::Closed);
    opened(cluster.insist(&open("two", Some("one"), 40)));
    let owner = cluster.owner().expect("an owner");
    cluster.kill(owner);
    let asked = cluster.now;
    assert_eq!(cluster.insist(&close("two", 20)), LedgerReply::Closed);
    let took = cluster.now.since(asked);
    assert!(took <= REQUEST_LIMIT, "the new owner answered after {took:?}");
    let three = opened(cluster.insist(&open("three", Some("two"), 50)));
    assert_eq!(three.history, b"<oneone><twotwo>");
    assert_eq!(three.last_served_by.as_deref(), Some("server"));
    assert_eq!(cluster.insist(&open("four", None, 1)), spent(100));
    assert_eq!(cluster.insist(&close("two", 0)), LedgerReply::Closed);
    assert_eq!(cluster.insist(&open("four", None, 1)), spent(100), "the first end stands");
}

#[test]
fn a_lost_answer_is_asked_for_again_and_charged_once() {
    let mut cluster = Cluster::started(GroupSettings::default());
    cluster.lose_responses(1);
    let id = cluster.ask(open("one", None, 60));
    let (response, took) = cluster.answer(id);
    assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
    assert!(took <= Duration::from_millis(500), "{took:?}");
    opened(cluster.insist(&open("two", None, 40)));
    assert_eq!(cluster.insist(&open("three", None, 1)), spent(100));
}

#[test]
fn a_request_that_is_there_before_its_group_is_known_goes_out_with_the_news() {
    let mut cluster = Cluster::starting(GroupSettings::default());
    cluster.wait_for_owner_and_members();
    let id = cluster.ask(open("one", None, 1));
    cluster.wait_for_news_at_gateway();
    let (response, took) = cluster.answer(id);
    assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
    assert!(took <= Duration::from_millis(100), "{took:?} after the news");
}

#[test]
fn an_owner_answers_an_asker_that_membership_has_not_told_it_of() {
    let mut cluster = Cluster::started(GroupSettings::default());
    let owner = cluster.owner().expect("an owner");
    cluster.insist_as_stranger(owner, open("one", None, 40));
}

#[test]
fn an_asker_is_told_in_time_that_nobody_answers() {
    let mut cluster = Cluster::started(GroupSettings::default());
    STORES.into_iter().for_each(|store| cluster.kill(store));
    let id = cluster.ask(open("one", None, 1));
    let (response, took) = cluster.answer(id);
    assert!(matches!(response, Response::Failed(_)), "{response:?}");
    assert!(took <= REQUEST_LIMIT, "{took:?}");
}

/// Opens turns of 60 tokens at an owner that is cut off from its followers, and then at the
/// owner that they elect. Gives how many were opened.
fn opened_around_a_cut(settings: GroupSettings) -> usize {
    let mut cluster = Cluster::started(settings);
    let old = cluster.owner().expect("an owner");
    cluster.cut_from_stores(old);
    let id = cluster.ask(open("cut-off", None, 60));
    let is_opened = |response| matches!(response, Response::Ledger(LedgerReply::Opened(_)));
    let first = usize::from(is_opened(cluster.answer(id).0));
    cluster.kill(old);
    cluster.run_until(Duration::from_secs(10), |cluster| cluster.other_owner(old).is_some());
    let reply = cluster.insist(&open("later", None, 60));
    first + usize::from(matches!(reply, LedgerReply::Opened(_)))
}

#[test]
fn an_owner_that_is_cut_off_opens_nothing() {
    assert_eq!(opened_around_a_cut(GroupSettings::default()), 1);
}

#[test]
fn the_budget_needs_the_quorum() {
    let mut settings = GroupSettings::default();
    settings.faults.short_quorum = true;
    assert_eq!(opened_around_a_cut(settings), 2, "without a quorum the budget is overrun");
}

#[test]
fn owners_forget_what_is_no_longer_kept() {
    let mut cluster = Cluster::started(GroupSettings::default());
    opened(cluster.insist(&open("one", None, 60)));
    assert_eq!(cluster.insist(&close("one", 10)), LedgerReply::Closed);
    cluster.pass(RETENTION);
    let two = opened(cluster.insist(&open("two", Some("one"), 10)));
    assert_eq!(two.history, b"<oneone>");
    cluster.pass(Duration::from_secs(500));
    for store in STORES {
        assert_eq!(cluster.ledger(store).size().turns, 0, "at daemon {store}");
        let charge = cluster.ledger(store).charge(&program()).expect("outlives its turns");
        assert_eq!(charge.spent, Tokens(20));
    }
    assert_ne!(cluster.owner(), Some(GATEWAY));
}

/// After a start the key-value service may be away; the disk says that groups are laid out.
#[test]
fn a_store_with_recovered_groups_does_not_wait_for_their_layout() {
    let own = STORES[0];
    let voters: Vec<_> = STORES.iter().map(|daemon| replica(*daemon)).collect();
    let (index, term) = (LogIndex(0), Term(0));
    let base =
        Snapshot { index, term, members: Members::of_voters(voters), data: Vec::new().into() };
    let recorded = DurableReplica {
        group: GroupId(0),
        hard_state: HardState::default(),
        base,
        entries: Vec::new(),
    };
    let settings = || NodeSettings {
        follows_configuration: false,
        ..settings(own, &GroupSettings { is_durable: true, ..GroupSettings::default() })
    };
    let waits = |replicas| {
        let node = Node::recover(settings(), replicas, Timestamp::ZERO).expect("it recovers");
        node.status(Timestamp::ZERO).waits_for
    };
    assert!(waits(Vec::new()).is_some(), "an empty disk says nothing of a layout");
    assert_eq!(waits(vec![recorded]), None);
}

#[test]
fn a_gateway_without_news_of_a_group_asks_any_daemon_that_holds_groups() {
    let mut cluster = Cluster::starting(GroupSettings::default());
    cluster.wait_for_owner_and_members();
    assert!(!cluster.gateway_knows_the_group(), "the news must not be there yet");
    let id = cluster.ask(open("one", None, 1));
    let (response, took) = cluster.answer(id);
    assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
    assert!(!cluster.gateway_knows_the_group(), "the answer came before the news");
    assert!(took <= Duration::from_millis(60), "{took:?}");
}

struct CutCase {
    name: &'static str,
    /// Ways that are cut, from and to.
    cuts: fn(owner: u32) -> Vec<(u32, u32)>,
}

/// A gateway that does not reach the owner puts its commands by way of one that does.
#[test]
fn commands_go_by_way_of_another_gateway_while_the_direct_way_is_silent() {
    /// A silent way is noticed, and one helper that is cut off as well is passed over.
    const FIRST_ANSWER: Duration = Duration::from_millis(320);
    /// Later commands know of the silence: two links more than the direct way, and ticks between.
    const LATER_ANSWER: Duration = Duration::from_millis(60);
    let cases = [
        CutCase {
            name: "all stores, both ways",
            cuts: |_| {
                STORES.iter().flat_map(|store| [(GATEWAY, *store), (*store, GATEWAY)]).collect()
            },
        },
        CutCase {
            name: "all stores, answers only",
            cuts: |_| STORES.iter().map(|store| (*store, GATEWAY)).collect(),
        },
        CutCase {
            name: "all stores, commands only",
            cuts: |_| STORES.iter().map(|store| (GATEWAY, *store)).collect(),
        },
        CutCase { name: "the owner alone", cuts: |owner| vec![(GATEWAY, owner), (owner, GATEWAY)] },
        CutCase {
            name: "one helper is cut off as well",
            cuts: |_| {
                let cut_off = [GATEWAY, OTHER_GATEWAYS[0]];
                let ways = cut_off.iter().flat_map(|one| STORES.map(|store| (*one, store)));
                ways.flat_map(|(one, store)| [(one, store), (store, one)]).collect()
            },
        },
    ];
    for case in cases {
        let mut cluster = Cluster::started_with_other_gateways(GroupSettings::default());
        opened(cluster.insist(&open("first", None, 1)));
        let owner = cluster.owner().expect("an owner");
        for (from, to) in (case.cuts)(owner) {
            cluster.cut_one_way(from, to);
        }
        for (number, limit) in [(0, FIRST_ANSWER), (1, LATER_ANSWER), (2, LATER_ANSWER)] {
            let id = cluster.ask(open(&format!("turn-{number}"), None, 10));
            let (response, took) = cluster.answer(id);
            let is_opened = matches!(response, Response::Ledger(LedgerReply::Opened(_)));
            assert!(is_opened, "{}: {response:?}", case.name);
            assert!(took <= limit, "{}: command {number} took {took:?}", case.name);
            assert_eq!(cluster.insist(&close(&format!("turn-{number}"), 10)), LedgerReply::Closed);
        }
        // A command that reached the owner twice is charged once: 31 of 100 are spent.
        opened(cluster.insist(&open("last", None, 69)));
        assert_eq!(cluster.insist(&open("beyond", None, 1)), spent(100), "{}", case.name);
        cluster.mend();
        cluster.pass(Duration::from_secs(3));
        let before = cluster.messages.passed_on;
        let id = cluster.ask(close("last", 0));
        assert!(cluster.answer(id).1 <= LATER_ANSWER, "{}", case.name);
        assert_eq!(cluster.messages.passed_on, before, "{}: the direct way again", case.name);
    }
}

/// Without an owner nobody can help: a group that elects one is not asked four times as often.
#[test]
fn helpers_are_few_while_a_group_has_no_owner() {
    let mut cluster = Cluster::started_with_other_gateways(GroupSettings::default());
    opened(cluster.insist(&open("first", None, 1)));
    let owner = cluster.owner().expect("an owner");
    cluster.kill(owner);
    let before = cluster.messages.passed_on;
    let reply = cluster.insist(&open("second", None, 10));
    assert!(matches!(reply, LedgerReply::Opened(_)), "{reply:?}");
    let helpers = cluster.messages.passed_on - before;
    assert!(helpers <= 3, "{helpers} helpers for one command");
}
