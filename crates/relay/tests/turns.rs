//! Turns of programs: opened before anything is sent, settled at their end.

mod common;

use common::caller::{Caller, call, post};
use common::ledger::unavailable;
use common::stand_in::{Got, StandIn, Step, answer, chunk, event, last_chunk, shed, stream_head};
use common::{Bed, once, route, table, turns, until};
use dahlia_ledger::{LedgerReply, OpenedTurn, ProgramName, TurnEnd, TurnId, TurnRefusal};
use dahlia_relay::{LedgerUnavailable, Route};
use dahlia_types::{Duration, Tokens};

const TURN: &str = "X-Program: p-1\r\nX-Session: l-1\r\nX-Budget: 500\r\nX-Tokens: 40,80\r\n";

fn stream(got: &Got) -> Vec<Step> {
    let (first, second) = (event(1, "a"), event(2, "b"));
    vec![stream_head(got), chunk(&first), chunk(": note\n\n"), chunk(&second), last_chunk()]
}

fn refused(refusal: TurnRefusal) -> Result<LedgerReply, dahlia_relay::LedgerUnavailable> {
    Ok(LedgerReply::Refused(refusal))
}

fn whole(output: &str) -> TurnEnd {
    TurnEnd::Completed { generated: Tokens(18), output: output.into(), served_by: "s-1".into() }
}

fn with_budget() -> Route {
    Route { is_stream: true, ..once() }
}

#[tokio::test]
async fn a_kept_turn_is_sent_with_what_went_before_and_recorded_whole() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    bed.ledger.next_open(Ok(LedgerReply::Opened(OpenedTurn {
        history: b"input one\na\nb\n".to_vec(),
        last_served_by: Some("s-1".into()),
    })));
    let lines = format!("{TURN}X-Previous: t-0\r\n");
    let reply = call(bed.address, &post("t-1", &lines, "input two")).await;
    assert!(reply.is_whole);
    assert_eq!(server.got()[0].body, "input one\na\nb\ninput two");
    let open = bed.ledger.opened().remove(0);
    assert_eq!(
        (open.program, open.turn),
        (ProgramName::new(None, "p-1"), TurnId::new(None, "t-1"))
    );
    assert_eq!((open.budget, open.max_generated), (Some(Tokens(500)), Tokens(80)));
    let input = open.input.expect("kept");
    assert_eq!(input.previous, Some(TurnId::new(None, "t-0")));
    assert_eq!(input.new_input, b"input two");
    assert_eq!(input.retention, Duration::from_secs(60));
    assert_eq!(bed.ledger.ends(), [whole("a\nb\n")]);
}

#[tokio::test]
async fn the_end_of_a_kept_turn_is_sent_only_when_it_is_durable() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    bed.ledger.answer_closes(false);
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t-1", TURN, "")).await;
    caller.head().await;
    let mut body = String::new();
    while !body.ends_with(&event(2, "b")) {
        body.push_str(&caller.chunk().await.expect("events come before the end"));
    }
    until("the ledger was asked", || bed.ledger.ends() == [whole("a\nb\n")]).await;
    let before = bed.relay.counters();
    assert_eq!((before.in_progress, before.unsettled_turns), (1, 1));
    bed.ledger.answer_closes(true);
    assert_eq!(caller.chunk().await.as_deref(), Some(""));
    until("the turn is settled", || bed.relay.counters().unsettled_turns == 0).await;
}

#[tokio::test]
async fn a_kept_turn_that_is_not_recorded_in_time_is_broken_off() {
    let server = StandIn::new("s-1", stream).await;
    let short = Route { timeout: Duration::from_millis(300), ..turns() };
    let bed = Bed::new(Some(table(vec![short])), &[&server]).await;
    bed.ledger.answer_closes(false);
    let reply = call(bed.address, &post("t-1", TURN, "")).await;
    assert!(reply.body.ends_with(&event(2, "b")));
    assert!(!reply.is_whole);
    bed.ledger.answer_closes(true);
    until("it is settled behind the caller's back", || bed.relay.counters().unsettled_turns == 0)
        .await;
    assert!(bed.ledger.ends().iter().all(|end| *end == whole("a\nb\n")));
}

#[tokio::test]
async fn the_end_of_a_turn_with_a_budget_only_does_not_wait_for_the_ledger() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![with_budget()])), &[&server]).await;
    bed.ledger.answer_closes(false);
    bed.ledger.next_close(unavailable());
    let reply = call(bed.address, &post("t-1", TURN, "all")).await;
    assert!(reply.is_whole);
    assert_eq!(server.got()[0].body, "all");
    bed.ledger.answer_closes(true);
    until("the end is offered again", || bed.relay.counters().unsettled_turns == 0).await;
    assert_eq!(bed.ledger.ends(), [whole(""), whole("")]);
    assert_eq!(bed.ledger.opened()[0].input, None);
}

#[tokio::test]
async fn without_a_program_or_a_budget_the_ledger_is_not_asked() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![with_budget()])), &[&server]).await;
    for lines in ["", "X-Program: p-1\r\nX-Tokens: 40,80\r\n"] {
        assert!(call(bed.address, &post("t", lines, "")).await.is_whole);
    }
    bed.relay.set_routes(table(vec![route()]).into());
    let server = StandIn::new("s-2", |got| vec![answer(got, "200 OK", "", "")]).await;
    let tools = Bed::new(Some(table(vec![route()])), &[&server]).await;
    assert_eq!(call(tools.address, &post("t", TURN, "")).await.status, 200);
    assert!(bed.ledger.opened().is_empty() && tools.ledger.opened().is_empty());
}

