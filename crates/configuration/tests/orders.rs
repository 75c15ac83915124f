//! Roll-outs over modelled engines whose reports lag and whose orders get lost.

mod common;

use std::collections::BTreeMap;

use common::{Service, at};
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
const MOST_STEPS: usize = 6_000;
const LOAD_STEPS: u64 = 30;
/// The weight store delivers one load in a second.
const WEIGHT_BYTES: u64 = 1 << 30;
/// All engines but those that load, two at once.
const LEAST_IN_ROLL_OUT: usize = ENGINES - 2;

/// One engine, as it really is.
struct Engine {
    state: EngineState,
    ready_at: BTreeMap<ModelId, Timestamp>,
    fences: BTreeMap<String, Generation>,
}

struct Fleet {
    random: ChaCha8Rng,
    now: Timestamp,
    engines: BTreeMap<EngineId, Engine>,
    planners: Vec<OrderPlanner>,
    orders: Vec<(Timestamp, FencedOrder)>,
    loads_begun: Vec<Timestamp>,
    most_loading: usize,
}

fn model(version: u32) -> ModelId {
    ModelId(format!("agent-8b@{version}"))
}

fn engine_id(index: usize) -> EngineId {
    EngineId::new(format!("e{index}"))
}

/// A document in which all engines serve the versions given; the first `drained` engines drain.
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

impl Fleet {
    /// All engines serve version 3; `planners` daemons plan at once.
    fn new(seed: u64, planners: usize, off: Option<Mechanism>) -> Self {
        let state = EngineState {
            incarnation: Incarnation(1),
            role: EngineRole::Serving,
            leaving: false,
            models: BTreeMap::from([(model(3), ModelState::Ready)]),
        };
        let engine =
            || Engine { state: state.clone(), ready_at: BTreeMap::new(), fences: BTreeMap::new() };
        let planner = || {
            let mut planner = OrderPlanner::new(ConfigurationSettings::default());
            if let Some(mechanism) = off {
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
            loads_begun: Vec::new(),
            most_loading: 0,
        }
    }

    fn apply(&mut self, service: &mut Service, text: &str) {
        let record = service.accept(&format!("change-{}", service.values.len()), text);
        for index in 0..self.planners.len() {
            self.event(index, PlannerEvent::Activated(record.clone()));
        }
    }

    fn event(&mut self, index: usize, event: PlannerEvent) {
        for action in self.planners[index].handle(event, self.now) {
            let PlannerAction::Send(order) = action else { continue };
            if self.random.random_bool(0.9) {
                let delay = Duration::from_millis(self.random.random_range(0..800));
                self.orders.push((self.now + delay, order));
            }
        }
    }

    /// One step of time: orders arrive, loads end, some engines report, each to one planner.
    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let (due, later) = self.orders.drain(..).partition(|(at, _)| *at <= now);
        self.orders = later;
        let due: Vec<(Timestamp, FencedOrder)> = due;
        due.into_iter().for_each(|(_, order)| self.obey(order));
        for engine in self.engines.values_mut() {
            for (model, ready) in &engine.ready_at {
                if *ready <= now {
                    engine.state.models.insert(model.clone(), ModelState::Ready);
                }
            }
            engine.ready_at.retain(|_, ready| *ready > now);
        }
        let loading = self.engines.values().map(|engine| engine.ready_at.len()).sum();
        self.most_loading = self.most_loading.max(loading);
        for index in 0..ENGINES {
            if self.random.random_bool(0.1) {
                let planner = self.random.random_range(0..self.planners.len());
                let state = self.engines[&engine_id(index)].state.clone();
                self.event(planner, PlannerEvent::EngineReported(engine_id(index), state));
            }
        }
        (0..self.planners.len()).for_each(|index| self.event(index, PlannerEvent::Tick));
    }

