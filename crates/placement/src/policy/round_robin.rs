//! Uses engines in turn.

use std::collections::BTreeMap;

use dahlia_types::{ModelId, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Placement, PlacementRequest, Policy};
use crate::engine_table::EngineTable;

/// Cycles through the engines of each model from a random start.
#[derive(Debug, Default)]
pub(super) struct RoundRobin {
    next: BTreeMap<ModelId, usize>,
}

impl Policy for RoundRobin {
    fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        engines: &EngineTable,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        examined: &mut u64,
    ) -> Placement {
        let serving = engines.serving(request.model);
        if serving.is_empty() {
            return Placement::NoEngine;
        }
        if !self.next.contains_key(request.model) {
            let start = random.random_range(0..serving.len());
            self.next.insert(request.model.clone(), start);
        }
        let next = self.next.entry(request.model.clone()).or_default();
        for _ in 0..serving.len() {
            let slot = serving[*next % serving.len()];
            *next = (*next + 1) % serving.len();
            *examined += 1;
            if engines.entry(slot).accepts(now) {
                return Placement::Engine { slot, copy_from: None };
            }
        }
        Placement::NoEngine
    }
}
