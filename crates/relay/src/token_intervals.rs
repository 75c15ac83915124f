//! How soon the tokens of a stream come, from the pauses between its events.
//!
//! Only pauses that the server made count: while the caller is slow to read, nothing is read from the
//! server, and when an event came is not known.

use std::mem;

use dahlia_backends::TokenTimes;
use dahlia_types::Tokens;
use tokio::time::{Duration, Instant};

/// What may pass between a piece and the wait for the next one while nobody is slow; also the least wait
/// that shows that a piece was not there before.
const MOMENT: Duration = Duration::from_millis(2);

/// The pauses of one server's stream.
#[derive(Debug)]
pub struct TokenIntervals {
    tokens_per_event: Tokens,
    /// When the last piece was read.
    read_at: Option<Instant>,
    /// When it came; none when that is not known.
    came_at: Option<Instant>,
    /// When the piece with the last event came; none before the first event and when that is not known.
    last_event: Option<Instant>,
    /// Whether the last piece was the stream's first. Its events were ready before.
    is_first: bool,
}

impl TokenIntervals {
    /// A stream that has not begun, with so many tokens in each event.
    pub fn new(tokens_per_event: Tokens) -> Self {
        Self { tokens_per_event, read_at: None, came_at: None, last_event: None, is_first: true }
    }

    /// Another server's stream goes on from here.
    pub fn restart(&mut self) {
        *self = Self::new(self.tokens_per_event);
    }

    /// A piece of the stream was read, that was waited for since a moment.
    pub fn record_piece(&mut self, waited_since: Instant, now: Instant) {
        let read_before = self.read_at.replace(now);
        let was_read_at_once =
            read_before.is_none_or(|before| waited_since.duration_since(before) <= MOMENT);
        let is_new = now.duration_since(waited_since) >= MOMENT;
        self.came_at = (was_read_at_once || is_new).then_some(now);
        self.is_first = read_before.is_none();
    }

    /// An event was in the last piece. Returns how soon its tokens came, where that is known.
    pub fn record_event(&mut self) -> Option<TokenTimes> {
        let before = mem::replace(&mut self.last_event, self.came_at);
        let pause = self.came_at?.duration_since(before.filter(|_| !self.is_first)?);
        Some(TokenTimes {
            tokens: self.tokens_per_event.0.try_into().ok()?,
            micros: pause.as_micros().try_into().ok()?,
        })
    }
}
