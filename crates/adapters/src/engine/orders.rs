//! Orders of the operators' configuration to an engine, fenced by generation.

use dahlia_types::{Generation, Incarnation, ModelId};
use serde::{Deserialize, Serialize};

/// What an engine does with new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum EngineRole {
    /// Takes new attempts.
    #[default]
    Serving,
    /// Finishes its attempts and refuses new ones.
    Draining,
}

/// The change that an order makes. Every order is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineOrder {
    /// Loads a model, adapter and version.
    LoadModel(ModelId),
    /// Unloads a model and drops its cache.
    UnloadModel(ModelId),
    /// Changes the role.
    SetRole(EngineRole),
}

/// An order with the generation that fences it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The configuration generation that it comes from. The engine refuses a generation older
    /// than one that it has seen for the same subject (the model, or the role).
    pub generation: Generation,
    /// The order.
    pub order: EngineOrder,
}

/// Confirms that the order is in force or has begun. [`super::LoadReport`] shows when a model is
/// loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAccepted {
    /// The engine's incarnation. Orders last only as long as it.
    pub incarnation: Incarnation,
}
