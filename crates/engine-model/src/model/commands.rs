//! Execution of commands.

use dahlia_types::{AttemptId, Bytes, ModelId, ProgramId, Timestamp, Tokens};

use super::EngineModel;
use crate::attempts::{LiveAttempt, Phase};
use crate::cache::ChainLink;
use crate::configuration::OrderEffect;
use crate::transfer::Direction;
use crate::{
    AttemptStatus, CacheChange, Cancel, EngineCommand, EngineEvent, EngineOrder, EngineRefusal,
    EngineReply, EngineRole, Export, Hold, Import, KvImage, Release, Segment, Submit, chain_hashes,
};

type CommandResult = Result<EngineReply, EngineRefusal>;

impl EngineModel {
    /// Executes a command at `now`, after running the engine up to `now`.
    pub fn handle(&mut self, command: EngineCommand, now: Timestamp) -> EngineReply {
        self.run_until(now);
        let answer = match command {
            EngineCommand::Submit(submit) => self.submit(submit, now),
            EngineCommand::Cancel(cancel) => self.cancel(cancel, now),
            EngineCommand::Fence(fence) => {
                self.fences.observe(fence.program, fence.epoch, now).map(|()| EngineReply::Accepted)
            }
            EngineCommand::Hold(hold) => self.hold(hold, now),
            EngineCommand::Release(release) => self.release(release, now),
            EngineCommand::Export(export) => self.export(export, now),
            EngineCommand::Import(import) => self.import(import, now),
            EngineCommand::Order(order) => self.apply_order(&order, now),
        };
        self.cut_leap_short(now);
        self.begin_step(now);
        self.emit_cache_events(now);
        answer.unwrap_or_else(EngineReply::Refused)
    }

    fn submit(&mut self, submit: Submit, now: Timestamp) -> CommandResult {
        let program = submit.attempt.call.program;
        let known = self.status(submit.attempt);
        if known != AttemptStatus::Unknown {
            return Ok(EngineReply::Known(known));
        }
        self.check_incarnation(&submit)?;
        self.fences.admit(program, submit.epoch, now)?;
        if self.configuration.role() == EngineRole::Draining {
            return Err(EngineRefusal::Draining);
        }
        if !self.configuration.is_loaded(&submit.model) {
            return Err(EngineRefusal::ModelNotLoaded { model: submit.model });
        }
        let waiting = self.batch.waiting.len() as u32;
        if waiting >= self.parameters.max_waiting {
            return Err(EngineRefusal::Overloaded { waiting });
        }
        let mut attempt = LiveAttempt::new(submit, self.next_sequence);
        self.check_length(&attempt)?;
        self.next_sequence += 1;
        let cached = self.cache.computed_prefix(&attempt.links);
        attempt.estimated_prefill = attempt.prompt_tokens - cached;
        self.prefill_backlog += attempt.estimated_prefill;
        self.batch.waiting.insert(attempt.queue_key());
        self.attempts.insert(attempt);
        Ok(EngineReply::Accepted)
    }

    fn check_incarnation(&self, submit: &Submit) -> Result<(), EngineRefusal> {
        match submit.incarnation {
            Some(expected) if expected != self.incarnation => {
                Err(EngineRefusal::OtherIncarnation { expected, actual: self.incarnation })
            }
            _ => Ok(()),
        }
    }

    fn check_length(&self, attempt: &LiveAttempt) -> Result<(), EngineRefusal> {
        let prompt = attempt.prompt_tokens;
        let bound = attempt.submit.prompt_bound;
        if prompt > bound.0 {
            return Err(EngineRefusal::PromptTooLong { tokens: Tokens(prompt), limit: bound });
        }
        // Each segment is rounded up to whole blocks, and a step reserves one token in advance.
        let slack = (attempt.links.len() as u64 + 2) * self.parameters.block_tokens.0;
        let needed = prompt + attempt.target_tokens() + slack;
        let limit = Tokens(self.cache.capacity());
        if needed > limit.0 {
            return Err(EngineRefusal::PromptTooLong { tokens: Tokens(needed), limit });
        }
        Ok(())
    }

    fn cancel(&mut self, cancel: Cancel, now: Timestamp) -> CommandResult {
        self.fences.observe(cancel.attempt.call.program, cancel.epoch, now)?;
        let status = self.status(cancel.attempt);
        if cancel.only_waiting && matches!(status, AttemptStatus::Running { .. }) {
            return Ok(EngineReply::Known(status));
        }
        Ok(self.cut(cancel.attempt, now))
    }

    /// Ends an attempt. If it has not started, a record is kept so that it never starts.
    pub(super) fn cut(&mut self, id: AttemptId, now: Timestamp) -> EngineReply {
        let started = match self.status(id) {
            AttemptStatus::Running { .. } => true,
            AttemptStatus::Waiting | AttemptStatus::Unknown => false,
            AttemptStatus::NeverStarted => return EngineReply::NeverStarted,
            ended => return EngineReply::Known(ended),
        };
        if !started {
            if let Some(attempt) = self.attempts.end(id, AttemptStatus::NeverStarted, now) {
                self.remove_from_waiting(&attempt);
            }
            return EngineReply::NeverStarted;
        }
        let clock = self.batch.clock;
        let usage = self.attempts.get(id).map(|attempt| attempt.usage(clock)).unwrap_or_default();
        if let Some(attempt) = self.attempts.end(id, AttemptStatus::Cut(usage), now) {
            match attempt.phase {
                Phase::Waiting => self.remove_from_waiting(&attempt),
                _ => self.remove_from_batch(&attempt, now),
            }
        }
        EngineReply::Cut(usage)
    }

