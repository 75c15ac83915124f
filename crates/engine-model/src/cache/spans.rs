//! Recording of how cached KV was used over time, to measure wasted cache.

use dahlia_types::{Timestamp, Tokens};

use crate::{CacheSpan, SpanKind};

/// Spans recorded since they were last taken. Recording is off until it is enabled.
#[derive(Debug, Default)]
pub(crate) struct SpanRecorder {
    recording: bool,
    spans: Vec<CacheSpan>,
}

impl SpanRecorder {
    /// Starts recording.
    pub(crate) fn enable(&mut self) {
        self.recording = true;
    }

    /// Records that `tokens` were in memory from `from` to `to`.
    pub(crate) fn record(&mut self, tokens: u64, from: Timestamp, to: Timestamp, kind: SpanKind) {
        if self.recording && tokens > 0 && to > from {
            self.spans.push(CacheSpan { tokens: Tokens(tokens), from, to, kind });
        }
    }

    /// Takes the recorded spans.
    pub(crate) fn take(&mut self) -> Vec<CacheSpan> {
        std::mem::take(&mut self.spans)
    }
}
