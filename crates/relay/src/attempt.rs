//! Step 4: sends a request to one server, and classifies what came of it.
//!
//! A request that must not run twice may be sent again only if it cannot have run. There are three
//! proofs of that: no byte of it was sent, the server said so in a header, or the server answered
//! 421.

use std::sync::Arc;

use dahlia_backends::{AttemptEnd, BackendAddress};
use dahlia_types::Duration;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, Response, StatusCode, response};
use hyper::body::Incoming;
use tokio::select;
use tokio::time::{self, Instant, timeout};

use crate::connection::{SendError, ServerConnection};
use crate::counters::count;
use crate::live::{AttemptGuard, LiveAnswer};
use crate::outgoing::Outgoing;
use crate::pool::{Connected, Keeping};
use crate::relay::Shared;
use crate::rest_limit::Reset;
use crate::{Service, TurnLedger};

/// How long to wait for the rest of a refusal's body, so that the connection can be reused.
const REFUSAL_BODY_TIMEOUT: time::Duration = time::Duration::from_millis(50);
/// The most bytes of a refusal's body to read, so that the connection can be reused.
const MOST_REFUSAL_BYTES: usize = 64 * 1024;

/// The outcome of sending a request to a server.
pub(crate) enum Sent {
    /// The server began to answer this request.
    Answering(Box<LiveAnswer>),
    /// The request did not run and will not run.
    NotRun {
        /// When the server asks the caller to retry.
        retry_after: Option<Duration>,
    },
    /// The request may have run, and its answer is lost.
    Broken,
}

/// A request that is ready to be sent to one server.
pub(crate) struct Sending<'a, L> {
    pub(crate) shared: &'a Arc<Shared<L>>,
    pub(crate) service: Option<&'a Service>,
    pub(crate) outgoing: Outgoing<'a>,
}

/// Returns an idle connection or a new one, or none if the server cannot be reached.
/// `tolerates_loss` says whether the request may be sent on a connection that the server may
/// already have dropped.
pub(crate) async fn connect<L>(
    shared: &Shared<L>,
    server: &BackendAddress,
    may_lose: bool,
) -> Option<Connected> {
    if let Some(kept) = shared.pool.take(&server.id, may_lose) {
        return Some(kept);
    }
    match ServerConnection::open(server.address, &shared.settings).await {
        Ok(connection) => {
            count(&shared.counters.connections_to_servers);
            Some(Connected { connection, rested: None })
        }
        Err(error) => {
            log::debug!(target: "relay", "{error}");
            None
        }
    }
}

impl<L: TurnLedger> Sending<'_, L> {
    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    /// The connection closed before any byte was sent. Returns the guard for another try.
    pub(crate) async fn send(
        self,
        connected: Connected,
        mut guard: AttemptGuard,
    ) -> Result<Sent, AttemptGuard> {
        let Connected { mut connection, rested } = connected;
        let began = Instant::now();
        guard.sending();
        let answer = select! {
            biased;
            answer = connection.send(self.outgoing.request()) => answer,
            given_up = guard.watch.given_up() => {
                let cause = format!("{} before its answer", given_up.cause());
                guard.fail(AttemptEnd::Unreachable, &cause);
                return Ok(Sent::Broken);
            }
        };
        match answer {
            Ok(answer) => Ok(self.judge(connection, answer, guard).await),
            Err(SendError::NotSent) => Err(guard),
            Err(error @ SendError::NoAnswer { .. }) => {
                let reset = Reset { rested, after: began.elapsed() };
                self.shared.pool.note_reset(self.outgoing.expected_instance, reset);
                let is_dropped = reset.is_of_dropped_connection();
                let end = if is_dropped { AttemptEnd::Dropped } else { AttemptEnd::Broken };
                guard.fail(end, &error.to_string());
                Ok(Sent::Broken)
            }
        }
    }

    async fn judge(
        &self,
        connection: ServerConnection,
        answer: Response<Incoming>,
        mut guard: AttemptGuard,
    ) -> Sent {
        guard.watch.heard();
        let (parts, body) = answer.into_parts();
        if !self.is_ours(&parts) {
            guard.fail(AttemptEnd::Broken, "the answer belongs to another attempt");
            return Sent::Broken;
        }
        let verdict = verdict(&parts, &self.shared.headers.not_run);
        let keeping = Keeping::new(&parts.headers, self.service, &self.shared.settings);
        let pool = Arc::clone(&self.shared.pool);
        let did_not_run = verdict == Verdict::NotRunAnswer;
        // Refusals and failures come fast even from a slow server, so they are not response times.
        if verdict == Verdict::Answer && !parts.status.is_server_error() {
            guard.answering();
        }
        let mut live = LiveAnswer::new(parts, body, did_not_run, connection, keeping, pool, guard);
        match verdict {
            Verdict::Answer | Verdict::NotRunAnswer => Sent::Answering(Box::new(live)),
            Verdict::NotRun(end) => {
                let retry_after = retry_after(&live.parts.headers);
                let rest = live.skip_rest(MOST_REFUSAL_BYTES);
                let _ = timeout(REFUSAL_BODY_TIMEOUT, rest).await;
                live.fail(end, &format!("not run: {}", live.parts.status));
                Sent::NotRun { retry_after }
            }
            Verdict::Unsafe => {
                live.fail(AttemptEnd::Broken, "a promise that the server does not keep");
                Sent::Broken
            }
        }
    }

    /// Whether the answer belongs to this attempt, by its attempt id. A server may send a surplus
    /// answer on the connection. Answers that switch protocols were never requested.
    fn is_ours(&self, parts: &response::Parts) -> bool {
        let mut ids = parts.headers.get_all(&self.shared.headers.attempt).iter();
        ids.next() == Some(&self.outgoing.head.attempt)
            && ids.next().is_none()
            && !parts.status.is_informational()
    }
}

/// What the head of an answer says about the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// An answer for the caller; the request ran.
    Answer,
    /// An answer for the caller although the request did not run: no other server would answer
    /// better.
    NotRunAnswer,
    /// The request did not run, and another server may run it.
    NotRun(AttemptEnd),
    /// The status tells callers that the request never runs, but the server does not confirm that.
    Unsafe,
}

fn verdict(parts: &response::Parts, not_run: &HeaderName) -> Verdict {
    let says_not_run = parts.headers.contains_key(not_run);
    match parts.status {
        StatusCode::MISDIRECTED_REQUEST => Verdict::NotRun(AttemptEnd::Leaving),
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::REQUEST_TIMEOUT => {
            if says_not_run {
                Verdict::NotRun(AttemptEnd::Refused)
            } else {
                Verdict::Unsafe
            }
        }
        _ if says_not_run => Verdict::NotRunAnswer,
        _ => Verdict::Answer,
    }
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(seconds).filter(|seconds| *seconds >= 0.0).map(Duration::from_secs_f64)
}
