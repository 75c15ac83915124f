//! Step 1: checks the head of a request, and reads its body within the limits.

use bytes::Bytes;
use dahlia_backends::TurnSize;
use dahlia_ledger::{ProgramName, TurnId};
use dahlia_types::{KeyDigest, TenantId, Tokens};
use http::header::{AUTHORIZATION, CONTENT_LENGTH, COOKIE, EXPECT, HOST};
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, Version, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use tokio::select;
use tokio::time::{Duration, Instant, timeout_at};

use crate::caller::CallerState;
use crate::memory::{CallerQuota, MemoryReservation, ReservationError, ReservedBody};
use crate::refusal::Refusal;
use crate::request_body::RequestBody;
use crate::request_room::RequestRoom;
use crate::{CallerLimits, HeaderNames, hop_by_hop};

/// The longest identifier that callers may choose, in bytes.
const MAX_IDENTIFIER_BYTES: usize = 128;
/// Bytes of a header line besides name and value: colon, space, carriage return, line feed.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;

/// Header lines whose memory is part of what each connection may take.
const COUNTED_HEADER_LINES: usize = 32;
/// Bytes of a line in a header map that has grown to twice its lines, and of its copy for a server.
const HEADER_LINE_BYTES: usize = 500;

/// The head of a request, without the headers of the caller's connection and those that the relay
/// sets itself.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) target: PathAndQuery,
    /// In lower case, without a port.
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    pub(crate) attempt: HeaderValue,
    /// How long the caller waits, if it says so.
    pub(crate) caller_timeout: Option<Duration>,
    /// Time until its program should end, if the caller says so.
    pub(crate) program_time_left: Option<dahlia_types::Duration>,
    /// Lines that arrived.
    line_count: usize,
    /// The memory of its lines, beyond what each connection has for them.
    pub(crate) line_reservation: Option<MemoryReservation>,
    /// The caller's `Authorization` header.
    authorization: Option<HeaderValue>,
}

/// A stream that its caller takes up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TakenUpStream<'a> {
    /// The attempt that brought its first event, if the caller says so.
    pub(crate) first_attempt: Option<&'a [u8]>,
}

impl RequestHead {
    /// Checks and parses a head.
    pub(crate) fn parse(
        mut parts: request::Parts,
        names: &HeaderNames,
        limits: &CallerLimits,
    ) -> Result<Self, Refusal> {
        if head_bytes(&parts.uri, &parts.headers) > limits.header_bytes {
            return Err(Refusal::HeadTooLarge);
        }
        // Lines that are removed leave their places in the map.
        let line_count = parts.headers.len();
        let target = parts.uri.path_and_query().cloned();
        let target = target.ok_or(Refusal::NotProper { reason: "it names no path" })?;
        let host = parse_host(&parts)?;
        let attempt = parse_attempt(&parts.headers, names)?;
        let caller_timeout = parts.headers.get(&names.deadline).and_then(parse_milliseconds);
        let program_time_left =
            parts.headers.get(&names.program_deadline).and_then(parse_milliseconds);
        let program_time_left =
            program_time_left.map(|left| dahlia_types::Duration::from_secs_f64(left.as_secs_f64()));
        let headers = &mut parts.headers;
        // Read before headers are removed: a caller may name any header in `Connection`.
        let authorization = mark_authorization(headers);
        hop_by_hop::strip_headers(headers);
        // The body is read whole here, which is all that `Expect` asks for. Its length is set again
        // when it is sent.
        for name in [&EXPECT, &CONTENT_LENGTH] {
            headers.remove(name);
        }
        for name in names.reserved() {
            headers.remove(name);
        }
        Ok(Self {
            method: parts.method,
            target,
            host,
            headers: parts.headers,
            attempt,
            caller_timeout,
            program_time_left,
            line_count,
            line_reservation: None,
            authorization,
        })
    }

    /// Bytes of its lines that the account of its connection does not cover.
    pub(crate) fn uncounted_line_bytes(&self) -> usize {
        self.line_count.saturating_sub(COUNTED_HEADER_LINES) * HEADER_LINE_BYTES
    }

    /// The object that the request concerns, by a cookie.
    pub(crate) fn affinity_object(&self, names: &HeaderNames) -> Option<&str> {
        let cookies = self.headers.get_all(COOKIE).iter();
        let cookies = cookies.filter_map(|value| value.to_str().ok());
        let pairs = cookies.flat_map(|value| value.split(';'));
        let mut pairs = pairs.filter_map(|pair| pair.trim().split_once('='));
        let (_, object) = pairs.find(|(name, _)| *name == names.object_cookie)?;
        Some(object).filter(|object| !object.is_empty())
    }

