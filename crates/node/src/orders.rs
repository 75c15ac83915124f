//! Plans orders to engines from the configuration in force.
//!
//! Only the owner of the first group plans. Around a failover two nodes may plan for a moment; the
//! generation fences their orders, and each order is idempotent (docs/design/configuration.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use dahlia_configuration::{
    BlockedChange, ConfigurationRecord, EngineState, OrderPlanner, PlannerAction, PlannerEvent,
};
use dahlia_types::{Duration, EngineId, Timestamp};

use crate::Action;
use crate::node::Node;

/// How often the planner checks for due orders.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// The order planner, present while this node owns the first group.
#[derive(Debug, Default)]
pub(crate) struct EngineOrders {
    planner: Option<OrderPlanner>,
    /// The models and role that each engine last reported.
    engine_states: BTreeMap<EngineId, EngineState>,
    blocked: Vec<BlockedChange>,
    next_plan: Timestamp,
}

impl Node {
    /// Handles an engine's report of its models and role.
    pub(crate) fn engine_state(&mut self, engine: EngineId, state: EngineState, now: Timestamp) {
        let listed = self.sources.is_listed_leaving(&engine);
        let state = EngineState { leaving: state.leaving || listed, ..state };
        self.engine_orders.engine_states.insert(engine.clone(), state.clone());
        self.run_planner(PlannerEvent::EngineReported(engine, state), now);
    }

    /// Handles the loss of an engine that no longer reports.
    pub(crate) fn engine_state_lost(&mut self, engine: &EngineId, now: Timestamp) {
        self.engine_orders.engine_states.remove(engine);
        self.run_planner(PlannerEvent::EngineLost(engine.clone()), now);
    }

    /// Plans for a generation that came into force.
    pub(crate) fn plan_for_generation(&mut self, record: Arc<ConfigurationRecord>, now: Timestamp) {
        self.run_planner(PlannerEvent::Activated(record), now);
    }

    /// Starts or stops planning with the ownership of the first group, and sends due orders.
    pub(crate) fn update_planner(&mut self, now: Timestamp) {
        if now < self.engine_orders.next_plan {
            return;
        }
        self.engine_orders.next_plan = now + PLAN_INTERVAL;
        let first = self.group_ids().into_iter().min();
        let owns_first = first.is_some_and(|group| self.owns(group));
        if !owns_first {
            self.engine_orders.planner = None;
            return;
        }
        if self.engine_orders.planner.is_none() {
            self.begin_planning(now);
        }
        self.run_planner(PlannerEvent::Tick, now);
    }

    fn begin_planning(&mut self, now: Timestamp) {
        log::info!(target: "configuration", "This daemon plans the orders to engines.");
        self.engine_orders.planner = Some(OrderPlanner::new(self.settings.configuration.clone()));
        for (engine, state) in self.engine_orders.engine_states.clone() {
            self.run_planner(PlannerEvent::EngineReported(engine, state), now);
        }
        if let Some(record) = self.configuration.current().cloned() {
            self.run_planner(PlannerEvent::Activated(record), now);
        }
    }

    fn run_planner(&mut self, event: PlannerEvent, now: Timestamp) {
        let Some(planner) = &mut self.engine_orders.planner else {
            return;
        };
        let mut blocked = Vec::new();
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
                PlannerAction::ReportBlocked(change) => blocked.push(change),
            }
        }
        if blocked != self.engine_orders.blocked {
            for BlockedChange { engine, model } in &blocked {
                log::info!(
                    target: "configuration",
                    "{engine} keeps {model}: too few others serve it."
                );
            }
            self.engine_orders.blocked = blocked;
        }
    }
}
