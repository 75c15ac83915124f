//! A server's answer while it arrives.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use dahlia_backends::{
    AttemptEnd, BackendAddress, BackendId, Backends, TokenTimes, TurnEstimate, TurnSize,
};
use dahlia_types::Timestamp;
use http::response;
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use tokio::select;

use crate::connection::ServerConnection;
use crate::decisions::RequestLog;
use crate::memory::{Assembly, CallerBytes, HeldBody, NotHeld};
use crate::pool::{Keeping, Pool};
use crate::relay::{Clock, Shared};
use crate::silence::SilenceWatch;
use crate::waiting::SlotGuard;

/// The answer was incomplete, missing, or belonged to another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the server's answer was not whole"))]
pub(crate) struct BrokenAnswer;

/// Why an answer could not be read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum NoWholeAnswer {
    #[snafu(transparent)]
    Broken { source: BrokenAnswer },
    /// The answer is longer than the memory for one caller. No other server's answer would be
    /// shorter.
    #[snafu(transparent)]
    NotHeld { source: NotHeld },
}

/// A server that was chosen for a request.
pub(crate) struct Chosen {
    pub(crate) server: BackendAddress,
    /// The request's size that the choice used.
    pub(crate) size: Option<TurnSize>,
    /// The estimate for the server, if it decided the choice.
    pub(crate) expected: Option<TurnEstimate>,
}

/// Reports to [`Backends`] how an attempt ended; as cancelled by the caller, if nothing else was
/// recorded.
pub(crate) struct AttemptGuard {
    backends: Arc<Mutex<Backends>>,
    clock: Clock,
    server: BackendId,
    end: AttemptEnd,
    log: RequestLog,
    /// The request's size that the choice used.
    size: TurnSize,
    /// The estimate for the server, if it decided the choice.
    expected: Option<TurnEstimate>,
    began: Timestamp,
    /// When the attempt was sent; none before that, and once its answer has begun.
    waits_since: Option<Timestamp>,
    /// Detects that the server stops responding.
    pub(crate) watch: SilenceWatch,
    /// Dropped after the end is reported: only then can the next request use the slot.
    place: SlotGuard,
}

impl AttemptGuard {
    /// Starts an attempt at the chosen server. `may_run_again` says whether another server may run
    /// its request.
    pub(crate) fn new<L>(
        shared: &Shared<L>,
        chosen: &Chosen,
        may_run_again: bool,
        log: RequestLog,
        place: SlotGuard,
    ) -> Self {
        let Chosen { server, size, expected } = chosen;
        Self {
            watch: SilenceWatch::new(
                &shared.heard,
                &shared.backends,
                server,
                &shared.settings,
                may_run_again,
            ),
            backends: Arc::clone(&shared.backends),
            clock: Arc::clone(&shared.clock),
            server: server.id.clone(),
            end: AttemptEnd::Cancelled,
            size: size.unwrap_or_default(),
            expected: *expected,
            began: (shared.clock)(),
            log,
            waits_since: None,
            place,
        }
    }

    /// Records that the attempt did not produce an answer.
    pub(crate) fn fail(&mut self, end: AttemptEnd, cause: &str) {
        self.end = end;
        self.log.attempt_failed(&self.server, end, cause);
    }

    /// Reports the arrival times of tokens to [`Backends`].
    fn tokens_came(&self, times: TokenTimes) {
        let now = (self.clock)();
        let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.record_token_times(&self.server, times, now);
    }

    /// Whether the server's zone is being evacuated.
    fn is_evacuated(&self) -> bool {
        let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.is_evacuated(&self.server)
    }

    /// Records that the attempt is being sent.
    pub(crate) fn sending(&mut self) {
        self.waits_since = Some((self.clock)());
    }

