//! Rate limit on log lines of one kind, without I/O. Other daemons or writers may cause any number of them.

use dahlia_types::{Duration, Timestamp};

/// Default number of lines per [`WINDOW`]: as many as a person would look at.
const DEFAULT_LINES: u32 = 20;
/// Window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(60);

/// Limits how many log lines of one kind are written per minute.
#[derive(Debug, Clone)]
pub struct LogLineLimit {
    max_lines: u32,
    window_start: Timestamp,
    written: u32,
    suppressed: u64,
}

impl Default for LogLineLimit {
    fn default() -> Self {
        Self::new(DEFAULT_LINES)
    }
}

impl LogLineLimit {
    /// Allows `max_lines` lines a minute.
    pub fn new(max_lines: u32) -> Self {
        Self { max_lines, window_start: Timestamp::ZERO, written: 0, suppressed: 0 }
    }

    /// Whether a line may be written now. If so, returns how many were suppressed since the last one.
    pub fn allow(&mut self, now: Timestamp) -> Option<u64> {
        if now.since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.written = 0;
        }
        if self.written >= self.max_lines {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
