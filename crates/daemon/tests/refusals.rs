//! Error answers to callers, with status, headers and body, and the limits that lead to them.

mod support;

use std::time::Duration;

use dahlia_api::headers;
use futures::stream;
use reqwest::{Body, StatusCode};
use serde_json::{Value, json};
use support::{Plan, Reply, System, TENANT, credential, send, streamed, whole};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Far longer than any time limit that a test sets.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Heads of at most 8 KiB and bodies of at most 4 KiB, received within 200 ms, one request at a time.
const SMALL_LIMITS: &str = "body_bytes = 4096\nmessages = 2\nmessage_bytes = 1000\nreceive_ms = 200\n\
                     key_bytes = 8\nconcurrent_requests = 1\n\
                     head_bytes = 8192\nheaders = 10";

async fn system_with_small_limits() -> System {
    System::start(Plan { limits: SMALL_LIMITS, ..Plan::default() }).await
}

/// The error answer, with the program masked because it differs from run to run.
fn masked_error(reply: &Reply, program: &str) -> Value {
    let text = reply.error().to_string().replace(program, "<program>");
    serde_json::from_str(&text).expect("still JSON")
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_wrong_fields_are_refused_by_name() {
    let system = system_with_small_limits().await;
    let program = system.program().await;
    let chat = |body: &Value| system.chat(0, &program, body);
    let user = |text: &str| json!({"role": "user", "content": text});
    let good = whole("Fault code 31", 8);
    let mut errors = Vec::new();
    let requests = [
        ("no message", chat(&json!({"messages": []}))),
        ("too many messages", chat(&json!({"messages": [user("a"), user("b"), user("c")]}))),
        ("message too long", chat(&whole(&"x".repeat(1_001), 8))),
        ("unknown role", chat(&json!({"messages": [{"role": "oracle", "content": "x"}]}))),
        ("no tokens", chat(&whole("x", 0))),
        ("too many tokens", chat(&whole("x", 1_000_000))),
        ("malformed JSON", chat(&good).body("{\"messages\": [")),
        ("not an object", chat(&good).body("[]")),
        ("chain is no number", chat(&good).header(headers::CHAIN, "main")),
        ("call 0", chat(&good).header(headers::CALL_NUMBER, 0)),
        ("key too long", chat(&good).header(headers::IDEMPOTENCY_KEY, "123456789")),
        ("empty key", chat(&good).header(headers::IDEMPOTENCY_KEY, "")),
        ("no such parent", chat(&good).header(headers::CHAIN, 1).header(headers::PARENT_CHAIN, 7)),
        ("early call", chat(&good).header(headers::CALL_NUMBER, 2)),
        ("body too large", chat(&json!({"messages": [user("x")], "padding": "x".repeat(5_000)}))),
    ];
    for (name, request) in requests {
        let reply = send(request).await;
        errors.push(json!({"request": name, "answer": masked_error(&reply, &program)}));
    }
    insta::assert_json_snapshot!(errors);
    assert_eq!(system.accepted().await.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn program_header_is_needed() {
    let system = System::one_daemon().await;
    let url = system.url(0, "/v1/chat/completions");
    let request = || system.client.post(&url).bearer_auth(credential(TENANT)).json(&whole("x", 8));
    let missing = send(request()).await;
    let malformed = send(request().header(headers::PROGRAM, "p-1-xyz")).await;
    insta::assert_json_snapshot!(json!([missing.error(), malformed.error()]));
}

#[tokio::test(flavor = "multi_thread")]
async fn key_and_number_stand_for_one_content() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let request = |text: &str| {
        system.chat(0, &program, &whole(text, 8)).header(headers::IDEMPOTENCY_KEY, "flash-1")
    };
    send(request("Flash unit 1")).await.content();
    let reused = send(request("Flash unit 2")).await;
    let numbered = system.chat(0, &program, &whole("Flash unit 2", 8));
    let renumbered = send(numbered.header(headers::CALL_NUMBER, 1)).await;
    insta::assert_json_snapshot!(json!([
        masked_error(&reused, &program),
        masked_error(&renumbered, &program)
    ]));
    assert_eq!(system.accepted().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn budget_and_end_of_a_program_are_typed() {
    let system = System::one_daemon().await;
    let program = system.program_with(TENANT, 3).await.program;
    let exhausted = system.ask(&program, "A question longer than three tokens").await;
    let path = format!("/v1/programs/{program}");
    let close = system.client.delete(system.url(0, &path)).bearer_auth(credential(TENANT));
    assert_eq!(send(close).await.status, StatusCode::NO_CONTENT);
    let closed = system.ask(&program, "One more").await;
    insta::assert_json_snapshot!(json!([
        masked_error(&exhausted, &program),
        masked_error(&closed, &program)
    ]));
    assert_eq!(system.accepted().await.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn credential_opens_only_its_own_programs() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let call = system.ask(&program, "Serial 4711").await.call();
    let unknown = "p-0-00000000000000ff";
    let mut pairs = Vec::new();
    for name in [program.as_str(), unknown] {
        let call = call.replace(&program, name);
        let path = format!("/v1/programs/{name}");
        let requests = [
            system.chat(0, name, &whole("x", 8)),
            system.read(0, &call, ""),
            system.client.delete(system.url(0, &path)),
        ];
        let mut answers = Vec::new();
        for request in requests {
            let request = request.headers(bearer("another-tenant"));
            answers.push(masked_error(&send(request).await, name));
        }
        pairs.push(answers);
    }
    // Another tenant's program looks like one that does not exist.
    assert_eq!(pairs[0], pairs[1]);
    insta::assert_json_snapshot!(pairs[0]);
    assert_eq!(system.accepted().await.len(), 1);
}

fn bearer(tenant: &str) -> reqwest::header::HeaderMap {
    let value = format!("Bearer {}", credential(tenant)).parse().expect("plain characters");
    [(reqwest::header::AUTHORIZATION, value)].into_iter().collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_credentials_are_refused() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let url = system.url(0, "/v1/chat/completions");
    let request =
        || system.client.post(&url).header(headers::PROGRAM, &program).json(&whole("x", 8));
    let forged = credential(TENANT).replace(TENANT, "another-tenant");
    let answers = [
        send(request()).await,
        send(request().header("authorization", "Basic cm9vZg==")).await,
        send(request().bearer_auth("no-hash")).await,
        send(request().bearer_auth(forged)).await,
    ];
    let answers: Vec<Value> = answers.iter().map(Reply::error).collect();
    insta::assert_json_snapshot!(answers);
    assert_eq!(system.accepted().await.len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn unserved_paths_and_methods_are_typed() {
    let system = System::one_daemon().await;
    let answers = [
        send(system.client.post(system.url(0, "/v1/tools/warranty-lookup"))).await,
        send(system.client.get(system.url(0, "/v1/chat/completions"))).await,
        send(system.client.get(system.url(0, "/"))).await,
    ];
    let answers: Vec<Value> = answers.iter().map(Reply::error).collect();
    insta::assert_json_snapshot!(answers);
}

#[tokio::test(flavor = "multi_thread")]
async fn body_without_declared_length_is_cut_at_the_limit() {
    let system = system_with_small_limits().await;
    let program = system.program().await;
    let pieces = (0..64).map(|_| Ok::<_, std::io::Error>(" ".repeat(1_024)));
    let body = Body::wrap_stream(stream::iter(pieces));
    let reply = send(system.chat(0, &program, &json!({})).body(body)).await;
    insta::assert_json_snapshot!(reply.error());
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_body_is_refused() {
    let system = system_with_small_limits().await;
    let program = system.program().await;
    let piece = || Ok::<_, std::io::Error>(" ".repeat(64 * 1_024));
    let body = Body::wrap_stream(stream::repeat_with(piece));
    let request = system.chat(0, &program, &json!({})).body(body).send();
    // The request is refused or reset. Either way it ends, and its permit is free again.
    if let Ok(answer) = timeout(ANSWER_TIMEOUT, request).await.expect("ends in time") {
        assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    }
    system.ask(&program, "Fault code 31").await.content();
    assert_eq!(system.accepted().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn position_behind_the_answer_is_refused() {
    let system = System::one_daemon().await;
    let program = system.program().await;
    let call = system.ask(&program, "Fault code 31").await.call();
    let behind = send(system.read(0, &call, "?offset=1000000")).await;
    let no_number = send(system.read(0, &call, "?offset=-1")).await;
    let no_event = send(system.read(0, &call, "").header("last-event-id", "seven")).await;
    insta::assert_json_snapshot!(json!([behind.error(), no_number.error(), no_event.error()]));
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_place_is_refused_at_once() {
    let system = System::start(Plan { limits: SMALL_LIMITS, speed: 1.0, ..Plan::default() }).await;
    let program = system.program().await;
    let other = system.program().await;
    let first = system.chat(0, &program, &streamed("Fault code 31", 2_000)).send().await;
    let mut first = first.expect("the gateway answers");
    first.chunk().await.expect("no break").expect("a first piece");
    let refused = system.ask(&other, "Serial 4711").await;
    insta::assert_json_snapshot!(refused.error());
    // The first request still holds its permit, so the second did not wait for it.
    let metrics = system.metrics(0).await;
    assert!(metrics.contains("dahlialadder_attempts_total 1"), "{metrics}");
    assert_eq!(system.status(0).await["attempts"], json!(1));
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_body_times_out() {
    let system = system_with_small_limits().await;
    let program = system.program().await;
    let mut connection = send_head(&system, &program, 100).await;
    connection.write_all(b"{\"messages\"").await.expect("is open");
    let answer = read_to_end(&mut connection).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(answer.contains("the body did not arrive within 200 ms"), "{answer}");
    // Its permit is free again.
    system.ask(&program, "Fault code 31").await.content();
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_body_is_not_run() {
    let system = system_with_small_limits().await;
    let program = system.program().await;
    let mut connection = send_head(&system, &program, 100).await;
    connection.write_all(b"{\"messages\"").await.expect("is open");
    connection.shutdown().await.expect("is open");
    let answer = read_to_end(&mut connection).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400 "), "{answer}");
    system.ask(&program, "Fault code 31").await.content();
    assert_eq!(system.accepted().await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_head_times_out() {
    let system = system_with_small_limits().await;
    let mut connection = TcpStream::connect(system.gateway(0)).await.expect("connects");
    connection.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n").await.expect("open");
    let answer = read_to_end(&mut connection).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 408 "), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn head_over_its_limits_is_typed() {
    let system = system_with_small_limits().await;
    let health = || system.client.get(system.url(0, "/healthz"));
    let mut many = health();
    for number in 0..12 {
        many = many.header(format!("x-header-{number}"), "x");
    }
    let answers = [
        send(health().header("x-long", "x".repeat(9_000))).await,
        send(system.client.get(system.url(0, &format!("/{}", "x".repeat(9_000))))).await,
        send(many).await,
    ];
    // The count of bytes includes the address, whose length differs from run to run.
    let error = |reply: &Reply| {
        let text = reply.error().to_string();
        let start = text.find("has ").expect("says how much");
        let end = text.find("; the limit").expect("says the limit");
        serde_json::from_str::<Value>(&(text[..start].to_owned() + &text[end..])).expect("JSON")
    };
    let answers: Vec<Value> = answers.iter().map(error).collect();
    insta::assert_json_snapshot!(answers);
    assert_eq!(send(health()).await.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_head_is_refused() {
    let system = system_with_small_limits().await;
    let mut connection = TcpStream::connect(system.gateway(0)).await.expect("connects");
    let send_head = format!("GET /healthz HTTP/1.1\r\nhost: x\r\nx-long: {}", "x".repeat(1 << 20));
    // The daemon may refuse and close before all of it is written.
    let _ = connection.write_all(send_head.as_bytes()).await;
    let mut answer = Vec::new();
    // A reset instead of a closed connection is a refusal as well.
    let _ =
        timeout(ANSWER_TIMEOUT, connection.read_to_end(&mut answer)).await.expect("ends in time");
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431 "), "{answer}");
    assert_eq!(system.status(0).await["ready"], json!(true));
}

/// Opens a connection and sends the head of a chat request with a body of `length` bytes.
async fn send_head(system: &System, program: &str, length: usize) -> TcpStream {
    let mut connection = TcpStream::connect(system.gateway(0)).await.expect("connects");
    let send_head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         x-program-id: {program}\r\ncontent-length: {length}\r\n\r\n",
        credential(TENANT)
    );
    connection.write_all(send_head.as_bytes()).await.expect("is open");
    connection
}

async fn read_to_end(connection: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let reading = timeout(ANSWER_TIMEOUT, connection.read_to_end(&mut answer)).await;
    reading.expect("ends in time").expect("no break");
    String::from_utf8(answer).expect("text")
}
