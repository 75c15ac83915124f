//! Bounds on requests that wait, validated when settings are loaded.

use dahlia_types::{Duration, InvalidSetting, check_range};
use serde::{Deserialize, Serialize};

/// Bounds on requests that wait for one service at one gateway.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WaitingSettings {
    /// Whether requests wait while all servers are full. Otherwise they are refused at once.
    pub enabled: bool,
    /// The most requests that wait. 0 refuses all at once.
    pub most_waiting: usize,
    /// The most kilobytes that are held for them.
    pub most_waiting_kb: usize,
    /// The largest share of its caller's time that a request waits. A caller that is refused then comes
    /// back within as much time again, and has half of its time left to be served.
    pub wait_share: f64,
    /// Half-life in milliseconds of the count of ended attempts, from which the rate at which a queue
    /// empties is estimated.
    pub drain_half_life_ms: u64,
    /// Share of its time that a program needs if nothing delays it. The rest is its slack, which its
    /// first turn must leave to those that follow.
    pub needed_share: f64,
    /// Half-life in milliseconds of the counts of started programs and of their turns.
    pub programs_half_life_ms: u64,
    /// Milliseconds after all servers were full for which no more programs start than can be served to
    /// their end.
    pub scarce_ms: u64,
    /// Share of the rate at which a queue empties that is given to callers told to come back. The rest
    /// is for new ones.
    pub return_share: f64,
    /// The shortest time in milliseconds after which a refused caller comes back.
    pub least_return_ms: u64,
    /// The longest time in milliseconds after which a refused caller comes back.
    pub most_return_ms: u64,
}

impl Default for WaitingSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            most_waiting: 128,
            most_waiting_kb: 4_096,
            wait_share: 0.25,
            drain_half_life_ms: 500,
            needed_share: 0.7,
            programs_half_life_ms: 4_000,
            scarce_ms: 1_000,
            return_share: 0.5,
            // A new connection and a round trip of the caller take some tens of milliseconds.
            least_return_ms: 50,
            most_return_ms: 2_000,
        }
    }
}

impl WaitingSettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("relay.waiting.most_waiting", self.most_waiting, 0, 100_000)?;
        check_range("relay.waiting.most_waiting_kb", self.most_waiting_kb, 1, 1 << 24)?;
        check_range("relay.waiting.wait_share", self.wait_share, 0.0, 0.9)?;
        check_range("relay.waiting.drain_half_life_ms", self.drain_half_life_ms, 1, 60_000)?;
        check_range("relay.waiting.needed_share", self.needed_share, 0.0, 1.0)?;
        check_range(
            "relay.waiting.programs_half_life_ms",
            self.programs_half_life_ms,
            1,
            3_600_000,
        )?;
        check_range("relay.waiting.scarce_ms", self.scarce_ms, 0, 3_600_000)?;
        check_range("relay.waiting.return_share", self.return_share, 0.01, 1.0)?;
        let most = self.most_return_ms;
        check_range("relay.waiting.most_return_ms", most, 1, 60_000)?;
        check_range("relay.waiting.least_return_ms", self.least_return_ms, 1, most)
    }

    pub(crate) fn max_bytes(&self) -> usize {
        self.most_waiting_kb * 1_024
    }

    pub(crate) fn drain_half_life(&self) -> Duration {
        Duration::from_millis(self.drain_half_life_ms)
    }

    pub(crate) fn programs_half_life(&self) -> Duration {
        Duration::from_millis(self.programs_half_life_ms)
    }

    pub(crate) fn pacing_duration(&self) -> Duration {
        Duration::from_millis(self.scarce_ms)
    }

    pub(crate) fn return_bounds(&self) -> (Duration, Duration) {
        let millis = Duration::from_millis;
        (millis(self.least_return_ms), millis(self.most_return_ms))
    }
}
