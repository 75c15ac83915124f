//! Streams that end inside an event, in each way in which HTTP can frame an answer: the caller never gets them as
//! complete answers. Their servers live on; those of `ends_with_the_server` die.

mod common;

use std::ops::Range;
use std::sync::{Arc, Mutex};

use common::caller::{Caller, Reply, call, post};
use common::scripted_server::{
    ReceivedRequest, ScriptedServer, Step, chunk, event, last_chunk, stream_head,
    stream_head_without_framing,
};
use common::{
    TestGateway, at_most_once_route, repeatable_route, resumable_stream_route,
    retained_turns_route, route_table, wait_until,
};
use dahlia_ledger::TurnEnd;
use dahlia_relay::Route;

const TURN_HEADERS: &str =
    "X-Program: p-1\r\nX-Session: l-1\r\nX-Budget: 500\r\nX-Tokens: 40,80\r\n";
/// The beginning of the third event.
const PARTIAL_EVENT: &str = "id: 3\ndata: d";

type Script = fn(&ReceivedRequest) -> Vec<Step>;

fn events(range: Range<u32>) -> String {
    range.map(|id| event(id, &format!("d{id}"))).collect()
}

/// How an answer tells where it ends, and how it ends inside its third event.
struct Ending {
    name: &'static str,
    script: Script,
}

const ENDINGS: [Ending; 5] = [
    Ending {
        name: "no framing, the connection is closed",
        script: |request| {
            let text = events(1..3) + PARTIAL_EVENT;
            vec![stream_head_without_framing(request), Step::Send(text), Step::Close]
        },
    },
    Ending {
        name: "no framing, the connection is closed after a field's line",
        script: |request| {
            let text = events(1..3) + "id: 3\ndata: d3\n";
            vec![stream_head_without_framing(request), Step::Send(text), Step::Close]
        },
    },
    Ending {
        name: "no framing, the connection is reset",
        script: |request| {
            let text = events(1..3) + PARTIAL_EVENT;
            vec![stream_head_without_framing(request), Step::Send(text), Step::Reset]
        },
    },
    Ending {
        name: "chunks, the last one included",
        script: |request| {
            let text = events(1..3) + PARTIAL_EVENT;
            vec![stream_head(request), chunk(&text), last_chunk()]
        },
    },
    Ending {
        name: "a length that is reached",
        script: |request| {
            let text = events(1..3) + PARTIAL_EVENT;
            let length = text.len();
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt: {}\r\nX-Signature: s-1\r\nContent-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n",
                request.attempt()
            );
            vec![Step::Send(head), Step::Send(text)]
        },
    },
];

/// Three servers. The first `broken` requests that arrive at any of them follow a script, the others get the
/// rest of five events.
struct Servers {
    servers: Vec<ScriptedServer>,
}

impl Servers {
    async fn new(broken: usize, script: Script) -> Self {
        let arrived = Arc::new(Mutex::new(0));
        let mut servers = Vec::new();
        for id in ["s-1", "s-2", "s-3"] {
            let arrived = Arc::clone(&arrived);
            let server = ScriptedServer::new(id, move |request| {
                let mut arrived = arrived.lock().expect("the lock is not poisoned");
                *arrived += 1;
                if *arrived <= broken { script(request) } else { rest_of_stream(request) }
            });
            servers.push(server.await);
        }
        Self { servers }
    }

    async fn gateway(&self, route: Route) -> TestGateway {
        let servers: Vec<&ScriptedServer> = self.servers.iter().collect();
        TestGateway::new(Some(route_table(vec![route])), &servers).await
    }

    fn requests(&self) -> Vec<ReceivedRequest> {
        self.servers.iter().flat_map(ScriptedServer::requests).collect()
    }
}

/// The events after the one that the request names, without framing, as of a server that completes its answer.
fn rest_of_stream(request: &ReceivedRequest) -> Vec<Step> {
    let last = request.header("x-last-event").map_or(0, |id| id.parse().expect("a number"));
    vec![stream_head_without_framing(request), Step::Send(events(last + 1..6)), Step::Close]
}

