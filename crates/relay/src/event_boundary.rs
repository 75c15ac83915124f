//! Follows where the events of a stream begin and end, without splitting the stream.
//!
//! A line with a field belongs to an event until the next blank line. Comments, blank lines and a byte-order mark belong
//! to no event, and a stream that ends inside an event has lost its rest (HTML standard, "Server-sent events"). Lines
//! end with a line feed, a carriage return, or both. Where lines end with line feeds, a carriage return at the end of
//! the stream is half of a line's end, as [`events`](crate::events) has it.

const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();
/// The longest field name that is told from others, in bytes.
const MAX_NAME_BYTES: usize = 4;

/// Where in its events a stream stands.
#[derive(Debug, Default)]
pub struct EventBoundary {
    line: Line,
    /// How the last line ended; none before the first one ended.
    last_end: Option<LineEnd>,
    /// Whether the last byte is a carriage return, which a line feed may follow.
    after_return: bool,
    /// The event that this carriage return ends, if a line feed has to follow.
    ending: Option<EndingEvent>,
    /// Whether a complete line of the current event has a field.
    has_fields: bool,
    /// Whether one of these has data or an identifier.
    has_content: bool,
    events: u64,
    /// The bytes of a byte-order mark that the stream began with so far; none after them.
    mark: Option<usize>,
    is_begun: bool,
}

/// The part of the current line that has arrived.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field(FieldName),
}

/// The beginning of a field's name.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct FieldName {
    bytes: [u8; MAX_NAME_BYTES],
    length: usize,
    /// Whether the name has ended.
    is_complete: bool,
}

/// An event whose last byte is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EndingEvent {
    has_content: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineEnd {
    LineFeed,
    CarriageReturn,
}

impl EventBoundary {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        let mut rest = self.skip_byte_order_mark(piece);
        while let Some(&first) = rest.first() {
            if std::mem::take(&mut self.after_return) {
                let ended = self.ending.take();
                self.events += u64::from(ended.is_some_and(|event| event.has_content));
                if first == b'\n' {
                    self.last_end = Some(LineEnd::LineFeed);
                    rest = &rest[1..];
                    continue;
                }
            }
            let end = rest.iter().position(|&byte| byte == b'\n' || byte == b'\r');
            let Some(end) = end else { return self.line.extend(rest) };
            self.line.extend(&rest[..end]);
            self.end_line(rest[end]);
            rest = &rest[end + 1..];
        }
    }

    /// Whether the stream stands inside an event, so that its end here loses the event's rest.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || matches!(self.line, Line::Field(_)) || self.ending.is_some()
    }

    /// The number of events with data or an identifier that ended so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns what follows a byte-order mark at the beginning of the stream.
    fn skip_byte_order_mark<'a>(&mut self, piece: &'a [u8]) -> &'a [u8] {
        if piece.is_empty() || (self.is_begun && self.mark.is_none()) {
            return piece;
        }
        self.is_begun = true;
        let begun = self.mark.unwrap_or(0);
        let expected = &BYTE_ORDER_MARK[begun..];
        let matching = piece.iter().zip(expected).take_while(|(one, other)| one == other).count();
        let is_cut = matching == piece.len() && matching < expected.len();
        self.mark = is_cut.then_some(begun + matching);
        match matching {
            matching if is_cut || matching == expected.len() => &piece[matching..],
            _ => {
                // It was no mark, so its bytes begin a field.
                self.line.extend(&BYTE_ORDER_MARK[..begun]);
                piece
            }
        }
    }

    fn end_line(&mut self, byte: u8) {
        let before = self.last_end;
        self.after_return = byte == b'\r';
        self.last_end =
            Some(if self.after_return { LineEnd::CarriageReturn } else { LineEnd::LineFeed });
        match std::mem::take(&mut self.line) {
            Line::Empty => {
                let ends_event = std::mem::take(&mut self.has_fields);
                let has_content = std::mem::take(&mut self.has_content);
                let needs_line_feed = before != Some(LineEnd::CarriageReturn);
                if self.after_return && ends_event && needs_line_feed {
                    self.ending = Some(EndingEvent { has_content });
                } else {
                    self.events += u64::from(has_content);
                }
            }
            Line::Comment => {}
            Line::Field(name) => {
                self.has_fields = true;
                self.has_content |= name.is_content();
            }
        }
    }
}

impl Line {
    fn extend(&mut self, bytes: &[u8]) {
        if let (Self::Empty, Some(&first)) = (*self, bytes.first()) {
            *self = if first == b':' { Self::Comment } else { Self::Field(FieldName::default()) };
        }
        if let Self::Field(name) = self {
            name.extend(bytes);
        }
    }
}

impl FieldName {
    fn extend(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.is_complete {
                return;
            }
            match byte {
                b':' => self.is_complete = true,
                // Longer than any name that matters.
                _ if self.length == MAX_NAME_BYTES => {
                    (self.length, self.is_complete) = (0, true);
                }
                _ => {
                    self.bytes[self.length] = byte;
                    self.length += 1;
                }
            }
        }
    }

    fn is_content(&self) -> bool {
        matches!(&self.bytes[..self.length], b"data" | b"id")
    }
}
