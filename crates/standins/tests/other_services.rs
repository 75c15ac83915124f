//! The tool service, the weight store and the list of machines over loopback sockets.

mod support;

use dahlia_adapters::engine::{EngineOrder, FencedOrder, ModelState};
use dahlia_adapters::machines::{Machine, MachineKind, MachineState};
use dahlia_adapters::tool::{InvokeRequest, ToolAttemptState, ToolRefusal};
use dahlia_adapters::weights::WeightRefusal;
use dahlia_adapters::{
    Certainty, ClientSettings, MachineListClient, PeerError, ToolClient, WeightStoreClient,
};
use dahlia_standins::control::{Nothing, Observations, ObservationsRequest};
use dahlia_standins::machines::{MachineChange, MachineListFaults};
use dahlia_standins::tool::{ToolFaults, ToolObservation, tool_result};
use dahlia_standins::weights::WeightObservation;
use dahlia_standins::{
    MachineListServer, MachineListSettings, RunningServer, ToolServer, ToolSettings, WeightServer,
    WeightSettings,
};
use dahlia_types::{
    Attempt, Bytes, EngineId, Generation, Incarnation, ModelId, Region, Repeatability, TenantId,
    Term, Zone,
};
use support::{attempt_of, control, controlled, engine, engine_client, patient, program, within};

async fn tool(change: impl FnOnce(&mut ToolSettings)) -> (RunningServer, ToolClient) {
    let mut settings = ToolSettings { server: controlled(), ..ToolSettings::default() };
    change(&mut settings);
    let server = ToolServer::start(settings).await.expect("the service starts");
    let client = ToolClient::new(&server.address().to_string(), patient());
    (server, client)
}

async fn set_tool_faults(server: &RunningServer, faults: ToolFaults) {
    let _: Nothing = control(server.address(), "faults", &faults).await;
}

fn flash(number: u64, body: &str) -> InvokeRequest {
    InvokeRequest {
        attempt: Attempt {
            id: attempt_of(program(number)),
            epoch: Term(1),
            engine_incarnation: Incarnation(0),
        },
        tenant: TenantId::new("bayou"),
        service: "field-app".to_owned(),
        body: body.to_owned(),
        repeatability: Repeatability::AtMostOnce,
    }
}

async fn starts(server: &RunningServer) -> usize {
    let seen: Observations<ToolObservation> =
        control(server.address(), "observations", &ObservationsRequest::default()).await;
    let events = seen.observations.iter().map(|seen| &seen.event);
    events.filter(|event| matches!(event, ToolObservation::Started { .. })).count()
}

async fn wait_until_ran(client: &ToolClient, number: u64) -> ToolAttemptState {
    let ran = async {
        loop {
            let state = client.attempt(attempt_of(program(number))).await.expect("state");
            if matches!(state, ToolAttemptState::Ran { .. }) {
                return state;
            }
            tokio::task::yield_now().await;
        }
    };
    within("the end of the invocation", ran).await
}

#[tokio::test]
async fn a_tool_runs_once_and_remembers_its_result() {
    let (server, client) = tool(|_| {}).await;
    let request = flash(1, "flash 4.2.1");
    let result = client.invoke(&request).await.expect("it ran");
    assert_eq!(result, tool_result("field-app", "flash 4.2.1"));
    let again = client.invoke(&request).await.expect_err("not run twice");
    let attempt = request.attempt.id;
    assert_eq!(again.refusal(), Some(&ToolRefusal::AttemptExists { attempt }));
    assert_eq!(again.certainty(), Certainty::Unknown, "an earlier request ran");
    let state = client.attempt(attempt).await.expect("state");
    assert_eq!(state, ToolAttemptState::Ran { body: result });
    assert_eq!(starts(&server).await, 1);
}

#[tokio::test]
async fn a_lost_result_is_unknown_and_can_be_asked_for() {
    let (server, client) = tool(|_| {}).await;
    set_tool_faults(&server, ToolFaults { lose_replies: 1, ..Default::default() }).await;
    let error = client.invoke(&flash(1, "flash")).await.expect_err("the result is lost");
    assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
    let state = wait_until_ran(&client, 1).await;
    assert_eq!(state, ToolAttemptState::Ran { body: tool_result("field-app", "flash") });
    assert_eq!(starts(&server).await, 1);
}

