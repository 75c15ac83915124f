//! Streams: pieces are forwarded as they arrive, broken streams resume, and a stream that is not
//! complete never looks complete.

mod common;

use common::caller::{Caller, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, answer, chunk, event, last_chunk, refuse_not_run,
    stream_head,
};
use common::{TestGateway, at_most_once_route, resumable_stream_route, route_table, wait_until};
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::{Duration, Timestamp};

fn complete_stream(request: &ReceivedRequest, events: std::ops::Range<u32>) -> Vec<Step> {
    let events = events.map(|id| chunk(&event(id, &format!("d{id}"))));
    let mut steps = vec![stream_head(request)];
    steps.extend(events);
    steps.push(last_chunk());
    steps
}

fn events_text(events: std::ops::Range<u32>) -> String {
    events.map(|id| event(id, &format!("d{id}"))).collect()
}

#[tokio::test]
async fn pieces_are_forwarded_as_they_arrive() {
    let plain = Route { is_stream: true, ..at_most_once_route() };
    for route in [resumable_stream_route(), plain] {
        let server = ScriptedServer::new("s-1", |request| {
            let (first, second) = (event(1, "a"), event(2, "b"));
            vec![
                stream_head(request),
                chunk(&first),
                Step::WaitForRelease,
                chunk(&second),
                last_chunk(),
            ]
        })
        .await;
        let gateway = TestGateway::new(Some(route_table(vec![route])), &[&server]).await;
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post("t", "", "")).await;
        let head = caller.read_head().await;
        assert_eq!((head.status, head.header("x-signature")), (200, Some("s-1")));
        assert_eq!(caller.read_chunk().await, Some(event(1, "a")));
        server.release();
        assert_eq!(caller.read_chunk().await, Some(event(2, "b")));
        assert_eq!(caller.read_chunk().await.as_deref(), Some(""));
        wait_until("no request is in progress", || gateway.relay.in_progress() == 0).await;
        assert_eq!(caller.call(&post("u", "", "")).await.status, 200, "connections are reused");
        assert!(server.requests().iter().all(|request| request.connection == 0));
    }
}

/// Calls a gateway with two servers. The one that gets the request first follows `first`, the other
/// follows `resumed`.
async fn call_with_broken_stream(
    route: Route,
    first: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + Clone + 'static,
    resumed: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + Clone + 'static,
) -> (common::caller::Reply, Vec<ReceivedRequest>, TestGateway) {
    let order = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let script = move |request: &ReceivedRequest| {
        let mut order = order.lock().expect("the lock is not poisoned");
        order.push(request.clone());
        if order.len() == 1 { first(request) } else { resumed(request) }
    };
    let one = ScriptedServer::new("s-1", script.clone()).await;
    let two = ScriptedServer::new("s-2", script).await;
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[&one, &two]).await;
    let reply = call(gateway.address, &post("t", "", "prompt")).await;
    let mut requests = [one.requests(), two.requests()].concat();
    requests.sort_by_key(|request| request.header("x-last-event").is_some());
    (reply, requests, gateway)
}

fn break_inside_third_event(request: &ReceivedRequest) -> Vec<Step> {
    vec![stream_head(request), chunk(&events_text(1..3)), chunk("id: 3\nda"), Step::Reset]
}

#[tokio::test]
async fn a_stream_that_breaks_inside_an_event_resumes_after_the_last_complete_one() {
    let resumed = |request: &ReceivedRequest| complete_stream(request, 3..6);
    let (reply, requests, gateway) =
        call_with_broken_stream(resumable_stream_route(), break_inside_third_event, resumed).await;
    assert_eq!((reply.body.as_str(), reply.is_whole), (events_text(1..6).as_str(), true));
    assert_eq!(reply.header("x-signature"), Some("s-1"));
    assert_eq!(requests.len(), 2);
    assert_eq!(requests[1].header("x-last-event"), Some("2"));
    assert_eq!((requests[1].attempt(), requests[1].body.as_str()), ("t", "prompt"));
    assert_eq!(gateway.relay.counters().resumed, 1);
}

#[tokio::test]
async fn replayed_events_are_dropped() {
    let resumed = |request: &ReceivedRequest| complete_stream(request, 1..6);
    let (reply, _, _gateway) =
        call_with_broken_stream(resumable_stream_route(), break_inside_third_event, resumed).await;
    assert_eq!((reply.body.as_str(), reply.is_whole), (events_text(1..6).as_str(), true));
}

