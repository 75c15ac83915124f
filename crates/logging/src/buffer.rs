//! The bounded buffer between the process's work and the thread that writes.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::RequestSampling;

/// Which lines go first when there is no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinePriority {
    /// A decision on a request that goes well.
    Routine,
    /// A change of what the process believes, a start or a stop.
    StateChange,
    /// A failure or a refusal.
    Failure,
}

/// Share of the buffer, in quarters, that lines of each rank may fill.
const QUARTERS: [usize; 3] = [2, 3, 4];
/// Below this share of the buffer there is plenty of room again.
const PLENTY_QUARTERS: usize = 1;

/// Lines taken out of the buffer.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DrainedLines {
    /// The lines, one after the other.
    pub lines: String,
    /// Lines dropped since the last time, by rank.
    pub dropped: [u64; 3],
    /// One of so many requests has its plain lines kept from now on.
    pub one_in: u32,
}

#[derive(Debug, Default)]
struct State {
    lines: String,
    dropped: [u64; 3],
    total_dropped: u64,
    sampling: RequestSampling,
    is_writing: bool,
}

/// Lines that wait to be written. Shared by all threads; none ever waits for the writer.
#[derive(Debug)]
pub struct LineBuffer {
    most_bytes: usize,
    state: Mutex<State>,
    has_lines: Condvar,
    is_written: Condvar,
}

impl LineBuffer {
    /// A buffer for so many bytes.
    pub fn new(most_bytes: usize) -> Self {
        Self {
            most_bytes,
            state: Mutex::default(),
            has_lines: Condvar::new(),
            is_written: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a plain line on this request is worth making.
    pub fn keeps_request(&self, request: &str) -> bool {
        self.lock().sampling.keeps(request)
    }

    /// Puts a line in, or counts it as dropped.
    pub fn push(&self, rank: LinePriority, line: &str) {
        let mut state = self.lock();
        let room = self.most_bytes / 4 * QUARTERS[rank as usize];
        if state.lines.len() + line.len() > room {
            state.dropped[rank as usize] += 1;
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

    /// Lines dropped since the start.
    pub fn total_dropped(&self) -> u64 {
        self.lock().total_dropped
    }

    /// Waits until there are lines.
    pub fn wait_for_lines(&self) {
        let is_empty = |state: &mut State| state.lines.is_empty();
        let waited = self.has_lines.wait_while(self.lock(), is_empty);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Takes all lines out, for the writer. [`Self::finish_write`] must follow.
    pub fn drain(&self) -> DrainedLines {
        let mut state = self.lock();
        let dropped = std::mem::take(&mut state.dropped);
        if dropped[LinePriority::Routine as usize] > 0 {
            state.sampling.halve();
        } else if state.lines.len() < self.most_bytes / 4 * PLENTY_QUARTERS {
            state.sampling.double();
        }
        state.is_writing = true;
        let lines = std::mem::take(&mut state.lines);
        DrainedLines { lines, dropped, one_in: state.sampling.one_in() }
    }

    /// What was taken is written, or lost.
    pub fn finish_write(&self) {
        self.lock().is_writing = false;
        self.is_written.notify_all();
    }

    /// Waits until everything is written, but not longer than `limit`.
    pub fn flush(&self, limit: Duration) {
        let end = Instant::now() + limit;
        let mut state = self.lock();
        while state.is_writing || !state.lines.is_empty() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.is_written.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
