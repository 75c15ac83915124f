//! Formats a record as a line.

use std::fmt::Write;
use std::time::{Duration, SystemTime};

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// The field that identifies a caller's request.
pub const REQUEST_FIELD: &str = "request";

/// Formats a record as a line with its line end. `now` is the current time.
pub fn format_line(record: &Record<'_>, now: SystemTime) -> String {
    let unix_time = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let mut line = format!(
        "{}.{:03} {:5} {}: ",
        unix_time.as_secs(),
        unix_time.subsec_millis(),
        record.level(),
        record.target(),
    );
    push_escaped(&mut line, &record.args().to_string());
    let mut fields = FieldWriter { line: &mut line };
    // Writing to a string does not fail.
    let _ = record.key_values().visit(&mut fields);
    line.push('\n');
    line
}

struct FieldWriter<'a> {
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        let needs_no_quotes = |c: char| !c.is_whitespace() && !c.is_control() && !"\"=".contains(c);
        let written = match !value.is_empty() && value.chars().all(needs_no_quotes) {
            true => write!(self.line, " {key}={value}"),
            false => write!(self.line, " {key}={value:?}"),
        };
        written.map_err(Error::from)
    }
}

/// Appends a sentence with its line ends escaped. The sentence may quote received text, which must
/// not be able to start a new line.
fn push_escaped(line: &mut String, sentence: &str) {
    for c in sentence.chars() {
        match c {
            '\n' => line.push_str("\\n"),
            c if c.is_control() => line.push(' '),
            c => line.push(c),
        }
    }
}
