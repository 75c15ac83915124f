//! Which shares of the load fall to which shared prompts, as this daemon sees it.
//!
//! Callers come to daemons at random, so each daemon sees about the same shares as all together, but
//! guesses them from the few requests that it takes. A prompt has the servers of the highest guess,
//! since each daemon that guesses high sends requests to further ones; so guesses are kept low until
//! many requests speak for more.

use std::collections::BTreeMap;

use dahlia_types::Timestamp;

/// Seconds in which a request's weight fades to 1/e: two hundred requests on a daemon that takes ten
/// in a second, with which the guess of a sixteenth is off by a third.
const SPAN_S: f64 = 20.0;
/// Requests with other prompts that every guess begins with. The first request of a daemon would
/// else say that its prompt is all of the load.
const ASSUMED_OTHERS: f64 = 30.0;
/// Prompts that are counted; beyond, the lightest is forgotten. Far more than can be kept warm.
const MOST_PROMPTS: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Faded {
    weight: f64,
    at: Timestamp,
}

impl Faded {
    fn now(&self, now: Timestamp) -> f64 {
        self.weight * (-now.since(self.at).as_secs_f64() / SPAN_S).exp()
    }

    fn add(&mut self, now: Timestamp) {
        *self = Self { weight: self.now(now) + 1.0, at: now };
    }
}

/// Faded counts of requests by shared prompt.
#[derive(Debug, Default)]
pub(crate) struct PromptShares {
    counts: BTreeMap<u64, Faded>,
    total: Option<Faded>,
}

impl PromptShares {
    /// Counts a request, and gives the share of those with the same prompt among all counted.
    pub(crate) fn note(&mut self, prompt: u64, now: Timestamp) -> f64 {
        if self.counts.len() >= MOST_PROMPTS && !self.counts.contains_key(&prompt) {
            self.forget_lightest(now);
        }
        let none = Faded { weight: 0.0, at: now };
        let count = self.counts.entry(prompt).or_insert(none);
        count.add(now);
        let total = self.total.get_or_insert(none);
        total.add(now);
        count.now(now) / (total.now(now) + ASSUMED_OTHERS)
    }

    fn forget_lightest(&mut self, now: Timestamp) {
        let counts = self.counts.iter();
        let lightest =
            counts.min_by(|(_, left), (_, right)| left.now(now).total_cmp(&right.now(now)));
        if let Some(prompt) = lightest.map(|(prompt, _)| *prompt) {
            self.counts.remove(&prompt);
        }
    }
}
