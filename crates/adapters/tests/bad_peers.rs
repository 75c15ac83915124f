//! How the adapters report peers that violate the protocol.

mod support;

use std::net::SocketAddr;

use dahlia_adapters::engine::{GenerateEvent, GenerateLine, GenerateRequest, StopReason};
use dahlia_adapters::key_value::LeaseId;
use dahlia_adapters::tool::{InvokeEvent, InvokeLine, InvokeRequest};
use dahlia_adapters::weights::FetchEvent;
use dahlia_adapters::{
    Certainty, ClientSettings, EngineClient, EngineEndpoint, EngineError, KeyValueClient,
    KeyValueError, MachineListClient, ToolClient, TransportError, WeightStoreClient,
};
use dahlia_types::{
    Attempt, AttemptId, Bytes, EngineId, Incarnation, ModelId, Repeatability, TenantId, Term,
    Tokens, Usage,
};
use futures::StreamExt;
use serde::Serialize;
use support::{AfterAnswer, response, spawn_peer, streamed_response};
use tokio::net::TcpSocket;

fn settings() -> ClientSettings {
    ClientSettings { connect_timeout_ms: 10_000, response_timeout_ms: 20_000, ..Default::default() }
}

fn engine_client(address: SocketAddr, settings: ClientSettings) -> EngineClient {
    let endpoint = EngineEndpoint { engine: EngineId::new("e1"), address: address.to_string() };
    EngineClient::new(endpoint, settings)
}

fn attempt_id() -> AttemptId {
    "p-1-0000000000000007/0/1/1".parse().expect("well formed")
}

fn generate_request() -> GenerateRequest {
    GenerateRequest {
        attempt: Attempt { id: attempt_id(), epoch: Term(1), engine_incarnation: Incarnation(1) },
        tenant: TenantId::new("bayou"),
        model: ModelId::new("m@1"),
        messages: Vec::new(),
        prompt_bound: Tokens(1),
        max_generated: Tokens(1),
        priority: 0,
    }
}

fn event_line(event: GenerateEvent) -> String {
    let line = GenerateLine { attempt: attempt_id(), event };
    serde_json::to_string(&line).expect("encodes") + "\n"
}

fn token_line(offset: u64, text: &str) -> String {
    event_line(GenerateEvent::Token { offset, text: text.to_owned() })
}

fn finished_line() -> String {
    event_line(GenerateEvent::Finished { usage: Usage::default(), stop: StopReason::End })
}