async fn call_through(servers: &Servers, route: Route, lines: &str) -> (Reply, TestGateway) {
    let gateway = servers.gateway(route).await;
    let reply = call(gateway.address, &post("t", lines, "prompt")).await;
    (reply, gateway)
}

/// Guards against a stream that goes on at no other server although its server died inside an event.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_resumes_however_it_is_framed() {
    for Ending { name, script } in ENDINGS {
        for broken in [1, 2] {
            let servers = Servers::new(broken, script).await;
            let (reply, _gateway) = call_through(&servers, resumable_stream_route(), "").await;
            assert_eq!(reply.body, events(1..6), "{name}, {broken} servers break off");
            assert!(reply.is_whole, "{name}, {broken} servers break off");
            assert_eq!(servers.requests().len(), broken + 1, "{name}");
        }
    }
}

/// Guards against a broken-off answer that the caller gets as a complete one.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_and_cannot_resume_is_broken_off() {
    let plain = Route { is_stream: true, ..at_most_once_route() };
    for Ending { name, script } in ENDINGS {
        for route in [plain.clone(), resumable_stream_route()] {
            let servers = Servers::new(usize::MAX, script).await;
            let (reply, gateway) = call_through(&servers, route, "").await;
            assert_eq!((reply.status, reply.is_whole), (200, false), "{name}");
            assert!(reply.body.starts_with(&events(1..3)), "{name}");
            assert_eq!(gateway.relay.counters().broken_off, 1, "{name}");
        }
    }
}

/// Guards against later turns of a program that continue from a text which its caller never had whole.
#[tokio::test]
async fn a_turn_whose_stream_ends_inside_an_event_is_not_recorded_as_complete() {
    for Ending { name, script } in ENDINGS {
        let servers = Servers::new(usize::MAX, script).await;
        let (reply, gateway) = call_through(&servers, retained_turns_route(), TURN_HEADERS).await;
        assert!(!reply.is_whole, "{name}");
        wait_until("the turn is settled", || gateway.relay.counters().unsettled_turns == 0).await;
        assert_eq!(gateway.ledger.turn_ends(), [TurnEnd::Incomplete], "{name}");
    }
}

/// Guards against a dying server that keeps its good record, so that it goes on getting work.
#[tokio::test]
async fn a_stream_that_ends_inside_an_event_counts_against_its_server() {
    let plain = Route { is_stream: true, ..at_most_once_route() };
    for Ending { name, script } in ENDINGS {
        let failed = Arc::new(Mutex::new(0));
        let listener = Arc::clone(&failed);
        let servers = Servers::new(usize::MAX, script).await;
        let gateway = servers.gateway(plain.clone()).await;
        gateway.backends.lock().expect("the lock is not poisoned").on_failure(Box::new(
            move |_| {
                *listener.lock().expect("the lock is not poisoned") += 1;
            },
        ));
        assert!(!call(gateway.address, &post("t", "", "")).await.is_whole, "{name}");
        wait_until("the failure is recorded", || *failed.lock().expect("not poisoned") == 1).await;
    }
}

/// Guards against an empty answer: a server that dies right after its head has run nothing that counts.
#[tokio::test]
async fn a_stream_without_framing_or_any_event_is_a_lost_answer() {
    let empty: [Script; 2] = [
        |request| vec![stream_head_without_framing(request), Step::Close],
        |request| {
            vec![
                stream_head_without_framing(request),
                Step::Send(": ready\n\n".into()),
                Step::Close,
            ]
        },
    ];
    for script in empty {
        let servers = Servers::new(1, script).await;
        let (reply, _gateway) = call_through(&servers, resumable_stream_route(), "").await;
        assert!(reply.is_whole);
        assert!(reply.body.ends_with(&events(1..6)));
    }
    let plain = Route { is_stream: true, ..at_most_once_route() };
    let servers = Servers::new(1, empty[0]).await;
    let (reply, _gateway) = call_through(&servers, plain, "").await;
    assert_eq!((reply.status, servers.requests().len()), (502, 1));
}

