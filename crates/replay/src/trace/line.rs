//! One line of a trace: a time perhaps, a keyword, and `field=value` pairs.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::str::FromStr;

use dahlia_types::Duration;

use super::parse::{FieldSnafu, TraceError};

/// A line taken apart. Fields are taken out one by one; what is left over is an error.
pub(super) struct Line {
    pub(super) number: usize,
    pub(super) at: Option<Duration>,
    pub(super) keyword: String,
    fields: BTreeMap<String, String>,
}

impl Line {
    /// Takes a line apart that is neither empty nor a comment.
    pub(super) fn read(number: usize, text: &str) -> Result<Self, TraceError> {
        let mut words = text.split_whitespace().peekable();
        let timed = words.peek().is_some_and(|word| word.starts_with(|c: char| c.is_ascii_digit()));
        let at = match timed.then(|| words.next()).flatten() {
            None => None,
            Some(word) => Some(parse_duration(word).ok_or_else(|| {
                let allowed = "a time such as 2.5s, 300ms or 1500us";
                error(number, "time", word, allowed)
            })?),
        };
        let keyword = words.next().unwrap_or_default().to_owned();
        let mut fields = BTreeMap::new();
        for word in words {
            let Some((field, value)) = word.split_once('=') else {
                return Err(error(number, word, "", "field=value"));
            };
            if fields.insert(field.to_owned(), value.to_owned()).is_some() {
                return Err(error(number, field, value, "each field once"));
            }
        }
        Ok(Self { number, at, keyword, fields })
    }

    /// A field that may be missing.
    pub(super) fn optional<T: FromStr>(
        &mut self,
        field: &str,
        allowed: impl Display,
    ) -> Result<Option<T>, TraceError> {
        let Some(value) = self.fields.remove(field) else {
            return Ok(None);
        };
        let parsed = value.parse().map_err(|_| error(self.number, field, &value, allowed))?;
        Ok(Some(parsed))
    }

    /// A field that must be there.
    pub(super) fn required<T: FromStr>(
        &mut self,
        field: &str,
        allowed: impl Display,
    ) -> Result<T, TraceError> {
        let text = allowed.to_string();
        let found = self.optional(field, allowed)?;
        found.ok_or_else(|| error(self.number, field, "missing", text))
    }

    /// A number, `default` when missing.
    pub(super) fn number<T: FromStr>(&mut self, field: &str, default: T) -> Result<T, TraceError> {
        Ok(self.optional(field, "a number from 0")?.unwrap_or(default))
    }

    /// A length of time, `default` when missing.
    pub(super) fn duration(
        &mut self,
        field: &str,
        default: Duration,
    ) -> Result<Duration, TraceError> {
        let Some(value) = self.fields.remove(field) else {
            return Ok(default);
        };
        let allowed = "a length such as 2.5s, 300ms or 1500us";
        parse_duration(&value).ok_or_else(|| error(self.number, field, &value, allowed))
    }

    /// One of some names, `default` when missing.
    pub(super) fn choice<T: Copy>(
        &mut self,
        field: &str,
        names: &[(T, &'static str)],
        default: Option<T>,
    ) -> Result<T, TraceError> {
        let list: Vec<&str> = names.iter().map(|(_, name)| *name).collect();
        let allowed = format!("one of {}", list.join(", "));
        let value = match (self.fields.remove(field), default) {
            (Some(value), _) => value,
            (None, Some(default)) => return Ok(default),
            (None, None) => return Err(error(self.number, field, "missing", allowed)),
        };
        let found = names.iter().find(|(_, name)| *name == value);
        found.map(|(choice, _)| *choice).ok_or_else(|| error(self.number, field, &value, allowed))
    }

    /// Refuses fields that nobody asked for.
    pub(super) fn finish(self) -> Result<(), TraceError> {
        match self.fields.into_iter().next() {
            None => Ok(()),
            Some((field, value)) => {
                let allowed = format!("no such field of {:?}", self.keyword);
                Err(error(self.number, &field, &value, allowed))
            }
        }
    }
}

/// An error that names line, field and value.
pub(super) fn error(line: usize, field: &str, value: &str, allowed: impl Display) -> TraceError {
    FieldSnafu { line, field, value, allowed: allowed.to_string() }.build()
}

/// Reads `2.5s`, `300ms` or `1500us`.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let units = [("us", 1.0), ("ms", 1e3), ("s", 1e6)];
    let (number, scale) =
        units.into_iter().find_map(|(unit, scale)| Some((text.strip_suffix(unit)?, scale)))?;
    let number: f64 = number.parse().ok()?;
    let micros = (number * scale).round();
    (micros.is_finite() && (0.0..1e15).contains(&micros)).then_some(Duration(micros as u64))
}

/// Writes a length so that it reads back the same.
pub(super) fn write_duration(length: Duration) -> String {
    let micros = length.as_micros();
    if !micros.is_multiple_of(1_000) {
        return format!("{micros}us");
    }
    if !micros.is_multiple_of(1_000_000) {
        format!("{}ms", micros / 1_000)
    } else {
        format!("{}s", micros / 1_000_000)
    }
}
