//! The event stream of one attempt. Each event's attempt and offset are checked.

use std::time::Duration;

use dahlia_types::AttemptId;
use futures::Stream;
use tokio::time::timeout;

use super::error::{WrongAttemptSnafu, WrongOffsetSnafu};
use super::{EngineError, GenerateEvent, GenerateLine};
use crate::error::TruncatedSnafu;
use crate::lines::JsonLines;

/// Timeout for reading the end of a body after the last event.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes read after the last event.
const MAX_BYTES_AFTER_LAST_EVENT: usize = 1024;

/// The events of one attempt. Ends after the last event or the first error.
pub struct EventStream {
    lines: JsonLines<GenerateLine>,
    attempt: AttemptId,
    next_offset: u64,
    ended: bool,
}

impl EventStream {
    pub(super) fn new(lines: JsonLines<GenerateLine>, attempt: AttemptId, offset: u64) -> Self {
        Self { lines, attempt, next_offset: offset, ended: false }
    }

    /// The attempt that the events belong to.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Bytes of the answer received so far, the offset from which to resume.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The next event, or none after the last. Dropping the future loses no event.
    pub async fn next(&mut self) -> Option<Result<GenerateEvent, EngineError>> {
        if self.ended {
            return None;
        }
        let event = self.read_event().await;
        self.ended = event.as_ref().map_or(true, GenerateEvent::is_last);
        Some(event)
    }

    /// Reads the rest of the body after the last event, so that the connection can serve the next
    /// request. The end follows immediately; the wait is limited in time and bytes.
    pub async fn finish(self) {
        // The result does not matter, since the last event has been read.
        let _ = timeout(BODY_END_TIMEOUT, self.lines.read_to_end(MAX_BYTES_AFTER_LAST_EVENT)).await;
    }

    /// The events as a [`Stream`].
    pub fn into_stream(mut self) -> impl Stream<Item = Result<GenerateEvent, EngineError>> + Send {
        async_stream::stream! {
            while let Some(event) = self.next().await {
                yield event;
            }
        }
    }

    async fn read_event(&mut self) -> Result<GenerateEvent, EngineError> {
        let line = self.lines.next().await?;
        let step = self.lines.step();
        let peer = self.lines.peer();
        let Some(line) = line else {
            return Err(TruncatedSnafu { step, peer }.build().into());
        };
        // Only attempt and offset identify an answer; the connection does not.
        if line.attempt != self.attempt {
            let (expected, actual) = (self.attempt, line.attempt);
            return WrongAttemptSnafu { step, peer, expected, actual }.fail();
        }
        if let GenerateEvent::Token { offset, text } = &line.event {
            if *offset != self.next_offset {
                let (expected, actual) = (self.next_offset, *offset);
                return WrongOffsetSnafu { step, peer, expected, actual }.fail();
            }
            self.next_offset += text.len() as u64;
        }
        Ok(line.event)
    }
}
