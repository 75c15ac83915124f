//! The engines' side: commands, progress, reports and faults.

mod faults;
mod reports;

use dahlia_engine_model::{
    CacheSpan, EngineCommand, EngineEvent, EngineModel, EngineRefusal, EngineReply, Import,
};
use dahlia_placement::{AttemptFailed, AttemptFailure, Event};
use dahlia_types::{
    AttemptId, Duration, EngineId, Incarnation, ModelId, ProgramId, Timestamp, Usage,
};

use super::agenda::Happening;
use super::network::add;
use super::schedulers::EPOCH;
use super::{Driver, MODEL};
use crate::workload::Workload;

/// Decode steps that the model may take as one; callers see first tokens and ends only.
const LEAP: u64 = 256;

/// An engine and its lives.
pub(super) struct EngineHost {
    pub id: EngineId,
    pub incarnation: Incarnation,
    /// None while it is off.
    pub model: Option<EngineModel>,
    pub spans: Vec<CacheSpan>,
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
            seed: seed.wrapping_mul(7919) + number as u64,
            wake_at: None,
        };
        host.switch_on(workload);
        host
    }

    /// Starts a new, empty life.
    fn switch_on(&mut self, workload: &Workload) {
        self.incarnation = self.incarnation.next();
        let mut parameters = workload.engine.clone();
        parameters.report_progress = false;
        parameters.max_leap_steps = LEAP;
        let model = EngineModel::new(self.id.clone(), self.incarnation, parameters, self.seed);
        let mut model = model.with_model(ModelId::new(MODEL));
        model.record_spans();
        self.model = Some(model);
        self.wake_at = None;
    }

    /// Ends the books; gives how many programs still have something here.
    pub(super) fn close(&mut self, now: Timestamp) -> u64 {
        let Some(model) = self.model.as_mut() else { return 0 };
        let held = model.inventory(now).programs.len() as u64;
        model.close_spans(now);
        self.spans.extend(model.take_spans());
        held
    }
}

