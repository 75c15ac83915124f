//! Tasks that communicate with engines for the node: one per attempt, release and load poll.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dahlia_adapters::engine::{
    AfterHold, EngineOrder, EngineRole, HoldRequest, LoadReport, ModelState, ReleaseRequest,
    ReleaseScope,
};
use dahlia_adapters::{ClientSettings, EngineClient, EngineEndpoint, EngineError};
use dahlia_configuration::{self as configuration, EngineState, FencedOrder, OrderKind};
use dahlia_node::request::ReleaseEnd;
use dahlia_node::{EngineAddress, EngineReport, Event, ReleaseOrder, StartAttempt};
use dahlia_types::{AttemptId, CallId, Duration as Length, EngineId, ProgramId, Term, Zone};
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::answers::AnswerBuffers;
use crate::attempt::AttemptTask;
use crate::core_handle::CoreHandle;
use crate::logging::part;

/// How often each engine's load is read.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// An engine that this daemon communicates with.
struct Engine {
    client: EngineClient,
    address: EngineAddress,
    load_task: AbortHandle,
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.load_task.abort();
    }
}

/// Starts and ends tasks that communicate with engines.
pub struct EngineTasks {
    engines: BTreeMap<EngineId, Engine>,
    core: CoreHandle,
    answers: AnswerBuffers,
    attempts: HashMap<AttemptId, RunningAttempt>,
}

struct RunningAttempt {
    engine: EngineId,
    task: AbortHandle,
}

impl EngineTasks {
    /// Starts without engines.
    pub fn new(core: CoreHandle, answers: AnswerBuffers) -> Self {
        Self { engines: BTreeMap::new(), core, answers, attempts: HashMap::new() }
    }

    /// Adds these engines and polls their load from now on. Engines that are not among them are kept,
    /// since attempts and releases that they have not answered are still resolved.
    pub fn set_engines(&mut self, addresses: Vec<EngineAddress>) {
        for address in addresses {
            let existing = self.engines.get(&address.engine);
            if existing.is_some_and(|existing| existing.address == address) {
                continue;
            }
            let id = address.engine.clone();
            let endpoint =
                EngineEndpoint { engine: id.clone(), address: address.address.to_string() };
            let client = EngineClient::new(endpoint, ClientSettings::default());
            let load_task = poll_load(client.clone(), address.zone.clone(), self.core.clone());
            let load_task = tokio::spawn(load_task).abort_handle();
            log::info!(target: part::ENGINES, "{id} is at {}.", address.address);
            self.engines.insert(id, Engine { client, address, load_task });
        }
    }

    /// Sends an order to an engine. A lost or refused order is planned again from the engine's reports.
    pub fn order(&self, order: FencedOrder) {
        let Some(client) = self.client(&order.engine) else {
            return;
        };
        tokio::spawn(async move {
            let wire = to_engine_order(&order);
            match client.order(&wire).await {
                Ok(accepted) if accepted.incarnation != order.incarnation => log::info!(
                    target: part::ENGINES,
                    "{} took an order that was meant for an earlier incarnation.",
                    order.engine
                ),
                Ok(_) => {}
                Err(error) => log::info!(target: part::ENGINES, "Order refused. {error}."),
            }
        });
    }

    /// Sends an attempt to its engine.
    pub fn start(&mut self, start: StartAttempt) {
        self.spawn(start, false);
    }

    /// Takes over an attempt of a previous owner.
    pub fn resume(&mut self, start: StartAttempt) {
        self.spawn(start, true);
    }

    fn spawn(&mut self, start: StartAttempt, resumed: bool) {
        self.attempts.retain(|_, running| !running.task.is_finished());
        let id = start.attempt.id;
        let engine = start.engine.clone();
        let client = self.engines.get(&engine).map(|engine| engine.client.clone());
        let task = AttemptTask::new(start, client, self.core.clone(), self.answers.clone());
        let handle =
            tokio::spawn(
                async move { if resumed { task.resume().await } else { task.start().await } },
            );
        self.attempts.insert(id, RunningAttempt { engine, task: handle.abort_handle() });
    }

    /// Cancels an attempt at its engine. The attempt's own task receives the end.
    pub fn cancel(&self, attempt: AttemptId, epoch: Term) {
        let Some(client) = self.client_for_attempt(attempt) else {
            return;
        };
        tokio::spawn(async move {
            if let Err(error) = client.cancel(attempt, epoch).await {
                log::debug!(target: part::ENGINES, "Cancelling {attempt}: {error}.");
            }
        });
    }

    /// Cancels an attempt if its engine has not started it.
    pub fn recall(&self, attempt: AttemptId, epoch: Term) {
        let Some(client) = self.client_for_attempt(attempt) else {
            return;
        };
        tokio::spawn(async move {
            if let Err(error) = client.recall(attempt, epoch).await {
                log::debug!(target: part::ENGINES, "Recalling {attempt}: {error}.");
            }
        });
    }

    /// Stops reading an attempt's stream. The attempt continues at its engine.
    pub fn detach(&mut self, attempt: AttemptId) {
        if let Some(running) = self.attempts.remove(&attempt) {
            running.task.abort();
        }
    }

