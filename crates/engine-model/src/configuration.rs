//! Loaded models and the role, changed by fenced orders.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, Generation, ModelId, Timestamp};

use crate::{EngineOrder, EngineRefusal, EngineRole, OrderKind};

/// What an order is about; each subject has its own fence.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum OrderSubject {
    Model(ModelId),
    Role,
}

/// What follows from an accepted order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderEffect {
    /// Nothing beyond the state kept here.
    None,
    /// The model's waiting attempts have to go.
    Unloaded(ModelId),
}

/// Models, role and the newest generation seen for each.
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

    /// Starts with a model loaded, as an engine that was set up so.
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

    /// Carries an order out, or refuses it by its generation. Repeating one changes nothing.
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

    /// When the next model is ready.
    pub(crate) fn next_load_end(&self) -> Option<Timestamp> {
        self.loading.values().min().copied()
    }

    /// Takes a model that is ready by `now`.
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
