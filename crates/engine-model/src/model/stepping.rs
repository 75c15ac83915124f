//! Planning of a step and processing of its results.

use dahlia_types::{AttemptId, Duration, Timestamp, Tokens};
use rand::Rng;

use super::EngineModel;
use super::commands::program_of;
use crate::attempts::{Phase, QueueKey};
use crate::cache::ChainLink;
use crate::step::{PrefillChunk, Step, step_micros};
use crate::{AttemptStatus, CacheChange, EngineEvent};

impl EngineModel {
    /// Begins the next step if none is in progress and there is work.
    pub(super) fn begin_step(&mut self, now: Timestamp) {
        if self.step.is_some() {
            return;
        }
        while self.cache.available_memory() < self.batch.running() as u64 {
            if !self.preempt_one(now) {
                break;
            }
        }
        let prefill = self.plan_prefill(now);
        let decoding = self.batch.decoding_count();
        if decoding == 0 && prefill.is_empty() {
            return;
        }
        let count = self.choose_step_count(&prefill, decoding);
        let reserved = decoding * count + prefill.len() as u64;
        self.cache.grow_private(reserved, now);
        let step_duration = self.draw_step_time(&prefill, decoding);
        self.last_step_micros = step_duration.as_micros();
        self.step = Some(Step { started: now, step_duration, count, prefill, decoding, reserved });
    }

    /// Processes the results of the step that ends at `now`.
    pub(super) fn finish_step(&mut self, now: Timestamp) {
        let Some(step) = self.step.take() else { return };
        self.cache.refund_private(step.reserved);
        self.report_progress(step.count, now);
        self.cache.grow_private(self.batch.decoding_count() * step.count, now);
        self.batch.advance(step.count);
        for chunk in &step.prefill {
            self.finish_prefill(*chunk, now);
        }
        while let Some(id) = self.batch.next_finished() {
            self.finish_attempt(id, now);
        }
    }

    fn choose_step_count(&self, prefill: &[PrefillChunk], decoding: u64) -> u64 {
        if !prefill.is_empty() || decoding == 0 {
            return 1;
        }
        let to_finish = self.batch.steps_to_next_finish().unwrap_or(1);
        let memory = self.cache.available_memory() / decoding;
        to_finish.min(self.parameters.max_leap_steps).min(memory).max(1)
    }

    fn draw_step_time(&mut self, prefill: &[PrefillChunk], decoding: u64) -> Duration {
        let mean = step_micros(&self.parameters, prefill, decoding, self.batch.context);
        let jitter = self.parameters.step_jitter;
        let factor =
            if jitter > 0.0 { self.random.random_range(1.0 - jitter..1.0 + jitter) } else { 1.0 };
        Duration::from_micros(((mean * factor) as u64).max(1))
    }

    /// Distributes the step's prefill budget over prompts in queue order, and admits waiting
    /// attempts along the way.
    fn plan_prefill(&mut self, now: Timestamp) -> Vec<PrefillChunk> {
        let mut chunks = Vec::new();
        let mut budget = self.parameters.prefill_chunk.0;
        let mut last = None;
        let mut blocked = false;
        while budget > 0 {
            let running = self.batch.next_prefilling(last);
            let waiting = self.batch.waiting.first().copied().filter(|_| !blocked);
            let Some(key) = earliest_key(running, waiting) else { break };
            if Some(key) == waiting && !self.admit(key, now) {
                blocked = true;
                continue;
            }
            last = Some(key);
            let chunk = self.prefill_chunk_for(key.2, budget);
            budget -= chunk.tokens;
            chunks.push(chunk);
        }
        chunks
    }

    fn prefill_chunk_for(&mut self, id: AttemptId, budget: u64) -> PrefillChunk {
        let (context, left) = self.remaining_prefill(id);
        // Even a fully cached prompt computes its last token, to generate the first new one.
        PrefillChunk { attempt: id, tokens: left.clamp(1, budget), context }
    }

    /// Moves the cursor past what other attempts have computed meanwhile. Returns the tokens that
    /// are done and those that remain.
    fn remaining_prefill(&mut self, id: AttemptId) -> (u64, u64) {
        let Some(attempt) = self.attempts.get_mut(id) else { return (0, 0) };
        let Phase::Prefilling { cursor, recomputed } = &mut attempt.phase else { return (0, 0) };
        while cursor.node < attempt.path.len() {
            let computed = self.cache.computed(attempt.path[cursor.node]);
            cursor.offset = cursor.offset.max(computed);
            if cursor.offset < attempt.links[cursor.node].tokens {
                break;
            }
            cursor.node += 1;
            cursor.offset = 0;
        }
        let before: u64 = attempt.links[..cursor.node].iter().map(|link| link.tokens).sum();
        let done = before + cursor.offset;
        let left = attempt.prompt_tokens - done + (attempt.generated_before - *recomputed);
        (done + *recomputed, left)
    }

