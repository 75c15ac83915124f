//! Which share of the requests other regions take: none while the own region's servers answer as soon.
//!
//! What crosses to another region pays the way there and back and dear bytes: a turn carries its whole
//! history. It is worth that where the own region's servers are lost or so loaded that callers wait
//! much longer. No gateway knows the load that others make; the time until answers begin tells of
//! it, and holds the way to other regions already. Other regions are not tried while the own one is
//! fine. Once it is not, they are taken to answer as soon as the own one did at its best, until a few
//! requests there have told. The share grows with what is gained, so that gateways that all see the
//! same do not leave the region together.

use dahlia_types::{Duration, Timestamp};

use crate::Affinity;
use crate::faded_mean::FadedMean;
use crate::rendezvous::mix;
use crate::server::Server;

/// Seconds in which a sample of the own region fades: a burst shows within a second or two.
const OWN_SPAN_S: f64 = 2.0;
/// The same for other regions, where samples are rarer.
const OTHER_SPAN_S: f64 = 4.0;
/// Samples, faded, from which on a mean says anything.
const LEAST_WEIGHT: f64 = 2.0;
/// Samples, faded, from which on a mean may be the best one: fewer are short by chance.
const LEAST_WEIGHT_OF_BEST: f64 = 4.0;
/// The most that leaves a region because its answers are late: some must stay to tell when they no
/// longer are.
const MOST_LATE_SHARE: f64 = 0.7;
/// The part of a region's slots that must take requests, below which other regions take what is
/// missing at once, before answers are late.
const LEAST_HEALTHY_SHARE: f64 = 0.5;

/// How soon servers of a service answered of late, in the own region and in others.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Overflow {
    own: FadedMean,
    other: FadedMean,
    /// The least mean of the own region so far, in microseconds.
    best: Option<f64>,
}

impl Default for Overflow {
    fn default() -> Self {
        Self { own: FadedMean::new(OWN_SPAN_S), other: FadedMean::new(OTHER_SPAN_S), best: None }
    }
}

impl Overflow {
    /// An answer of a server in the own or another region began after this time.
    pub(crate) fn record_response_time(&mut self, is_own: bool, time: Duration, now: Timestamp) {
        if !is_own {
            self.other.add(time, now);
            return;
        }
        self.own.add(time, now);
        let mean = self.own.mean(LEAST_WEIGHT_OF_BEST, now);
        self.best = mean.into_iter().chain(self.best).min_by(f64::total_cmp);
    }

    /// The share of requests that other regions answer sooner by more than `margin`.
    pub(crate) fn late_share(&self, margin: Duration, now: Timestamp) -> f64 {
        let Some(own) = self.own.mean(LEAST_WEIGHT, now) else { return 0.0 };
        let Some(other) = self.other.mean(LEAST_WEIGHT, now).or(self.best) else { return 0.0 };
        let worth = other + margin.as_micros() as f64;
        (1.0 - worth / own.max(1.0)).clamp(0.0, MOST_LATE_SHARE)
    }
}

/// The share of requests that a region's servers cannot be expected to bear, when servers with so many
/// of its slots take requests.
pub(crate) fn lost_share(healthy_slots: u64, listed_slots: u64) -> f64 {
    let healthy = healthy_slots as f64 / listed_slots.max(1) as f64;
    (1.0 - healthy / LEAST_HEALTHY_SHARE).max(0.0)
}

/// Slots of some servers.
pub(crate) fn slots<'a>(servers: impl Iterator<Item = &'a Server>) -> u64 {
    servers.map(|server| u64::from(server.record.slots)).sum()
}

/// Whether a request is among a share of them. All requests of a program are or are not, at all
/// gateways of a region that see the same share, so that one server goes on holding what they need;
/// others are drawn.
pub(crate) fn is_among(share: f64, affinity: Option<Affinity>, draw: u64) -> bool {
    let key = match affinity {
        Some(Affinity::Program(program)) => mix(program),
        _ => draw,
    };
    (key as f64) < share * u64::MAX as f64
}
