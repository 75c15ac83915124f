//! Turns of programs: they are opened before anything is sent, and settled at their end.

mod common;

use common::caller::{Caller, call, post};
use common::ledger::ledger_unavailable;
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer, chunk, event, last_chunk, refuse_not_run,
    stream_head,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, retained_turns_route, route_table,
    wait_until,
};
use dahlia_ledger::{LedgerReply, OpenedTurn, ProgramName, TurnEnd, TurnId, TurnRefusal};
use dahlia_relay::{LedgerUnavailable, Route};
use dahlia_types::{Duration, Tokens};

const TURN_HEADERS: &str =
    "X-Program: p-1\r\nX-Session: l-1\r\nX-Budget: 500\r\nX-Tokens: 40,80\r\n";

fn two_event_stream(request: &ReceivedRequest) -> Vec<Step> {
    let (first, second) = (event(1, "a"), event(2, "b"));
    vec![stream_head(request), chunk(&first), chunk(": note\n\n"), chunk(&second), last_chunk()]
}

fn refused_reply(refusal: TurnRefusal) -> Result<LedgerReply, dahlia_relay::LedgerUnavailable> {
    Ok(LedgerReply::Refused(refusal))
}

fn completed(output: &str) -> TurnEnd {
    TurnEnd::Completed { generated: Tokens(18), output: output.into(), served_by: "s-1".into() }
}

fn budget_route() -> Route {
    Route { is_stream: true, ..at_most_once_route() }
}

#[tokio::test]
async fn a_retained_turn_is_sent_with_its_history_and_recorded_completely() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    gateway.ledger.queue_open_reply(Ok(LedgerReply::Opened(OpenedTurn {
        history: b"input one\na\nb\n".to_vec(),
        last_served_by: Some("s-1".into()),
    })));
    let lines = format!("{TURN_HEADERS}X-Previous: t-0\r\n");
    let reply = call(gateway.address, &post("t-1", &lines, "input two")).await;
    assert!(reply.is_whole);
    assert_eq!(server.requests()[0].body, "input one\na\nb\ninput two");
    let open = gateway.ledger.opened_turns().remove(0);
    assert_eq!(
        (open.program, open.turn),
        (ProgramName::new(None, "p-1"), TurnId::new(None, "t-1"))
    );
    assert_eq!((open.budget, open.max_generated), (Some(Tokens(500)), Tokens(80)));
    let input = open.input.expect("the input of a retained turn");
    assert_eq!(input.previous, Some(TurnId::new(None, "t-0")));
    assert_eq!(input.new_input, b"input two");
    assert_eq!(input.retention, Duration::from_secs(60));
    assert_eq!(gateway.ledger.turn_ends(), [completed("a\nb\n")]);
}

#[tokio::test]
async fn the_end_of_a_retained_turn_is_sent_only_when_it_is_durable() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    gateway.ledger.set_answers_closes(false);
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", TURN_HEADERS, "")).await;
    caller.read_head().await;
    let mut body = String::new();
    while !body.ends_with(&event(2, "b")) {
        body.push_str(&caller.read_chunk().await.expect("another event before the end"));
    }
    wait_until("the ledger has received the end", || {
        gateway.ledger.turn_ends() == [completed("a\nb\n")]
    })
    .await;
    let before = gateway.relay.counters();
    assert_eq!((before.in_progress, before.unsettled_turns), (1, 1));
    gateway.ledger.set_answers_closes(true);
    assert_eq!(caller.read_chunk().await.as_deref(), Some(""));
    wait_until("the turn is settled", || gateway.relay.counters().unsettled_turns == 0).await;
}

#[tokio::test]
async fn a_retained_turn_that_is_not_recorded_in_time_is_broken_off() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let short = Route { timeout: Duration::from_millis(300), ..retained_turns_route() };
    let gateway = TestGateway::new(Some(route_table(vec![short])), &[&server]).await;
    gateway.ledger.set_answers_closes(false);
    let reply = call(gateway.address, &post("t-1", TURN_HEADERS, "")).await;
    assert!(reply.body.ends_with(&event(2, "b")));
    assert!(!reply.is_whole);
    gateway.ledger.set_answers_closes(true);
    wait_until("the turn is settled after the caller's answer", || {
        gateway.relay.counters().unsettled_turns == 0
    })
    .await;
    assert!(gateway.ledger.turn_ends().iter().all(|end| *end == completed("a\nb\n")));
}

#[tokio::test]
async fn the_end_of_a_turn_with_only_a_budget_does_not_wait_for_the_ledger() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway = TestGateway::new(Some(route_table(vec![budget_route()])), &[&server]).await;
    gateway.ledger.set_answers_closes(false);
    gateway.ledger.queue_close_reply(ledger_unavailable());
    let reply = call(gateway.address, &post("t-1", TURN_HEADERS, "all")).await;
    assert!(reply.is_whole);
    assert_eq!(server.requests()[0].body, "all");
    gateway.ledger.set_answers_closes(true);
    wait_until("the end is submitted again", || gateway.relay.counters().unsettled_turns == 0)
        .await;
    assert_eq!(gateway.ledger.turn_ends(), [completed(""), completed("")]);
    assert_eq!(gateway.ledger.opened_turns()[0].input, None);
}

#[tokio::test]
async fn without_a_program_or_a_budget_no_turn_is_opened() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway = TestGateway::new(Some(route_table(vec![budget_route()])), &[&server]).await;
    for lines in ["", "X-Program: p-1\r\nX-Tokens: 40,80\r\n"] {
        assert!(call(gateway.address, &post("t", lines, "")).await.is_whole);
    }
    gateway.relay.set_routes(route_table(vec![repeatable_route()]).into());
    let server =
        ScriptedServer::new("s-2", |request| vec![answer(request, "200 OK", "", "")]).await;
    let tools = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    assert_eq!(call(tools.address, &post("t", TURN_HEADERS, "")).await.status, 200);
    assert!(gateway.ledger.opened_turns().is_empty() && tools.ledger.opened_turns().is_empty());
}

