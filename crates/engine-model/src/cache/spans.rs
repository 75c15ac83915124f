//! Records of held cache over time, for the measure of wasted cache.

use dahlia_types::{Timestamp, Tokens};

use crate::{CacheSpan, SpanKind};

/// Spans since they were last taken; nothing is recorded until it is switched on.
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

    /// Notes that `tokens` were held from `from` to `to`.
    pub(crate) fn record(&mut self, tokens: u64, from: Timestamp, to: Timestamp, kind: SpanKind) {
        if self.recording && tokens > 0 && to > from {
            self.spans.push(CacheSpan { tokens: Tokens(tokens), from, to, kind });
        }
    }

    /// Takes what was recorded.
    pub(crate) fn take(&mut self) -> Vec<CacheSpan> {
        std::mem::take(&mut self.spans)
    }
}
