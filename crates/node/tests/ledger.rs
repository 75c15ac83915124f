//! Tests ledgers in replica groups through a gateway, in virtual time.

mod cluster;

use cluster::{Cluster, GATEWAY, LINK_DELAY, OTHER_GATEWAYS, STORES, replica, settings};
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
/// Time after which a ledger request without a response fails, plus one tick.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(3_520);
/// From the gateway to the owner, to its followers and back, then back to the gateway.
const FOUR_LINK_DELAYS: Duration = Duration::from_micros(4 * LINK_DELAY.as_micros());

fn program() -> ProgramName {
    ProgramName::new(None, "program")
}

fn open(turn: &str, previous: Option<&str>, max_generated: u64) -> LedgerCommand {
    LedgerCommand::Open(OpenTurn {
        program: program(),
        turn: TurnId::new(None, turn),
        budget: Some(Tokens(BUDGET)),
        max_generated: Tokens(max_generated),
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

fn expect_opened(reply: LedgerReply) -> OpenedTurn {
    match reply {
        LedgerReply::Opened(opened) => opened,
        other => panic!("not opened: {other:?}"),
    }
}

fn budget_spent_reply(used: u64) -> LedgerReply {
    let (budget, used) = (Tokens(BUDGET), Tokens(used));
    LedgerReply::Refused(TurnRefusal::BudgetSpent { budget, used })
}

#[test]
fn a_response_takes_four_link_delays_and_no_tick() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    // The first command may arrive while the followers still receive earlier entries.
    expect_opened(cluster.send_until_answered(&open("first", None, 1)));
    for (turn, offset) in [("a", 0), ("b", 7), ("c", 13), ("d", 19)] {
        cluster.advance(Duration::from_millis(40 + offset));
        let before = cluster.message_counts;
        let id = cluster.send_command(open(turn, None, 1));
        let (response, elapsed) = cluster.wait_for_response(id);
        assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
        assert_eq!(elapsed, FOUR_LINK_DELAYS);
        assert_eq!(cluster.message_counts.requests - before.requests, 1);
        assert_eq!(cluster.message_counts.responses - before.responses, 1);
    }
}

#[test]
fn budget_and_turns_survive_the_loss_of_the_owner() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    expect_opened(cluster.send_until_answered(&open("one", None, 40)));
    assert_eq!(cluster.send_until_answered(&close("one", 30)), LedgerReply::Closed);
    expect_opened(cluster.send_until_answered(&open("two", Some("one"), 40)));
    let owner = cluster.owner().expect("an owner");
    cluster.kill(owner);
    let sent_at = cluster.now;
    assert_eq!(cluster.send_until_answered(&close("two", 20)), LedgerReply::Closed);
    let elapsed = cluster.now.since(sent_at);
    assert!(elapsed <= REQUEST_TIMEOUT, "the new owner answered after {elapsed:?}");
    let three = expect_opened(cluster.send_until_answered(&open("three", Some("two"), 50)));
    assert_eq!(three.history, b"<oneone><twotwo>");
    assert_eq!(three.last_served_by.as_deref(), Some("server"));
    assert_eq!(cluster.send_until_answered(&open("four", None, 1)), budget_spent_reply(100));
    assert_eq!(cluster.send_until_answered(&close("two", 0)), LedgerReply::Closed);
    assert_eq!(
        cluster.send_until_answered(&open("four", None, 1)),
        budget_spent_reply(100),
        "the first end is final"
    );
}

#[test]
fn a_command_with_a_lost_response_is_retried_and_charged_once() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    cluster.lose_responses(1);
    let id = cluster.send_command(open("one", None, 60));
    let (response, elapsed) = cluster.wait_for_response(id);
    assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
    assert!(elapsed <= Duration::from_millis(500), "{elapsed:?}");
    expect_opened(cluster.send_until_answered(&open("two", None, 40)));
    assert_eq!(cluster.send_until_answered(&open("three", None, 1)), budget_spent_reply(100));
}

