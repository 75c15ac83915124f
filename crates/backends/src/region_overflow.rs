//! The share of requests that overflows to other regions.
//!
//! A request to another region pays for the round trip and for expensive bytes: a turn carries its
//! whole history. That is worth it only where the own region's servers are lost, or so loaded that
//! callers wait much longer. No gateway knows the load that other gateways cause, but the time
//! until answers begin reflects it, and for other regions it already includes the round trip.
//!
//! While the own region answers in time, nothing is sent to other regions. When it no longer does,
//! other regions are assumed to answer as soon as the own one did at its best, until a few requests
//! there have been measured. The share grows with the time saved, so that gateways that all see the
//! same do not leave the region at once.

use dahlia_types::{Duration, Timestamp};

use crate::Affinity;
use crate::decaying_mean::DecayingMean;
use crate::rendezvous::mix;
use crate::server::Server;

/// Seconds in which the weight of a sample of the own region decays to 1/e: a burst shows within a
/// second or two.
const OWN_REGION_TIME_CONSTANT_S: f64 = 2.0;
/// The same for other regions, where samples are rarer.
const OTHER_REGIONS_TIME_CONSTANT_S: f64 = 4.0;
/// The decayed weight of the samples that a mean needs.
const MIN_WEIGHT: f64 = 2.0;
/// The decayed weight that a mean needs to count as the best one: fewer samples may be low by
/// chance.
const MIN_WEIGHT_FOR_BEST: f64 = 4.0;
/// The maximum share that leaves a region because its answers are late. Some requests must stay, to
/// show when answers are no longer late.
const MAX_SLOW_SHARE: f64 = 0.7;
/// Below this part of a region's slots that take requests, other regions receive the missing part
/// at once, before answers are late.
const MIN_HEALTHY_SHARE: f64 = 0.5;

/// How soon servers of a service answered recently, in the own region and in others.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RegionOverflow {
    own_region: DecayingMean,
    other_regions: DecayingMean,
    /// The lowest mean of the own region so far, in microseconds.
    best: Option<f64>,
}

impl Default for RegionOverflow {
    fn default() -> Self {
        Self {
            own_region: DecayingMean::new(OWN_REGION_TIME_CONSTANT_S),
            other_regions: DecayingMean::new(OTHER_REGIONS_TIME_CONSTANT_S),
            best: None,
        }
    }
}

impl RegionOverflow {
    /// Records the time until the answer of a server began.
    pub(crate) fn record_response_time(
        &mut self,
        is_own_region: bool,
        time: Duration,
        now: Timestamp,
    ) {
        if !is_own_region {
            self.other_regions.record(time, now);
            return;
        }
        self.own_region.record(time, now);
        let mean = self.own_region.mean(MIN_WEIGHT_FOR_BEST, now);
        self.best = mean.into_iter().chain(self.best).min_by(f64::total_cmp);
    }

    /// Returns the share of requests to send to other regions because these answer sooner by more
    /// than `margin`.
    pub(crate) fn slow_share(&self, margin: Duration, now: Timestamp) -> f64 {
        let Some(own) = self.own_region.mean(MIN_WEIGHT, now) else { return 0.0 };
        let Some(other) = self.other_regions.mean(MIN_WEIGHT, now).or(self.best) else {
            return 0.0;
        };
        let threshold = other + margin.as_micros() as f64;
        (1.0 - threshold / own.max(1.0)).clamp(0.0, MAX_SLOW_SHARE)
    }
}

/// Returns the share of requests that a region's servers cannot be expected to handle when only
/// `healthy_slots` of its slots take requests.
pub(crate) fn missing_capacity_share(healthy_slots: u64, listed_slots: u64) -> f64 {
    let healthy = healthy_slots as f64 / listed_slots.max(1) as f64;
    (1.0 - healthy / MIN_HEALTHY_SHARE).max(0.0)
}

/// Sums the slots of some servers.
pub(crate) fn total_slots<'a>(servers: impl Iterator<Item = &'a Server>) -> u64 {
    servers.map(|server| u64::from(server.record.slots)).sum()
}

/// Whether a request belongs to a share of all requests. The requests of one program all do or all
/// do not, at every gateway of a region that sees the same share, so that one server keeps holding
/// what they need. Other requests are drawn at random.
pub(crate) fn is_in_share(share: f64, affinity: Option<Affinity>, draw: u64) -> bool {
    let key = match affinity {
        Some(Affinity::Program(program)) => mix(program),
        _ => draw,
    };
    (key as f64) < share * u64::MAX as f64
}
