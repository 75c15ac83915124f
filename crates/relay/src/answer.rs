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
use crate::body::{AnswerBody, BrokenStream, Pieces};
use crate::counters::count;
use crate::events::EventReader;
use crate::exchange::{Answer, Exchange};
use crate::hop_by_hop;
use crate::memory::{MemoryReservation, ReservationError};
use crate::received_answer::ReceivedAnswer;
use crate::repeats::{Loss, LossCause};
use crate::request_log::DisconnectGuard;
use crate::server_response::{BrokenAnswer, ServerResponse};
use crate::token_intervals::TokenIntervals;
use crate::turn::Turn;

/// Builds the caller's answer from a server's.
pub(crate) fn forward<L: TurnLedger>(
    mut exchange: Exchange<L>,
    answer: Answer,
    method: &Method,
) -> Response<AnswerBody> {
    count(&exchange.shared.counters.answered);
    match answer {
        Answer::Whole { mut response, body } => {
            match response.did_not_run {
                true => exchange.mark_not_run(),
                false => exchange.record_whole_answer(),
            }
            let (received, bytes) = (response.take_received(), body.bytes.len());
            let status = response.parts.status;
            exchange.log.answered(response.server(), status, bytes, received.as_ref());
            whole_response(response.parts, body.reservation.attach_to(body.bytes), method)
        }
        Answer::Stream { mut response, first } => {
            exchange.log.stream_began(response.server(), response.version(), response.parts.status);
            exchange.mark_answer_begun();
            let mut head = Response::new(());
            *head.status_mut() = response.parts.status;
            *head.headers_mut() = mem::take(&mut response.parts.headers);
            hop_by_hop::strip_headers(head.headers_mut());
            // A stream that continues at another server may have another length.
            head.headers_mut().remove(CONTENT_LENGTH);
            let pieces = RelayedStream::new(exchange, response, first).into_pieces();
            head.map(|()| AnswerBody::stream(pieces))
        }
    }
}

fn whole_response(
    mut parts: response::Parts,
    body: Bytes,
    method: &Method,
) -> Response<AnswerBody> {
    // The version belongs to each connection.
    parts.version = Version::HTTP_11;
    hop_by_hop::strip_headers(&mut parts.headers);
    if !describes_omitted_body(parts.status, method) {
        set_content_length(&mut parts.headers, &body);
    }
    Response::from_parts(parts, AnswerBody::whole(body))
}

/// Whether the length in the head describes a body that is not sent, as in answers to `HEAD`.
pub(crate) fn describes_omitted_body(status: StatusCode, method: &Method) -> bool {
    method == Method::HEAD || status == StatusCode::NOT_MODIFIED || status == StatusCode::NO_CONTENT
}

fn set_content_length(headers: &mut HeaderMap, body: &Bytes) {
    headers.insert(CONTENT_LENGTH, body.len().into());
}

/// A stream that is being forwarded to the caller.
struct RelayedStream<L: TurnLedger> {
    exchange: Exchange<L>,
    /// None once the server's answer has ended or broken off.
    response: Option<Box<ServerResponse>>,
    /// The piece that came with the head.
    first: Option<Bytes>,
    /// A piece that was read and not yet parsed.
    unparsed: Option<Bytes>,
    /// Memory of what was read and not yet forwarded, reserved twice where the turn will retain a
    /// copy.
    reservation: MemoryReservation,
    /// Splits the stream into events where that is needed: to resume after a complete event, or to
    /// account for a turn.
    events: Option<EventReader>,
    is_resumed: bool,
    /// What a resumed server has repeated so far.
    replay: Replay,
    /// For model servers: the intervals between tokens.
    intervals: Option<TokenIntervals>,
    /// The server whose answer was complete.
    served_by: String,
    /// What arrived of that answer.
    received: Option<ReceivedAnswer>,
    /// Why the stream is broken off; none if no server can resume it.
    break_cause: Option<String>,
    disconnect: DisconnectGuard,
}

/// Events that a resumed server sends although the caller has them.
enum Replay {
    /// The last one so far; none if the server has sent none.
    Until(Option<Bytes>),
    /// The server has sent an event that the caller lacked.
    Over,
}

impl Replay {
    fn record(&mut self, event: Option<Bytes>) {
        if let Self::Until(last) = self {
            *last = event;
        }
    }

