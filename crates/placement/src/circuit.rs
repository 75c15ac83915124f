//! Ejection of a failing engine, and probes to bring it back (circuit breaker).

use dahlia_types::{Duration, Timestamp};

use crate::FailureSettings;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In use; failures in a row so far.
    Closed { failures: u32 },
    /// Not used until `until`.
    Open { until: Timestamp, wait: Duration },
    /// One attempt is under way as a probe.
    Probing { wait: Duration },
}

/// The circuit of one engine.
#[derive(Debug, Clone)]
pub(crate) struct Circuit {
    state: State,
}

impl Default for Circuit {
    fn default() -> Self {
        Self { state: State::Closed { failures: 0 } }
    }
}

impl Circuit {
    /// Whether an attempt may be sent at `now`.
    pub(crate) fn allows(&self, now: Timestamp) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, .. } => now >= until,
            State::Probing { .. } => false,
        }
    }

    /// Whether the engine is ejected.
    pub(crate) fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed { .. })
    }

    /// Notes that an attempt was sent; after an ejection it is the probe.
    pub(crate) fn sent(&mut self) {
        if let State::Open { wait, .. } = self.state {
            self.state = State::Probing { wait };
        }
    }

    /// Notes an answer.
    pub(crate) fn succeeded(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Notes that a probe ended without telling anything, e.g. recalled.
    pub(crate) fn undecided(&mut self, now: Timestamp) {
        if let State::Probing { wait } = self.state {
            self.state = State::Open { until: now, wait };
        }
    }

    /// Notes a failure of the engine.
    pub(crate) fn failed(&mut self, settings: &FailureSettings, now: Timestamp) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < settings.eject_after => {
                State::Closed { failures: failures + 1 }
            }
            State::Closed { .. } => open(settings.probe_after, now),
            State::Probing { wait } => open(wait.times(2).min(settings.probe_after_most), now),
            open @ State::Open { .. } => open,
        };
    }
}

fn open(wait: Duration, now: Timestamp) -> State {
    State::Open { until: now + wait, wait }
}
