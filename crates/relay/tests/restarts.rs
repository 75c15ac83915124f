//! Servers that restart under the same name while they have requests.

mod common;

use std::time::Duration;

use common::caller::{Caller, Reply, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer_ok, chunk, event, last_chunk, stream_head,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route,
    retained_turns_route, route_table, wait_until,
};
use dahlia_relay::{RelaySettings, Route};
use tokio::time::{Instant, sleep};

/// Far below the time that callers wait, far above the time in which a restart is detected.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(3);

/// Accepts requests and never answers, like a server that ended unnoticed while its address still
/// accepts connections.
fn wait_for_release(_: &ReceivedRequest) -> Vec<Step> {
    vec![Step::WaitForRelease]
}

async fn call_during_restart(route: Route) -> (Reply, Duration, ScriptedServer) {
    let first_incarnation = ScriptedServer::new("s-1", wait_for_release).await;
    let later_incarnation = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[]).await;
    gateway.add_server("s-1@10", first_incarnation.address);
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", "", "x")).await;
    wait_until("the request has reached the first incarnation", || {
        first_incarnation.requests().len() == 1
    })
    .await;
    gateway.add_server("s-1@20", later_incarnation.address);
    let began = Instant::now();
    (caller.read_reply().await, began.elapsed(), later_incarnation)
}

#[tokio::test]
async fn a_repeatable_request_is_sent_to_the_restarted_server() {
    let (reply, elapsed, later_incarnation) = call_during_restart(repeatable_route()).await;
    assert_eq!((reply.status, later_incarnation.requests().len()), (200, 1));
    assert!(elapsed < MAX_DETECTION_TIME, "{elapsed:?}");
}

#[tokio::test]
async fn a_request_that_must_run_once_ends_with_an_unknown_outcome_after_a_restart() {
    let (reply, elapsed, later_incarnation) = call_during_restart(at_most_once_route()).await;
    assert_eq!((reply.status, later_incarnation.requests().len()), (502, 0));
    assert!(elapsed < MAX_DETECTION_TIME, "{elapsed:?}");
}

#[tokio::test]
async fn a_slow_server_that_has_not_restarted_is_waited_for() {
    let server = ScriptedServer::new("s-1", |request| {
        [wait_for_release(request), answer_ok(request)].concat()
    })
    .await;
    let settings = RelaySettings { silence_ms: 50, ..RelaySettings::default() };
    let gateway =
        TestGateway::with_settings(settings, Some(route_table(vec![at_most_once_route()])), &[])
            .await;
    gateway.add_server("s-1@10", server.address);
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", "", "x")).await;
    wait_until("the request has reached the server", || server.requests().len() == 1).await;
    // Longer than it takes to detect a restart. This only sets up the test.
    sleep(Duration::from_millis(600)).await;
    gateway.add_server("s-1@5", server.address);
    server.release();
    assert_eq!(caller.read_reply().await.status, 200);
}

#[tokio::test]
async fn a_stream_resumes_after_its_last_event_at_the_restarted_server() {
    let first = ScriptedServer::new("s-1", |request| {
        vec![stream_head(request), chunk(&event(1, "a")), Step::WaitForRelease]
    })
    .await;
    let restarted = ScriptedServer::new("s-1", |request| {
        assert_eq!(request.header("x-last-event"), Some("1"));
        vec![stream_head(request), chunk(&event(2, "b")), last_chunk()]
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![resumable_stream_route()])), &[]).await;
    gateway.add_server("s-1@10", first.address);
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", "", "")).await;
    caller.read_head().await;
    assert_eq!(caller.read_chunk().await, Some(event(1, "a")));
    gateway.add_server("s-1@20", restarted.address);
    assert_eq!(caller.read_chunk().await, Some(event(2, "b")));
    assert_eq!(caller.read_chunk().await.as_deref(), Some(""));
}

#[tokio::test]
async fn a_restarted_server_gets_new_connections() {
    let first = ScriptedServer::new("s-1", answer_ok).await;
    let second = ScriptedServer::new("s-1", answer_ok).await;
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[]).await;
    gateway.add_server("s-1@10", first.address);
    assert_eq!(call(gateway.address, &post("t-1", "", "x")).await.status, 200);
    gateway.add_server("s-1@20", second.address);
    assert_eq!(call(gateway.address, &post("t-2", "", "x")).await.status, 200);
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
    assert_eq!(second.requests()[0].header("x-expected"), Some("s-1"), "only the name is sent");
}

/// The server of a turn is recorded with its incarnation, since a later incarnation holds none of
/// the turn's state.
#[tokio::test]
async fn the_ledger_records_the_incarnation_that_served_a_turn() {
    let server =
        ScriptedServer::new("s-1", |request| vec![stream_head(request), last_chunk()]).await;
    let gateway = TestGateway::new(Some(route_table(vec![retained_turns_route()])), &[]).await;
    gateway.add_server("s-1@10", server.address);
    let headers = "X-Program: p\r\nX-Tokens: 1,9\r\n";
    assert_eq!(call(gateway.address, &post("t-1", headers, "x")).await.status, 200);
    wait_until("the end is submitted", || !gateway.ledger.closed_turns().is_empty()).await;
    let closed = format!("{:?}", gateway.ledger.closed_turns());
    assert!(closed.contains("s-1@10"), "{closed}");
}

/// A server that restarted without notice resets requests on older connections. After the first
/// reset, its other old connections must not be used.
#[tokio::test]
async fn after_one_reset_all_idle_connections_of_a_server_are_dropped() {
    // Each connection gives one answer and is reset at its second request.
    let used = std::sync::Arc::new(std::sync::Mutex::new(std::collections::BTreeSet::new()));
    let server = ScriptedServer::new("s-1", move |request: &ReceivedRequest| {
        let is_first = used.lock().expect("the lock is not poisoned").insert(request.connection);
        let slow = request.body == "slow";
        match (is_first, slow) {
            (true, true) => [wait_for_release(request), answer_ok(request)].concat(),
            (true, false) => answer_ok(request),
            (false, _) => vec![Step::Reset],
        }
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![at_most_once_route()])), &[]).await;
    gateway.add_server("s-1@10", server.address);
    // Three connections are used at once and then idle.
    let mut callers = Vec::new();
    for number in 0..3 {
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post(&format!("t-{number}"), "", "slow")).await;
        callers.push(caller);
    }
    wait_until("all requests have reached the server", || server.requests().len() == 3).await;
    server.release();
    for caller in &mut callers {
        assert_eq!(caller.read_reply().await.status, 200);
    }
    // Longer than a connection is idle before it counts as possibly dropped. This only sets up the
    // test.
    sleep(Duration::from_millis(300)).await;
    assert_eq!(call(gateway.address, &post("u-1", "", "x")).await.status, 502);
    // Repeatable requests use new connections too.
    gateway.relay.set_routes(std::sync::Arc::new(route_table(vec![repeatable_route()])));
    assert_eq!(call(gateway.address, &post("u-2", "", "x")).await.status, 200);
    let last = server.requests().pop().expect("the server received it");
    assert_eq!(last.line.split(' ').next(), Some("POST"));
    assert!(last.connection >= 3, "not one of the three that were idle");
    assert_eq!(server.connections(), 4, "the one that showed that the server lives on is used");
}
