//! Orders to engines, derived from the configuration in force.

mod fleet;
mod planner;

use std::collections::BTreeMap;
use std::sync::Arc;

use dahlia_types::{EngineId, Generation, Incarnation, ModelId};
use serde::{Deserialize, Serialize};

use crate::{ConfigurationRecord, EngineRole};

pub use planner::OrderPlanner;

/// State of a model on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ModelState {
    /// The engine is loading its weights.
    Loading,
    /// The engine can serve it.
    Ready,
}

/// An engine's last report of its role and models.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Its incarnation. Orders do not survive a restart.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub role: EngineRole,
    /// Whether it announced that it will stop, or the platform's list of machines did.
    pub leaving: bool,
    /// Its models and their states.
    pub models: BTreeMap<ModelId, ModelState>,
}

/// What an order changes. Orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load a model, adapter and version from the weight store.
    Load(ModelId),
    /// Unload it.
    Unload(ModelId),
    /// Change the role.
    SetRole(EngineRole),
}

/// An order with its fences: the engine refuses it in another incarnation, or after an order of a
/// newer generation for the same model or for the role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The engine.
    pub engine: EngineId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The generation from which the order is derived.
    pub generation: Generation,
    /// What the order changes.
    pub kind: OrderKind,
}

/// A change that is delayed because it would leave a model with too few serving engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockedChange {
    /// The engine that would change.
    pub engine: EngineId,
    /// The model that needs it.
    pub model: ModelId,
}

/// An event that a planner handles.
#[derive(Debug, Clone)]
pub enum PlannerEvent {
    /// A generation came into force.
    Activated(Arc<ConfigurationRecord>),
    /// An engine reported its state.
    EngineReported(EngineId, EngineState),
    /// An engine is gone or does not answer, so it serves nothing.
    EngineLost(EngineId),
    /// Time has passed.
    Tick,
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Send an order. The planner repeats it if it is lost or refused.
    Send(FencedOrder),
    /// Show a delayed change to operators.
    ReportBlocked(BlockedChange),
}