#[test]
fn a_request_for_an_unknown_group_is_sent_when_the_group_becomes_known() {
    let mut cluster = Cluster::start_nodes(GroupSettings::default());
    cluster.wait_for_owner_and_members();
    let id = cluster.send_command(open("one", None, 1));
    cluster.wait_until_gateway_knows_group();
    let (response, elapsed) = cluster.wait_for_response(id);
    assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
    assert!(elapsed <= Duration::from_millis(100), "{elapsed:?} after the group became known");
}

#[test]
fn an_owner_answers_a_gateway_unknown_to_membership() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    let owner = cluster.owner().expect("an owner");
    cluster.send_from_unknown_gateway(owner, open("one", None, 40));
}

#[test]
fn a_request_without_any_store_fails_in_time() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    STORES.into_iter().for_each(|store| cluster.kill(store));
    let id = cluster.send_command(open("one", None, 1));
    let (response, elapsed) = cluster.wait_for_response(id);
    assert!(matches!(response, Response::Failed(_)), "{response:?}");
    assert!(elapsed <= REQUEST_TIMEOUT, "{elapsed:?}");
}

/// Opens a turn of 60 tokens at an owner that is cut off from its followers, then at the owner that
/// they elect. Returns how many turns were opened.
fn count_opened_around_cut(settings: GroupSettings) -> usize {
    let mut cluster = Cluster::start_and_wait(settings);
    let old = cluster.owner().expect("an owner");
    cluster.cut_from_stores(old);
    let id = cluster.send_command(open("cut-off", None, 60));
    let is_opened = |response| matches!(response, Response::Ledger(LedgerReply::Opened(_)));
    let first = usize::from(is_opened(cluster.wait_for_response(id).0));
    cluster.kill(old);
    cluster.run_until(Duration::from_secs(10), |cluster| cluster.other_owner(old).is_some());
    let reply = cluster.send_until_answered(&open("later", None, 60));
    first + usize::from(matches!(reply, LedgerReply::Opened(_)))
}

#[test]
fn a_cut_off_owner_opens_no_turn() {
    assert_eq!(count_opened_around_cut(GroupSettings::default()), 1);
}

#[test]
fn without_a_quorum_the_budget_is_overrun() {
    let mut settings = GroupSettings::default();
    settings.faults.short_quorum = true;
    assert_eq!(count_opened_around_cut(settings), 2, "without a quorum the budget is overrun");
}

#[test]
fn owners_expire_turns_after_their_retention() {
    let mut cluster = Cluster::start_and_wait(GroupSettings::default());
    expect_opened(cluster.send_until_answered(&open("one", None, 60)));
    assert_eq!(cluster.send_until_answered(&close("one", 10)), LedgerReply::Closed);
    cluster.advance(RETENTION);
    let two = expect_opened(cluster.send_until_answered(&open("two", Some("one"), 10)));
    assert_eq!(two.history, b"<oneone>");
    cluster.advance(Duration::from_secs(500));
    for store in STORES {
        assert_eq!(cluster.ledger(store).size().turns, 0, "at daemon {store}");
        let charge = cluster.ledger(store).charge(&program()).expect("outlives its turns");
        assert_eq!(charge.spent, Tokens(20));
    }
    assert_ne!(cluster.owner(), Some(GATEWAY));
}

/// After a restart the key-value service may be unavailable. The disk proves that the groups are laid
/// out.
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
        let node = Node::recover(settings(), replicas, Timestamp::ZERO).expect("the node recovers");
        node.status(Timestamp::ZERO).waits_for
    };
    assert!(waits(Vec::new()).is_some(), "an empty disk does not prove a layout");
    assert_eq!(waits(vec![recorded]), None);
}