impl Driver<'_> {
    pub(super) fn command(
        &mut self,
        engine: usize,
        incarnation: Incarnation,
        command: EngineCommand,
        from: usize,
    ) {
        let subject = Subject::of(&command);
        let host = &mut self.engines[engine];
        let alive = host.model.as_mut().filter(|_| host.incarnation == incarnation);
        let Some(model) = alive else {
            self.command_lost(engine, subject, from);
            return;
        };
        let reply = model.handle(command, self.now);
        self.replied(engine, subject, reply, from);
        self.collect(engine);
    }

    pub(super) fn wake(&mut self, engine: usize) {
        if self.engines[engine].wake_at == Some(self.now) {
            self.engines[engine].wake_at = None;
            self.collect(engine);
        }
    }

    /// Takes the engine's events and files its next wake-up.
    fn collect(&mut self, engine: usize) {
        let now = self.now;
        let Some(model) = self.engines[engine].model.as_mut() else { return };
        let events = model.advance(now);
        let wakeup = model.next_wakeup();
        let spans = model.take_spans();
        let host = &mut self.engines[engine];
        host.spans.extend(spans);
        if let Some(at) = wakeup.filter(|at| host.wake_at.is_none_or(|filed| *at < filed)) {
            host.wake_at = Some(at);
            self.agenda.add(at, Happening::Wake { engine });
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
            EngineEvent::Exported { image, .. } => {
                let pending = self.fetches.get_mut(&image.program);
                let first = pending.into_iter().flatten().find(|one| one.leaves(engine));
                let Some(one) = first else { return };
                one.exported = true;
                let (target, from) = (one.target, one.scheduler);
                let incarnation = self.engines[target].incarnation;
                let command = Box::new(EngineCommand::Import(Import { epoch: EPOCH, image }));
                let at = self.now + self.network.between(engine, target);
                let happening = Happening::Command { engine: target, incarnation, command, from };
                self.agenda.add(at, happening);
            }
            EngineEvent::Imported { program, .. } => {
                self.end_fetch(program, |one| one.arrives(engine))
            }
            _ => {}
        }
    }

    fn forward_first_token(&mut self, engine: usize, attempt: AttemptId) {
        let Some((program, _)) = self.current(attempt) else { return };
        let owner = self.programs[program].owner;
        let link = self.network.between(engine, owner);
        self.tell_later(owner, Event::FirstToken(attempt), link);
        let at = self.now + add(link, self.client_link(program));
        self.agenda.add(at, Happening::FirstToken { attempt });
    }

    fn forward_answer(&mut self, engine: usize, attempt: AttemptId, usage: Usage) {
        self.sent.remove(&attempt);
        let Some(program) = self.programs.get(attempt.call.program.number as usize) else { return };
        let owner = program.owner;
        let link = self.network.between(engine, owner);
        self.tell_later(owner, Event::Finished { attempt, usage }, link);
        let Some((program, _)) = self.current(attempt) else { return };
        // The turn is durable before the caller sees its end.
        let durable = add(link, self.network.commit());
        let at = self.now + add(durable, self.client_link(program));
        self.agenda.add(at, Happening::Answer { attempt, usage });
    }

    fn replied(&mut self, engine: usize, subject: Subject, reply: EngineReply, from: usize) {
        match (subject, reply) {
            (Subject::Submit(attempt), EngineReply::Refused(refusal)) => {
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
            (Subject::Cancel(attempt), EngineReply::NeverStarted) => {
                self.fail_attempt(engine, attempt, AttemptFailure::Recalled, true, Duration::ZERO);
            }
            (Subject::Release(program, true), EngineReply::Released { .. }) => {
                self.confirm_release(engine, program, from);
            }
            (Subject::Export(program), EngineReply::Refused(_)) => {
                self.end_fetch(program, |one| one.leaves(engine))
            }
            (Subject::Import(program), EngineReply::Refused(_)) => {
                self.end_fetch(program, |one| one.arrives(engine));
            }
            _ => {}
        }
    }

    /// A command came to an engine that is off or in another life.
    fn command_lost(&mut self, engine: usize, subject: Subject, from: usize) {
        match subject {
            Subject::Submit(attempt) => {
                let failure = AttemptFailure::EngineLost;
                self.fail_attempt(engine, attempt, failure, true, Duration::ZERO);
            }
            Subject::Release(program, true) => self.confirm_release(engine, program, from),
            Subject::Export(program) => self.end_fetch(program, |one| one.leaves(engine)),
            Subject::Import(program) => self.end_fetch(program, |one| one.arrives(engine)),
            _ => {}
        }
    }

    /// Tells the owner that an attempt gave no answer.
    fn fail_attempt(
        &mut self,
        engine: usize,
        attempt: AttemptId,
        failure: AttemptFailure,
        retryable: bool,
        detection: Duration,
    ) {
        self.sent.remove(&attempt);
        let Some(program) = self.programs.get(attempt.call.program.number as usize) else { return };
        let owner = program.owner;
        let after = add(detection, self.network.between(engine, owner));
        let failed = AttemptFailed { attempt, failure, retryable };
        self.tell_later(owner, Event::Failed(failed), after);
    }

    fn confirm_release(&mut self, engine: usize, program: ProgramId, scheduler: usize) {
        let event = Event::Released { program, engine: self.engines[engine].id.clone() };
        let link = self.network.between(engine, scheduler);
        self.tell_later(scheduler, event, link);
    }
}

/// What a command is about, to understand its reply.
#[derive(Debug, Clone, Copy)]
enum Subject {
    Submit(AttemptId),
    Cancel(AttemptId),
    Release(ProgramId, bool),
    Export(ProgramId),
    Import(ProgramId),
    Other,
}

impl Subject {
    fn of(command: &EngineCommand) -> Self {
        match command {
            EngineCommand::Submit(submit) => Self::Submit(submit.attempt),
            EngineCommand::Cancel(cancel) => Self::Cancel(cancel.attempt),
            EngineCommand::Release(release) => Self::Release(release.program, release.closing),
            EngineCommand::Export(export) => Self::Export(export.program),
            EngineCommand::Import(import) => Self::Import(import.image.program),
            _ => Self::Other,
        }
    }
}
