//! Tests of roll-outs on simulated engines whose reports lag and whose orders get lost.

mod common;

use std::collections::BTreeMap;

use common::{FakeKeyValueService, at};
use dahlia_configuration::{
    ConfigurationSettings, EngineRole, EngineState, FencedOrder, Mechanism, ModelState, OrderKind,
    OrderPlanner, PlannerAction, PlannerEvent,
};
use dahlia_types::{Duration, EngineId, Generation, Incarnation, ModelId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 6;
const SEEDS: u64 = 60;
const STEP: Duration = Duration::from_millis(100);
const MAX_STEPS: usize = 6_000;
const LOAD_STEPS: u64 = 30;
/// Bytes of one load, which the weight store delivers in one second.
const WEIGHT_BYTES: u64 = 1 << 30;
/// All engines but the two that may load at once.
const MIN_SERVING_IN_ROLL_OUT: usize = ENGINES - 2;

/// The actual state of one engine.
struct SimulatedEngine {
    state: EngineState,
    ready_at: BTreeMap<ModelId, Timestamp>,
    fences: BTreeMap<String, Generation>,
}

/// Engines, the planners that send them orders, and the orders in flight.
struct SimulatedFleet {
    random: ChaCha8Rng,
    now: Timestamp,
    engines: BTreeMap<EngineId, SimulatedEngine>,
    planners: Vec<OrderPlanner>,
    orders: Vec<(Timestamp, FencedOrder)>,
    load_starts: Vec<Timestamp>,
    max_loading: usize,
}

fn model(version: u32) -> ModelId {
    ModelId(format!("agent-8b@{version}"))
}

fn engine_id(index: usize) -> EngineId {
    EngineId::new(format!("e{index}"))
}

/// A document in which all engines serve the given versions and the first `drained` engines drain.
fn document(versions: &[u32], slots: u32, drained: usize) -> String {
    let names: Vec<String> = (0..ENGINES).map(|index| format!("\"e{index}\"")).collect();
    let models = versions.iter().map(|version| {
        format!(
            "[models.\"agent-8b@{version}\"]\nbase = \"agent-8b\"\nversion = \"{version}\"\n\
             engines = [{}]\nleast_serving = 2\nweight_bytes = {WEIGHT_BYTES}\n",
            names.join(", ")
        )
    });
    let engines = (0..ENGINES).map(|index| {
        let role = if index < drained { "draining" } else { "serving" };
        format!("[engines.e{index}]\nrole = \"{role}\"\nslots = {slots}\n")
    });
    models.chain(engines).collect()
}

impl SimulatedFleet {
    /// Creates engines that all serve version 3, with `planners` planners at work at once.
    fn new(seed: u64, planners: usize, disabled: Option<Mechanism>) -> Self {
        let state = EngineState {
            incarnation: Incarnation(1),
            role: EngineRole::Serving,
            leaving: false,
            models: BTreeMap::from([(model(3), ModelState::Ready)]),
        };
        let engine = || SimulatedEngine {
            state: state.clone(),
            ready_at: BTreeMap::new(),
            fences: BTreeMap::new(),
        };
        let planner = || {
            let mut planner = OrderPlanner::new(ConfigurationSettings::default());
            if let Some(mechanism) = disabled {
                planner.disable(mechanism);
            }
            planner
        };
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: at(1),
            engines: (0..ENGINES).map(|index| (engine_id(index), engine())).collect(),
            planners: (0..planners).map(|_| planner()).collect(),
            orders: Vec::new(),
            load_starts: Vec::new(),
            max_loading: 0,
        }
    }

    fn apply_document(&mut self, service: &mut FakeKeyValueService, text: &str) {
        let record = service.accept(&format!("change-{}", service.values.len()), text);
        for index in 0..self.planners.len() {
            self.handle(index, PlannerEvent::Activated(record.clone()));
        }
    }

    fn handle(&mut self, index: usize, event: PlannerEvent) {
        for action in self.planners[index].handle(event, self.now) {
            let PlannerAction::Send(order) = action else { continue };
            if self.random.random_bool(0.9) {
                let delay = Duration::from_millis(self.random.random_range(0..800));
                self.orders.push((self.now + delay, order));
            }
        }
    }

    /// Advances the time by one step: orders arrive, loads end, and some engines report, each to
    /// one planner.
    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let (due, later) = self.orders.drain(..).partition(|(at, _)| *at <= now);
        self.orders = later;
        let due: Vec<(Timestamp, FencedOrder)> = due;
        due.into_iter().for_each(|(_, order)| self.apply_order(order));
        for engine in self.engines.values_mut() {
            for (model, ready) in &engine.ready_at {
                if *ready <= now {
                    engine.state.models.insert(model.clone(), ModelState::Ready);
                }
            }
            engine.ready_at.retain(|_, ready| *ready > now);
        }
        let loading = self.engines.values().map(|engine| engine.ready_at.len()).sum();
        self.max_loading = self.max_loading.max(loading);
        for index in 0..ENGINES {
            if self.random.random_bool(0.1) {
                let planner = self.random.random_range(0..self.planners.len());
                let state = self.engines[&engine_id(index)].state.clone();
                self.handle(planner, PlannerEvent::EngineReported(engine_id(index), state));
            }
        }
        (0..self.planners.len()).for_each(|index| self.handle(index, PlannerEvent::Tick));
    }

    fn apply_order(&mut self, order: FencedOrder) {
        let engine = self.engines.get_mut(&order.engine).expect("the engine exists");
        let subject = match &order.kind {
            OrderKind::Load(model) | OrderKind::Unload(model) => model.to_string(),
            OrderKind::SetRole(_) => "role".to_owned(),
        };
        let fence = engine.fences.entry(subject).or_default();
        if order.generation < *fence || order.incarnation != engine.state.incarnation {
            return;
        }
        *fence = order.generation;
        match order.kind {
            OrderKind::Load(model) if engine.state.models.contains_key(&model) => {}
            OrderKind::Load(model) => {
                engine.state.models.insert(model.clone(), ModelState::Loading);
                let length = Duration::from_millis(100 * LOAD_STEPS);
                engine.ready_at.insert(model, self.now + length);
                self.load_starts.push(self.now);
            }
            OrderKind::Unload(model) => {
                engine.state.models.remove(&model);
                engine.ready_at.remove(&model);
            }
            OrderKind::SetRole(role) => engine.state.role = role,
        }
    }

    /// Number of engines that serve any of the versions.
    fn serving(&self, versions: &[u32]) -> usize {
        let serves = |engine: &&SimulatedEngine| {
            let ready = |version: &u32| {
                engine.state.models.get(&model(*version)) == Some(&ModelState::Ready)
            };
            engine.state.role == EngineRole::Serving && versions.iter().any(ready)
        };
        self.engines.values().filter(serves).count()
    }

    /// Whether all engines hold exactly `version` and serve.
    fn holds_only(&self, version: u32) -> bool {
        let only = BTreeMap::from([(model(version), ModelState::Ready)]);
        let is_done = |engine: &SimulatedEngine| {
            engine.state.models == only && engine.state.role == EngineRole::Serving
        };
        self.engines.values().all(is_done)
    }

    /// Steps until `done` holds. Returns the fewest engines that served any of `versions`
    /// meanwhile.
    fn run_until(&mut self, versions: &[u32], done: impl Fn(&Self) -> bool) -> usize {
        let mut fewest = self.serving(versions);
        for _ in 0..MAX_STEPS {
            if done(self) {
                return fewest;
            }
            self.step();
            fewest = fewest.min(self.serving(versions));
        }
        panic!("not done at {:?}", self.now);
    }
}

