//! The client of the ledgers in a system with regions: which group holds a turn, and programs that move
//! to another region.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use dahlia_api::{ApiError, ErrorKind};
use dahlia_daemon::core_handle::{CoreMessage, channel};
use dahlia_daemon::ledger_breaker::LedgerBreakerSettings;
use dahlia_daemon::ledger_client::LedgerClient;
use dahlia_ledger::{
    CloseTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, OpenedTurn, ProgramName,
    TurnEnd, TurnId, TurnInput, TurnRefusal, group_in_region, group_of,
};
use dahlia_node::request::{Request, Response};
use dahlia_relay::{LedgerUnavailable, TurnLedger};
use dahlia_types::{
    DaemonId, Duration, GroupHomes, GroupId, Incarnation, Region, ReplicaId, Timestamp, Tokens,
};

const GROUPS: u32 = 8;
const BUDGET: u64 = 100;
const TIMEOUT: Duration = Duration::from_secs(4);

/// The ledgers of all groups, and a record of the requests to them.
#[derive(Default)]
struct Groups {
    ledgers: BTreeMap<GroupId, Ledger>,
    asked: Vec<(GroupId, &'static str)>,
    /// The home region of the groups that have no owner.
    lost: Option<Region>,
}

struct System {
    groups: Arc<Mutex<Groups>>,
    client: LedgerClient,
}

fn homes() -> GroupHomes {
    GroupHomes::new(["east", "north", "south"].map(Region::new))
}

fn program() -> ProgramName {
    ProgramName::new(None, "p")
}

fn home_group(region: &str) -> GroupId {
    group_in_region(&program(), &homes(), &Region::new(region), GROUPS)
}

impl System {
    fn new() -> Self {
        let own = ReplicaId { daemon: DaemonId(1), incarnation: Incarnation(1) };
        let (core, mut inbox) = channel(own);
        let groups: Arc<Mutex<Groups>> = Arc::default();
        let answering = Arc::clone(&groups);
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                let CoreMessage::Request(Request::Ledger { group, command }, reply) = message
                else {
                    panic!("not a request to a ledger");
                };
                let response = answering.lock().expect("not poisoned").answer(group, command);
                let _ = reply.send(response);
            }
        });
        let client = LedgerClient::new(core, GROUPS, LedgerBreakerSettings::default());
        Self { groups, client }
    }

    fn client_in(&self, region: &str) -> LedgerClient {
        self.client.clone().with_region(Region::new(region), homes())
    }

    fn cut_off_region(&self, region: &str) {
        self.groups.lock().expect("not poisoned").lost = Some(Region::new(region));
    }

    /// Takes the groups that got commands of `kind` since the last call.
    fn asked(&self, kind: &str) -> Vec<GroupId> {
        let asked = std::mem::take(&mut self.groups.lock().expect("not poisoned").asked);
        asked.into_iter().filter(|(_, name)| *name == kind).map(|(group, _)| group).collect()
    }

    fn used(&self, group: GroupId) -> Option<u64> {
        let groups = self.groups.lock().expect("not poisoned");
        groups.ledgers.get(&group)?.charge(&program()).map(|charge| charge.used().0)
    }
}

impl Groups {
    fn answer(&mut self, group: GroupId, command: LedgerCommand) -> Response {
        self.asked.push((group, command.name()));
        let is_lost = self.lost.is_some() && homes().home_of(group) == self.lost.as_ref();
        if is_lost {
            return Response::Failed(ApiError::new(ErrorKind::Unavailable, "no owner"));
        }
        let ledger =
            self.ledgers.entry(group).or_insert_with(|| Ledger::new(LedgerLimits::default()));
        Response::Ledger(ledger.apply(&command.with_timestamp(Timestamp(1))))
    }
}

fn open(turn: &str, previous: Option<&str>, most: u64) -> LedgerCommand {
    let previous = previous.map(|previous| TurnId::new(None, previous));
    let retention = Duration::from_secs(60);
    LedgerCommand::Open(OpenTurn {
        program: program(),
        turn: TurnId::new(None, turn),
        budget: Some(Tokens(BUDGET)),
        max_generated: Tokens(most),
        input: Some(TurnInput { previous, new_input: b"in".to_vec(), retention }),
        at: Timestamp::ZERO,
    })
}

fn close(turn: &str, generated: u64) -> LedgerCommand {
    let (generated, output) = (Tokens(generated), b"out".to_vec());
    let end = TurnEnd::Completed { generated, output, served_by: "server".into() };
    let turn = TurnId::new(None, turn);
    LedgerCommand::Close(CloseTurn { program: program(), turn, end, at: Timestamp::ZERO })
}

type SubmitResult = Result<LedgerReply, LedgerUnavailable>;

async fn submit(client: &LedgerClient, command: LedgerCommand) -> SubmitResult {
    client.submit_for_retained_turn(command, TIMEOUT).await
}

async fn run_turn(
    client: &LedgerClient,
    turn: &str,
    previous: Option<&str>,
    tokens: u64,
) -> OpenedTurn {
    let opened = match submit(client, open(turn, previous, tokens)).await {
        Ok(LedgerReply::Opened(opened)) => opened,
        other => panic!("{turn} is not opened: {other:?}"),
    };
    assert_eq!(submit(client, close(turn, tokens)).await, Ok(LedgerReply::Closed));
    opened
}

#[tokio::test]
async fn all_commands_on_a_retained_turn_go_to_one_home_group() {
    let system = System::new();
    for region in ["east", "north", "south"] {
        run_turn(&system.client_in(region), &format!("in-{region}"), None, 10).await;
        let asked = system.groups.lock().expect("not poisoned").asked.split_off(0);
        assert_eq!(asked, [(home_group(region), "open"), (home_group(region), "close")]);
    }
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
    let refused = submit(&north, open("two", Some("one"), 41)).await;
    assert_eq!(refused, Ok(LedgerReply::Refused(spent)));
    for _ in 0..2 {
        let reply = submit(&north, open("two", Some("one"), 30)).await;
        let Ok(LedgerReply::Opened(opened)) = reply else { panic!("not opened: {reply:?}") };
        assert_eq!(opened.history, b"inout");
        assert_eq!(opened.last_served_by.as_deref(), Some("server"));
    }
    assert_eq!(system.used(home_group("north")), Some(90), "a repeat is charged once");
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
    system.cut_off_region("east");
    run_turn(&north, "next", Some("own"), 10).await;
    let reply = submit(&north, open("two", Some("one"), 10)).await;
    assert!(reply.expect_err("it may be there").reason.contains("no owner"));
    let refused = submit(&east, open("three", None, 10)).await;
    assert!(refused.is_err(), "its own region cannot: {refused:?}");
}
