//! Shared by the tests: quick clients, faults over the control endpoint, waiting on conditions.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_platform::{ClientSettings, KeyValueClient};
use dahlia_standins::{KeyValueServer, KeyValueSettings, RunningServer, ServerSettings};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A bound on waiting for a condition; reaching it fails the test.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Client settings with short timeouts, for tests that wait for them to pass.
pub fn impatient() -> ClientSettings {
    ClientSettings {
        connect_timeout_ms: 200,
        response_timeout_ms: 300,
        idle_timeout_ms: 300,
        ..ClientSettings::default()
    }
}

/// Client settings whose timeouts are never reached in a test that passes.
pub fn patient() -> ClientSettings {
    ClientSettings {
        connect_timeout_ms: 10_000,
        response_timeout_ms: 20_000,
        idle_timeout_ms: 20_000,
        ..ClientSettings::default()
    }
}

/// Server settings with control switched on.
pub fn controlled() -> ServerSettings {
    ServerSettings { control: true, ..ServerSettings::default() }
}

/// A key-value service without a rate limit that a test could reach.
pub async fn key_value(change: impl FnOnce(&mut KeyValueSettings)) -> RunningServer {
    let mut settings = KeyValueSettings {
        server: controlled(),
        requests_per_second: 1e6,
        burst: 1e6,
        ..KeyValueSettings::default()
    };
    change(&mut settings);
    KeyValueServer::start(settings).await.expect("the service starts")
}

/// A patient client of a key-value service.
pub fn key_value_client(server: &RunningServer) -> KeyValueClient {
    KeyValueClient::new(&server.address().to_string(), patient())
}

/// Posts JSON to a control endpoint.
pub async fn control<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    request: &impl Serialize,
) -> T {
    let url = format!("http://{address}/control/{path}");
    let response = reqwest::Client::new().post(url).json(request).send().await;
    let response = response.expect("the control endpoint answers");
    assert!(response.status().is_success(), "control {path}: {}", response.status());
    response.json().await.expect("the answer is JSON of the documented form")
}

/// Waits for a future, with a bound.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let waited = tokio::time::timeout(PATIENCE, future).await;
    waited.unwrap_or_else(|_| panic!("{what} did not happen within {PATIENCE:?}"))
}