    /// The digest of the caller's key; none without a key, or with more than one.
    pub(crate) fn key_digest(&self, names: &HeaderNames) -> Option<KeyDigest> {
        let value = self.authorization.as_ref()?.as_bytes();
        let (scheme, key) = value.split_at_checked(names.key_scheme.len())?;
        let is_key = scheme.eq_ignore_ascii_case(names.key_scheme.as_bytes());
        let key = key.strip_prefix(b" ").filter(|_| is_key)?.trim_ascii();
        (!key.is_empty()).then(|| KeyDigest::of(key))
    }

    /// Removes the caller's key, so that it is not passed on.
    pub(crate) fn remove_key(&mut self) {
        self.authorization = None;
        self.headers.remove(AUTHORIZATION);
    }

    /// The value of a header as text, if it has one that is not empty.
    pub(crate) fn text(&self, name: &HeaderName) -> Option<&str> {
        let text = self.headers.get(name)?.to_str().ok()?.trim();
        Some(text).filter(|text| !text.is_empty())
    }

    /// The stream that the caller takes up; none if the request begins one.
    pub(crate) fn taken_up_stream(&self, names: &HeaderNames) -> Option<TakenUpStream<'_>> {
        let first_attempt = self.headers.get(&names.resumes).map(HeaderValue::as_bytes);
        let last_event = self.headers.get(&names.last_event);
        (first_attempt.is_some() || last_event.is_some()).then_some(TakenUpStream { first_attempt })
    }

    /// An identifier that the caller chose, from a header.
    pub(crate) fn identifier(&self, name: &HeaderName) -> Result<Option<&str>, Refusal> {
        match self.text(name) {
            Some(text) if text.len() > MAX_IDENTIFIER_BYTES => {
                Err(Refusal::NotProper { reason: "an identifier is too long" })
            }
            text => Ok(text),
        }
    }

    pub(crate) fn program(
        &self,
        names: &HeaderNames,
        tenant: Option<&TenantId>,
    ) -> Result<Option<ProgramName>, Refusal> {
        let name = self.identifier(&names.program)?;
        Ok(name.map(|name| ProgramName::new(tenant, name)))
    }

    pub(crate) fn previous_turn(
        &self,
        names: &HeaderNames,
        tenant: Option<&TenantId>,
    ) -> Result<Option<TurnId>, Refusal> {
        let turn = self.identifier(&names.previous_turn)?;
        Ok(turn.map(|turn| TurnId::new(tenant, turn)))
    }

    pub(crate) fn budget(&self, names: &HeaderNames) -> Result<Option<Tokens>, Refusal> {
        let Some(text) = self.text(&names.budget) else { return Ok(None) };
        let tokens = text.parse().map_err(|_| Refusal::NotProper { reason: "the token budget" })?;
        Ok(Some(Tokens(tokens)))
    }

    /// The request's size; none if the caller does not state it.
    pub(crate) fn turn_size(&self, names: &HeaderNames) -> Option<TurnSize> {
        let (prompt, max_generated) = self.token_count(names)?;
        let hint = self.text(&names.length_hint).and_then(|hint| hint.parse().ok());
        let generated = hint.map_or(max_generated, |hint| Tokens(hint).min(max_generated));
        Some(TurnSize { prompt, generated })
    }

    /// The tokens of the prompt plus the most tokens of the answer.
    pub(crate) fn total_tokens(&self, names: &HeaderNames) -> Option<Tokens> {
        let (prompt, max_generated) = self.token_count(names)?;
        Some(Tokens(prompt.0.saturating_add(max_generated.0)))
    }

    /// The tokens of the prompt, and the most tokens of the answer.
    fn token_count(&self, names: &HeaderNames) -> Option<(Tokens, Tokens)> {
        let (prompt, max_generated) = self.text(&names.token_count)?.split_once(',')?;
        let (prompt, max_generated) =
            (prompt.trim().parse().ok()?, max_generated.trim().parse().ok()?);
        Some((Tokens(prompt), Tokens(max_generated)))
    }

    /// The most tokens that the answer may have: the second number of the token count.
    pub(crate) fn max_generated(&self, names: &HeaderNames) -> Option<Tokens> {
        let (_, max_generated) = self.text(&names.token_count)?.split_once(',')?;
        max_generated.trim().parse().ok().map(Tokens)
    }
}

/// The length of a request with its body, in bytes; none if its head does not tell.
pub(crate) fn request_bytes(request: &Request<Incoming>) -> Option<u64> {
    // The method, two spaces, the version and the empty line.
    let request_line = request.method().as_str().len() + " HTTP/1.1".len() + 1 + 2 * "\r\n".len();
    let authority = request.uri().authority();
    let authority = authority.map_or(0, |it| "https://".len() + it.as_str().len());
    let head = head_bytes(request.uri(), request.headers()) + request_line + authority;
    Some(head as u64 + request.size_hint().exact()?)
}

