//! Load reports, cache events and inventories. All are delayed; load reports and cache events may
//! also be lost.

use dahlia_engine_model::{CacheEvent, EngineRole};
use dahlia_placement::{
    CacheNotice, EngineCapacity, EngineDescription, EngineInventory, EngineReport, Event,
};
use dahlia_types::{Duration, ModelId, Tokens};
use rand::Rng;

use super::super::event_queue::SimulationEvent;
use super::super::{Driver, MODEL};

impl Driver<'_> {
    /// Announces the engine to every scheduler.
    pub(in super::super) fn announce(&mut self, engine: usize, delay: Duration) {
        for scheduler in 0..self.schedulers.len() {
            let joined = EngineDescription {
                engine: self.engines[engine].id.clone(),
                incarnation: self.engines[engine].incarnation,
                zone: self.network.zone(engine),
                one_way_delay: self.network.one_way_delay(scheduler, engine),
                models: vec![ModelId::new(MODEL)],
                capacity: self.capacity(),
            };
            self.notify_after(scheduler, Event::EngineJoined(joined), delay);
        }
    }

    pub(in super::super) fn send_report(&mut self, engine: usize) {
        self.queue.add(self.now + self.report_interval(), SimulationEvent::Report { engine });
        let Some(model) = self.engines[engine].model.as_ref() else { return };
        let load = model.load_report(self.now);
        let report = EngineReport {
            engine: self.engines[engine].id.clone(),
            incarnation: load.incarnation,
            reported_at: load.at,
            running: load.running,
            waiting: load.waiting,
            prefill_backlog: load.prefill_backlog,
            resident: load.resident,
            pinned: load.pinned,
            models: load.models,
            draining: load.role == EngineRole::Draining,
        };
        self.publish(&Event::EngineReport(report));
    }

    /// Forwards a cache event to the scheduler that owns the program. Each scheduler's subscription
    /// has its own sequence numbers.
    pub(super) fn forward_cache_event(&mut self, engine: usize, event: CacheEvent) {
        let scheduler = event.program.group.0 as usize;
        let host = &mut self.engines[engine];
        host.cache_sequences[scheduler] += 1;
        let notice = CacheNotice {
            engine: host.id.clone(),
            incarnation: host.incarnation,
            sequence: host.cache_sequences[scheduler],
            program: event.program,
            resident: event.resident,
        };
        if !self.random.random_bool(self.workload.deployment.report_loss) {
            self.notify_after(scheduler, Event::Cache(notice), self.network.report_delay);
        }
    }

    pub(in super::super) fn send_inventory(&mut self, engine: usize, scheduler: usize) {
        let Some(model) = self.engines[engine].model.as_ref() else { return };
        let inventory = model.inventory(self.now);
        let programs = inventory.programs.iter().map(|held| (held.program, held.tokens));
        let answer = EngineInventory {
            engine: self.engines[engine].id.clone(),
            incarnation: inventory.incarnation,
            sequence: self.engines[engine].cache_sequences[scheduler],
            programs: programs.collect(),
        };
        let delay = self.network.one_way_delay(engine, scheduler);
        self.notify_after(scheduler, Event::Inventory(answer), delay);
    }

    /// Sends an event to every scheduler after the report delay. Each copy may be lost
    /// independently.
    fn publish(&mut self, event: &Event) {
        let loss = self.workload.deployment.report_loss;
        for scheduler in 0..self.schedulers.len() {
            if !self.random.random_bool(loss) {
                let delay = self.network.report_delay;
                self.notify_after(scheduler, event.clone(), delay);
            }
        }
    }

    fn capacity(&self) -> EngineCapacity {
        let engine = &self.workload.engine;
        let chunk = engine.prefill_chunk.0 as f64;
        let step = engine.step_base_micros + chunk * engine.prefill_token_micros;
        let transfer = engine.transfer_bytes_per_second / engine.kv_bytes_per_token.0.max(1) as f64;
        EngineCapacity {
            kv_tokens: engine.kv_capacity,
            prefill_per_second: chunk / step * 1e6,
            step_base: Duration::from_micros(engine.step_base_micros as u64),
            step_per_sequence: Duration::from_micros(engine.decode_sequence_micros as u64),
            max_batch: engine.max_batch,
            host_tokens: Tokens(self.workload.deployment.host_tokens),
            transfer_per_second: if self.workload.deployment.transfers { transfer } else { 0.0 },
        }
    }
}
