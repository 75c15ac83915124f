//! What engines do about requests, and what they answer.

use dahlia_adapters::engine::{AttemptState, StopReason};
use dahlia_engine_model::{
    AfterHold, Cancel, EngineCommand, EngineRefusal, EngineReply, Fence, Hold, Priority, Release,
    Submit,
};
use dahlia_node::StartAttempt;
use dahlia_standins::engine::{AnswerText, answer_length, count_message};
use dahlia_types::{AttemptId, Bytes, Message, Role, Term};

use super::World;
use super::calls::{EngineAnswer, EngineRequest, ReplyPath, RpcError, RpcResult};
use super::observe::Observation;
use super::streams::{Progress, Reader, Record, segment, wanted};
use crate::switches::Switch;

impl World {
    pub(crate) fn engine_call(&mut self, number: u32, request: EngineRequest, path: ReplyPath) {
        self.advance_engine(number);
        let is_load = matches!(request, EngineRequest::Load);
        let result = self.carry_out(number, request, path);
        self.advance_engine(number);
        let Some(engine) = self.engines.get_mut(&number) else { return };
        if !is_load && engine.lose_replies > 0 {
            engine.lose_replies -= 1;
            if let Some(reader) = engine.readers.remove(&path.rpc) {
                let zone = engine.zone;
                self.break_stream(zone, path.rpc, reader.path);
            }
            let error = RpcError::Unknown;
            self.engine_replies(number, path, Err(error));
            return;
        }
        self.engine_replies(number, path, result);
        self.tell_reader(number, path.rpc);
    }

    fn carry_out(&mut self, number: u32, request: EngineRequest, path: ReplyPath) -> RpcResult {
        match request {
            EngineRequest::Generate(start) => self.generate(number, *start, path),
            EngineRequest::Resume { attempt, offset } => {
                self.resume_stream(number, attempt, offset, path)
            }
            EngineRequest::Cancel { attempt, epoch, only_waiting } => {
                self.cancel(number, attempt, epoch, only_waiting)
            }
            EngineRequest::Fence { program, epoch } => {
                let epoch = self.epoch(epoch);
                self.command(number, EngineCommand::Fence(Fence { program, epoch }))?;
                let incarnation = self.engines[&number].incarnation;
                Ok(EngineAnswer::Fenced { incarnation })
            }
            EngineRequest::Hold { program, epoch, length } => {
                let (epoch, until) = (self.epoch(epoch), self.now + length);
                let hold = Hold { program, epoch, until, after: AfterHold::Free };
                self.command(number, EngineCommand::Hold(hold))?;
                Ok(EngineAnswer::Done)
            }
            EngineRequest::Release { program, epoch, ended } => {
                self.release(number, program, epoch, ended)
            }
            EngineRequest::Load => Ok(EngineAnswer::Load(Box::new(self.load(number)))),
        }
    }

    /// The epoch that the engine sees; the same for all when it does not check.
    fn epoch(&self, epoch: Term) -> Term {
        if self.switches.is_on(Switch::EpochCheck) { epoch } else { Term(1) }
    }

    fn command(&mut self, number: u32, command: EngineCommand) -> Result<EngineReply, RpcError> {
        let now = self.now;
        let engine = self.engines.get_mut(&number);
        let model = engine.and_then(|engine| engine.model.as_mut());
        let Some(model) = model else {
            return Err(RpcError::Unknown);
        };
        match model.handle(command, now) {
            EngineReply::Refused(EngineRefusal::StaleEpoch { .. }) => Err(RpcError::StaleEpoch),
            EngineReply::Refused(EngineRefusal::Overloaded { .. }) => Err(RpcError::Overloaded),
            EngineReply::Refused(EngineRefusal::PromptTooLong { .. }) => Err(RpcError::TooLarge),
            EngineReply::Refused(refusal) => Err(RpcError::NotRun(refusal.to_string())),
            reply => Ok(reply),
        }
    }

    fn generate(&mut self, number: u32, start: StartAttempt, path: ReplyPath) -> RpcResult {
        let now = self.now;
        let attempt = start.attempt.id;
        let (life, known, leaving) = {
            let engine = &self.engines[&number];
            let known = engine.records.get(&attempt).map(|record| record.progress);
            (engine.life, known, engine.leaving_since)
        };
        // A request that a cut link held up was sent before its engine was known to leave.
        let leaving_for = leaving.map(|since| path.sent.since(since));
        self.seen.note(now, Observation::Received { engine: number, attempt, leaving_for });
        match known {
            Some(Progress::NeverStarted) => {
                return Err(RpcError::NotRun("it was cancelled before it arrived".to_owned()));
            }
            Some(_) => return Err(RpcError::Known),
            None => {}
        }
        let record = self.new_record(&start, life);
        let submit = self.submit_command(&start, &record);
        self.command(number, EngineCommand::Submit(submit))?;
        self.seen.note(
            now,
            Observation::Accepted {
                engine: number,
                life,
                attempt,
                tenant: start.tenant.as_str().to_owned(),
                messages: start.messages,
            },
        );
        let Some(engine) = self.engines.get_mut(&number) else {
            return Err(RpcError::Unknown);
        };
        engine.records.insert(attempt, record);
        engine.readers.insert(path.rpc, Reader::new(attempt, path, 0));
        Ok(EngineAnswer::Opened)
    }

