//! Limits how long a connection may have been idle before a request that must not run twice is sent
//! on it.
//!
//! A server may silently drop idle connections. A request that is then sent on one is reset, and
//! whether it ran is unknown. After such a reset the relay is cautious for a while: requests that
//! must not run twice use only connections that were idle for a moment, or new ones. Other requests
//! risk nothing while their service has repeats left, since another server may run them. Without I/O: times are passed in.

use tokio::time::{Duration, Instant};

/// Connections that were idle for less than this were probably not dropped for being idle.
const MIN_DROPPED_IDLE: Duration = Duration::from_millis(250);
/// A reset that comes later than this after the send means that the server itself ended, not that
/// it had dropped the connection.
const MAX_RESET_DELAY: Duration = Duration::from_millis(100);
/// The longest idle time that is allowed while cautious.
const CAUTIOUS_MAX_IDLE: Duration = Duration::from_millis(150);
/// How long the relay is cautious after a reset.
const CAUTION_DURATION: Duration = Duration::from_secs(15);

/// A reset that the sender of a request saw instead of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reset {
    /// How long the connection had been idle; none for a new one.
    pub(crate) idle_for: Option<Duration>,
    /// Time from the send to the reset.
    pub(crate) delay: Duration,
}

impl Reset {
    /// Whether the server had probably dropped the connection while it was idle.
    pub(crate) fn is_from_dropped_connection(&self) -> bool {
        self.delay <= MAX_RESET_DELAY
            && self.idle_for.is_some_and(|idle_for| idle_for >= MIN_DROPPED_IDLE)
    }
}

/// The limit in force.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct IdleLimit {
    cautious_until: Option<Instant>,
}

impl IdleLimit {
    /// Whether a request that must not run twice may use a connection that was idle this long.
    pub(crate) fn allows(&self, idle_for: Duration, now: Instant) -> bool {
        idle_for <= CAUTIOUS_MAX_IDLE || self.cautious_until.is_none_or(|until| until <= now)
    }

    /// Records a reset.
    pub(crate) fn record(&mut self, reset: Reset, now: Instant) {
        if reset.is_from_dropped_connection() {
            self.cautious_until = Some(now + CAUTION_DURATION);
        }
    }
}
