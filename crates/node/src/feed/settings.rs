//! Settings of the feed.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Time without an answer of the source after which a daemon turns to another one, as a multiple of the time between
/// two answers.
const UNANSWERED_FACTOR: f64 = 1.25;

/// Settings of the feed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FeedSettings {
    /// Milliseconds after which a report is too old to rely on.
    pub freshness_ms: u64,
    /// Number of daemons of a zone from which on they share a reader. A reader calls the source about five
    /// times as often as a daemon that reads for itself.
    pub fewest_sharing: usize,
    /// Milliseconds between renewals of a subscription.
    pub renewal_ms: u64,
    /// Milliseconds between two answers of the source to a daemon that reads for itself, at most, while the source
    /// works.
    pub own_read_ms: u64,
}

impl Default for FeedSettings {
    fn default() -> Self {
        Self { freshness_ms: 1_000, fewest_sharing: 6, renewal_ms: 1_000, own_read_ms: 4_000 }
    }
}

impl FeedSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("feed.freshness_ms", self.freshness_ms, 100, 60_000)?;
        check_range("feed.fewest_sharing", self.fewest_sharing, 2, 10_000)?;
        check_range("feed.renewal_ms", self.renewal_ms, 100, 60_000)?;
        check_range("feed.own_read_ms", self.own_read_ms, 100, 60_000)
    }

    pub(super) fn freshness(&self) -> Duration {
        Duration::from_millis(self.freshness_ms)
    }

    pub(super) fn unanswered_limit(&self) -> Duration {
        let own_read = Duration::from_millis(self.own_read_ms);
        Duration::from_secs_f64(own_read.as_secs_f64() * UNANSWERED_FACTOR)
    }

    pub(super) fn renewal(&self) -> Duration {
        Duration::from_millis(self.renewal_ms)
    }
}
