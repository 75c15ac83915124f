//! Orders of the operators' configuration to an engine, fenced by generation.

use dahlia_types::{Generation, Incarnation, ModelId};
use serde::{Deserialize, Serialize};

/// What an engine does with new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum EngineRole {
    /// Takes new attempts.
    #[default]
    Serving,
    /// Finishes what it has and refuses new attempts.
    Draining,
}

/// What an order changes. Each is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Load a model, adapter and version.
    LoadModel(ModelId),
    /// Unload it; its cache is dropped.
    UnloadModel(ModelId),
    /// Change the role.
    SetRole(EngineRole),
}

/// An order with its fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The generation that it follows. Older than one seen for the same subject (the model, or
    /// the role) is refused.
    pub generation: Generation,
    /// The order.
    pub order: EngineOrder,
}

/// The order is in force, or has begun. [`super::LoadReport`] tells when a load is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAccepted {
    /// The engine's life: orders last as long as it.
    pub incarnation: Incarnation,
}
