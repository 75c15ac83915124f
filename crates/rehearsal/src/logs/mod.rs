//! The command `rehearse logs`: reads the logs of many processes and reports the outcomes of requests.
//!
//! | module | job |
//! |---|---|
//! | `line` | parses one line |
//! | `requests` | builds requests from lines |
//! | `report` | a table of outcomes over time, and causes |

mod line;
mod report;
mod requests;

use std::fs;
use std::io::{self, Write};
use std::path::PathBuf;

use dahlia_types::{InvalidSetting, check_range};
use gumdrop::Options;
use snafu::{ResultExt, Snafu};

pub use line::LogLine;
pub use report::format_report;
pub use requests::{LoggedRequest, LoggedRequests, RequestOutcome};

/// Flags of `rehearse logs`.
#[derive(Debug, Options)]
pub struct LogFlags {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "log files, of gateways and of daemons that hold groups")]
    files: Vec<PathBuf>,
    #[options(help = "show only the lines of this request, in order of time", meta = "ID")]
    request: Option<String>,
    #[options(help = "seconds of one row of the table", meta = "S", default = "2.0")]
    window: f64,
}

/// An error of `rehearse logs`.
#[derive(Debug, Snafu)]
pub enum LogsError {
    /// A file could not be read.
    #[snafu(display("reading {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// A flag is out of its bounds.
    #[snafu(display("{source}"))]
    Invalid {
        /// The flag, its value and what is allowed.
        source: InvalidSetting,
    },
    /// The output could not be written.
    #[snafu(display("writing the table: {source}"))]
    Write {
        /// Cause.
        source: io::Error,
    },
}

/// Reads the logs and prints the table, or the lines of one request.
///
/// # Errors
/// [`LogsError`]
pub fn run(flags: &LogFlags) -> Result<(), LogsError> {
    check_range("--window", flags.window, 0.01, 86_400.0).context(InvalidSnafu)?;
    let mut texts = Vec::new();
    for path in &flags.files {
        let bytes = fs::read(path).context(ReadSnafu { path })?;
        // A file that several processes write to may have torn lines.
        texts.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let lines = texts.iter().flat_map(|text| text.lines());
    let shown = match &flags.request {
        Some(request) => filter_request_lines(lines, request),
        None => request_table(lines, flags.window),
    };
    // The reader may close the pipe; that is not an error.
    match io::stdout().write_all(shown.as_bytes()) {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.context(WriteSnafu),
    }
}

/// Returns the lines of one request, ordered by time.
pub fn filter_request_lines<'a>(lines: impl Iterator<Item = &'a str>, request: &str) -> String {
    let mut found: Vec<(f64, &str)> = Vec::new();
    for text in lines {
        if let Some(line) =
            LogLine::parse(text).filter(|line| line.field("request") == Some(request))
        {
            found.push((line.timestamp, text));
        }
    }
    found.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    found.into_iter().map(|(_, text)| format!("{}\n", text.trim())).collect()
}

/// Returns the table of all requests.
pub fn request_table<'a>(lines: impl Iterator<Item = &'a str>, window_s: f64) -> String {
    let mut lines: Vec<LogLine> = lines.filter_map(LogLine::parse).collect();
    lines.sort_by(|left, right| left.timestamp.total_cmp(&right.timestamp));
    let mut requests = LoggedRequests::default();
    lines.iter().for_each(|line| requests.add_line(line));
    format_report(&requests, window_s)
}
