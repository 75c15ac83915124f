//! Whether servers of the own zone answer as soon as those of the region's other zones.
//!
//! A server in the own zone saves a round trip between zones, and connections: a gateway that uses
//! fewer servers opens fewer of them. But callers come to zones unevenly, and all servers share a
//! burst of one zone's callers only if that zone's gateways send to all of them. No gateway knows
//! the load that other gateways cause, but the time until answers begin reflects it.

use dahlia_types::{Duration, Timestamp};

use crate::decaying_mean::DecayingMean;

/// Seconds in which the weight of a sample decays to 1/e: a burst shows within a second or two.
const TIME_CONSTANT_S: f64 = 2.0;
/// The decayed weight of the samples that a mean needs.
const MIN_WEIGHT: f64 = 2.0;
/// How much later servers of the own zone may answer: a factor, which allows for the scatter of few
/// samples, and the time of a round trip between zones.
const TOLERATED_DELAY_FACTOR: f64 = 1.25;
const TOLERATED_DELAY: Duration = Duration::from_millis(5);
/// One in this many choices ignores zones, so that servers of other zones are sampled too.
const EXPLORATION_INTERVAL: u64 = 8;

/// How soon the servers of a service answered recently, in the own zone and in other zones.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZonePreference {
    own_zone: DecayingMean,
    other_zones: DecayingMean,
}

impl Default for ZonePreference {
    fn default() -> Self {
        Self {
            own_zone: DecayingMean::new(TIME_CONSTANT_S),
            other_zones: DecayingMean::new(TIME_CONSTANT_S),
        }
    }
}

impl ZonePreference {
    /// Records the time until the answer of a server began.
    pub(crate) fn record_response_time(
        &mut self,
        is_own_zone: bool,
        time: Duration,
        now: Timestamp,
    ) {
        let mean = if is_own_zone { &mut self.own_zone } else { &mut self.other_zones };
        mean.record(time, now);
    }

    /// Whether a request that any server may take goes to the own zone. `draw` is uniformly random.
    pub(crate) fn prefers_own_zone(&self, draw: u64, now: Timestamp) -> bool {
        if draw.is_multiple_of(EXPLORATION_INTERVAL) {
            return false;
        }
        let means = self.own_zone.mean(MIN_WEIGHT, now).zip(self.other_zones.mean(MIN_WEIGHT, now));
        means.is_none_or(|(own_zone, other_zones)| {
            own_zone <= other_zones * TOLERATED_DELAY_FACTOR + TOLERATED_DELAY.as_micros() as f64
        })
    }
}
