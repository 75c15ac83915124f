//! Chooses the engine with the fewest attempts.

use dahlia_types::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::{Placement, PlacementRequest, Policy};
use crate::engine_table::{EngineSlot, EngineTable};

/// Compares all engines by the attempts that they reported and those dispatched since. Ties are
/// broken at random.
#[derive(Debug, Default)]
pub(super) struct LeastLoaded;

impl Policy for LeastLoaded {
    fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        engines: &EngineTable,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        examined: &mut u64,
    ) -> Placement {
        match least_loaded(request, engines, random, now, examined) {
            Some(slot) => Placement::Engine { slot, copy_from: None },
            None => Placement::NoEngine,
        }
    }
}

/// The engine of the request's model with the fewest attempts.
pub(super) fn least_loaded(
    request: &PlacementRequest<'_>,
    engines: &EngineTable,
    random: &mut ChaCha8Rng,
    now: Timestamp,
    examined: &mut u64,
) -> Option<EngineSlot> {
    let serving = engines.serving(request.model);
    let mut best = None;
    let mut fewest = f64::INFINITY;
    let mut ties = 0;
    for slot in serving.iter().copied().filter(|slot| engines.entry(*slot).accepts(now)) {
        *examined += 1;
        let attempts = engines.entry(slot).expected_attempts();
        if attempts < fewest {
            fewest = attempts;
            best = Some(slot);
            ties = 1;
        } else if attempts == fewest {
            ties += 1;
            if random.random_range(0..ties) == 0 {
                best = Some(slot);
            }
        }
    }
    best
}
