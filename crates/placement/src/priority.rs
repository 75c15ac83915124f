//! Order of calls: least attained service of the program first, with aging.
//!
//! A call's priority is a time: when it became ready, plus a setback that grows with the service
//! that its program attained (program-level least attained service, Autellix 2025). It never
//! changes, so it also holds in an engine's queue that never evaluates it again. A call that
//! becomes ready later than a waiting one by more than the largest setback cannot overtake it.

use dahlia_types::{Duration, Timestamp};

use crate::PrioritySettings;

/// Weight of a program without special urgency.
pub(crate) const DEFAULT_PROGRAM_WEIGHT: u32 = 100;

/// The values from which a call's priority is computed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PriorityInputs {
    /// When the call became ready.
    pub ready_at: Timestamp,
    /// Service that its program attained.
    pub attained_service: Duration,
    /// Prefill that it needs on the engine with most of its prompt cached.
    pub uncached_seconds: f64,
    /// The program's weight.
    pub weight: u32,
}

/// Computes the priority of a call, in microseconds. Lower values are served first.
///
/// Calls with short prefills go first (shortest job first): they finish soon, and their cache could
/// be evicted while they wait.
pub(crate) fn priority(settings: &PrioritySettings, inputs: PriorityInputs) -> u64 {
    let weighted = f64::from(DEFAULT_PROGRAM_WEIGHT) / f64::from(inputs.weight.max(1));
    let attained = inputs.attained_service.as_secs_f64() * settings.attained_factor * weighted;
    let uncached = inputs.uncached_seconds * settings.uncached_factor;
    let setback = Duration::from_secs_f64(attained + uncached).min(settings.most_setback);
    (inputs.ready_at + setback).0
}
