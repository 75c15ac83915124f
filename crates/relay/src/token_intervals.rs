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
const MOMENT: Duration = Duration::from_millis(2);

/// The token intervals of one server's stream.
#[derive(Debug)]
pub struct TokenIntervals {
    tokens_per_event: Tokens,
    /// When the last piece was read.
    read_at: Option<Instant>,
    /// When the last piece arrived; none if that is not known.
    came_at: Option<Instant>,
    /// When the piece with the last event arrived; none before the first event, and if that is not
    /// known.
    last_event: Option<Instant>,
    /// Whether the last piece was the stream's first. Its events were ready before it was read.
    is_first: bool,
}

impl TokenIntervals {
    /// Creates the state for a stream that has not begun, with this many tokens in each event.
    pub fn new(tokens_per_event: Tokens) -> Self {
        Self { tokens_per_event, read_at: None, came_at: None, last_event: None, is_first: true }
    }

    /// Starts over, because another server continues the stream.
    pub fn restart(&mut self) {
        *self = Self::new(self.tokens_per_event);
    }

    /// Records that a piece of the stream was read, and when the wait for it began.
    pub fn record_piece(&mut self, waited_since: Instant, now: Instant) {
        let read_before = self.read_at.replace(now);
        let was_read_at_once =
            read_before.is_none_or(|before| waited_since.duration_since(before) <= MOMENT);
        let is_new = now.duration_since(waited_since) >= MOMENT;
        self.came_at = (was_read_at_once || is_new).then_some(now);
        self.is_first = read_before.is_none();
    }

    /// Records that the last piece contained an event. Returns how fast its tokens came, if that is
    /// known.
    pub fn record_event(&mut self) -> Option<TokenTimes> {
        let before = mem::replace(&mut self.last_event, self.came_at);
        let pause = self.came_at?.duration_since(before.filter(|_| !self.is_first)?);
        Some(TokenTimes {
            tokens: self.tokens_per_event.0.try_into().ok()?,
            micros: pause.as_micros().try_into().ok()?,
        })
    }
}
