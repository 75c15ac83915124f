//! Step 6: forwards a server's answer to the caller.

use std::mem;

use bytes::Bytes;
use dahlia_backends::AttemptEnd;
use futures::stream;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method, Response, StatusCode, Version, response};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use crate::TurnLedger;
use crate::body::{AnswerBody, BrokenOff, Pieces};
use crate::counters::count;
use crate::decisions::LeavingGuard;
use crate::events::EventReader;
use crate::exchange::{Answer, Exchange};
use crate::hop;
use crate::live::{BrokenAnswer, LiveAnswer};
use crate::memory::{Held, NotHeld};
use crate::token_intervals::TokenIntervals;
use crate::turn::Turn;

/// Builds the caller's answer from a server's.
pub(crate) fn hand_on<L: TurnLedger>(
    mut exchange: Exchange<L>,
    answer: Answer,
    method: &Method,
) -> Response<AnswerBody> {
    count(&exchange.shared.counters.answered);
    match answer {
        Answer::Whole { live, body } => {
            if live.did_not_run {
                exchange.did_not_run();
            }
            exchange.log.answered(live.server(), live.parts.status, body.bytes.len());
            whole(live.parts, body.held.tie_to(body.bytes), method)
        }
        Answer::Stream { mut live, first } => {
            exchange.log.stream_began(live.server(), live.parts.status);
            exchange.answer_began();
            let mut head = Response::new(());
            *head.status_mut() = live.parts.status;
            *head.headers_mut() = mem::take(&mut live.parts.headers);
            hop::strip(head.headers_mut());
            // A stream that continues at another server may have another length.
            head.headers_mut().remove(CONTENT_LENGTH);
            let pieces = StreamedAnswer::new(exchange, live, first).into_pieces();
            head.map(|()| AnswerBody::stream(pieces))
        }
    }
}

fn whole(mut parts: response::Parts, body: Bytes, method: &Method) -> Response<AnswerBody> {
    // The version belongs to each connection.
    parts.version = Version::HTTP_11;
    hop::strip(&mut parts.headers);
    if !describes_absent_body(&parts, method) {
        set_length(&mut parts.headers, &body);
    }
    Response::from_parts(parts, AnswerBody::whole(body))
}

/// Whether the length in the head describes a body that is not sent, as in answers to `HEAD`.
fn describes_absent_body(parts: &response::Parts, method: &Method) -> bool {
    method == Method::HEAD
        || parts.status == StatusCode::NOT_MODIFIED
        || parts.status == StatusCode::NO_CONTENT
}

fn set_length(headers: &mut HeaderMap, body: &Bytes) {
    headers.insert(CONTENT_LENGTH, body.len().into());
}

/// A stream that is being forwarded to the caller.
struct StreamedAnswer<L: TurnLedger> {
    exchange: Exchange<L>,
    /// None once the server's answer has ended or broken off.
    live: Option<Box<LiveAnswer>>,
    /// The piece that came with the head.
    first: Option<Bytes>,
    /// A piece that was read and not yet parsed.
    ready: Option<Bytes>,
    /// Memory of what was read and not yet forwarded, reserved twice where the turn will retain a
    /// copy.
    unread: Held,
    /// Splits the stream into events where that is needed: to resume after a complete event, or to
    /// account for a turn.
    events: Option<EventReader>,
    is_resumed: bool,
    /// For model servers: the intervals between tokens.
    pauses: Option<TokenIntervals>,
    /// The server whose answer was complete.
    served_by: String,
    /// Why the stream is broken off; none if no server can resume it.
    broken_by: Option<String>,
    leaving: LeavingGuard,
}

/// What the caller gets next.
enum Next {
    Piece(Bytes),
    End,
    BreakOff,
}

impl<L: TurnLedger> StreamedAnswer<L> {
    fn new(exchange: Exchange<L>, live: Box<LiveAnswer>, first: Option<Bytes>) -> Self {
        let needs_events = exchange.route().is_resumable || exchange.turn.is_some();
        let engine = exchange.matched.service().and_then(|service| service.engine.as_ref());
        let pauses = engine.map(|engine| TokenIntervals::new(engine.tokens_per_event));
        let mut leaving = LeavingGuard::default();
        leaving.began(exchange.log.clone());
        Self {
            leaving,
            broken_by: None,
            unread: exchange.caller.nothing(),
            exchange,
            live: Some(live),
            ready: None,
            first,
            events: needs_events.then(EventReader::default),
            is_resumed: false,
            pauses,
            served_by: String::new(),
        }
    }

    fn into_pieces(self) -> Pieces {
        let pieces = stream::unfold(Some(Box::new(self)), |answer| async move {
            let mut answer = answer?;
            match answer.next().await {
                Next::Piece(piece) => Some((Ok(piece), Some(answer))),
                Next::End => {
                    answer.ended_whole();
                    None
                }
                Next::BreakOff => {
                    answer.broken_off();
                    // hyper discards unflushed bytes when a body fails. It flushes when a body has
                    // to wait, so this wait lets the caller get every earlier piece.
                    yield_now().await;
                    count(&answer.exchange.shared.counters.broken_off);
                    Some((Err(BrokenOff), None))
                }
            }
        });
        Box::pin(pieces)
    }