/// Reads a stream to its end. Returns the number of events and the error that ended it, if any.
async fn count_events(
    address: SocketAddr,
    settings: ClientSettings,
) -> (usize, Option<EngineError>) {
    let opened = engine_client(address, settings).generate(&generate_request()).await;
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

fn error_without_port(error: &EngineError) -> String {
    let text = error.to_string();
    let (before, rest) = text.split_once("127.0.0.1:").expect("the peer is named");
    format!("{before}ADDRESS{}", rest.trim_start_matches(|digit: char| digit.is_ascii_digit()))
}

#[tokio::test]
async fn a_well_formed_stream_ends_without_error() {
    let body = token_line(0, "ab") + &token_line(2, "c") + &finished_line();
    let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
    assert_eq!(count_events(address, settings()).await, (3, None));
}

#[tokio::test]
async fn into_stream_yields_the_same_events() {
    let body = token_line(0, "ab") + &finished_line();
    let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
    let opened =
        engine_client(address, settings()).generate(&generate_request()).await.expect("opens");
    let events: Vec<_> = opened.into_stream().collect().await;
    let usage = Usage::default();
    let expected = [
        Ok(GenerateEvent::Token { offset: 0, text: "ab".to_owned() }),
        Ok(GenerateEvent::Finished { usage, stop: StopReason::End }),
    ];
    assert_eq!(events, expected);
}

#[tokio::test]
async fn bytes_after_the_last_event_are_ignored() {
    let body = finished_line() + "garbage\n";
    let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
    assert_eq!(count_events(address, settings()).await, (1, None));
}

#[tokio::test]
async fn a_truncated_stream_leaves_the_outcome_unknown() {
    for body in [token_line(0, "ab"), token_line(0, "ab") + r#"{"attempt":"p-1-"#] {
        let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
        let (count, error) = count_events(address, settings()).await;
        let error = error.expect("truncated");
        assert_eq!((count, error.certainty()), (1, Certainty::Unknown));
        insta::allow_duplicates! {
            insta::assert_snapshot!(error_without_port(&error), @"generate: the answer of engine e1 at ADDRESS ended before its last event");
        }
    }
}

#[tokio::test]
async fn a_malformed_line_leaves_the_outcome_unknown() {
    let body = token_line(0, "ab") + "{\"event\":3}\n" + &finished_line();
    let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
    let (count, error) = count_events(address, settings()).await;
    let error = error.expect("malformed");
    assert_eq!((count, error.certainty()), (1, Certainty::Unknown));
    insta::assert_snapshot!(error_without_port(&error), @"generate: the answer of engine e1 at ADDRESS is malformed: expected value at line 1 column 10");
}

#[tokio::test]
async fn a_line_over_the_limit_is_an_error() {
    let body = token_line(0, &"x".repeat(5_000)) + &finished_line();
    let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
    let small = ClientSettings { max_line_bytes: 1_000, ..settings() };
    let (count, error) = count_events(address, small).await;
    let error = error.expect("too long");
    assert_eq!((count, error.certainty()), (0, Certainty::Unknown));
    insta::assert_snapshot!(error_without_port(&error), @"generate: the answer of engine e1 at ADDRESS exceeds `max_line_bytes` of 1000 bytes");
}

#[tokio::test]
async fn lost_and_repeated_pieces_are_errors() {
    for (second, expected) in [(5, "offset 5 where 2"), (0, "offset 0 where 2")] {
        let body = token_line(0, "ab") + &token_line(second, "cd") + &finished_line();
        let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
        let (count, error) = count_events(address, settings()).await;
        let error = error.expect("out of place");
        assert_eq!((count, error.certainty()), (1, Certainty::Unknown));
        assert!(error.to_string().contains(expected), "{error}");
    }
}

#[tokio::test]
async fn an_event_of_another_attempt_is_an_error() {
    let other = GenerateLine {
        attempt: "p-1-0000000000000008/0/1/1".parse().expect("well formed"),
        event: GenerateEvent::Token { offset: 0, text: "stray".to_owned() },
    };
    let body = serde_json::to_string(&other).expect("encodes") + "\n" + &finished_line();
    let address = spawn_peer(streamed_response(&body), AfterAnswer::Close).await;
    let (count, error) = count_events(address, settings()).await;
    let error = error.expect("crossed");
    assert_eq!((count, error.certainty()), (0, Certainty::Unknown));
    insta::assert_snapshot!(error_without_port(&error), @"generate: engine e1 at ADDRESS sent an event of p-1-0000000000000008/0/1/1 instead of p-1-0000000000000007/0/1/1");
}

#[tokio::test]
async fn response_and_idle_timeouts_apply() {
    let short_timeouts =
        ClientSettings { connect_timeout_ms: 100, response_timeout_ms: 200, ..settings() };
    let idle_peer = spawn_peer("", AfterAnswer::StayIdle).await;
    let error = engine_client(idle_peer, short_timeouts)
        .generate(&generate_request())
        .await
        .err()
        .expect("no answer");
    assert_eq!(error.certainty(), Certainty::Unknown);
    insta::assert_snapshot!(error_without_port(&error), @"generate: engine e1 at ADDRESS did not answer within 200 ms");
    let stalled_peer =
        spawn_peer(streamed_response(&token_line(0, "ab")), AfterAnswer::StayIdle).await;
    let (count, error) =
        count_events(stalled_peer, ClientSettings { idle_timeout_ms: 300, ..settings() }).await;
    assert_eq!(count, 1);
    insta::assert_snapshot!(error_without_port(&error.expect("silent")), @"generate: engine e1 at ADDRESS was silent for 300 ms in the middle of its answer");
}

#[tokio::test]
async fn only_a_typed_refusal_means_not_run() {
    let typed = response("503 Service Unavailable", r#"{"refusal":"Leaving"}"#);
    let untyped = response("503 Service Unavailable", "<html>a gateway on the way</html>");
    let redirect = "HTTP/1.1 307 Temporary Redirect\r\nlocation: http://127.0.0.1:1/\r\ncontent-length: 0\r\n\r\n";
    let typed = spawn_peer(typed, AfterAnswer::Close).await;
    let error = engine_client(typed, settings())
        .generate(&generate_request())
        .await
        .err()
        .expect("refused");
    assert_eq!(error.certainty(), Certainty::NotRun);
    insta::assert_snapshot!(error_without_port(&error), @"generate: engine e1 at ADDRESS refused: the engine takes no new work");
    for answer in [untyped, redirect.to_owned()] {
        let address = spawn_peer(answer, AfterAnswer::Close).await;
        let error = engine_client(address, settings())
            .generate(&generate_request())
            .await
            .err()
            .expect("failed");
        let EngineError::Transport { error: TransportError::Status { .. } } = &error else {
            panic!("{error}")
        };
        assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
    }
}

#[tokio::test]
async fn a_connection_closed_before_the_answer_leaves_the_outcome_unknown() {
    let address = spawn_peer("", AfterAnswer::Close).await;
    let error = engine_client(address, settings())
        .generate(&generate_request())
        .await
        .err()
        .expect("closed");
    let EngineError::Transport { error: TransportError::Broken { .. } } = &error else {
        panic!("{error}")
    };
    assert_eq!(error.certainty(), Certainty::Unknown);
}

#[tokio::test]
async fn a_refused_connection_means_not_run() {
    // The socket is bound but not listening, so no other process can take the port.
    let reserved = TcpSocket::new_v4().expect("a socket");
    reserved.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = reserved.local_addr().expect("bound");
    let error = engine_client(address, settings())
        .generate(&generate_request())
        .await
        .err()
        .expect("refused");
    let EngineError::Transport { error: TransportError::Connect { .. } } = &error else {
        panic!("{error}")
    };
    assert_eq!(error.certainty(), Certainty::NotRun);
}

#[tokio::test]
async fn oversize_and_truncated_bodies_leave_the_outcome_unknown() {
    let large = response("200 OK", &format!(r#"{{"version":{}}}"#, "1".repeat(5_000)));
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{\"version\":";
    let small = ClientSettings { max_body_bytes: 1_024, ..settings() };
    for (answer, expected) in [
        (large, "exceeds `max_body_bytes` of 1024 bytes"),
        (truncated.to_owned(), "the connection to key-value service"),
        (response("200 OK", "{}"), "missing field `version`"),
    ] {
        let address = spawn_peer(answer, AfterAnswer::Close).await;
        let client = KeyValueClient::new(&address.to_string(), small.clone());
        let error = client.compare_and_swap("key", None, Vec::new()).await.expect_err("unusable");
        assert!(error.to_string().contains(expected), "{error}");
        assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
        assert!(matches!(error, KeyValueError::Unknown { .. }));
    }
}

/// Guards against an answer that ends with its connection, because its peer died, and is taken for whole.
#[tokio::test]
async fn an_answer_cut_at_any_byte_leaves_the_outcome_unknown() {
    for call in ALL_CALLS {
        let whole = call.answer();
        for length in 0..whole.len() {
            let cut = &whole[..length];
            let address = spawn_peer(streamed_response(cut), AfterAnswer::Close).await;
            assert_eq!(call.send(address).await, Err(Certainty::Unknown), "{call:?}: {cut:?}");
        }
        let address = spawn_peer(streamed_response(&whole), AfterAnswer::Close).await;
        assert_eq!(call.send(address).await, Ok(()), "{call:?}");
    }
}

/// Guards against a refusal that broke off and is taken for the promise that the attempt has not run.
#[tokio::test]
async fn a_refusal_cut_at_any_byte_leaves_the_outcome_unknown() {
    let whole = r#"{"refusal":"Leaving"}"#;
    for length in 0..=whole.len() {
        let head = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\r\n";
        let address = spawn_peer(format!("{head}{}", &whole[..length]), AfterAnswer::Close).await;
        let opened = engine_client(address, settings()).generate(&generate_request()).await;
        let is_whole = length == whole.len();
        let expected = if is_whole { Certainty::NotRun } else { Certainty::Unknown };
        let certainty = opened.err().expect("no stream").certainty();
        assert_eq!(certainty, expected, "{:?}", &whole[..length]);
    }
}

/// Calls with every form of answer: bodies, and lines with a last event.
#[derive(Debug, Clone, Copy)]
enum Call {
    Generate,
    GetKey,
    RevokeLease,
    Machines,
    ToolState,
    Invoke,
    FetchWeights,
}

const ALL_CALLS: [Call; 7] = [
    Call::Generate,
    Call::GetKey,
    Call::RevokeLease,
    Call::Machines,
    Call::ToolState,
    Call::Invoke,
    Call::FetchWeights,
];

impl Call {
    /// The body of a whole answer.
    fn answer(self) -> String {
        let done = InvokeEvent::Done { body: "12".to_owned() };
        let fetched = FetchEvent::Done { transferred: Bytes(12) };
        match self {
            Self::Generate => token_line(0, "ab") + &finished_line(),
            Self::GetKey => r#"{"revision":12,"found":null}"#.to_owned(),
            Self::RevokeLease => "{}".to_owned(),
            Self::Machines => r#"{"revision":12,"at":34,"machines":[]}"#.to_owned(),
            Self::ToolState => r#""NeverStarted""#.to_owned(),
            Self::Invoke => line(&InvokeLine { attempt: attempt_id(), event: done }),
            Self::FetchWeights => line(&fetched),
        }
    }

    /// Sends the call. Returns whether its answer is taken, or what is known of the call if it is not.
    async fn send(self, peer: SocketAddr) -> Result<(), Certainty> {
        let address = peer.to_string();
        let key_value = KeyValueClient::new(&address, settings());
        let tool = ToolClient::new(&address, settings());
        match self {
            Self::Generate => match count_events(peer, settings()).await {
                (_, None) => Ok(()),
                (_, Some(error)) => Err(error.certainty()),
            },
            Self::GetKey => {
                let found = key_value.get("key").await;
                found.map(drop).map_err(|error| error.certainty())
            }
            Self::RevokeLease => {
                let revoked = key_value.revoke_lease(LeaseId(1)).await;
                revoked.map_err(|error| error.certainty())
            }
            Self::Machines => {
                let listed = MachineListClient::new(&address, settings()).list().await;
                listed.map(drop).map_err(|error| error.certainty())
            }
            Self::ToolState => {
                let state = tool.attempt(attempt_id()).await;
                state.map(drop).map_err(|error| error.certainty())
            }
            Self::Invoke => {
                let result = tool.invoke(&invoke_request()).await;
                result.map(drop).map_err(|error| error.certainty())
            }
            Self::FetchWeights => {
                let client = WeightStoreClient::new(&address, settings());
                let fetched = client.fetch(&ModelId::new("m@1"), &EngineId::new("e1")).await;
                fetched.map(drop).map_err(|error| error.certainty())
            }
        }
    }
}

fn invoke_request() -> InvokeRequest {
    InvokeRequest {
        attempt: generate_request().attempt,
        tenant: TenantId::new("bayou"),
        service: "ledger".to_owned(),
        body: String::new(),
        repeatability: Repeatability::AtMostOnce,
    }
}

fn line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("encodes") + "\n"
}
