//! A planned stop: everything is served, callers go elsewhere for the next request.

mod common;

use common::caller::{Caller, call, post};
use common::stand_in::{StandIn, Step, answer, chunk, event, last_chunk, ok, stream_head};
use common::{Bed, resumable, route, table, until};
use dahlia_relay::Route;

#[tokio::test]
async fn requests_are_served_with_a_last_word_and_resting_connections_end() {
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(table(vec![route()])), &[&server]).await;
    let mut resting = Caller::new(bed.address).await;
    assert_eq!(resting.call(&post("t", "", "")).await.header("connection"), None);
    let mut begun = Caller::new(bed.address).await;
    begun.send("POST /a/ HTTP/1.1\r\n").await;
    let mut fresh = Caller::new(bed.address).await;
    until("all are taken", || bed.relay.counters().open_connections == 3).await;
    bed.relay.begin_drain();
    assert!(resting.ends().await);
    let rest = "Host: host.example\r\nX-Attempt: u\r\nContent-Length: 0\r\n\r\n";
    for (caller, text) in [(&mut begun, rest), (&mut fresh, post("v", "", "").as_str())] {
        let reply = caller.call(text).await;
        assert_eq!((reply.status, reply.header("connection")), (200, Some("close")));
        assert!(caller.ends().await);
    }
    let new = call(bed.address, &post("w", "", "")).await;
    assert_eq!((new.status, new.header("connection")), (200, Some("close")));
    until("all are gone", || bed.relay.counters().open_connections == 0).await;
}

#[tokio::test]
async fn answers_under_way_are_finished() {
    let server = StandIn::new("s-1", |got| match got.line.contains("/s/") {
        true => {
            let (first, second) = (event(1, "a"), event(2, "b"));
            vec![stream_head(got), chunk(&first), Step::Wait, chunk(&second), last_chunk()]
        }
        false => vec![Step::Wait, answer(got, "200 OK", "", "done")],
    })
    .await;
    let stream = Route { path_prefix: "/s/".into(), ..resumable() };
    let bed = Bed::new(Some(table(vec![route(), stream])), &[&server]).await;
    let mut waiting = Caller::new(bed.address).await;
    waiting.send(&post("t", "", "")).await;
    let mut streaming = Caller::new(bed.address).await;
    streaming.send(&post("u", "", "").replace("/a/", "/s/")).await;
    streaming.head().await;
    assert_eq!(streaming.chunk().await, Some(event(1, "a")));
    until("both are at the server", || server.got().len() == 2).await;
    bed.relay.begin_drain();
    assert_eq!(bed.relay.in_progress(), 2);
    server.release();
    assert_eq!(streaming.chunk().await, Some(event(2, "b")));
    assert_eq!(streaming.chunk().await.as_deref(), Some(""));
    assert!(streaming.ends().await);
    let reply = waiting.reply().await;
    assert_eq!((reply.status, reply.header("connection")), (200, Some("close")));
    assert!(waiting.ends().await);
    until("nothing is left", || bed.relay.in_progress() == 0).await;
}

#[tokio::test]
async fn near_the_end_new_requests_are_refused_at_once_and_those_under_way_are_finished() {
    let server =
        StandIn::new("s-1", |got| vec![Step::Wait, answer(got, "200 OK", "", "done")]).await;
    let bed = Bed::new(Some(table(vec![route()])), &[&server]).await;
    let mut under_way = Caller::new(bed.address).await;
    under_way.send(&post("t", "", "")).await;
    until("it is at the server", || server.got().len() == 1).await;
    bed.relay.begin_drain();
    bed.relay.refuse_new_requests();
    let new = call(bed.address, &post("u", "", "")).await;
    assert_eq!((new.status, new.header("connection")), (503, Some("close")));
    assert!(new.header("retry-after").is_some(), "its caller must know when to come back");
    assert_eq!(server.got().len(), 1, "a request that was refused must not run");
    server.release();
    assert_eq!(under_way.reply().await.status, 200);
}

/// Its callers' next requests come on new connections, which may go to another gateway.
#[tokio::test]
async fn a_gateway_that_is_cut_off_serves_what_it_can_and_closes_connections() {
    let server = StandIn::new("s-1", ok).await;
    let bed = Bed::new(Some(table(vec![route()])), &[&server]).await;
    let mut resting = Caller::new(bed.address).await;
    assert_eq!(resting.call(&post("t", "", "")).await.header("connection"), None);
    bed.relay.set_cut_off(true);
    let reply = resting.call(&post("u", "", "")).await;
    assert_eq!((reply.status, reply.header("connection")), (200, Some("close")));
    assert!(resting.ends().await);
    bed.relay.set_cut_off(false);
    let back = call(bed.address, &post("v", "", "")).await;
    assert_eq!((back.status, back.header("connection")), (200, None));
}