    fn finish_prefill(&mut self, chunk: PrefillChunk, now: Timestamp) {
        self.advance_cursor(chunk);
        // An attempt that was cut during the step has no record here any more.
        let Some(attempt) = self.attempts.get(chunk.attempt) else { return };
        if !matches!(attempt.phase, Phase::Prefilling { .. }) {
            return;
        }
        if self.remaining_prefill(chunk.attempt).1 == 0 {
            self.start_decoding(chunk.attempt, now);
        }
    }

    fn advance_cursor(&mut self, chunk: PrefillChunk) {
        let Some(attempt) = self.attempts.get_mut(chunk.attempt) else { return };
        let Phase::Prefilling { cursor, recomputed } = &mut attempt.phase else { return };
        let mut tokens = chunk.tokens;
        while tokens > 0 && cursor.node < attempt.path.len() {
            let length = attempt.links[cursor.node].tokens;
            let taken = tokens.min(length - cursor.offset);
            cursor.offset += taken;
            tokens -= taken;
            self.cache.set_computed(attempt.path[cursor.node], cursor.offset);
            if cursor.offset == length {
                cursor.node += 1;
                cursor.offset = 0;
            }
        }
        *recomputed += tokens.min(attempt.generated_before - *recomputed);
    }

    fn start_decoding(&mut self, id: AttemptId, now: Timestamp) {
        let start_clock = self.batch.clock;
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let offset = attempt.generated_before;
        let base = offset + 1;
        let finish = start_clock + (attempt.target_tokens() - base.min(attempt.target_tokens()));
        let key = attempt.queue_key();
        let context = attempt.prompt_tokens + base;
        attempt.phase = Phase::Decoding { start_clock, base, finish };
        self.prefill_backlog -= attempt.estimated_prefill;
        self.batch.prefilling.remove(&key);
        self.batch.add_decoding(key, finish, context);
        self.cache.grow_private(1, now);
        self.cache.programs.record_change(program_of(id), CacheChange::Stored);
        self.emit_generated(id, offset, 1, now);
    }

    fn finish_attempt(&mut self, id: AttemptId, now: Timestamp) {
        let clock = self.batch.clock;
        let Some(usage) = self.attempts.get(id).map(|attempt| attempt.usage(clock)) else { return };
        let Some(attempt) = self.attempts.end(id, AttemptStatus::Finished(usage), now) else {
            return;
        };
        let parent = attempt.path.last().copied();
        let link = answer_link(&attempt, usage.generated);
        // The path must stay pinned until the answer's node is attached to it.
        self.cache.pin_path(&attempt.path, now);
        self.remove_from_batch(&attempt, now);
        self.cache.store_answer(program_of(id), parent, link, now);
        self.cache.unpin_path(&attempt.path, now);
        self.finished += 1;
        self.events.push(EngineEvent::Finished { attempt: id, usage, at: now });
    }

    fn report_progress(&mut self, steps: u64, now: Timestamp) {
        if !self.parameters.report_progress {
            return;
        }
        let clock = self.batch.clock;
        let decoding: Vec<AttemptId> = self.batch.decoding().collect();
        for id in decoding {
            let offset = self.attempts.get(id).map_or(0, |attempt| attempt.generated(clock));
            self.emit_generated(id, offset, steps, now);
        }
    }

    fn emit_generated(&mut self, attempt: AttemptId, offset: u64, count: u64, at: Timestamp) {
        let (offset, count) = (Tokens(offset), Tokens(count));
        self.events.push(EngineEvent::Generated { attempt, offset, count, at });
    }
}

fn earliest_key(first: Option<QueueKey>, second: Option<QueueKey>) -> Option<QueueKey> {
    match (first, second) {
        (Some(first), Some(second)) => Some(first.min(second)),
        (first, second) => first.or(second),
    }
}

/// Returns the chain link of a finished answer, as the next prompt will refer to it.
fn answer_link(attempt: &crate::attempts::LiveAttempt, generated: Tokens) -> ChainLink {
    let submit = &attempt.submit;
    let answer = crate::Segment { hash: submit.answer_hash, tokens: generated };
    let prompt = crate::chain_hashes(&submit.tenant, &submit.model, &submit.prompt);
    let root = crate::ChainHash::root(&submit.tenant, &submit.model);
    let chain = prompt.last().copied().unwrap_or(root);
    ChainLink { hash: chain.extend(answer), tokens: generated.0 }
}
