//! The time per token of a server's streams, over the long and the short term.
//!
//! Some servers are always slower than others, and any server may be slow for some hundred
//! milliseconds. The pauses between the events of a stream show both, long before a mean over whole
//! answers does.

use dahlia_types::Timestamp;

use crate::TokenTimes;

/// Seconds in which the weight of a token decays to 1/e in the long-term estimate.
const LONG_TERM_TIME_CONSTANT_S: f64 = 10.0;
/// The same for the short-term estimate. A slow period lasts only some hundred milliseconds.
const SHORT_TERM_TIME_CONSTANT_S: f64 = 0.25;
/// The long-term estimate starts with this many tokens at the service's mean. It is the length of
/// one answer, so that a single short stream does not decide.
const LONG_TERM_PRIOR_TOKENS: f64 = 32.0;
/// The short-term estimate starts with this many tokens at the long-term mean. The tokens of a few
/// events say little: the prefill of one long prompt beside them delays them as much as a slow
/// period.
const SHORT_TERM_PRIOR_TOKENS: f64 = 64.0;

/// Long-term and short-term estimates of the time that one server takes per token.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TimePerToken {
    long_term: DecayingTokenTimes,
    short_term: DecayingTokenTimes,
}

impl Default for TimePerToken {
    fn default() -> Self {
        Self {
            long_term: DecayingTokenTimes::new(LONG_TERM_TIME_CONSTANT_S),
            short_term: DecayingTokenTimes::new(SHORT_TERM_TIME_CONSTANT_S),
        }
    }
}

impl TimePerToken {
    /// Records the times of tokens that arrived up to `at`.
    pub(crate) fn record(&mut self, times: TokenTimes, at: Timestamp) {
        self.long_term.record(times, at);
        self.short_term.record(times, at);
    }

    /// Estimates the microseconds per token, given the mean of the whole service.
    pub(crate) fn estimate_micros(&self, service_mean: f64, now: Timestamp) -> f64 {
        let long_term = self.long_term.mean_with_prior(service_mean, LONG_TERM_PRIOR_TOKENS, now);
        self.short_term.mean_with_prior(long_term, SHORT_TERM_PRIOR_TOKENS, now)
    }

    /// Returns the long-term mean in microseconds per token, or `None` without samples.
    pub(crate) fn long_term_micros(&self) -> Option<f64> {
        (self.long_term.tokens > 0.0).then(|| self.long_term.micros / self.long_term.tokens)
    }
}

/// A sum of token times in which the weight of each token decays with its age.
#[derive(Debug, Clone, Copy)]
struct DecayingTokenTimes {
    time_constant_s: f64,
    tokens: f64,
    micros: f64,
    updated_at: Timestamp,
}

impl DecayingTokenTimes {
    fn new(time_constant_s: f64) -> Self {
        Self { time_constant_s, tokens: 0.0, micros: 0.0, updated_at: Timestamp::ZERO }
    }

    /// Other daemons report their tokens with a delay, so times may be recorded out of order.
    fn record(&mut self, times: TokenTimes, at: Timestamp) {
        let decay = self.decay(at);
        let weight = (-self.updated_at.since(at).as_secs_f64() / self.time_constant_s).exp();
        self.tokens = self.tokens * decay + f64::from(times.tokens) * weight;
        self.micros = self.micros * decay + f64::from(times.micros) * weight;
        self.updated_at = self.updated_at.max(at);
    }

    /// Returns the mean in microseconds per token, with `tokens` further tokens of `micros` each as
    /// the prior.
    fn mean_with_prior(&self, micros: f64, tokens: f64, now: Timestamp) -> f64 {
        let decay = self.decay(now);
        (self.micros * decay + micros * tokens) / (self.tokens * decay + tokens)
    }

    fn decay(&self, now: Timestamp) -> f64 {
        (-now.since(self.updated_at).as_secs_f64() / self.time_constant_s).exp()
    }
}