#[tokio::test]
async fn a_hanging_tool_is_noticed_by_its_silence() {
    let (server, client) = tool(|settings| settings.alive_interval_ms = 20).await;
    let settings = ClientSettings { idle_timeout_ms: 500, ..patient() };
    let watchful = ToolClient::new(&server.address().to_string(), settings);
    set_tool_faults(&server, ToolFaults { hang: true, silent: true, ..Default::default() }).await;
    let error = watchful.invoke(&flash(1, "flash")).await.expect_err("it hangs");
    assert_eq!(error.certainty(), Certainty::Unknown, "{error}");
    let state = client.attempt(attempt_of(program(1))).await.expect("state");
    assert_eq!(state, ToolAttemptState::Running);
    let cancelled = client.cancel(attempt_of(program(1)), Term(1)).await.expect("answered");
    assert_eq!(cancelled, ToolAttemptState::Running, "what runs is not undone");
    set_tool_faults(&server, ToolFaults::default()).await;
    wait_until_ran(&client, 1).await;
}

#[tokio::test]
async fn cancel_keeps_a_tool_attempt_from_ever_starting() {
    let (server, client) = tool(|_| {}).await;
    let request = flash(1, "flash");
    let attempt = request.attempt.id;
    assert_eq!(client.attempt(attempt).await.expect("state"), ToolAttemptState::Unseen);
    let state = client.cancel(attempt, Term(1)).await.expect("cancelled");
    assert_eq!(state, ToolAttemptState::NeverStarted);
    let late = client.invoke(&request).await.expect_err("never starts");
    assert_eq!(late.refusal(), Some(&ToolRefusal::NeverStarts { attempt }));
    assert_eq!(late.certainty(), Certainty::NotRun);
    client.cancel(attempt_of(program(2)), Term(5)).await.expect("a newer epoch");
    let stale = client.invoke(&flash(2, "flash")).await.expect_err("stale");
    assert!(matches!(stale.refusal(), Some(ToolRefusal::StaleEpoch { .. })), "{stale}");
    assert_eq!(starts(&server).await, 0);
}

