//! The client of the ledgers, with groups simulated by ledgers in memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use dahlia_api::{ApiError, ErrorKind};
use dahlia_daemon::core_handle::{CoreMessage, channel};
use dahlia_daemon::ledger_breaker::LedgerBreakerSettings;
use dahlia_daemon::ledger_client::LedgerClient;
use dahlia_ledger::{
    CloseTurn, Ledger, LedgerCommand, LedgerLimits, LedgerReply, OpenTurn, ProgramName, TurnEnd,
    TurnId, TurnInput, TurnRefusal, group_of,
};
use dahlia_node::request::{Request, Response};
use dahlia_node::{CutOff, Reachability};
use dahlia_relay::TurnLedger;
use dahlia_types::{DaemonId, Duration, GroupId, Incarnation, ReplicaId, Timestamp, Tokens};
use futures::FutureExt;
use tokio::sync::watch;

const GROUPS: u32 = 4;
const TIMEOUT: Duration = Duration::from_secs(4);

/// Creates a client, and a task that answers for all groups except `silent`.
fn client(silent: Option<GroupId>) -> LedgerClient {
    let own = ReplicaId { daemon: DaemonId(1), incarnation: Incarnation(1) };
    let (core, mut inbox) = channel(own);
    tokio::spawn(async move {
        let mut ledgers: BTreeMap<GroupId, Ledger> = BTreeMap::new();
        while let Some(message) = inbox.recv().await {
            let CoreMessage::Request(Request::Ledger { group, command }, reply) = message else {
                panic!("not a request to a ledger");
            };
            let ledger =
                ledgers.entry(group).or_insert_with(|| Ledger::new(LedgerLimits::default()));
            let response = if silent == Some(group) {
                Response::Failed(ApiError::new(ErrorKind::Unavailable, "no owner"))
            } else {
                Response::Ledger(ledger.apply(&command.with_timestamp(Timestamp(1))))
            };
            let _ = reply.send(response);
        }
    });
    LedgerClient::new(core, GROUPS, LedgerBreakerSettings::default())
}

/// A program whose ledger is in `group`.
fn program_in(group: u32) -> ProgramName {
    let names = (0..).map(|number| ProgramName::new(None, &format!("program-{number}")));
    let mut fitting = names.filter(|name| group_of(name, GROUPS) == GroupId(group));
    fitting.next().expect("every group has programs")
}

fn open(program: &ProgramName, turn: &str, previous: Option<&str>) -> LedgerCommand {
    LedgerCommand::Open(OpenTurn {
        program: program.clone(),
        turn: TurnId::new(None, turn),
        budget: None,
        max_generated: Tokens(1),
        input: Some(TurnInput {
            previous: previous.map(|previous| TurnId::new(None, previous)),
            new_input: b"in".to_vec(),
            retention: Duration::from_secs(60),
        }),
        at: Timestamp::ZERO,
    })
}

async fn complete_turn(client: &LedgerClient, program: &ProgramName, turn: &str) {
    let output = b"out".to_vec();
    let end = TurnEnd::Completed { generated: Tokens(1), output, served_by: "server".into() };
    let (program, turn) = (program.clone(), TurnId::new(None, turn));
    let close = CloseTurn { program, turn, end, at: Timestamp::ZERO };
    let reply = client.submit(LedgerCommand::Close(close), TIMEOUT).await;
    assert_eq!(reply, Ok(LedgerReply::Closed));
}

#[tokio::test]
async fn a_program_continues_from_a_turn_in_another_group() {
    let client = client(None);
    let (earlier, later) = (program_in(0), program_in(3));
    client.submit(open(&earlier, "one", None), TIMEOUT).await.expect("opened");
    let early = client.submit(open(&later, "two", Some("one")), TIMEOUT).await;
    let previous = TurnId::new(None, "one");
    assert_eq!(early, Ok(LedgerReply::Refused(TurnRefusal::NotEnded { previous })));
    complete_turn(&client, &earlier, "one").await;
    for _ in 0..2 {
        match client.submit(open(&later, "two", Some("one")), TIMEOUT).await {
            Ok(LedgerReply::Opened(opened)) => assert_eq!(opened.history, b"inout"),
            other => panic!("not opened: {other:?}"),
        }
    }
    complete_turn(&client, &later, "two").await;
    match client.submit(open(&later, "three", Some("two")), TIMEOUT).await {
        Ok(LedgerReply::Opened(opened)) => assert_eq!(opened.history, b"inoutinout"),
        other => panic!("not opened: {other:?}"),
    }
}

#[tokio::test]
async fn a_turn_is_missing_only_when_every_group_says_so() {
    let previous = TurnId::new(None, "unknown");
    let no_such_turn = LedgerReply::Refused(TurnRefusal::NoSuchTurn { previous });
    let command = open(&program_in(0), "one", Some("unknown"));
    assert_eq!(client(None).submit(command.clone(), TIMEOUT).await, Ok(no_such_turn));
    let reply = client(Some(GroupId(2))).submit(command, TIMEOUT).await;
    assert!(reply.expect_err("one group is silent").reason.contains("no owner"));
}

