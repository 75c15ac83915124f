//! Loaded models and the role of the engine, changed by orders that generations fence.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, Generation, ModelId, Timestamp};

use crate::{EngineOrder, EngineRefusal, EngineRole, OrderKind};

/// The subject of an order. Each subject has its own fence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum OrderSubject {
    Model(ModelId),
    Role,
}

/// What the engine must do after an accepted order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderEffect {
    /// Nothing further.
    None,
    /// The model was unloaded, so its waiting attempts must be evicted.
    Unloaded(ModelId),
}

/// Loaded models, role, and the newest generation seen for each subject.
#[derive(Debug)]
pub(crate) struct EngineConfiguration {
    load_time: Duration,
    role: EngineRole,
    loaded: BTreeSet<ModelId>,
    loading: BTreeMap<ModelId, Timestamp>,
    fences: BTreeMap<OrderSubject, Generation>,
}

impl EngineConfiguration {
    pub(crate) fn new(load_time: Duration) -> Self {
        Self {
            load_time,
            role: EngineRole::Serving,
            loaded: BTreeSet::new(),
            loading: BTreeMap::new(),
            fences: BTreeMap::new(),
        }
    }

    /// Marks a model as loaded without an order, for an engine that starts with it.
    pub(crate) fn add_loaded_model(&mut self, model: ModelId) {
        self.loaded.insert(model);
    }

    pub(crate) fn role(&self) -> EngineRole {
        self.role
    }

    pub(crate) fn is_loaded(&self, model: &ModelId) -> bool {
        self.loaded.contains(model)
    }

    pub(crate) fn loaded(&self) -> Vec<ModelId> {
        self.loaded.iter().cloned().collect()
    }

    /// Executes an order, or refuses it if its generation is stale. Repeating an order changes
    /// nothing.
    pub(crate) fn apply(
        &mut self,
        order: &EngineOrder,
        now: Timestamp,
    ) -> Result<OrderEffect, EngineRefusal> {
        let subject = match &order.kind {
            OrderKind::Load(model) | OrderKind::Unload(model) => OrderSubject::Model(model.clone()),
            OrderKind::SetRole(_) => OrderSubject::Role,
        };
        let seen = self.fences.get(&subject).copied().unwrap_or_default();
        if order.generation < seen {
            return Err(EngineRefusal::StaleGeneration { generation: order.generation, seen });
        }
        self.fences.insert(subject, order.generation);
        Ok(self.execute(&order.kind, now))
    }

    /// Returns when the next model finishes loading.
    pub(crate) fn next_load_end(&self) -> Option<Timestamp> {
        self.loading.values().min().copied()
    }

    /// Marks a model whose loading ends by `now` as loaded. Returns it and when it was ready.
    pub(crate) fn finish_next_load(&mut self, now: Timestamp) -> Option<(ModelId, Timestamp)> {
        let ready = self.loading.iter().find(|(_, at)| **at <= now);
        let (model, at) = ready.map(|(model, at)| (model.clone(), *at))?;
        self.loading.remove(&model);
        self.loaded.insert(model.clone());
        Some((model, at))
    }

    fn execute(&mut self, kind: &OrderKind, now: Timestamp) -> OrderEffect {
        match kind {
            OrderKind::Load(model) => {
                if !self.loaded.contains(model) {
                    let ready = now + self.load_time;
                    self.loading.entry(model.clone()).or_insert(ready);
                }
                OrderEffect::None
            }
            OrderKind::Unload(model) => {
                self.loading.remove(model);
                self.loaded.remove(model);
                OrderEffect::Unloaded(model.clone())
            }
            OrderKind::SetRole(role) => {
                self.role = *role;
                OrderEffect::None
            }
        }
    }
}
