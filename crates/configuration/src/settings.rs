//! Settings of the configuration: how changes are written, how they spread, and orders to engines.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Settings of a daemon's part in the configuration. Durations are in microseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigurationSettings {
    /// Time after which an operator's change that is still undecided ends with the outcome known so
    /// far.
    pub accept_within: Duration,
    /// Pause before a read or swap is retried.
    pub retry_pause: Duration,
    /// Daemons per zone that watch the service. The others get new generations from other daemons.
    pub watchers_per_zone: u32,
    /// Interval between reads of the service by all daemons together.
    pub read_interval: Duration,
    /// Daemons to which a new generation is announced in each round.
    pub fanout: u32,
    /// Rounds in which a daemon announces a generation that is new to it.
    pub announce_rounds: u32,
    /// Interval between two such rounds.
    pub announce_interval: Duration,
    /// Interval at which each daemon compares its generation with one other daemon.
    pub compare_interval: Duration,
    /// Peers that a starting daemon asks before it serves.
    pub peers_asked: u32,
    /// Time for which a starting daemon that cannot read the service waits before it relies on its
    /// peers: an accepted generation reaches every daemon within it.
    pub spread_within: Duration,
    /// Earlier generations whose records a daemon keeps.
    pub history: u32,
    /// Bytes per second that loads may read from the weight store.
    pub weight_store_rate: u64,
    /// Most loads in progress at once over all engines.
    pub loads_at_once: u32,
    /// Delay after which an order without a visible effect is sent again. The driver gives up an
    /// order that was not answered within it, and engines report more often.
    pub order_resend: Duration,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            accept_within: Duration::from_secs(5),
            retry_pause: Duration::from_millis(200),
            watchers_per_zone: 2,
            read_interval: Duration::from_secs(1),
            fanout: 3,
            announce_rounds: 4,
            announce_interval: Duration::from_millis(300),
            compare_interval: Duration::from_secs(2),
            peers_asked: 9,
            spread_within: Duration::from_secs(7),
            history: 8,
            weight_store_rate: 1 << 30,
            loads_at_once: 2,
            order_resend: Duration::from_secs(5),
        }
    }
}

impl ConfigurationSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// [`InvalidSetting`] naming the field and what is allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        let millis = |name: &str, value: Duration, low: u64, high: u64| {
            check_range(&format!("configuration.{name}"), value.as_millis(), low, high)
        };
        millis("accept_within", self.accept_within, 100, 60_000)?;
        millis("retry_pause", self.retry_pause, 10, 10_000)?;
        millis("read_interval", self.read_interval, 100, 600_000)?;
        millis("announce_interval", self.announce_interval, 10, 10_000)?;
        millis("compare_interval", self.compare_interval, 100, 60_000)?;
        millis("spread_within", self.spread_within, 0, 600_000)?;
        millis("order_resend", self.order_resend, 100, 600_000)?;
        let count = |name: &str, value: u32, high: u32| {
            check_range(&format!("configuration.{name}"), value, 1, high)
        };
        count("watchers_per_zone", self.watchers_per_zone, 1_000)?;
        count("fanout", self.fanout, 100)?;
        count("announce_rounds", self.announce_rounds, 100)?;
        count("peers_asked", self.peers_asked, 1_000)?;
        count("history", self.history, 1_000)?;
        count("loads_at_once", self.loads_at_once, 10_000)?;
        check_range("configuration.weight_store_rate", self.weight_store_rate, 1, u64::MAX)
    }
}
