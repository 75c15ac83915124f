//! The binary as separate processes, and the plain chat-completions endpoint.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use dahlia_adapters::KeyValueClient;
use dahlia_standins::{ControlClient, ControlError, ServerSettings};
use serde_json::{Value, json};
use support::{engine, key_value, patient, within};

const BINARY: &str = env!("CARGO_BIN_EXE_dahlia-standin");

/// A process that is ended with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(arguments: &[&str]) -> (Process, String) {
    let command = Command::new(BINARY).args(arguments).stdout(Stdio::piped()).spawn();
    let mut process = Process(command.expect("the binary starts"));
    let output = process.0.stdout.take().expect("piped");
    let mut line = String::new();
    BufReader::new(output).read_line(&mut line).expect("a line");
    let address = line.trim().strip_prefix("listening ").expect("the documented line");
    (process, address.to_owned())
}

#[tokio::test]
async fn a_service_announces_its_address_and_stops_on_sigterm() {
    let folder = tempfile::tempdir().expect("a folder");
    let port_file = folder.path().join("port");
    let path = port_file.to_str().expect("UTF-8");
    let (mut process, address) = start(&["kv", "--port-file", path]);
    let port = std::fs::read_to_string(&port_file).expect("written before the line");
    assert!(address.ends_with(&format!(":{}", port.trim())), "{address} {port}");
    let client = KeyValueClient::new(&address, patient());
    client.compare_and_swap("key", None, b"value".to_vec()).await.expect("served");
    let id = process.0.id().to_string();
    let killed = Command::new("kill").args(["-TERM", &id]).status().expect("kill runs");
    assert!(killed.success());
    assert_eq!(process.0.wait().expect("it ends").code(), Some(0));
}

#[test]
fn every_service_starts() {
    for service in ["engine", "kv", "weights", "tool", "machines"] {
        let (_process, address) = start(&[service, "--control"]);
        assert!(address.starts_with("127.0.0.1:"), "{service}: {address}");
    }
}

#[test]
fn wrong_settings_are_refused_by_name() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("wrong.toml");
    std::fs::write(&file, "speeed = 2.0\n").expect("written");
    let path = file.to_str().expect("UTF-8");
    for (arguments, expected) in [
        (["engine", "--speed", "0"], "setting `speed` is 0; allowed: 0.001 to 100000"),
        (["engine", "--settings", path], "unknown field `speeed`"),
        (["kv", "--burst", "0"], "setting `burst` is 0; allowed: 1 to 1000000000"),
    ] {
        let output = Command::new(BINARY).args(arguments).output().expect("the binary runs");
        let text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(expected), "{text}");
    }
}

async fn post(address: &str, path: &str, body: &Value) -> (u16, String) {
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    let request = client.post(format!("http://{address}{path}")).json(body);
    let response = within("an answer", request.send()).await.expect("an answer");
    let status = response.status().as_u16();
    (status, response.text().await.expect("a whole body"))
}

#[tokio::test]
async fn plain_chat_completions_are_served_whole_and_streamed() {
    let server = engine(|_| {}).await;
    let address = server.address().to_string();
    let path = "/v1/chat/completions";
    let mut chat = json!({
        "model": "agent-8b/base@1",
        "messages": [{ "role": "user", "content": "hello [[tokens=12]]" }],
        "temperature": 0,
    });
    let (status, whole) = post(&address, path, &chat).await;
    assert_eq!(status, 200, "{whole}");
    let whole: Value = serde_json::from_str(&whole).expect("JSON");
    let message = &whole["choices"][0];
    assert_eq!(message["finish_reason"], "stop");
    assert_eq!(whole["usage"]["completion_tokens"], 12);
    assert_eq!(message["message"]["content"].as_str().map(str::len), Some(32));
    chat["stream"] = json!(true);
    let (_, streamed) = post(&address, path, &chat).await;
    let events: Vec<&str> =
        streamed.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    assert_eq!(events.last(), Some(&"[DONE]"));
    let pieces = events.iter().filter_map(|event| serde_json::from_str::<Value>(event).ok());
    let text: String = pieces
        .filter_map(|piece| piece["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(text.len(), 32, "{streamed}");
    chat["model"] = json!("unknown");
    let (status, error) = post(&address, path, &chat).await;
    assert_eq!(status, 404);
    insta::assert_snapshot!(error, @r#"{"error":{"message":"model unknown is not loaded","type":"invalid_request_error"}}"#);
}

#[tokio::test]
async fn malformed_and_oversize_requests_are_refused_by_name() {
    let server = ServerSettings { max_body_bytes: 1_024, ..support::controlled() };
    let server = key_value(|settings| settings.server = server).await;
    let address = server.address().to_string();
    let (status, error) = post(&address, "/v1/get", &json!({ "kee": 1 })).await;
    assert_eq!(status, 400);
    insta::assert_snapshot!(error, @r#"{"refusal":{"Invalid":{"field":"body","detail":"missing field `key` at line 1 column 9"}}}"#);
    let (status, error) = post(&address, "/v1/get", &json!({ "key": "x".repeat(2_000) })).await;
    assert_eq!(status, 400);
    insta::assert_snapshot!(error, @r#"{"refusal":{"Invalid":{"field":"body","detail":"larger than 1024 bytes"}}}"#);
    let (status, _) = post(&address, "/control/faults", &json!({ "outtage": "refuse" })).await;
    assert_eq!(status, 400, "an unknown fault is not ignored");
    let (status, _) = post(&address, "/v1/unknown", &json!({})).await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn a_body_that_stops_coming_is_refused_in_time() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let server = ServerSettings { body_timeout_ms: 50, ..support::controlled() };
    let server = key_value(|settings| settings.server = server).await;
    let mut stream = tokio::net::TcpStream::connect(server.address()).await.expect("connected");
    let head = "POST /v1/get HTTP/1.1\r\nhost: test\r\ncontent-length: 100\r\n\r\n{\"key\":";
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let expected = "not complete within 50 ms";
    let reading = async {
        while !String::from_utf8_lossy(&answer).contains(expected) {
            assert!(stream.read_buf(&mut answer).await.expect("read") > 0, "closed without a word");
        }
    };
    within("the refusal", reading).await;
    assert!(answer.starts_with(b"HTTP/1.1 400"));
}

#[tokio::test]
async fn control_is_off_unless_switched_on() {
    let server = key_value(|settings| settings.server = ServerSettings::default()).await;
    let address = server.address().to_string();
    let (status, _) = post(&address, "/control/faults", &json!({})).await;
    assert_eq!(status, 404);
    let refused = ControlClient::new(server.address()).set_faults(&json!({})).await;
    assert!(matches!(refused, Err(ControlError::Refused { status: 404, .. })), "{refused:?}");
}
