//! Simulates engines: commands, progress, reports and faults.

mod faults;
mod reports;

use std::collections::VecDeque;

use dahlia_engine_model::{
    CacheSpan, EngineCommand, EngineEvent, EngineModel, EngineRefusal, EngineReply,
};
use dahlia_placement::{AttemptFailure, Event, FailedAttempt};
use dahlia_types::{
    AttemptId, Duration, EngineId, Incarnation, ModelId, ProgramId, Timestamp, Usage,
};

use super::copies::{HostMemory, TransferPurpose};
use super::event_queue::SimulationEvent;
use super::network::sum;
use super::{Driver, MODEL};
use crate::workload::Workload;

/// The maximum number of decode steps that the model takes at once. Callers see only first tokens
/// and completed answers.
const MAX_LEAP_STEPS: u64 = 256;

/// An engine across its restarts.
pub(super) struct EngineHost {
    pub id: EngineId,
    pub incarnation: Incarnation,
    /// None while the engine is stopped.
    pub model: Option<EngineModel>,
    pub spans: Vec<CacheSpan>,
    /// The purposes of exports and imports in progress, in submission order.
    pub exports: VecDeque<TransferPurpose>,
    pub imports: VecDeque<TransferPurpose>,
    pub host_memory: HostMemory,
    /// The number of cache events sent to each scheduler in this incarnation.
    pub cache_sequences: Vec<u64>,
    seed: u64,
    wake_at: Option<Timestamp>,
}

impl EngineHost {
    pub(super) fn new(workload: &Workload, number: usize, seed: u64) -> Self {
        let mut host = Self {
            id: EngineId::new(format!("engine-{number}")),
            incarnation: Incarnation(0),
            model: None,
            spans: Vec::new(),
            exports: VecDeque::new(),
            imports: VecDeque::new(),
            cache_sequences: Vec::new(),
            host_memory: HostMemory::new(workload.deployment.host_tokens),
            seed: seed.wrapping_mul(7919) + number as u64,
            wake_at: None,
        };
        host.start(workload);
        host
    }

    /// Starts a new incarnation with an empty cache.
    fn start(&mut self, workload: &Workload) {
        self.incarnation = self.incarnation.next();
        let mut parameters = workload.engine.clone();
        parameters.report_progress = false;
        parameters.max_leap_steps = MAX_LEAP_STEPS;
        let model = EngineModel::new(self.id.clone(), self.incarnation, parameters, self.seed);
        let mut model = model.with_model(ModelId::new(MODEL));
        model.record_spans();
        self.model = Some(model);
        self.wake_at = None;
        self.exports.clear();
        self.imports.clear();
        self.cache_sequences = vec![0; workload.deployment.schedulers];
        self.host_memory = HostMemory::new(workload.deployment.host_tokens);
    }

    /// Closes the cache spans and returns the number of programs that still hold cache here.
    pub(super) fn finish(&mut self, now: Timestamp) -> u64 {
        let Some(model) = self.model.as_mut() else { return 0 };
        let held = model.inventory(now).programs.len() as u64;
        model.close_spans(now);
        self.spans.extend(model.take_spans());
        held
    }
}

