//! What has arrived of a server's answer, and how the answer tells where it ends.

use http::header::{CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue};

use crate::event_boundary::EventBoundary;
use crate::repeats::LossCause;

const EVENT_STREAM: &str = "text/event-stream";

/// How an answer tells where it ends (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// It states its length.
    Length,
    /// It comes in chunks, and the last one is empty.
    Chunks,
    /// It ends with its connection. The system also closes the connections of a process that dies, so this end does
    /// not prove that the server was done.
    Connection,
}

impl Framing {
    fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            if is_chunked(headers) { Self::Chunks } else { Self::Connection }
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Its name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// What the body of an answer can be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyKind {
    /// It has none, whatever its head says, as answers to HEAD and with some statuses.
    None,
    /// A stream of events, unless the head names another content type.
    Stream,
    /// Any bytes.
    Other,
}

/// The part of an answer that has arrived.
#[derive(Debug)]
pub(crate) struct ReceivedAnswer {
    pub(crate) framing: Framing,
    pub(crate) bytes: u64,
    may_be_empty: bool,
    /// None if the answer is no event stream.
    boundary: Option<EventBoundary>,
}

impl ReceivedAnswer {
    /// Begins an answer with this head. `body` says what its body can be.
    pub(crate) fn new(headers: &HeaderMap, body: BodyKind) -> Self {
        // What is encoded has no readable events.
        let is_event_stream = headers.get(CONTENT_TYPE).is_none_or(is_event_stream)
            && !headers.contains_key(CONTENT_ENCODING);
        let has_events = body == BodyKind::Stream && is_event_stream;
        Self {
            framing: Framing::of(headers),
            bytes: 0,
            may_be_empty: body == BodyKind::None,
            boundary: has_events.then(EventBoundary::default),
        }
    }

    pub(crate) fn push(&mut self, piece: &[u8]) {
        self.bytes += piece.len() as u64;
        if let Some(boundary) = &mut self.boundary {
            boundary.push(piece);
        }
    }

    /// The number of whole events; none if the answer is no event stream.
    pub(crate) fn events(&self) -> Option<u64> {
        self.boundary.as_ref().map(EventBoundary::events)
    }

    /// Whether it has a body that ends with its connection.
    pub(crate) fn ends_with_connection(&self) -> bool {
        self.framing == Framing::Connection && !self.may_be_empty
    }

    /// Why the answer is not complete although it has ended as its framing says; none if it is complete as far as what
    /// has arrived shows.
    pub(crate) fn problem_at_end(&self) -> Option<EndProblem> {
        if self.is_inside_event() {
            return Some(EndProblem::InsideEvent(self.framing));
        }
        let has_begun = self.events().map_or(self.bytes > 0, |events| events > 0);
        let is_cut = self.ends_with_connection() && !has_begun;
        is_cut.then_some(EndProblem::ClosedBeforeContent)
    }

    /// Whether the last event is incomplete.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.boundary.as_ref().is_some_and(EventBoundary::is_inside_event)
    }
}

/// Why an answer that has ended is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndProblem {
    /// Its last event is incomplete.
    InsideEvent(Framing),
    /// It ended with its connection, before its first event, or before its first byte if it is no event stream.
    ClosedBeforeContent,
    /// It ended with its connection, and its server with it.
    ServerEnded,
    /// It ended with its connection, and nothing shows that its server lived past that.
    Unconfirmed,
}

impl EndProblem {
    pub(crate) fn describe(self) -> &'static str {
        match self {
            Self::InsideEvent(_) => "the stream ended inside an event",
            Self::ClosedBeforeContent => "the answer ended with its connection before its content",
            Self::ServerEnded => "the answer ended with its connection, and its server with it",
            Self::Unconfirmed => {
                "the answer ended with its connection, and its server may have ended with it"
            }
        }
    }

    pub(crate) fn loss_cause(self) -> LossCause {
        match self {
            Self::InsideEvent(Framing::Connection)
            | Self::ClosedBeforeContent
            | Self::ServerEnded
            | Self::Unconfirmed => LossCause::Disconnected,
            Self::InsideEvent(Framing::Length | Framing::Chunks) => LossCause::InvalidAnswer,
        }
    }
}

/// Whether the last transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last_line = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last_line.and_then(|line| line.to_str().ok()).unwrap_or_default();
    let last = codings.rsplit(',').next().unwrap_or_default();
    last.trim().eq_ignore_ascii_case("chunked")
}

fn is_event_stream(content_type: &HeaderValue) -> bool {
    let text = content_type.to_str().unwrap_or_default();
    let essence = text.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
}
