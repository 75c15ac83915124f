//! The engine around its state: the clock, the lock, faults and the task that drives it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dahlia_adapters::engine::{
    EngineRefusal, GenerateRequest, Inventory, InventoryEntry, LoadReport, ModelState, ModelStatus,
};
use dahlia_types::{Incarnation, Timestamp};
use tokio::sync::{Notify, watch};
use tokio::time::MissedTickBehavior;

use super::core::{Core, Subscription};
use super::observation::EngineObservation;
use super::{EngineFaults, EngineSettings, convert};
use crate::clock::ModelClock;
use crate::control::{Witness, lock};

/// The running engine.
pub(super) struct Service {
    pub(super) settings: EngineSettings,
    pub(super) clock: ModelClock,
    pub(super) witness: Arc<Witness<EngineObservation>>,
    core: Mutex<Core>,
    changed: Notify,
    faults: watch::Sender<EngineFaults>,
    direct_calls: AtomicU64,
}

impl Service {
    pub(super) fn new(settings: EngineSettings, incarnation: Incarnation) -> Self {
        let witness = Arc::new(Witness::new());
        let core = Core::new(&settings, incarnation, Arc::clone(&witness));
        Self {
            clock: ModelClock::new(settings.speed),
            settings,
            witness,
            core: Mutex::new(core),
            changed: Notify::new(),
            faults: watch::Sender::new(EngineFaults::default()),
            direct_calls: AtomicU64::new(0),
        }
    }

    /// Works on the state at the present moment.
    pub(super) fn with<T>(&self, work: impl FnOnce(&mut Core, Timestamp) -> T) -> T {
        let mut core = lock(&self.core);
        let now = self.clock.now();
        core.advance(now);
        let result = work(&mut core, now);
        core.advance(now);
        self.changed.notify_one();
        result
    }

    /// Takes an attempt in, unless the engine is leaving.
    pub(super) fn generate(
        &self,
        request: &GenerateRequest,
    ) -> Result<Subscription, EngineRefusal> {
        let leaving = self.faults().leaving;
        self.with(|core, now| match core.records.get(request.attempt.id) {
            None if leaving => Err(EngineRefusal::Leaving),
            _ => core.generate(request, now),
        })
    }

    /// Everything that is held at this moment.
    pub(super) fn inventory(&self) -> Inventory {
        self.with(|core, now| {
            let held = core.model.inventory(now);
            let entries = held.programs.iter().map(|held| InventoryEntry {
                program: held.program,
                tokens: held.tokens,
                bytes: core.bytes(held.tokens),
                held_for: held.held_until.map(|until| self.clock.to_real(until.since(now))),
            });
            Inventory {
                engine: self.settings.engine.clone(),
                incarnation: held.incarnation,
                at: now,
                sequence: held.sequence,
                entries: entries.collect(),
            }
        })
    }

    /// The load report that readers see.
    pub(super) fn load(&self) -> LoadReport {
        let faults = self.faults();
        self.with(|core, now| match core.reports.load(faults) {
            Some(report) => report,
            None => self.take_load(core, now),
        })
    }

    /// Ends this life and begins another with nothing in memory.
    pub(super) fn restart(&self) -> Incarnation {
        let mut core = lock(&self.core);
        let incarnation = core.model.incarnation().next().max(super::new_incarnation());
        *core = Core::new(&self.settings, incarnation, Arc::clone(&self.witness));
        self.changed.notify_one();
        incarnation
    }

    pub(super) fn faults(&self) -> EngineFaults {
        *self.faults.borrow()
    }

    /// Puts a set of faults in force in place of the former one.
    pub(super) fn set_faults(&self, faults: EngineFaults) {
        self.faults.send_replace(faults);
    }

    /// Waits while the engine is frozen.
    pub(super) async fn thawed(&self) {
        let mut faults = self.faults.subscribe();
        // The sender lives as long as the service, so this waits for nothing but the thaw.
        let _ = faults.wait_for(|faults| !faults.frozen).await;
    }

    /// Waits for the delay of answers; then tells whether this answer is lost on purpose.
    pub(super) async fn delay_answer(&self) -> bool {
        let milliseconds = self.faults().answer_delay_ms;
        if milliseconds > 0 {
            tokio::time::sleep(Duration::from_millis(milliseconds)).await;
        }
        self.thawed().await;
        self.faults.send_if_modified(|faults| {
            let lose = faults.lose_replies > 0;
            faults.lose_replies = faults.lose_replies.saturating_sub(1);
            lose
        })
    }

    /// A number for a call that comes without a program.
    pub(super) fn next_direct_call(&self) -> u64 {
        self.direct_calls.fetch_add(1, Ordering::Relaxed)
    }

    fn take_load(&self, core: &Core, now: Timestamp) -> LoadReport {
        let load = core.model.load_report(now);
        let ready = load.models.into_iter();
        let ready = ready.map(|model| ModelStatus { model, state: ModelState::Ready });
        let under_way = core.loading.under_way().cloned();
        let loading = under_way.map(|model| ModelStatus { model, state: ModelState::Loading });
        LoadReport {
            engine: self.settings.engine.clone(),
            incarnation: load.incarnation,
            at: now,
            age: dahlia_types::Duration::ZERO,
            role: convert::role(load.role),
            leaving: self.faults().leaving,
            generation: core.generation(),
            queued: load.waiting,
            running: load.running,
            prefill_backlog: load.prefill_backlog,
            kv_used: load.resident,
            kv_pinned: load.pinned,
            kv_capacity: load.capacity,
            kv_bytes_per_token: self.settings.parameters.kv_bytes_per_token,
            step: dahlia_types::Duration::from_micros(load.step_micros),
            accepted: core.accepted(),
            models: ready.chain(loading).collect(),
        }
    }

    fn publish_load(&self) {
        let faults = self.faults();
        let mut core = lock(&self.core);
        let report = self.take_load(&core, self.clock.now());
        core.reports.add_load(report, faults);
    }

    fn advance(&self) -> Option<Timestamp> {
        lock(&self.core).advance(self.clock.now())
    }
}

/// Runs the model as its time comes, and publishes its load, for as long as the engine runs.
pub(super) async fn drive(service: Arc<Service>) {
    let interval = Duration::from_millis(service.settings.load_report_interval_ms);
    let mut publish = tokio::time::interval(interval);
    publish.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        service.thawed().await;
        let next = service.advance();
        let wakeup = async {
            match next {
                Some(at) => service.clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = service.changed.notified() => {}
            () = wakeup => {}
            _ = publish.tick() => service.publish_load(),
        }
    }
}