impl Driver<'_> {
    pub(super) fn handle_command(
        &mut self,
        engine: usize,
        incarnation: Incarnation,
        command: EngineCommand,
        from: usize,
        purpose: TransferPurpose,
    ) {
        let context = CommandContext::new(&command, purpose);
        let host = &mut self.engines[engine];
        let alive = host.model.as_mut().filter(|_| host.incarnation == incarnation);
        let Some(model) = alive else {
            self.handle_lost_command(engine, context, from);
            return;
        };
        let reply = model.handle(command, self.now);
        self.handle_reply(engine, context, reply, from);
        self.collect_events(engine);
    }

    pub(super) fn wake_engine(&mut self, engine: usize) {
        if self.engines[engine].wake_at == Some(self.now) {
            self.engines[engine].wake_at = None;
            self.collect_events(engine);
        }
    }

    /// Collects the engine's events and schedules its next wake-up.
    fn collect_events(&mut self, engine: usize) {
        let now = self.now;
        let Some(model) = self.engines[engine].model.as_mut() else { return };
        let events = model.advance(now);
        let wakeup = model.next_wakeup();
        let spans = model.take_spans();
        let host = &mut self.engines[engine];
        host.spans.extend(spans);
        if let Some(at) = wakeup.filter(|at| host.wake_at.is_none_or(|scheduled| *at < scheduled)) {
            host.wake_at = Some(at);
            self.queue.add(at, SimulationEvent::Wake { engine });
        }
        for event in events {
            self.engine_event(engine, event);
        }
    }

    fn engine_event(&mut self, engine: usize, event: EngineEvent) {
        match event {
            EngineEvent::Generated { attempt, offset, .. } if offset.0 == 0 => {
                self.forward_first_token(engine, attempt);
            }
            EngineEvent::Finished { attempt, usage, .. } => {
                self.forward_answer(engine, attempt, usage);
            }
            EngineEvent::Preempted { .. } => self.result.preemptions += 1,
            EngineEvent::Cache(event) => self.forward_cache_event(engine, event),
            EngineEvent::Exported { image, .. } => self.finish_export(engine, image),
            EngineEvent::Imported { .. } => self.finish_import(engine),
            _ => {}
        }
    }

    fn forward_first_token(&mut self, engine: usize, attempt: AttemptId) {
        let Some((program, _)) = self.find_current_call(attempt) else { return };
        let owner = self.programs[program].owner;
        let delay = self.network.one_way_delay(engine, owner);
        self.notify_after(owner, Event::FirstToken(attempt), delay);
        let at = self.now + sum(delay, self.client_delay(program));
        self.queue.add(at, SimulationEvent::FirstToken { attempt });
    }

    fn forward_answer(&mut self, engine: usize, attempt: AttemptId, usage: Usage) {
        self.engine_by_attempt.remove(&attempt);
        let Some(program) = self.programs.get(attempt.call.program.number as usize) else { return };
        let owner = program.owner;
        let delay = self.network.one_way_delay(engine, owner);
        self.notify_after(owner, Event::Finished { attempt, usage }, delay);
        let Some((program, _)) = self.find_current_call(attempt) else { return };
        // The turn is durable before the caller sees its end.
        let durable = sum(delay, self.network.commit_delay());
        let at = self.now + sum(durable, self.client_delay(program));
        self.queue.add(at, SimulationEvent::Answer { attempt, usage });
    }

    fn handle_reply(
        &mut self,
        engine: usize,
        context: CommandContext,
        reply: EngineReply,
        from: usize,
    ) {
        match (context, reply) {
            (CommandContext::Submit(attempt), EngineReply::Refused(refusal)) => {
                let failure = match refusal {
                    EngineRefusal::Overloaded { .. } => AttemptFailure::Overloaded,
                    _ => AttemptFailure::Refused,
                };
                let lasting = matches!(
                    refusal,
                    EngineRefusal::PromptTooLong { .. } | EngineRefusal::ProgramEnded { .. }
                );
                self.fail_attempt(engine, attempt, failure, !lasting, Duration::ZERO);
            }
            (CommandContext::Cancel(attempt), EngineReply::NeverStarted) => {
                self.fail_attempt(engine, attempt, AttemptFailure::Recalled, true, Duration::ZERO);
            }
            (CommandContext::Release(program, true), EngineReply::Released { .. }) => {
                self.confirm_release(engine, program, from);
            }
            (
                CommandContext::Export(purpose) | CommandContext::Import(purpose),
                EngineReply::Refused(_),
            ) => {
                self.handle_failed_transfer(engine, purpose);
            }
            (CommandContext::Export(purpose), _) => self.engines[engine].exports.push_back(purpose),
            (CommandContext::Import(purpose), _) => self.engines[engine].imports.push_back(purpose),
            _ => {}
        }
    }

    /// Handles a command to an engine that is stopped or has another incarnation.
    fn handle_lost_command(&mut self, engine: usize, context: CommandContext, from: usize) {
        match context {
            CommandContext::Submit(attempt) => {
                let failure = AttemptFailure::EngineLost;
                self.fail_attempt(engine, attempt, failure, true, Duration::ZERO);
            }
            CommandContext::Release(program, true) => self.confirm_release(engine, program, from),
            CommandContext::Export(purpose) | CommandContext::Import(purpose) => {
                self.handle_failed_transfer(engine, purpose);
            }
            _ => {}
        }
    }

    /// Notifies the owner that an attempt failed.
    fn fail_attempt(
        &mut self,
        engine: usize,
        attempt: AttemptId,
        failure: AttemptFailure,
        retryable: bool,
        detection: Duration,
    ) {
        self.engine_by_attempt.remove(&attempt);
        let Some(program) = self.programs.get(attempt.call.program.number as usize) else { return };
        let owner = program.owner;
        let after = sum(detection, self.network.one_way_delay(engine, owner));
        let failed = FailedAttempt { attempt, failure, retryable };
        self.notify_after(owner, Event::Failed(failed), after);
    }

    fn confirm_release(&mut self, engine: usize, program: ProgramId, scheduler: usize) {
        let event = Event::Released { program, engine: self.engines[engine].id.clone() };
        let delay = self.network.one_way_delay(engine, scheduler);
        self.notify_after(scheduler, event, delay);
    }
}

/// The part of a command that is needed to handle its reply.
#[derive(Debug, Clone, Copy)]
enum CommandContext {
    Submit(AttemptId),
    Cancel(AttemptId),
    Release(ProgramId, bool),
    Export(TransferPurpose),
    Import(TransferPurpose),
    Other,
}

impl CommandContext {
    fn new(command: &EngineCommand, purpose: TransferPurpose) -> Self {
        match command {
            EngineCommand::Submit(submit) => Self::Submit(submit.attempt),
            EngineCommand::Cancel(cancel) => Self::Cancel(cancel.attempt),
            EngineCommand::Release(release) => Self::Release(release.program, release.closing),
            EngineCommand::Export(_) => Self::Export(purpose),
            EngineCommand::Import(_) => Self::Import(purpose),
            _ => Self::Other,
        }
    }
}
