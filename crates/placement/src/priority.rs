//! Order among calls: least attained service of the program first, with aging.
//!
//! A call's priority is a moment: when it became ready, set back by the service that its program
//! has had (program-level least attained service, Autellix 2025). Since time passes for everyone,
//! a waiting call overtakes later ones by itself, also in an engine's queue that never looks at
//! it again: nothing that becomes ready more than the largest set-back later can pass it.

use dahlia_types::{Duration, Timestamp};

use crate::PrioritySettings;

/// Weight of an ordinary program.
pub(crate) const ORDINARY_WEIGHT: u32 = 100;

/// What a call's priority depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim {
    /// When it became ready.
    pub ready: Timestamp,
    /// Service that its program has had.
    pub attained: Duration,
    /// Prefill that it needs on the engine with most of its prompt, in seconds.
    pub uncached: f64,
    /// The program's weight.
    pub weight: u32,
}

/// The priority of a call, in microseconds.
///
/// Short prefills go first (shortest job first): they are quick, and what they have cached would
/// be lost while they wait.
pub(crate) fn priority(settings: &PrioritySettings, claim: Claim) -> u64 {
    let weighted = f64::from(ORDINARY_WEIGHT) / f64::from(claim.weight.max(1));
    let attained = claim.attained.as_secs_f64() * settings.attained_factor * weighted;
    let uncached = claim.uncached * settings.uncached_factor;
    let setback = Duration::from_secs_f64(attained + uncached).min(settings.most_setback);
    (claim.ready + setback).0
}
