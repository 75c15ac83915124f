//! Admission of attempts to the batch, and their removal and preemption.

use dahlia_types::{AttemptId, Timestamp, Tokens};

use super::EngineModel;
use super::commands::program_of;
use crate::attempts::{LiveAttempt, Phase, PrefillCursor, QueueKey};
use crate::{CacheChange, EngineEvent};

impl EngineModel {
    /// Admits a waiting attempt to the batch. Returns false if the batch or the memory is full.
    pub(super) fn admit(&mut self, key: QueueKey, now: Timestamp) -> bool {
        if self.batch.running() >= self.parameters.max_batch as usize {
            return false;
        }
        let id = key.2;
        let program = program_of(id);
        let Some(attempt) = self.attempts.get(id) else { return false };
        let recomputed = attempt.generated_before;
        let cached = self.cache.computed_prefix(&attempt.links);
        // Memory for the tokens generated before a preemption, and for one more token of this
        // attempt and of each one in the batch.
        let headroom = recomputed + self.batch.running() as u64 + 1;
        let path = self.cache.acquire(program, &attempt.links, headroom, now);
        let Some(path) = path else { return false };
        self.cache.grow_private(recomputed, now);
        // The program is active again. Its hold is no longer needed and must not free cache in use.
        self.cache.programs.clear_hold(program);
        self.cache.set_held(program, false);
        self.batch.waiting.remove(&key);
        self.batch.prefilling.insert(key);
        let attempt = self.attempts.get_mut(id).expect("the attempt is live");
        attempt.path = path;
        attempt.admitted_at = now;
        attempt.phase = Phase::Prefilling { cursor: PrefillCursor::default(), recomputed: 0 };
        if attempt.cached.is_none() {
            attempt.cached = Some(cached);
            let cached = Tokens(cached);
            self.events.push(EngineEvent::Started { attempt: id, cached, at: now });
        }
        true
    }

    /// Removes an attempt from the batch and frees its memory. The prompt that it computed stays
    /// cached.
    pub(super) fn remove_from_batch(&mut self, attempt: &LiveAttempt, now: Timestamp) {
        let key = attempt.queue_key();
        let generated = attempt.generated(self.batch.clock);
        match attempt.phase {
            Phase::Waiting => return,
            Phase::Prefilling { .. } => {
                self.batch.prefilling.remove(&key);
                self.prefill_backlog -= attempt.estimated_prefill;
            }
            Phase::Decoding { finish, .. } => {
                let context = attempt.prompt_tokens + generated;
                self.batch.remove_decoding(key, finish, context);
            }
        }
        self.cache.shrink_private(generated, attempt.admitted_at, now);
        self.cache.unpin_path(&attempt.path, now);
        self.cache.programs.record_change(program_of(attempt.id()), CacheChange::Stored);
    }

    /// Moves the least urgent attempt of the batch back to waiting, unless it is the only one.
    /// Returns whether it did.
    pub(super) fn preempt_one(&mut self, now: Timestamp) -> bool {
        if self.batch.running() <= 1 {
            return false;
        }
        let Some(id) = self.batch.least_urgent() else { return false };
        self.preempt(id, now);
        true
    }

    fn preempt(&mut self, id: AttemptId, now: Timestamp) {
        let clock = self.batch.clock;
        let Some(mut attempt) = self.attempts.take(id) else { return };
        self.remove_from_batch(&attempt, now);
        attempt.generated_before = attempt.generated(clock);
        attempt.phase = Phase::Waiting;
        attempt.path = Vec::new();
        let cached = self.cache.computed_prefix(&attempt.links);
        attempt.estimated_prefill = attempt.prompt_tokens - cached + attempt.generated_before;
        self.prefill_backlog += attempt.estimated_prefill;
        self.batch.waiting.insert(attempt.queue_key());
        self.attempts.insert(attempt);
        self.events.push(EngineEvent::Preempted { attempt: id, at: now });
    }
}
