//! What ends an answer in good order although it is whole or not, apart from its events: other encodings and line ends,
//! answers without a body, replays, and answers of other routes. Their servers live on.

mod common;

use common::caller::{Caller, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, chunk, event, last_chunk, stream_head,
    stream_head_without_framing,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route, route_table,
};
use dahlia_relay::Route;

fn plain() -> Route {
    Route { is_stream: true, ..at_most_once_route() }
}

fn http10(text: &str) -> String {
    text.replacen("HTTP/1.1", "HTTP/1.0", 1)
}

fn head_with(request: &ReceivedRequest, lines: &str) -> Step {
    let attempt = request.attempt();
    Step::Send(format!(
        "HTTP/1.1 200 OK\r\nX-Attempt: {attempt}\r\nX-Signature: s-1\r\n{lines}Transfer-Encoding: chunked\r\n\r\n"
    ))
}

async fn answer_of(route: Route, script: fn(&ReceivedRequest) -> Vec<Step>) -> (u16, String, bool) {
    let server = ScriptedServer::new("s-1", script).await;
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[&server]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    (reply.status, reply.body, reply.is_whole)
}

/// Guards against a reset instead of an answer without a body, on a connection of HTTP/1.0.
#[tokio::test]
async fn an_answer_without_a_body_ends_in_good_order_for_a_caller_without_chunks() {
    for method in ["HEAD", "POST"] {
        let server = ScriptedServer::new("s-1", |request| {
            let attempt = request.attempt();
            if request.line.starts_with("HEAD") {
                return vec![stream_head_without_framing(request), Step::Close];
            }
            vec![Step::Send(format!("HTTP/1.1 204 No Content\r\nX-Attempt: {attempt}\r\n\r\n"))]
        })
        .await;
        let gateway = TestGateway::new(Some(route_table(vec![plain()])), &[&server]).await;
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&http10(&post("t", "", "").replacen("POST", method, 1))).await;
        assert!(caller.read_to_orderly_end().await, "{method}");
    }
}

/// Guards against a stream that ends as complete although the server that took it up died while it still replayed
/// events that the caller has.
#[tokio::test]
async fn a_stream_that_ends_in_the_replay_of_earlier_events_is_not_complete() {
    let first = ScriptedServer::new("s-1", |request| match request.header("x-last-event") {
        None => vec![
            stream_head_without_framing(request),
            Step::Send((1..4).map(|id| event(id, "d")).collect::<String>() + "id: 4\nda"),
            Step::Close,
        ],
        Some(_) => vec![
            stream_head_without_framing(request),
            Step::Send((1..3).map(|id| event(id, "d")).collect::<String>()),
            Step::Close,
        ],
    })
    .await;
    let second = ScriptedServer::new("s-2", {
        let first = first.clone();
        move |request| {
            let _ = &first;
            match request.header("x-last-event") {
                None => vec![
                    stream_head_without_framing(request),
                    Step::Send((1..4).map(|id| event(id, "d")).collect::<String>() + "id: 4\nda"),
                    Step::Close,
                ],
                Some(_) => vec![
                    stream_head_without_framing(request),
                    Step::Send((1..3).map(|id| event(id, "d")).collect::<String>()),
                    Step::Close,
                ],
            }
        }
    })
    .await;
    let route = resumable_stream_route();
    let gateway = TestGateway::new(Some(route_table(vec![route])), &[&first, &second]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert!(!reply.is_whole, "the fourth event is missing: {:?}", reply.body);
}

/// Guards against a server that dies after a preamble that tells no event, such as a retry time.
#[tokio::test]
async fn a_stream_without_framing_that_ends_after_a_retry_time_alone_is_a_lost_answer() {
    let (status, body, is_whole) = answer_of(plain(), |request| {
        vec![
            stream_head_without_framing(request),
            Step::Send("retry: 3000\n\n".into()),
            Step::Close,
        ]
    })
    .await;
    assert!(status != 200 || !is_whole, "{status} {body:?} as a complete answer");
}

/// Guards against complete answers that are broken off: the standard also ends lines with a carriage return alone.
#[tokio::test]
async fn a_complete_stream_whose_lines_end_with_carriage_returns_is_complete() {
    for route in [plain(), resumable_stream_route()] {
        let (_, body, is_whole) = answer_of(route, |request| {
            vec![stream_head(request), chunk("id: 1\rdata: a\r\rid: 2\rdata: b\r\r"), last_chunk()]
        })
        .await;
        assert!(is_whole, "{body:?}");
    }
}

/// Guards against complete answers that are broken off since their events are encoded.
#[tokio::test]
async fn a_complete_encoded_stream_is_complete() {
    let (_, body, is_whole) = answer_of(plain(), |request| {
        let lines = "Content-Type: text/event-stream\r\nContent-Encoding: x-compressed\r\n";
        vec![head_with(request, lines), chunk("\u{1f}bytes that are no text"), last_chunk()]
    })
    .await;
    assert!(is_whole, "{body:?}");
}

/// A byte-order mark belongs to no event.
#[tokio::test]
async fn a_complete_stream_that_begins_with_a_byte_order_mark_is_complete() {
    for text in ["\u{feff}: ready\n", "\u{feff}", "\u{feff}id: 1\ndata: a\n\n"] {
        let server = ScriptedServer::new("s-1", move |request| {
            vec![stream_head(request), chunk(text), last_chunk()]
        })
        .await;
        let gateway = TestGateway::new(Some(route_table(vec![plain()])), &[&server]).await;
        let reply = call(gateway.address, &post("t", "", "")).await;
        assert!(reply.is_whole, "{text:?}");
    }
}

/// An answer of another kind that ends with its connection right after its head.
#[tokio::test]
async fn an_empty_answer_without_framing_is_a_lost_answer_on_other_routes_too() {
    let server = ScriptedServer::new("s-1", |request| {
        vec![stream_head_without_framing(request), Step::Close]
    })
    .await;
    let gateway = TestGateway::new(Some(route_table(vec![repeatable_route()])), &[&server]).await;
    let reply = call(gateway.address, &post("t-1", "", "")).await;
    assert!(reply.status != 200, "{reply:?}");
}
