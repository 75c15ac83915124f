//! Orders to engines that follow from the configuration in force.
//!
//! One node plans: the owner of the first group. Two may for a moment, around a fail-over; the
//! generation fences their orders and each is idempotent (docs/design/configuration.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use dahlia_configuration::{
    BlockedChange, ConfigurationRecord, EngineState, OrderPlanner, PlannerAction, PlannerEvent,
};
use dahlia_types::{Duration, EngineId, Timestamp};

use crate::Action;
use crate::node::Node;

/// How often the planner looks for due orders.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// The planner, while this node is the one that plans.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    planner: Option<OrderPlanner>,
    /// What each engine last reported of its models and its role.
    states: BTreeMap<EngineId, EngineState>,
    held: Vec<BlockedChange>,
    next_plan: Timestamp,
}

impl Node {
    /// An engine reported its models and its role.
    pub(crate) fn engine_state(&mut self, engine: EngineId, state: EngineState, now: Timestamp) {
        let listed = self.sources.is_listed_leaving(&engine);
        let state = EngineState { leaving: state.leaving || listed, ..state };
        self.orders.states.insert(engine.clone(), state.clone());
        self.plan(PlannerEvent::EngineReported(engine, state), now);
    }

    /// An engine fell silent.
    pub(crate) fn engine_state_lost(&mut self, engine: &EngineId, now: Timestamp) {
        self.orders.states.remove(engine);
        self.plan(PlannerEvent::EngineLost(engine.clone()), now);
    }

    /// A generation came into force.
    pub(crate) fn plan_in_force(&mut self, record: Arc<ConfigurationRecord>, now: Timestamp) {
        self.plan(PlannerEvent::Activated(record), now);
    }

    /// Begins or ends planning with the ownership of the first group, and looks for due orders.
    pub(crate) fn plan_due(&mut self, now: Timestamp) {
        if now < self.orders.next_plan {
            return;
        }
        self.orders.next_plan = now + PLAN_INTERVAL;
        let first = self.group_ids().into_iter().min();
        let plans = first.is_some_and(|group| self.owns(group));
        if !plans {
            self.orders.planner = None;
            return;
        }
        if self.orders.planner.is_none() {
            self.begin_planning(now);
        }
        self.plan(PlannerEvent::Tick, now);
    }

    fn begin_planning(&mut self, now: Timestamp) {
        log::info!(target: "configuration", "This daemon plans the orders to engines.");
        self.orders.planner = Some(OrderPlanner::new(self.settings.configuration.clone()));
        for (engine, state) in self.orders.states.clone() {
            self.plan(PlannerEvent::EngineReported(engine, state), now);
        }
        if let Some(record) = self.configuration.current().cloned() {
            self.plan(PlannerEvent::Activated(record), now);
        }
    }

    fn plan(&mut self, event: PlannerEvent, now: Timestamp) {
        let Some(planner) = &mut self.orders.planner else {
            return;
        };
        let mut held = Vec::new();
        for action in planner.handle(event, now) {
            match action {
                PlannerAction::Send(order) => {
                    log::info!(
                        target: "configuration",
                        "Order to {} by generation {}: {:?}.",
                        order.engine, order.generation, order.kind
                    );
                    self.actions.push(Action::Order(Box::new(order)));
                }
                PlannerAction::ReportBlocked(waiting) => held.push(waiting),
            }
        }
        if held != self.orders.held {
            for BlockedChange { engine, model } in &held {
                log::info!(
                    target: "configuration",
                    "{engine} keeps {model}: too few others serve it."
                );
            }
            self.orders.held = held;
        }
    }
}
