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

/// The priority, in microseconds, of a call that became ready at `ready`.
pub(crate) fn priority(
    settings: &PrioritySettings,
    ready: Timestamp,
    attained: Duration,
    weight: u32,
) -> u64 {
    let weighted = f64::from(ORDINARY_WEIGHT) / f64::from(weight.max(1));
    let seconds = attained.as_secs_f64() * settings.attained_factor * weighted;
    let setback = Duration::from_secs_f64(seconds).min(settings.most_setback);
    (ready + setback).0
}
