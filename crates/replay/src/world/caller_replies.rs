//! What callers and operators do about what comes back.

use dahlia_api::{ApiError, ErrorKind};

use super::World;
use super::caller::{CallerMessage, Doing, Step, Then};
use super::observe::{CallerOutcome, Observation};
use crate::trace::EndOfProgram;

/// A caller stops after so many calls in a row that did not run.
const MOST_FAILURES: u32 = 3;

impl World {
    pub(crate) fn caller_message(&mut self, index: usize, message: CallerMessage) {
        let connection = match &message {
            CallerMessage::Timer { call, step } => {
                self.caller_timer(index, *call, *step);
                return;
            }
            CallerMessage::Text { connection, .. }
            | CallerMessage::End { connection }
            | CallerMessage::Failed { connection, .. }
            | CallerMessage::Done { connection }
            | CallerMessage::Decided { connection, .. }
            | CallerMessage::Refused { connection }
            | CallerMessage::Broken { connection } => *connection,
        };
        let reads = |run: &super::caller::CallRun| {
            run.step == Step::Open && run.connection.is_some_and(|(name, _)| name == connection)
        };
        let found = self.callers[index].runs.iter().find(|(_, run)| reads(run));
        let Some(number) = found.map(|(number, _)| *number) else { return };
        if let Some(run) = self.callers[index].runs.get_mut(&number) {
            run.heard = self.now;
        }
        match message {
            CallerMessage::Text { attempt, offset, text, .. } => {
                self.caller_text(index, number, attempt, offset, &text);
            }
            CallerMessage::End { .. } => {
                let text = self.callers[index].runs[&number].text.clone();
                self.told(index, number, CallerOutcome::Answered(text));
            }
            CallerMessage::Failed { error, .. } => self.caller_failed(index, number, &error),
            CallerMessage::Done { .. } => self.operation_done(index, number),
            CallerMessage::Decided { verdict, .. } => self.change_decided(index, number, verdict),
            CallerMessage::Refused { .. } | CallerMessage::Broken { .. } => {
                self.try_elsewhere(index, number);
            }
            CallerMessage::Timer { .. } => {}
        }
    }

    fn caller_text(&mut self, index: usize, number: u32, attempt: u32, offset: u64, text: &str) {
        let call = self.call_of(index, number);
        let turns = match self.callers[index].doing {
            Doing::Chain { turns, chain: 0, .. } => turns,
            _ => u32::MAX,
        };
        let abandons = self.callers[index].script.end == EndOfProgram::Abandon && number == turns;
        let Some(run) = self.callers[index].runs.get_mut(&number) else { return };
        let had = run.text.len() as u64;
        if offset != had {
            self.seen.note(self.now, Observation::OutOfPlace { call, had, offset });
            return;
        }
        run.begun = true;
        run.attempt = attempt;
        run.text.push_str(text);
        if abandons {
            run.step = Step::Ended;
            self.leave_connection(index, number);
            self.give_up(index);
        }
    }