    /// Removes the buffer of a call's answer.
    pub fn forget_answer(&mut self, call: CallId) {
        self.answers.remove(call);
    }

    /// Asks an engine to free a program's memory.
    pub fn release(&self, order: ReleaseOrder) {
        let core = self.core.clone();
        let client = self.client(&order.request.holder.engine);
        tokio::spawn(async move {
            let end = match &client {
                Some(client) => release(client, &order).await,
                None => ReleaseEnd::Failed,
            };
            let event = Event::ReleaseEnded {
                program: order.request.program,
                holder: order.request.holder,
                covers: order.request.covers,
                end,
            };
            core.send_event(event).await;
        });
    }

    /// Asks an engine to keep a program's cache.
    pub fn hold(&self, program: ProgramId, engine: EngineId, epoch: Term, length: Length) {
        let Some(client) = self.client(&engine) else {
            return;
        };
        tokio::spawn(async move {
            let request = HoldRequest { program, epoch, length, after: AfterHold::Free };
            if let Err(error) = client.hold(&request).await {
                log::debug!(target: part::ENGINES, "Holding {program}: {error}.");
            }
        });
    }

    fn client_for_attempt(&self, attempt: AttemptId) -> Option<EngineClient> {
        self.client(&self.attempts.get(&attempt)?.engine)
    }

    fn client(&self, engine: &EngineId) -> Option<EngineClient> {
        self.engines.get(engine).map(|engine| engine.client.clone())
    }
}

async fn release(client: &EngineClient, order: &ReleaseOrder) -> ReleaseEnd {
    // Attempts with an unknown outcome must not start after the memory is freed.
    for attempt in &order.request.fence {
        if let Err(error) = client.cancel(*attempt, order.epoch).await {
            log::debug!(target: part::ENGINES, "Fencing {attempt}: {error}.");
            return ReleaseEnd::Failed;
        }
    }
    let request = ReleaseRequest {
        program: order.request.program,
        epoch: order.epoch,
        scope: if order.ended { ReleaseScope::Ended } else { ReleaseScope::Cache },
    };
    match client.release(&request).await {
        Ok(confirmed) => {
            ReleaseEnd::Confirmed { incarnation: confirmed.incarnation, freed: confirmed.freed }
        }
        Err(error) => {
            log::debug!(target: part::ENGINES, "Releasing {}: {error}.", request.program);
            ReleaseEnd::Failed
        }
    }
}

async fn poll_load(client: EngineClient, zone: Zone, core: CoreHandle) {
    let mut ticks = interval(LOAD_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reachable = true;
    loop {
        ticks.tick().await;
        match client.load().await {
            Ok(load) => {
                reachable = true;
                let state = Event::EngineState(load.engine.clone(), engine_state(&load));
                core.send_event(state).await;
                core.send_event(Event::EngineReported(engine_report(load, &zone))).await;
            }
            Err(error) => {
                log_first_failure(&mut reachable, &error);
            }
        }
    }
}

fn log_first_failure(reachable: &mut bool, error: &EngineError) {
    if std::mem::replace(reachable, false) {
        log::warn!(target: part::ENGINES, "No report. {error}.");
    }
}

/// The state of an engine that its orders are planned from.
fn engine_state(load: &LoadReport) -> EngineState {
    let model_state = |state: ModelState| match state {
        ModelState::Loading => configuration::ModelState::Loading,
        ModelState::Ready => configuration::ModelState::Ready,
    };
    let models = load.models.iter().map(|it| (it.model.clone(), model_state(it.state)));
    EngineState {
        incarnation: load.incarnation,
        role: match load.role {
            EngineRole::Serving => configuration::EngineRole::Serving,
            EngineRole::Draining => configuration::EngineRole::Draining,
        },
        leaving: load.leaving,
        models: models.collect(),
    }
}

fn to_engine_order(order: &FencedOrder) -> dahlia_adapters::engine::FencedOrder {
    let kind = match &order.kind {
        OrderKind::Load(model) => EngineOrder::LoadModel(model.clone()),
        OrderKind::Unload(model) => EngineOrder::UnloadModel(model.clone()),
        OrderKind::SetRole(configuration::EngineRole::Serving) => {
            EngineOrder::SetRole(EngineRole::Serving)
        }
        OrderKind::SetRole(configuration::EngineRole::Draining) => {
            EngineOrder::SetRole(EngineRole::Draining)
        }
    };
    dahlia_adapters::engine::FencedOrder { generation: order.generation, order: kind }
}

fn engine_report(load: LoadReport, zone: &Zone) -> EngineReport {
    let ready = load.models.into_iter().filter(|model| model.state == ModelState::Ready);
    EngineReport {
        engine: load.engine,
        incarnation: load.incarnation,
        zone: zone.clone(),
        at: load.at,
        models: ready.map(|model| model.model).collect(),
        running: load.running,
        queued: load.queued,
        prefill_backlog: load.prefill_backlog,
        cache_used: load.kv_used,
        cache_pinned: load.kv_pinned,
        cache_capacity: load.kv_capacity,
        leaving: load.leaving || load.role != EngineRole::Serving,
    }
}
