//! Orders to engines that follow from the configuration in force.

mod fleet;
mod planner;

use std::collections::BTreeMap;
use std::sync::Arc;

use dahlia_types::{EngineId, Generation, Incarnation, ModelId};
use serde::{Deserialize, Serialize};

use crate::{ConfigurationRecord, EngineRole};

pub use planner::OrderPlanner;

/// How far a model is at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ModelState {
    /// Its weights are on their way.
    Loading,
    /// It serves.
    Ready,
}

/// What an engine last reported of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Its life. Orders last as long as it.
    pub incarnation: Incarnation,
    /// What it does with new work.
    pub role: EngineRole,
    /// It said that it will stop, or the platform's list of machines did.
    pub leaving: bool,
    /// Its models.
    pub models: BTreeMap<ModelId, ModelState>,
}

/// What an order changes. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load a model, adapter and version from the weight store.
    Load(ModelId),
    /// Unload it.
    Unload(ModelId),
    /// Change the role.
    SetRole(EngineRole),
}

/// An order with its fences: the engine refuses it in another life, and when it has seen a newer
/// generation for the same model or the role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The engine.
    pub engine: EngineId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The generation that the order follows.
    pub generation: Generation,
    /// What to do.
    pub kind: OrderKind,
}

/// A change that waits because it would leave a model too few serving engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockedChange {
    /// The engine that would change.
    pub engine: EngineId,
    /// The model that needs it.
    pub model: ModelId,
}

/// What a planner reacts to.
#[derive(Debug, Clone)]
pub enum PlannerEvent {
    /// A generation came into force.
    Activated(Arc<ConfigurationRecord>),
    /// An engine reported.
    EngineReported(EngineId, EngineState),
    /// An engine is gone or does not answer; it serves nothing.
    EngineLost(EngineId),
    /// Time has passed.
    Tick,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerAction {
    /// Give this order. A lost or refused one is planned again.
    Send(FencedOrder),
    /// Nothing; to be shown to operators.
    ReportBlocked(BlockedChange),
}
