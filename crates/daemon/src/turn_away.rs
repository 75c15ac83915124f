//! Retry delays for callers that a cut-off daemon refuses.

use dahlia_node::CutOff;
use dahlia_types::{Duration, InvalidSetting, Timestamp, check_range};
use serde::{Deserialize, Serialize};

/// Settings for refusing callers while this daemon is cut off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TurnAwaySettings {
    /// Milliseconds from a daemon's first not-ready report until new connections go to other daemons. It
    /// depends on the load balancer of the callers' connections.
    pub callers_gone_ms: u64,
    /// Milliseconds over which the retries of refused callers are spread, so that they don't all come at
    /// once.
    pub spread_ms: u64,
    /// Shortest retry delay in milliseconds while the whole zone is cut off.
    pub shortest_ms: u64,
    /// Retry delay in milliseconds where only this daemon is cut off: another one of its zone may serve the
    /// caller at once.
    pub elsewhere_ms: u64,
}

impl Default for TurnAwaySettings {
    fn default() -> Self {
        Self { callers_gone_ms: 2_000, spread_ms: 300, shortest_ms: 250, elsewhere_ms: 50 }
    }
}

impl TurnAwaySettings {
    /// Checks every field.
    ///
    /// # Errors
    /// The first field with a value that is not allowed.
    pub fn check(&self) -> Result<(), InvalidSetting> {
        check_range("turn_away.callers_gone_ms", self.callers_gone_ms, 0, 60_000)?;
        check_range("turn_away.spread_ms", self.spread_ms, 0, 60_000)?;
        check_range("turn_away.shortest_ms", self.shortest_ms, 1, 60_000)?;
        check_range("turn_away.elsewhere_ms", self.elsewhere_ms, 1, 60_000)
    }

    /// The retry delay of a caller that is refused at `now`. `draw` is uniform from 0 to 1.
    pub fn retry_after(&self, cut: CutOff, draw: f64, now: Timestamp) -> Duration {
        if cut.is_alone {
            return Duration::from_millis(self.elsewhere_ms);
        }
        let gone = cut.since + Duration::from_millis(self.callers_gone_ms);
        let spread = Duration::from_millis(self.spread_ms).as_secs_f64() * draw;
        let left = gone.since(now).max(Duration::from_millis(self.shortest_ms));
        Duration::from_secs_f64(left.as_secs_f64() + spread)
    }
}
