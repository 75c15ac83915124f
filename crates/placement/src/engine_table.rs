//! The scheduler's estimate of each engine's state: the last load report, corrected by what was
//! dispatched since. Reports arrive late.

mod entry;

use std::collections::BTreeMap;

use dahlia_types::{EngineId, ModelId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

pub(crate) use self::entry::{Availability, EngineEntry};
use crate::{EngineDescription, EngineReport};

/// Index of an engine in the table. It is never reused for another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineSlot(pub usize);

/// A change of an engine's state that a load report showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    /// No change.
    None,
    /// The engine restarted, so its cache is empty.
    Restarted,
    /// The engine no longer takes new work.
    BeganDraining,
}

/// All known engines, indexed by identifier and by the models that they serve.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    entries: Vec<EngineEntry>,
    slots: BTreeMap<EngineId, EngineSlot>,
    serving: BTreeMap<ModelId, Vec<EngineSlot>>,
}

impl EngineTable {
    /// Adds an engine or updates its entry. The flag is set if a known engine restarted.
    pub(crate) fn add_or_update(
        &mut self,
        description: EngineDescription,
        now: Timestamp,
    ) -> (EngineSlot, bool) {
        let known = self.slots.get(&description.engine).copied();
        let slot = known.unwrap_or(EngineSlot(self.entries.len()));
        let restarted = known.is_some_and(|slot| {
            let entry = self.entry(slot);
            entry.incarnation != description.incarnation
        });
        let models = description.models.clone();
        match known {
            Some(slot) => self.entry_mut(slot).update(description, now),
            None => {
                self.slots.insert(description.engine.clone(), slot);
                self.entries.push(EngineEntry::new(description, now));
            }
        }
        self.index_models(slot, &models);
        (slot, restarted)
    }

    /// Applies a load report. Ignores reports of unknown engines and of earlier incarnations.
    pub(crate) fn apply_report(
        &mut self,
        report: &EngineReport,
    ) -> Option<(EngineSlot, ReportEffect)> {
        let slot = self.slot(&report.engine)?;
        let entry = self.entry_mut(slot);
        if report.incarnation < entry.incarnation || entry.availability == Availability::Gone {
            return None;
        }
        let restarted = report.incarnation > entry.incarnation;
        let began_draining = report.draining && entry.availability == Availability::Serving;
        entry.apply_report(report);
        if began_draining {
            entry.availability = Availability::Leaving;
        }
        if entry.models != report.models {
            entry.models.clone_from(&report.models);
            self.index_models(slot, &report.models);
        }
        let effect = match (restarted, began_draining) {
            (true, _) => ReportEffect::Restarted,
            (false, true) => ReportEffect::BeganDraining,
            (false, false) => ReportEffect::None,
        };
        Some((slot, effect))
    }

    /// Takes an engine out of service: no model lists it any more.
    pub(crate) fn take_out_of_service(
        &mut self,
        engine: &EngineId,
        availability: Availability,
    ) -> Option<EngineSlot> {
        let slot = self.slot(engine)?;
        self.entry_mut(slot).availability = availability;
        self.index_models(slot, &[]);
        Some(slot)
    }

    pub(crate) fn slot(&self, engine: &EngineId) -> Option<EngineSlot> {
        self.slots.get(engine).copied()
    }

    pub(crate) fn entry(&self, slot: EngineSlot) -> &EngineEntry {
        &self.entries[slot.0]
    }

    pub(crate) fn entry_mut(&mut self, slot: EngineSlot) -> &mut EngineEntry {
        &mut self.entries[slot.0]
    }

    /// Number of known engines in any state.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of engines ejected by their circuit breakers.
    pub(crate) fn ejected_count(&self) -> usize {
        self.entries.iter().filter(|entry| entry.breaker.is_ejected()).count()
    }

    /// The engines that serve a model, in slot order.
    pub(crate) fn serving(&self, model: &ModelId) -> &[EngineSlot] {
        self.serving.get(model).map_or(&[], Vec::as_slice)
    }

    /// Whether a call of `model` may be sent to the engine at `now`.
    pub(crate) fn is_usable(&self, slot: EngineSlot, model: &ModelId, now: Timestamp) -> bool {
        let entry = self.entry(slot);
        entry.accepts(now) && entry.models.contains(model)
    }

    /// Draws up to `count` usable engines of a model at random, without repetition.
    pub(crate) fn sample(
        &self,
        model: &ModelId,
        count: usize,
        random: &mut ChaCha8Rng,
        now: Timestamp,
    ) -> Vec<EngineSlot> {
        let serving = self.serving(model);
        if serving.len() <= count {
            return serving.iter().copied().filter(|slot| self.entry(*slot).accepts(now)).collect();
        }
        let mut sampled = Vec::with_capacity(count);
        for _ in 0..count {
            let slot = serving[random.random_range(0..serving.len())];
            if !sampled.contains(&slot) && self.entry(slot).accepts(now) {
                sampled.push(slot);
            }
        }
        if sampled.is_empty() {
            // Almost all engines are unusable: check every one rather than give up.
            sampled =
                serving.iter().copied().filter(|slot| self.entry(*slot).accepts(now)).collect();
        }
        sampled
    }

    /// Lists the engine under exactly these models, if it is in service.
    fn index_models(&mut self, slot: EngineSlot, models: &[ModelId]) {
        for serving in self.serving.values_mut() {
            serving.retain(|other| *other != slot);
        }
        if self.entry(slot).availability != Availability::Serving {
            return;
        }
        for model in models {
            let serving = self.serving.entry(model.clone()).or_default();
            let index = serving.partition_point(|other| *other < slot);
            serving.insert(index, slot);
        }
    }
}
