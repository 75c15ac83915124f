//! Streams: pieces as they arrive, going on elsewhere, and never an end that looks complete.

mod common;

use common::caller::{Caller, call, post};
use common::stand_in::{Got, StandIn, Step, answer, chunk, event, last_chunk, shed, stream_head};
use common::{Bed, once, resumable, table, until};
use dahlia_relay::{RelaySettings, Route};
use dahlia_types::{Duration, Timestamp};

fn whole_stream(got: &Got, events: std::ops::Range<u32>) -> Vec<Step> {
    let events = events.map(|id| chunk(&event(id, &format!("d{id}"))));
    let mut steps = vec![stream_head(got)];
    steps.extend(events);
    steps.push(last_chunk());
    steps
}

fn text(events: std::ops::Range<u32>) -> String {
    events.map(|id| event(id, &format!("d{id}"))).collect()
}

#[tokio::test]
async fn pieces_are_handed_on_as_they_arrive() {
    let plain = Route { is_stream: true, ..once() };
    for route in [resumable(), plain] {
        let server = StandIn::new("s-1", |got| {
            let (first, second) = (event(1, "a"), event(2, "b"));
            vec![stream_head(got), chunk(&first), Step::Wait, chunk(&second), last_chunk()]
        })
        .await;
        let bed = Bed::new(Some(table(vec![route])), &[&server]).await;
        let mut caller = Caller::new(bed.address).await;
        caller.send(&post("t", "", "")).await;
        let head = caller.head().await;
        assert_eq!((head.status, head.header("x-signature")), (200, Some("s-1")));
        assert_eq!(caller.chunk().await, Some(event(1, "a")));
        server.release();
        assert_eq!(caller.chunk().await, Some(event(2, "b")));
        assert_eq!(caller.chunk().await.as_deref(), Some(""));
        until("all is settled", || bed.relay.in_progress() == 0).await;
        assert_eq!(caller.call(&post("u", "", "")).await.status, 200, "connections go on");
        assert!(server.got().iter().all(|got| got.connection == 0));
    }
}

/// Two servers: whichever gets the request first sends the steps, the other goes on.
async fn broken_then(
    route: Route,
    first: impl Fn(&Got) -> Vec<Step> + Send + Sync + Clone + 'static,
    then: impl Fn(&Got) -> Vec<Step> + Send + Sync + Clone + 'static,
) -> (common::caller::Reply, Vec<Got>, Bed) {
    let order = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let script = move |got: &Got| {
        let mut order = order.lock().expect("whole");
        order.push(got.clone());
        if order.len() == 1 { first(got) } else { then(got) }
    };
    let one = StandIn::new("s-1", script.clone()).await;
    let two = StandIn::new("s-2", script).await;
    let bed = Bed::new(Some(table(vec![route])), &[&one, &two]).await;
    let reply = call(bed.address, &post("t", "", "prompt")).await;
    let mut got = [one.got(), two.got()].concat();
    got.sort_by_key(|got| got.header("x-last-event").is_some());
    (reply, got, bed)
}

fn breaks_inside_the_third_event(got: &Got) -> Vec<Step> {
    vec![stream_head(got), chunk(&text(1..3)), chunk("id: 3\nda"), Step::Reset]
}

#[tokio::test]
async fn a_stream_that_breaks_inside_an_event_goes_on_behind_the_last_whole_one() {
    let then = |got: &Got| whole_stream(got, 3..6);
    let (reply, got, bed) = broken_then(resumable(), breaks_inside_the_third_event, then).await;
    assert_eq!((reply.body.as_str(), reply.is_whole), (text(1..6).as_str(), true));
    assert_eq!(reply.header("x-signature"), Some("s-1"));
    assert_eq!(got.len(), 2);
    assert_eq!(got[1].header("x-last-event"), Some("2"));
    assert_eq!((got[1].attempt(), got[1].body.as_str()), ("t", "prompt"));
    assert_eq!(bed.relay.counters().resumed, 1);
}

#[tokio::test]
async fn events_that_come_again_are_dropped() {
    let then = |got: &Got| whole_stream(got, 1..6);
    let (reply, _, _bed) = broken_then(resumable(), breaks_inside_the_third_event, then).await;
    assert_eq!((reply.body.as_str(), reply.is_whole), (text(1..6).as_str(), true));
}

