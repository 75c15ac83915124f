//! The engines as the planner has to assume them: what they reported, and what orders under way
//! may have changed since. Reports lag, so an order that takes service away counts at once and
//! one that adds service counts only when it is reported.

use std::collections::{BTreeMap, BTreeSet};

use dahlia_types::{Duration, EngineId, Incarnation, ModelId, Timestamp};

use super::{EngineState, ModelState, OrderKind};
use crate::{Document, EngineRole};

/// An order that was sent to one life of an engine.
#[derive(Debug, Clone, Copy)]
struct Sent {
    incarnation: Incarnation,
    at: Timestamp,
}

/// The engines with the orders under way.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    reported: BTreeMap<EngineId, EngineState>,
    lost: BTreeSet<EngineId>,
    under_way: BTreeMap<(EngineId, OrderKind), Sent>,
    /// Orders that a newer one took back, and until when they may still arrive before it.
    taken_back: BTreeMap<(EngineId, OrderKind), Timestamp>,
    now: Timestamp,
}

impl Fleet {
    pub(super) fn set_time(&mut self, now: Timestamp) {
        self.now = now;
        self.taken_back.retain(|_, until| now < *until);
    }

    pub(super) fn report(&mut self, engine: EngineId, state: EngineState) {
        let earlier = self.reported.get(&engine);
        if earlier.is_some_and(|earlier| earlier.incarnation > state.incarnation) {
            return;
        }
        // Orders do not outlive the engine's life.
        self.under_way.retain(|(id, kind), sent| {
            let same_life = sent.incarnation == state.incarnation;
            *id != engine || (same_life && !is_visible(&state, kind))
        });
        self.lost.remove(&engine);
        self.reported.insert(engine, state);
    }

    pub(super) fn lose(&mut self, engine: &EngineId) {
        self.reported.remove(engine);
        self.lost.insert(engine.clone());
    }

    /// Whether the driver said that the engine is gone.
    pub(super) fn is_lost(&self, engine: &EngineId) -> bool {
        self.lost.contains(engine)
    }

    pub(super) fn engines(&self) -> Vec<EngineId> {
        self.reported.keys().cloned().collect()
    }

    pub(super) fn state(&self, engine: &EngineId) -> Option<&EngineState> {
        self.reported.get(engine)
    }

    /// When the order was sent, if it is under way.
    pub(super) fn sent(&self, engine: &EngineId, kind: &OrderKind) -> Option<Timestamp> {
        self.under_way.get(&(engine.clone(), kind.clone())).map(|sent| sent.at)
    }

    /// Notes that an order was sent now. It takes the opposite one back, which may still arrive
    /// before it until `arrival` has passed.
    pub(super) fn note(&mut self, engine: &EngineId, kind: &OrderKind, arrival: Duration) {
        let Some(state) = self.reported.get(engine) else {
            return;
        };
        let sent = Sent { incarnation: state.incarnation, at: self.now };
        let opposite = match kind {
            OrderKind::Load(model) => OrderKind::Unload(model.clone()),
            OrderKind::Unload(model) => OrderKind::Load(model.clone()),
            OrderKind::SetRole(EngineRole::Serving) => OrderKind::SetRole(EngineRole::Draining),
            OrderKind::SetRole(EngineRole::Draining) => OrderKind::SetRole(EngineRole::Serving),
        };
        let opposite = (engine.clone(), opposite);
        if self.under_way.remove(&opposite).is_some() {
            self.taken_back.insert(opposite, self.now + arrival);
        }
        self.under_way.insert((engine.clone(), kind.clone()), sent);
    }

    /// Whether the engine has the model, or an order to load it is under way.
    pub(super) fn has(&self, engine: &EngineId, model: &ModelId) -> bool {
        if self.sent(engine, &OrderKind::Load(model.clone())).is_some() {
            return true;
        }
        let reported = self.state(engine).is_some_and(|state| state.models.contains_key(model));
        reported && self.sent(engine, &OrderKind::Unload(model.clone())).is_none()
    }

    /// Whether the engine reports that the model is ready.
    pub(super) fn is_ready(&self, engine: &EngineId, model: &ModelId) -> bool {
        let state = self.state(engine);
        state.is_some_and(|state| state.models.get(model) == Some(&ModelState::Ready))
    }

    /// Whether a model of the engine is loading, or an order to load or unload one is under way.
    pub(super) fn changes(&self, engine: &EngineId) -> bool {
        let is_loading = |state: &ModelState| *state == ModelState::Loading;
        let loads = self.state(engine).is_some_and(|it| it.models.values().any(is_loading));
        let ordered = self.under_way.keys().any(|(id, kind)| {
            id == engine && matches!(kind, OrderKind::Load(_) | OrderKind::Unload(_))
        });
        loads || ordered
    }

    /// Models that take a slot of the engine. One whose unloading is not yet seen still does.
    pub(super) fn slots_taken(&self, engine: &EngineId) -> usize {
        let reported = self.state(engine).map_or(0, |state| state.models.len());
        let coming = self.loads_of(engine).filter(|model| {
            self.state(engine).is_none_or(|state| !state.models.contains_key(model))
        });
        reported + coming.count()
    }

    /// Whether the engine certainly serves the model to new work.
    pub(super) fn serves(&self, engine: &EngineId, model: &ModelId) -> bool {
        let Some(state) = self.state(engine) else {
            return false;
        };
        let drains = self.may_arrive(engine, OrderKind::SetRole(EngineRole::Draining));
        let unloads = self.may_arrive(engine, OrderKind::Unload(model.clone()));
        let is_serving = state.role == EngineRole::Serving && !state.leaving;
        self.is_ready(engine, model) && is_serving && !drains && !unloads
    }

    fn may_arrive(&self, engine: &EngineId, kind: OrderKind) -> bool {
        let order = (engine.clone(), kind);
        self.under_way.contains_key(&order) || self.taken_back.contains_key(&order)
    }

    /// How many engines certainly serve the model.
    pub(super) fn serving(&self, model: &ModelId) -> usize {
        self.reported.keys().filter(|engine| self.serves(engine, model)).count()
    }

    /// Loads under way at all engines, reported or ordered.
    pub(super) fn loading(&self) -> usize {
        let is_loading = |(_, state): &(&ModelId, &ModelState)| **state == ModelState::Loading;
        let reported = self.reported.values();
        let seen: usize =
            reported.map(|state| state.models.iter().filter(is_loading).count()).sum();
        let ordered = self.reported.keys().map(|engine| self.loads_of(engine).count());
        seen + ordered.sum::<usize>()
    }

    /// The fewest engines that must keep serving `model` while the document comes into force.
    pub(super) fn least(&self, model: &ModelId, document: &Document) -> usize {
        if let Some(entry) = document.models.get(model) {
            return entry.least_serving as usize;
        }
        // Dropped by the document: its last engine stays until the versions that replace it
        // serve, so that programs of this model are never left without any engine.
        let mut successors =
            document.models.iter().filter(|(_, entry)| entry.base == base_of(model));
        let lacks = |(id, entry): (&ModelId, &crate::ModelEntry)| {
            self.serving(id) < entry.least_serving as usize
        };
        usize::from(successors.any(lacks))
    }

    /// Models that orders under way are to load at the engine.
    pub(super) fn loads_of<'fleet>(
        &'fleet self,
        engine: &'fleet EngineId,
    ) -> impl Iterator<Item = &'fleet ModelId> {
        self.under_way.keys().filter_map(move |(id, kind)| match kind {
            OrderKind::Load(model) if id == engine => Some(model),
            _ => None,
        })
    }
}

/// Whether a report shows that the order has been taken.
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
