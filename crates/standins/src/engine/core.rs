//! The engine's state: the model, the records of attempts and what was told of them. Time comes
//! in as an argument; nothing here waits.

mod events;
mod intake;

use std::collections::VecDeque;
use std::sync::Arc;

use dahlia_adapters::engine::{
    AttemptState, CancelRequest, EngineOrder, EngineRefusal, ExportRequest, FenceRequest,
    FencedOrder, HoldRequest, ImportRequest, ReleaseConfirmed, ReleaseRequest, ReleaseScope,
};
use dahlia_engine_model as model;
use dahlia_engine_model::{EngineCommand, EngineModel, EngineReply};
use dahlia_types::{
    AttemptId, Bytes, Duration, Generation, Incarnation, ModelId, ProgramId, Timestamp, Tokens,
};
use tokio::sync::{oneshot, watch};

use super::answer::AnswerText;
use super::loading::Loading;
use super::observation::EngineObservation;
use super::prompt::segment;
use super::records::{Progress, Records};
use super::reports::Reports;
use super::{EngineSettings, convert};
use crate::control::Witness;

/// Shortest time after which a refused attempt may come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Real time for which the model keeps records of ended attempts and fences.
const RECORD_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// An attempt to follow.
pub(super) struct Subscription {
    pub(super) attempt: AttemptId,
    pub(super) incarnation: Incarnation,
    pub(super) answer: Arc<AnswerText>,
    pub(super) progress: watch::Receiver<Progress>,
}

/// Someone who waits for a transfer of a program's cache.
struct Waiter<T> {
    program: ProgramId,
    done: oneshot::Sender<T>,
}

/// One life of the engine.
pub(super) struct Core {
    pub(super) model: EngineModel,
    pub(super) records: Records,
    pub(super) reports: Reports,
    pub(super) loading: Loading,
    witness: Arc<Witness<EngineObservation>>,
    exports: VecDeque<Waiter<model::KvImage>>,
    imports: VecDeque<Waiter<Tokens>>,
    default_answer: Tokens,
    bytes_per_token: Bytes,
    accepted: u64,
    generation: Generation,
}

impl Core {
    pub(super) fn new(
        settings: &EngineSettings,
        incarnation: Incarnation,
        witness: Arc<Witness<EngineObservation>>,
    ) -> Self {
        let mut parameters = settings.parameters.clone();
        // The model forgets ended attempts after a time of its own clock, which may run fast.
        parameters.record_retention = RECORD_RETENTION.times(settings.speed.ceil() as u64);
        parameters.report_progress = true;
        let bytes_per_token = parameters.kv_bytes_per_token;
        let engine = settings.engine.clone();
        let mut model = EngineModel::new(engine, incarnation, parameters, settings.seed);
        for name in &settings.models {
            model = model.with_model(name.clone());
        }
        witness.note(EngineObservation::LifeBegan { incarnation });
        Self {
            model,
            records: Records::default(),
            reports: Reports::default(),
            loading: Loading::default(),
            witness,
            exports: VecDeque::new(),
            imports: VecDeque::new(),
            default_answer: settings.default_answer,
            bytes_per_token,
            accepted: 0,
            generation: Generation::default(),
        }
    }

    /// Attempts accepted in this life.
    pub(super) fn accepted(&self) -> u64 {
        self.accepted
    }

    /// The newest generation that an order carried.
    pub(super) fn generation(&self) -> Generation {
        self.generation
    }

    /// Size of so many tokens' KV.
    pub(super) fn bytes(&self, tokens: Tokens) -> Bytes {
        Bytes(tokens.0.saturating_mul(self.bytes_per_token.0))
    }

    /// Runs the model up to `now`; gives when it next has something to do.
    pub(super) fn advance(&mut self, now: Timestamp) -> Option<Timestamp> {
        for event in self.model.advance(now) {
            self.take(event);
        }
        self.model.next_wakeup()
    }

    /// Ends an attempt and keeps it from starting if it has not.
    pub(super) fn cancel(
        &mut self,
        request: CancelRequest,
        now: Timestamp,
    ) -> Result<AttemptState, EngineRefusal> {
        let CancelRequest { attempt, epoch, only_waiting } = request;
        self.fence(FenceRequest { program: attempt.call.program, epoch }, now)?;
        let state = self.records.state(attempt);
        if !matches!(
            state,
            AttemptState::Unseen | AttemptState::Queued | AttemptState::Running { .. }
        ) {
            return Ok(state);
        }
        if only_waiting && matches!(state, AttemptState::Running { .. }) {
            return Ok(state);
        }
        let cancel = model::Cancel { attempt, epoch, only_waiting };
        self.command(EngineCommand::Cancel(cancel), now)?;
        self.settle(attempt);
        Ok(self.records.state(attempt))
    }

    /// Raises a program's epoch.
    pub(super) fn fence(
        &mut self,
        request: FenceRequest,
        now: Timestamp,
    ) -> Result<(), EngineRefusal> {
        let FenceRequest { program, epoch } = request;
        self.command(EngineCommand::Fence(model::Fence { program, epoch }), now).map(drop)
    }

