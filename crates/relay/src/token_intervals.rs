//! Measures how fast the tokens of a stream arrive, from the intervals between its events.
//!
//! Only intervals that the server caused count. While the caller reads slowly, nothing is read from
//! the server, and the arrival time of an event is unknown.

use std::mem;

use dahlia_backends::TokenTimes;
use dahlia_types::Tokens;
use tokio::time::{Duration, Instant};

/// The longest delay between reading a piece and waiting for the next one that shows a caller
/// keeping up. Also the shortest wait for a piece that shows that the piece was not already there.
const MAX_READ_DELAY: Duration = Duration::from_millis(2);

/// The token intervals of one server's stream.
#[derive(Debug)]
pub struct TokenIntervals {
    tokens_per_event: Tokens,
    /// When the last piece was read.
    last_read_at: Option<Instant>,
    /// When the last piece arrived; none if that is not known.
    last_arrival: Option<Instant>,
    /// When the piece with the last event arrived; none before the first event, and if that is not
    /// known.
    last_event_arrival: Option<Instant>,
    /// Whether the last piece was the stream's first. Its events were ready before it was read.
    is_first: bool,
}

impl TokenIntervals {
    /// Creates the state for a stream that has not begun, with this many tokens in each event.
    pub fn new(tokens_per_event: Tokens) -> Self {
        Self {
            tokens_per_event,
            last_read_at: None,
            last_arrival: None,
            last_event_arrival: None,
            is_first: true,
        }
    }

    /// Starts over, because another server continues the stream.
    pub fn restart(&mut self) {
        *self = Self::new(self.tokens_per_event);
    }

    /// Records that a piece of the stream was read, and when the wait for it began.
    pub fn record_piece(&mut self, wait_started: Instant, now: Instant) {
        let previous_read = self.last_read_at.replace(now);
        let reader_kept_up = previous_read
            .is_none_or(|previous| wait_started.duration_since(previous) <= MAX_READ_DELAY);
        let was_awaited = now.duration_since(wait_started) >= MAX_READ_DELAY;
        self.last_arrival = (reader_kept_up || was_awaited).then_some(now);
        self.is_first = previous_read.is_none();
    }

    /// Records that the last piece contained an event. Returns how fast its tokens came, if that is
    /// known.
    pub fn record_event(&mut self) -> Option<TokenTimes> {
        let previous = mem::replace(&mut self.last_event_arrival, self.last_arrival);
        let interval = self.last_arrival?.duration_since(previous.filter(|_| !self.is_first)?);
        Some(TokenTimes {
            tokens: self.tokens_per_event.0.try_into().ok()?,
            micros: interval.as_micros().try_into().ok()?,
        })
    }
}
