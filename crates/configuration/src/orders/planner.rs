//! Plans orders: one step at a time towards the document, never below a model's least number of
//! serving engines, and no faster than the weight store allows.
//!
//! Engines are visited in the order of their names and a change that takes service away needs
//! what reports show of the others. Two planners with views of different age therefore take the
//! same steps; the generation fences the steps of one that is behind.

use std::sync::Arc;

use dahlia_types::{Duration, EngineId, ModelId, Timestamp};

use super::fleet::Fleet;
use super::{BlockedChange, FencedOrder, OrderKind, PlannerAction, PlannerEvent};
use crate::switches::Switches;
use crate::{ConfigurationRecord, ConfigurationSettings, Document, EngineRole, Mechanism};

/// Turns the configuration in force and the engines' reports into orders.
#[derive(Debug)]
pub struct OrderPlanner {
    settings: ConfigurationSettings,
    record: Option<Arc<ConfigurationRecord>>,
    fleet: Fleet,
    /// The weight store's rate allows no load before this.
    next_load: Timestamp,
    switches: Switches,
}

impl OrderPlanner {
    /// A planner that knows neither engines nor a configuration.
    pub fn new(settings: ConfigurationSettings) -> Self {
        Self {
            settings,
            record: None,
            fleet: Fleet::default(),
            next_load: Timestamp::ZERO,
            switches: Switches::default(),
        }
    }

    /// Switches a mechanism off, to show that a checker notices.
    #[cfg(feature = "test-switches")]
    pub fn disable(&mut self, mechanism: Mechanism) {
        self.switches.disable(mechanism);
    }

    /// Takes an event and gives the orders that may be sent now.
    pub fn handle(&mut self, event: PlannerEvent, now: Timestamp) -> Vec<PlannerAction> {
        self.fleet.set_time(now);
        match event {
            PlannerEvent::Activated(record) => self.take(record),
            PlannerEvent::EngineReported(engine, state) => self.fleet.report(engine, state),
            PlannerEvent::EngineLost(engine) => self.fleet.lose(&engine),
            PlannerEvent::Tick => {}
        }
        let Some(record) = self.record.clone() else {
            return Vec::new();
        };
        let mut plan = Plan { planner: self, record: &record, now, actions: Vec::new() };
        plan.run();
        plan.actions
    }

    fn take(&mut self, record: Arc<ConfigurationRecord>) {
        let held = self.record.as_ref().map(|held| held.generation());
        if held < Some(record.generation()) {
            self.record = Some(record);
        }
    }
}

/// One pass over the engines.
struct Plan<'planner> {
    planner: &'planner mut OrderPlanner,
    record: &'planner ConfigurationRecord,
    now: Timestamp,
    actions: Vec<PlannerAction>,
}

