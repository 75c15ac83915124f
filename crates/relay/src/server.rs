//! Serves callers' connections, and runs the steps that every request goes through.

use std::convert::Infallible;
use std::error::Error;
use std::io;
use std::pin::pin;
use std::sync::Arc;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::select;
use tokio::sync::Semaphore;
use tokio::time::{Duration, Instant, sleep, sleep_until, timeout_at};

use crate::answer::hand_on;
use crate::body::AnswerBody;
use crate::caller::{CallerState, CallerStream, RestCheck};
use crate::counters::{Gauge, GaugeGuard, count};
use crate::decisions::{LeavingGuard, RequestLog};
use crate::exchange::{Answer, Exchange};
use crate::memory::CallerBytes;
use crate::refusal::Refusal;
use crate::relay::Shared;
use crate::request::{BodyError, BodyReading, RequestHead};
use crate::router::{Matched, key_of};
use crate::tenant::{Permit, identify};
use crate::{TenantLimits, TurnLedger};

/// Delay before the next accept after the system failed to accept a connection, e.g. for lack of
/// file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest buffer that hyper allows, in bytes. A head must fit into the buffer.
const LEAST_BUFFER: usize = 8_192;
/// The response to a head that timed out; hyper itself would close the connection without one.
const HEAD_TOO_SLOW: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Accepts connections until the future is dropped. Connections beyond the limit wait in the
/// listener's queue.
pub(crate) async fn accept<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    listener: TcpListener,
) {
    let places = Arc::new(Semaphore::new(shared.settings.most_connections));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(shared);
                tokio::spawn(async move {
                    serve_connection(&shared, stream).await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!(target: "relay", "taking a connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    stream: TcpStream,
) {
    count(&shared.counters.connections);
    let _open = GaugeGuard::new(&shared.counters, Gauge::OpenConnections);
    let _ = stream.set_nodelay(true);
    let limits = shared.limits();
    let most_rest = Duration::from_micros(limits.idle_timeout.as_micros());
    let most_head_time = Duration::from_micros(limits.header_timeout.as_micros());
    let state = CallerState::new();
    // A head must fit into the read buffer, and as much of an answer waits to be written.
    let buffer = limits.header_bytes.max(LEAST_BUFFER);
    let caller = shared.held.caller(2 * buffer);
    let io = TokioIo::new(CallerStream::new(stream, state.clone(), most_head_time));
    let service = service_fn(|request| handle(shared, &state, &caller, request));
    let mut connection = http1::Builder::new()
        .auto_date_header(false)
        .header_read_timeout(None)
        .max_buf_size(buffer)
        .serve_connection(io, service);
    let mut drain = shared.drain.subscribe();
    let mut may_begin_drain = !*drain.borrow_and_update();
    let mut alarm = pin!(sleep_until(Instant::now() + most_rest));
    loop {
        select! {
            biased;
            result = &mut connection => {
                if let Err(error) = result {
                    log::debug!(target: "relay", "a caller's connection: {error}");
                    if is_timeout(&error) && state.awaits_head() {
                        connection.into_parts().io.into_inner().last_word(HEAD_TOO_SLOW);
                    }
                }
                return;
            }
            () = &mut alarm => match state.check_rest(Instant::now(), most_rest) {
                RestCheck::Until(moment) => alarm.as_mut().reset(moment),
                RestCheck::TooLong => return,
            },
            _ = drain.changed(), if may_begin_drain => {
                may_begin_drain = false;
                if state.may_be_closed() {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        }
    }
}

/// Whether a connection failed because bytes did not arrive in time.
fn is_timeout(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    cause.is_some_and(|cause| cause.kind() == io::ErrorKind::TimedOut)
}

/// Answers one request, with a refusal if there is no other answer.
async fn handle<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    state: &CallerState,
    caller: &CallerBytes,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let busy = state.busy();
    count(&shared.counters.requests);
    let gauge = GaugeGuard::new(&shared.counters, Gauge::InProgress);
    let mut log = RequestLog::new(Arc::clone(&shared.metrics), Instant::now());
    let mut leaving = LeavingGuard::default();
    let answer = serve(shared, state, caller, request, &mut log, &mut leaving).await;
    leaving.ended();
    let mut answer = answer.unwrap_or_else(|refusal| {
        log.refused(&refusal);
        refusal.into_response(&shared.counters)
    });
    if answer.body().is_stream() {
        state.answer_streams(Duration::from_millis(shared.settings.caller_stall_ms));
    }
    if shared.lets_callers_go() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer.body_mut().hold(gauge, busy);
    Ok(answer)
}

async fn serve<L: TurnLedger + TenantLimits>(
    shared: &Arc<Shared<L>>,
    state: &CallerState,
    caller: &CallerBytes,
    request: Request<Incoming>,
    log: &mut RequestLog,
    leaving: &mut LeavingGuard,
) -> Result<Response<AnswerBody>, Refusal> {
    let arrived = Instant::now();
    let limits = shared.limits();
    let (parts, body) = request.into_parts();
    let mut head = RequestHead::parse(parts, &shared.headers, &limits)?;
    log.name(&head);
    leaving.began(log.clone());
    refuse_without_memory(shared, &head)?;
    let body_timeout = Duration::from_millis(shared.settings.body_timeout_ms);
    let until = arrived + head.patience.map_or(body_timeout, |left| left.min(body_timeout));
    let reading = BodyReading { limits: &limits, until, caller };
    let body = reading.read(body).await.map_err(|error| match error {
        BodyError::Refused { source } => source,
        BodyError::NotHeld { .. } => memory_full(shared),
    })?;
    if shared.is_refusing() {
        let retry_after = dahlia_types::Duration::from_millis(shared.settings.retry_after_ms);
        return Err(Refusal::Stopping { retry_after });
    }
    let mut matched = matched(shared, &head)?;
    identify(shared, &mut matched, &mut head)?;
    let deadline = arrived + time_to_answer(&matched, &head);
    state.answer_due(deadline);
    log.routed(&matched, head.text(&shared.headers.program), deadline);
    let permit = Permit::take(shared, &matched, &head, deadline).await?;
    log.permitted(permit.is_some());
    let method = head.method.clone();
    let mut exchange =
        Exchange::new(Arc::clone(shared), matched, head, body, deadline, log.clone(), caller);
    let refusal = match timeout_at(deadline, open_and_answer(&mut exchange)).await {
        Ok(Ok(answer)) => return Ok(hand_on(exchange, answer, &method)),
        Ok(Err(refusal)) => refusal,
        Err(_) => exchange.out_of_time(),
    };
    if let Some(permit) = permit.filter(|_| !exchange.may_have_run()) {
        permit.give_back(shared);
    }
    Err(refusal)
}

/// Refuses a request before its body is read, if there is no memory for it.
fn refuse_without_memory<L: TurnLedger>(
    shared: &Shared<L>,
    head: &RequestHead,
) -> Result<(), Refusal> {
    if shared.held.may_begin(false) {
        return Ok(());
    }
    let mut matched = matched(shared, head)?;
    if let Some(key) = head.key(&shared.headers).filter(|_| matched.has_tenants()) {
        matched.find_tenant(key);
    }
    let is_stream = matched.route().is_stream;
    let stage = shared.programs.stage(head, &shared.headers, matched.tenant(), is_stream);
    match shared.held.may_begin(stage.is_under_way()) {
        true => Ok(()),
        false => Err(memory_full(shared)),
    }
}

fn memory_full<L>(shared: &Shared<L>) -> Refusal {
    let retry_after = dahlia_types::Duration::from_millis(shared.settings.retry_after_ms);
    Refusal::MemoryFull { retry_after }
}

async fn open_and_answer<L: TurnLedger>(exchange: &mut Exchange<L>) -> Result<Answer, Refusal> {
    exchange.open_turn().await?;
    exchange.answer().await
}

/// Matches the request to the routes in force.
fn matched<L: TurnLedger>(shared: &Shared<L>, head: &RequestHead) -> Result<Matched, Refusal> {
    let retry_after = dahlia_types::Duration::from_millis(shared.settings.retry_after_ms);
    let routing = shared.routing().ok_or(Refusal::NoConfiguration { retry_after })?;
    let program = head.text(&shared.headers.program).map(str::as_bytes);
    let key = key_of(program.unwrap_or(head.attempt.as_bytes()));
    routing.find(&head.host, head.target.path(), key).ok_or(Refusal::NoRoute)
}

fn time_to_answer(matched: &Matched, head: &RequestHead) -> Duration {
    let route = Duration::from_micros(matched.route().timeout.as_micros());
    head.patience.map_or(route, |patience| patience.min(route))
}
