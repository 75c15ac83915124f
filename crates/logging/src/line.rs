//! How a record becomes a line.

use std::fmt::Write;
use std::time::{Duration, SystemTime};

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// The field that names a caller's request.
pub const REQUEST_FIELD: &str = "request";

/// The line of a record, with its end. `now` is the time of day.
pub fn format_line(record: &Record<'_>, now: SystemTime) -> String {
    let since = now.duration_since(SystemTime::UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let mut line = format!(
        "{}.{:03} {:5} {}: ",
        since.as_secs(),
        since.subsec_millis(),
        record.level(),
        record.target(),
    );
    push_in_one_line(&mut line, &record.args().to_string());
    let mut fields = Fields { line: &mut line };
    // The visitor writes to a string, which does not fail.
    let _ = record.key_values().visit(&mut fields);
    line.push('\n');
    line
}

struct Fields<'a> {
    line: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && !"\"=".contains(c);
        let written = match !value.is_empty() && value.chars().all(is_plain) {
            true => write!(self.line, " {key}={value}"),
            false => write!(self.line, " {key}={value:?}"),
        };
        written.map_err(Error::from)
    }
}

/// A sentence may quote what others sent: it must not begin a line of its own.
fn push_in_one_line(line: &mut String, sentence: &str) {
    for c in sentence.chars() {
        match c {
            '\n' => line.push_str("\\n"),
            c if c.is_control() => line.push(' '),
            c => line.push(c),
        }
    }
}
