//! The thread that writes lines. No other thread waits for the reader of the logs.

use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use log::{Level, Record};

use crate::{DrainedLines, LineBuffer, LinePriority, format_line};

/// The target of log lines about the logs themselves.
const TARGET: &str = "logs";

/// Writes the lines of a buffer for as long as the process runs.
pub struct LineWriter<W> {
    buffer: Arc<LineBuffer>,
    sink: W,
    gather_time: Duration,
}

impl<W: Write + Send + 'static> LineWriter<W> {
    /// Creates a writer from `buffer` to `sink`, which waits `gather_time` for more lines before
    /// each write.
    pub fn new(buffer: Arc<LineBuffer>, sink: W, gather_time: Duration) -> Self {
        Self { buffer, sink, gather_time }
    }

    /// Starts the thread.
    ///
    /// # Errors
    /// An I/O error if the thread cannot be created.
    pub fn start(mut self) -> io::Result<()> {
        let run = move || {
            loop {
                self.buffer.wait_for_lines();
                thread::sleep(self.gather_time);
                self.write_pending();
            }
        };
        thread::Builder::new().name(TARGET.to_owned()).spawn(run).map(drop)
    }

    /// Writes all buffered lines. Lines that cannot be written are lost, because nobody can read
    /// them.
    pub fn write_pending(&mut self) {
        let drained = self.buffer.drain();
        let dropped_line = format_dropped_line(&drained);
        let _ = self.sink.write_all(drained.lines.as_bytes());
        if let Some(line) = dropped_line {
            let _ = self.sink.write_all(line.as_bytes());
        }
        let _ = self.sink.flush();
        self.buffer.finish_write();
    }
}

fn format_dropped_line(drained: &DrainedLines) -> Option<String> {
    let [routine, state_changes, failures] = drained.dropped;
    if routine + state_changes + failures == 0 {
        return None;
    }
    let one_in = drained.one_in;
    let fields = [
        ("routine", routine),
        ("beliefs", state_changes),
        ("failures", failures),
        ("requests_logged_one_of", u64::from(one_in)),
    ];
    let record = Record::builder()
        .level(Level::Warn)
        .target(TARGET)
        .args(format_args!("Lines were dropped for want of room."))
        .key_values(&fields)
        .build();
    Some(format_line(&record, SystemTime::now()))
}

impl LinePriority {
    /// Classifies a record.
    pub fn of(record: &Record<'_>, is_of_request: bool) -> Self {
        match record.level() {
            Level::Error | Level::Warn => Self::Failure,
            Level::Info if !is_of_request => Self::StateChange,
            _ => Self::Routine,
        }
    }
}
