//! One run of a trace.

use crate::checker::{Judgement, judge};
use crate::switches::Switches;
use crate::trace::Trace;
use crate::world::{Observations, World};

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// The seed.
    pub seed: u64,
    /// What the checker found.
    pub judgement: Judgement,
}

/// Runs a trace with one seed.
pub fn run(trace: &Trace, seed: u64, switches: &Switches) -> Verdict {
    let seen = World::new(trace, seed, switches.clone()).run();
    Verdict { seed, judgement: judge(trace, &seen) }
}

/// Runs a trace with one seed and gives everything that was seen, for a person to read.
pub fn observe(trace: &Trace, seed: u64, switches: &Switches) -> Observations {
    World::new(trace, seed, switches.clone()).run()
}
