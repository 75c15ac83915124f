//! Shared by the tests: quick clients, faults over the control endpoint, waiting on conditions.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_adapters::engine::{EventStream, GenerateEvent, GenerateRequest, StopReason};
use dahlia_adapters::{ClientSettings, EngineClient, EngineEndpoint, EngineError, KeyValueClient};
use dahlia_standins::control::Observations;
use dahlia_standins::engine::{EngineFaults, EngineObservation, count_prompt};
use dahlia_standins::{
    ControlClient, EngineServer, EngineSettings, KeyValueServer, KeyValueSettings, RunningServer,
    ServerSettings,
};
use dahlia_types::{
    Attempt, AttemptId, CallId, ChainId, EngineId, GroupId, Incarnation, Message, ModelId,
    ProgramId, Role, TenantId, Term, Tokens, Usage,
};
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
    name: &str,
    request: &impl Serialize,
) -> T {
    let answer = ControlClient::new(address).post(name, request).await;
    answer.expect("the control endpoint serves")
}

/// Waits for a future, with a bound.
pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let waited = tokio::time::timeout(PATIENCE, future).await;
    waited.unwrap_or_else(|_| panic!("{what} did not happen within {PATIENCE:?}"))
}

/// A fast engine with control switched on.
pub async fn engine(change: impl FnOnce(&mut EngineSettings)) -> RunningServer {
    let mut settings =
        EngineSettings { server: controlled(), speed: 20.0, ..EngineSettings::default() };
    change(&mut settings);
    EngineServer::start(settings).await.expect("the engine starts")
}

/// A client of an engine.
pub fn engine_client(server: &RunningServer, settings: ClientSettings) -> EngineClient {
    let address = server.address().to_string();
    EngineClient::new(EngineEndpoint { engine: EngineId::new("engine"), address }, settings)
}

/// Puts faults of an engine in force.
pub async fn set_engine_faults(server: &RunningServer, faults: EngineFaults) {
    let set = ControlClient::new(server.address()).set_faults(&faults).await;
    set.expect("the control endpoint serves");
}

/// What an engine saw.
pub async fn engine_observations(server: &RunningServer) -> Vec<EngineObservation> {
    let seen = ControlClient::new(server.address()).observations(0).await;
    let seen: Observations<EngineObservation> = seen.expect("the control endpoint serves");
    assert_eq!(seen.dropped, 0);
    seen.observations.into_iter().map(|seen| seen.event).collect()
}

/// A program by its number.
pub fn program(number: u64) -> ProgramId {
    ProgramId { group: GroupId(1), number }
}

/// The first attempt of the first call of a program.
pub fn attempt_of(program: ProgramId) -> AttemptId {
    AttemptId { call: CallId { program, chain: ChainId(0), number: 1 }, attempt: 1 }
}

/// A message of a user.
pub fn user(content: &str) -> Message {
    Message { role: Role::User, content: content.to_owned() }
}

/// A request for the first attempt of a program in epoch 1, meant for this life of the engine.
pub async fn request(client: &EngineClient, program: ProgramId, text: &str) -> GenerateRequest {
    let load = client.load().await.expect("the engine tells its life");
    request_for(load.incarnation, program, text)
}

/// The same for a known life.
pub fn request_for(incarnation: Incarnation, program: ProgramId, text: &str) -> GenerateRequest {
    let messages = vec![user(text)];
    GenerateRequest {
        attempt: Attempt {
            id: attempt_of(program),
            epoch: Term(1),
            engine_incarnation: incarnation,
        },
        tenant: TenantId::new("bayou"),
        model: ModelId::new("agent-8b/base@1"),
        prompt_bound: count_prompt(&messages),
        messages,
        max_generated: Tokens(200_000),
        priority: 0,
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The text from the offset at which the stream began.
    pub text: String,
    /// Tokens used.
    pub usage: Usage,
    /// Why it ended.
    pub stop: StopReason,
}

/// Reads a stream to its end.
pub async fn read_all(mut stream: EventStream) -> Result<Answer, (String, EngineError)> {
    let reading = async {
        let mut text = String::new();
        loop {
            match stream.next().await.expect("a last event comes before the end") {
                Ok(GenerateEvent::Token { text: piece, .. }) => text.push_str(&piece),
                Ok(GenerateEvent::Finished { usage, stop }) => {
                    return Ok(Answer { text, usage, stop });
                }
                Ok(GenerateEvent::NeverStarted) => panic!("{} never started", stream.attempt()),
                Ok(_) => {}
                Err(error) => return Err((text, error)),
            }
        }
    };
    within("the end of a stream", reading).await
}

/// Reads a stream until the attempt has given some text.
pub async fn read_some(stream: &mut EventStream) -> String {
    let reading = async {
        loop {
            match stream.next().await.expect("text comes before the end").expect("no error") {
                GenerateEvent::Token { text, .. } => return text,
                event => assert!(!event.is_last(), "text comes before the end"),
            }
        }
    };
    within("the first text", reading).await
}
