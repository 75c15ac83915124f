//! How long a kept connection may have rested for a request that must not run twice.
//!
//! A server may drop idle connections without a word; what is then sent on one is reset, and nobody
//! can say whether it ran. One such reset makes the relay cautious for a while: requests that must
//! not run twice then go over connections that rested only a moment, or over new ones. Others risk
//! nothing, since another server may run them. Without I/O: times are passed in.

use tokio::time::{Duration, Instant};

/// A connection that rested less was hardly dropped for its rest.
const LEAST_REST: Duration = Duration::from_millis(250);
/// A reset that comes later after the send is the server's own end, not a dropped connection.
const PROMPT_RESET: Duration = Duration::from_millis(100);
/// The longest rest while cautious.
const CAUTIOUS_REST: Duration = Duration::from_millis(150);
/// How long one reset keeps the relay cautious.
const CAUTION: Duration = Duration::from_secs(15);

/// Whether a kept connection was reset, as far as a request's sender saw.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reset {
    /// How long the connection had rested; none for a new one.
    pub(crate) rested: Option<Duration>,
    /// From the send to the reset.
    pub(crate) after: Duration,
}

impl Reset {
    /// Whether the server had probably dropped the connection while it rested.
    pub(crate) fn is_of_dropped_connection(&self) -> bool {
        self.after <= PROMPT_RESET && self.rested.is_some_and(|rested| rested >= LEAST_REST)
    }
}

/// The limit in force.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RestLimit {
    cautious_until: Option<Instant>,
}

impl RestLimit {
    /// Whether a request that must not run twice may go over a connection that rested so long.
    pub(crate) fn allows(&self, rested: Duration, now: Instant) -> bool {
        rested <= CAUTIOUS_REST || self.cautious_until.is_none_or(|until| until <= now)
    }

    /// Takes in a reset.
    pub(crate) fn note(&mut self, reset: Reset, now: Instant) {
        if reset.is_of_dropped_connection() {
            self.cautious_until = Some(now + CAUTION);
        }
    }
}
