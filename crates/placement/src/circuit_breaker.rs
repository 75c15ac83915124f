//! Circuit breaker of an engine: ejects it after repeated failures and probes whether it works
//! again.

use dahlia_types::{Duration, Timestamp};

use crate::FailureSettings;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakerState {
    /// The engine is in use. Counts its consecutive failures.
    Closed { failures: u32 },
    /// The engine is ejected. The next attempt after `until` is a probe.
    Open { until: Timestamp, probe_delay: Duration },
    /// A probe is under way.
    Probing { probe_delay: Duration },
}

/// The circuit breaker of one engine.
#[derive(Debug, Clone)]
pub(crate) struct CircuitBreaker {
    state: BreakerState,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self { state: BreakerState::Closed { failures: 0 } }
    }
}

impl CircuitBreaker {
    /// Whether an attempt may be sent at `now`.
    pub(crate) fn allows(&self, now: Timestamp) -> bool {
        match self.state {
            BreakerState::Closed { .. } => true,
            BreakerState::Open { until, .. } => now >= until,
            BreakerState::Probing { .. } => false,
        }
    }

    /// Whether the engine is ejected or being probed.
    pub(crate) fn is_ejected(&self) -> bool {
        !matches!(self.state, BreakerState::Closed { .. })
    }

    /// Records that an attempt was sent. After an ejection it is the probe.
    pub(crate) fn record_send(&mut self) {
        if let BreakerState::Open { probe_delay, .. } = self.state {
            self.state = BreakerState::Probing { probe_delay };
        }
    }

    /// Records that the engine answered.
    pub(crate) fn record_success(&mut self) {
        self.state = BreakerState::Closed { failures: 0 };
    }

    /// Records that an attempt ended without showing whether the engine works, e.g. by a recall.
    /// If it was the probe, the next attempt probes again.
    pub(crate) fn record_inconclusive_probe(&mut self, now: Timestamp) {
        if let BreakerState::Probing { probe_delay } = self.state {
            self.state = BreakerState::Open { until: now, probe_delay };
        }
    }

    /// Records a failure of the engine. Each failed probe doubles the delay to the next one.
    pub(crate) fn record_failure(&mut self, settings: &FailureSettings, now: Timestamp) {
        self.state = match self.state {
            BreakerState::Closed { failures } if failures + 1 < settings.eject_after => {
                BreakerState::Closed { failures: failures + 1 }
            }
            BreakerState::Closed { .. } => open_for(settings.probe_after, now),
            BreakerState::Probing { probe_delay } => {
                open_for(probe_delay.times(2).min(settings.probe_after_most), now)
            }
            open @ BreakerState::Open { .. } => open,
        };
    }
}

fn open_for(probe_delay: Duration, now: Timestamp) -> BreakerState {
    BreakerState::Open { until: now + probe_delay, probe_delay }
}
