//! One attempt at its engine, step by step as the daemon's task runs it: send it, read the
//! answer, and find out what happened when the connection breaks.
//!
//! Mirrors `dahlia-daemon`'s `attempt` module, whose task waits where this state machine returns.

use dahlia_adapters::engine::{AttemptState, StopReason};
use dahlia_node::request::{AttemptEnd, NotRunCause};
use dahlia_node::{Event as NodeEvent, StartAttempt};
use dahlia_types::{AttemptId, DaemonId, Duration, Timestamp, Usage};

use super::World;
use super::agenda::{Delivery, Target};
use super::calls::{EngineAnswer, EngineRequest, RpcError, RpcPurpose, RpcResult};
use super::settings::engine_number;
use super::streams::StreamLine;
use crate::switches::Switch;
use crate::trace::CrashPoint;

/// Pause between enquiries at an engine that does not answer.
const ENQUIRY_PAUSE: Duration = Duration::from_millis(200);
/// An engine that could not be reached for so long cannot say what became of the attempt.
const ENQUIRY_LIMIT: Duration = Duration::from_secs(12);
/// Longest silence inside a stream.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, PartialEq)]
enum Step {
    Generating,
    Reading { stream: u64 },
    Fencing,
    Resuming,
    Cancelling,
    FencingAgain { state: AttemptState },
    Pausing,
}

/// An attempt that a daemon runs.
#[derive(Debug)]
pub(crate) struct AttemptTask {
    start: StartAttempt,
    engine: u32,
    text: String,
    step: Step,
    /// Counts steps, so that timers of earlier ones are known.
    serial: u64,
    silent_since: Timestamp,
    last_line: Timestamp,
}

impl World {
    pub(crate) fn start_attempt(&mut self, id: DaemonId, mut start: StartAttempt) {
        let request = start.clone();
        start.messages = Vec::new();
        let Some(task) = self.add_task(id, start) else { return };
        self.ask(id, task, Step::Generating, EngineRequest::Generate(Box::new(request)));
    }

    pub(crate) fn resume_attempt(&mut self, id: DaemonId, start: StartAttempt) {
        if let Some(task) = self.add_task(id, start) {
            self.find_out(id, task);
        }
    }

    fn add_task(&mut self, id: DaemonId, start: StartAttempt) -> Option<u64> {
        let engine = engine_number(&start.engine)?;
        let name = self.fresh_name();
        let now = self.now;
        let daemon = self.daemons.get_mut(&id)?;
        let attempt = start.attempt.id;
        let task = AttemptTask {
            start,
            engine,
            text: String::new(),
            step: Step::Pausing,
            serial: 0,
            silent_since: now,
            last_line: now,
        };
        if let Some(earlier) = daemon.by_attempt.insert(attempt, name) {
            daemon.tasks.remove(&earlier);
        }
        daemon.tasks.insert(name, task);
        Some(name)
    }

    /// Which engine an attempt of this daemon is at.
    pub(crate) fn engine_of_attempt(&self, id: DaemonId, attempt: AttemptId) -> Option<u32> {
        let daemon = self.daemons.get(&id)?;
        let task = daemon.tasks.get(daemon.by_attempt.get(&attempt)?)?;
        Some(task.engine)
    }

