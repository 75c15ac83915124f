//! The shortest schedule that still fails.

use crate::checker::Violation;
use crate::run::run;
use crate::switches::Switches;
use crate::trace::{Event, Trace};

/// Drops events of a failing trace one by one, over and over, for as long as the promise of
/// `violation` is still broken with the same seed. Gives the shortest trace found.
///
/// A stated outcome speaks of the whole workload, so that only faults are dropped when one of
/// these failed; otherwise stated outcomes are dropped too.
pub fn shrink(trace: &Trace, seed: u64, violation: &Violation, switches: &Switches) -> Trace {
    let mut shortest = trace.clone();
    shortest.seed = seed;
    shortest.seeds = 1;
    if !violation.is_stated {
        shortest.promise = violation.promise;
        shortest.expectations.clear();
    }
    loop {
        let before = shortest.events.len();
        let mut place = shortest.events.len();
        while place > 0 {
            place -= 1;
            let is_work = matches!(shortest.events[place].event, Event::Work(_));
            if violation.is_stated && is_work {
                continue;
            }
            let mut candidate = shortest.clone();
            candidate.events.remove(place);
            if fails_alike(&candidate, seed, violation, switches) {
                shortest = candidate;
            }
        }
        if shortest.events.len() == before {
            return shortest;
        }
    }
}

fn fails_alike(trace: &Trace, seed: u64, violation: &Violation, switches: &Switches) -> bool {
    let judgement = run(trace, seed, switches).judgement;
    let is_alike = |found: &Violation| {
        found.promise == violation.promise && found.is_stated == violation.is_stated
    };
    judgement.violations.iter().any(is_alike)
}
