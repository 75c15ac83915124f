//! Follows where the events of a stream begin and end, without splitting the stream.
//!
//! Lines end as in [`events`](crate::events): with a line feed, which a carriage return may precede. A line with a
//! field belongs to an event until the next blank line. Comments and blank lines belong to no event, and a stream
//! that ends inside an event has lost its rest (HTML standard, "Server-sent events").

/// Where in its events a stream stands.
#[derive(Debug, Default)]
pub struct EventBoundary {
    line: Line,
    /// Whether a complete line of the current event has a field.
    has_fields: bool,
    events: u64,
}

/// The part of the current line that has arrived.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    /// A carriage return, which may be the first byte of a line's end.
    CarriageReturn,
    Comment,
    Field,
}

impl EventBoundary {
    /// Adds the next bytes of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        let mut lines = piece.split(|&byte| byte == b'\n');
        let unfinished = lines.next_back().unwrap_or_default();
        for line in lines {
            self.extend_line(line);
            self.end_line();
        }
        self.extend_line(unfinished);
    }

    /// Whether the stream stands inside an event, so that its end here loses the event's rest.
    pub fn is_inside_event(&self) -> bool {
        self.has_fields || self.line == Line::Field
    }

    /// The number of events that ended so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        self.line = match (self.line, bytes) {
            (line, []) => line,
            (Line::Empty, [b'\r']) => Line::CarriageReturn,
            (Line::Empty, [b':', ..]) => Line::Comment,
            (Line::Empty | Line::CarriageReturn, _) => Line::Field,
            (line, _) => line,
        };
    }

    fn end_line(&mut self) {
        match std::mem::take(&mut self.line) {
            Line::Empty | Line::CarriageReturn => {
                self.events += u64::from(std::mem::take(&mut self.has_fields));
            }
            Line::Comment => {}
            Line::Field => self.has_fields = true,
        }
    }
}
