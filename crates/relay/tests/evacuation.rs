//! Evacuated zones: requests in progress complete, and no further request reaches a server there.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration as StdDuration;

use common::caller::{Caller, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer_ok, chunk, event, last_chunk, refuse_not_run,
    stream_head,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route,
    retained_turns_route, route_table, service_name, wait_until,
};
use dahlia_backends::{BackendId, BackendRecord, BackendState, ColdLimit};
use dahlia_ledger::{LedgerReply, OpenedTurn, TurnEnd};
use dahlia_relay::Route;
use dahlia_types::{Duration, Timestamp, Zone};
use tokio::time::Instant;

/// The headers that a turn's request must have.
const TURN_HEADERS: &str =
    "X-Program: p-1\r\nX-Budget: 500\r\nX-Tokens: 9,80\r\nX-Previous: t-0\r\n";
/// Less than callers wait, since the refusal must come at once.
const MAX_REFUSAL_TIME: StdDuration = StdDuration::from_secs(2);

fn zones(names: &[&str]) -> BTreeSet<Zone> {
    names.iter().map(|name| Zone::new(*name)).collect()
}

/// Creates a gateway with one server in each zone. Each zone has the name of its server.
async fn gateway_with_zones(route: Route, servers: &[&ScriptedServer]) -> TestGateway {
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[]).await;
    for server in servers {
        let record = BackendRecord {
            id: BackendId::from(server.id.as_str()),
            service: service_name(),
            address: server.address,
            zone: Zone::new(server.id.as_str()),
            slots: 8,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
            version: dahlia_backends::SoftwareVersion::default(),
        };
        gateway.backends.lock().expect("the lock is not poisoned").put(record, Timestamp(0));
    }
    gateway
}

fn stream_with_wait(request: &ReceivedRequest) -> Vec<Step> {
    let (first, second) = (event(1, "a"), event(2, "b"));
    vec![stream_head(request), chunk(&first), Step::WaitForRelease, chunk(&second), last_chunk()]
}

#[tokio::test]
async fn a_stream_in_progress_completes_and_its_connection_closes() {
    let evacuated = ScriptedServer::new("a", stream_with_wait).await;
    let gateway =
        gateway_with_zones(Route { is_stream: true, ..at_most_once_route() }, &[&evacuated]).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t-1", "", "")).await;
    assert_eq!(caller.read_head().await.status, 200);
    assert_eq!(caller.read_chunk().await, Some(event(1, "a")));
    gateway.relay.evacuate(zones(&["a"]));
    let readings = gateway.relay.counters();
    assert_eq!((readings.evacuated_zones, readings.in_evacuated_zones), (1, 1));
    evacuated.release();
    assert_eq!(caller.read_chunk().await, Some(event(2, "b")));
    assert_eq!(caller.read_chunk().await.as_deref(), Some(""), "whole");
    wait_until("the connection closes", || evacuated.closed() == 1).await;
    wait_until("the zone is empty", || gateway.relay.counters().in_evacuated_zones == 0).await;
    assert_eq!(evacuated.requests().len(), 1);
}

#[tokio::test]
async fn an_idle_connection_closes_and_a_restored_zone_gets_a_new_one() {
    let evacuated = ScriptedServer::new("a", answer_ok).await;
    let gateway = gateway_with_zones(at_most_once_route(), &[&evacuated]).await;
    assert_eq!(call(gateway.address, &post("t-1", "", "x")).await.status, 200);
    gateway.relay.evacuate(zones(&["a"]));
    wait_until("the idle connection closes", || evacuated.closed() == 1).await;
    gateway.relay.evacuate(BTreeSet::new());
    assert_eq!(call(gateway.address, &post("t-2", "", "x")).await.status, 200);
    assert_eq!(evacuated.connections(), 2);
}

#[tokio::test]
async fn an_idle_connection_to_another_zone_stays_open() {
    let kept = ScriptedServer::new("a", answer_ok).await;
    let gateway = gateway_with_zones(at_most_once_route(), &[&kept]).await;
    assert_eq!(call(gateway.address, &post("t-1", "", "x")).await.status, 200);
    gateway.relay.evacuate(zones(&["b"]));
    assert_eq!(call(gateway.address, &post("t-2", "", "x")).await.status, 200);
    assert_eq!((kept.connections(), kept.closed()), (1, 0));
}

/// Sends a request to a gateway with six servers. The server that gets it first follows `first`,
/// after all zones but its own and one other are evacuated; later requests follow `second`. Returns
/// the order in which servers got the request, and the other zone that was left.
async fn second_attempt_of(
    route: Route,
    first: fn(&ReceivedRequest) -> Vec<Step>,
    second: fn(&ReceivedRequest) -> Vec<Step>,
) -> (Vec<String>, String) {
    const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    let order: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut servers = Vec::new();
    for id in IDS {
        let order = Arc::clone(&order);
        let script = move |request: &ReceivedRequest| {
            let mut order = order.lock().expect("the lock is not poisoned");
            order.push(id.to_owned());
            if order.len() == 1 {
                [vec![Step::WaitForRelease], first(request)].concat()
            } else {
                second(request)
            }
        };
        servers.push(ScriptedServer::new(id, script).await);
    }
    let gateway = gateway_with_zones(route, &servers.iter().collect::<Vec<_>>()).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", "", "prompt")).await;
    wait_until("a server has received the request", || {
        !order.lock().expect("the lock is not poisoned").is_empty()
    })
    .await;
    let first = order.lock().expect("the lock is not poisoned")[0].clone();
    let left = if first == IDS[0] { IDS[1] } else { IDS[0] };
    let evacuated: Vec<&str> = IDS.into_iter().filter(|id| *id != first && *id != left).collect();
    gateway.relay.evacuate(zones(&evacuated));
    servers.iter().for_each(ScriptedServer::release);
    let reply = caller.read_reply().await;
    assert!(reply.status == 200 && reply.is_whole, "{reply:?}");
    let order = order.lock().expect("the lock is not poisoned").clone();
    (order, left.to_owned())
}

