//! Session affinity: a program stays with its engine; calls are served first come, first served.

use dahlia_types::Timestamp;
use rand_chacha::ChaCha8Rng;

use super::least_loaded::least_loaded;
use super::{Placement, PlacementRequest, Policy};
use crate::engine_table::EngineTable;

/// Chooses the engine that served the program last while it is usable, else the least loaded one.
#[derive(Debug, Default)]
pub(super) struct StickyFcfs;

impl Policy for StickyFcfs {
    fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        engines: &EngineTable,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        examined: &mut u64,
    ) -> Placement {
        if let Some(slot) = request.last_engine {
            *examined += 1;
            if engines.is_usable(slot, request.model, now) {
                return Placement::Engine { slot, copy_from: None };
            }
        }
        match least_loaded(request, engines, random, now, examined) {
            Some(slot) => Placement::Engine { slot, copy_from: None },
            None => Placement::NoEngine,
        }
    }
}
