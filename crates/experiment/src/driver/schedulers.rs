//! Passes events to the schedulers and executes their decisions over the network.

use dahlia_engine_model::{
    AfterHold, Cancel, EngineCommand, Hold, Priority, Release, Segment, Submit,
};
use dahlia_placement::{Action, CopySource, Event, HistorySegment, ReadyCall, ReleaseReason};
use dahlia_types::{
    AttemptId, CallId, Duration, EngineId, Incarnation, ModelId, Term, Timestamp, Tokens,
};

use super::copies::TransferPurpose;
use super::event_queue::SimulationEvent;
use super::{Driver, MODEL};

/// The scheduling weight of every program.
const PROGRAM_WEIGHT: u32 = 100;
/// The epoch of the owners, which do not change in these runs.
pub(super) const EPOCH: Term = Term(1);

impl Driver<'_> {
    pub(super) fn handle_ready_call(&mut self, program: usize, chain: usize) {
        let run = &mut self.programs[program];
        if run.ended {
            return;
        }
        let call = run.call(chain);
        let current = &mut run.chains[chain];
        current.ready = self.now;
        let ready = ReadyCall {
            call,
            attempt: current.attempt,
            model: ModelId::new(MODEL),
            tenant: run.script.tenant.clone(),
            history: current.history.iter().map(history_segment).collect(),
            max_generated: Tokens(self.workload.program.max_generated),
            attained_service: Duration::ZERO,
            depth: current.depth,
            weight: PROGRAM_WEIGHT,
        };
        let owner = run.owner;
        self.notify(owner, Event::CallReady(ready));
    }

    /// Passes an event to a scheduler immediately and executes its decisions.
    pub(super) fn notify(&mut self, scheduler: usize, event: Event) {
        let actions = self.schedulers[scheduler].handle(event, self.now);
        for action in actions {
            self.execute(scheduler, action);
        }
    }

    fn execute(&mut self, scheduler: usize, action: Action) {
        match action {
            Action::Dispatch { attempt, engine, incarnation, priority, copy_from } => {
                self.dispatch(scheduler, attempt, &engine, incarnation, priority, copy_from);
            }
            Action::Refuse { call, retry_after, .. } => self.send_refusal(call, retry_after),
            Action::Recall { attempt, engine } => {
                let cancel = Cancel { attempt, epoch: EPOCH, only_waiting: true };
                self.send(scheduler, &engine, EngineCommand::Cancel(cancel));
            }
            Action::Release { program, engine, reason } => {
                let closing = reason == ReleaseReason::ProgramEnded;
                let release = Release { program, epoch: EPOCH, closing };
                self.send(scheduler, &engine, EngineCommand::Release(release));
            }
            Action::Hold { program, engine, until } => {
                let after = AfterHold::Free;
                let hold = Hold { program, epoch: EPOCH, until, after };
                self.send(scheduler, &engine, EngineCommand::Hold(hold));
            }
            Action::Offload { program, chain, engine } => {
                let engine = self.engine_number(&engine);
                self.begin_offload(scheduler, program, chain, engine);
            }
            Action::FetchInventory(engine) => {
                let engine = self.engine_number(&engine);
                let at = self.now + self.network.one_way_delay(scheduler, engine);
                self.queue.add(at, SimulationEvent::Inventory { engine, scheduler });
            }
        }
    }

    fn send_refusal(&mut self, call: CallId, retry_after: Duration) {
        let attempt = AttemptId { call, attempt: 0 };
        let Some((program, chain)) = self.find_current_call(attempt) else { return };
        let waited = self.now.since(self.programs[program].chains[chain].ready);
        self.result.refusals += 1;
        self.result.longest_refusal = self.result.longest_refusal.max(waited);
        let at = self.now + self.client_delay(program);
        self.queue.add(at, SimulationEvent::Refused { program, chain, retry_after });
    }

    fn dispatch(
        &mut self,
        scheduler: usize,
        attempt: AttemptId,
        engine: &EngineId,
        incarnation: Incarnation,
        priority: u64,
        copy_from: Option<CopySource>,
    ) {
        let Some((program, chain)) = self.find_current_call(attempt) else { return };
        let run = &mut self.programs[program];
        let current = &mut run.chains[chain];
        current.attempt = attempt.attempt + 1;
        let Some(turn) = current.turns.front() else { return };
        let submit = Submit {
            attempt,
            epoch: EPOCH,
            incarnation: Some(incarnation),
            tenant: run.script.tenant.clone(),
            model: ModelId::new(MODEL),
            prompt: current.history.clone(),
            prompt_bound: Tokens(u64::MAX),
            generate: turn.generated,
            answer_hash: turn.answer_hash,
            priority: Priority(priority),
        };
        let target = self.engine_number(engine);
        self.engine_by_attempt.insert(attempt, target);
        // The intent reaches a quorum before the bytes leave, as in the daemon.
        let committed = self.now + self.network.commit_delay();
        match copy_from {
            Some(source) => self.begin_copy(scheduler, &source, target, submit, committed),
            None => self.send_submit(scheduler, target, submit, committed),
        }
    }

    pub(super) fn send_submit(
        &mut self,
        scheduler: usize,
        engine: usize,
        submit: Submit,
        from: Timestamp,
    ) {
        let incarnation = submit.incarnation.unwrap_or_default();
        let command = Box::new(EngineCommand::Submit(submit));
        let at = from + self.network.one_way_delay(scheduler, engine);
        self.queue.add(
            at,
            SimulationEvent::Command {
                engine,
                incarnation,
                command,
                from: scheduler,
                purpose: TransferPurpose::None,
            },
        );
    }

    fn send(&mut self, scheduler: usize, engine: &EngineId, command: EngineCommand) {
        let engine = self.engine_number(engine);
        let incarnation = self.engines[engine].incarnation;
        let at = self.now + self.network.one_way_delay(scheduler, engine);
        let command = Box::new(command);
        self.queue.add(
            at,
            SimulationEvent::Command {
                engine,
                incarnation,
                command,
                from: scheduler,
                purpose: TransferPurpose::None,
            },
        );
    }

    pub(super) fn engine_number(&self, engine: &EngineId) -> usize {
        let found = self.engines.iter().position(|host| host.id == *engine);
        found.expect("schedulers know only engines that were announced")
    }

    /// Sends an event to a scheduler that receives it after the given delay.
    pub(super) fn notify_after(&mut self, scheduler: usize, event: Event, after: Duration) {
        let event = Box::new(event);
        self.queue.add(self.now + after, SimulationEvent::Notify { scheduler, event });
    }
}

fn history_segment(segment: &Segment) -> HistorySegment {
    HistorySegment { hash: segment.hash, tokens: segment.tokens }
}
