//! What the adapters make of peers that do not keep to the protocol.

mod support;

use std::net::SocketAddr;

use dahlia_adapters::engine::{GenerateEvent, GenerateLine, GenerateRequest, StopReason};
use dahlia_adapters::{
    Certainty, ClientSettings, EngineClient, EngineEndpoint, EngineError, KeyValueClient,
    KeyValueError, TransportError,
};
use dahlia_types::{
    Attempt, AttemptId, EngineId, Incarnation, ModelId, TenantId, Term, Tokens, Usage,
};
use futures::StreamExt;
use support::{Then, response, scripted, stream};
use tokio::net::TcpSocket;

fn settings() -> ClientSettings {
    ClientSettings { connect_timeout_ms: 10_000, response_timeout_ms: 20_000, ..Default::default() }
}

fn engine(address: SocketAddr, settings: ClientSettings) -> EngineClient {
    let endpoint = EngineEndpoint { engine: EngineId::new("e1"), address: address.to_string() };
    EngineClient::new(endpoint, settings)
}

fn attempt() -> AttemptId {
    "p-1-0000000000000007/0/1/1".parse().expect("well formed")
}

fn request() -> GenerateRequest {
    GenerateRequest {
        attempt: Attempt { id: attempt(), epoch: Term(1), engine_incarnation: Incarnation(1) },
        tenant: TenantId::new("bayou"),
        model: ModelId::new("m@1"),
        messages: Vec::new(),
        prompt_bound: Tokens(1),
        max_generated: Tokens(1),
        priority: 0,
    }
}

fn line(event: GenerateEvent) -> String {
    let line = GenerateLine { attempt: attempt(), event };
    serde_json::to_string(&line).expect("encodes") + "\n"
}

fn token(offset: u64, text: &str) -> String {
    line(GenerateEvent::Token { offset, text: text.to_owned() })
}

fn finished() -> String {
    line(GenerateEvent::Finished { usage: Usage::default(), stop: StopReason::End })
}

/// Reads a stream to its end; gives the number of events before the error, if there is one.
async fn read(address: SocketAddr, settings: ClientSettings) -> (usize, Option<EngineError>) {
    let opened = engine(address, settings).generate(&request()).await;
    let mut events = opened.expect("the stream opens");
    let mut count = 0;
    while let Some(event) = events.next().await {
        match event {
            Ok(_) => count += 1,
            Err(error) => {
                assert!(events.next().await.is_none(), "a stream ends after its error");
                return (count, Some(error));
            }
        }
    }
    (count, None)
}

fn text(error: &EngineError) -> String {
    let text = error.to_string();
    let (before, rest) = text.split_once("127.0.0.1:").expect("the peer is named");
    format!("{before}ADDRESS{}", rest.trim_start_matches(|digit: char| digit.is_ascii_digit()))
}

#[tokio::test]
async fn a_well_formed_stream_ends_without_error() {
    let body = token(0, "ab") + &token(2, "c") + &finished();
    let address = scripted(stream(&body), Then::Close).await;
    assert_eq!(read(address, settings()).await, (3, None));
}

#[tokio::test]
async fn an_event_stream_reads_as_a_stream() {
    let body = token(0, "ab") + &finished();
    let address = scripted(stream(&body), Then::Close).await;
    let opened = engine(address, settings()).generate(&request()).await.expect("opens");
    let events: Vec<_> = opened.into_stream().collect().await;
    let usage = Usage::default();
    let expected = [
        Ok(GenerateEvent::Token { offset: 0, text: "ab".to_owned() }),
        Ok(GenerateEvent::Finished { usage, stop: StopReason::End }),
    ];
    assert_eq!(events, expected);
}

#[tokio::test]
async fn what_follows_the_last_event_is_not_read() {
    let body = finished() + "garbage\n";
    let address = scripted(stream(&body), Then::Close).await;
    assert_eq!(read(address, settings()).await, (1, None));
}

#[tokio::test]
async fn a_truncated_stream_is_unknown() {
    for body in [token(0, "ab"), token(0, "ab") + r#"{"attempt":"p-1-"#] {
        let address = scripted(stream(&body), Then::Close).await;
        let (count, error) = read(address, settings()).await;
        let error = error.expect("truncated");
        assert_eq!((count, error.certainty()), (1, Certainty::Unknown));
        insta::allow_duplicates! {
            insta::assert_snapshot!(text(&error), @"generate: the answer of engine e1 at ADDRESS ended before its last event");
        }
    }
}

#[tokio::test]
async fn a_malformed_line_is_unknown() {
    let body = token(0, "ab") + "{\"event\":3}\n" + &finished();
    let address = scripted(stream(&body), Then::Close).await;
    let (count, error) = read(address, settings()).await;
    let error = error.expect("malformed");
    assert_eq!((count, error.certainty()), (1, Certainty::Unknown));
    insta::assert_snapshot!(text(&error), @"generate: the answer of engine e1 at ADDRESS is malformed: expected value at line 1 column 10");
}

#[tokio::test]
async fn an_endless_line_is_cut_at_the_limit() {
    let body = token(0, &"x".repeat(5_000)) + &finished();
    let address = scripted(stream(&body), Then::Close).await;
    let small = ClientSettings { max_line_bytes: 1_000, ..settings() };
    let (count, error) = read(address, small).await;
    let error = error.expect("too long");
    assert_eq!((count, error.certainty()), (0, Certainty::Unknown));
    insta::assert_snapshot!(text(&error), @"generate: the answer of engine e1 at ADDRESS exceeds `max_line_bytes` of 1000 bytes");
}

