//! Daemons on loopback that can be killed, with stand-ins for the platform. Each daemon has its own
//! runtime. Shutting that down ends all of its tasks and connections at once, as a crash of its process
//! does.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use dahlia_adapters::machines::{Machine, MachineKind, MachineState};
use dahlia_api::headers;
use dahlia_api::operators::configuration_client::ConfigurationClient;
use dahlia_api::operators::machines_client::MachinesClient;
use dahlia_api::operators::programs_client::ProgramsClient;
use dahlia_api::operators::{
    ApplyConfigurationRequest, CloseProgramRequest, ConfigurationGeneration, CreateProgramRequest,
    Program, ShowConfigurationRequest,
};
use dahlia_daemon::assembly;
use dahlia_daemon::settings::Settings;
use dahlia_standins::engine::EngineObservation;
use dahlia_standins::key_value::KeyValueFaults;
use dahlia_standins::machines::MachineChange;
use dahlia_standins::{
    ControlClient, EngineServer, EngineSettings, KeyValueServer, KeyValueSettings,
    MachineListServer, MachineListSettings, RunningServer, ServerSettings,
};
use dahlia_types::{
    Duration as Length, EngineId, ModelId, Region, TenantId, TenantKey, Timestamp, Zone,
};
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};
use tonic::Status;
use tonic::transport::{Channel, Endpoint};

pub const MODEL: &str = "agent-llm";
pub const OPERATOR_TOKEN: &str = "operator-token-of-tests";
const TENANT: &str = "roof-crew";
const TENANT_KEY: &str = "tenant-key-of-tests";
const GROUPS: u64 = 4;
/// A generous bound on any wait; a run that reaches it has failed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout for one request of an operator or one status query.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The system to start.
pub struct Plan {
    /// Number of daemons. If there are three, each has a replica of each group.
    pub daemons: u32,
    /// Number of engines.
    pub engines: u32,
    /// Attempts that an engine runs at once.
    pub max_batch: u32,
    /// Placement policy.
    pub policy: &'static str,
}

impl Default for Plan {
    fn default() -> Self {
        Self { daemons: 4, engines: 2, max_batch: 64, policy: "program-aware" }
    }
}

/// One daemon.
pub struct DaemonUnderTest {
    id: u32,
    /// None after the daemon was killed.
    runtime: Option<Runtime>,
    pub gateway: SocketAddr,
    pub operators: SocketAddr,
    peers: SocketAddr,
}

impl Drop for DaemonUnderTest {
    fn drop(&mut self) {
        self.kill();
    }
}

impl DaemonUnderTest {
    /// Ends the daemon at once.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Daemons and their platform.
pub struct System {
    pub daemons: Vec<DaemonUnderTest>,
    pub http: reqwest::Client,
    engines: Vec<RunningServer>,
    key_value: RunningServer,
    machines: RunningServer,
    plan: Plan,
}

impl System {
    /// Starts everything and waits until every group has an owner.
    pub async fn start(plan: Plan) -> Self {
        let key_value = KeyValueSettings { server: with_control(), ..KeyValueSettings::default() };
        let machines = MachineListSettings {
            server: with_control(),
            lag_ms: 500,
            ..MachineListSettings::default()
        };
        let mut engines = Vec::new();
        for number in 1..=plan.engines {
            let mut settings = EngineSettings {
                server: with_control(),
                engine: engine_id(number),
                models: vec![ModelId::new(MODEL)],
                ..EngineSettings::default()
            };
            settings.parameters.max_batch = plan.max_batch;
            settings.parameters.model_load_time = Length::from_millis(100);
            engines.push(EngineServer::start(settings).await.expect("starts"));
        }
        let mut system = Self {
            daemons: Vec::new(),
            http: reqwest::Client::builder().no_proxy().build().expect("builds without TLS"),
            engines,
            key_value: KeyValueServer::start(key_value).await.expect("starts"),
            machines: MachineListServer::start(machines).await.expect("starts"),
            plan,
        };
        for id in 1..=system.plan.daemons {
            let daemon = system.start_daemon(id, system.running_peer_addresses()).await;
            system.daemons.push(daemon);
        }
        system.wait_until_served().await;
        system
    }

    /// Starts a daemon that begins from `seeds`.
    pub async fn start_daemon(&self, id: u32, seeds: Vec<SocketAddr>) -> DaemonUnderTest {
        let settings: Settings =
            toml::from_str(&self.settings(id, &seeds)).expect("the settings are valid TOML");
        settings.check().expect("the settings are valid");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime starts");
        let started = runtime.spawn(async move { assembly::start(&settings).await });
        let running = started.await.expect("is not cancelled").expect("the ports are free");
        DaemonUnderTest {
            id,
            runtime: Some(runtime),
            gateway: running.gateway_address,
            operators: running.operators_address,
            peers: running.peer_address,
        }
    }

