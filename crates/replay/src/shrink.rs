//! The shortest schedule that still fails.

use crate::Promise;
use crate::run::run;
use crate::switches::Switches;
use crate::trace::Trace;

/// Drops events of a failing trace one by one, over and over, for as long as `promise` is still
/// broken with the same seed. Gives the shortest trace found.
pub fn shrink(trace: &Trace, seed: u64, promise: Promise, switches: &Switches) -> Trace {
    let mut shortest = trace.clone();
    shortest.seed = seed;
    shortest.seeds = 1;
    shortest.promise = promise;
    loop {
        let before = shortest.events.len();
        let mut place = shortest.events.len();
        while place > 0 {
            place -= 1;
            let mut candidate = shortest.clone();
            candidate.events.remove(place);
            if run(&candidate, seed, switches).judgement.breaks(promise) {
                shortest = candidate;
            }
        }
        if shortest.events.len() == before {
            return shortest;
        }
    }
}