    /// Returns the next piece for the caller, until the deadline.
    async fn next(&mut self) -> Next {
        let deadline = self.exchange.deadline;
        // The stream is cut off at the deadline. The connection closes, and the server stops with
        // it.
        match timeout_at(deadline, self.next_in_time()).await {
            Ok(next) => next,
            Err(_) => self.break_off("the deadline passed"),
        }
    }

    fn break_off(&mut self, cause: &str) -> Next {
        self.broken_by = Some(cause.to_owned());
        Next::BreakOff
    }

    fn ended_whole(&mut self) {
        self.leaving.ended();
        self.exchange.log.stream_ended(&self.served_by);
    }

    fn broken_off(&mut self) {
        self.leaving.ended();
        let cause = self.broken_by.as_deref().unwrap_or("no other server may take it up");
        self.exchange.log.stream_broken(cause);
    }

    async fn next_in_time(&mut self) -> Next {
        loop {
            if let Some(piece) = self.take_ready() {
                return Next::Piece(piece);
            }
            if self.has_overlong_event() {
                return self.break_off("an event is too long");
            }
            let waited_since = Instant::now();
            match self.read().await {
                Some(Ok(piece)) => {
                    if let Some(pauses) = &mut self.pauses {
                        pauses.record_piece(waited_since, Instant::now());
                    }
                    if let Err(error) = self.hold(piece.len()).await {
                        return self.break_off(&error.to_string());
                    }
                    self.ready = Some(piece);
                }
                Some(Err(BrokenAnswer)) => {
                    if !self.resume().await {
                        return Next::BreakOff;
                    }
                }
                None => {
                    if let Some(rest) = self.take_remainder() {
                        return Next::Piece(rest);
                    }
                    if self.live.is_none() {
                        return self.end().await;
                    }
                }
            }
        }
    }

    /// Reads the next piece of the server's answer.
    async fn read(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(first));
        }
        self.live.as_mut()?.next().await
    }

    /// Reserves memory for bytes that were read. While none is available, nothing more is read.
    async fn hold(&mut self, bytes: usize) -> Result<(), NotHeld> {
        let copies = if self.keeps_text() { 2 } else { 1 };
        self.unread.grow_when_free(bytes * copies).await
    }

    fn keeps_text(&self) -> bool {
        self.exchange.turn.as_ref().is_some_and(Turn::retains)
    }

    /// Returns what can be forwarded: all of the piece, or the next complete event.
    fn take_ready(&mut self) -> Option<Bytes> {
        let Some(events) = &mut self.events else {
            let piece = self.ready.take()?;
            return Some(self.unread.split(piece.len()).tie_to(piece));
        };
        if let Some(piece) = self.ready.take() {
            events.push(piece);
        }
        while let Some(event) = events.next_event() {
            let times = self.pauses.as_mut().filter(|_| event.data.is_some());
            let times = times.and_then(TokenIntervals::record_event);
            let held = self.unread.split(event.raw.len());
            let last = self.exchange.last_event.as_deref();
            let kept = self.exchange.turn.as_ref().filter(|turn| turn.retains());
            let kept = self.unread.split(kept.map_or(0, |_| event.raw.len()));
            if self.is_resumed && last.is_some_and(|last| !event.is_after(last)) {
                // Replayed events were not generated now, so their pace is not the server's.
                continue;
            }
            if let (Some(times), Some(live)) = (times, &self.live) {
                live.tokens_came(times);
            }
            if let Some(turn) = &mut self.exchange.turn {
                turn.hand_on(&event, kept);
            }
            if event.id.is_some() {
                self.exchange.last_event = event.id;
            }
            return Some(held.tie_to(event.raw));
        }
        None
    }

    /// Returns the bytes after the last event of a complete answer, which belong to it too.
    fn take_remainder(&mut self) -> Option<Bytes> {
        if let Some(live) = self.live.take() {
            self.served_by = live.server().to_string();
        }
        let rest = self.events.as_mut()?.take_remainder();
        let held = self.unread.split(rest.len());
        Some(held.tie_to(rest)).filter(|rest| !rest.is_empty())
    }

    fn has_overlong_event(&self) -> bool {
        let most = self.exchange.shared.settings.most_answer_bytes;
        self.events.as_ref().is_some_and(|events| events.pending_bytes() > most)
    }

    async fn end(&mut self) -> Next {
        let Some(turn) = self.exchange.turn.take() else { return Next::End };
        match turn.whole(self.served_by.clone()).await {
            Ok(()) => Next::End,
            Err(error) => self.break_off(&format!("the turn is not recorded: {error}")),
        }
    }

    /// Resumes the stream at another server after the last complete event. The caller keeps the
    /// first head.
    async fn resume(&mut self) -> bool {
        self.live = None;
        if let Some(events) = &mut self.events {
            events.take_remainder();
        }
        self.unread = self.exchange.caller.nothing();
        while self.exchange.answer_lost().await.is_ok() {
            let Ok(mut live) = self.exchange.live_answer().await else { return false };
            if live.parts.status.is_success() {
                self.exchange.log.stream_resumed(live.server());
                self.live = Some(live);
                self.is_resumed = true;
                if let Some(pauses) = &mut self.pauses {
                    pauses.restart();
                }
                count(&self.exchange.shared.counters.resumed);
                return true;
            }
            live.set_end(AttemptEnd::Answered);
        }
        false
    }
}
