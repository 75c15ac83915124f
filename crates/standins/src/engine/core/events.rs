//! Taking over what the model tells of attempts, transfers and models.

use std::collections::VecDeque;

use dahlia_adapters::engine::StopReason;
use dahlia_engine_model::{AttemptStatus, EngineEvent};
use dahlia_types::{AttemptId, ProgramId, Tokens, Usage};

use super::{Core, Waiter};
use crate::engine::convert;
use crate::engine::observation::EngineObservation;
use crate::engine::records::Progress;

impl Core {
    /// Takes over how the model ended an attempt by request.
    pub(super) fn settle(&mut self, attempt: AttemptId) {
        let status = self.model.status(attempt);
        let (usage, stop) = match status {
            AttemptStatus::NeverStarted => {
                self.records.never_starts(attempt);
                self.witness.note(EngineObservation::NeverStarted { attempt });
                return;
            }
            AttemptStatus::Cut(usage) => (usage, StopReason::Cancelled),
            // Only a stalled attempt has ended in the model without having ended here.
            AttemptStatus::Finished(usage) => (usage, StopReason::Cancelled),
            AttemptStatus::Unknown | AttemptStatus::Waiting | AttemptStatus::Running { .. } => {
                return;
            }
        };
        self.end(attempt, usage, stop);
    }

    fn end(&self, attempt: AttemptId, mut usage: Usage, stop: StopReason) {
        let Some(record) = self.records.get(attempt) else { return };
        if record.progress().is_final() {
            return;
        }
        if let Some(limit) = record.stalls_after {
            usage.generated = usage.generated.min(limit);
        }
        record.set(Progress::Ended { usage, stop });
        self.witness.note(EngineObservation::Ended { attempt, usage, stop });
    }

    pub(super) fn take(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Started { attempt, cached, .. } => self.started(attempt, cached),
            EngineEvent::Generated { attempt, offset, count, .. } => {
                self.generated(attempt, offset.saturating_add(count));
            }
            EngineEvent::Finished { attempt, usage, .. } => self.finished(attempt, usage),
            EngineEvent::Preempted { .. } => {}
            EngineEvent::Evicted { attempt, .. } => self.settle(attempt),
            EngineEvent::Cache(event) => self.reports.add_cache_event(convert::cache_event(event)),
            EngineEvent::Exported { image, .. } => {
                complete(&mut self.exports, image.program, image)
            }
            EngineEvent::Imported { program, tokens, .. } => {
                complete(&mut self.imports, program, tokens);
            }
            EngineEvent::ModelLoaded { model, .. } => {
                self.loading.end(&model);
                self.witness.note(EngineObservation::ModelReady { model });
            }
            EngineEvent::HoldLapsed { program, freed, .. } => {
                let freed = self.bytes(freed);
                self.witness.note(EngineObservation::HoldLapsed { program, freed });
            }
        }
    }

    fn started(&self, attempt: AttemptId, cached: Tokens) {
        let Some(record) = self.records.get(attempt) else { return };
        record.set(Progress::Running { cached, generated: Tokens::ZERO });
        self.witness.note(EngineObservation::Started { attempt, cached });
    }

    fn generated(&self, attempt: AttemptId, generated: Tokens) {
        let Some(record) = self.records.get(attempt) else { return };
        let Progress::Running { cached, generated: before } = record.progress() else { return };
        let limit = record.stalls_after.unwrap_or(generated);
        let generated = generated.min(limit).max(before);
        record.set(Progress::Running { cached, generated });
    }

    fn finished(&self, attempt: AttemptId, usage: Usage) {
        let Some(record) = self.records.get(attempt) else { return };
        if record.stalls_after.is_none() {
            self.end(attempt, usage, record.natural_stop);
        }
    }
}

fn complete<T>(waiters: &mut VecDeque<Waiter<T>>, program: ProgramId, result: T) {
    let place = waiters.iter().position(|waiter| waiter.program == program);
    if let Some(waiter) = place.and_then(|place| waiters.remove(place)) {
        // Whoever asked may have gone; the transfer is complete all the same.
        let _ = waiter.done.send(result);
    }
}
