//! The planner's estimate of the engines: their last reports, and what pending orders may have
//! changed since. Reports lag, so an order that takes an engine out of service counts at once, and
//! one that adds service counts only when a report shows it.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, EngineId, Incarnation, ModelId, Timestamp};

use super::{EngineState, ModelState, OrderKind};
use crate::{Document, EngineRole};

/// An order that was sent to one incarnation of an engine.
#[derive(Debug, Clone, Copy)]
struct SentOrder {
    incarnation: Incarnation,
    sent_at: Timestamp,
}

/// The engines' reports and the orders to them.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    reports: BTreeMap<EngineId, EngineState>,
    lost_engines: BTreeSet<EngineId>,
    /// Orders that were sent and whose effect no report shows yet.
    pending_orders: BTreeMap<(EngineId, OrderKind), SentOrder>,
    /// Orders that a newer, opposite one revoked, and until when they may still take effect before
    /// it.
    revoked_orders: BTreeMap<(EngineId, OrderKind), Timestamp>,
    now: Timestamp,
}

impl Fleet {
    pub(super) fn set_time(&mut self, now: Timestamp) {
        self.now = now;
        self.revoked_orders.retain(|_, until| now < *until);
    }

    pub(super) fn apply_report(&mut self, engine: EngineId, state: EngineState) {
        let known = self.reports.get(&engine);
        if known.is_some_and(|known| known.incarnation > state.incarnation) {
            return;
        }
        // Orders do not survive a restart of the engine.
        self.pending_orders.retain(|(id, kind), sent| {
            let same_incarnation = sent.incarnation == state.incarnation;
            *id != engine || (same_incarnation && !is_visible(&state, kind))
        });
        self.lost_engines.remove(&engine);
        self.reports.insert(engine, state);
    }

    pub(super) fn mark_lost(&mut self, engine: &EngineId) {
        self.reports.remove(engine);
        self.lost_engines.insert(engine.clone());
    }

    /// Whether the driver reported the engine as lost.
    pub(super) fn is_lost(&self, engine: &EngineId) -> bool {
        self.lost_engines.contains(engine)
    }

    pub(super) fn engines(&self) -> Vec<EngineId> {
        self.reports.keys().cloned().collect()
    }

    pub(super) fn state(&self, engine: &EngineId) -> Option<&EngineState> {
        self.reports.get(engine)
    }

    /// When the order was sent, if it is pending.
    pub(super) fn sent_at(&self, engine: &EngineId, kind: &OrderKind) -> Option<Timestamp> {
        self.pending_orders.get(&(engine.clone(), kind.clone())).map(|sent| sent.sent_at)
    }

    /// Records an order that is sent now. It revokes the opposite one, which may still take effect
    /// before it for `max_delay`.
    pub(super) fn record_sent(&mut self, engine: &EngineId, kind: &OrderKind, max_delay: Duration) {
        let Some(state) = self.reports.get(engine) else {
            return;
        };
        let sent = SentOrder { incarnation: state.incarnation, sent_at: self.now };
        let opposite = match kind {
            OrderKind::Load(model) => OrderKind::Unload(model.clone()),
            OrderKind::Unload(model) => OrderKind::Load(model.clone()),
            OrderKind::SetRole(EngineRole::Serving) => OrderKind::SetRole(EngineRole::Draining),
            OrderKind::SetRole(EngineRole::Draining) => OrderKind::SetRole(EngineRole::Serving),
        };
        let opposite = (engine.clone(), opposite);
        if self.pending_orders.remove(&opposite).is_some() {
            self.revoked_orders.insert(opposite, self.now + max_delay);
        }
        self.pending_orders.insert((engine.clone(), kind.clone()), sent);
    }

    /// Whether the engine has the model and no order to unload it is pending, or an order to load
    /// it is pending.
    pub(super) fn has_or_loads(&self, engine: &EngineId, model: &ModelId) -> bool {
        if self.sent_at(engine, &OrderKind::Load(model.clone())).is_some() {
            return true;
        }
        let reported = self.state(engine).is_some_and(|state| state.models.contains_key(model));
        reported && self.sent_at(engine, &OrderKind::Unload(model.clone())).is_none()
    }