/// A replay comes as fast as it is read.
#[tokio::test]
async fn events_that_come_again_tell_no_pace() {
    let script = |got: &Got| match got.header("x-last-event") {
        None => vec![stream_head(got), chunk(&text(1..3)), Step::Wait, Step::Reset],
        Some(_) => {
            vec![stream_head(got), chunk(&text(3..4)), Step::Wait, chunk(&text(2..3)), last_chunk()]
        }
    };
    let one = StandIn::new("s-1", script).await;
    let two = StandIn::new("s-2", script).await;
    let bed = Bed::new(Some(table(vec![resumable()])), &[&one, &two]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t", "", "")).await;
    caller.head().await;
    for id in 1..3 {
        assert_eq!(caller.chunk().await, Some(text(id..id + 1)));
    }
    let (first, second) = if one.got().is_empty() { (two, one) } else { (one, two) };
    first.release();
    assert_eq!(caller.chunk().await, Some(text(3..4)));
    second.release();
    assert_eq!(caller.chunk().await.as_deref(), Some(""));
    until("all is settled", || bed.relay.in_progress() == 0).await;
    let told = bed.backends.lock().expect("whole").take_own_loads(Timestamp(0));
    assert_eq!(told.iter().map(|load| load.times.tokens).sum::<u32>(), 0, "{told:?}");
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_begins_again() {
    let first = |got: &Got| vec![stream_head(got), chunk("id: 1\n"), Step::Close];
    let then = |got: &Got| whole_stream(got, 1..3);
    let (reply, got, _bed) = broken_then(resumable(), first, then).await;
    assert_eq!((reply.body, reply.is_whole), (text(1..3), true));
    assert!(got.iter().all(|got| got.header("x-last-event").is_none()));
}

#[tokio::test]
async fn a_stream_that_may_not_go_on_is_broken_off() {
    let plain = Route { is_stream: true, ..common::route() };
    let only = Route { max_attempts: 1, ..resumable() };
    for route in [plain, only] {
        let then = |got: &Got| whole_stream(got, 3..6);
        let first = breaks_inside_the_third_event;
        let (reply, got, bed) = broken_then(route, first, then).await;
        assert_eq!((reply.status, reply.is_whole, got.len()), (200, false, 1));
        assert!(reply.body.starts_with(&text(1..3)));
        assert_eq!(bed.relay.counters().broken_off, 1);
    }
}

#[tokio::test]
async fn a_stream_of_a_server_that_has_ended_goes_on_whatever_its_routes_most() {
    let only = Route { max_attempts: 1, ..resumable() };
    let dies = |got: &Got| vec![stream_head(got), chunk(&text(1..3)), Step::Die];
    let (reply, got, _bed) = broken_then(only, dies, |got| whole_stream(got, 3..5)).await;
    assert!(reply.is_whole);
    assert_eq!(reply.body, text(1..5));
    assert_eq!((got.len(), got[1].header("x-last-event")), (2, Some("2")));
}

#[tokio::test]
async fn a_stream_is_broken_off_when_no_server_goes_on() {
    for then in [shed as fn(&Got) -> Vec<Step>, |got| vec![answer(got, "500 Bad", "", "")]] {
        let first = breaks_inside_the_third_event;
        let (reply, got, _bed) = broken_then(resumable(), first, then).await;
        assert_eq!((reply.body, reply.is_whole, got.len()), (text(1..3), false, 2));
    }
}

#[tokio::test]
async fn a_stream_without_a_first_piece_is_an_answer_lost() {
    let first = |got: &Got| vec![stream_head(got), Step::Reset];
    let plain = Route { is_stream: true, ..common::route() };
    let (reply, got, _bed) = broken_then(plain, first, first).await;
    assert_eq!((reply.status, got.len()), (502, 1));
}

#[tokio::test]
async fn what_stands_behind_the_last_event_belongs_to_the_stream() {
    let server = StandIn::new("s-1", |got| {
        let rest = "weight-versions: 2\nid: 2\ndata: b\n\n: bye";
        vec![stream_head(got), chunk(&event(1, "a")), chunk(rest), last_chunk()]
    })
    .await;
    let bed = Bed::new(Some(table(vec![resumable()])), &[&server]).await;
    let reply = call(bed.address, &post("t", "", "")).await;
    let expected = format!("{}weight-versions: 2\nid: 2\ndata: b\n\n: bye", event(1, "a"));
    assert_eq!((reply.body, reply.is_whole), (expected, true));
}

#[tokio::test]
async fn a_stream_is_cut_at_its_deadline() {
    let short = Route { timeout: Duration::from_millis(250), ..resumable() };
    let server = StandIn::new("s-1", |got| {
        vec![stream_head(got), chunk(&event(1, "a")), Step::WaitForClose]
    })
    .await;
    let bed = Bed::new(Some(table(vec![short])), &[&server]).await;
    let reply = call(bed.address, &post("t", "", "")).await;
    assert_eq!((reply.body, reply.is_whole), (event(1, "a"), false));
    until("the server sees the close", || server.closed() == 1).await;
    assert_eq!(server.got().len(), 1, "nobody goes on behind the deadline");
}

#[tokio::test]
async fn a_caller_that_leaves_a_stream_takes_the_connection_to_the_server_with_it() {
    let server = StandIn::new("s-1", |got| {
        vec![stream_head(got), chunk(&event(1, "a")), Step::WaitForClose]
    })
    .await;
    let bed = Bed::new(Some(table(vec![resumable()])), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t", "", "")).await;
    caller.head().await;
    caller.chunk().await.expect("the first event");
    drop(caller);
    until("the server sees the close", || server.closed() == 1).await;
    until("nothing is in progress", || bed.relay.in_progress() == 0).await;
    assert_eq!(server.got().len(), 1);
}

#[tokio::test]
async fn a_caller_that_stops_reading_is_cut_at_the_deadline() {
    // More than all buffers on the way hold.
    let server = StandIn::new("s-1", |got| {
        let piece = chunk(&"x".repeat(1 << 20));
        [vec![stream_head(got)], vec![piece; 48], vec![Step::WaitForClose]].concat()
    })
    .await;
    let bed = Bed::new(Some(table(vec![Route { is_stream: true, ..once() }])), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t", "X-Deadline: 400\r\n", "")).await;
    caller.head().await;
    until("the connection is dropped", || bed.relay.counters().open_connections == 0).await;
    assert_eq!(bed.relay.in_progress(), 0);
    drop(caller);
}

struct SilentCase {
    name: &'static str,
    first: fn(&Got) -> Vec<Step>,
    /// The events that the caller gets.
    events: std::ops::Range<u32>,
}

/// A server loses its power, or is cut off: its connections say nothing, and new ones hang.
#[tokio::test]
async fn a_request_goes_on_elsewhere_when_its_server_falls_silent() {
    let only = || Route { max_attempts: 1, ..resumable() };
    let cases = [
        SilentCase {
            name: "in its answer",
            first: |got| vec![stream_head(got), chunk(&text(1..3)), Step::FallSilent],
            events: 1..5,
        },
        SilentCase { name: "before its answer", first: |_| vec![Step::FallSilent], events: 3..5 },
    ];
    for case in cases {
        let then = |got: &Got| whole_stream(got, 3..5);
        let (reply, got, _bed) = broken_then(only(), case.first, then).await;
        assert_eq!((reply.status, reply.is_whole), (200, true), "{}", case.name);
        assert_eq!(reply.body, text(case.events), "{}", case.name);
        assert_eq!(got.len(), 2, "{}", case.name);
    }
}

/// A server that only thinks takes connections: it is left to work.
#[tokio::test]
async fn a_quiet_server_that_lives_keeps_its_request() {
    let server = StandIn::new("s-1", |got| {
        vec![stream_head(got), chunk(&text(1..2)), Step::Wait, chunk(&text(2..3)), last_chunk()]
    })
    .await;
    let other = StandIn::new("s-2", |got| whole_stream(got, 1..3)).await;
    let settings = RelaySettings { silence_ms: 20, ..RelaySettings::default() };
    let table = table(vec![resumable()]);
    let bed = Bed::with_settings(settings, Some(table), &[&server]).await;
    let mut caller = Caller::new(bed.address).await;
    caller.send(&post("t", "", "")).await;
    assert_eq!(caller.head().await.status, 200);
    assert_eq!(caller.chunk().await, Some(text(1..2)));
    bed.add("s-2", other.address);
    // The request's own connection is the first; others are tried while the server is quiet.
    until("two connections were tried", || server.connections() >= 3).await;
    server.release();
    assert_eq!(caller.chunk().await, Some(text(2..3)));
    assert!(other.got().is_empty(), "it is not sent twice");
}
