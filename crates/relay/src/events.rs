//! Server-sent events, cut out of a stream that arrives in any pieces.
//!
//! Sans-I/O: bytes go in, whole events come out with the very bytes that came, so that a reader
//! further on gets what the server sent. Lines end with a line feed, with or without a carriage
//! return before it; a carriage return alone ends none.

use bytes::{Bytes, BytesMut};

/// One event with the blank line that ends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Every byte of it.
    pub raw: Bytes,
    /// Its identifier, when it has one.
    pub id: Option<Bytes>,
    /// Its data lines with a line feed between; none for a comment.
    pub data: Option<Bytes>,
}

impl Event {
    /// Whether it comes after another one in the same stream. Identifiers ascend; ones that are
    /// no numbers can only be told apart.
    pub fn is_after(&self, last: &[u8]) -> bool {
        let Some(id) = &self.id else { return true };
        match (number(id), number(last)) {
            (Some(id), Some(last)) => id > last,
            _ => id.as_ref() != last,
        }
    }
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}

/// Cuts a stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: Bytes,
    /// Bytes at the front of the buffer that are known to hold no end of an event.
    scanned: usize,
}

impl EventReader {
    /// Takes the next bytes of the stream. Without a rest from before, nothing is copied.
    pub fn push(&mut self, piece: Bytes) {
        if self.buffer.is_empty() {
            self.buffer = piece;
            return;
        }
        let mut joined = BytesMut::with_capacity(self.buffer.len() + piece.len());
        joined.extend_from_slice(&self.buffer);
        joined.extend_from_slice(&piece);
        self.buffer = joined.freeze();
    }

    /// The next whole event, if it is there.
    pub fn next_event(&mut self) -> Option<Event> {
        match end_of_event(&self.buffer, self.scanned) {
            Some(end) => {
                self.scanned = 0;
                Some(parse(self.buffer.split_to(end)))
            }
            None => {
                // An end may begin with the last line feed and a carriage return behind it.
                self.scanned = self.buffer.len().saturating_sub(2);
                None
            }
        }
    }

    /// Bytes of an event that is not whole yet.
    pub fn pending_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes out the bytes of an event that is not whole.
    pub fn take_remainder(&mut self) -> Bytes {
        self.scanned = 0;
        std::mem::take(&mut self.buffer)
    }
}

/// Where the first event of some bytes ends, looking from a position on.
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
    let mut data = Data::None;
    for line in raw.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match field(line) {
            (b"id", value) if !value.is_empty() => id = Some(raw.slice_ref(value)),
            (b"data", value) => data.add(raw.slice_ref(value)),
            _ => {}
        }
    }
    Event { id, data: data.finish(), raw }
}

/// Data lines met so far; one line is the common case and is not copied.
enum Data {
    None,
    One(Bytes),
    Many(BytesMut),
}

impl Data {
    fn add(&mut self, line: Bytes) {
        *self = match std::mem::replace(self, Self::None) {
            Self::None => Self::One(line),
            Self::One(first) => Self::Many(joined(BytesMut::from(first), &line)),
            Self::Many(lines) => Self::Many(joined(lines, &line)),
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

fn joined(mut lines: BytesMut, line: &[u8]) -> BytesMut {
    lines.extend_from_slice(b"\n");
    lines.extend_from_slice(line);
    lines
}

/// A line's name and value. One space behind the colon belongs to neither.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|&byte| byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, &[]),
    }
}
