//! Copies of KV: from engine to engine, and out to a host's memory and back.

use std::collections::{BTreeMap, VecDeque};

use dahlia_engine_model::{EngineCommand, Export, Import, KvImage, Submit};
use dahlia_placement::{CacheTier, CopySource, Event};
use dahlia_types::{AttemptId, ChainId, ModelId, ProgramId, Timestamp, Tokens};

use super::agenda::Happening;
use super::schedulers::EPOCH;
use super::{Driver, MODEL};

/// What a transfer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// The command is no transfer.
    None,
    /// An attempt waits for it.
    Attempt(AttemptId),
    /// A paused chain's cache goes to the host's memory.
    Offload(ProgramId, ChainId),
}

/// An attempt that waits for a copy.
#[derive(Debug)]
pub(super) struct PendingCopy {
    pub source: usize,
    pub target: usize,
    pub scheduler: usize,
    pub submit: Submit,
}

/// Images in the memory of an engine's host; the oldest go first.
#[derive(Debug)]
pub(super) struct HostMemory {
    capacity: u64,
    used: u64,
    images: BTreeMap<(ProgramId, ChainId), KvImage>,
    by_age: VecDeque<(ProgramId, ChainId)>,
}

impl HostMemory {
    pub(super) fn new(capacity: u64) -> Self {
        Self { capacity, used: 0, images: BTreeMap::new(), by_age: VecDeque::new() }
    }

    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// Keeps an image; false when it is larger than the whole memory.
    pub(super) fn store(&mut self, key: (ProgramId, ChainId), image: KvImage) -> bool {
        self.take(key);
        if image.tokens.0 > self.capacity {
            return false;
        }
        while self.used + image.tokens.0 > self.capacity {
            let Some(oldest) = self.by_age.front().copied() else { break };
            self.take(oldest);
        }
        self.used += image.tokens.0;
        self.images.insert(key, image);
        self.by_age.push_back(key);
        true
    }

    pub(super) fn take(&mut self, key: (ProgramId, ChainId)) -> Option<KvImage> {
        let image = self.images.remove(&key)?;
        self.used -= image.tokens.0;
        self.by_age.retain(|other| *other != key);
        Some(image)
    }

    pub(super) fn drop_program(&mut self, program: ProgramId) {
        let keys = self.images.keys().filter(|(owner, _)| *owner == program);
        let keys: Vec<_> = keys.copied().collect();
        for key in keys {
            self.take(key);
        }
    }
}

impl Driver<'_> {
    /// Begins the copy that an attempt waits for.
    pub(super) fn begin_copy(
        &mut self,
        scheduler: usize,
        from: &CopySource,
        target: usize,
        submit: Submit,
        committed: Timestamp,
    ) {
        let source = self.engine_number(&from.engine);
        let attempt = submit.attempt;
        let key = (attempt.call.program, attempt.call.chain);
        let segments = submit.prompt.clone();
        let tenant = submit.tenant.clone();
        self.copies.insert(attempt, PendingCopy { source, target, scheduler, submit });
        let purpose = Purpose::Attempt(attempt);
        match from.tier {
            CacheTier::Engine => {
                let (program, model) = (attempt.call.program, ModelId::new(MODEL));
                let export = Export { program, epoch: EPOCH, tenant, model, segments };
                let at = committed + self.network.between(scheduler, source);
                self.send_transfer(source, EngineCommand::Export(export), scheduler, purpose, at);
            }
            CacheTier::Host => match self.engines[source].host_memory.take(key) {
                Some(image) => self.send_image(source, target, image, scheduler, purpose),
                None => self.end_copy(attempt),
            },
        }
    }

    /// Exports a paused chain's cache to the host's memory.
    pub(super) fn begin_offload(
        &mut self,
        scheduler: usize,
        program: ProgramId,
        chain: ChainId,
        engine: usize,
    ) {
        let Some(run) = self.programs.get(program.number as usize).filter(|run| !run.ended) else {
            return;
        };
        let Some(paused) = run.chains.get(chain.0 as usize) else { return };
        let export = Export {
            program,
            epoch: EPOCH,
            tenant: run.script.tenant.clone(),
            model: ModelId::new(MODEL),
            segments: paused.history.clone(),
        };
        let at = self.now + self.network.between(scheduler, engine);
        let purpose = Purpose::Offload(program, chain);
        self.send_transfer(engine, EngineCommand::Export(export), scheduler, purpose, at);
    }

    /// An export is complete.
    pub(super) fn exported(&mut self, engine: usize, image: KvImage) {
        match self.engines[engine].exports.pop_front() {
            Some(Purpose::Attempt(attempt)) => {
                let Some(copy) = self.copies.get(&attempt) else { return };
                let (target, scheduler) = (copy.target, copy.scheduler);
                self.send_image(engine, target, image, scheduler, Purpose::Attempt(attempt));
            }
            Some(Purpose::Offload(program, chain)) => {
                let tokens = image.tokens;
                self.store_image(engine, program, chain, image);
                self.tell_offloaded(engine, program, chain, tokens);
            }
            _ => {}
        }
    }

    /// An import is complete.
    pub(super) fn imported(&mut self, engine: usize) {
        if let Some(Purpose::Attempt(attempt)) = self.engines[engine].imports.pop_front() {
            self.end_copy(attempt);
        }
    }

    /// A transfer was refused or its engine is gone.
    pub(super) fn transfer_failed(&mut self, engine: usize, purpose: Purpose) {
        match purpose {
            Purpose::Attempt(attempt) => self.end_copy(attempt),
            Purpose::Offload(program, chain) => {
                self.tell_offloaded(engine, program, chain, Tokens::ZERO);
            }
            Purpose::None => {}
        }
    }

    /// Submits the attempt that waited for a copy, whatever came of it.
    pub(super) fn end_copy(&mut self, attempt: AttemptId) {
        if let Some(copy) = self.copies.remove(&attempt) {
            self.send_submit(copy.scheduler, copy.target, copy.submit, self.now);
        }
    }

    fn store_image(&mut self, engine: usize, program: ProgramId, chain: ChainId, image: KvImage) {
        let ended = self.programs[program.number as usize].ended;
        if !ended {
            self.engines[engine].host_memory.store((program, chain), image);
        }
        let used = self.engines[engine].host_memory.used();
        self.result.host_peak_tokens = self.result.host_peak_tokens.max(used);
    }

    fn tell_offloaded(
        &mut self,
        engine: usize,
        program: ProgramId,
        chain: ChainId,
        tokens: Tokens,
    ) {
        let owner = self.programs[program.number as usize].owner;
        let link = self.network.between(engine, owner);
        let engine = self.engines[engine].id.clone();
        self.tell_later(owner, Event::Offloaded { program, chain, engine, tokens }, link);
    }

    fn send_image(
        &mut self,
        source: usize,
        target: usize,
        image: KvImage,
        scheduler: usize,
        purpose: Purpose,
    ) {
        let command = EngineCommand::Import(Import { epoch: EPOCH, image });
        let at = self.now + self.network.between(source, target);
        self.send_transfer(target, command, scheduler, purpose, at);
    }

    fn send_transfer(
        &mut self,
        engine: usize,
        command: EngineCommand,
        from: usize,
        purpose: Purpose,
        at: Timestamp,
    ) {
        let incarnation = self.engines[engine].incarnation;
        let command = Box::new(command);
        let happening = Happening::Command { engine, incarnation, command, from, purpose };
        self.agenda.add(at, happening);
    }
}
