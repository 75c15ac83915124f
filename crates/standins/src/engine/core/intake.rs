//! Taking attempts in, and finding known ones to follow.

use std::sync::Arc;

use dahlia_adapters::engine::{AttemptState, EngineRefusal, GenerateRequest, StopReason};
use dahlia_engine_model as model;
use dahlia_engine_model::EngineCommand;
use dahlia_types::{AttemptId, Role, Timestamp, Tokens};

use super::{Core, Subscription};
use crate::engine::answer::AnswerText;
use crate::engine::observation::EngineObservation;
use crate::engine::prompt::{answer_length, count_prompt, directives, hash_message, segment};
use crate::engine::records::{Progress, Record};

/// Tokens that an attempt with the `[[hang]]` directive gives before it goes silent.
const TOKENS_BEFORE_HANG: Tokens = Tokens(8);

impl Core {
    /// Takes an attempt into the queue.
    pub(in crate::engine) fn generate(
        &mut self,
        request: &GenerateRequest,
        now: Timestamp,
    ) -> Result<Subscription, EngineRefusal> {
        let attempt = request.attempt.id;
        let taken = self.take_in(request, now);
        if let Err(refusal) = &taken {
            let reason = refusal.to_string();
            self.witness.note(EngineObservation::Refused { attempt, reason });
        }
        taken
    }

    /// Finds a known attempt to follow from byte `offset` of its answer.
    pub(in crate::engine) fn resume(
        &self,
        attempt: AttemptId,
        offset: u64,
    ) -> Result<Subscription, EngineRefusal> {
        let record = self.records.get(attempt);
        let record = record.ok_or(EngineRefusal::NoSuchAttempt { attempt })?;
        let generated = match record.progress() {
            Progress::Running { generated, .. } => generated,
            Progress::Ended { usage, .. } => usage.generated,
            Progress::Queued | Progress::NeverStarted => Tokens::ZERO,
        };
        let length = answer_length(generated);
        if offset > length {
            return Err(EngineRefusal::OffsetBeyondAnswer { offset, length });
        }
        Ok(self.subscription(attempt, record))
    }

    fn take_in(
        &mut self,
        request: &GenerateRequest,
        now: Timestamp,
    ) -> Result<Subscription, EngineRefusal> {
        let attempt = request.attempt.id;
        match self.records.state(attempt) {
            AttemptState::Unseen | AttemptState::Forgotten => {}
            AttemptState::NeverStarted => return Err(EngineRefusal::NeverStarts { attempt }),
            state => return Err(EngineRefusal::AttemptExists { attempt, state }),
        }
        let answer = Arc::new(AnswerText::new(attempt.call, &request.messages));
        let asked = directives(&request.messages);
        let wanted = asked.tokens.unwrap_or(self.default_answer);
        let endless = asked.hang || wanted > request.max_generated;
        let generate = if endless { request.max_generated } else { wanted };
        let submit = model::Submit {
            attempt,
            epoch: request.attempt.epoch,
            incarnation: Some(request.attempt.engine_incarnation),
            tenant: request.tenant.clone(),
            model: request.model.clone(),
            prompt: request.messages.iter().map(segment).collect(),
            prompt_bound: request.prompt_bound,
            generate,
            answer_hash: answer_hash(&answer, generate),
            priority: model::Priority(request.priority),
        };
        self.command(EngineCommand::Submit(submit), now)?;
        self.accepted += 1;
        let stop = if endless { StopReason::Length } else { StopReason::End };
        let stalls = asked.hang.then_some(TOKENS_BEFORE_HANG);
        let record = Record::new(Arc::clone(&answer), stop, stalls);
        let subscription = self.subscription(attempt, &record);
        self.records.insert(attempt, record);
        self.witness.note(accepted(request, &answer));
        Ok(subscription)
    }

    fn subscription(&self, attempt: AttemptId, record: &Record) -> Subscription {
        Subscription {
            attempt,
            incarnation: self.model.incarnation(),
            answer: Arc::clone(&record.answer),
            progress: record.subscribe(),
        }
    }
}

/// Hash under which the next prompt will name the answer.
fn answer_hash(answer: &AnswerText, generated: Tokens) -> u64 {
    let text = answer.piece(0, answer_length(generated));
    hash_message(Role::Assistant, &text)
}

fn accepted(request: &GenerateRequest, answer: &AnswerText) -> EngineObservation {
    EngineObservation::Accepted {
        attempt: request.attempt.id,
        epoch: request.attempt.epoch,
        tenant: request.tenant.clone(),
        model: request.model.clone(),
        prompt: count_prompt(&request.messages),
        messages: request.messages.len() as u32,
        answer_begins: answer.header().to_owned(),
    }
}
