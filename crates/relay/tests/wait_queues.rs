//! Requests that wait at the gateway while all servers are full: their order, and when they are
//! refused.

mod common;

use std::time::Duration as StdDuration;

use common::caller::{Caller, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, chunk, event, last_chunk, stream_head,
};
use common::{TestGateway, retained_turns_route, route_table, service_name, wait_until};
use dahlia_admission::WaitingSettings;
use dahlia_ledger::TurnEnd;
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::Duration;
use tokio::time::timeout;

/// Attempts that one gateway may have in flight at the scripted server.
const SLOTS: usize = 16;

/// Holds the requests that fill all slots, and answers others at once.
fn hold_or_answer(request: &ReceivedRequest) -> Vec<Step> {
    let ends = [chunk(&event(1, "a")), last_chunk()];
    let steps = [stream_head(request)].into_iter();
    match request.attempt().starts_with("fill") {
        true => steps.chain([Step::WaitForClose]).collect(),
        false => steps.chain(ends).collect(),
    }
}

fn long_timeout_route() -> Route {
    Route { timeout: Duration::from_secs(60), ..retained_turns_route() }
}

fn first_turn(name: &str) -> String {
    post(name, &format!("X-Program: {name}\r\n"), "first")
}

fn later_turn(name: &str) -> String {
    post(name, &format!("X-Program: {name}\r\nX-Previous: t-0\r\n"), "later")
}

fn waiting_enabled() -> RelaySettings {
    let waiting = WaitingSettings { enabled: true, ..WaitingSettings::default() };
    RelaySettings { waiting, ..RelaySettings::default() }
}

async fn full_gateway(
    server: &ScriptedServer,
    settings: RelaySettings,
) -> (TestGateway, Vec<Caller>) {
    let gateway = TestGateway::with_settings(
        settings,
        Some(route_table(vec![long_timeout_route()])),
        &[server],
    )
    .await;
    let callers = fill_slots(&gateway, SLOTS).await;
    wait_until("all slots are occupied", || server.requests().len() == SLOTS).await;
    (gateway, callers)
}

async fn fill_slots(gateway: &TestGateway, count: usize) -> Vec<Caller> {
    let mut callers = Vec::new();
    for number in 0..count {
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&later_turn(&format!("fill-{number}"))).await;
        callers.push(caller);
    }
    callers
}

async fn enter_queue(gateway: &TestGateway, request: &str, count: usize) -> Caller {
    let mut caller = Caller::new(gateway.address).await;
    caller.send(request).await;
    wait_until("the request is in the queue", || gateway.relay.counters().waiting == count as u64)
        .await;
    caller
}

async fn receives_nothing(caller: &mut Caller) -> bool {
    timeout(StdDuration::from_millis(60), caller.read_head()).await.is_err()
}

#[tokio::test]
async fn a_request_waits_until_an_attempt_ends() {
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let (gateway, mut fillers) = full_gateway(&server, waiting_enabled()).await;
    let mut caller = enter_queue(&gateway, &first_turn("p-1"), 1).await;
    fillers.pop();
    let reply = caller.read_reply().await;
    assert_eq!((reply.status, reply.is_whole), (200, true));
    assert_eq!(gateway.relay.counters().waiting, 0);
}

#[tokio::test]
async fn a_turn_of_an_active_program_goes_before_a_first_one() {
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let (gateway, mut fillers) = full_gateway(&server, waiting_enabled()).await;
    let mut first = enter_queue(&gateway, &first_turn("p-1"), 1).await;
    let mut later = enter_queue(&gateway, &later_turn("fill-later"), 2).await;
    fillers.pop();
    wait_until("one request reaches the server", || server.requests().len() == SLOTS + 1).await;
    assert_eq!(server.requests()[SLOTS].attempt(), "fill-later");
    assert!(receives_nothing(&mut first).await && receives_nothing(&mut later).await);
}

