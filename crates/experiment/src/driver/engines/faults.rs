//! Engine faults: drains, crashes and restarts.

use dahlia_engine_model::{EngineCommand, EngineOrder, EngineRole, OrderKind};
use dahlia_placement::{AttemptFailure, Event};
use dahlia_types::{AttemptId, Duration, Generation, Incarnation};

use super::super::Driver;
use super::super::copies::TransferPurpose;
use super::super::event_queue::SimulationEvent;
use crate::workload::FaultKind;

/// How long a draining engine may take to finish its work.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// The delay until broken connections of a stopped engine are detected.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_secs(1);

impl Driver<'_> {
    pub(in super::super) fn inject_fault(&mut self, index: usize) {
        let fault = self.workload.faults[index];
        match fault.kind {
            FaultKind::Leave => self.drain_engine(fault.engine),
            FaultKind::Die => self.stop_engine(fault.engine),
            FaultKind::Return => self.restart_engine(fault.engine),
        }
    }

    fn drain_engine(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        let kind = OrderKind::SetRole(EngineRole::Draining);
        let order = EngineCommand::Order(EngineOrder { generation: Generation(1), kind });
        self.handle_command(engine, incarnation, order, 0, TransferPurpose::None);
        self.notify_all_schedulers(Event::EngineLeaving(self.engines[engine].id.clone()));
        let at = self.now + DRAIN_TIMEOUT;
        self.queue.add(at, SimulationEvent::StopDrainedEngine { engine, incarnation });
    }

    pub(in super::super) fn stop_drained_engine(
        &mut self,
        engine: usize,
        incarnation: Incarnation,
    ) {
        if self.engines[engine].incarnation == incarnation {
            self.stop_engine(engine);
        }
    }

    fn stop_engine(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        host.finish(self.now);
        if host.model.take().is_none() {
            return;
        }
        let open: Vec<AttemptId> = self
            .engine_by_attempt
            .iter()
            .filter(|(_, at)| **at == engine)
            .map(|(id, _)| *id)
            .collect();
        let waiting_for_copies = self.attempts_waiting_for(engine);
        for attempt in open.into_iter().filter(|id| !waiting_for_copies.contains(id)) {
            let failure = AttemptFailure::EngineLost;
            self.fail_attempt(engine, attempt, failure, true, FAILURE_DETECTION_DELAY);
        }
        for attempt in waiting_for_copies {
            self.submit_after_copy(attempt);
        }
        self.notify_all_schedulers(Event::EngineGone(self.engines[engine].id.clone()));
    }

    fn restart_engine(&mut self, engine: usize) {
        if self.engines[engine].model.is_some() {
            return;
        }
        self.engines[engine].start(self.workload);
        self.announce(engine, self.network.list_delay);
    }

    /// Returns the attempts that wait for copies from or to the engine.
    fn attempts_waiting_for(&self, engine: usize) -> Vec<AttemptId> {
        let affected =
            self.copies.iter().filter(|(_, copy)| copy.source == engine || copy.target == engine);
        affected.map(|(attempt, _)| *attempt).collect()
    }

    fn notify_all_schedulers(&mut self, event: Event) {
        for scheduler in 0..self.schedulers.len() {
            let delay = self.network.list_delay;
            self.notify_after(scheduler, event.clone(), delay);
        }
    }
}
