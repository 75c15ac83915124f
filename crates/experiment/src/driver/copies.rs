//! KV copies between engines, and between an engine and its host's memory.

use std::collections::{BTreeMap, VecDeque};

use dahlia_engine_model::{EngineCommand, Export, Import, KvImage, Submit};
use dahlia_placement::{CacheTier, CopySource, Event};
use dahlia_types::{AttemptId, ChainId, ModelId, ProgramId, Timestamp, Tokens};

use super::event_queue::SimulationEvent;
use super::schedulers::EPOCH;
use super::{Driver, MODEL};

/// The purpose of a KV transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TransferPurpose {
    /// The command is not a transfer.
    None,
    /// An attempt waits for the transfer.
    Attempt(AttemptId),
    /// A paused chain's cache is offloaded to the host's memory.
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

/// KV images in the memory of an engine's host. The oldest are evicted first.
#[derive(Debug)]
pub(super) struct HostMemory {
    capacity: u64,
    used: u64,
    images: BTreeMap<(ProgramId, ChainId), KvImage>,
    insertion_order: VecDeque<(ProgramId, ChainId)>,
}

impl HostMemory {
    pub(super) fn new(capacity: u64) -> Self {
        Self { capacity, used: 0, images: BTreeMap::new(), insertion_order: VecDeque::new() }
    }

    pub(super) fn used(&self) -> u64 {
        self.used
    }

    /// Stores an image. Returns false if it is larger than the whole memory.
    pub(super) fn store(&mut self, key: (ProgramId, ChainId), image: KvImage) -> bool {
        self.take(key);
        if image.tokens.0 > self.capacity {
            return false;
        }
        while self.used + image.tokens.0 > self.capacity {
            let Some(oldest) = self.insertion_order.front().copied() else { break };
            self.take(oldest);
        }
        self.used += image.tokens.0;
        self.images.insert(key, image);
        self.insertion_order.push_back(key);
        true
    }

    pub(super) fn take(&mut self, key: (ProgramId, ChainId)) -> Option<KvImage> {
        let image = self.images.remove(&key)?;
        self.used -= image.tokens.0;
        self.insertion_order.retain(|other| *other != key);
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
    /// Starts the copy that an attempt waits for.
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
        let purpose = TransferPurpose::Attempt(attempt);
        match from.tier {
            CacheTier::Engine => {
                let (program, model) = (attempt.call.program, ModelId::new(MODEL));
                let export = Export { program, epoch: EPOCH, tenant, model, segments };
                let at = committed + self.network.one_way_delay(scheduler, source);
                self.send_transfer(source, EngineCommand::Export(export), scheduler, purpose, at);
            }
            CacheTier::Host => match self.engines[source].host_memory.take(key) {
                Some(image) => self.send_image(source, target, image, scheduler, purpose),
                None => self.submit_after_copy(attempt),
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
        let at = self.now + self.network.one_way_delay(scheduler, engine);
        let purpose = TransferPurpose::Offload(program, chain);
        self.send_transfer(engine, EngineCommand::Export(export), scheduler, purpose, at);
    }

    /// Handles the completion of an export.
    pub(super) fn finish_export(&mut self, engine: usize, image: KvImage) {
        match self.engines[engine].exports.pop_front() {
            Some(TransferPurpose::Attempt(attempt)) => {
                let Some(copy) = self.copies.get(&attempt) else { return };
                let (target, scheduler) = (copy.target, copy.scheduler);
                self.send_image(
                    engine,
                    target,
                    image,
                    scheduler,
                    TransferPurpose::Attempt(attempt),
                );
            }
            Some(TransferPurpose::Offload(program, chain)) => {
                let tokens = image.tokens;
                self.store_image(engine, program, chain, image);
                self.notify_offloaded(engine, program, chain, tokens);
            }
            _ => {}
        }
    }

    /// Handles the completion of an import.
    pub(super) fn finish_import(&mut self, engine: usize) {
        if let Some(TransferPurpose::Attempt(attempt)) = self.engines[engine].imports.pop_front() {
            self.submit_after_copy(attempt);
        }
    }

    /// Handles a transfer that was refused or whose engine is gone.
    pub(super) fn handle_failed_transfer(&mut self, engine: usize, purpose: TransferPurpose) {
        match purpose {
            TransferPurpose::Attempt(attempt) => self.submit_after_copy(attempt),
            TransferPurpose::Offload(program, chain) => {
                self.notify_offloaded(engine, program, chain, Tokens::ZERO);
            }
            TransferPurpose::None => {}
        }
    }

    /// Submits the attempt that waited for a copy, whether the copy succeeded or failed.
    pub(super) fn submit_after_copy(&mut self, attempt: AttemptId) {
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

    fn notify_offloaded(
        &mut self,
        engine: usize,
        program: ProgramId,
        chain: ChainId,
        tokens: Tokens,
    ) {
        let owner = self.programs[program.number as usize].owner;
        let delay = self.network.one_way_delay(engine, owner);
        let engine = self.engines[engine].id.clone();
        self.notify_after(owner, Event::Offloaded { program, chain, engine, tokens }, delay);
    }

    fn send_image(
        &mut self,
        source: usize,
        target: usize,
        image: KvImage,
        scheduler: usize,
        purpose: TransferPurpose,
    ) {
        let command = EngineCommand::Import(Import { epoch: EPOCH, image });
        let at = self.now + self.network.one_way_delay(source, target);
        self.send_transfer(target, command, scheduler, purpose, at);
    }

    fn send_transfer(
        &mut self,
        engine: usize,
        command: EngineCommand,
        from: usize,
        purpose: TransferPurpose,
        at: Timestamp,
    ) {
        let incarnation = self.engines[engine].incarnation;
        let command = Box::new(command);
        let event = SimulationEvent::Command { engine, incarnation, command, from, purpose };
        self.queue.add(at, event);
    }
}
