//! The stream of a watch.

use super::{KeyValueError, WatchEvent};
use crate::error::TruncatedSnafu;
use crate::lines::JsonLines;

/// The changes that a watch sends. The stream ends only after the first error.
///
/// The service sends [`WatchEvent::Progress`] periodically. When nothing arrives within the idle
/// timeout, the stream ends with an error, so that a connection that was lost without being closed
/// is detected.
pub struct WatchStream {
    lines: JsonLines<WatchEvent>,
    ended: bool,
}

impl WatchStream {
    pub(super) fn new(lines: JsonLines<WatchEvent>) -> Self {
        Self { lines, ended: false }
    }

    /// Returns the next event, or `None` after an error. Dropping the future loses no event.
    pub async fn next(&mut self) -> Option<Result<WatchEvent, KeyValueError>> {
        if self.ended {
            return None;
        }
        let event = self.read_event().await;
        self.ended = event.is_err();
        Some(event)
    }

    async fn read_event(&mut self) -> Result<WatchEvent, KeyValueError> {
        let line = self.lines.next().await;
        let step = self.lines.step();
        let peer = self.lines.peer();
        let line = line.and_then(|line| match line {
            Some(event) => Ok(event),
            None => TruncatedSnafu { step, peer }.fail(),
        });
        line.map_err(|error| KeyValueError::from_transport(step, peer, error))
    }
}