    /// Keeps a program's cache; `length` is in the model's time.
    pub(super) fn hold(
        &mut self,
        request: HoldRequest,
        length: Duration,
        now: Timestamp,
    ) -> Result<(), EngineRefusal> {
        let HoldRequest { program, epoch, after, .. } = request;
        let after = convert::after_hold(after);
        let hold = model::Hold { program, epoch, until: now + length, after };
        self.command(EngineCommand::Hold(hold), now).map(drop)
    }

    /// Frees what is held for a program.
    pub(super) fn release(
        &mut self,
        request: ReleaseRequest,
        now: Timestamp,
    ) -> Result<ReleaseConfirmed, EngineRefusal> {
        let ReleaseRequest { program, epoch, scope } = request;
        let live = self.records.live_of(program);
        // A running attempt holds memory: the confirmation would be untrue.
        if scope == ReleaseScope::Cache && !live.is_empty() {
            self.fence(FenceRequest { program, epoch }, now)?;
            return Err(EngineRefusal::InUse { program });
        }
        let closing = scope == ReleaseScope::Ended;
        let release = model::Release { program, epoch, closing };
        let reply = self.command(EngineCommand::Release(release), now)?;
        if closing {
            live.into_iter().for_each(|attempt| self.settle(attempt));
            self.records.program_ended(program);
        }
        let tokens = match reply {
            EngineReply::Released { freed } => freed,
            _ => Tokens::ZERO,
        };
        let freed = self.bytes(tokens);
        self.witness.note(EngineObservation::Released { program, scope, freed });
        Ok(ReleaseConfirmed { incarnation: self.model.incarnation(), freed })
    }

    /// Takes an order. Gives the model whose weights must be fetched first, if `fetches` is set
    /// and there is one.
    pub(super) fn order(
        &mut self,
        order: FencedOrder,
        fetches: bool,
        now: Timestamp,
    ) -> Result<Option<ModelId>, EngineRefusal> {
        let result = self.carry_out(&order, fetches, now);
        let FencedOrder { generation, order } = order;
        if result.is_ok() {
            self.generation = self.generation.max(generation);
            self.witness.note(EngineObservation::Ordered { generation, order });
        } else {
            self.witness.note(EngineObservation::OrderRefused { generation, order });
        }
        result
    }

    /// Hands a load order on to the model now that its weights are here.
    pub(super) fn weights_arrived(&mut self, model: &ModelId, now: Timestamp) {
        let Some(generation) = self.loading.fetched(model) else { return };
        let order = EngineOrder::LoadModel(model.clone());
        let order = convert::order(&FencedOrder { generation, order });
        if self.command(EngineCommand::Order(order), now).is_err() {
            self.loading.end(model);
        }
    }

    /// Begins an export; the receiver gets the image when it is complete.
    pub(super) fn export(
        &mut self,
        request: ExportRequest,
        now: Timestamp,
    ) -> Result<oneshot::Receiver<model::KvImage>, EngineRefusal> {
        let ExportRequest { program, epoch, tenant, model: name, messages } = request;
        let segments = messages.iter().map(segment).collect();
        let export = model::Export { program, epoch, tenant, model: name, segments };
        self.command(EngineCommand::Export(export), now)?;
        let (done, complete) = oneshot::channel();
        self.exports.push_back(Waiter { program, done });
        Ok(complete)
    }

    /// Begins an import; the receiver gets the tokens cached when it is complete.
    pub(super) fn import(
        &mut self,
        request: ImportRequest,
        now: Timestamp,
    ) -> Result<oneshot::Receiver<Tokens>, EngineRefusal> {
        let program = request.image.program;
        let image = convert::image_in(request.image);
        let import = model::Import { epoch: request.epoch, image };
        self.command(EngineCommand::Import(import), now)?;
        let (done, complete) = oneshot::channel();
        self.imports.push_back(Waiter { program, done });
        Ok(complete)
    }

    fn carry_out(
        &mut self,
        order: &FencedOrder,
        fetches: bool,
        now: Timestamp,
    ) -> Result<Option<ModelId>, EngineRefusal> {
        match &order.order {
            EngineOrder::LoadModel(name) => {
                self.loading.observe(name, order.generation)?;
                if !self.model.load_report(now).models.contains(name) {
                    if fetches {
                        return Ok(self.loading.begin_fetch(name).then(|| name.clone()));
                    }
                    self.loading.begin_load(name);
                }
            }
            EngineOrder::UnloadModel(name) => {
                self.loading.observe(name, order.generation)?;
                self.loading.end(name);
            }
            EngineOrder::SetRole(_) => {}
        }
        self.command(EngineCommand::Order(convert::order(order)), now).map(|_| None)
    }

    fn command(
        &mut self,
        command: EngineCommand,
        now: Timestamp,
    ) -> Result<EngineReply, EngineRefusal> {
        match self.model.handle(command, now) {
            EngineReply::Refused(refusal) => Err(convert::refusal(refusal, self.retry_after(now))),
            reply => Ok(reply),
        }
    }

    /// A guess of when the queue is shorter: a step for each attempt that waits.
    fn retry_after(&self, now: Timestamp) -> Duration {
        let load = self.model.load_report(now);
        Duration::from_micros(load.step_micros).times(u64::from(load.waiting)).max(SHORTEST_RETRY)
    }
}
