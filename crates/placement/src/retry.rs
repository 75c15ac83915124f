//! Retry budget: retries are limited to a fraction of the successes, so that failures cannot
//! multiply the load (retry budgets, Finagle; Google SRE book, chapter 22).

use crate::FailureSettings;

/// A token bucket that successes fill and retries empty.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    per_success: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new(settings: &FailureSettings) -> Self {
        Self {
            per_success: settings.retries_per_success,
            burst: settings.retry_burst,
            tokens: settings.retry_burst,
        }
    }

    /// Adds the fraction of a retry that a success allows.
    pub(crate) fn record_success(&mut self) {
        self.tokens = (self.tokens + self.per_success).min(self.burst);
    }

    /// Takes one retry from the budget. Returns false if less than one is left.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