    /// Restarts the daemon at this position, without its previous state.
    pub async fn restart_daemon(&mut self, position: usize) {
        let id = self.daemons[position].id;
        let daemon = self.start_daemon(id, self.running_peer_addresses()).await;
        self.daemons[position] = daemon;
    }

    fn running_peer_addresses(&self) -> Vec<SocketAddr> {
        let running_daemons = self.daemons.iter().filter(|daemon| daemon.runtime.is_some());
        running_daemons.map(|daemon| daemon.peers).collect()
    }

    fn settings(&self, id: u32, seeds: &[SocketAddr]) -> String {
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("{:?}", seed.to_string())).collect();
        let Plan { daemons, policy, .. } = &self.plan;
        let zone = ["hall-a", "hall-b", "hall-c", "hall-d"][id as usize % 4];
        let mut text = format!(
            r#"
policy = "{policy}"
[daemon]
id = {id}
zone = "{zone}"
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
[configuration]
spread_within = 1000000
[layout]
groups = {GROUPS}
bootstrap_daemons = {daemons}
[tolerance]
machines = {losses}
[platform]
key_value = "{key_value}"
machines = "{machines}"
"#,
            seeds = seeds.join(","),
            losses = if *daemons >= 3 { 1 } else { 0 },
            key_value = self.key_value.address(),
            machines = self.machines.address(),
        );
        for (index, engine) in self.engines.iter().enumerate() {
            write!(
                text,
                "[[platform.engines]]\nid = \"{}\"\naddress = \"{}\"\nzone = \"hall-a\"\n\
                 models = [\"{MODEL}\"]\n",
                engine_id(index as u32 + 1),
                engine.address()
            )
            .expect("a string takes everything");
        }
        text
    }

    /// Waits until every daemon is ready and every group has an owner.
    pub async fn wait_until_served(&self) {
        let engines = self.plan.engines;
        wait_for("all daemons to serve", async || {
            let mut led = 0;
            for daemon in &self.daemons {
                let (_, status) = self.readiness(daemon).await?;
                if status["ready"] != json!(true) || status["live_engines"] != json!(engines) {
                    return None;
                }
                led += status["groups_led"].as_u64()?;
            }
            (led == GROUPS).then_some(())
        })
        .await;
    }

    /// Status code and body of `/readyz`; none when the daemon does not answer.
    pub async fn readiness(&self, daemon: &DaemonUnderTest) -> Option<(u16, Value)> {
        let url = format!("http://{}/readyz", daemon.gateway);
        let answer = self.http.get(url).timeout(REQUEST_TIMEOUT).send().await.ok()?;
        let code = answer.status().as_u16();
        Some((code, answer.json().await.ok()?))
    }

    /// Sets the faults of the key-value service.
    pub async fn set_key_value_faults(&self, faults: KeyValueFaults) {
        self.key_value_control().set_faults(&faults).await.expect("control answers");
    }

    pub fn key_value_control(&self) -> ControlClient {
        ControlClient::new(self.key_value.address())
    }

    /// The control endpoint of engine `number`, counted from 1.
    pub fn engine(&self, number: u32) -> ControlClient {
        ControlClient::new(self.engine_address(number))
    }

    pub fn engine_address(&self, number: u32) -> SocketAddr {
        self.engines[number as usize - 1].address()
    }

    /// The observations of engine `number`, with its wall clock.
    pub async fn engine_observations(&self, number: u32) -> Vec<(Timestamp, EngineObservation)> {
        let seen = self.engine(number).observations(0).await.expect("control answers");
        assert_eq!(seen.dropped, 0, "the log of observations is whole");
        seen.observations.into_iter().map(|seen| (seen.at, seen.event)).collect()
    }

    /// Sets the state of an engine's machine on the platform's list.
    pub async fn set_listed_state(&self, number: u32, state: MachineState) {
        let machine = Machine {
            name: engine_id(number).to_string(),
            kind: MachineKind::Engine,
            address: self.engine_address(number).to_string(),
            zone: Zone::new("hall-a"),
            region: Region::new("gulf-south"),
            state,
        };
        let control = ControlClient::new(self.machines.address());
        let change = MachineChange::Put(machine);
        control.post::<Value>("machines", &change).await.expect("control answers");
    }

    /// Creates a program of the tests' tenant.
    pub async fn program(&self, model: &str) -> Result<Program, Status> {
        let request = CreateProgramRequest {
            tenant: TENANT.to_owned(),
            model: model.to_owned(),
            budget_tokens: 100_000,
            ..CreateProgramRequest::default()
        };
        self.create(request).await
    }