/// An end between two events is complete without framing if the server lives past it.
#[tokio::test]
async fn a_stream_without_framing_that_ends_after_an_event_is_complete_if_its_server_lives_on() {
    let ends = ["", "\n", "\r\n", ": bye", ": bye\n", ": bye\n\n"];
    let plain = Route { is_stream: true, ..at_most_once_route() };
    for end in ends {
        for route in [plain.clone(), resumable_stream_route()] {
            let text = events(1..3) + end;
            let sent = text.clone();
            let server = ScriptedServer::new("s-1", move |request| {
                vec![stream_head_without_framing(request), Step::Send(sent.clone()), Step::Close]
            })
            .await;
            let gateway = TestGateway::new(Some(route_table(vec![route])), &[&server]).await;
            let reply = call(gateway.address, &post("t", "", "")).await;
            assert_eq!((reply.body, reply.is_whole), (text, true), "after {end:?}");
        }
    }
}

/// Answers that are no event streams have no events to break inside of.
#[tokio::test]
async fn a_stream_of_another_content_type_ends_as_its_framing_says() {
    let server = ScriptedServer::new("s-1", |request| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt: {}\r\nX-Signature: s-1\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.attempt()
        );
        vec![Step::Send(head), chunk("data: no event"), last_chunk()]
    })
    .await;
    let plain = Route { is_stream: true, ..repeatable_route() };
    let gateway = TestGateway::new(Some(route_table(vec![plain])), &[&server]).await;
    let reply = call(gateway.address, &post("t", "", "")).await;
    assert_eq!((reply.body.as_str(), reply.is_whole), ("data: no event", true));
}

/// Guards against answers without a body, which cannot have an event, that are taken for broken off.
#[tokio::test]
async fn an_answer_that_has_no_body_is_complete() {
    let no_content: Script = |request| {
        let attempt = request.attempt();
        vec![Step::Send(format!("HTTP/1.1 204 No Content\r\nX-Attempt: {attempt}\r\n\r\n"))]
    };
    let head_only: Script = |request| vec![stream_head_without_framing(request), Step::Close];
    let plain = Route { is_stream: true, ..at_most_once_route() };
    for (method, script, status) in [("POST", no_content, 204), ("HEAD", head_only, 200)] {
        let server = ScriptedServer::new("s-1", script).await;
        let gateway = TestGateway::new(Some(route_table(vec![plain.clone()])), &[&server]).await;
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post("t", "", "").replacen("POST", method, 1)).await;
        assert_eq!(caller.read_head().await.status, status, "{method}");
    }
}

/// Guards against an answer that an HTTP/1.0 caller takes for complete: it has no chunks, so the end of the
/// connection is all that it can go by.
#[tokio::test]
async fn a_broken_off_stream_resets_the_connection_of_a_caller_without_chunks() {
    let plain = Route { is_stream: true, ..at_most_once_route() };
    for Ending { name, script } in ENDINGS {
        let servers = Servers::new(usize::MAX, script).await;
        let gateway = servers.gateway(plain.clone()).await;
        let mut caller = Caller::new(gateway.address).await;
        caller.send(&post("t", "", "").replacen("HTTP/1.1", "HTTP/1.0", 1)).await;
        assert!(!caller.read_to_orderly_end().await, "{name}");
    }
    let servers = Servers::new(0, rest_of_stream).await;
    let gateway = servers.gateway(plain).await;
    let mut caller = Caller::new(gateway.address).await;
    caller.send(&post("t", "", "").replacen("HTTP/1.1", "HTTP/1.0", 1)).await;
    assert!(caller.read_to_orderly_end().await, "a complete answer");
}
