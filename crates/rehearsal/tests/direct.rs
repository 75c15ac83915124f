//! A caller that asks an engine directly, and answers that break off.

use std::net::SocketAddr;

use dahlia_rehearsal::direct::DirectCaller;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const FIRST_EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"612 \"}}]}\n\n";
const SECOND_EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"V\"}}]}\n\n";
const LAST_EVENT: &str = "data: [DONE]\n\n";

/// How an engine's answer ends.
struct Ending {
    name: &'static str,
    body: String,
    is_whole: bool,
}

/// Guards against a call whose engine died, which the load tool counts as answered and measures.
#[tokio::test]
async fn an_answer_that_ends_before_its_last_event_is_an_error() {
    let cut = &SECOND_EVENT[..SECOND_EVENT.len() / 2];
    let endings = [
        Ending { name: "no event", body: String::new(), is_whole: false },
        Ending { name: "between events", body: FIRST_EVENT.to_owned(), is_whole: false },
        Ending { name: "inside an event", body: format!("{FIRST_EVENT}{cut}"), is_whole: false },
        Ending {
            name: "before the last event",
            body: format!("{FIRST_EVENT}{SECOND_EVENT}"),
            is_whole: false,
        },
        Ending {
            name: "inside the last event",
            body: format!("{FIRST_EVENT}{SECOND_EVENT}{}", LAST_EVENT.trim_end()),
            is_whole: false,
        },
        Ending {
            name: "whole",
            body: format!("{FIRST_EVENT}{SECOND_EVENT}{LAST_EVENT}"),
            is_whole: true,
        },
    ];
    for Ending { name, body, is_whole } in endings {
        for head in ["", "transfer-encoding: chunked\r\n"] {
            let engine = spawn_engine(respond(head, &body)).await;
            let answer = DirectCaller::new(engine, "m").send_turn("Voltage?", 8).await;
            let text = answer.ok().map(|answer| answer.text);
            let expected = is_whole.then(|| "612 V".to_owned());
            assert_eq!(text, expected, "{name}, framed by {head:?}");
        }
    }
}

/// A response whose body ends with its connection, or as its last chunk says.
fn respond(framing: &str, body: &str) -> String {
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n{framing}\r\n"
    );
    match (framing, body) {
        ("", _) => format!("{head}{body}"),
        (_, "") => format!("{head}0\r\n\r\n"),
        _ => format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
    }
}

/// Starts an engine that gives one answer and closes the connection in good order, as the system does for a
/// process that died.
async fn spawn_engine(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a caller");
        read_request(&mut stream).await;
        stream.write_all(answer.as_bytes()).await.expect("the caller reads");
    });
    address
}

/// Reads a request with a JSON body, since closing with unread bytes would reset the connection.
async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"}") {
        assert_ne!(stream.read_buf(&mut bytes).await.expect("a request"), 0, "the caller left");
    }
}