#[test]
fn a_gateway_that_does_not_know_a_group_asks_any_daemon_that_holds_groups() {
    let mut cluster = Cluster::start_nodes(GroupSettings::default());
    cluster.wait_for_owner_and_members();
    assert!(!cluster.gateway_knows_group(), "the gateway must not know the group yet");
    let id = cluster.send_command(open("one", None, 1));
    let (response, elapsed) = cluster.wait_for_response(id);
    assert!(matches!(response, Response::Ledger(LedgerReply::Opened(_))), "{response:?}");
    assert!(
        !cluster.gateway_knows_group(),
        "the response arrived before the gateway knew the group"
    );
    assert!(elapsed <= Duration::from_millis(60), "{elapsed:?}");
}

struct CutCase {
    name: &'static str,
    /// Links to cut, as pairs of sender and receiver.
    cuts: fn(owner: u32) -> Vec<(u32, u32)>,
}

/// A gateway that cannot reach the owner forwards its commands through a gateway that can.
#[test]
fn commands_are_forwarded_by_another_gateway_while_the_direct_link_is_cut() {
    /// Time to detect the silent link and to skip one helper that is cut off as well.
    const FIRST_RESPONSE_LIMIT: Duration = Duration::from_millis(320);
    /// Later commands know that the link is silent. They take two more links than the direct path, and
    /// ticks in between.
    const LATER_RESPONSE_LIMIT: Duration = Duration::from_millis(60);
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
                let links = cut_off.iter().flat_map(|one| STORES.map(|store| (*one, store)));
                links.flat_map(|(one, store)| [(one, store), (store, one)]).collect()
            },
        },
    ];
    for case in cases {
        let mut cluster = Cluster::start_with_other_gateways(GroupSettings::default());
        expect_opened(cluster.send_until_answered(&open("first", None, 1)));
        let owner = cluster.owner().expect("an owner");
        for (from, to) in (case.cuts)(owner) {
            cluster.cut_one_way(from, to);
        }
        for (number, limit) in
            [(0, FIRST_RESPONSE_LIMIT), (1, LATER_RESPONSE_LIMIT), (2, LATER_RESPONSE_LIMIT)]
        {
            let id = cluster.send_command(open(&format!("turn-{number}"), None, 10));
            let (response, elapsed) = cluster.wait_for_response(id);
            let is_opened = matches!(response, Response::Ledger(LedgerReply::Opened(_)));
            assert!(is_opened, "{}: {response:?}", case.name);
            assert!(elapsed <= limit, "{}: command {number} took {elapsed:?}", case.name);
            assert_eq!(
                cluster.send_until_answered(&close(&format!("turn-{number}"), 10)),
                LedgerReply::Closed
            );
        }
        // A command that reached the owner twice is charged once: 31 of 100 tokens are spent.
        expect_opened(cluster.send_until_answered(&open("last", None, 69)));
        assert_eq!(
            cluster.send_until_answered(&open("beyond", None, 1)),
            budget_spent_reply(100),
            "{}",
            case.name
        );
        cluster.heal_links();
        cluster.advance(Duration::from_secs(3));
        let before = cluster.message_counts.forwarded;
        let id = cluster.send_command(close("last", 0));
        assert!(cluster.wait_for_response(id).1 <= LATER_RESPONSE_LIMIT, "{}", case.name);
        assert_eq!(
            cluster.message_counts.forwarded, before,
            "{}: the direct link is used again",
            case.name
        );
    }
}

/// Helpers cannot help while a group has no owner. They must not multiply its requests by four
/// during an election.
#[test]
fn few_helpers_are_asked_while_a_group_has_no_owner() {
    let mut cluster = Cluster::start_with_other_gateways(GroupSettings::default());
    expect_opened(cluster.send_until_answered(&open("first", None, 1)));
    let owner = cluster.owner().expect("an owner");
    cluster.kill(owner);
    let before = cluster.message_counts.forwarded;
    let reply = cluster.send_until_answered(&open("second", None, 10));
    assert!(matches!(reply, LedgerReply::Opened(_)), "{reply:?}");
    let helpers = cluster.message_counts.forwarded - before;
    assert!(helpers <= 3, "{helpers} helpers for one command");
}
