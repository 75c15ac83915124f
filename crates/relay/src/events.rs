//! Parses server-sent events from a stream that arrives in arbitrary pieces.
//!
//! Without I/O: bytes go in, and complete events come out with their original bytes, so that the
//! next reader gets exactly what the server sent. Lines end with a line feed, which a carriage
//! return may precede; a carriage return alone does not end a line.

use bytes::{Bytes, BytesMut};

/// One event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// All bytes of the event.
    pub raw: Bytes,
    /// Its identifier, if it has one.
    pub id: Option<Bytes>,
    /// Its data lines, joined by line feeds; none for a comment.
    pub data: Option<Bytes>,
}

impl Event {
    /// Whether this is an event of the stream, and no comment.
    pub fn has_content(&self) -> bool {
        self.id.is_some() || self.data.is_some()
    }

    /// Whether the event comes after the event with identifier `last` in the same stream. Numeric
    /// identifiers ascend; other identifiers can only be compared for equality.
    pub fn is_after(&self, last: &[u8]) -> bool {
        let Some(id) = &self.id else { return true };
        match (parse_number(id), parse_number(last)) {
            (Some(id), Some(last)) => id > last,
            _ => id.as_ref() != last,
        }
    }
}

fn parse_number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

/// Splits a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Bytes,
    /// Bytes at the front of the buffer that contain no end of an event.
    scanned: usize,
}

impl EventReader {
    /// Adds the next bytes of the stream. Nothing is copied if no partial event is buffered.
    pub fn push(&mut self, piece: Bytes) {
        if self.buffer.is_empty() {
            self.buffer = piece;
            return;
        }
        // The buffer grows by a factor, so that a long event is not copied again with each of its pieces.
        let buffer = std::mem::take(&mut self.buffer).try_into_mut();
        let mut buffer = buffer.unwrap_or_else(|shared| BytesMut::from(shared.as_ref()));
        buffer.extend_from_slice(&piece);
        self.buffer = buffer.freeze();
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        match end_of_event(&self.buffer, self.scanned) {
            Some(end) => {
                self.scanned = 0;
                Some(parse(self.buffer.split_to(end)))
            }
            None => {
                // The end of an event may start at the last line feed, with a carriage return
                // behind it.
                self.scanned = self.buffer.len().saturating_sub(2);
                None
            }
        }
    }

    /// The number of bytes of an incomplete event.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        std::mem::take(&mut self.buffer)
    }
}

/// Finds where the first event ends, searching from a position on.
fn end_of_event(bytes: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
    while let Some(offset) = bytes[position..].iter().position(|&byte| byte == b'\n') {
        position += offset + 1;
        match bytes[position..] {
            [b'\n', ..] => return Some(position + 1),
            [b'\r', b'\n', ..] => return Some(position + 2),
            _ => {}
        }
    }
    None
}

fn parse(raw: Bytes) -> Event {
    let mut id = None;
    let mut data = DataLines::None;
    for line in raw.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match split_field(line) {
            (b"id", value) if !value.is_empty() => id = Some(raw.slice_ref(value)),
            (b"data", value) => data.add(raw.slice_ref(value)),
            _ => {}
        }
    }
    Event { id, data: data.finish(), raw }
}

/// The data lines so far. A single line is the common case and is not copied.
enum DataLines {
    None,
    One(Bytes),
    Many(BytesMut),
}

impl DataLines {
    fn add(&mut self, line: Bytes) {
        *self = match std::mem::replace(self, Self::None) {
            Self::None => Self::One(line),
            Self::One(first) => Self::Many(append_line(BytesMut::from(first), &line)),
            Self::Many(lines) => Self::Many(append_line(lines, &line)),
        };
    }

    fn finish(self) -> Option<Bytes> {
        match self {
            Self::None => None,
            Self::One(line) => Some(line),
            Self::Many(lines) => Some(lines.freeze()),
        }
    }
}

fn append_line(mut lines: BytesMut, line: &[u8]) -> BytesMut {
    lines.extend_from_slice(b"\n");
    lines.extend_from_slice(line);
    lines
}

/// Splits a line into field name and value. One space after the colon belongs to neither.
fn split_field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|&byte| byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, &[]),
    }
}
