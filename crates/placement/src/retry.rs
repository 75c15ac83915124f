//! The budget for retries: a fraction of the recent successes, so that failures cannot multiply
//! the load (retry budgets, Finagle; Google SRE book, chapter 22).

use crate::FailureSettings;

/// A token bucket that successes fill and retries empty.
#[derive(Debug, Clone)]
pub(crate) struct RetryBudget {
    per_success: f64,
    burst: f64,
    saved: f64,
}

impl RetryBudget {
    pub(crate) fn new(settings: &FailureSettings) -> Self {
        Self {
            per_success: settings.retries_per_success,
            burst: settings.retry_burst,
            saved: settings.retry_burst,
        }
    }

    /// Notes a success.
    pub(crate) fn succeeded(&mut self) {
        self.saved = (self.saved + self.per_success).min(self.burst);
    }

    /// Takes one retry, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