#[tokio::test]
async fn what_the_ledger_refuses_is_not_sent() {
    let budget_spent = TurnRefusal::BudgetSpent { budget: Tokens(500), used: Tokens(480) };
    let no_such_turn = TurnRefusal::NoSuchTurn { previous: TurnId::new(None, "t-0") };
    let limit_reached = TurnRefusal::LimitReached { limit: "turns".into() };
    let cases = [(budget_spent, 402), (no_such_turn, 404), (limit_reached, 503)];
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    for (refusal, status) in cases {
        bed.ledger.next_open(refused(refusal));
        let reply = call(bed.address, &post("t", TURN, "")).await;
        assert_eq!(reply.status, status);
        assert_eq!(reply.header("retry-after").is_some(), status == 503);
    }
    assert!(server.got().is_empty() && bed.ledger.ends().is_empty());
}

#[tokio::test]
async fn when_the_ledger_is_down_callers_come_back_and_what_it_may_have_recorded_is_undone() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    bed.ledger.next_open(unavailable());
    let reply = call(bed.address, &post("t", TURN, "")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    until("the turn is settled", || bed.relay.counters().unsettled_turns == 0).await;
    assert_eq!(bed.ledger.ends(), [TurnEnd::NotRun]);
    assert!(server.got().is_empty());
}

#[tokio::test]
async fn a_turn_that_the_ledger_was_not_asked_for_is_refused_at_once_and_not_undone() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    bed.ledger.next_open(Err(LedgerUnavailable {
        reason: "silent".into(),
        retry_after: Some(Duration::from_millis(400)),
        was_not_submitted: true,
    }));
    let reply = call(bed.address, &post("t", TURN, "")).await;
    assert_eq!((reply.status, reply.header("retry-after")), (503, Some("0.400")));
    until("the turn is settled", || bed.relay.counters().unsettled_turns == 0).await;
    assert!(server.got().is_empty() && bed.ledger.ends().is_empty());
}

#[tokio::test]
async fn a_turn_that_waits_for_its_opening_has_not_run_at_its_deadline_or_when_its_caller_leaves() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    bed.ledger.answer_opens(false);
    let late = call(bed.address, &post("t-1", &format!("{TURN}X-Deadline: 100\r\n"), "")).await;
    assert_eq!(late.status, 503);
    assert!(late.header("retry-after").is_some());
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t-2", TURN, "")).await;
    until("the ledger is asked", || bed.ledger.opened().len() == 2).await;
    drop(caller);
    until("both are undone", || bed.ledger.ends() == [TurnEnd::NotRun, TurnEnd::NotRun]).await;
    bed.ledger.answer_opens(true);
    until("nothing is left", || bed.relay.counters().unsettled_turns == 0).await;
    assert!(server.got().is_empty());
}

#[tokio::test]
async fn only_a_promise_lets_a_turn_cost_nothing() {
    type Script = fn(&Got) -> Vec<Step>;
    let cases: [(&str, Script, u16, TurnEnd); 4] = [
        ("refused unrun", shed, 503, TurnEnd::NotRun),
        ("reset", |_| vec![Step::Reset], 502, TurnEnd::Incomplete),
        ("its own failure", |got| vec![answer(got, "500 Bad", "", "")], 500, TurnEnd::Incomplete),
        (
            "not proper, and not run",
            |got| vec![answer(got, "400 Bad", "X-Not-Run: 1\r\n", "")],
            400,
            TurnEnd::NotRun,
        ),
    ];
    for (name, script, status, end) in cases {
        let server = StandIn::new("s-1", script).await;
        let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
        assert_eq!(call(bed.address, &post("t", TURN, "")).await.status, status, "{name}");
        until("the turn is settled", || bed.relay.counters().unsettled_turns == 0).await;
        assert_eq!(bed.ledger.ends(), [end], "{name}");
    }
}

#[tokio::test]
async fn a_turn_whose_caller_leaves_costs_its_most() {
    let server = StandIn::new("s-1", |got| {
        vec![stream_head(got), chunk(&event(1, "a")), Step::WaitForClose]
    })
    .await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t", TURN, "")).await;
    caller.head().await;
    caller.chunk().await.expect("the first event");
    drop(caller);
    until("the end is recorded", || bed.ledger.ends() == [TurnEnd::Incomplete]).await;
    until("the server sees the close", || server.closed() == 1).await;
}

#[tokio::test]
async fn a_turn_must_name_what_its_reservation_needs() {
    let server = StandIn::new("s-1", stream).await;
    let bed = Bed::new(Some(table(vec![turns()])), &[&server]).await;
    let long = format!("X-Program: {}\r\n", "p".repeat(129));
    for lines in ["", "X-Program: p\r\nX-Budget: 500\r\n", "X-Program: p\r\nX-Budget: x\r\n", &long]
    {
        assert_eq!(call(bed.address, &post("t", lines, "")).await.status, 400, "{lines}");
    }
    assert!(server.got().is_empty() && bed.ledger.opened().is_empty());
}
