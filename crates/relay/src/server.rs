//! Serves callers' connections, and runs the steps that every request goes through.

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::pin::pin;
use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout_at};

use crate::answer::{describes_omitted_body, forward};
use crate::body::AnswerBody;
use crate::caller::{CallerState, CallerStream, CloseReply, IdleCheck, MIN_UPLOAD_STALL};
use crate::caller_connections::IDLE_CONNECTION_BYTES;
use crate::counters::{Gauge, GaugeGuard, count};
use crate::exchange::{Answer, Exchange};
use crate::memory::{CallerQuota, MemoryReservation, ReservationError};
use crate::refusal::Refusal;
use crate::relay::Shared;
use crate::request::{BodyError, BodyReader, RequestHead, request_bytes};
use crate::request_log::{DisconnectGuard, RequestLog};
use crate::request_room::RequestRoom;
use crate::router::{RouteMatch, hash_key};
use crate::tenant::{Permit, authenticate};
use crate::{TenantLimits, TurnLedger};

/// Delay before the next accept after the system failed to accept a connection, e.g. for lack of
/// file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The smallest buffer that hyper allows, in bytes. A head must fit into the buffer.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Bytes of the shortest header line, as [`RequestHead`] counts them: a name of one byte and no value.
const SHORTEST_HEADER_LINE_BYTES: usize = 5;
/// The header lines that are accepted whatever the limit on a head is.
const MIN_HEADER_LINES: usize = 100;
/// hyper's header map panics above three quarters of 32,768 lines.
const MAX_HEADER_LINES: usize = 24_000;
/// The response to a head that timed out; hyper itself would close the connection without one.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// The response to a head that does not arrive while there is no room for its connection.
const HEAD_REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Accepts connections until [`Relay::stop_accepting`](crate::Relay::stop_accepting), or until the
/// future is dropped. Connections beyond the limit take the places of those that wait for their callers,
/// or wait in the listener's queue.
pub(crate) async fn accept<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    listener: TcpListener,
) {
    let mut stopping = shared.stops_accepting.subscribe();
    // A connection that waits for room must not be lost when the relay stops accepting.
    let mut accepted = None;
    select! {
        () = accept_within_limit(shared, &listener, &mut accepted) => return,
        _ = stopping.wait_for(|is_stopping| *is_stopping) => {}
    }
    if let Some(stream) = accepted {
        spawn_connection(shared, stream);
    }
    if let Err(error) = accept_queued(shared, listener) {
        log::warn!(target: "relay", "taking the last connections: {error}");
    }
}

async fn accept_within_limit<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    listener: &TcpListener,
    accepted: &mut Option<TcpStream>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                *accepted = Some(stream);
                shared.connections.room().await;
                if let Some(stream) = accepted.take() {
                    spawn_connection(shared, stream);
                }
            }
            Err(error) => {
                log::warn!(target: "relay", "taking a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts all connections in the listener's queue and closes the listener. Closing it resets the
/// connections that are still queued, whose callers may have sent requests.
fn accept_queued<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    listener: TcpListener,
) -> io::Result<()> {
    // Tokio's listener may not have noticed the latest connections.
    let listener = listener.into_std()?;
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => continue,
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        spawn_connection(shared, TcpStream::from_std(stream)?);
    }
}

/// Serves a connection in a task of its own. It counts as open at once.
fn spawn_connection<L: TurnLedger + TenantLimits>(shared: &Arc<Shared<L>>, stream: TcpStream) {
    count(&shared.counters.connections);
    let open = GaugeGuard::new(&shared.counters, Gauge::OpenConnections);
    // A head must fit into the read buffer.
    let buffer = shared.limits().header_bytes.max(MIN_BUFFER_BYTES);
    // A request needs another buffer for its body or the next head, and the rest of its task.
    let state = shared.connections.open(2 * buffer + IDLE_CONNECTION_BYTES);
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        serve_connection(&shared, stream, state, buffer).await;
        drop(open);
    });
}