#[tokio::test]
async fn refusals_of_a_tool_are_certain() {
    let offered = |settings: &mut ToolSettings| {
        settings.services = vec!["portal".to_owned()];
        settings.keeps_records = false;
    };
    let (server, client) = tool(offered).await;
    let unknown = client.invoke(&flash(1, "x")).await.expect_err("not offered");
    insta::assert_snapshot!(unknown.refusal().expect("typed"), @r#"there is no service "field-app""#);
    set_tool_faults(&server, ToolFaults { overloaded: true, ..Default::default() }).await;
    let mut request = flash(1, "x");
    request.service = "portal".to_owned();
    let overloaded = client.invoke(&request).await.expect_err("overloaded");
    assert!(matches!(overloaded.refusal(), Some(ToolRefusal::Overloaded { .. })));
    assert_eq!(overloaded.certainty(), Certainty::NotRun);
    let state = client.attempt(request.attempt.id).await.expect("state");
    assert_eq!(state, ToolAttemptState::CannotTell);
}

#[tokio::test]
async fn loads_go_through_the_rate_limited_weight_store() {
    let settings = WeightSettings {
        server: controlled(),
        fetches_per_minute: 0.01,
        burst: 1.0,
        bytes_per_second: 1e12,
        ..WeightSettings::default()
    };
    let store = WeightServer::start(settings).await.expect("the store starts");
    let address = store.address().to_string();
    let server = engine(|settings| settings.weights = Some(address.clone())).await;
    let client = engine_client(&server, patient());
    let load = |name: &str| FencedOrder {
        generation: Generation(1),
        order: EngineOrder::LoadModel(ModelId::new(name)),
    };
    client.order(&load("first@1")).await.expect("accepted");
    let state_of = async |name: &str| {
        let report = client.load().await.expect("load");
        let found = report.models.into_iter().find(|status| status.model == ModelId::new(name));
        found.map(|status| status.state)
    };
    let ready = async {
        while state_of("first@1").await != Some(ModelState::Ready) {
            tokio::task::yield_now().await;
        }
    };
    within("the first model is ready", ready).await;
    client.order(&load("second@1")).await.expect("accepted");
    let limited = async {
        loop {
            let request = ObservationsRequest::default();
            let seen: Observations<WeightObservation> =
                control(store.address(), "observations", &request).await;
            let events: Vec<WeightObservation> =
                seen.observations.into_iter().map(|seen| seen.event).collect();
            if events.iter().any(|event| matches!(event, WeightObservation::RateLimited { .. })) {
                return events;
            }
            tokio::task::yield_now().await;
        }
    };
    let events = within("the rate limit", limited).await;
    let begun = events.iter().filter(|event| matches!(event, WeightObservation::Began { .. }));
    assert_eq!(begun.count(), 1);
    let loading = async {
        while state_of("second@1").await != Some(ModelState::Loading) {
            tokio::task::yield_now().await;
        }
    };
    within("the second model is loading", loading).await;
    let weights = WeightStoreClient::new(&address, patient());
    let engine = EngineId::new("other");
    let limited = weights.fetch(&ModelId::new("third@1"), &engine).await.expect_err("limited");
    let Some(WeightRefusal::RateLimited { retry_after }) = limited.refusal() else {
        panic!("{limited}")
    };
    assert!(retry_after.as_millis() > 60_000, "{retry_after:?}");
    let described = weights.describe(&ModelId::new("third@1")).await.expect("described");
    assert_eq!(described.bytes, Bytes(16_000_000_000));
}

fn machine(name: &str, state: MachineState) -> Machine {
    Machine {
        name: name.to_owned(),
        kind: MachineKind::Engine,
        address: "127.0.0.1:1".to_owned(),
        zone: Zone::new("hall-a"),
        region: Region::new("gulf-south"),
        state,
    }
}

async fn machine_list(lag_ms: u64) -> (RunningServer, MachineListClient) {
    let machines = vec![machine("one", MachineState::Live)];
    let settings = MachineListSettings { server: controlled(), lag_ms, machines };
    let server = MachineListServer::start(settings).await.expect("the service starts");
    let client = MachineListClient::new(&server.address().to_string(), patient());
    (server, client)
}

#[tokio::test]
async fn the_list_of_machines_lags() {
    let (server, client) = machine_list(3_600_000).await;
    let change = MachineChange::Put(machine("one", MachineState::Leaving));
    let _: Nothing = control(server.address(), "machines", &change).await;
    let list = client.list().await.expect("list");
    assert_eq!((list.revision, list.machines), (1, vec![machine("one", MachineState::Live)]));
}

#[tokio::test]
async fn changes_of_machines_show_in_order_unless_the_list_is_stuck() {
    let (server, client) = machine_list(0).await;
    let leaving = MachineChange::Put(machine("one", MachineState::Leaving));
    let _: Nothing = control(server.address(), "machines", &leaving).await;
    let list = client.list().await.expect("list");
    assert_eq!((list.revision, list.machines), (2, vec![machine("one", MachineState::Leaving)]));
    let stuck = MachineListFaults { stuck: true, ..Default::default() };
    let _: Nothing = control(server.address(), "faults", &stuck).await;
    let gone = MachineChange::Remove { name: "one".to_owned() };
    let _: Nothing = control(server.address(), "machines", &gone).await;
    assert_eq!(client.list().await.expect("list").revision, 2);
    let _: Nothing = control(server.address(), "faults", &MachineListFaults::default()).await;
    let list = client.list().await.expect("list");
    assert_eq!((list.revision, list.machines), (3, Vec::new()));
    let away = MachineListFaults { unavailable: true, ..Default::default() };
    let _: Nothing = control(server.address(), "faults", &away).await;
    let error = client.list().await.expect_err("unavailable");
    assert!(matches!(error, PeerError::Refused { .. }), "{error}");
}