impl Plan<'_> {
    fn run(&mut self) {
        for engine in self.planner.fleet.engines() {
            // Engines that the document does not name are not in its care.
            if self.document().engines.contains_key(&engine) {
                self.plan_engine(&engine);
            }
        }
    }

    fn plan_engine(&mut self, engine: &EngineId) {
        self.plan_role(engine);
        self.withdraw_loads(engine);
        // What is about to stop need not load anything.
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
        let drain_sent = self.planner.fleet.sent(engine, &draining).is_some();
        let is_so = state.role == wanted && !(wanted == EngineRole::Serving && drain_sent);
        if is_so {
            return;
        }
        if wanted == EngineRole::Draining && !drain_sent {
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
            let loads = fleet.sent(engine, &load).is_some();
            let unloads = fleet.sent(engine, &OrderKind::Unload(model.clone())).is_some();
            // An order of an earlier generation to unload it may be lost, or still be on its way:
            // the newer fence makes the engine refuse it.
            if (loads && !reported) || (unloads && reported) {
                self.send(engine, load);
                continue;
            }
            if fleet.has(engine, &model) {
                continue;
            }
            if self.has_slot(engine) && self.may_load() {
                self.pace(&model);
                self.send(engine, load);
            }
        }
    }

    /// Takes back loads of an earlier generation that the document no longer wants.
    fn withdraw_loads(&mut self, engine: &EngineId) {
        let wanted: Vec<&ModelId> = self.record.document().models_of(engine).collect();
        let loads = self.planner.fleet.loads_of(engine);
        let unwanted: Vec<ModelId> = loads.filter(|it| !wanted.contains(it)).cloned().collect();
        for model in unwanted {
            self.send(engine, OrderKind::Unload(model));
        }
    }

    /// Unloads what the document does not want here: when a slot is needed for what it wants, or
    /// when all that it wants here is ready.
    fn plan_unloads(&mut self, engine: &EngineId) {
        let document = self.record.document();
        let targets: Vec<&ModelId> = document.models_of(engine).collect();
        let Some(state) = self.planner.fleet.state(engine) else {
            return;
        };
        let fleet = &self.planner.fleet;
        let all_ready = targets.iter().all(|model| fleet.is_ready(engine, model));
        let waits_for_slot = !self.has_slot(engine)
            && targets.iter().any(|model| !self.planner.fleet.has(engine, model));
        let makes_room = waits_for_slot && self.may_exchange(engine);
        if !all_ready && !makes_room {
            return;
        }
        let held: Vec<ModelId> = state.models.keys().cloned().collect();
        for model in held.iter().filter(|model| !targets.contains(model)) {
            let unload = OrderKind::Unload(model.clone());
            let is_sent = self.planner.fleet.sent(engine, &unload).is_some();
            if is_sent || !self.is_needed(engine, model) {
                self.send(engine, unload);
            }
        }
    }

    /// Whether `model` would have too few serving engines without `engine`; notes it as held.
    fn is_needed(&mut self, engine: &EngineId, model: &ModelId) -> bool {
        if !self.planner.switches.is_on(Mechanism::LeastServing) {
            return false;
        }
        let fleet = &self.planner.fleet;
        let least = fleet.least(model, self.record.document());
        let is_needed = fleet.serves(engine, model) && fleet.serving(model) <= least;
        if is_needed {
            let held = BlockedChange { engine: engine.clone(), model: model.clone() };
            self.actions.push(PlannerAction::ReportBlocked(held));
        }
        is_needed
    }

    fn has_slot(&self, engine: &EngineId) -> bool {
        let slots = self.document().engines.get(engine).map_or(0, |entry| entry.slots as usize);
        self.planner.fleet.slots_taken(engine) < slots
    }

    fn may_load(&self) -> bool {
        let paced = self.planner.switches.is_on(Mechanism::Pacing);
        let most = self.planner.settings.loads_at_once as usize;
        !paced || (self.now >= self.planner.next_load && self.planner.fleet.loading() < most)
    }

    /// Whether one more engine may give up a model before it has the one that replaces it. No more
    /// than can load at once, so that the others keep serving.
    fn may_exchange(&self, engine: &EngineId) -> bool {
        if !self.planner.switches.is_on(Mechanism::LeastServing) {
            return true;
        }
        let fleet = &self.planner.fleet;
        let is_between = |other: &&EngineId| {
            let mut targets = self.document().models_of(other);
            let lacks = targets.any(|model| !fleet.is_ready(other, model));
            lacks && (self.has_slot(other) || fleet.changes(other))
        };
        // An engine that was never heard of may be in exchange by another planner's order.
        let counts = |other: &&EngineId| {
            !fleet.is_lost(other) && (fleet.state(other).is_none() || is_between(other))
        };
        let others = self.document().engines.keys().filter(|other| *other != engine);
        others.filter(counts).count() < self.planner.settings.loads_at_once as usize
    }

    /// Keeps the next load back until the weight store can have delivered this one.
    fn pace(&mut self, model: &ModelId) {
        let bytes = self.document().models.get(model).map_or(0, |entry| entry.weight_bytes);
        let seconds = bytes as f64 / self.planner.settings.weight_store_rate as f64;
        let from = self.planner.next_load.max(self.now);
        self.planner.next_load = from + Duration::from_secs_f64(seconds);
    }

    /// Sends an order unless it was sent just now.
    fn send(&mut self, engine: &EngineId, kind: OrderKind) {
        let sent = self.planner.fleet.sent(engine, &kind);
        let resend = self.planner.settings.order_resend;
        if sent.is_some_and(|sent| self.now.since(sent) < resend) {
            return;
        }
        let Some(state) = self.planner.fleet.state(engine) else {
            return;
        };
        let incarnation = state.incarnation;
        // Within two such times the order was taken or given up, and a report shows which.
        self.planner.fleet.note(engine, &kind, resend.times(2));
        let generation = self.record.generation();
        let order = FencedOrder { engine: engine.clone(), incarnation, generation, kind };
        self.actions.push(PlannerAction::Send(order));
    }
}