async fn serve_connection<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    stream: TcpStream,
    state: CallerState,
    buffer: usize,
) {
    let _ = stream.set_nodelay(true);
    let limits = shared.limits();
    let idle_timeout = Duration::from_micros(limits.idle_timeout.as_micros());
    let header_timeout = Duration::from_micros(limits.header_timeout.as_micros());
    let max_stall = Duration::from_millis(shared.settings.caller_stall_ms);
    // As much of an answer as of a head may wait to be written.
    let caller = shared.memory.caller_quota(2 * buffer);
    let io = TokioIo::new(CallerStream::new(stream, state.clone(), header_timeout, max_stall));
    // Boxed, so that an idle connection does not take the memory of a request.
    let service = service_fn(|request| Box::pin(handle_request(shared, &state, &caller, request)));
    let mut connection = http1::Builder::new()
        .auto_date_header(false)
        .header_read_timeout(None)
        .max_buf_size(buffer)
        .max_headers(max_header_lines(limits.header_bytes))
        .serve_connection(io, service);
    let mut drain = shared.drain.subscribe();
    let mut may_start_drain = !*drain.borrow_and_update();
    let mut idle_timer = pin!(sleep_until(Instant::now() + idle_timeout));
    let mut must_close = pin!(state.must_close());
    let mut may_be_displaced = true;
    loop {
        select! {
            biased;
            result = &mut connection => {
                if let Err(error) = result {
                    log::debug!(target: "relay", "a caller's connection: {error}");
                    if is_timeout(&error) && state.is_reading_head() {
                        connection.into_parts().io.into_inner().write_last(HEAD_TIMEOUT_RESPONSE);
                    }
                }
                return;
            }
            () = &mut idle_timer => match state.check_idle(Instant::now(), idle_timeout) {
                IdleCheck::NotBefore(moment) => idle_timer.as_mut().reset(moment),
                IdleCheck::Expired => return,
            },
            () = &mut must_close, if may_be_displaced => match state.close_reply() {
                CloseReply::None => return,
                CloseReply::RefuseHead => {
                    connection.into_parts().io.into_inner().write_last(HEAD_REFUSAL);
                    return;
                }
                CloseReply::LeaveToRequest => {
                    may_be_displaced = false;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            },
            _ = drain.changed(), if may_start_drain => {
                may_start_drain = false;
                if state.is_safe_to_close() {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    }
}

/// The most lines that a head within the limit can have, as far as a header map can hold them.
fn max_header_lines(header_bytes: usize) -> usize {
    (header_bytes / SHORTEST_HEADER_LINE_BYTES).clamp(MIN_HEADER_LINES, MAX_HEADER_LINES)
}

/// Whether a connection failed because bytes did not arrive in time.
fn is_timeout(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

/// Answers one request, with a refusal if there is no other answer.
async fn handle_request<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    state: &CallerState,
    caller: &CallerQuota,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let busy = state.mark_busy(request_bytes(&request));
    let has_chunks = request.version() >= Version::HTTP_11;
    let method = request.method().clone();
    count(&shared.counters.requests);
    let gauge = GaugeGuard::new(&shared.counters, Gauge::InProgress);
    let mut log = RequestLog::new(Arc::clone(&shared.metrics), Instant::now());
    let mut disconnect = DisconnectGuard::default();
    // Kept until there is an answer.
    let turn = match busy.sends_ahead() {
        true => state.await_turn(&shared.sent_ahead).await,
        false => None,
    };
    let answer = match state.is_displaced() {
        true => Err(memory_full(shared)),
        false => process_request(shared, state, caller, request, &mut log, &mut disconnect).await,
    };
    drop(turn);
    disconnect.finish();
    let mut answer = answer.unwrap_or_else(|refusal| {
        log.refused(&refusal);
        refusal.into_response(&shared.counters)
    });
    if answer.body().is_stream() {
        state.limit_stalls(Duration::from_millis(shared.settings.caller_stall_ms));
        if !has_chunks && !describes_omitted_body(answer.status(), &method) {
            state.begin_close_delimited_answer();
        }
    }
    if shared.closes_connections() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer.body_mut().attach_guards(gauge, busy);
    Ok(answer)
}

async fn process_request<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    state: &CallerState,
    caller: &CallerQuota,
    request: Request<Incoming>,
    log: &mut RequestLog,
    disconnect: &mut DisconnectGuard,
) -> Result<Response<AnswerBody>, Refusal> {
    let arrived = Instant::now();
    let limits = shared.limits();
    let (parts, body) = request.into_parts();
    let mut head = RequestHead::parse(parts, &shared.headers, &limits)?;
    log.set_attempt(&head);
    disconnect.start(log.clone());
    let room = RequestRoom { memory: &shared.memory, connections: &shared.connections };
    let mut lines = make_room_for_head(shared, &room, state, caller, &head).await?;
    let body_timeout = Duration::from_millis(shared.settings.body_timeout_ms);
    let body_deadline =
        arrived + head.caller_timeout.map_or(body_timeout, |timeout| timeout.min(body_timeout));
    let reader =
        BodyReader { limits: &limits, deadline: body_deadline, caller, state, room: &room };
    let body = reader.read(body).await.map_err(|error| match error {
        BodyError::Refused { source } => source,
        BodyError::NoMemory { .. } | BodyError::Displaced => memory_full(shared),
    })?;
    lines.end_arrival();
    head.line_reservation = Some(lines);
    if shared.refuses_requests() {
        let retry_after = dahlia_types::Duration::from_millis(shared.settings.retry_after_ms);
        return Err(Refusal::Stopping { retry_after });
    }
    let mut matched = match_route(shared, &head)?;
    authenticate(shared, &mut matched, &mut head)?;
    let deadline = arrived + answer_timeout(&matched, &head);
    state.set_answer_deadline(deadline);
    log.routed(&matched, head.text(&shared.headers.program), deadline);
    let permit = Permit::acquire(shared, &matched, &head, deadline).await?;
    log.permitted(permit.is_some());
    let method = head.method.clone();
    let mut exchange =
        Exchange::new(Arc::clone(shared), matched, head, body, deadline, log.clone(), caller);
    let refusal = match timeout_at(deadline, open_and_answer(&mut exchange)).await {
        Ok(Ok(answer)) => return Ok(forward(exchange, answer, &method)),
        Ok(Err(refusal)) => refusal,
        Err(_) => exchange.deadline_refusal(),
    };
    if let Some(permit) = permit.filter(|_| !exchange.may_have_run()) {
        permit.refund(shared);
    }
    Err(refusal)
}

/// Reserves the memory of a head's lines, once there is memory for its request. Uploads that have stalled
/// give way.
async fn make_room_for_head<L: TurnLedger>(
    shared: &Shared<L>,
    room: &RequestRoom<'_>,
    state: &CallerState,
    caller: &CallerQuota,
    head: &RequestHead,
) -> Result<MemoryReservation, Refusal> {
    while let Err(refusal) = refuse_without_memory(shared, head) {
        if !room.make(state.id()).await {
            return Err(refusal);
        }
    }
    let mut lines = caller.empty_reservation();
    while let Err(error) = lines.grow_arriving(head.uncounted_line_bytes()) {
        if error == ReservationError::CallerFull || !room.make(state.id()).await {
            return Err(memory_full(shared));
        }
    }
    Ok(lines)
}

/// Refuses a request before its body is read, if there is no memory for it.
fn refuse_without_memory<L: TurnLedger>(
    shared: &Shared<L>,
    head: &RequestHead,
) -> Result<(), Refusal> {
    if shared.memory.may_start(false) {
        return Ok(());
    }
    let mut matched = match_route(shared, head)?;
    if let Some(key) = head.key_digest(&shared.headers).filter(|_| matched.has_tenants()) {
        matched.find_tenant(key);
    }
    let is_stream = matched.route().is_stream;
    let stage = shared.programs.stage(head, &shared.headers, matched.tenant(), is_stream);
    match shared.memory.may_start(stage.is_under_way()) {
        true => Ok(()),
        false => Err(memory_full(shared)),
    }
}

fn memory_full<L>(shared: &Shared<L>) -> Refusal {
    let retry_after = dahlia_types::Duration::from_millis(shared.settings.retry_after_ms);
    // An upload that has just stalled makes room after this time.
    let stall = dahlia_types::Duration::from_millis(MIN_UPLOAD_STALL.as_millis() as u64);
    let retry_after = retry_after.max(stall);
    Refusal::MemoryFull { retry_after }
}

async fn open_and_answer<L: TurnLedger>(exchange: &mut Exchange<L>) -> Result<Answer, Refusal> {
    exchange.bind_taken_up_stream().await?;
    exchange.open_turn().await?;
    exchange.obtain_answer().await
}

/// Matches the request to the routes in force.
fn match_route<L: TurnLedger>(
    shared: &Shared<L>,
    head: &RequestHead,
) -> Result<RouteMatch, Refusal> {
    let retry_after = dahlia_types::Duration::from_millis(shared.settings.retry_after_ms);
    let index = shared.routing().ok_or(Refusal::NoConfiguration { retry_after })?;
    let program = head.text(&shared.headers.program).map(str::as_bytes);
    // The tries of one stream go to one service.
    let taken_up = head.taken_up_stream(&shared.headers);
    let attempt = taken_up.and_then(|it| it.first_attempt).unwrap_or(head.attempt.as_bytes());
    let key = hash_key(program.unwrap_or(attempt));
    index.find(&head.host, head.target.path(), key).ok_or(Refusal::NoRoute)
}

fn answer_timeout(matched: &RouteMatch, head: &RequestHead) -> Duration {
    let route = Duration::from_micros(matched.route().timeout.as_micros());
    head.caller_timeout.map_or(route, |timeout| timeout.min(route))
}