    /// Whether the engine reports that the model is ready.
    pub(super) fn is_ready(&self, engine: &EngineId, model: &ModelId) -> bool {
        let state = self.state(engine);
        state.is_some_and(|state| state.models.get(model) == Some(&ModelState::Ready))
    }

    /// Whether a model of the engine is loading, or an order to load or unload one is pending.
    pub(super) fn is_changing(&self, engine: &EngineId) -> bool {
        let is_loading = |state: &ModelState| *state == ModelState::Loading;
        let is_loading_model =
            self.state(engine).is_some_and(|it| it.models.values().any(is_loading));
        let has_pending_order = self.pending_orders.keys().any(|(id, kind)| {
            id == engine && matches!(kind, OrderKind::Load(_) | OrderKind::Unload(_))
        });
        is_loading_model || has_pending_order
    }

    /// Number of the engine's slots in use. A model keeps its slot until a report shows that it is
    /// unloaded.
    pub(super) fn slots_taken(&self, engine: &EngineId) -> usize {
        let reported = self.state(engine).map_or(0, |state| state.models.len());
        let ordered = self.ordered_loads(engine).filter(|model| {
            self.state(engine).is_none_or(|state| !state.models.contains_key(model))
        });
        reported + ordered.count()
    }

    /// Whether the engine certainly takes new work for the model.
    pub(super) fn serves(&self, engine: &EngineId, model: &ModelId) -> bool {
        let Some(state) = self.state(engine) else {
            return false;
        };
        let drains = self.may_take_effect(engine, OrderKind::SetRole(EngineRole::Draining));
        let unloads = self.may_take_effect(engine, OrderKind::Unload(model.clone()));
        let is_serving = state.role == EngineRole::Serving && !state.leaving;
        self.is_ready(engine, model) && is_serving && !drains && !unloads
    }

    /// Whether the order may still take effect: it is pending, or was revoked a short time ago.
    fn may_take_effect(&self, engine: &EngineId, kind: OrderKind) -> bool {
        let order = (engine.clone(), kind);
        self.pending_orders.contains_key(&order) || self.revoked_orders.contains_key(&order)
    }

    /// Number of engines that certainly serve the model.
    pub(super) fn serving_count(&self, model: &ModelId) -> usize {
        self.reports.keys().filter(|engine| self.serves(engine, model)).count()
    }

    /// Number of loads in progress on all engines, reported or ordered.
    pub(super) fn loading_count(&self) -> usize {
        let is_loading = |(_, state): &(&ModelId, &ModelState)| **state == ModelState::Loading;
        let reported = self.reports.values();
        let reported_count: usize =
            reported.map(|state| state.models.iter().filter(is_loading).count()).sum();
        let ordered = self.reports.keys().map(|engine| self.ordered_loads(engine).count());
        reported_count + ordered.sum::<usize>()
    }

    /// Fewest engines that must keep serving `model` during the roll-out of the document.
    pub(super) fn min_serving(&self, model: &ModelId, document: &Document) -> usize {
        if let Some(entry) = document.models.get(model) {
            return entry.least_serving as usize;
        }
        // The document dropped the model. Its last engine stays until the versions that replace it
        // are served, so that its programs are never left without an engine.
        let mut successors =
            document.models.iter().filter(|(_, entry)| entry.base == base_of(model));
        let has_too_few = |(id, entry): (&ModelId, &crate::ModelEntry)| {
            self.serving_count(id) < entry.least_serving as usize
        };
        usize::from(successors.any(has_too_few))
    }

    /// Models that pending orders load on the engine.
    pub(super) fn ordered_loads<'fleet>(
        &'fleet self,
        engine: &'fleet EngineId,
    ) -> impl Iterator<Item = &'fleet ModelId> {
        self.pending_orders.keys().filter_map(move |(id, kind)| match kind {
            OrderKind::Load(model) if id == engine => Some(model),
            _ => None,
        })
    }
}

/// Whether a report shows the order's effect.
fn is_visible(state: &EngineState, kind: &OrderKind) -> bool {
    match kind {
        OrderKind::Load(model) => state.models.contains_key(model),
        OrderKind::Unload(model) => !state.models.contains_key(model),
        OrderKind::SetRole(role) => state.role == *role,
    }
}

/// The model's name without adapter and version.
fn base_of(model: &ModelId) -> &str {
    let text = model.as_str();
    text.split(['/', '@']).next().unwrap_or(text)
}
