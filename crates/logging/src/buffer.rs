//! The bounded buffer between the threads that log and the thread that writes.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::RequestSampling;

/// The priority of a line. Lines of lower priority are dropped first when the buffer is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinePriority {
    /// A decision on a successful request.
    Routine,
    /// A change in the state that the process sees, a start or a stop.
    StateChange,
    /// A failure or a refusal.
    Failure,
}

/// The share of the buffer, in quarters, that lines of each priority can fill.
const PRIORITY_QUARTERS: [usize; 3] = [2, 3, 4];
/// If the buffered lines take less than this share of the buffer, in quarters, more requests are
/// sampled again.
const LOW_FILL_QUARTERS: usize = 1;

/// Lines drained from the buffer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DrainedLines {
    /// The lines, concatenated.
    pub lines: String,
    /// Number of lines dropped since the previous drain, by priority.
    pub dropped: [u64; 3],
    /// From now on, routine lines are kept for one in this many requests.
    pub one_in: u32,
}

#[derive(Debug, Default)]
struct BufferState {
    lines: String,
    dropped: [u64; 3],
    total_dropped: u64,
    sampling: RequestSampling,
    is_writing: bool,
}

/// Lines that wait to be written. All threads share the buffer, and none waits for the writer
/// except in [`Self::flush`].
#[derive(Debug)]
pub struct LineBuffer {
    max_bytes: usize,
    state: Mutex<BufferState>,
    has_lines: Condvar,
    write_finished: Condvar,
}

impl LineBuffer {
    /// Creates a buffer for `max_bytes` bytes of lines.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            state: Mutex::default(),
            has_lines: Condvar::new(),
            write_finished: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether routine lines of this request are kept.
    pub fn keeps_request(&self, request: &str) -> bool {
        self.lock().sampling.keeps(request)
    }

    /// Adds a line, or counts it as dropped if lines of its priority have no space left.
    pub fn push(&self, priority: LinePriority, line: &str) {
        let mut state = self.lock();
        let limit = self.max_bytes / 4 * PRIORITY_QUARTERS[priority as usize];
        if state.lines.len() + line.len() > limit {
            state.dropped[priority as usize] += 1;
            state.total_dropped += 1;
            return;
        }
        let was_empty = state.lines.is_empty();
        state.lines.push_str(line);
        drop(state);
        if was_empty {
            self.has_lines.notify_one();
        }
    }

    /// Number of lines dropped since the start.
    pub fn total_dropped(&self) -> u64 {
        self.lock().total_dropped
    }

    /// Waits until there are lines.
    pub fn wait_for_lines(&self) {
        let is_empty = |state: &mut BufferState| state.lines.is_empty();
        let result = self.has_lines.wait_while(self.lock(), is_empty);
        drop(result.unwrap_or_else(PoisonError::into_inner));
    }

    /// Removes all lines for the writer, which must call [`Self::finish_write`] afterwards.
    pub fn drain(&self) -> DrainedLines {
        let mut state = self.lock();
        let dropped = std::mem::take(&mut state.dropped);
        if dropped[LinePriority::Routine as usize] > 0 {
            state.sampling.halve();
        } else if state.lines.len() < self.max_bytes / 4 * LOW_FILL_QUARTERS {
            state.sampling.double();
        }
        state.is_writing = true;
        let lines = std::mem::take(&mut state.lines);
        DrainedLines { lines, dropped, one_in: state.sampling.one_in() }
    }

    /// Records that the drained lines are written or lost.
    pub fn finish_write(&self) {
        self.lock().is_writing = false;
        self.write_finished.notify_all();
    }

    /// Waits until all lines are written, at most for `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        while state.is_writing || !state.lines.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            let result = self.write_finished.wait_timeout(state, remaining);
            state = result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