    pub async fn create(&self, request: CreateProgramRequest) -> Result<Program, Status> {
        let running_daemons = self.daemons.iter().find(|daemon| daemon.runtime.is_some());
        let channel = connect(running_daemons.expect("one lives").operators).await;
        let answer = ProgramsClient::new(channel).create(with_token(request)).await;
        answer.map(tonic::Response::into_inner)
    }

    /// Ends a program.
    pub async fn close(&self, program: &str) {
        let request = CloseProgramRequest { program: program.to_owned() };
        let channel = connect(self.daemons[0].operators).await;
        let closed = ProgramsClient::new(channel).close(with_token(request)).await;
        closed.expect("is closed");
    }

    /// Sends a call and returns status code and body.
    pub async fn call(&self, program: &str, tokens: u64) -> (u16, Value) {
        let body = json!({
            "model": "",
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": format!("[[tokens={tokens}]]")}],
        });
        let credential = TenantKey::new(TENANT_KEY.as_bytes()).issue(&TenantId::new(TENANT));
        let answer = self
            .http
            .post(format!("http://{}/v1/chat/completions", self.daemons[0].gateway))
            .bearer_auth(credential)
            .header(headers::PROGRAM, program)
            .json(&body)
            .send()
            .await
            .expect("the gateway answers");
        let code = answer.status().as_u16();
        (code, answer.json().await.expect("JSON"))
    }
}

fn with_control() -> ServerSettings {
    ServerSettings { control: true, ..ServerSettings::default() }
}

pub fn engine_id(number: u32) -> EngineId {
    EngineId::new(format!("engine-{number}"))
}

async fn connect(address: SocketAddr) -> Channel {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address");
    endpoint.timeout(REQUEST_TIMEOUT).connect().await.expect("the daemon listens")
}

fn with_token<T>(message: T) -> tonic::Request<T> {
    let mut request = tonic::Request::new(message);
    let header = format!("Bearer {OPERATOR_TOKEN}").parse().expect("plain characters");
    request.metadata_mut().insert("authorization", header);
    request
}

/// An operator at one daemon.
pub struct Operator {
    client: ConfigurationClient<Channel>,
    machines: MachinesClient<Channel>,
}

impl Operator {
    pub async fn at(daemon: &DaemonUnderTest) -> Self {
        let channel = connect(daemon.operators).await;
        Self {
            client: ConfigurationClient::new(channel.clone()),
            machines: MachinesClient::new(channel),
        }
    }

    /// The generation in force.
    pub async fn show(&mut self) -> Result<ConfigurationGeneration, Status> {
        let request = ShowConfigurationRequest::default();
        self.client.show(with_token(request)).await.map(tonic::Response::into_inner)
    }

    /// Applies a document that was made from generation `expected`.
    pub async fn apply(
        &mut self,
        expected: u64,
        document: &str,
        change: &str,
    ) -> Result<ConfigurationGeneration, Status> {
        let request = ApplyConfigurationRequest {
            expected_generation: expected,
            document: document.to_owned(),
            change_id: change.to_owned(),
            author: "tests".to_owned(),
            repeated: false,
        };
        self.client.apply(with_token(request)).await.map(tonic::Response::into_inner)
    }

    /// Changes the document in force by replacing text, as an operator with an editor would.
    pub async fn edit(&mut self, from: &str, to: &str, change: &str) -> ConfigurationGeneration {
        let shown = self.show().await.expect("a generation is in force");
        assert!(shown.document.contains(from), "{from:?} is in {}", shown.document);
        let document = shown.document.replace(from, to);
        self.apply(shown.generation, &document, change).await.expect("is accepted")
    }

    /// Generations by daemon, as this operator's daemon knows them.
    pub async fn generations(&mut self) -> BTreeMap<String, u64> {
        let listed = self.machines.list_daemons(with_token(Default::default())).await;
        let daemons = listed.expect("answers").into_inner().daemons.into_iter();
        daemons.map(|daemon| (daemon.daemon, daemon.configuration_generation)).collect()
    }
}

/// Waits until every daemon reports that `generation` is in force, and returns how long that took.
pub async fn wait_until_in_force(operators: &mut [Operator], generation: u64) -> Duration {
    let started = Instant::now();
    for operator in operators {
        loop {
            let shown = operator.show().await.map(|shown| shown.generation);
            if shown.as_ref().is_ok_and(|shown| *shown >= generation) {
                break;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{shown:?} is in force, not {generation}");
            sleep(POLL_INTERVAL).await;
        }
    }
    started.elapsed()
}

/// Calls `attempt` until it returns a value.
pub async fn wait_for<T>(what: &str, mut attempt: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(found) = attempt().await {
            return found;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "waited too long for {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// The error's name in a status.
pub fn error_name(status: &Status) -> &str {
    let name = status.metadata().get(headers::RPC_ERROR);
    name.and_then(|name| name.to_str().ok()).unwrap_or("unnamed")
}
