//! Zones that are to be emptied: what is under way ends, and nothing further reaches a server there.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration as StdDuration;

use common::caller::{Caller, call, post};
use common::stand_in::{Got, StandIn, Step, chunk, event, last_chunk, ok, shed, stream_head};
use common::{Bed, once, resumable, route, service_name, table, turns, until};
use dahlia_backends::{BackendId, BackendRecord, BackendState, ColdLimit};
use dahlia_ledger::{LedgerReply, OpenedTurn, TurnEnd};
use dahlia_relay::Route;
use dahlia_types::{Duration, Timestamp, Zone};
use tokio::time::Instant;

/// What a turn's request must name.
const TURN: &str = "X-Program: p-1\r\nX-Budget: 500\r\nX-Tokens: 9,80\r\nX-Previous: t-0\r\n";
/// Less than callers wait: a refusal comes at once.
const AT_ONCE: StdDuration = StdDuration::from_secs(2);

fn zones(names: &[&str]) -> BTreeSet<Zone> {
    names.iter().map(|name| Zone::new(*name)).collect()
}

/// A relay before one server for each zone; the server is named as its zone.
async fn bed(route: Route, servers: &[&StandIn]) -> Bed {
    let bed = Bed::new(Some(table(vec![route])), &[]).await;
    for server in servers {
        let record = BackendRecord {
            id: BackendId::from(server.id.as_str()),
            service: service_name(),
            address: server.address,
            zone: Zone::new(server.id.as_str()),
            slots: 8,
            state: BackendState::Ready,
            cold_for: Duration::ZERO,
        };
        bed.backends.lock().expect("whole").put(record, Timestamp(0));
    }
    bed
}

fn stream_that_waits(got: &Got) -> Vec<Step> {
    let (first, second) = (event(1, "a"), event(2, "b"));
    vec![stream_head(got), chunk(&first), Step::Wait, chunk(&second), last_chunk()]
}