/// The bytes of a head's target and header lines.
fn head_bytes(uri: &Uri, headers: &HeaderMap) -> usize {
    let target = uri.path_and_query().map_or(0, |target| target.as_str().len());
    let lines = headers.iter();
    let lines =
        lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES);
    target + lines.sum::<usize>()
}

/// The only value of `Authorization`, marked as sensitive so that nothing prints it.
fn mark_authorization(headers: &mut HeaderMap) -> Option<HeaderValue> {
    let is_key = |(name, _): &(&HeaderName, &mut HeaderValue)| **name == AUTHORIZATION;
    headers.iter_mut().filter(is_key).for_each(|(_, value)| value.set_sensitive(true));
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let (first, second) = (values.next(), values.next());
    first.filter(|_| second.is_none()).cloned()
}

fn parse_host(parts: &request::Parts) -> Result<String, Refusal> {
    if let Some(host) = parts.uri.host() {
        return Ok(host.to_ascii_lowercase());
    }
    let mut values = parts.headers.get_all(HOST).iter();
    let (first, second) = (values.next(), values.next());
    let text = match (first, second) {
        (Some(value), None) => value.to_str().unwrap_or_default(),
        (None, _) if parts.version < Version::HTTP_11 => "",
        _ => return Err(Refusal::NotProper { reason: "it must name one host" }),
    };
    Ok(without_port(text).to_ascii_lowercase())
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn parse_attempt(headers: &HeaderMap, names: &HeaderNames) -> Result<HeaderValue, Refusal> {
    let mut values = headers.get_all(&names.attempt).iter();
    match (values.next(), values.next()) {
        (Some(id), None) if !id.is_empty() && id.len() <= MAX_IDENTIFIER_BYTES => Ok(id.clone()),
        _ => Err(Refusal::NotProper { reason: "it must have one attempt id" }),
    }
}

fn parse_milliseconds(value: &HeaderValue) -> Option<Duration> {
    let milliseconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1e3).ok()
}

/// Reads a body within limits, until a deadline, with memory of its caller's quota.
pub(crate) struct BodyReader<'a> {
    pub(crate) limits: &'a CallerLimits,
    pub(crate) deadline: Instant,
    pub(crate) caller: &'a CallerQuota,
    pub(crate) state: &'a CallerState,
    pub(crate) room: &'a RequestRoom<'a>,
}

impl BodyReader<'_> {
    /// Reads a body to its end.
    ///
    /// # Errors
    /// The body is longer than the limit, pauses for longer than a head may take, does not arrive
    /// in time, breaks off, finds no memory, or ends in favour of other requests.
    pub(crate) async fn read(&self, body: Incoming) -> Result<ReservedBody, BodyError> {
        self.state.record_body_progress();
        let result = select! {
            result = self.read_to_end(body) => result,
            () = self.state.must_close() => Err(BodyError::Displaced),
        };
        self.state.end_body();
        result
    }

    async fn read_to_end(&self, mut body: Incoming) -> Result<ReservedBody, BodyError> {
        if body.size_hint().lower() > self.limits.body_bytes as u64 {
            return Err(Refusal::BodyTooLarge.into());
        }
        let expected = body.size_hint().exact();
        let mut buffer = RequestBody::new(expected, self.limits.body_bytes, self.caller);
        while let Some(data) = self.next_data(&mut body).await? {
            if buffer.len() + data.len() > self.limits.body_bytes {
                return Err(Refusal::BodyTooLarge.into());
            }
            self.state.record_body_progress();
            self.push(&mut buffer, data).await?;
        }
        Ok(buffer.finish())
    }

    /// Appends a piece. If there is no memory for it, uploads that have stalled end first.
    async fn push(
        &self,
        buffer: &mut RequestBody,
        mut piece: Bytes,
    ) -> Result<(), ReservationError> {
        loop {
            match buffer.push(&mut piece) {
                Err(ReservationError::GatewayFull) if self.room.make(self.state.id()).await => {}
                pushed => return pushed,
            }
        }
    }

    async fn next_data(&self, body: &mut Incoming) -> Result<Option<Bytes>, Refusal> {
        let max_pause = Duration::from_micros(self.limits.header_timeout.as_micros());
        loop {
            let deadline = self.deadline.min(Instant::now() + max_pause);
            let frame = timeout_at(deadline, body.frame()).await.map_err(|_| Refusal::TooSlow)?;
            match frame {
                None => return Ok(None),
                Some(Err(_)) => {
                    return Err(Refusal::NotProper { reason: "its body broke off" });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }
}

/// Why a body could not be read completely.
#[derive(Debug, Snafu)]
pub(crate) enum BodyError {
    /// The request is refused.
    #[snafu(context(false), display("{source}"))]
    Refused { source: Refusal },
    /// No memory is available for the body.
    #[snafu(context(false), display("{source}"))]
    NoMemory { source: ReservationError },
    /// The connection closes in favour of others.
    #[snafu(display("there is no room for the connection"))]
    Displaced,
}