#[tokio::test]
async fn lost_and_doubled_pieces_are_noticed() {
    for (second, expected) in [(5, "offset 5 where 2"), (0, "offset 0 where 2")] {
        let body = token(0, "ab") + &token(second, "cd") + &finished();
        let address = scripted(stream(&body), Then::Close).await;
        let (count, error) = read(address, settings()).await;
        let error = error.expect("out of place");
        assert_eq!((count, error.certainty()), (1, Certainty::Unknown));
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[tokio::test]
async fn an_event_of_another_attempt_is_noticed() {
    let other = GenerateLine {
        attempt: "p-1-0000000000000008/0/1/1".parse().expect("well formed"),
        event: GenerateEvent::Token { offset: 0, text: "stray".to_owned() },
    };
    let body = serde_json::to_string(&other).expect("encodes") + "\n" + &finished();
    let address = scripted(stream(&body), Then::Close).await;
    let (count, error) = read(address, settings()).await;
    let error = error.expect("crossed");
    assert_eq!((count, error.certainty()), (0, Certainty::Unknown));
    insta::assert_snapshot!(text(&error), @"generate: engine e1 at ADDRESS sent an event of p-1-0000000000000008/0/1/1 instead of p-1-0000000000000007/0/1/1");
}

#[tokio::test]
async fn silence_before_and_inside_an_answer_is_bounded() {
    let impatient =
        ClientSettings { connect_timeout_ms: 100, response_timeout_ms: 200, ..settings() };
    let silent = scripted("", Then::Silence).await;
    let error = engine(silent, impatient).generate(&request()).await.err().expect("no answer");
    assert_eq!(error.certainty(), Certainty::Unknown);
    insta::assert_snapshot!(text(&error), @"generate: engine e1 at ADDRESS did not answer within 200 ms");
    let stalled = scripted(stream(&token(0, "ab")), Then::Silence).await;
    let (count, error) = read(stalled, ClientSettings { idle_timeout_ms: 300, ..settings() }).await;
    assert_eq!(count, 1);
    insta::assert_snapshot!(text(&error.expect("silent")), @"generate: engine e1 at ADDRESS was silent for 300 ms in the middle of its answer");
}

#[tokio::test]
async fn only_a_typed_refusal_is_certain() {
    let typed = response("503 Service Unavailable", r#"{"refusal":"Leaving"}"#);
    let untyped = response("503 Service Unavailable", "<html>a gateway on the way</html>");
    let redirect = "HTTP/1.1 307 Temporary Redirect\r\nlocation: http://127.0.0.1:1/\r\ncontent-length: 0\r\n\r\n";
    let typed = scripted(typed, Then::Close).await;
    let error = engine(typed, settings()).generate(&request()).await.err().expect("refused");
    assert_eq!(error.certainty(), Certainty::NotRun);
    insta::assert_snapshot!(text(&error), @"generate: engine e1 at ADDRESS refused: the engine takes no new work");
    for answer in [untyped, redirect.to_owned()] {
        let address = scripted(answer, Then::Close).await;
        let error = engine(address, settings()).generate(&request()).await.err().expect("failed");
        let EngineError::Transport { error: TransportError::Status { .. } } = &error else {
            panic!("{error}")
        };
        assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
    }
}

#[tokio::test]
async fn a_connection_that_closes_without_a_word_is_unknown() {
    let address = scripted("", Then::Close).await;
    let error = engine(address, settings()).generate(&request()).await.err().expect("closed");
    let EngineError::Transport { error: TransportError::Broken { .. } } = &error else {
        panic!("{error}")
    };
    assert_eq!(error.certainty(), Certainty::Unknown);
}

#[tokio::test]
async fn a_refused_connection_is_certainly_not_sent() {
    // Bound and not listening: nobody else gets the port meanwhile.
    let reserved = TcpSocket::new_v4().expect("a socket");
    reserved.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = reserved.local_addr().expect("bound");
    let error = engine(address, settings()).generate(&request()).await.err().expect("refused");
    let EngineError::Transport { error: TransportError::Connect { .. } } = &error else {
        panic!("{error}")
    };
    assert_eq!(error.certainty(), Certainty::NotRun);
}

#[tokio::test]
async fn oversize_and_truncated_bodies_are_unknown() {
    let large = response("200 OK", &format!(r#"{{"version":{}}}"#, "1".repeat(5_000)));
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"version\":";
    let small = ClientSettings { max_body_bytes: 1_024, ..settings() };
    for (answer, expected) in [
        (large, "exceeds `max_body_bytes` of 1024 bytes"),
        (truncated.to_owned(), "the connection to key-value service"),
        (response("200 OK", "{}"), "missing field `version`"),
    ] {
        let address = scripted(answer, Then::Close).await;
        let client = KeyValueClient::new(&address.to_string(), small.clone());
        let error = client.compare_and_swap("key", None, Vec::new()).await.expect_err("unusable");
        assert!(error.to_string().contains(expected), "{error}");
        assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
        assert!(matches!(error, KeyValueError::Unknown { .. }));
    }
}
