//! The events of one attempt, checked for belonging and for place.

use std::time::Duration;

use dahlia_types::AttemptId;
use futures::Stream;
use tokio::time::timeout;

use super::error::{WrongAttemptSnafu, WrongOffsetSnafu};
use super::{EngineError, GenerateEvent, GenerateLine};
use crate::error::TruncatedSnafu;
use crate::lines::JsonLines;

/// How long the end of a body may take after the last event.
const END_LIMIT: Duration = Duration::from_secs(1);
/// Bytes that may follow the last event.
const END_BYTES: usize = 1024;

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
        let event = self.read().await;
        self.ended = event.as_ref().map_or(true, GenerateEvent::is_last);
        Some(event)
    }

    /// After the last event: reads on to the end of the body, which comes at once, so that the
    /// connection can serve the next request. Bounded in time and bytes.
    pub async fn finish(self) {
        // Whatever happens here, the last event has been read.
        let _ = timeout(END_LIMIT, self.lines.read_to_end(END_BYTES)).await;
    }

    /// The events as a [`Stream`].
    pub fn into_stream(mut self) -> impl Stream<Item = Result<GenerateEvent, EngineError>> + Send {
        async_stream::stream! {
            while let Some(event) = self.next().await {
                yield event;
            }
        }
    }

    async fn read(&mut self) -> Result<GenerateEvent, EngineError> {
        let line = self.lines.next().await?;
        let step = self.lines.step();
        let peer = self.lines.peer();
        let Some(line) = line else {
            return Err(TruncatedSnafu { step, peer }.build().into());
        };
        // Answers are matched by attempt and offset alone: the connection proves nothing.
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