#[tokio::test]
async fn a_turn_that_the_ledger_refuses_is_not_sent() {
    let budget_spent = TurnRefusal::BudgetSpent { budget: Tokens(500), used: Tokens(480) };
    let no_such_turn = TurnRefusal::NoSuchTurn { previous: TurnId::new(None, "t-0") };
    let limit_reached = TurnRefusal::LimitReached { limit: "turns".into() };
    let cases = [(budget_spent, 402), (no_such_turn, 404), (limit_reached, 503)];
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    for (refusal, status) in cases {
        gateway.ledger.queue_open_reply(refused_reply(refusal));
        let reply = call(gateway.address, &post("t", TURN_HEADERS, "")).await;
        assert_eq!(reply.status, status);
        assert_eq!(reply.header("retry-after").is_some(), status == 503);
    }
    assert!(server.requests().is_empty() && gateway.ledger.turn_ends().is_empty());
}

#[tokio::test]
async fn when_the_ledger_is_unavailable_the_turn_is_refused_and_closed_as_not_run() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    gateway.ledger.queue_open_reply(ledger_unavailable());
    let reply = call(gateway.address, &post("t", TURN_HEADERS, "")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    wait_until("the turn is settled", || gateway.relay.counters().unsettled_turns == 0).await;
    assert_eq!(gateway.ledger.turn_ends(), [TurnEnd::NotRun]);
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn a_turn_that_was_not_submitted_is_refused_at_once_and_not_closed() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    gateway.ledger.queue_open_reply(Err(LedgerUnavailable {
        reason: "silent".into(),
        retry_after: Some(Duration::from_millis(400)),
        was_not_submitted: true,
    }));
    let reply = call(gateway.address, &post("t", TURN_HEADERS, "")).await;
    assert_eq!((reply.status, reply.header("retry-after")), (503, Some("0.400")));
    wait_until("the turn is settled", || gateway.relay.counters().unsettled_turns == 0).await;
    assert!(server.requests().is_empty() && gateway.ledger.turn_ends().is_empty());
}

#[tokio::test]
async fn a_turn_that_waits_to_be_opened_has_not_run_at_its_deadline_or_when_its_caller_leaves() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    gateway.ledger.set_answers_opens(false);
    let late =
        call(gateway.address, &post("t-1", &format!("{TURN_HEADERS}X-Deadline: 100\r\n"), ""))
            .await;
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-2", TURN_HEADERS, "")).await;
    wait_until("the ledger has received the commands", || gateway.ledger.opened_turns().len() == 2)
        .await;
    drop(caller);
    wait_until("both turns are recorded as not run", || {
        gateway.ledger.turn_ends() == [TurnEnd::NotRun, TurnEnd::NotRun]
    })
    .await;
    gateway.ledger.set_answers_opens(true);
    wait_until("nothing is left open", || gateway.relay.counters().unsettled_turns == 0).await;
    assert!(server.requests().is_empty());
}

#[tokio::test]
async fn a_turn_is_free_only_if_its_server_says_that_it_did_not_run() {
    type Script = fn(&ReceivedRequest) -> Vec<Step>;
    let cases: [(&str, Script, u16, TurnEnd); 4] = [
        ("refused unrun", refuse_not_run, 503, TurnEnd::NotRun),
        ("reset", |_| vec![Step::Reset], 502, TurnEnd::Incomplete),
        (
            "its own failure",
            |request| vec![answer(request, "500 Bad", "", "")],
            500,
            TurnEnd::Incomplete,
        ),
        (
            "not proper, and not run",
            |request| vec![answer(request, "400 Bad", "X-Not-Run: 1\r\n", "")],
            400,
            TurnEnd::NotRun,
        ),
    ];
    for (name, script, status, end) in cases {
        let server = ScriptedServer::new("s-1", script).await;
        let gateway =
            TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
        assert_eq!(
            call(gateway.address, &post("t", TURN_HEADERS, "")).await.status,
            status,
            "{name}"
        );
        wait_until("the turn is settled", || gateway.relay.counters().unsettled_turns == 0).await;
        assert_eq!(gateway.ledger.turn_ends(), [end], "{name}");
    }
}

#[tokio::test]
async fn a_turn_whose_caller_leaves_is_recorded_as_incomplete() {
    let server = ScriptedServer::new("s-1", |request| {
        vec![stream_head(request), chunk(&event(1, "a")), Step::WaitForClose]
    })
    .await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", TURN_HEADERS, "")).await;
    caller.read_head().await;
    caller.read_chunk().await.expect("the first event");
    drop(caller);
    wait_until("the end is recorded", || gateway.ledger.turn_ends() == [TurnEnd::Incomplete]).await;
    wait_until("the server sees the close", || server.closed() == 1).await;
}

#[tokio::test]
async fn a_turn_must_state_what_its_reservation_needs() {
    let server = ScriptedServer::new("s-1", two_event_stream).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[&server]).await;
    let long = format!("X-Program: {}\r\n", "p".repeat(129));
    for lines in ["", "X-Program: p\r\nX-Budget: 500\r\n", "X-Program: p\r\nX-Budget: x\r\n", &long]
    {
        assert_eq!(call(gateway.address, &post("t", lines, "")).await.status, 400, "{lines}");
    }
    assert!(server.requests().is_empty() && gateway.ledger.opened_turns().is_empty());
}
