//! Engines that leave, reported by each of the three sources, and orders derived from the document.

use std::cell::OnceCell;
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dahlia_adapters::engine::{EngineOrder, ModelState};
use dahlia_adapters::machines::MachineState;
use dahlia_adapters::{ClientSettings, EngineClient, EngineEndpoint};
use dahlia_configuration::Document;
use dahlia_standins::engine::{EngineFaults, EngineObservation};
use dahlia_types::{AttemptId, ModelId, Timestamp};
use futures::future::join_all;
use tokio::time::Instant;

use crate::support::{MODEL, Operator, Plan, System, engine_id, wait_for, wait_until_in_force};

/// Longest time for which a leaving engine may still get work. The list of machines lags by half a second
/// and is read every two seconds.
const MAX_WORK_AFTER_LEAVING: Duration = Duration::from_secs(4);
/// How long callers continue after an engine began to leave.
const LOAD_AFTER_LEAVING: Duration = Duration::from_secs(6);
/// Tokens of an answer, which take an engine a third of a second.
const ANSWER_TOKENS: u64 = 16;
/// Callers that always have one open call each. More than the engines run at once.
const CALLERS: usize = 12;

/// Who takes the engine out of service.
#[derive(Clone, Copy, Debug)]
enum LeaveSource {
    Nobody,
    Itself,
    List,
    Configuration,
}

fn wall_clock() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    Timestamp(since.as_micros() as u64)
}

/// The observations of two engines, of which engine 1 was taken out of service.
struct EngineRecords {
    from: Timestamp,
    leaving: Vec<(Timestamp, EngineObservation)>,
    other: Vec<(Timestamp, EngineObservation)>,
}

impl EngineRecords {
    /// Time from the beginning to the last work that engine 1 got.
    fn last_work(&self) -> Duration {
        Duration::from_micros(last_accepted(&self.leaving).since(self.from).as_micros())
    }
}

/// Keeps the queues of two engines full, and takes engine 1 out of service.
async fn record_work_while_leaving(source: LeaveSource) -> EngineRecords {
    // The baseline policy queues at the engines, so that there are attempts to recall.
    let plan = Plan { max_batch: 2, policy: "least-loaded", ..Plan::default() };
    let system = System::start(plan).await;
    let mut operator = Operator::at(&system.daemons[1]).await;
    wait_until_in_force(std::slice::from_mut(&mut operator), 1).await;
    let began = OnceCell::new();
    let callers = join_all((0..CALLERS).map(|_| call_until(&system, &began)));
    let leaving = async {
        wait_for("calls to wait at engine 1", async || {
            let seen = system.engine_observations(1).await;
            (accepted(&seen).len() >= started(&seen).len() + 2).then_some(())
        })
        .await;
        let from = wall_clock();
        take_out_of_service(&system, &mut operator, source).await;
        began.set(Instant::now()).expect("is set once");
        from
    };
    let (_, from) = tokio::join!(callers, leaving);
    let seen = EngineRecords {
        from,
        leaving: system.engine_observations(1).await,
        other: system.engine_observations(2).await,
    };
    println!("{source:?}: last work {:?} after", seen.last_work());
    seen
}

async fn check_leaving(source: LeaveSource) {
    let seen = record_work_while_leaving(source).await;
    assert!(seen.last_work() < MAX_WORK_AFTER_LEAVING, "{:?}", seen.last_work());
    let later = last_accepted(&seen.other).since(seen.from);
    assert!(
        later.as_millis() > MAX_WORK_AFTER_LEAVING.as_millis() as u64,
        "callers went on: {later:?}"
    );
    let moved = never_started(&seen.leaving);
    assert!(!moved.is_empty(), "what waited there was taken back");
    let ran_elsewhere = calls(&started(&seen.other));
    assert!(calls(&moved).is_subset(&ran_elsewhere), "what was taken back ran at the other engine");
    assert!(moved.is_disjoint(&started(&seen.leaving)), "nothing that was taken back ran");
}

async fn take_out_of_service(system: &System, operator: &mut Operator, source: LeaveSource) {
    match source {
        LeaveSource::Nobody => {}
        LeaveSource::Itself => {
            let faults = EngineFaults { leaving: true, ..EngineFaults::default() };
            system.engine(1).set_faults(&faults).await.expect("control answers");
        }
        LeaveSource::List => system.set_listed_state(1, MachineState::Leaving).await,
        LeaveSource::Configuration => {
            let serving = "[engines.engine-1]\nrole = \"serving\"";
            let draining = "[engines.engine-1]\nrole = \"draining\"";
            operator.edit(serving, draining, "drain").await;
        }
    }
}

/// One call after the other, until some time after the engine began to leave.
async fn call_until(system: &System, began: &OnceCell<Instant>) {
    let program = system.program(MODEL).await.expect("is created").program;
    while began.get().is_none_or(|began| began.elapsed() < LOAD_AFTER_LEAVING) {
        let (code, body) = system.call(&program, ANSWER_TOKENS).await;
        assert_eq!(code, 200, "{body}");
    }
}

fn last_accepted(seen: &[(Timestamp, EngineObservation)]) -> Timestamp {
    let times = seen.iter().filter(|(_, event)| is_accepted(event)).map(|(at, _)| *at);
    times.max().expect("it had work")
}

fn engine_client(system: &System, number: u32) -> EngineClient {
    let address = system.engine_address(number).to_string();
    let endpoint = EngineEndpoint { engine: engine_id(number), address };
    EngineClient::new(endpoint, ClientSettings::default())
}