    fn obey(&mut self, order: FencedOrder) {
        let engine = self.engines.get_mut(&order.engine).expect("a known engine");
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
                self.loads_begun.push(self.now);
            }
            OrderKind::Unload(model) => {
                engine.state.models.remove(&model);
                engine.ready_at.remove(&model);
            }
            OrderKind::SetRole(role) => engine.state.role = role,
        }
    }

    fn serving(&self, versions: &[u32]) -> usize {
        let serves = |engine: &&Engine| {
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
        let is_done = |engine: &Engine| {
            engine.state.models == only && engine.state.role == EngineRole::Serving
        };
        self.engines.values().all(is_done)
    }

    /// Steps until `done`; gives the fewest engines that served any of `versions` on the way.
    fn run_until(&mut self, versions: &[u32], done: impl Fn(&Self) -> bool) -> usize {
        let mut fewest = self.serving(versions);
        for _ in 0..MOST_STEPS {
            if done(self) {
                return fewest;
            }
            self.step();
            fewest = fewest.min(self.serving(versions));
        }
        panic!("not done at {:?}", self.now);
    }
}

/// Rolls version 4 out in place of 3, with so many slots in each engine; gives the fewest engines that
/// served either on the way.
fn replace(seed: u64, planners: usize, slots: u32, off: Option<Mechanism>) -> (usize, Fleet) {
    let mut fleet = Fleet::new(seed, planners, off);
    let mut service = Service::default();
    fleet.apply(&mut service, &document(&[3], slots, 0));
    fleet.apply(&mut service, &document(&[4], slots, 0));
    let fewest = fleet.run_until(&[3, 4], |fleet| fleet.holds_only(4));
    (fewest, fleet)
}

#[test]
fn a_roll_out_takes_no_more_engines_out_than_can_load() {
    for seed in 0..SEEDS {
        let (fewest, _) = replace(seed, 1, 1, None);
        assert!(fewest >= LEAST_IN_ROLL_OUT, "seed {seed}: only {fewest} engines served");
    }
}

#[test]
fn two_planners_at_once_take_no_more_engines_out() {
    for seed in 0..SEEDS {
        let (fewest, _) = replace(seed, 2, 1, None);
        assert!(fewest >= LEAST_IN_ROLL_OUT, "seed {seed}: only {fewest} engines served");
    }
}

#[test]
fn without_the_least_number_no_engine_is_left() {
    let fewest = (0..SEEDS).map(|seed| replace(seed, 1, 1, Some(Mechanism::LeastServing)).0).min();
    assert_eq!(fewest, Some(0));
}

#[test]
fn loads_come_no_faster_than_the_weight_store_allows() {
    for seed in 0..SEEDS {
        let (_, fleet) = replace(seed, 1, 2, None);
        assert!(fleet.most_loading <= 2, "seed {seed}: {} loads at once", fleet.most_loading);
        let took = fleet.loads_begun[ENGINES - 1].since(fleet.loads_begun[0]);
        assert!(took >= Duration::from_secs(4), "seed {seed}: all loads began within {took:?}");
    }
}

#[test]
fn without_pacing_loads_come_all_at_once() {
    let most = (0..SEEDS).map(|seed| replace(seed, 1, 2, Some(Mechanism::Pacing)).1.most_loading);
    assert!(most.max() > Some(2));
}

#[test]
fn drains_wait_until_others_serve_and_an_undone_drain_is_undone_everywhere() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 2, None);
        let mut service = Service::default();
        fleet.apply(&mut service, &document(&[3], 2, 4));
        let fewest = fleet.run_until(&[3], |fleet| fleet.serving(&[3]) == 2);
        assert_eq!(fewest, 2, "seed {seed}");
        fleet.apply(&mut service, &document(&[3], 2, 0));
        let fewest = fleet.run_until(&[3], |fleet| fleet.holds_only(3));
        assert_eq!(fewest, 2, "seed {seed}");
    }
}

#[test]
fn a_version_taken_back_during_its_roll_out_leaves_the_old_one_serving() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, 1, None);
        let mut service = Service::default();
        fleet.apply(&mut service, &document(&[4], 1, 0));
        (0..40 + seed).for_each(|_| fleet.step());
        fleet.apply(&mut service, &document(&[3], 1, 0));
        let fewest = fleet.run_until(&[3, 4], |fleet| fleet.holds_only(3));
        assert!(fewest >= 1, "seed {seed}: no engine served");
    }
}

#[test]
fn a_new_life_of_an_engine_gets_its_orders_again() {
    let mut service = Service::default();
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
    assert_eq!(report(1, 2_000), [], "it is under way");
    assert_eq!(report(2, 3_000), [load(2)]);
    assert_eq!(report(1, 4_000), [], "a late report of the earlier life");
    assert_eq!(report(2, 9_000), [load(2)], "the order had no effect in time");
}
