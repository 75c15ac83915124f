//! Plans orders that bring the engines to the document's state step by step. No step leaves a model
//! with fewer serving engines than its least number, and loads are no faster than the weight store
//! allows.
//!
//! Engines are visited in the order of their names, and a step that takes an engine out of service
//! depends on reports of the others. Two planners with reports of different age therefore take the
//! same steps. The generation fences the orders of a planner with an older configuration.

use std::sync::Arc;

use dahlia_types::{Duration, EngineId, ModelId, Timestamp};

use super::fleet::Fleet;
use super::{BlockedChange, FencedOrder, OrderKind, PlannerAction, PlannerEvent};
use crate::switches::Switches;
use crate::{ConfigurationRecord, ConfigurationSettings, Document, EngineRole, Mechanism};

/// Derives orders from the configuration in force and the engines' reports.
#[derive(Debug)]
pub struct OrderPlanner {
    settings: ConfigurationSettings,
    record: Option<Arc<ConfigurationRecord>>,
    fleet: Fleet,
    /// Earliest time of the next load by the weight store's rate.
    next_load: Timestamp,
    switches: Switches,
}

impl OrderPlanner {
    /// Creates a planner that knows neither engines nor a configuration.
    pub fn new(settings: ConfigurationSettings) -> Self {
        Self {
            settings,
            record: None,
            fleet: Fleet::default(),
            next_load: Timestamp::ZERO,
            switches: Switches::default(),
        }
    }

    /// Switches a mechanism off, to show that a test fails without it.
    #[cfg(feature = "test-switches")]
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.switches.disable(mechanism);
    }

    /// Handles an event and returns the orders that may be sent now.
    pub fn handle(&mut self, event: PlannerEvent, now: Timestamp) -> Vec<PlannerAction> {
        self.fleet.set_time(now);
        match event {
            PlannerEvent::Activated(record) => self.set_record(record),
            PlannerEvent::EngineReported(engine, state) => self.fleet.apply_report(engine, state),
            PlannerEvent::EngineLost(engine) => self.fleet.mark_lost(&engine),
            PlannerEvent::Tick => {}
        }
        let Some(record) = self.record.clone() else {
            return Vec::new();
        };
        let mut pass = PlanningPass { planner: self, record: &record, now, actions: Vec::new() };
        pass.run();
        pass.actions
    }

    fn set_record(&mut self, record: Arc<ConfigurationRecord>) {
        let current = self.record.as_ref().map(|current| current.generation());
        if current < Some(record.generation()) {
            self.record = Some(record);
        }
    }
}

/// One pass over the engines.
struct PlanningPass<'planner> {
    planner: &'planner mut OrderPlanner,
    record: &'planner ConfigurationRecord,
    now: Timestamp,
    actions: Vec<PlannerAction>,
}