#[tokio::test]
async fn a_stream_under_way_ends_as_it_is_and_its_connection_closes() {
    let emptied = StandIn::new("a", stream_that_waits).await;
    let bed = bed(Route { is_stream: true, ..once() }, &[&emptied]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t-1", "", "")).await;
    assert_eq!(caller.head().await.status, 200);
    assert_eq!(caller.chunk().await, Some(event(1, "a")));
    bed.relay.evacuate(zones(&["a"]));
    let readings = bed.relay.counters();
    assert_eq!((readings.evacuated_zones, readings.in_evacuated_zones), (1, 1));
    emptied.release();
    assert_eq!(caller.chunk().await, Some(event(2, "b")));
    assert_eq!(caller.chunk().await.as_deref(), Some(""), "whole");
    until("the connection closes", || emptied.closed() == 1).await;
    until("the zone is empty", || bed.relay.counters().in_evacuated_zones == 0).await;
    assert_eq!(emptied.got().len(), 1);
}

#[tokio::test]
async fn an_idle_connection_closes_and_a_zone_taken_back_gets_a_new_one() {
    let emptied = StandIn::new("a", ok).await;
    let bed = bed(once(), &[&emptied]).await;
    assert_eq!(call(bed.address, &post("t-1", "", "x")).await.status, 200);
    bed.relay.evacuate(zones(&["a"]));
    until("the idle connection closes", || emptied.closed() == 1).await;
    bed.relay.evacuate(BTreeSet::new());
    assert_eq!(call(bed.address, &post("t-2", "", "x")).await.status, 200);
    assert_eq!(emptied.connections(), 2);
}

#[tokio::test]
async fn an_idle_connection_elsewhere_stays() {
    let kept = StandIn::new("a", ok).await;
    let bed = bed(once(), &[&kept]).await;
    assert_eq!(call(bed.address, &post("t-1", "", "x")).await.status, 200);
    bed.relay.evacuate(zones(&["b"]));
    assert_eq!(call(bed.address, &post("t-2", "", "x")).await.status, 200);
    assert_eq!((kept.connections(), kept.closed()), (1, 0));
}

/// Six servers, of which whichever gets a request first has it end badly after the test has ordered
/// the zones of all others but one to be emptied. Where it went, and the zone that was left.
async fn second_try_of(
    route: Route,
    first: fn(&Got) -> Vec<Step>,
    then: fn(&Got) -> Vec<Step>,
) -> (Vec<String>, String) {
    const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    let order: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut servers = Vec::new();
    for id in IDS {
        let order = Arc::clone(&order);
        let script = move |got: &Got| {
            let mut order = order.lock().expect("whole");
            order.push(id.to_owned());
            if order.len() == 1 { [vec![Step::Wait], first(got)].concat() } else { then(got) }
        };
        servers.push(StandIn::new(id, script).await);
    }
    let bed = bed(route, &servers.iter().collect::<Vec<_>>()).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t", "", "prompt")).await;
    until("a server has it", || !order.lock().expect("whole").is_empty()).await;
    let first = order.lock().expect("whole")[0].clone();
    let left = if first == IDS[0] { IDS[1] } else { IDS[0] };
    let emptied: Vec<&str> = IDS.into_iter().filter(|id| *id != first && *id != left).collect();
    bed.relay.evacuate(zones(&emptied));
    servers.iter().for_each(StandIn::release);
    let reply = caller.reply().await;
    assert!(reply.status == 200 && reply.is_whole, "{reply:?}");
    let order = order.lock().expect("whole").clone();
    (order, left.to_owned())
}

#[tokio::test]
async fn a_second_try_and_a_resumed_stream_go_elsewhere() {
    struct Case {
        name: &'static str,
        route: Route,
        first: fn(&Got) -> Vec<Step>,
        then: fn(&Got) -> Vec<Step>,
    }
    let stream_from = |got: &Got| vec![stream_head(got), chunk(&event(2, "b")), last_chunk()];
    let cases = [
        Case { name: "after a refusal", route: once(), first: shed, then: ok },
        Case {
            name: "after a lost answer",
            route: route(),
            first: |_| vec![Step::Reset],
            then: ok,
        },
        Case {
            name: "a broken stream",
            route: resumable(),
            first: |got| vec![stream_head(got), chunk(&event(1, "a")), Step::Reset],
            then: stream_from,
        },
    ];
    for Case { name, route, first, then } in cases {
        let (order, left) = second_try_of(route, first, then).await;
        assert_eq!(order[1..], [left], "{name}: {order:?}");
    }
}

#[tokio::test]
async fn a_turn_whose_prompt_lies_there_moves_and_the_ledger_names_the_new_server() {
    let whole = |got: &Got| vec![stream_head(got), chunk(&event(1, "a")), last_chunk()];
    let (emptied, other) = (StandIn::new("a", whole).await, StandIn::new("b", whole).await);
    let bed = bed(Route { is_sticky: true, ..turns() }, &[&emptied, &other]).await;
    let opened =
        || OpenedTurn { history: b"said\n".to_vec(), last_served_by: Some("a".to_owned()) };
    bed.ledger.next_open(Ok(LedgerReply::Opened(opened())));
    assert!(call(bed.address, &post("t-1", TURN, "more")).await.is_whole);
    assert_eq!(emptied.got().len(), 1, "its prompt lies there");
    bed.relay.evacuate(zones(&["a"]));
    bed.ledger.next_open(Ok(LedgerReply::Opened(opened())));
    assert!(call(bed.address, &post("t-2", TURN, "more")).await.is_whole);
    assert_eq!((emptied.got().len(), other.got().len()), (1, 1));
    let served_by = |end: &TurnEnd| match end {
        TurnEnd::Completed { served_by, .. } => served_by.clone(),
        end => format!("{end:?}"),
    };
    let ends: Vec<String> = bed.ledger.ends().iter().map(served_by).collect();
    assert_eq!(ends, ["a", "b"]);
}

#[tokio::test]
async fn with_all_zones_evacuated_requests_are_refused_at_once_with_a_time_to_come_back() {
    let (one, two) = (StandIn::new("a", ok).await, StandIn::new("b", ok).await);
    let bed = bed(once(), &[&one, &two]).await;
    bed.relay.evacuate(zones(&["a", "b"]));
    let began = Instant::now();
    let reply = call(bed.address, &post("t-1", "", "x")).await;
    assert_eq!(reply.status, 503);
    let wait = reply.header("retry-after").expect("a time to come back");
    assert!(wait.parse::<f64>().is_ok_and(|seconds| seconds > 0.0), "{wait}");
    assert!(began.elapsed() < AT_ONCE);
    assert_eq!((one.connections(), two.connections()), (0, 0));
}

#[tokio::test]
async fn a_zone_that_is_taken_back_counts_as_cold_where_that_matters() {
    let (emptied, other) = (StandIn::new("a", ok).await, StandIn::new("b", ok).await);
    let bed = bed(route(), &[&emptied, &other]).await;
    let limit = ColdLimit { lasts: Duration::from_secs(3), per_s: 24.0 };
    let limits = BTreeMap::from([(service_name(), limit)]);
    bed.backends.lock().expect("whole").set_cold_limits(limits);
    let cold = || bed.backends.lock().expect("whole").cold_stats(Timestamp::ZERO).cold;
    bed.relay.evacuate(zones(&["a"]));
    assert_eq!(cold(), 0);
    bed.relay.evacuate(BTreeSet::new());
    assert_eq!(cold(), 1);
}
