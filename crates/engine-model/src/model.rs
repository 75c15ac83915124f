//! The engine model: takes commands and produces events.

mod admission;
mod commands;
mod stepping;

use dahlia_types::{AttemptId, EngineId, Incarnation, ModelId, Timestamp, Tokens};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::attempts::Attempts;
use crate::batch::Batch;
use crate::cache::PrefixCache;
use crate::configuration::EngineConfiguration;
use crate::fence::Fences;
use crate::step::Step;
use crate::transfer::{Direction, TransferLink};
use crate::{
    AfterHold, AttemptStatus, CacheEvent, CacheSpan, EngineEvent, EngineParameters, HeldProgram,
    Inventory, LoadReport,
};

/// One incarnation of one engine.
///
/// The driver calls [`Self::handle`] for each command and [`Self::advance`] when
/// [`Self::next_wakeup`] has come. Timestamps must not go backwards.
#[derive(Debug)]
pub struct EngineModel {
    id: EngineId,
    incarnation: Incarnation,
    parameters: EngineParameters,
    random: ChaCha8Rng,
    attempts: Attempts,
    batch: Batch,
    cache: PrefixCache,
    fences: Fences,
    configuration: EngineConfiguration,
    transfers: TransferLink,
    step: Option<Step>,
    events: Vec<EngineEvent>,
    next_sequence: u64,
    cache_sequence: u64,
    prefill_backlog: u64,
    finished: u64,
    last_step_micros: u64,
}

impl EngineModel {
    /// Creates an empty engine. `seed` determines the jitter of its steps.
    pub fn new(
        id: EngineId,
        incarnation: Incarnation,
        parameters: EngineParameters,
        seed: u64,
    ) -> Self {
        Self {
            id,
            incarnation,
            random: ChaCha8Rng::seed_from_u64(seed),
            attempts: Attempts::new(parameters.record_retention),
            batch: Batch::default(),
            cache: PrefixCache::new(parameters.kv_capacity, parameters.block_tokens),
            fences: Fences::new(parameters.record_retention),
            configuration: EngineConfiguration::new(parameters.model_load_time),
            transfers: TransferLink::new(&parameters),
            step: None,
            events: Vec::new(),
            next_sequence: 0,
            cache_sequence: 0,
            prefill_backlog: 0,
            finished: 0,
            last_step_micros: 0,
            parameters,
        }
    }

    /// Starts the engine with `model` loaded, without an order.
    pub fn with_model(mut self, model: ModelId) -> Self {
        self.configuration.add_loaded_model(model);
        self
    }

    /// Starts to record [`CacheSpan`]s.
    pub fn record_spans(&mut self) {
        self.cache.spans.enable();
    }

    /// Returns the engine's identifier.
    pub fn id(&self) -> &EngineId {
        &self.id
    }

    /// Returns the engine's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the status of an attempt. A stream that is resumed by offset needs it.
    pub fn status(&self, attempt: AttemptId) -> AttemptStatus {
        self.attempts.status(attempt, self.batch.clock)
    }

    /// Returns when [`Self::advance`] next has something to do; `None` while the engine is idle.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let step = self.step.as_ref().map(Step::ends);
        let hold = self.cache.programs.next_hold_end();
        let transfer = self.transfers.next_end();
        [step, hold, transfer, self.configuration.next_load_end()].into_iter().flatten().min()
    }

    /// Runs the engine up to `now`. Returns the events since the last call, in order.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineEvent> {
        self.run_until(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the load at `now`. Call [`Self::advance`] first.
    pub fn load_report(&self, now: Timestamp) -> LoadReport {
        LoadReport {
            incarnation: self.incarnation,
            at: now,
            role: self.configuration.role(),
            running: self.batch.running() as u32,
            waiting: self.batch.waiting.len() as u32,
            prefill_backlog: Tokens(self.prefill_backlog),
            resident: Tokens(self.cache.used()),
            pinned: Tokens(self.cache.pinned()),
            capacity: Tokens(self.cache.capacity()),
            step_micros: self.last_step_micros,
            finished: self.finished,
            models: self.configuration.loaded(),
        }
    }

    /// Returns everything that is cached for programs at `now`.
    pub fn inventory(&self, now: Timestamp) -> Inventory {
        let programs = self.cache.programs.iter().map(|(program, tokens, held_until)| {
            HeldProgram { program, tokens: Tokens(tokens), held_until }
        });
        Inventory {
            incarnation: self.incarnation,
            at: now,
            sequence: self.cache_sequence,
            programs: programs.collect(),
        }
    }

    /// Takes the spans that have ended; see [`Self::record_spans`].
    pub fn take_spans(&mut self) -> Vec<CacheSpan> {
        self.cache.spans.take()
    }

    /// Ends the spans that are still open. Call it at the end of a run.
    pub fn close_spans(&mut self, now: Timestamp) {
        self.cache.close_spans(now);
    }

    fn run_until(&mut self, now: Timestamp) {
        while let Some(at) = self.next_wakeup().filter(|at| *at <= now) {
            self.process(at);
            self.begin_step(at);
            self.emit_cache_events(at);
        }
        self.attempts.expire(now);
        let attempts = &self.attempts;
        let programs = &self.cache.programs;
        self.fences.expire(now, |program| {
            programs.tokens(program) > 0 || !attempts.of_program(program).is_empty()
        });
    }

    fn process(&mut self, at: Timestamp) {
        if let Some((model, ready)) = self.configuration.finish_next_load(at) {
            self.events.push(EngineEvent::ModelLoaded { model, at: ready });
        }
        if let Some((program, after)) = self.cache.programs.take_lapsed_hold(at) {
            self.end_hold(program, after, at);
        }
        if let Some(transfer) = self.transfers.take_ended(at) {
            self.finish_transfer(transfer, at);
        }
        if self.step.as_ref().is_some_and(|step| step.ends() <= at) {
            self.finish_step(at);
        }
    }

    fn end_hold(&mut self, program: dahlia_types::ProgramId, after: AfterHold, at: Timestamp) {
        self.cache.set_held(program, false);
        if after == AfterHold::Free {
            let freed = Tokens(self.cache.free_program(program, at));
            self.events.push(EngineEvent::HoldLapsed { program, freed, at });
        }
    }

    fn finish_transfer(&mut self, transfer: crate::transfer::Transfer, at: Timestamp) {
        match transfer.direction {
            Direction::Export(path) => {
                self.cache.unpin_path(&path, at);
                self.events.push(EngineEvent::Exported { image: transfer.image, at });
            }
            Direction::Import => self.finish_import(transfer.image, at),
        }
    }

    fn emit_cache_events(&mut self, at: Timestamp) {
        for (program, change) in self.cache.programs.take_changes() {
            self.cache_sequence += 1;
            let resident = Tokens(self.cache.programs.tokens(program));
            let sequence = self.cache_sequence;
            let event = CacheEvent { sequence, program, change, resident, at };
            self.events.push(EngineEvent::Cache(event));
        }
    }
}