impl PlanningPass<'_> {
    fn run(&mut self) {
        for engine in self.planner.fleet.engines() {
            // The configuration manages only the engines that the document names.
            if self.document().engines.contains_key(&engine) {
                self.plan_engine(&engine);
            }
        }
    }

    fn plan_engine(&mut self, engine: &EngineId) {
        self.plan_role(engine);
        self.revoke_unwanted_loads(engine);
        // An engine that is about to stop need not load or unload models.
        if self.planner.fleet.state(engine).is_some_and(|state| !state.leaving) {
            self.plan_loads(engine);
            self.plan_unloads(engine);
        }
    }

    fn document(&self) -> &Document {
        self.record.document()
    }

    fn plan_role(&mut self, engine: &EngineId) {
        let wanted = self.document().role_of(engine);
        let Some(state) = self.planner.fleet.state(engine) else {
            return;
        };
        let draining = OrderKind::SetRole(EngineRole::Draining);
        let drain_pending = self.planner.fleet.sent_at(engine, &draining).is_some();
        let is_in_role = state.role == wanted && !(wanted == EngineRole::Serving && drain_pending);
        if is_in_role {
            return;
        }
        if wanted == EngineRole::Draining && !drain_pending {
            let served: Vec<ModelId> = state.models.keys().cloned().collect();
            if served.iter().any(|model| self.is_needed(engine, model)) {
                return;
            }
        }
        self.send(engine, OrderKind::SetRole(wanted));
    }

    fn plan_loads(&mut self, engine: &EngineId) {
        let targets: Vec<ModelId> = self.document().models_of(engine).cloned().collect();
        for model in targets {
            let load = OrderKind::Load(model.clone());
            let fleet = &self.planner.fleet;
            let reported = fleet.state(engine).is_some_and(|it| it.models.contains_key(&model));
            let load_pending = fleet.sent_at(engine, &load).is_some();
            let unload_pending = fleet.sent_at(engine, &OrderKind::Unload(model.clone())).is_some();
            // The order to load it may be lost. An order of an earlier generation to unload it may
            // be lost or still in flight; the newer fence makes the engine refuse it.
            if (load_pending && !reported) || (unload_pending && reported) {
                self.send(engine, load);
                continue;
            }
            if fleet.has_or_loads(engine, &model) {
                continue;
            }
            if self.has_free_slot(engine) && self.may_load() {
                self.reserve_load_time(&model);
                self.send(engine, load);
            }
        }
    }

    /// Revokes pending loads of an earlier generation that the document no longer wants.
    fn revoke_unwanted_loads(&mut self, engine: &EngineId) {
        let wanted: Vec<&ModelId> = self.record.document().models_of(engine).collect();
        let loads = self.planner.fleet.ordered_loads(engine);
        let unwanted: Vec<ModelId> = loads.filter(|it| !wanted.contains(it)).cloned().collect();
        for model in unwanted {
            self.send(engine, OrderKind::Unload(model));
        }
    }

    /// Unloads models that the document does not want on the engine, once all wanted ones are ready
    /// or one of them needs the slot.
    fn plan_unloads(&mut self, engine: &EngineId) {
        let document = self.record.document();
        let targets: Vec<&ModelId> = document.models_of(engine).collect();
        let Some(state) = self.planner.fleet.state(engine) else {
            return;
        };
        let fleet = &self.planner.fleet;
        let all_ready = targets.iter().all(|model| fleet.is_ready(engine, model));
        let needs_slot = !self.has_free_slot(engine)
            && targets.iter().any(|model| !self.planner.fleet.has_or_loads(engine, model));
        let makes_room = needs_slot && self.may_unload_first(engine);
        if !all_ready && !makes_room {
            return;
        }
        let loaded: Vec<ModelId> = state.models.keys().cloned().collect();
        for model in loaded.iter().filter(|model| !targets.contains(model)) {
            let unload = OrderKind::Unload(model.clone());
            let is_pending = self.planner.fleet.sent_at(engine, &unload).is_some();
            if is_pending || !self.is_needed(engine, model) {
                self.send(engine, unload);
            }
        }
    }

    /// Whether `model` would have too few serving engines without `engine`. If so, reports the
    /// change as blocked.
    fn is_needed(&mut self, engine: &EngineId, model: &ModelId) -> bool {
        if !self.planner.switches.is_on(Mechanism::LeastServing) {
            return false;
        }
        let fleet = &self.planner.fleet;
        let min_serving = fleet.min_serving(model, self.record.document());
        let is_needed = fleet.serves(engine, model) && fleet.serving_count(model) <= min_serving;
        if is_needed {
            let blocked = BlockedChange { engine: engine.clone(), model: model.clone() };
            self.actions.push(PlannerAction::ReportBlocked(blocked));
        }
        is_needed
    }

    fn has_free_slot(&self, engine: &EngineId) -> bool {
        let slots = self.document().engines.get(engine).map_or(0, |entry| entry.slots as usize);
        self.planner.fleet.slots_taken(engine) < slots
    }

    fn may_load(&self) -> bool {
        let rate_limited = self.planner.switches.is_on(Mechanism::Pacing);
        let max_loads = self.planner.settings.loads_at_once as usize;
        !rate_limited
            || (self.now >= self.planner.next_load
                && self.planner.fleet.loading_count() < max_loads)
    }

    /// Whether one more engine may unload a model before it has loaded the one that replaces it. At
    /// most as many engines as may load at once do so, so that the others keep serving.
    fn may_unload_first(&self, engine: &EngineId) -> bool {
        if !self.planner.switches.is_on(Mechanism::LeastServing) {
            return true;
        }
        let fleet = &self.planner.fleet;
        let is_exchanging = |other: &&EngineId| {
            let mut targets = self.document().models_of(other);
            let lacks_model = targets.any(|model| !fleet.is_ready(other, model));
            lacks_model && (self.has_free_slot(other) || fleet.is_changing(other))
        };
        // An engine that has not reported yet may be exchanging models by another planner's order.
        let may_be_exchanging = |other: &&EngineId| {
            !fleet.is_lost(other) && (fleet.state(other).is_none() || is_exchanging(other))
        };
        let others = self.document().engines.keys().filter(|other| *other != engine);
        others.filter(may_be_exchanging).count() < self.planner.settings.loads_at_once as usize
    }

    /// Delays the next load until the weight store can have delivered this one.
    fn reserve_load_time(&mut self, model: &ModelId) {
        let bytes = self.document().models.get(model).map_or(0, |entry| entry.weight_bytes);
        let seconds = bytes as f64 / self.planner.settings.weight_store_rate as f64;
        let start = self.planner.next_load.max(self.now);
        self.planner.next_load = start + Duration::from_secs_f64(seconds);
    }

    /// Sends an order unless it is pending and was sent within the resend delay.
    fn send(&mut self, engine: &EngineId, kind: OrderKind) {
        let sent_at = self.planner.fleet.sent_at(engine, &kind);
        let resend = self.planner.settings.order_resend;
        if sent_at.is_some_and(|sent_at| self.now.since(sent_at) < resend) {
            return;
        }
        let Some(state) = self.planner.fleet.state(engine) else {
            return;
        };
        let incarnation = state.incarnation;
        // Within twice the resend delay the order has taken effect or was given up, and a report
        // shows which.
        self.planner.fleet.record_sent(engine, &kind, resend.times(2));
        let generation = self.record.generation();
        let order = FencedOrder { engine: engine.clone(), incarnation, generation, kind };
        self.actions.push(PlannerAction::Send(order));
    }
}