    /// Stops reading an attempt; it runs on at its engine.
    pub(crate) fn leave_attempt(&mut self, id: DaemonId, attempt: AttemptId) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let Some(name) = daemon.by_attempt.remove(&attempt) else { return };
        let Some(task) = daemon.tasks.remove(&name) else { return };
        if let Step::Reading { stream } = task.step {
            self.close_stream(id, task.engine, stream);
        }
    }

    fn close_stream(&mut self, id: DaemonId, engine: u32, stream: u64) {
        let (Some(daemon), Some(held)) = (self.daemons.get(&id), self.engines.get(&engine)) else {
            return;
        };
        let (from, to, life) = (Some(daemon.zone), Some(held.zone), held.life);
        let latency = self.network.latency(from, to, self.now, &mut self.random);
        let target = Target::Engine(engine, life);
        self.agenda.push(self.now + latency, target, Delivery::StreamClosed { stream });
    }

    fn task(&mut self, id: DaemonId, task: u64) -> Option<&mut AttemptTask> {
        self.daemons.get_mut(&id)?.tasks.get_mut(&task)
    }

    /// Puts a request to the attempt's engine and waits in a step for the reply.
    fn ask(&mut self, id: DaemonId, name: u64, step: Step, request: EngineRequest) {
        let Some(task) = self.task(id, name) else { return };
        task.step = step;
        task.serial += 1;
        let (engine, step) = (task.engine, task.serial);
        self.call_engine(id, engine, request, RpcPurpose::Attempt { task: name, step });
    }

    fn find_out(&mut self, id: DaemonId, name: u64) {
        let now = self.now;
        let Some(task) = self.task(id, name) else { return };
        task.silent_since = now;
        self.enquire(id, name);
    }

    fn enquire(&mut self, id: DaemonId, name: u64) {
        let Some(task) = self.task(id, name) else { return };
        let attempt = task.start.attempt;
        if !self.switches.is_on(Switch::FenceBeforeEnquiry) {
            self.ask_to_resume(id, name);
            return;
        }
        let request =
            EngineRequest::Fence { program: attempt.id.call.program, epoch: attempt.epoch };
        self.ask(id, name, Step::Fencing, request);
    }

    fn ask_to_resume(&mut self, id: DaemonId, name: u64) {
        let Some(task) = self.task(id, name) else { return };
        let (attempt, offset) = (task.start.attempt.id, task.text.len() as u64);
        self.ask(id, name, Step::Resuming, EngineRequest::Resume { attempt, offset });
    }

    /// A reply for an attempt.
    pub(crate) fn attempt_reply(
        &mut self,
        id: DaemonId,
        name: u64,
        step: u64,
        rpc: u64,
        result: RpcResult,
    ) {
        let Some(task) = self.task(id, name) else { return };
        if task.serial != step {
            return;
        }
        match task.step.clone() {
            Step::Generating => self.generate_replied(id, name, rpc, result),
            Step::Fencing => self.fence_replied(id, name, result),
            Step::Resuming => self.resume_replied(id, name, rpc, result),
            Step::Cancelling => self.cancel_replied(id, name, result),
            Step::FencingAgain { state } => self.second_fence_replied(id, name, &state, result),
            Step::Reading { .. } | Step::Pausing => {}
        }
    }

    fn generate_replied(&mut self, id: DaemonId, name: u64, rpc: u64, result: RpcResult) {
        match result {
            Ok(_) => self.begin_reading(id, name, rpc),
            Err(RpcError::NotRun(reason)) => self.end_attempt(id, name, not_run(&reason)),
            Err(RpcError::StaleEpoch) => self.end_attempt(id, name, not_run("stale epoch")),
            Err(RpcError::Overloaded) => {
                self.end_attempt(id, name, refused(NotRunCause::Overloaded));
            }
            Err(RpcError::TooLarge) => self.end_attempt(id, name, refused(NotRunCause::Call)),
            Err(RpcError::Known | RpcError::Unseen | RpcError::Unknown) => {
                self.find_out(id, name);
            }
        }
    }

    fn fence_replied(&mut self, id: DaemonId, name: u64, result: RpcResult) {
        let Some(task) = self.task(id, name) else { return };
        match result {
            Ok(EngineAnswer::Fenced { incarnation }) => {
                if incarnation != task.start.attempt.engine_incarnation {
                    self.end_attempt(id, name, unknown("the engine has restarted since"));
                    return;
                }
                self.ask_to_resume(id, name);
            }
            Err(RpcError::StaleEpoch) => {
                self.end_attempt(id, name, unknown("a newer owner took over"));
            }
            _ => self.later(id, name),
        }
    }

    fn resume_replied(&mut self, id: DaemonId, name: u64, rpc: u64, result: RpcResult) {
        match result {
            Ok(_) => self.begin_reading(id, name, rpc),
            Err(RpcError::Unseen) if !self.switches.is_on(Switch::CancelBeforeNotRun) => {
                self.end_attempt(id, name, not_run("the engine does not know it"));
            }
            Err(RpcError::Unseen) => {
                let Some(task) = self.task(id, name) else { return };
                let attempt = task.start.attempt;
                let (attempt, epoch) = (attempt.id, attempt.epoch);
                let request = EngineRequest::Cancel { attempt, epoch, only_waiting: false };
                self.ask(id, name, Step::Cancelling, request);
            }
            Err(_) => self.later(id, name),
        }
    }

    fn cancel_replied(&mut self, id: DaemonId, name: u64, result: RpcResult) {
        let Ok(EngineAnswer::State(state)) = result else {
            self.later(id, name);
            return;
        };
        let Some(task) = self.task(id, name) else { return };
        let attempt = task.start.attempt;
        let request =
            EngineRequest::Fence { program: attempt.id.call.program, epoch: attempt.epoch };
        self.ask(id, name, Step::FencingAgain { state }, request);
    }

    fn second_fence_replied(
        &mut self,
        id: DaemonId,
        name: u64,
        state: &AttemptState,
        result: RpcResult,
    ) {
        let Some(task) = self.task(id, name) else { return };
        let Ok(EngineAnswer::Fenced { incarnation }) = result else {
            self.later(id, name);
            return;
        };
        if incarnation != task.start.attempt.engine_incarnation {
            self.end_attempt(id, name, unknown("the engine has restarted since"));
            return;
        }
        match state {
            AttemptState::NeverStarted => {
                self.end_attempt(id, name, not_run("the engine confirmed that it never started"));
            }
            AttemptState::Finished { usage, stop: StopReason::Cancelled } => {
                self.end_attempt(id, name, AttemptEnd::Cut { usage: *usage });
            }
            AttemptState::Forgotten => {
                self.end_attempt(id, name, unknown("the engine no longer has a record of it"));
            }
            _ => self.later(id, name),
        }
    }

    fn later(&mut self, id: DaemonId, name: u64) {
        let now = self.now;
        let Some(task) = self.task(id, name) else { return };
        if now.since(task.silent_since) > ENQUIRY_LIMIT {
            self.end_attempt(id, name, unknown("the engine cannot be reached"));
            return;
        }
        task.step = Step::Pausing;
        task.serial += 1;
        let step = task.serial;
        self.pause(id, name, step, ENQUIRY_PAUSE);
    }

    fn pause(&mut self, id: DaemonId, task: u64, step: u64, length: Duration) {
        let target = Target::Daemon(id, self.daemons[&id].life);
        self.agenda.push(self.now + length, target, Delivery::AttemptPause { task, step });
    }

    /// A pause is over, or a stream is due to be looked at for silence.
    pub(crate) fn attempt_pause_over(&mut self, id: DaemonId, name: u64, step: u64) {
        let now = self.now;
        let Some(task) = self.task(id, name) else { return };
        if task.serial != step {
            return;
        }
        match task.step {
            Step::Pausing => self.enquire(id, name),
            Step::Reading { .. } => {
                let silence = now.since(task.last_line);
                if silence >= IDLE_TIMEOUT {
                    self.find_out(id, name);
                } else {
                    self.pause(id, name, step, Duration(IDLE_TIMEOUT.0 - silence.0));
                }
            }
            _ => {}
        }
    }

    fn begin_reading(&mut self, id: DaemonId, name: u64, stream: u64) {
        let now = self.now;
        let Some(task) = self.task(id, name) else { return };
        task.step = Step::Reading { stream };
        task.serial += 1;
        task.last_line = now;
        let step = task.serial;
        self.pause(id, name, step, IDLE_TIMEOUT);
    }

    /// A line of some stream.
    pub(crate) fn attempt_line(&mut self, id: DaemonId, stream: u64, line: StreamLine) {
        let now = self.now;
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let reading = Step::Reading { stream };
        let found = daemon.tasks.iter_mut().find(|(_, task)| task.step == reading);
        let Some((name, task)) = found else { return };
        let name = *name;
        task.last_line = now;
        let own = task.start.attempt.id;
        match line {
            StreamLine::Alive | StreamLine::Started => {}
            StreamLine::NeverStarted => {
                self.end_attempt(id, name, not_run("the engine took it off its queue unrun"));
            }
            StreamLine::Text { attempt, offset, text } => {
                let matched = attempt == own || !self.switches.is_on(Switch::StreamMatch);
                if !matched || offset != task.text.len() as u64 {
                    // Crossed or out of place: the stream is not read any further.
                    self.find_out(id, name);
                    return;
                }
                let is_first = task.text.is_empty();
                task.text.push_str(&text);
                if is_first {
                    self.node_event(id, NodeEvent::FirstToken { attempt: own });
                }
                self.append_answer(id, own, &text);
            }
            StreamLine::Finished { usage, stop } => self.finished(id, name, usage, stop),
            StreamLine::Broken => self.find_out(id, name),
        }
    }

    fn finished(&mut self, id: DaemonId, name: u64, usage: Usage, stop: StopReason) {
        let Some(task) = self.task(id, name) else { return };
        let end = match stop {
            StopReason::End | StopReason::Length => {
                AttemptEnd::Ran { text: std::mem::take(&mut task.text), usage }
            }
            StopReason::Cancelled => AttemptEnd::Cut { usage },
        };
        self.end_attempt(id, name, end);
    }

    fn end_attempt(&mut self, id: DaemonId, name: u64, end: AttemptEnd) {
        let Some(daemon) = self.daemons.get_mut(&id) else { return };
        let Some(task) = daemon.tasks.remove(&name) else { return };
        let attempt = task.start.attempt;
        let event = NodeEvent::AttemptEnded { attempt: attempt.id, epoch: attempt.epoch, end };
        if self.crash_here(id, CrashPoint::BeforeOutcome) {
            self.node_event_later(id, event);
            return;
        }
        self.node_event(id, event);
    }
}

fn not_run(reason: &str) -> AttemptEnd {
    let cause = NotRunCause::Engine;
    AttemptEnd::NotRun { cause, reason: reason.to_owned(), retry_after: None }
}

fn refused(cause: NotRunCause) -> AttemptEnd {
    AttemptEnd::NotRun { cause, reason: "the engine refused it".to_owned(), retry_after: None }
}

fn unknown(reason: &str) -> AttemptEnd {
    AttemptEnd::Unknown { reason: reason.to_owned() }
}
