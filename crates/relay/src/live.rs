//! An answer of a server while it arrives.

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

/// The answer was not whole, or was none, or was another request's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("the server's answer was not whole"))]
pub(crate) struct BrokenAnswer;

/// Why a whole answer is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum NoWholeAnswer {
    #[snafu(transparent)]
    Broken { source: BrokenAnswer },
    /// It is longer than this gateway holds for one caller: no other server's would be shorter.
    #[snafu(transparent)]
    NotHeld { source: NotHeld },
}

/// A server that was chosen for a request.
pub(crate) struct Chosen {
    pub(crate) server: BackendAddress,
    /// How large the request is, as the choice was told.
    pub(crate) size: Option<TurnSize>,
    /// What was expected of the server, where that decided.
    pub(crate) expected: Option<TurnEstimate>,
}

/// Tells [`Backends`] how an attempt ended; that the caller left, when nothing else was said.
pub(crate) struct AttemptGuard {
    backends: Arc<Mutex<Backends>>,
    clock: Clock,
    server: BackendId,
    end: AttemptEnd,
    log: RequestLog,
    /// How large its request is, as the choice was told.
    size: TurnSize,
    /// What was expected of it, where that decided.
    expected: Option<TurnEstimate>,
    began: Timestamp,
    /// When the attempt was sent; none before, and once its answer has begun.
    waits_since: Option<Timestamp>,
    /// Notices that the server falls silent.
    pub(crate) watch: SilenceWatch,
    /// Dropped after the end is told: only then is there room for the next request.
    place: SlotGuard,
}

impl AttemptGuard {
    /// An attempt at the chosen server. `may_run_again` says whether another server may run its request.
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

    /// The attempt did not bring its request's answer.
    pub(crate) fn fail(&mut self, end: AttemptEnd, cause: &str) {
        self.end = end;
        self.log.attempt_failed(&self.server, end, cause);
    }

    /// Tokens of its stream came.
    fn tokens_came(&self, times: TokenTimes) {
        let now = (self.clock)();
        let mut backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.record_token_times(&self.server, times, now);
    }

    /// Whether the server's zone is being emptied.
    fn is_evacuated(&self) -> bool {
        let backends = self.backends.lock().unwrap_or_else(PoisonError::into_inner);
        backends.is_evacuated(&self.server)
    }

    /// The attempt is being sent.
    pub(crate) fn sending(&mut self) {
        self.waits_since = Some((self.clock)());
    }

    /// The head of the attempt's answer is there.
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

/// An answer whose head is there. Dropping it before its end drops the connection.
pub(crate) struct LiveAnswer {
    pub(crate) parts: response::Parts,
    /// The server said that it did not run the request.
    pub(crate) did_not_run: bool,
    body: Incoming,
    /// None once the body has ended, whole or not.
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

    /// Tokens of the stream came.
    pub(crate) fn tokens_came(&self, times: TokenTimes) {
        self.guard.tokens_came(times);
    }

    /// Tells that this is no answer for the caller.
    pub(crate) fn fail(&mut self, end: AttemptEnd, cause: &str) {
        self.guard.fail(end, cause);
    }

    /// Overrides what is told of the attempt's end.
    pub(crate) fn set_end(&mut self, end: AttemptEnd) {
        self.guard.end = end;
    }

    /// The next piece of the body; none at its end.
    ///
    /// # Errors
    /// The body broke off. The connection is closed then.
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

    /// The whole body. While there is no room for more of it, it waits at the server.
    ///
    /// # Errors
    /// It broke off, or is longer than the limit or than may be held for one caller.
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

    /// Reads the rest of a short body and drops it, so that the connection can be kept.
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
        // Nothing further goes to a zone that is being emptied.
        let connection = self.connection.take().filter(|_| !self.guard.is_evacuated());
        if let Some(connection) = connection {
            self.pool.put(&self.guard.server, connection, self.keeping);
        }
    }
}
