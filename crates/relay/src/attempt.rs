//! Step 4: sends a request to one server, and classifies what came of it.
//!
//! A request that must not run twice may be sent again only if it cannot have run. There are three
//! proofs of that: no byte of it was sent, the server said so in a header, or the server answered
//! 421.

use std::sync::{Arc, PoisonError};

use dahlia_backends::{AttemptEnd, BackendAddress};
use dahlia_types::Duration;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, Response, StatusCode, response};
use hyper::body::{Body, Incoming};
use tokio::select;
use tokio::time::{self, Instant, timeout};

use crate::connection::{OpenError, SendError, ServerConnection};
use crate::counters::count;
use crate::end_confirmation::{ConfirmationContext, EndConfirmation, may_reuse_name};
use crate::health_check::HealthCheck;
use crate::idle_limit::Reset;
use crate::liveness::{Reachability, UsableConnections};
use crate::outgoing::OutgoingRequest;
use crate::pool::{Connected, KeepAlive};
use crate::received_answer::{BodyKind, ReceivedAnswer};
use crate::relay::Shared;
use crate::repeats::{Loss, LossCause};
use crate::server_response::{AttemptGuard, ServerResponse};
use crate::{Service, TurnLedger};

/// How long to wait for the rest of a refusal's body, so that the connection can be reused.
const REFUSAL_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(50);
/// The most bytes of a refusal's body to read, so that the connection can be reused.
const MAX_REFUSAL_BODY_BYTES: usize = 64 * 1024;

/// The highest status of HTTP (RFC 9110, section 15). hyper itself refuses those below 100.
const MAX_STATUS: u16 = 599;

/// The outcome of sending a request to a server.
pub(crate) enum SendOutcome {
    /// The server began to answer this request.
    Responding(Box<ServerResponse>),
    /// The request did not run and will not run.
    NotRun {
        /// When the server asks the caller to retry.
        retry_after: Option<Duration>,
    },
    /// The request may have run, and its answer is lost.
    AnswerLost(Loss),
}

/// A request that is ready to be sent to one server.
pub(crate) struct PreparedRequest<'a, L> {
    pub(crate) shared: &'a Arc<Shared<L>>,
    pub(crate) service: Option<&'a Service>,
    pub(crate) server: &'a BackendAddress,
    /// Whether a successful answer is a stream of events.
    pub(crate) is_stream: bool,
    pub(crate) outgoing: OutgoingRequest<'a>,
}

/// Returns an idle connection or a new one, or none if the server cannot be reached or does not
/// respond.
/// `tolerates_loss` says whether the request may be sent on a connection that the server may
/// already have dropped.
pub(crate) async fn connect<L>(
    shared: &Shared<L>,
    server: &BackendAddress,
    tolerates_loss: bool,
) -> Option<Connected> {
    let probe = match shared.liveness.usable_connections(&server.id) {
        UsableConnections::All => match shared.pool.take(&server.id, tolerates_loss) {
            Some(idle) => return Some(idle),
            None => None,
        },
        UsableConnections::New(probe) => Some(probe),
        UsableConnections::None => return None,
    };
    let opened = ServerConnection::open(server.address, &shared.settings).await;
    if let Some(probe) = probe {
        probe.finish(reachability(&opened));
    }
    match opened {
        Ok(connection) => {
            count(&shared.counters.connections_to_servers);
            Some(Connected { connection, idle_for: None })
        }
        Err(error) => {
            log::debug!(target: "relay", "{error}");
            None
        }
    }
}

/// What the result of opening a connection says of the server.
fn reachability(opened: &Result<ServerConnection, OpenError>) -> Reachability {
    match opened {
        Err(OpenError::Timeout { .. }) => Reachability::Silent,
        Ok(_) | Err(OpenError::Connect { .. } | OpenError::Start { .. }) => Reachability::Alive,
    }
}