#[tokio::test]
async fn a_request_that_has_waited_its_share_of_time_is_refused_with_a_retry_time() {
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let (gateway, _fillers) = full_gateway(&server, waiting_enabled()).await;
    let request = first_turn("p-1").replace("X-Program", "X-Deadline: 200\r\nX-Program");
    let reply = call(gateway.address, &request).await;
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(server.requests().len(), SLOTS);
    wait_until("its turn is settled", || gateway.ledger.turn_ends() == [TurnEnd::NotRun]).await;
}

#[tokio::test]
async fn attempts_whose_callers_left_are_no_samples_of_the_servers_pace() {
    const DISCONNECTED: usize = 4;
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let (gateway, mut fillers) = full_gateway(&server, waiting_enabled()).await;
    fillers.truncate(SLOTS - DISCONNECTED);
    let in_flight =
        || gateway.backends.lock().expect("the lock is not poisoned").in_flight(&service_name());
    wait_until("some callers have disconnected", || in_flight() == (SLOTS - DISCONNECTED) as u32)
        .await;
    fillers.extend(fill_slots(&gateway, DISCONNECTED).await);
    wait_until("all slots are occupied", || server.requests().len() == SLOTS + DISCONNECTED).await;
    let _queued = enter_queue(&gateway, &later_turn("p-0"), 1).await;
    let request = first_turn("p-1").replace("X-Program", "X-Deadline: 200\r\nX-Program");
    let reply = call(gateway.address, &request).await;
    assert_eq!(reply.status, 503);
    assert!(reply.body.contains("it waited"), "{}", reply.body);
}

#[tokio::test]
async fn a_caller_that_leaves_the_queue_does_not_consume_a_wakeup() {
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let (gateway, mut fillers) = full_gateway(&server, waiting_enabled()).await;
    let leaving = enter_queue(&gateway, &first_turn("p-1"), 1).await;
    let mut staying = enter_queue(&gateway, &first_turn("p-2"), 2).await;
    drop(leaving);
    wait_until("the request has left the queue", || gateway.relay.counters().waiting == 1).await;
    fillers.pop();
    assert_eq!(staying.read_reply().await.status, 200);
}

#[tokio::test]
async fn a_request_beyond_the_queue_limit_is_refused_at_once() {
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let waiting_settings = WaitingSettings { most_waiting: 1, ..waiting_enabled().waiting };
    let settings = RelaySettings { waiting: waiting_settings, ..RelaySettings::default() };
    let (gateway, _fillers) = full_gateway(&server, settings).await;
    let _waits = enter_queue(&gateway, &later_turn("p-1"), 1).await;
    assert_eq!(call(gateway.address, &first_turn("p-2")).await.status, 503);
    assert_eq!(gateway.relay.counters().waiting, 1);
}

#[tokio::test]
async fn without_routes_that_retain_turns_no_request_waits() {
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let plain = Route { retains_turns: false, ..long_timeout_route() };
    let gateway =
        TestGateway::with_settings(waiting_enabled(), Some(route_table(vec![plain])), &[&server])
            .await;
    let mut fillers = Vec::new();
    for number in 0..SLOTS {
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post(&format!("fill-{number}"), "", "")).await;
        fillers.push(caller);
    }
    wait_until("all slots are occupied", || server.requests().len() == SLOTS).await;
    assert_eq!(call(gateway.address, &post("t-1", "", "")).await.status, 503);
    let in_flight =
        gateway.backends.lock().expect("the lock is not poisoned").in_flight(&service_name());
    assert_eq!((in_flight, gateway.relay.counters().waiting), (SLOTS as u32, 0));
}

#[tokio::test]
async fn no_request_waits_when_waiting_is_disabled() {
    let server = ScriptedServer::new("s-1", hold_or_answer).await;
    let (gateway, _fillers) = full_gateway(&server, RelaySettings::default()).await;
    for request in [first_turn("p-1"), later_turn("p-2")] {
        let reply = call(gateway.address, &request).await;
        assert_eq!(reply.status, 503);
        assert_eq!(reply.body, "no server takes the request now\n");
    }
    assert_eq!((server.requests().len(), gateway.relay.counters().waiting), (SLOTS, 0));
    wait_until("their turns are settled", || {
        gateway.ledger.turn_ends() == [TurnEnd::NotRun, TurnEnd::NotRun]
    })
    .await;
}
