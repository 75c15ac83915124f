//! Whether servers of the own zone answer as soon as those of the region's other zones.
//!
//! A near server saves a way between zones, and connections: a gateway that meets fewer servers opens
//! fewer. But callers come to zones unevenly, and a burst of one zone's callers is
//! borne by all servers only if its gateways send to all. No gateway knows the load that others make;
//! the time until answers begin tells of it.

use dahlia_types::{Duration, Timestamp};

use crate::faded_mean::FadedMean;

/// Seconds in which the weight of a sample fades to 1/e: a burst shows within a second or two.
const SPAN_S: f64 = 2.0;
/// Samples, faded, from which on a mean says anything.
const LEAST_WEIGHT: f64 = 2.0;
/// How much later near servers may answer: as a factor, for the scatter of few samples, and as the
/// time of a way between zones and back.
const LATER_FACTOR: f64 = 1.25;
const LATER: Duration = Duration::from_millis(5);
/// One choice in so many is made without regard to zones, so that far servers are known.
const ONE_IN: u64 = 8;

/// How soon the servers of a service answered of late.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Nearness {
    near: FadedMean,
    far: FadedMean,
}

impl Default for Nearness {
    fn default() -> Self {
        Self { near: FadedMean::new(SPAN_S), far: FadedMean::new(SPAN_S) }
    }
}

impl Nearness {
    /// An answer of a near or far server began after this time.
    pub(crate) fn record_response_time(&mut self, is_near: bool, time: Duration, now: Timestamp) {
        let mean = if is_near { &mut self.near } else { &mut self.far };
        mean.add(time, now);
    }

    /// Whether a request that any server may take goes to a near one. `draw` is uniform.
    pub(crate) fn prefers_near(&self, draw: u64, now: Timestamp) -> bool {
        if draw.is_multiple_of(ONE_IN) {
            return false;
        }
        let means = self.near.mean(LEAST_WEIGHT, now).zip(self.far.mean(LEAST_WEIGHT, now));
        means.is_none_or(|(near, far)| near <= far * LATER_FACTOR + LATER.as_micros() as f64)
    }
}