/// Replaces version 3 by version 4 on engines with `slots` slots. Returns the fewest engines that
/// served either version meanwhile.
fn roll_out(
    seed: u64,
    planners: usize,
    slots: u32,
    disabled: Option<Mechanism>,
) -> (usize, SimulatedFleet) {
    let mut fleet = SimulatedFleet::new(seed, planners, disabled);
    let mut service = FakeKeyValueService::default();
    fleet.apply_document(&mut service, &document(&[3], slots, 0));
    fleet.apply_document(&mut service, &document(&[4], slots, 0));
    let fewest = fleet.run_until(&[3, 4], |fleet| fleet.holds_only(4));
    (fewest, fleet)
}

#[test]
fn a_roll_out_takes_no_more_engines_out_of_service_than_can_load() {
    for seed in 0..SEEDS {
        let (fewest, _) = roll_out(seed, 1, 1, None);
        assert!(fewest >= MIN_SERVING_IN_ROLL_OUT, "seed {seed}: only {fewest} engines served");
    }
}

#[test]
fn two_planners_at_once_take_no_more_engines_out_of_service() {
    for seed in 0..SEEDS {
        let (fewest, _) = roll_out(seed, 2, 1, None);
        assert!(fewest >= MIN_SERVING_IN_ROLL_OUT, "seed {seed}: only {fewest} engines served");
    }
}