    /// Whether it has begun and not reached the caller's last event.
    fn is_behind(&self, last_event: Option<&Bytes>) -> bool {
        matches!(self, Self::Until(Some(last)) if Some(last) != last_event)
    }
}

/// What the caller gets next.
enum NextPiece {
    Piece(Bytes),
    End,
    Broken,
}

impl<L: TurnLedger> RelayedStream<L> {
    fn new(exchange: Exchange<L>, response: Box<ServerResponse>, first: Option<Bytes>) -> Self {
        let needs_events = exchange.route().is_resumable || exchange.turn.is_some();
        let engine = exchange.matched.service().and_then(|service| service.engine.as_ref());
        let intervals = engine.map(|engine| TokenIntervals::new(engine.tokens_per_event));
        let mut disconnect = DisconnectGuard::default();
        disconnect.start(exchange.log.clone());
        Self {
            disconnect,
            break_cause: None,
            reservation: exchange.caller.empty_reservation(),
            exchange,
            response: Some(response),
            unparsed: None,
            first,
            events: needs_events.then(EventReader::default),
            is_resumed: false,
            replay: Replay::Over,
            intervals,
            served_by: String::new(),
            received: None,
        }
    }

    fn into_pieces(self) -> Pieces {
        let pieces = stream::unfold(Some(Box::new(self)), |answer| async move {
            let mut answer = answer?;
            match answer.next().await {
                NextPiece::Piece(piece) => Some((Ok(piece), Some(answer))),
                NextPiece::End => {
                    answer.exchange.record_whole_answer();
                    answer.log_end();
                    None
                }
                NextPiece::Broken => {
                    answer.log_break();
                    // hyper discards unflushed bytes when a body fails. It flushes when a body has
                    // to wait, so this wait lets the caller get every earlier piece.
                    yield_now().await;
                    count(&answer.exchange.shared.counters.broken_off);
                    Some((Err(BrokenStream), None))
                }
            }
        });
        Box::pin(pieces)
    }

    /// Returns the next piece for the caller, until the deadline.
    async fn next(&mut self) -> NextPiece {
        let deadline = self.exchange.deadline;
        // The stream is cut off at the deadline. The connection closes, and the server stops with
        // it.
        match timeout_at(deadline, self.next_piece()).await {
            Ok(next) => next,
            Err(_) => self.break_off("the deadline passed"),
        }
    }

    fn break_off(&mut self, cause: &str) -> NextPiece {
        self.break_cause = Some(cause.to_owned());
        NextPiece::Broken
    }

    fn log_end(&mut self) {
        self.disconnect.finish();
        self.exchange.log.stream_ended(&self.served_by, self.received.as_ref());
    }

    fn log_break(&mut self) {
        self.disconnect.finish();
        let cause = self.break_cause.as_deref().unwrap_or("no other server may take it up");
        self.exchange.log.stream_broken(cause);
    }

