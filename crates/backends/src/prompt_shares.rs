//! Estimates of the share of the load that each shared prompt has.
//!
//! Callers reach daemons at random, so each daemon sees about the same shares as all of them
//! together, but it estimates them from the few requests that it receives. The highest estimate
//! decides how many servers a prompt uses, because each daemon with a high estimate sends requests
//! to further servers. Estimates are therefore kept low until many requests support a higher one.

use std::collections::BTreeMap;

use dahlia_types::Timestamp;

/// Seconds in which the weight of a request decays to 1/e. On a daemon with ten requests a second,
/// two hundred requests count, with which the estimate of a share of one sixteenth is off by a
/// third.
const TIME_CONSTANT_S: f64 = 20.0;
/// Every estimate starts with this many requests for other prompts. Otherwise the first request of
/// a daemon would say that its prompt is the whole load.
const ASSUMED_OTHER_REQUESTS: f64 = 30.0;
/// The maximum number of prompts that are counted; above it, the one with the lowest count is
/// removed. It is far more than the number of prompts that servers can keep cached.
const MAX_PROMPTS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    weight: f64,
    updated_at: Timestamp,
}

impl DecayingCount {
    fn value(&self, now: Timestamp) -> f64 {
        self.weight * (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp()
    }

    fn increment(&mut self, now: Timestamp) {
        *self = Self { weight: self.value(now) + 1.0, updated_at: now };
    }
}

/// Decaying counts of requests by shared prompt.
#[derive(Debug, Default)]
pub(crate) struct PromptShares {
    counts: BTreeMap<u64, DecayingCount>,
    total: Option<DecayingCount>,
}

impl PromptShares {
    /// Counts a request and returns the estimated share of requests with the same prompt.
    pub(crate) fn record_request(&mut self, prompt: u64, now: Timestamp) -> f64 {
        if self.counts.len() >= MAX_PROMPTS && !self.counts.contains_key(&prompt) {
            self.remove_lowest(now);
        }
        let zero = DecayingCount { weight: 0.0, updated_at: now };
        let count = self.counts.entry(prompt).or_insert(zero);
        count.increment(now);
        let total = self.total.get_or_insert(zero);
        total.increment(now);
        count.value(now) / (total.value(now) + ASSUMED_OTHER_REQUESTS)
    }

    fn remove_lowest(&mut self, now: Timestamp) {
        let counts = self.counts.iter();
        let lowest =
            counts.min_by(|(_, left), (_, right)| left.value(now).total_cmp(&right.value(now)));
        if let Some(prompt) = lowest.map(|(prompt, _)| *prompt) {
            self.counts.remove(&prompt);
        }
    }
}