    fn remove_from_waiting(&mut self, attempt: &LiveAttempt) {
        self.batch.waiting.remove(&attempt.queue_key());
        self.prefill_backlog -= attempt.estimated_prefill;
    }

    fn hold(&mut self, hold: Hold, now: Timestamp) -> CommandResult {
        self.fences.observe(hold.program, hold.epoch, now)?;
        if !self.cache.programs.set_hold(hold.program, hold.until, hold.after) {
            return Err(EngineRefusal::NothingCached { program: hold.program });
        }
        self.cache.set_held(hold.program, true);
        Ok(EngineReply::Accepted)
    }

    fn release(&mut self, release: Release, now: Timestamp) -> CommandResult {
        let program = release.program;
        self.fences.observe(program, release.epoch, now)?;
        if release.closing {
            self.fences.mark_ended(program, release.epoch, now);
            for id in self.attempts.of_program(program) {
                self.cut(id, now);
            }
        }
        let freed = Tokens(self.cache.free_program(program, now));
        Ok(EngineReply::Released { freed })
    }

    fn export(&mut self, export: Export, now: Timestamp) -> CommandResult {
        let program = export.program;
        self.fences.observe(program, export.epoch, now)?;
        let mut segments = export.segments;
        let links = chain_links(&export.tenant, &export.model, &segments);
        let tokens = self.cache.computed_prefix(&links);
        segments.truncate(count_whole_segments(&segments, tokens));
        let kept: u64 = segments.iter().map(|segment| segment.tokens.0).sum();
        if kept == 0 {
            return Err(EngineRefusal::NothingCached { program });
        }
        let kept_links = chain_links(&export.tenant, &export.model, &segments);
        let path = self.cache.acquire(program, &kept_links, 0, now);
        let path = path.ok_or(EngineRefusal::NothingCached { program })?;
        let bytes = Bytes(kept * self.parameters.kv_bytes_per_token.0);
        let image = KvImage {
            program,
            tenant: export.tenant,
            model: export.model,
            segments,
            tokens: Tokens(kept),
            bytes,
        };
        self.transfers.begin(image, Direction::Export(path), now);
        Ok(EngineReply::Accepted)
    }

    fn import(&mut self, import: Import, now: Timestamp) -> CommandResult {
        self.fences.admit(import.image.program, import.epoch, now)?;
        if !self.configuration.is_loaded(&import.image.model) {
            return Err(EngineRefusal::ModelNotLoaded { model: import.image.model });
        }
        self.transfers.begin(import.image, Direction::Import, now);
        Ok(EngineReply::Accepted)
    }

    /// Caches an image that has arrived in full. Caches nothing if memory is short or the program
    /// has ended.
    pub(super) fn finish_import(&mut self, image: KvImage, at: Timestamp) {
        let program = image.program;
        let links = chain_links(&image.tenant, &image.model, &image.segments);
        let ended = self.fences.is_ended(program);
        let path = if ended { None } else { self.cache.acquire(program, &links, 0, at) };
        let tokens = path.as_ref().map_or(Tokens::ZERO, |_| image.tokens);
        if let Some(path) = path {
            for (id, link) in path.iter().zip(&links) {
                self.cache.set_computed(*id, link.tokens);
            }
            self.cache.unpin_path(&path, at);
            self.cache.programs.record_change(program, CacheChange::Stored);
        }
        self.events.push(EngineEvent::Imported { program, tokens, at });
    }

    fn apply_order(&mut self, order: &EngineOrder, now: Timestamp) -> CommandResult {
        if let OrderEffect::Unloaded(model) = self.configuration.apply(order, now)? {
            self.evict_waiting(&model, now);
        }
        Ok(EngineReply::Accepted)
    }

    fn evict_waiting(&mut self, model: &ModelId, now: Timestamp) {
        let waiting: Vec<AttemptId> = self.batch.waiting.iter().map(|(_, _, id)| *id).collect();
        for attempt in waiting {
            let of_model =
                self.attempts.get(attempt).is_some_and(|live| live.submit.model == *model);
            if of_model && self.cut(attempt, now) == EngineReply::NeverStarted {
                self.events.push(EngineEvent::Evicted { attempt, at: now });
            }
        }
    }

    fn cut_leap_short(&mut self, now: Timestamp) {
        if let Some(step) = self.step.as_mut() {
            let saved = step.shorten(now);
            self.cache.refund_private(saved);
        }
    }
}

fn chain_links(
    tenant: &dahlia_types::TenantId,
    model: &ModelId,
    segments: &[Segment],
) -> Vec<ChainLink> {
    let hashes = chain_hashes(tenant, model, segments);
    let pairs = hashes.into_iter().zip(segments);
    pairs
        .filter(|(_, segment)| segment.tokens.0 > 0)
        .map(|(hash, segment)| ChainLink { hash, tokens: segment.tokens.0 })
        .collect()
}

/// Returns how many of `segments` lie entirely inside the first `tokens`.
fn count_whole_segments(segments: &[Segment], tokens: u64) -> usize {
    let ends = segments.iter().scan(0, |end, segment| {
        *end += segment.tokens.0;
        Some(*end)
    });
    ends.take_while(|end| *end <= tokens).count()
}

/// Returns the program of an attempt.
pub(super) fn program_of(id: AttemptId) -> ProgramId {
    id.call.program
}
