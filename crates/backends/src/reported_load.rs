//! The load of a server that other daemons reported, and how long the report is valid.

use dahlia_types::{Duration, Timestamp};

use crate::ServerLoad;

/// The maximum number of attempts, running and waiting, that a server can hold for each slot.
const MAX_ATTEMPTS_PER_SLOT: u32 = 64;
/// The maximum number of tokens of an attempt.
const MAX_TOKENS_PER_ATTEMPT: u64 = 4_000_000;
/// No working server takes longer for a token.
const MAX_TOKEN_MICROS: u64 = 10_000_000;

/// The load that other daemons cause at one server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedLoad {
    pub(crate) attempts: u32,
    pub(crate) tokens: u64,
    /// When the load was measured.
    pub(crate) measured_at: Timestamp,
}

impl ReportedLoad {
    /// Reads the report of a server with so many slots. Returns `None` for a load that such a
    /// server cannot have.
    pub(crate) fn from_report(
        load: &ServerLoad,
        slots: u32,
        measured_at: Timestamp,
    ) -> Option<Self> {
        let attempts = u32::from(load.in_flight);
        let tokens = u64::from(load.tokens);
        let times = load.times;
        let max_micros = u64::from(times.tokens) * MAX_TOKEN_MICROS;
        let is_possible = attempts <= slots.max(1) * MAX_ATTEMPTS_PER_SLOT
            && tokens <= u64::from(attempts) * MAX_TOKENS_PER_ATTEMPT
            && u64::from(times.micros) <= max_micros;
        is_possible.then_some(Self { attempts, tokens, measured_at })
    }

    /// The report of a server at which other daemons have no attempts.
    pub(crate) fn idle(measured_at: Timestamp) -> Self {
        Self { attempts: 0, tokens: 0, measured_at }
    }

    /// Returns the age of the report, or `None` if it exceeds `max_age`.
    pub(crate) fn age(&self, max_age: Duration, now: Timestamp) -> Option<Duration> {
        Some(now.since(self.measured_at)).filter(|age| *age <= max_age)
    }
}
