//! The thread that writes lines. Only it ever waits for whoever reads them.

use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime};

use log::{Level, Record};

use crate::{DrainedLines, LineBuffer, LinePriority, format_line};

/// The part that speaks of the logs themselves.
const PART: &str = "logs";

/// Writes what is in a buffer, for as long as the process runs.
pub struct LineWriter<W> {
    buffer: Arc<LineBuffer>,
    sink: W,
    gather: Duration,
}

impl<W: Write + Send + 'static> LineWriter<W> {
    /// Writes to `sink` what gathers in `buffer`.
    pub fn new(buffer: Arc<LineBuffer>, sink: W, gather: Duration) -> Self {
        Self { buffer, sink, gather }
    }

    /// Starts the thread.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn start(mut self) -> io::Result<()> {
        let run = move || {
            loop {
                self.buffer.wait_for_lines();
                thread::sleep(self.gather);
                self.write_pending();
            }
        };
        thread::Builder::new().name(PART.to_owned()).spawn(run).map(drop)
    }

    /// Writes all that is there. What cannot be written is lost: nobody reads it.
    pub fn write_pending(&mut self) {
        let taken = self.buffer.drain();
        let told = dropped_line(&taken);
        let _ = self.sink.write_all(taken.lines.as_bytes());
        if let Some(line) = told {
            let _ = self.sink.write_all(line.as_bytes());
        }
        let _ = self.sink.flush();
        self.buffer.finish_write();
    }
}

fn dropped_line(taken: &DrainedLines) -> Option<String> {
    let [routine, beliefs, failures] = taken.dropped;
    if routine + beliefs + failures == 0 {
        return None;
    }
    let one_in = taken.one_in;
    let fields = [
        ("routine", routine),
        ("beliefs", beliefs),
        ("failures", failures),
        ("requests_logged_one_of", u64::from(one_in)),
    ];
    let record = Record::builder()
        .level(Level::Warn)
        .target(PART)
        .args(format_args!("Lines were dropped for want of room."))
        .key_values(&fields)
        .build();
    Some(format_line(&record, SystemTime::now()))
}

impl LinePriority {
    /// The rank of a record.
    pub fn of(record: &Record<'_>, is_of_request: bool) -> Self {
        match record.level() {
            Level::Error | Level::Warn => Self::Failure,
            Level::Info if !is_of_request => Self::StateChange,
            _ => Self::Routine,
        }
    }
}
