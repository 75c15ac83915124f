//! Parses one line of a log.

/// Digits of seconds since 1970, from 1973 to the year 5138. Torn lines may contain other
/// numbers.
const SECONDS_DIGITS: std::ops::RangeInclusive<usize> = 9..=11;

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Seconds since 1970 by the clock of the process that wrote it.
    pub timestamp: f64,
    /// The log part (`target`).
    pub part: String,
    /// The sentence that precedes the fields, with its full stop.
    pub message: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line as crate `logging` writes it. Text before the time, such as a machine's name,
    /// is ignored. Returns `None` for other text and for torn lines.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split_whitespace().peekable();
        let timestamp = loop {
            let word = words.next()?;
            if is_time(word) && words.peek().is_some_and(|next| is_level(next)) {
                break word;
            }
        };
        let part = words.nth(1)?.strip_suffix(':')?;
        let (_, message) = text.split_once(&format!(" {part}: "))?;
        let (sentence, fields) = split_fields(message);
        Some(Self {
            timestamp: timestamp.parse().ok()?,
            part: part.to_owned(),
            message: sentence.trim_end().to_owned(),
            fields,
        })
    }

    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Whether a word is a time in seconds with three decimals, since 1970.
fn is_time(word: &str) -> bool {
    let Some((seconds, millis)) = word.split_once('.') else { return false };
    let is_number = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    SECONDS_DIGITS.contains(&seconds.len())
        && millis.len() == 3
        && is_number(seconds)
        && is_number(millis)
}

fn is_level(word: &str) -> bool {
    ["ERROR", "WARN", "INFO", "DEBUG", "TRACE"].contains(&word)
}

/// Splits the sentence from the fields after it. Values with spaces are quoted.
fn split_fields(text: &str) -> (&str, Vec<(String, String)>) {
    let mut fields = Vec::new();
    let mut end = text.len();
    let mut rest = text.trim_end();
    while let Some((before, key, value)) = split_last_field(rest) {
        fields.insert(0, (key.to_owned(), value));
        end = before.len();
        rest = before.trim_end();
    }
    (&text[..end], fields)
}

/// Splits off the last field. Returns the text before it, its name and its value.
fn split_last_field(text: &str) -> Option<(&str, &str, String)> {
    let equals = match text.strip_suffix('"') {
        Some(unclosed) => unclosed.rfind("=\"")?,
        None => text.rfind('=')?,
    };
    let begin = text[..equals].rfind(' ')? + 1;
    let (key, value) = (&text[begin..equals], &text[equals + 1..]);
    let is_key = |byte: u8| byte.is_ascii_lowercase() || byte == b'_';
    if key.is_empty() || !key.bytes().all(is_key) {
        return None;
    }
    let is_quoted = value.len() >= 2 && value.starts_with('"');
    if !is_quoted && value.contains(' ') {
        return None;
    }
    let plain = if is_quoted { &value[1..value.len() - 1] } else { value };
    Some((&text[..begin], key, unescape(plain)))
}

/// Undoes Rust's escapes of quotes and backslashes in a quoted value.
fn unescape(value: &str) -> String {
    let mut plain = String::with_capacity(value.len());
    let mut chars = value.chars();
    while let Some(c) = chars.next() {
        match c {
            '\\' => plain.extend(chars.next()),
            other => plain.push(other),
        }
    }
    plain
}