    fn caller_failed(&mut self, index: usize, number: u32, error: &ApiError) {
        let call = self.call_of(index, number);
        let doing = &self.callers[index].doing;
        let is_operation = matches!(doing, Doing::Operate { .. } | Doing::Configure(_));
        if is_operation {
            match error.kind {
                // Closed, or expired, all the same; or never there.
                ErrorKind::ProgramClosed | ErrorKind::NotFound | ErrorKind::InvalidRequest => {
                    self.end_run(index, number);
                    self.callers[index].done = true;
                }
                _ => self.try_elsewhere(index, number),
            }
            return;
        }
        match error.kind {
            ErrorKind::NotRun => {
                self.told(index, number, CallerOutcome::NotRun(error.message.clone()));
            }
            ErrorKind::Unknown => self.told(index, number, CallerOutcome::Unknown),
            ErrorKind::AnswerReplaced => {
                self.seen.note(self.now, Observation::Replaced { call });
                if let Some(run) = self.callers[index].runs.get_mut(&number) {
                    run.text.clear();
                    run.attempt = 0;
                }
                self.try_elsewhere(index, number);
            }
            ErrorKind::Unavailable => self.try_elsewhere(index, number),
            kind @ (ErrorKind::Overloaded | ErrorKind::LimitReached) => {
                self.seen.note(self.now, Observation::Refused { call, caller: index, kind });
                if let Some(run) = self.callers[index].runs.get_mut(&number) {
                    run.begun = false;
                    run.text.clear();
                }
                self.try_elsewhere(index, number);
            }
            ErrorKind::NotFound if self.callers[index].runs[&number].begun => {
                let kind = error.kind;
                self.seen.note(self.now, Observation::Refused { call, caller: index, kind });
                if let Some(run) = self.callers[index].runs.get_mut(&number) {
                    run.begun = false;
                    run.text.clear();
                }
                self.try_elsewhere(index, number);
            }
            ErrorKind::OutOfOrder if self.callers[index].script.pipelined => {
                self.try_elsewhere(index, number);
            }
            kind => {
                self.seen.note(self.now, Observation::Refused { call, caller: index, kind });
                self.end_run(index, number);
                self.give_up_or_done(index);
            }
        }
    }

    /// The caller knows how its call ended.
    fn told(&mut self, index: usize, number: u32, outcome: CallerOutcome) {
        let call = self.call_of(index, number);
        let Some((_, gateway)) = self.callers[index].runs[&number].connection else { return };
        let answered = matches!(outcome, CallerOutcome::Answered(_));
        let caller = index;
        self.seen.note(self.now, Observation::Told { call, caller, outcome, gateway });
        self.end_run(index, number);
        let script = self.callers[index].script.clone();
        let Doing::Chain { chain, failures, spawned, .. } = &mut self.callers[index].doing else {
            self.callers[index].done = true;
            return;
        };
        *failures = if answered { 0 } else { *failures + 1 };
        let stop = *failures >= MOST_FAILURES;
        let spawns = *chain == 0 && !*spawned && script.agents > 0 && answered;
        if spawns {
            *spawned = true;
        }
        let program = call.program;
        if spawns {
            for agent in 1..=script.agents {
                self.begin_chain(script.clone(), program, agent);
            }
        }
        if stop {
            self.give_up(index);
        } else if !script.pipelined {
            self.next_after_pause(index);
        } else {
            self.finish_pipeline(index);
        }
    }

    fn next_after_pause(&mut self, index: usize) {
        let Doing::Chain { next, turns, .. } = self.callers[index].doing else { return };
        if next > turns {
            self.issue_next(index);
            return;
        }
        let pause = self.callers[index].script.pause;
        self.pause_before(index, next, pause);
    }

    fn finish_pipeline(&mut self, index: usize) {
        let Doing::Chain { next, turns, .. } = self.callers[index].doing else { return };
        let open = self.callers[index].runs.values().any(|run| run.step == Step::Open);
        if !open && next > turns {
            self.issue_next(index);
        }
    }

    pub(crate) fn end_run(&mut self, index: usize, number: u32) {
        if let Some(run) = self.callers[index].runs.get_mut(&number) {
            run.step = Step::Ended;
            run.connection = None;
        }
    }

    fn give_up_or_done(&mut self, index: usize) {
        if matches!(self.callers[index].doing, Doing::Chain { .. }) {
            self.give_up(index);
        } else {
            self.callers[index].done = true;
        }
    }

    fn operation_done(&mut self, index: usize, number: u32) {
        self.end_run(index, number);
        self.callers[index].done = true;
        let program = self.callers[index].program;
        let Doing::Operate { then, .. } = &self.callers[index].doing else { return };
        match then.clone() {
            Then::Begin => {
                let script = self.callers[index].script.clone();
                self.begin_chain(script, program, 0);
            }
            Then::Closed => self.seen.note(self.now, Observation::Closed { program }),
            Then::Nothing => {}
        }
    }
}