#[tokio::test]
async fn a_second_attempt_and_a_resumed_stream_avoid_evacuated_zones() {
    struct Case {
        name: &'static str,
        route: Route,
        first: fn(&ReceivedRequest) -> Vec<Step>,
        second: fn(&ReceivedRequest) -> Vec<Step>,
    }
    let stream_from =
        |request: &ReceivedRequest| vec![stream_head(request), chunk(&event(2, "b")), last_chunk()];
    let cases = [
        Case {
            name: "after a refusal",
            route: at_most_once_route(),
            first: refuse_not_run,
            second: answer_ok,
        },
        Case {
            name: "after a lost answer",
            route: repeatable_route(),
            first: |_| vec![Step::Reset],
            second: answer_ok,
        },
        Case {
            name: "a broken stream",
            route: resumable_stream_route(),
            first: |request| vec![stream_head(request), chunk(&event(1, "a")), Step::Reset],
            second: stream_from,
        },
    ];
    for Case { name, route, first, second } in cases {
        let (order, left) = second_attempt_of(route, first, second).await;
        assert_eq!(order[1..], [left], "{name}: {order:?}");
    }
}

#[tokio::test]
async fn a_turn_with_its_prompt_in_an_evacuated_zone_moves_and_the_ledger_records_the_new_server() {
    let whole =
        |request: &ReceivedRequest| vec![stream_head(request), chunk(&event(1, "a")), last_chunk()];
    let (evacuated, other) =
        (ScriptedServer::new("a", whole).await, ScriptedServer::new("b", whole).await);
    let gateway = gateway_with_zones(
        Route { is_sticky: true, ..retained_turns_route() },
        &[&evacuated, &other],
    )
    .await;
    let opened =
        || OpenedTurn { history: b"said\n".to_vec(), last_served_by: Some("a".to_owned()) };
    gateway.ledger.queue_open_reply(Ok(LedgerReply::Opened(opened())));
    assert!(call(gateway.address, &post("t-1", TURN_HEADERS, "more")).await.is_whole);
    assert_eq!(evacuated.requests().len(), 1, "its prompt is held there");
    gateway.relay.evacuate(zones(&["a"]));
    gateway.ledger.queue_open_reply(Ok(LedgerReply::Opened(opened())));
    assert!(call(gateway.address, &post("t-2", TURN_HEADERS, "more")).await.is_whole);
    assert_eq!((evacuated.requests().len(), other.requests().len()), (1, 1));
    let served_by = |end: &TurnEnd| match end {
        TurnEnd::Completed { served_by, .. } => served_by.clone(),
        end => format!("{end:?}"),
    };
    let ends: Vec<String> = gateway.ledger.turn_ends().iter().map(served_by).collect();
    assert_eq!(ends, ["a", "b"]);
}

#[tokio::test]
async fn with_all_zones_evacuated_requests_are_refused_at_once_with_a_retry_time() {
    let (one, two) =
        (ScriptedServer::new("a", answer_ok).await, ScriptedServer::new("b", answer_ok).await);
    let gateway = gateway_with_zones(at_most_once_route(), &[&one, &two]).await;
    gateway.relay.evacuate(zones(&["a", "b"]));
    let began = Instant::now();
    let reply = call(gateway.address, &post("t-1", "", "x")).await;
    assert_eq!(reply.status, 503);
    let wait = reply.header("retry-after").expect("a retry time");
    assert!(wait.parse::<f64>().is_ok_and(|seconds| seconds > 0.0), "{wait}");
    assert!(began.elapsed() < MAX_REFUSAL_TIME);
    assert_eq!((one.connections(), two.connections()), (0, 0));
}

#[tokio::test]
async fn servers_of_a_restored_zone_count_as_cold_if_their_service_has_a_cold_limit() {
    let (evacuated, other) =
        (ScriptedServer::new("a", answer_ok).await, ScriptedServer::new("b", answer_ok).await);
    let gateway = gateway_with_zones(repeatable_route(), &[&evacuated, &other]).await;
    let limit = ColdLimit { lasts: Duration::from_secs(3), per_s: 24.0 };
    let limits = BTreeMap::from([(service_name(), limit)]);
    gateway.backends.lock().expect("the lock is not poisoned").set_cold_limits(limits);
    let cold = || {
        gateway.backends.lock().expect("the lock is not poisoned").cold_stats(Timestamp::ZERO).cold
    };
    gateway.relay.evacuate(zones(&["a"]));
    assert_eq!(cold(), 0);
    gateway.relay.evacuate(BTreeSet::new());
    assert_eq!(cold(), 1);
}