#[test]
fn without_the_least_number_a_roll_out_leaves_no_engine_serving() {
    let fewest = (0..SEEDS).map(|seed| roll_out(seed, 1, 1, Some(Mechanism::LeastServing)).0).min();
    assert_eq!(fewest, Some(0));
}

#[test]
fn loads_are_no_faster_than_the_weight_store_allows() {
    for seed in 0..SEEDS {
        let (_, fleet) = roll_out(seed, 1, 2, None);
        assert!(fleet.max_loading <= 2, "seed {seed}: {} loads at once", fleet.max_loading);
        let elapsed = fleet.load_starts[ENGINES - 1].since(fleet.load_starts[0]);
        assert!(
            elapsed >= Duration::from_secs(4),
            "seed {seed}: all loads began within {elapsed:?}"
        );
    }
}

#[test]
fn without_pacing_too_many_loads_run_at_once() {
    let most = (0..SEEDS).map(|seed| roll_out(seed, 1, 2, Some(Mechanism::Pacing)).1.max_loading);
    assert!(most.max() > Some(2));
}

#[test]
fn drains_leave_the_least_number_serving_and_can_be_revoked() {
    for seed in 0..SEEDS {
        let mut fleet = SimulatedFleet::new(seed, 2, None);
        let mut service = FakeKeyValueService::default();
        fleet.apply_document(&mut service, &document(&[3], 2, 4));
        let fewest = fleet.run_until(&[3], |fleet| fleet.serving(&[3]) == 2);
        assert_eq!(fewest, 2, "seed {seed}");
        fleet.apply_document(&mut service, &document(&[3], 2, 0));
        let fewest = fleet.run_until(&[3], |fleet| fleet.holds_only(3));
        assert_eq!(fewest, 2, "seed {seed}");
    }
}

#[test]
fn a_version_revoked_during_its_roll_out_leaves_the_old_one_serving() {
    for seed in 0..SEEDS {
        let mut fleet = SimulatedFleet::new(seed, 1, None);
        let mut service = FakeKeyValueService::default();
        fleet.apply_document(&mut service, &document(&[4], 1, 0));
        (0..40 + seed).for_each(|_| fleet.step());
        fleet.apply_document(&mut service, &document(&[3], 1, 0));
        let fewest = fleet.run_until(&[3, 4], |fleet| fleet.holds_only(3));
        assert!(fewest >= 1, "seed {seed}: no engine served");
    }
}

#[test]
fn a_restarted_engine_gets_its_orders_again() {
    let mut service = FakeKeyValueService::default();
    let record = service.accept("first", &document(&[3], 2, 0));
    let mut planner = OrderPlanner::new(ConfigurationSettings::default());
    planner.handle(PlannerEvent::Activated(record), at(0));
    let state = |incarnation| EngineState {
        incarnation: Incarnation(incarnation),
        role: EngineRole::Serving,
        leaving: false,
        models: BTreeMap::new(),
    };
    let load = |incarnation| {
        PlannerAction::Send(FencedOrder {
            engine: engine_id(0),
            incarnation: Incarnation(incarnation),
            generation: Generation(1),
            kind: OrderKind::Load(model(3)),
        })
    };
    let mut report = |incarnation, millis| {
        planner.handle(PlannerEvent::EngineReported(engine_id(0), state(incarnation)), at(millis))
    };
    assert_eq!(report(1, 0), [load(1)]);
    assert_eq!(report(1, 2_000), [], "the order is pending");
    assert_eq!(report(2, 3_000), [load(2)]);
    assert_eq!(report(1, 4_000), [], "a late report of the earlier incarnation");
    assert_eq!(report(2, 9_000), [load(2)], "the order had no effect within the resend delay");
}
