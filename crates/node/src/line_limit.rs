//! Bounds how many lines of one kind reach the log, without I/O: another writer can cause any number.

use dahlia_types::{Duration, Timestamp};

/// Lines of one kind in [`SPAN`]: enough to name what a person would look at.
const MOST_LINES: u32 = 20;
/// What the lines are counted over.
const SPAN: Duration = Duration::from_secs(60);

/// Counts lines of one kind.
#[derive(Debug, Clone)]
pub struct LogLineLimit {
    most: u32,
    since: Timestamp,
    written: u32,
    passed_over: u64,
}

impl Default for LogLineLimit {
    fn default() -> Self {
        Self::new(MOST_LINES)
    }
}

impl LogLineLimit {
    /// Allows `most` lines a minute.
    pub fn new(most: u32) -> Self {
        Self { most, since: Timestamp::ZERO, written: 0, passed_over: 0 }
    }

    /// Whether a line may be written now. Gives how many were not since the last one.
    pub fn allow(&mut self, now: Timestamp) -> Option<u64> {
        if now.since(self.since) >= SPAN {
            self.since = now;
            self.written = 0;
        }
        if self.written >= self.most {
            self.passed_over += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.passed_over))
    }
}
