//! Daemons in the test process on loopback, with stand-ins for the platform.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use dahlia_api::headers;
use dahlia_api::operators::programs_client::ProgramsClient;
use dahlia_api::operators::{CreateProgramRequest, Program};
use dahlia_daemon::assembly::{self, RunningDaemon};
use dahlia_daemon::settings::Settings;
use dahlia_standins::engine::EngineObservation;
use dahlia_standins::{
    ControlClient, EngineServer, EngineSettings, KeyValueServer, KeyValueSettings, RunningServer,
    ServerSettings,
};
use dahlia_types::{EngineId, ModelId, TenantId, TenantKey};
use reqwest::{Client, RequestBuilder, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use tonic::transport::Channel;

pub const TENANT: &str = "roof-crew";
pub const MODEL: &str = "agent-llm";
pub const OPERATOR_TOKEN: &str = "operator-token-of-tests";
const TENANT_KEY: &str = "tenant-key-of-tests";
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
const GROUPS: u64 = 4;

/// The system to start.
pub struct Plan {
    /// Number of daemons. Each group has one replica.
    pub daemons: u32,
    /// How many times faster than real time the engine runs.
    pub speed: f64,
    /// Lines of TOML for the table `limits`.
    pub limits: &'static str,
}

impl Default for Plan {
    fn default() -> Self {
        Self { daemons: 1, speed: 200.0, limits: "" }
    }
}

/// Running daemons and their platform.
pub struct System {
    pub daemons: Vec<RunningDaemon>,
    pub client: Client,
    engine: RunningServer,
    _key_value: RunningServer,
}

impl System {
    /// Starts one daemon without special limits.
    pub async fn one_daemon() -> Self {
        Self::start(Plan::default()).await
    }

    /// Starts a system and waits until it serves.
    pub async fn start(plan: Plan) -> Self {
        let control = ServerSettings { control: true, ..ServerSettings::default() };
        let key_value = KeyValueServer::start(KeyValueSettings::default()).await.expect("starts");
        let engine = EngineServer::start(EngineSettings {
            server: control,
            engine: EngineId::new("engine-1"),
            models: vec![ModelId::new(MODEL)],
            speed: plan.speed,
            ..EngineSettings::default()
        });
        let engine = engine.await.expect("starts");
        let mut daemons: Vec<RunningDaemon> = Vec::new();
        for id in 1..=plan.daemons {
            let seeds: Vec<String> = daemons
                .iter()
                .map(|daemon| format!("{:?}", daemon.peer_address.to_string()))
                .collect();
            let text = settings(&plan, id, &seeds.join(","), key_value.address(), engine.address());
            let settings: Settings = toml::from_str(&text).expect("the settings are valid TOML");
            settings.check().expect("the settings are valid");
            daemons.push(assembly::start(&settings).await.expect("the ports are free"));
        }
        let client = Client::builder().no_proxy().build().expect("a client without TLS builds");
        let system = Self { daemons, client, engine, _key_value: key_value };
        system.wait_until_ready().await;
        system
    }

    async fn wait_until_ready(&self) {
        let started = Instant::now();
        loop {
            let mut ready = 0;
            let mut led = 0;
            for position in 0..self.daemons.len() {
                let status = self.status(position).await;
                let serves = status["ready"] == json!(true) && status["live_engines"] == json!(1);
                ready += usize::from(serves);
                led += status["groups_led"].as_u64().unwrap_or(0);
            }
            if ready == self.daemons.len() && led == GROUPS {
                return;
            }
            assert!(started.elapsed() < READY_TIMEOUT, "{ready} ready, {led} groups with an owner");
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// The answer of a daemon's `/readyz`.
    pub async fn status(&self, position: usize) -> Value {
        let answer = self.client.get(self.url(position, "/readyz")).send().await.expect("answers");
        answer.json().await.expect("JSON")
    }

    /// The answer of a daemon's `/metrics`.
    pub async fn metrics(&self, position: usize) -> String {
        let answer = self.client.get(self.url(position, "/metrics")).send().await.expect("answers");
        answer.text().await.expect("text")
    }

    pub fn gateway(&self, position: usize) -> SocketAddr {
        self.daemons[position].gateway_address
    }

    pub fn url(&self, position: usize, path: &str) -> String {
        format!("http://{}{path}", self.gateway(position))
    }

    /// The engine's faults and observations.
    pub fn engine(&self) -> ControlClient {
        ControlClient::new(self.engine.address())
    }

    /// The answer headers of all attempts that the engine accepted into its queue.
    pub async fn accepted(&self) -> Vec<String> {
        let observed = self.engine().observations::<EngineObservation>(0).await.expect("control");
        let begins = observed.observations.into_iter().filter_map(|seen| match seen.event {
            EngineObservation::Accepted { answer_begins, .. } => Some(answer_begins),
            _ => None,
        });
        begins.collect()
    }

    pub async fn operators(&self, position: usize) -> ProgramsClient<Channel> {
        let address = self.daemons[position].operators_address;
        ProgramsClient::connect(format!("http://{address}")).await.expect("connects")
    }

    /// Creates a program of [`TENANT`] with a large budget.
    pub async fn program(&self) -> String {
        self.program_with(TENANT, 1_000_000).await.program
    }

    pub async fn program_with(&self, tenant: &str, budget_tokens: u64) -> Program {
        let request = CreateProgramRequest {
            tenant: tenant.to_owned(),
            model: MODEL.to_owned(),
            budget_tokens,
            ..CreateProgramRequest::default()
        };
        let mut operators = self.operators(0).await;
        operators.create(with_token(request)).await.expect("is created").into_inner()
    }

    /// A chat request of [`TENANT`], ready for more headers.
    pub fn chat(&self, position: usize, program: &str, body: &Value) -> RequestBuilder {
        self.client
            .post(self.url(position, "/v1/chat/completions"))
            .bearer_auth(credential(TENANT))
            .header(headers::PROGRAM, program)
            .json(body)
    }

    /// Sends one user message and returns the whole answer, which is long enough to contain its header.
    pub async fn ask(&self, program: &str, text: &str) -> Reply {
        send(self.chat(0, program, &whole(text, 24))).await
    }

    /// A request that reads or resumes a call's answer.
    pub fn read(&self, position: usize, call: &str, query: &str) -> RequestBuilder {
        let parts: Vec<&str> = call.split('/').collect();
        let [program, chain, number] = parts[..] else { panic!("{call} is no call") };
        let path = format!("/v1/programs/{program}/chains/{chain}/calls/{number}/answer{query}");
        self.client.get(self.url(position, &path)).bearer_auth(credential(TENANT))
    }
}

fn settings(
    plan: &Plan,
    id: u32,
    seeds: &str,
    key_value: SocketAddr,
    engine: SocketAddr,
) -> String {
    let Plan { daemons, limits, .. } = plan;
    format!(
        r#"
[daemon]
id = {id}
zone = "hall-a"
region = "gulf-south"
peer_address = "127.0.0.1:0"
gateway_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
seeds = [{seeds}]
drain_ms = 10000
[credentials]
tenant_key = "{TENANT_KEY}"
operator_token = "{OPERATOR_TOKEN}"
peer_key = "peer-key-of-the-tests"
[platform]
key_value = "{key_value}"
[[platform.engines]]
id = "engine-1"
address = "{engine}"
zone = "hall-a"
models = ["{MODEL}"]
[layout]
groups = {GROUPS}
bootstrap_daemons = {daemons}
[tolerance]
machines = 0
[limits]
{limits}
"#
    )
}

/// The credential of a tenant.
pub fn credential(tenant: &str) -> String {
    TenantKey::new(TENANT_KEY.as_bytes()).issue(&TenantId::new(tenant))
}

/// An operators' request with the token.
pub fn with_token<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let header = format!("Bearer {OPERATOR_TOKEN}").parse().expect("plain characters");
    request.metadata_mut().insert("authorization", header);
    request
}

/// The body of a request for a whole answer.
pub fn whole(text: &str, max_tokens: u64) -> Value {
    json!({"model": "", "max_tokens": max_tokens, "messages": [{"role": "user", "content": text}]})
}

/// The body of a request for a streamed answer.
pub fn streamed(text: &str, max_tokens: u64) -> Value {
    let mut body = whole(text, max_tokens);
    body["stream"] = json!(true);
    body
}

/// A received HTTP answer.
#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub headers: reqwest::header::HeaderMap,
    pub text: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }

    /// The text of a whole answer.
    pub fn content(&self) -> String {
        assert_eq!(self.status, StatusCode::OK, "{self:?}");
        self.json()["choices"][0]["message"]["content"].as_str().expect("content").to_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(|value| value.to_str().expect("plain characters"))
    }

    /// The call that the headers name.
    pub fn call(&self) -> String {
        let part = |name| self.header(name).expect("the call is named");
        format!(
            "{}/{}/{}",
            part(headers::PROGRAM),
            part(headers::CHAIN),
            part(headers::CALL_NUMBER)
        )
    }

    /// Status, error headers and body, for snapshots.
    pub fn error(&self) -> Value {
        json!({
            "status": self.status.as_u16(),
            "x-error": self.header(headers::ERROR),
            "x-should-retry": self.header(headers::SHOULD_RETRY),
            "retry-after": self.header("retry-after"),
            "body": self.json(),
        })
    }

    /// The events of a streamed answer.
    pub fn events(&self) -> Vec<Event> {
        assert_eq!(self.status, StatusCode::OK, "{self:?}");
        assert_eq!(self.header("content-type"), Some("text/event-stream"));
        self.text.split_terminator("\n\n").map(Event::parse).collect()
    }

    /// The text of a streamed answer that ended with `[DONE]`.
    pub fn streamed_text(&self) -> String {
        let events = self.events();
        assert_eq!(events.last().map(|event| event.data.as_str()), Some("[DONE]"), "{self:?}");
        events.iter().map(Event::content).collect()
    }
}

/// One server-sent event.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    pub name: Option<String>,
    pub id: Option<String>,
    pub data: String,
}

impl Event {
    fn parse(text: &str) -> Self {
        let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
        Self {
            name: field("event: ").map(str::to_owned),
            id: field("id: ").map(str::to_owned),
            data: field("data: ").expect("every event has data").to_owned(),
        }
    }

    /// The text in the event.
    pub fn content(&self) -> String {
        let data: Value = serde_json::from_str(&self.data).unwrap_or_default();
        data["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// Sends a request and reads the whole answer.
pub async fn send(request: RequestBuilder) -> Reply {
    let answer = request.send().await.expect("the gateway answers");
    let (status, headers) = (answer.status(), answer.headers().clone());
    Reply { status, headers, text: answer.text().await.expect("a whole answer") }
}
