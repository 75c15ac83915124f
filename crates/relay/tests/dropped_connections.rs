//! Servers that silently drop idle connections.

mod common;

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::time::Duration;

use common::caller::{call, post};
use common::scripted_server::{ReceivedRequest, ScriptedServer, Step, answer_ok};
use common::{TestGateway, at_most_once_route, repeatable_route, route_table};
use dahlia_relay::Route;
use tokio::time::sleep;

/// Longer than a connection is idle before it counts as possibly dropped. This only sets up the
/// test: each connection is reset at its second request, however long it was idle.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Resets each connection at its second request.
fn reset_second_requests() -> impl Fn(&ReceivedRequest) -> Vec<Step> + Clone + Send + Sync + 'static
{
    let used = std::sync::Arc::new(Mutex::new(BTreeSet::new()));
    move |request: &ReceivedRequest| {
        let is_first = used.lock().expect("the lock is not poisoned").insert(request.connection);
        if is_first { answer_ok(request) } else { vec![Step::Reset] }
    }
}

async fn server_and_gateway(route: Route) -> (ScriptedServer, TestGateway) {
    let server = ScriptedServer::new("s-1", reset_second_requests()).await;
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[&server]).await;
    (server, gateway)
}

async fn status(gateway: &TestGateway, attempt: &str) -> u16 {
    call(gateway.address, &post(attempt, "", "x")).await.status
}

#[tokio::test]
async fn after_one_reset_requests_that_run_once_use_no_idle_connections() {
    let (server, gateway) = server_and_gateway(at_most_once_route()).await;
    assert_eq!(status(&gateway, "t-1").await, 200);
    sleep(IDLE_TIME).await;
    assert_eq!(status(&gateway, "t-2").await, 502, "whether it ran is unknown");
    for attempt in ["t-3", "t-4", "t-5"] {
        assert_eq!(status(&gateway, attempt).await, 200, "{attempt}");
        sleep(IDLE_TIME).await;
    }
    let connections: Vec<usize> =
        server.requests().iter().map(|request| request.connection).collect();
    assert_eq!(connections, vec![0, 0, 1, 2, 3]);
}

#[tokio::test]
async fn a_dropped_connection_is_not_reported_as_a_server_failure() {
    let (_server, gateway) = server_and_gateway(at_most_once_route()).await;
    let (sender, reported) = std::sync::mpsc::channel();
    let listener = move |id: &dahlia_backends::BackendId| {
        sender.send(id.clone()).expect("the receiver exists")
    };
    gateway.backends.lock().expect("the lock is not poisoned").on_failure(Box::new(listener));
    assert_eq!(status(&gateway, "t-1").await, 200);
    sleep(IDLE_TIME).await;
    assert_eq!(status(&gateway, "t-2").await, 502);
    assert_eq!(reported.try_iter().count(), 0);
}

#[tokio::test]
async fn a_repeatable_request_still_uses_idle_connections() {
    let (server, gateway) = server_and_gateway(repeatable_route()).await;
    let other = ScriptedServer::new("s-2", reset_second_requests()).await;
    gateway.add_server(&other.id, other.address);
    for attempt in ["t-1", "t-2", "t-3", "t-4", "t-5", "t-6"] {
        assert_eq!(status(&gateway, attempt).await, 200, "{attempt}");
        sleep(IDLE_TIME).await;
    }
    let requests = [server.requests(), other.requests()].concat();
    assert!(requests.len() > 6, "some kept connection was tried and reset: {}", requests.len());
}