fn is_accepted(event: &EngineObservation) -> bool {
    matches!(event, EngineObservation::Accepted { .. })
}

fn accepted(seen: &[(Timestamp, EngineObservation)]) -> BTreeSet<AttemptId> {
    let attempts = seen.iter().filter_map(|(_, event)| match event {
        EngineObservation::Accepted { attempt, .. } => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

fn started(seen: &[(Timestamp, EngineObservation)]) -> BTreeSet<AttemptId> {
    let attempts = seen.iter().filter_map(|(_, event)| match event {
        EngineObservation::Started { attempt, .. } => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

fn never_started(seen: &[(Timestamp, EngineObservation)]) -> BTreeSet<AttemptId> {
    let attempts = seen.iter().filter_map(|(_, event)| match event {
        EngineObservation::NeverStarted { attempt } => Some(*attempt),
        _ => None,
    });
    attempts.collect()
}

fn calls(attempts: &BTreeSet<AttemptId>) -> BTreeSet<dahlia_types::CallId> {
    attempts.iter().map(|attempt| attempt.call).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_says_it_leaves_gets_no_new_work_and_its_queue_moves() {
    check_leaving(LeaveSource::Itself).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_the_list_says_leaves_gets_no_new_work_and_its_queue_moves() {
    check_leaving(LeaveSource::List).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_the_configuration_drains_gets_no_new_work_and_its_queue_moves() {
    check_leaving(LeaveSource::Configuration).await;
}

/// Shows that the tests above can fail: an engine that nobody takes out of service gets work as long as
/// callers send calls.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_nobody_takes_out_of_service_keeps_getting_work() {
    let seen = record_work_while_leaving(LeaveSource::Nobody).await;
    assert!(seen.last_work() > MAX_WORK_AFTER_LEAVING, "{:?}", seen.last_work());
    assert!(never_started(&seen.leaving).is_empty(), "nothing is taken back");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_the_document_no_longer_names_still_frees_what_it_holds() {
    let system = System::start(Plan::default()).await;
    let mut operator = Operator::at(&system.daemons[1]).await;
    wait_until_in_force(std::slice::from_mut(&mut operator), 1).await;
    let program = system.program(MODEL).await.expect("is created").program;
    let (code, body) = system.call(&program, ANSWER_TOKENS).await;
    assert_eq!(code, 200, "{body}");
    let used = if accepted(&system.engine_observations(1).await).is_empty() { 2 } else { 1 };
    let engine = engine_client(&system, used);
    let held = engine.inventory().await.expect("answers").entries;
    assert_eq!(held.len(), 1, "the program's cache is kept over the pause: {held:?}");
    let shown = operator.show().await.expect("answers");
    let mut document = Document::parse(&shown.document).expect("is valid");
    document.engines.remove(&engine_id(used));
    for model in document.models.values_mut() {
        model.engines.remove(&engine_id(used));
    }
    operator.apply(1, &document.to_text(), "remove").await.expect("is accepted");
    let mut operators = [operator, Operator::at(&system.daemons[0]).await];
    wait_until_in_force(&mut operators, 2).await;
    system.close(&program).await;
    wait_for("the removed engine to hold nothing", async || {
        let held = engine.inventory().await.expect("answers").entries;
        held.is_empty().then_some(())
    })
    .await;
}

/// Replaces the model's entry in the document by its next version.
fn with_next_version(document: &str) -> String {
    let entry = "[models.agent-llm]\nbase = \"agent-llm\"\nversion = \"\"";
    assert!(document.contains(entry), "{document}");
    let next = "[models.\"agent-llm@2\"]\nbase = \"agent-llm\"\nversion = \"2\"";
    document.replace(entry, next)
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_bring_a_new_version_in_and_an_engine_always_serves() {
    let system = System::start(Plan { engines: 3, ..Plan::default() }).await;
    let mut operators = [Operator::at(&system.daemons[2]).await];
    wait_until_in_force(&mut operators, 1).await;
    let base = operators[0].show().await.expect("answers").document;
    let next = with_next_version(&base).replace("slots = 2", "slots = 1");
    operators[0].apply(1, &next, "version-2").await.expect("is accepted");
    let (old, new) = (ModelId::new(MODEL), ModelId::new("agent-llm@2"));
    let engines: Vec<EngineClient> = (1..=3).map(|number| engine_client(&system, number)).collect();
    wait_for("all engines to serve the new version only", async || {
        let mut serving = 0;
        let mut done = 0;
        for engine in &engines {
            let models = engine.load().await.expect("answers").models;
            let ready = |model: &ModelId| {
                models.iter().any(|it| it.model == *model && it.state == ModelState::Ready)
            };
            serving += usize::from(ready(&old) || ready(&new));
            done += usize::from(ready(&new) && !ready(&old));
        }
        assert!(serving >= 1, "an engine serves the model in some version at every moment");
        (done == engines.len()).then_some(())
    })
    .await;
    for number in 1..=3 {
        let seen = system.engine_observations(number).await;
        let orders: Vec<EngineOrder> = seen
            .into_iter()
            .filter_map(|(_, event)| match event {
                EngineObservation::Ordered { order, generation } => {
                    assert_eq!(generation.0, 2, "orders carry the generation");
                    Some(order)
                }
                _ => None,
            })
            .collect();
        assert!(orders.contains(&EngineOrder::LoadModel(new.clone())), "{orders:?}");
    }
    let answered = wait_for("the new version to be placed", async || {
        let program = system.program("agent-llm@2").await.ok()?.program;
        let (code, _) = system.call(&program, 2).await;
        (code == 200).then_some(())
    });
    answered.await;
}