/// Replayed events arrive as fast as they are read, so their intervals say nothing of the server's
/// speed.
#[tokio::test]
async fn replayed_events_are_not_timed() {
    let script = |request: &ReceivedRequest| match request.header("x-last-event") {
        None => {
            vec![stream_head(request), chunk(&events_text(1..3)), Step::WaitForRelease, Step::Reset]
        }
        Some(_) => {
            vec![
                stream_head(request),
                chunk(&events_text(3..4)),
                Step::WaitForRelease,
                chunk(&events_text(2..3)),
                last_chunk(),
            ]
        }
    };
    let one = ScriptedServer::new("s-1", script).await;
    let two = ScriptedServer::new("s-2", script).await;
    let gateway =
        TestGateway::new(Some(route_table(vec![resumable_stream_route()])), &[&one, &two]).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", "", "")).await;
    caller.read_head().await;
    for id in 1..3 {
        assert_eq!(caller.read_chunk().await, Some(events_text(id..id + 1)));
    }
    let (first, second) = if one.requests().is_empty() { (two, one) } else { (one, two) };
    first.release();
    assert_eq!(caller.read_chunk().await, Some(events_text(3..4)));
    second.release();
    assert_eq!(caller.read_chunk().await.as_deref(), Some(""));
    wait_until("no request is in progress", || gateway.relay.in_progress() == 0).await;
    let loads =
        gateway.backends.lock().expect("the lock is not poisoned").take_own_loads(Timestamp(0));
    assert_eq!(loads.iter().map(|load| load.times.tokens).sum::<u32>(), 0, "{loads:?}");
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_starts_over() {
    let first =
        |request: &ReceivedRequest| vec![stream_head(request), chunk("id: 1\n"), Step::Close];
    let resumed = |request: &ReceivedRequest| complete_stream(request, 1..3);
    let (reply, requests, _gateway) =
        call_with_broken_stream(resumable_stream_route(), first, resumed).await;
    assert_eq!((reply.body, reply.is_whole), (events_text(1..3), true));
    assert!(requests.iter().all(|request| request.header("x-last-event").is_none()));
}

#[tokio::test]
async fn a_stream_that_cannot_be_resumed_is_broken_off() {
    let plain = Route { is_stream: true, ..common::repeatable_route() };
    let only = Route { max_attempts: 1, ..resumable_stream_route() };
    for route in [plain, only] {
        let resumed = |request: &ReceivedRequest| complete_stream(request, 3..6);
        let first = break_inside_third_event;
        let (reply, requests, gateway) = call_with_broken_stream(route, first, resumed).await;
        assert_eq!((reply.status, reply.is_whole, requests.len()), (200, false, 1));
        assert!(reply.body.starts_with(&events_text(1..3)));
        assert_eq!(gateway.relay.counters().broken_off, 1);
    }
}

#[tokio::test]
async fn a_stream_of_a_server_that_has_ended_resumes_despite_the_attempt_limit() {
    let only = Route { max_attempts: 1, ..resumable_stream_route() };
    let dies = |request: &ReceivedRequest| {
        vec![stream_head(request), chunk(&events_text(1..3)), Step::StopAndReset]
    };
    let (reply, requests, _gateway) =
        call_with_broken_stream(only, dies, |request| complete_stream(request, 3..5)).await;
    assert!(reply.is_whole);
    assert_eq!(reply.body, events_text(1..5));
    assert_eq!((requests.len(), requests[1].header("x-last-event")), (2, Some("2")));
}

#[tokio::test]
async fn a_stream_is_broken_off_when_no_server_resumes_it() {
    for resumed in [refuse_not_run as fn(&ReceivedRequest) -> Vec<Step>, |request| {
        vec![answer(request, "500 Bad", "", "")]
    }] {
        let first = break_inside_third_event;
        let (reply, requests, _gateway) =
            call_with_broken_stream(resumable_stream_route(), first, resumed).await;
        assert_eq!((reply.body, reply.is_whole, requests.len()), (events_text(1..3), false, 2));
    }
}

#[tokio::test]
async fn a_stream_without_a_first_piece_is_a_lost_answer() {
    let first = |request: &ReceivedRequest| vec![stream_head(request), Step::Reset];
    let plain = Route { is_stream: true, ..common::repeatable_route() };
    let (reply, requests, _gateway) = call_with_broken_stream(plain, first, first).await;
    assert_eq!((reply.status, requests.len()), (502, 1));
}

#[tokio::test]
async fn bytes_after_the_last_event_belong_to_the_stream() {
    let server = ScriptedServer::new("s-1", |request| {
        let rest = "weight-versions: 2\nid: 2\ndata: b\n\n: bye";
        vec![stream_head(request), chunk(&event(1, "a")), chunk(rest), last_chunk()]
    })
    .await;
    let gateway =
        TestGateway::new(Some(route_table(vec![resumable_stream_route()])), &[&server]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    let expected = format!("{}weight-versions: 2\nid: 2\ndata: b\n\n: bye", event(1, "a"));
    assert_eq!((reply.body, reply.is_whole), (expected, true));
}

#[tokio::test]
async fn a_stream_is_cut_off_at_its_deadline() {
    let short = Route { timeout: Duration::from_millis(250), ..resumable_stream_route() };
    let server = ScriptedServer::new("s-1", |request| {
        vec![stream_head(request), chunk(&event(1, "a")), Step::WaitForClose]
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![short])), &[&server]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert_eq!((reply.body, reply.is_whole), (event(1, "a"), false));
    wait_until("the server sees the close", || server.closed() == 1).await;
    assert_eq!(server.requests().len(), 1, "no server resumes it after the deadline");
}

#[tokio::test]
async fn the_connection_to_the_server_closes_when_the_caller_leaves_a_stream() {
    let server = ScriptedServer::new("s-1", |request| {
        vec![stream_head(request), chunk(&event(1, "a")), Step::WaitForClose]
    })
    .await;
    let gateway =
        TestGateway::new(Some(route_table(vec![resumable_stream_route()])), &[&server]).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", "", "")).await;
    caller.read_head().await;
    caller.read_chunk().await.expect("the first event");
    drop(caller);
    wait_until("the server sees the close", || server.closed() == 1).await;
    wait_until("no request is in progress", || gateway.relay.in_progress() == 0).await;
    assert_eq!(server.requests().len(), 1);
}

#[tokio::test]
async fn a_caller_that_stops_reading_is_disconnected_at_the_deadline() {
    // This is more than all buffers on the path can hold.
    let server = ScriptedServer::new("s-1", |request| {
        let piece = chunk(&"x".repeat(1 << 20));
        [vec![stream_head(request)], vec![piece; 48], vec![Step::WaitForClose]].concat()
    })
    .await;
    let gateway = TestGateway::new(
        Some(route_table(vec![Route { is_stream: true, ..at_most_once_route() }])),
        &[&server],
    )
    .await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", "X-Deadline: 400\r\n", "")).await;
    caller.read_head().await;
    wait_until("the connection is dropped", || gateway.relay.counters().open_connections == 0)
        .await;
    assert_eq!(gateway.relay.in_progress(), 0);
    drop(caller);
}

struct UnresponsiveCase {
    name: &'static str,
    first: fn(&ReceivedRequest) -> Vec<Step>,
    /// The events that the caller gets.
    events: std::ops::Range<u32>,
}

/// A server loses power or is cut off: its connections are silent, and new ones hang. A paused server
/// looks the same and may run the request, so the route must allow another one (tests/repeats.rs).
#[tokio::test]
async fn a_request_continues_at_another_server_when_its_server_stops_responding() {
    let two_attempts = || Route { max_attempts: 2, ..resumable_stream_route() };
    let cases = [
        UnresponsiveCase {
            name: "in its answer",
            first: |request| {
                vec![stream_head(request), chunk(&events_text(1..3)), Step::StopResponding]
            },
            events: 1..5,
        },
        UnresponsiveCase {
            name: "before its answer",
            first: |_| vec![Step::StopResponding],
            events: 3..5,
        },
    ];
    for case in cases {
        let resumed = |request: &ReceivedRequest| complete_stream(request, 3..5);
        let (reply, requests, _gateway) =
            call_with_broken_stream(two_attempts(), case.first, resumed).await;
        assert_eq!((reply.status, reply.is_whole), (200, true), "{}", case.name);
        assert_eq!(reply.body, events_text(case.events), "{}", case.name);
        assert_eq!(requests.len(), 2, "{}", case.name);
    }
}

/// A server that works without sending anything still accepts connections, so its request must not
/// move.
#[tokio::test]
async fn a_slow_server_that_accepts_connections_keeps_its_request() {
    let server = ScriptedServer::new("s-1", |request| {
        vec![
            stream_head(request),
            chunk(&events_text(1..2)),
            Step::WaitForRelease,
            chunk(&events_text(2..3)),
            last_chunk(),
        ]
    })
    .await;
    let other = ScriptedServer::new("s-2", |request| complete_stream(request, 1..3)).await;
    let settings = RelaySettings { silence_ms: 20, ..RelaySettings::default() };
    let table = route_table(vec![resumable_stream_route()]);
    let gateway = TestGateway::with_settings(settings, Some(table), &[&server]).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", "", "")).await;
    assert_eq!(caller.read_head().await.status, 200);
    assert_eq!(caller.read_chunk().await, Some(events_text(1..2)));
    gateway.add_server("s-2", other.address);
    // The first connection is that of the request; the others are probes while the server sends
    // nothing.
    wait_until("two probe connections were opened", || server.connections() >= 3).await;
    server.release();
    assert_eq!(caller.read_chunk().await, Some(events_text(2..3)));
    assert!(other.requests().is_empty(), "it is not sent twice");
}