    async fn next_piece(&mut self) -> NextPiece {
        loop {
            if let Some(piece) = self.next_forwardable() {
                self.exchange.await_origin_sent().await;
                return NextPiece::Piece(piece);
            }
            if self.has_oversized_event() {
                return self.break_off("an event is too long");
            }
            let wait_started = Instant::now();
            match self.read().await {
                Some(Ok(piece)) => {
                    if let Some(intervals) = &mut self.intervals {
                        intervals.record_piece(wait_started, Instant::now());
                    }
                    if let Err(error) = self.reserve(piece.len()).await {
                        return self.break_off(&error.to_string());
                    }
                    self.unparsed = Some(piece);
                }
                Some(Err(BrokenAnswer { loss })) => {
                    if !self.resume(loss).await {
                        return NextPiece::Broken;
                    }
                }
                None if self.ended_in_replay() => {
                    if !self.resume(LossCause::InvalidAnswer.into()).await {
                        return NextPiece::Broken;
                    }
                }
                None => {
                    if let Some(remainder) = self.finish_response() {
                        return NextPiece::Piece(remainder);
                    }
                    if self.response.is_none() {
                        return self.finish_turn().await;
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
        self.response.as_mut()?.next().await
    }

    /// Reserves memory for bytes that were read. While none is available, nothing more is read.
    async fn reserve(&mut self, bytes: usize) -> Result<(), ReservationError> {
        let copies = if self.retains_text() { 2 } else { 1 };
        self.reservation.grow_when_available(bytes * copies).await
    }

    fn retains_text(&self) -> bool {
        self.exchange.turn.as_ref().is_some_and(Turn::retains_text)
    }

    /// Returns what can be forwarded: all of the piece, or the next complete event.
    fn next_forwardable(&mut self) -> Option<Bytes> {
        let Some(events) = &mut self.events else {
            let piece = self.unparsed.take()?;
            return Some(self.reservation.split(piece.len()).attach_to(piece));
        };
        if let Some(piece) = self.unparsed.take() {
            events.push(piece);
        }
        while let Some(event) = events.next_event() {
            let times = self.intervals.as_mut().filter(|_| event.data.is_some());
            let times = times.and_then(TokenIntervals::record_event);
            let forwarded = self.reservation.split(event.raw.len());
            let last_id = self.exchange.last_event.as_deref();
            let retained = self.exchange.turn.as_ref().filter(|turn| turn.retains_text());
            let retained = self.reservation.split(retained.map_or(0, |_| event.raw.len()));
            if self.is_resumed && last_id.is_some_and(|last| !event.is_after(last)) {
                // Replayed events were not generated now, so their pace is not the server's.
                self.replay.record(event.id);
                continue;
            }
            self.replay = Replay::Over;
            if let (Some(times), Some(response)) = (times, &self.response) {
                response.record_tokens(times);
            }
            if let Some(turn) = &mut self.exchange.turn {
                turn.record_event(&event, retained);
            }
            if let Some(response) = self.response.as_ref().filter(|_| event.has_content()) {
                self.exchange.bind_to_version(response.version());
            }
            if event.id.is_some() {
                self.exchange.last_event = event.id;
            }
            return Some(forwarded.attach_to(event.raw));
        }
        None
    }

    /// Whether a resumed server has ended its answer before it had repeated the last event that the caller has.
    fn ended_in_replay(&mut self) -> bool {
        let is_behind = self.replay.is_behind(self.exchange.last_event.as_ref());
        if let Some(response) = self.response.as_mut().filter(|_| is_behind) {
            response.fail(AttemptEnd::Broken, "the answer ended before the caller's last event");
        }
        is_behind
    }

    /// Ends a complete answer of a server. Returns the bytes after its last event, such as a comment, which belong to
    /// it too.
    fn finish_response(&mut self) -> Option<Bytes> {
        if let Some(mut response) = self.response.take() {
            self.served_by = response.server().to_string();
            self.received = response.take_received();
        }
        let remainder = self.events.as_mut()?.take_remainder();
        let forwarded = self.reservation.split(remainder.len());
        Some(forwarded.attach_to(remainder)).filter(|bytes| !bytes.is_empty())
    }

    fn has_oversized_event(&self) -> bool {
        let max_bytes = self.exchange.shared.settings.most_answer_bytes;
        self.events.as_ref().is_some_and(|events| events.pending_bytes() > max_bytes)
    }

    async fn finish_turn(&mut self) -> NextPiece {
        let Some(turn) = self.exchange.turn.take() else { return NextPiece::End };
        match turn.complete(self.served_by.clone()).await {
            Ok(()) => NextPiece::End,
            Err(error) => self.break_off(&format!("the turn is not recorded: {error}")),
        }
    }

    /// Resumes the stream at another server after the last complete event. The caller keeps the
    /// first head.
    async fn resume(&mut self, mut loss: Loss) -> bool {
        self.response = None;
        self.replay = Replay::Until(None);
        if let Some(events) = &mut self.events {
            events.take_remainder();
        }
        self.reservation = self.exchange.caller.empty_reservation();
        while self.exchange.handle_answer_lost(loss).await.is_ok() {
            let Ok(mut response) = self.exchange.send_until_response().await else {
                if self.exchange.is_bound_to_version() {
                    self.break_cause = Some("no server of its software version takes it up".into());
                }
                return false;
            };
            if response.parts.status.is_success() {
                self.exchange.log.stream_resumed(response.server(), response.version());
                self.response = Some(response);
                self.is_resumed = true;
                if let Some(intervals) = &mut self.intervals {
                    intervals.restart();
                }
                count(&self.exchange.shared.counters.resumed);
                return true;
            }
            response.set_end(AttemptEnd::Answered);
            loss = LossCause::InvalidAnswer.into();
        }
        false
    }
}