    fn new_record(&self, start: &StartAttempt, life: u32) -> Record {
        let asked = wanted(&start.messages);
        let endless = asked.hang || asked.tokens > start.max_generated;
        let generate = if endless { start.max_generated } else { asked.tokens };
        // A sampled answer differs from attempt to attempt: text of two must not be joined.
        let mut salted = start.messages.clone();
        let salt = format!("attempt {} in life {life}", start.attempt.id);
        salted.push(Message { role: Role::System, content: salt });
        Record {
            answer: AnswerText::new(start.attempt.id.call, &salted),
            prompt: start.messages.iter().map(|message| count_message(message).0).sum(),
            generate,
            stop: if endless { StopReason::Length } else { StopReason::End },
            stalls: asked.hang,
            progress: Progress::Queued,
        }
    }

    fn submit_command(&self, start: &StartAttempt, record: &Record) -> Submit {
        let text = record.answer.piece(0, answer_length(record.generate));
        let checked = self.switches.is_on(Switch::EngineIncarnation);
        Submit {
            attempt: start.attempt.id,
            epoch: self.epoch(start.attempt.epoch),
            incarnation: checked.then_some(start.attempt.engine_incarnation),
            tenant: start.tenant.clone(),
            model: start.model.clone(),
            prompt: start.messages.iter().map(segment).collect(),
            prompt_bound: start.prompt_bound,
            generate: record.generate,
            answer_hash: segment(&Message { role: Role::Assistant, content: text }).hash,
            priority: Priority(start.priority),
        }
    }

    fn resume_stream(
        &mut self,
        number: u32,
        attempt: AttemptId,
        offset: u64,
        path: ReplyPath,
    ) -> RpcResult {
        let Some(engine) = self.engines.get_mut(&number) else { return Err(RpcError::Unseen) };
        let Some(record) = engine.records.get(&attempt) else { return Err(RpcError::Unseen) };
        if offset > record.length() {
            return Err(RpcError::NotRun("the answer is not that long".to_owned()));
        }
        engine.readers.insert(path.rpc, Reader::new(attempt, path, offset));
        Ok(EngineAnswer::Opened)
    }

    fn cancel(
        &mut self,
        number: u32,
        attempt: AttemptId,
        epoch: Term,
        only_waiting: bool,
    ) -> RpcResult {
        let epoch = self.epoch(epoch);
        let fence = Fence { program: attempt.call.program, epoch };
        self.command(number, EngineCommand::Fence(fence))?;
        let ended = self.engines[&number].records.get(&attempt).and_then(Record::ended_state);
        if let Some(state) = ended {
            return Ok(EngineAnswer::State(state));
        }
        let cancel = Cancel { attempt, epoch, only_waiting };
        self.command(number, EngineCommand::Cancel(cancel))?;
        self.settle(number, attempt);
        let state = self.engines[&number].records.get(&attempt).map(Record::state);
        Ok(EngineAnswer::State(state.unwrap_or(AttemptState::Unseen)))
    }

    fn release(
        &mut self,
        number: u32,
        program: dahlia_types::ProgramId,
        epoch: Term,
        ended: bool,
    ) -> RpcResult {
        let epoch = self.epoch(epoch);
        let live: Vec<AttemptId> = self.engines[&number]
            .records
            .iter()
            .filter(|(id, record)| id.call.program == program && record.ended_state().is_none())
            .map(|(id, _)| *id)
            .collect();
        if !ended && !live.is_empty() {
            self.command(number, EngineCommand::Fence(Fence { program, epoch }))?;
            return Err(RpcError::NotRun("attempts are under way".to_owned()));
        }
        let release = Release { program, epoch, closing: ended };
        let reply = self.command(number, EngineCommand::Release(release))?;
        for attempt in live {
            self.settle(number, attempt);
        }
        let freed = match reply {
            EngineReply::Released { freed } => Bytes(freed.0),
            _ => Bytes::ZERO,
        };
        let incarnation = self.engines[&number].incarnation;
        Ok(EngineAnswer::Released { incarnation, freed })
    }
}