    /// Records that the head of the answer has arrived.
    pub(crate) fn answering(&mut self) {
        let now = (self.clock)();
        if let Some(since) = self.waits_since.take() {
            let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
            backends.record_response_time(&self.server, now.since(since), now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = (self.clock)();
        let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.waits_since.map(|since| now.since(since));
        if let Some(waited) = waited.filter(|_| self.end == AttemptEnd::Cancelled) {
            backends.record_unanswered(&self.server, waited, now);
        }
        backends.end_turn(&self.server, self.size, self.end, now);
        drop(backends);
        self.place.ended(self.end);
        if let Some(expected) = self.expected.filter(|_| self.end == AttemptEnd::Answered) {
            self.log.turn_took(expected, now.since(self.began));
        }
    }
}

/// An answer whose head has arrived. Dropping it before its end closes the connection.
pub(crate) struct LiveAnswer {
    pub(crate) parts: response::Parts,
    /// The server said that it did not run the request.
    pub(crate) did_not_run: bool,
    body: Incoming,
    /// None once the body has ended, complete or not.
    connection: Option<ServerConnection>,
    keeping: Keeping,
    pool: Arc<Pool>,
    guard: AttemptGuard,
}

impl LiveAnswer {
    pub(crate) fn new(
        parts: response::Parts,
        body: Incoming,
        did_not_run: bool,
        connection: ServerConnection,
        keeping: Keeping,
        pool: Arc<Pool>,
        guard: AttemptGuard,
    ) -> Self {
        let connection = Some(connection);
        Self { parts, did_not_run, body, connection, keeping, pool, guard }
    }

    pub(crate) fn server(&self) -> &BackendId {
        &self.guard.server
    }

    /// Reports the arrival times of tokens to [`Backends`].
    pub(crate) fn tokens_came(&self, times: TokenTimes) {
        self.guard.tokens_came(times);
    }

    /// Records that this is no answer for the caller.
    pub(crate) fn fail(&mut self, end: AttemptEnd, cause: &str) {
        self.guard.fail(end, cause);
    }

    /// Overrides the end that is reported for the attempt.
    pub(crate) fn set_end(&mut self, end: AttemptEnd) {
        self.guard.end = end;
    }

    /// Returns the next piece of the body; none at its end.
    ///
    /// # Errors
    /// The body broke off. The connection is then closed.
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        let connection = self.connection.as_mut()?;
        let data = select! {
            biased;
            data = connection.next_data(&mut self.body) => data,
            given_up = self.guard.watch.given_up() => {
                self.connection = None;
                let cause = format!("{} in its answer", given_up.cause());
                self.guard.fail(AttemptEnd::Unreachable, &cause);
                return Some(Err(BrokenAnswer));
            }
        };
        match data {
            Some(Ok(piece)) => {
                self.guard.watch.heard();
                Some(Ok(piece))
            }
            Some(Err(error)) => {
                self.connection = None;
                self.guard.fail(AttemptEnd::Broken, &error.to_string());
                Some(Err(BrokenAnswer))
            }
            None => {
                self.keep_connection();
                self.guard.end = match self.parts.status.is_server_error() {
                    true => AttemptEnd::Failed,
                    false => AttemptEnd::Answered,
                };
                None
            }
        }
    }

    /// Reads the whole body. While no memory is available for more of it, the rest waits at the
    /// server.
    ///
    /// # Errors
    /// The body broke off, or is longer than the limit or than the memory for one caller.
    pub(crate) async fn read_whole(
        &mut self,
        limit: usize,
        caller: &CallerBytes,
    ) -> Result<HeldBody, NoWholeAnswer> {
        let expected = self.body.size_hint().exact();
        let expected = expected.filter(|&bytes| bytes <= limit as u64);
        let mut whole = Assembly::new(expected, limit, caller);
        while let Some(piece) = self.next().await {
            let piece = piece?;
            if whole.len() + piece.len() > limit {
                self.connection = None;
                self.guard.fail(AttemptEnd::Broken, "the answer is too long");
                return Err(BrokenAnswer.into());
            }
            if let Err(error) = whole.push_when_free(&piece).await {
                self.connection = None;
                self.guard.fail(AttemptEnd::Cancelled, &error.to_string());
                return Err(error.into());
            }
        }
        Ok(whole.finish())
    }

    /// Reads and discards the rest of a short body, so that the connection can be reused.
    pub(crate) async fn skip_rest(&mut self, limit: usize) {
        let mut skipped = 0;
        while let Some(Ok(piece)) = self.next().await {
            skipped += piece.len();
            if skipped > limit {
                self.connection = None;
                return;
            }
        }
    }

    fn keep_connection(&mut self) {
        // No further request is sent to a zone that is being evacuated.
        let connection = self.connection.take().filter(|_| !self.guard.is_evacuated());
        if let Some(connection) = connection {
            self.pool.put(&self.guard.server, connection, self.keeping);
        }
    }
}