/// Groups that answer only while `answers` is set, and count their requests.
struct Owner {
    answers: watch::Sender<bool>,
    request_count: Arc<AtomicUsize>,
    reach: watch::Sender<Reachability>,
}

/// Creates a client with a short answer timeout, which holds no callers during an election.
fn client_with_owner() -> (LedgerClient, Owner) {
    client_with_owner_and(LedgerBreakerSettings {
        answer_timeout_ms: 30,
        most_held: 0,
        ..LedgerBreakerSettings::default()
    })
}

fn client_with_owner_and(settings: LedgerBreakerSettings) -> (LedgerClient, Owner) {
    let own = ReplicaId { daemon: DaemonId(1), incarnation: Incarnation(1) };
    let (core, mut inbox) = channel(own);
    let reach = core.reachability_sender();
    let owner = Owner { answers: watch::Sender::new(false), request_count: Arc::default(), reach };
    let (answers, request_count) = (owner.answers.subscribe(), Arc::clone(&owner.request_count));
    tokio::spawn(async move {
        while let Some(CoreMessage::Request(_, reply)) = inbox.recv().await {
            request_count.fetch_add(1, Ordering::SeqCst);
            let mut answers = answers.clone();
            tokio::spawn(async move {
                let _ = answers.wait_for(|answers| *answers).await;
                let _ = reply.send(Response::Ledger(LedgerReply::Closed));
            });
        }
    });
    (LedgerClient::new(core, GROUPS, settings), owner)
}

#[tokio::test]
async fn callers_of_an_unresponsive_group_are_refused_until_it_answers() {
    let (client, owner) = client_with_owner();
    let program = program_in(0);
    let first = client.submit(open(&program, "one", None), TIMEOUT).await.expect_err("silent");
    assert_eq!(first.retry_after, Some(Duration::from_millis(400)));
    assert!(!first.was_not_submitted, "it may be recorded");
    let both = || {
        let (two, three) = (open(&program, "two", None), open(&program, "three", None));
        futures::future::join(client.submit(two, TIMEOUT), client.submit(three, TIMEOUT))
    };
    for _ in 0..2 {
        let (probe, refused) = both().await;
        assert!(!probe.expect_err("silent").was_not_submitted);
        assert!(refused.expect_err("silent").was_not_submitted, "one probe at a time");
    }
    assert!(both().now_or_never().is_none(), "the probe's caller leaves");
    let (probe, _) = both().await;
    assert!(!probe.expect_err("silent").was_not_submitted, "the probe has ended");
    assert_eq!(owner.request_count.load(Ordering::SeqCst), 5);
    owner.answers.send_replace(true);
    assert!(client.submit(open(&program, "two", None), TIMEOUT).await.is_ok());
    let (first, second) = both().await;
    assert!(first.is_ok() && second.is_ok());
}

#[tokio::test]
async fn closing_a_turn_waits_for_an_unresponsive_group() {
    let (client, owner) = client_with_owner();
    let program = program_in(0);
    client.submit(open(&program, "one", None), TIMEOUT).await.expect_err("silent");
    let end = TurnEnd::NotRun;
    let turn = TurnId::new(None, "one");
    let close = CloseTurn { program: program.clone(), turn, end, at: Timestamp::ZERO };
    let closing = client.submit(LedgerCommand::Close(close), TIMEOUT);
    let answering = async {
        // Meanwhile, opening another turn times out.
        client.submit(open(&program, "two", None), TIMEOUT).await.expect_err("silent");
        owner.answers.send_replace(true);
    };
    let (closed, ()) = tokio::join!(closing, answering);
    assert_eq!(closed, Ok(LedgerReply::Closed));
}

/// Waiting callers are refused as soon as the cut is known, and later ones at once. After the end of the
/// cut all are served again.
#[tokio::test]
async fn callers_of_a_cut_off_daemon_are_refused_at_once() {
    let (client, owner) = client_with_owner_and(LedgerBreakerSettings::default());
    let program = program_in(0);
    let waiting = client.submit(open(&program, "one", None), TIMEOUT);
    let cutting = async {
        while owner.request_count.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
        let cut = CutOff { since: Timestamp::ZERO, is_alone: true };
        owner.reach.send_replace(Reachability { cut_off: Some(cut), ..Reachability::default() });
    };
    let (refusal, ()) = tokio::join!(waiting, cutting);
    let refusal = refusal.expect_err("cut off");
    assert!(!refusal.was_not_submitted, "it may be recorded");
    assert_eq!(
        refusal.retry_after,
        Some(Duration::from_millis(50)),
        "another daemon may reach the owner"
    );
    let refused = client.submit(open(&program, "two", None), TIMEOUT).now_or_never();
    assert!(refused.expect("at once").expect_err("cut off").was_not_submitted);
    assert_eq!(owner.request_count.load(Ordering::SeqCst), 1);
    owner.reach.send_replace(Reachability::default());
    owner.answers.send_replace(true);
    assert!(client.submit(open(&program, "three", None), TIMEOUT).await.is_ok());
}
