//! What is known of the engines: late reports, corrected by what was dispatched since.

mod entry;

use std::collections::BTreeMap;

use dahlia_types::{EngineId, ModelId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

pub(crate) use self::entry::{Availability, EngineEntry};
use crate::{EngineDescription, EngineReport};

/// Place of an engine in the table; never used again for another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineSlot(pub usize);

/// What a report showed beyond the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportEffect {
    /// Nothing.
    None,
    /// The engine is in a new life: its cache is empty.
    Restarted,
    /// It takes no new work any more.
    BeganDraining,
}

/// All engines, and which serve which model.
#[derive(Debug, Default)]
pub(crate) struct EngineTable {
    entries: Vec<EngineEntry>,
    slots: BTreeMap<EngineId, EngineSlot>,
    serving: BTreeMap<ModelId, Vec<EngineSlot>>,
}

impl EngineTable {
    /// Adds an engine or replaces what was known; tells whether its life is a new one.
    pub(crate) fn join(&mut self, joined: EngineDescription, now: Timestamp) -> (EngineSlot, bool) {
        let known = self.slots.get(&joined.engine).copied();
        let slot = known.unwrap_or(EngineSlot(self.entries.len()));
        let restarted = known.is_some_and(|slot| {
            let entry = self.entry(slot);
            entry.incarnation != joined.incarnation
        });
        let models = joined.models.clone();
        match known {
            Some(slot) => self.entry_mut(slot).rejoin(joined, now),
            None => {
                self.slots.insert(joined.engine.clone(), slot);
                self.entries.push(EngineEntry::new(joined, now));
            }
        }
        self.file(slot, &models);
        (slot, restarted)
    }

    /// Takes a report in. None for an engine that is not known or for an earlier life.
    pub(crate) fn report(&mut self, report: &EngineReport) -> Option<(EngineSlot, ReportEffect)> {
        let slot = self.slot(&report.engine)?;
        let entry = self.entry_mut(slot);
        if report.incarnation < entry.incarnation || entry.availability == Availability::Gone {
            return None;
        }
        let restarted = report.incarnation > entry.incarnation;
        let began_draining = report.draining && entry.availability == Availability::Serving;
        entry.take_report(report);
        if began_draining {
            entry.availability = Availability::Leaving;
        }
        if entry.models != report.models {
            entry.models.clone_from(&report.models);
            self.file(slot, &report.models);
        }
        let effect = match (restarted, began_draining) {
            (true, _) => ReportEffect::Restarted,
            (false, true) => ReportEffect::BeganDraining,
            (false, false) => ReportEffect::None,
        };
        Some((slot, effect))
    }

    /// Takes an engine out of service.
    pub(crate) fn withdraw(&mut self, engine: &EngineId, to: Availability) -> Option<EngineSlot> {
        let slot = self.slot(engine)?;
        self.entry_mut(slot).availability = to;
        self.file(slot, &[]);
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

    /// Engines known, whatever their state.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Engines that are ejected.
    pub(crate) fn ejected(&self) -> usize {
        self.entries.iter().filter(|entry| entry.circuit.is_open()).count()
    }

    /// Engines that serve a model, in order of their slots.
    pub(crate) fn serving(&self, model: &ModelId) -> &[EngineSlot] {
        self.serving.get(model).map_or(&[], Vec::as_slice)
    }

    /// Whether a call of `model` may be sent to the engine at `now`.
    pub(crate) fn usable(&self, slot: EngineSlot, model: &ModelId, now: Timestamp) -> bool {
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
        let mut drawn = Vec::with_capacity(count);
        for _ in 0..count {
            let slot = serving[random.random_range(0..serving.len())];
            if !drawn.contains(&slot) && self.entry(slot).accepts(now) {
                drawn.push(slot);
            }
        }
        if drawn.is_empty() {
            // Nearly all are out of use: look at every one rather than give up.
            drawn = serving.iter().copied().filter(|slot| self.entry(*slot).accepts(now)).collect();
        }
        drawn
    }

    /// Files the engine under exactly these models, if it is in service.
    fn file(&mut self, slot: EngineSlot, models: &[ModelId]) {
        for serving in self.serving.values_mut() {
            serving.retain(|other| *other != slot);
        }
        if self.entry(slot).availability != Availability::Serving {
            return;
        }
        for model in models {
            let serving = self.serving.entry(model.clone()).or_default();
            let place = serving.partition_point(|other| *other < slot);
            serving.insert(place, slot);
        }
    }
}
