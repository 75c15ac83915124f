//! Engines that leave, die and come back.

use dahlia_engine_model::{EngineCommand, EngineOrder, EngineRole, OrderKind};
use dahlia_placement::{AttemptFailure, Event};
use dahlia_types::{AttemptId, Duration, Generation, Incarnation};

use super::super::Driver;
use super::super::agenda::Happening;
use super::super::copies::Purpose;
use crate::workload::FaultKind;

/// How long an engine that leaves may take to finish what it has.
const LEAVING_TIME: Duration = Duration::from_secs(60);
/// Time until broken connections of a dead engine are noticed.
const DEATH_DETECTION: Duration = Duration::from_secs(1);

impl Driver<'_> {
    pub(in super::super) fn fault(&mut self, index: usize) {
        let fault = self.workload.faults[index];
        match fault.kind {
            FaultKind::Leave => self.leave(fault.engine),
            FaultKind::Die => self.die(fault.engine),
            FaultKind::Return => self.come_back(fault.engine),
        }
    }

    fn leave(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        let kind = OrderKind::SetRole(EngineRole::Draining);
        let order = EngineCommand::Order(EngineOrder { generation: Generation(1), kind });
        self.command(engine, incarnation, order, 0, Purpose::None);
        self.tell_list(Event::EngineLeaving(self.engines[engine].id.clone()));
        let at = self.now + LEAVING_TIME;
        self.agenda.add(at, Happening::SwitchOff { engine, incarnation });
    }

    pub(in super::super) fn switch_off(&mut self, engine: usize, incarnation: Incarnation) {
        if self.engines[engine].incarnation == incarnation {
            self.die(engine);
        }
    }

    fn die(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        host.close(self.now);
        if host.model.take().is_none() {
            return;
        }
        let open: Vec<AttemptId> =
            self.sent.iter().filter(|(_, at)| **at == engine).map(|(id, _)| *id).collect();
        let waiting_for_copies = self.attempts_waiting_for(engine);
        for attempt in open.into_iter().filter(|id| !waiting_for_copies.contains(id)) {
            let failure = AttemptFailure::EngineLost;
            self.fail_attempt(engine, attempt, failure, true, DEATH_DETECTION);
        }
        for attempt in waiting_for_copies {
            self.end_copy(attempt);
        }
        self.tell_list(Event::EngineGone(self.engines[engine].id.clone()));
    }

    fn come_back(&mut self, engine: usize) {
        if self.engines[engine].model.is_some() {
            return;
        }
        self.engines[engine].switch_on(self.workload);
        self.announce(engine, self.network.list_lag);
    }

    /// Attempts that wait for copies from or to the engine.
    fn attempts_waiting_for(&self, engine: usize) -> Vec<AttemptId> {
        let concerned =
            self.copies.iter().filter(|(_, copy)| copy.source == engine || copy.target == engine);
        concerned.map(|(attempt, _)| *attempt).collect()
    }

    fn tell_list(&mut self, event: Event) {
        for scheduler in 0..self.schedulers.len() {
            let lag = self.network.list_lag;
            self.tell_later(scheduler, event.clone(), lag);
        }
    }
}