impl<L: TurnLedger> PreparedRequest<'_, L> {
    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    /// The connection closed before any byte was sent. Returns the guard for another try.
    pub(crate) async fn send(
        self,
        connected: Connected,
        mut guard: AttemptGuard,
    ) -> Result<SendOutcome, AttemptGuard> {
        let Connected { mut connection, idle_for } = connected;
        let confirmation = self.early_confirmation().await;
        if let Some(waited) = self.shared.list_freshness.await_recent().await {
            guard.log_list_wait(waited);
        }
        if let Some(problem) = self.problem_before_send() {
            guard.fail(AttemptEnd::Cancelled, problem);
            return Ok(SendOutcome::NotRun { retry_after: None });
        }
        let sent_at = Instant::now();
        guard.record_send();
        let answer = select! {
            biased;
            answer = connection.send(self.outgoing.build()) => answer,
            loss = guard.watch.wait_until_lost() => {
                let cause = format!("{} before its answer", loss.cause.describe());
                guard.fail(AttemptEnd::Unreachable, &cause);
                return Ok(SendOutcome::AnswerLost(loss));
            }
        };
        match answer {
            Ok(answer) => Ok(self.classify_answer(connection, answer, confirmation, guard).await),
            Err(SendError::NotSent) => Err(guard),
            Err(error @ SendError::NoAnswer { .. }) => {
                let loss_cause = error.loss_cause();
                let reset = Reset { idle_for, delay: sent_at.elapsed() };
                // Bytes that are no answer come from a server that has the connection.
                let is_dropped_connection =
                    loss_cause != LossCause::InvalidAnswer && reset.is_from_dropped_connection();
                if is_dropped_connection {
                    self.shared.pool.record_reset(self.outgoing.expected_instance, reset);
                }
                let end =
                    if is_dropped_connection { AttemptEnd::Dropped } else { AttemptEnd::Broken };
                guard.fail(end, &error.to_string());
                Ok(SendOutcome::AnswerLost(loss_cause.into()))
            }
        }
    }

    /// Why the request must not be sent any more. Connections take their time, in which a server may leave.
    fn problem_before_send(&self) -> Option<&'static str> {
        let id = &self.server.id;
        let backends = self.shared.backends.lock().unwrap_or_else(PoisonError::into_inner);
        if backends.is_leaving_or_gone(id) {
            return Some("the server left before the request was sent");
        }
        if backends.is_on_probation(id, (self.shared.clock)()) {
            return Some("the server disappeared before the request was sent and may have left");
        }
        if backends.is_evacuated(id) {
            return Some("the server's zone was evacuated before the request was sent");
        }
        drop(backends);
        let is_late = self.outgoing.deadline <= Instant::now();
        is_late.then_some("the deadline passed before the request was sent")
    }

    async fn classify_answer(
        &self,
        connection: ServerConnection,
        answer: Response<Incoming>,
        confirmation: Option<Box<EndConfirmation>>,
        mut guard: AttemptGuard,
    ) -> SendOutcome {
        guard.watch.record_contact();
        let (parts, body) = answer.into_parts();
        if !self.belongs_to_attempt(&parts) {
            guard.fail(AttemptEnd::Broken, "the answer belongs to another attempt");
            return SendOutcome::AnswerLost(LossCause::InvalidAnswer.into());
        }
        if parts.status.as_u16() > MAX_STATUS {
            guard.fail(AttemptEnd::Broken, "the answer's status is none of HTTP");
            return SendOutcome::AnswerLost(LossCause::InvalidAnswer.into());
        }
        let kind = classify(&parts, &self.shared.headers.not_run);
        let keep_alive = KeepAlive::new(&parts.headers, self.service, &self.shared.settings);
        let pool = Arc::clone(&self.shared.pool);
        let did_not_run = kind == AnswerKind::NotRunAnswer;
        // Refusals and failures come fast even from a slow server, so they are not response times.
        if kind == AnswerKind::Answer && !parts.status.is_server_error() {
            guard.record_head();
        }
        let body_kind = match self.is_stream && parts.status.is_success() {
            _ if body.is_end_stream() => BodyKind::None,
            true => BodyKind::Stream,
            false => BodyKind::Other,
        };
        let received = ReceivedAnswer::new(&parts.headers, body_kind);
        let ends_with_connection = received.ends_with_connection();
        guard.follow_answer(received);
        let mut response =
            ServerResponse::new(parts, body, did_not_run, connection, keep_alive, pool, guard);
        match kind {
            AnswerKind::Answer | AnswerKind::NotRunAnswer => {
                if ends_with_connection {
                    self.record_unframed_answer();
                    let begin = || self.end_confirmation(keep_alive);
                    response.confirm_end_by(confirmation.unwrap_or_else(begin));
                }
                SendOutcome::Responding(Box::new(response))
            }
            AnswerKind::NotRun(end) => {
                let retry_after = parse_retry_after(&response.parts.headers);
                let remaining_body = response.discard_rest(MAX_REFUSAL_BODY_BYTES);
                let _ = timeout(REFUSAL_BODY_TIMEOUT, remaining_body).await;
                response.fail(end, &format!("not run: {}", response.parts.status));
                SendOutcome::NotRun { retry_after }
            }
            AnswerKind::UnprovenRefusal => {
                response.fail(AttemptEnd::Broken, "a promise that the server does not keep");
                SendOutcome::AnswerLost(LossCause::InvalidAnswer.into())
            }
        }
    }

    /// Prepares to confirm the end of an answer that ends with its connection.
    fn end_confirmation(&self, keep_alive: KeepAlive) -> Box<EndConfirmation> {
        let Shared { settings, pool, backends, counters, headers, .. } = &**self.shared;
        let context = ConfirmationContext {
            settings: Arc::clone(settings),
            pool: Arc::clone(pool),
            backends: Arc::clone(backends),
            counters: Arc::clone(counters),
        };
        let health_check = self.service.and_then(|service| {
            HealthCheck::new(&service.health_path, headers, settings, keep_alive)
        });
        Box::new(EndConfirmation::new(context, self.server.clone(), health_check, keep_alive))
    }

    /// Prepares to confirm the end of an answer before the request is sent, where the server's name does not show which process
    /// answers and an answer may come that ends with its connection.
    async fn early_confirmation(&self) -> Option<Box<EndConfirmation>> {
        let service = self.service.filter(|_| may_reuse_name(&self.server.id))?;
        if !self.shared.unframed_services.contain(&service.name) {
            return None;
        }
        let keep_alive = KeepAlive::new(&HeaderMap::new(), self.service, &self.shared.settings);
        let mut confirmation = self.end_confirmation(keep_alive);
        confirmation.second_opened().await;
        Some(confirmation)
    }

    fn record_unframed_answer(&self) {
        if let Some(service) = self.service {
            self.shared.unframed_services.record(&service.name);
        }
    }

    /// Whether the answer belongs to this attempt, by its attempt id. A server may send a surplus
    /// answer on the connection. Answers that switch protocols were never requested.
    fn belongs_to_attempt(&self, parts: &response::Parts) -> bool {
        let mut ids = parts.headers.get_all(&self.shared.headers.attempt).iter();
        ids.next() == Some(&self.outgoing.head.attempt)
            && ids.next().is_none()
            && !parts.status.is_informational()
    }
}

/// What the head of an answer says about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerKind {
    /// An answer for the caller; the request ran.
    Answer,
    /// An answer for the caller although the request did not run: no other server would answer
    /// better.
    NotRunAnswer,
    /// The request did not run, and another server may run it.
    NotRun(AttemptEnd),
    /// The status tells callers that the request never runs, but the server does not confirm that.
    UnprovenRefusal,
}

fn classify(parts: &response::Parts, not_run: &HeaderName) -> AnswerKind {
    let says_not_run = parts.headers.contains_key(not_run);
    match parts.status {
        StatusCode::MISDIRECTED_REQUEST => AnswerKind::NotRun(AttemptEnd::Leaving),
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::REQUEST_TIMEOUT => {
            if says_not_run {
                AnswerKind::NotRun(AttemptEnd::Refused)
            } else {
                AnswerKind::UnprovenRefusal
            }
        }
        _ if says_not_run => AnswerKind::NotRunAnswer,
        _ => AnswerKind::Answer,
    }
}

fn parse_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(seconds).filter(|seconds| *seconds >= 0.0).map(Duration::from_secs_f64)
}
