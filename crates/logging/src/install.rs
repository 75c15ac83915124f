//! Installs the process's logger.

use std::fs::OpenOptions;
use std::io::{self, Write};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};

use log::kv::Key;
use log::{LevelFilter, Record};
use snafu::ResultExt;

use crate::settings::{FileSnafu, InstallSnafu, LevelSnafu, ThreadSnafu, parse_level};
use crate::{
    LineBuffer, LinePriority, LineWriter, LogSettings, LoggingError, REQUEST_FIELD, format_line,
};

/// Libraries of which only warnings and errors are logged.
const QUIET_LIBRARIES: [&str; 8] =
    ["hyper", "salvo", "salvo_core", "reqwest", "h2", "tonic", "tower", "hyper_util"];
/// Longest wait for lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

static INSTALLED: OnceLock<Arc<LineBuffer>> = OnceLock::new();

/// Installs the process's logger.
///
/// # Errors
/// [`LoggingError`] if a level is unknown, the file cannot be opened, a logger is already installed
/// or the writing thread cannot be started.
pub fn install(settings: &LogSettings) -> Result<(), LoggingError> {
    let level = parse_level("log.level", &settings.level).context(LevelSnafu)?;
    let buffer = Arc::new(LineBuffer::new(settings.buffer_kb * 1024));
    let mut dispatch = fern::Dispatch::new().level(level);
    for library in QUIET_LIBRARIES {
        dispatch = dispatch.level_for(library, level.min(LevelFilter::Warn));
    }
    for (part, name) in &settings.parts {
        let part_level = parse_level(&format!("log.parts.{part}"), name).context(LevelSnafu)?;
        dispatch = dispatch.level_for(part.clone(), part_level);
    }
    let sink = open_sink(settings)?;
    let record_buffer = Arc::clone(&buffer);
    dispatch =
        dispatch.chain(fern::Output::call(move |record| push_record(&record_buffer, record)));
    dispatch.apply().context(InstallSnafu)?;
    let gather_time = Duration::from_millis(settings.gather_ms);
    LineWriter::new(Arc::clone(&buffer), sink, gather_time).start().context(ThreadSnafu)?;
    // `apply` fails for every logger but the first, so that `INSTALLED` is empty here.
    let _ = INSTALLED.set(buffer);
    Ok(())
}

fn open_sink(settings: &LogSettings) -> Result<Box<dyn Write + Send>, LoggingError> {
    let Some(path) = &settings.file else { return Ok(Box::new(io::stdout())) };
    let file = OpenOptions::new().create(true).append(true).open(path);
    Ok(Box::new(file.context(FileSnafu { path })?))
}

fn push_record(buffer: &LineBuffer, record: &Record<'_>) {
    let request = record.key_values().get(Key::from_str(REQUEST_FIELD));
    let request = request.map(|request| request.to_string());
    let priority = LinePriority::of(record, request.is_some());
    let is_kept = priority != LinePriority::Routine
        || request.is_none_or(|request| buffer.keeps_request(&request));
    if is_kept {
        buffer.push(priority, &format_line(record, SystemTime::now()));
    }
}

/// Waits until all lines are written, at most 500 ms. Called at the end of a process.
pub fn flush() {
    if let Some(buffer) = INSTALLED.get() {
        buffer.flush(FLUSH_TIMEOUT);
    }
}

/// Number of lines dropped since the start because the buffer was full.
pub fn dropped_lines() -> u64 {
    INSTALLED.get().map_or(0, |buffer| buffer.total_dropped())
}
